// Counters that Prometheus scrapes. Names follow its conventions; labels come from the configuration alone,
// so their number is bounded.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "groups/shares.hpp"

namespace heronwell::path {

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
  prometheus::Counter *invalid_requests, *descriptor_waits, *connections, *connections_rejected, *dials,
      *redials, *cancels, *settings_rejected;
  prometheus::Counter *list_updates, *list_failures, *list_refused;
  prometheus::Counter *gossip_sent, *gossip_accepted, *gossip_forged, *gossip_replayed, *gossip_malformed;
  prometheus::Counter *graphql_served, *graphql_errors, *graphql_rejected, *graphql_left, *graphql_statements;
  prometheus::Gauge *graphql_open, *open, *pool, *clients, *engine_connections, *engines_ready, *decision_lag;

  // Figures of the groups that are written down; those made on demand are summed under their parent's "*".
  static constexpr std::size_t kMostGroups = 200;  // further ones are left out of the metrics
  void begin_groups();
  void count_group(const groups::GroupView& group);
  void end_groups(std::string json);
  // All groups as JSON, for `heronwell groups`; from any thread.
  [[nodiscard]] std::string groups_json() const;
  prometheus::Counter *groups_reloaded, *groups_refused_reload, *groups_schedules;

  [[nodiscard]] std::string text() const;

 private:
  struct GroupSum {
    double queued = 0, running = 0, set = 0, got = 0, used = 0;
    std::map<std::string, std::uint64_t> refused;
  };
  struct PerGroup {
    prometheus::Gauge *queued, *running, *share_set, *share_got;
    prometheus::Counter* used;
    std::map<std::string, prometheus::Counter*> refused;
  };
  prometheus::Registry registry_;
  std::map<std::string, GroupSum> sums_;  // of the scan
  std::map<std::string, PerGroup> groups_;
  mutable std::mutex mutex_;
  std::string groups_json_;
};

}  // namespace heronwell::path
