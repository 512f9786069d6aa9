// Metrics for Prometheus. Names follow its conventions. Label values come only from the configuration, so the
// number of time series is bounded.
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
#include "path/buffer_account.hpp"

namespace heronwell::path {

class Metrics {
 public:
  explicit Metrics(const std::vector<std::string>& class_names);

  struct PerClass {
    prometheus::Counter *served, *error, *rejected, *failed, *deadline_exceeded, *disconnected, *aborted,
        *rejected_at_limit;
    prometheus::Histogram* duration_seconds;
    prometheus::Gauge *queued, *running_threads, *budget_threads;
  };
  std::vector<PerClass> classes;
  std::vector<prometheus::Counter*> attempts;  // by AttemptResult
  prometheus::Counter *invalid_requests, *descriptor_waits, *connections, *connections_rejected, *dials,
      *stale_connections, *pages_discarded, *cancels, *settings_rejected;
  prometheus::Counter *endpoint_list_updates, *endpoint_list_failures, *endpoints_rejected;
  prometheus::Counter *gossip_sent, *gossip_accepted, *gossip_forged, *gossip_replayed, *gossip_malformed;
  prometheus::Counter *graphql_served, *graphql_errors, *graphql_rejected, *graphql_disconnected,
      *graphql_statements;
  prometheus::Gauge *graphql_open, *open_requests, *pool_threads, *clients, *engine_connections,
      *engines_ready, *decision_lag;

  void set_buffered_bytes(const BufferAccount& account);

  // Metrics of the configured groups. Groups created on demand are summed under the "*" of their parent.
  static constexpr std::size_t kMaxGroups = 200;  // groups beyond this number are omitted
  // A scan of the groups: begin_group_scan(), add_group() for each group, then finish_group_scan(), which
  // updates the metrics and stores `json` for groups_json().
  void begin_group_scan();
  void add_group(const groups::GroupView& group);
  void finish_group_scan(std::string json);
  // Returns all groups as JSON, for `heronwell groups`. Safe to call from any thread.
  [[nodiscard]] std::string groups_json() const;
  prometheus::Counter *group_reloads, *group_reloads_rejected, *group_schedule_changes;

  [[nodiscard]] std::string text() const;

 private:
  struct GroupTotals {
    double queued = 0, running_threads = 0, configured_share = 0, actual_share = 0, engine_seconds = 0;
    std::map<std::string, std::uint64_t> rejected;
  };
  struct GroupSeries {
    prometheus::Gauge *queued, *running_threads, *configured_share, *actual_share;
    prometheus::Counter* engine_seconds;
    std::map<std::string, prometheus::Counter*> rejected;
  };
  prometheus::Registry registry_;
  std::vector<prometheus::Gauge*> buffered_bytes_;   // by BufferKind
  std::map<std::string, GroupTotals> group_totals_;  // of the current scan
  std::map<std::string, GroupSeries> group_series_;
  mutable std::mutex mutex_;
  std::string groups_json_;
};

}  // namespace heronwell::path
