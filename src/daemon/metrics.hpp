// Counters that Prometheus scrapes. Names follow its conventions; labels come from the configuration alone,
// so their number is bounded.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>
#include <vector>

namespace heronwell::daemon {

class Metrics {
 public:
  explicit Metrics(const std::vector<std::string>& classes);

  struct PerClass {
    prometheus::Counter *served, *error, *refused, *failed, *overdue, *left, *broken, *limited;
    prometheus::Histogram* seconds;
    prometheus::Gauge *queued, *running, *budget;
  };
  std::vector<PerClass> classes;
  std::vector<prometheus::Counter*> attempts;  // by Result
  prometheus::Counter *rejected, *connections, *connections_refused, *dials, *redials, *cancels,
      *settings_refused;
  prometheus::Counter *list_updates, *list_failures, *list_refused;
  prometheus::Counter *peers_sent, *peers_taken, *peers_forged, *peers_replayed, *peers_malformed;
  prometheus::Counter *graphql_served, *graphql_errors, *graphql_rejected, *graphql_left, *graphql_statements;
  prometheus::Gauge *graphql_open, *open, *pool, *clients, *engine_connections, *engines_ready, *decision_lag;

  [[nodiscard]] std::string text() const;

 private:
  prometheus::Registry registry_;
};

}  // namespace heronwell::daemon
