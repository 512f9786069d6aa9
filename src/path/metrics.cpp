#include "path/metrics.hpp"

#include <prometheus/text_serializer.h>

namespace heronwell::path {

Metrics::Metrics(const std::vector<std::string>& class_names) {
  using prometheus::BuildCounter;
  using prometheus::BuildGauge;
  const auto counter = [this](const char* name, const char* help) {
    return &BuildCounter().Name(name).Help(help).Register(registry_).Add({});
  };
  const auto gauge = [this](const char* name, const char* help) {
    return &BuildGauge().Name(name).Help(help).Register(registry_).Add({});
  };
  auto& requests =
      BuildCounter().Name("heronwell_requests_total").Help("Requests by class and end").Register(registry_);
  auto& seconds = prometheus::BuildHistogram()
                      .Name("heronwell_request_seconds")
                      .Help("From the whole request read to its final answer")
                      .Register(registry_);
  auto& queue = BuildGauge().Name("heronwell_class_queued").Help("Requests held").Register(registry_);
  auto& running =
      BuildGauge().Name("heronwell_class_running_threads").Help("Threads out").Register(registry_);
  auto& budget =
      BuildGauge().Name("heronwell_class_budget_threads").Help("Thread budget").Register(registry_);
  for (const auto& name : class_names) {
    const auto outcome_counter = [&](const char* outcome) {
      return &requests.Add({{"class", name}, {"outcome", outcome}});
    };
    classes.push_back({outcome_counter("served"), outcome_counter("error"), outcome_counter("refused"),
                       outcome_counter("failed"), outcome_counter("overdue"), outcome_counter("left"),
                       outcome_counter("broken"), outcome_counter("limited"),
                       &seconds.Add({{"class", name}},
                                    prometheus::Histogram::BucketBoundaries{.001, .0025, .005, .01, .025, .05,
                                                                            .1, .25, .5, 1, 2.5, 5, 10, 30}),
                       &queue.Add({{"class", name}}), &running.Add({{"class", name}}),
                       &budget.Add({{"class", name}})});
  }
  auto& buffers = BuildGauge()
                      .Name("heronwell_buffered_bytes")
                      .Help("Memory of buffers on the platform, by kind")
                      .Register(registry_);
  for (std::size_t kind = 0; kind < kBufferKindCount; ++kind)
    buffered_bytes_.push_back(&buffers.Add({{"kind", std::string(name_of(static_cast<BufferKind>(kind)))}}));
  auto& attempts_by_result =
      BuildCounter().Name("heronwell_attempts_total").Help("Attempts by result").Register(registry_);
  for (const auto* result :
       {"served", "error", "turned_away", "timed_out", "not_connected", "reset", "called_off", "moot"})
    attempts.push_back(&attempts_by_result.Add({{"result", result}}));
  invalid_requests = counter("heronwell_requests_rejected_total", "Bad input: never taken");
  descriptor_waits =
      counter("heronwell_attempts_starved_total", "Waited for a descriptor to reach their engine");
  connections = counter("heronwell_connections_total", "Client connections accepted");
  connections_rejected = counter("heronwell_connections_refused_total", "Client connections over the limit");
  dials = counter("heronwell_engine_dials_total", "Connections opened to engines");
  stale_connections =
      counter("heronwell_engine_stale_connections_total", "Pooled connections found closed before use");
  pages_discarded = counter("heronwell_engine_pages_discarded_total",
                            "Pages of results that were followed by bytes, and were requested again");
  cancels = counter("heronwell_engine_cancels_total", "Cancel requests sent");
  settings_rejected =
      counter("heronwell_engine_settings_refused_total", "SETs that an engine answered with an error");
  endpoint_list_updates = counter("heronwell_list_updates_total", "Engine lists taken");
  endpoint_list_failures = counter("heronwell_list_failures_total", "Calls for the engine list that failed");
  endpoints_rejected = counter("heronwell_list_entries_refused_total", "Entries left out of a list");
  group_reloads = counter("heronwell_groups_reloads_total", "Groups' files taken");
  group_reloads_rejected = counter("heronwell_groups_reloads_refused_total", "Groups' files with an error");
  group_schedule_changes =
      counter("heronwell_groups_schedule_changes_total", "Changes of what schedules set");
  gossip_sent = counter("heronwell_peer_messages_sent_total", "Messages to other gateways");
  gossip_accepted = counter("heronwell_peer_messages_taken_total", "Messages of other gateways");
  gossip_forged = counter("heronwell_peer_messages_forged_total", "Messages whose MAC is wrong");
  gossip_replayed = counter("heronwell_peer_messages_replayed_total", "Messages that came before");
  gossip_malformed = counter("heronwell_peer_messages_malformed_total", "Datagrams that are no message");
  auto& graphql = BuildCounter()
                      .Name("heronwell_graphql_requests_total")
                      .Help("GraphQL requests by end")
                      .Register(registry_);
  graphql_served = &graphql.Add({{"outcome", "served"}});
  graphql_errors = &graphql.Add({{"outcome", "with_errors"}});
  graphql_rejected = &graphql.Add({{"outcome", "rejected"}});
  graphql_disconnected = &graphql.Add({{"outcome", "left"}});
  graphql_statements =
      counter("heronwell_graphql_statements_total", "Statements that GraphQL requests became");
  graphql_open = gauge("heronwell_graphql_open", "GraphQL requests without a response");
  open_requests = gauge("heronwell_requests_open", "Requests without a final answer");
  pool_threads = gauge("heronwell_pool_threads", "The module's pool");
  clients = gauge("heronwell_connections", "Client connections");
  engine_connections = gauge("heronwell_engine_connections", "Engine connections");
  engines_ready = gauge("heronwell_engines_ready", "Ready engines in the list");
  decision_lag =
      gauge("heronwell_decision_lag_seconds", "Longest wait of an event for the decision strand of late");
}

void Metrics::set_buffered_bytes(const BufferAccount& account) {
  for (std::size_t kind = 0; kind < kBufferKindCount; ++kind)
    buffered_bytes_[kind]->Set(static_cast<double>(account.bytes(static_cast<BufferKind>(kind))));
}

void Metrics::begin_group_scan() { group_totals_.clear(); }

void Metrics::add_group(const groups::GroupView& group) {
  const auto last_dot = group.path.rfind('.');
  const auto parent_prefix =
      last_dot == std::string::npos ? std::string() : group.path.substr(0, last_dot + 1);
  const auto name = group.made ? parent_prefix + "*" : group.path;
  if (!group_totals_.contains(name) && group_totals_.size() >= kMaxGroups) return;
  auto& totals = group_totals_[name];
  totals.queued += static_cast<double>(group.queued);
  totals.running_threads += group.running;
  totals.configured_share += group.share_set;
  totals.actual_share += group.share_got;
  totals.engine_seconds += group.used_s;
  for (const auto& [limit, count] : group.refused) totals.rejected[limit] += count;
}

void Metrics::finish_group_scan(std::string json) {
  using prometheus::BuildCounter;
  using prometheus::BuildGauge;
  auto& queued = BuildGauge().Name("heronwell_group_queued").Help("Requests held").Register(registry_);
  auto& running =
      BuildGauge().Name("heronwell_group_running_threads").Help("Threads out").Register(registry_);
  auto& configured_share =
      BuildGauge().Name("heronwell_group_share_set").Help("Share by weights").Register(registry_);
  auto& actual_share =
      BuildGauge().Name("heronwell_group_share_got").Help("Share of engine time of late").Register(registry_);
  auto& engine_seconds = BuildCounter()
                             .Name("heronwell_group_engine_seconds_total")
                             .Help("Thread-seconds on engines")
                             .Register(registry_);
  auto& rejected = BuildCounter()
                       .Name("heronwell_group_refused_total")
                       .Help("Requests ended by a group's limit")
                       .Register(registry_);
  const auto raise_to = [](prometheus::Counter& counter, double total) {
    counter.Increment(std::max(0.0, total - counter.Value()));
  };
  for (auto& [name, group] : group_series_)
    if (!group_totals_.contains(name)) group_totals_[name] = {};  // a removed group: its gauges become 0
  for (const auto& [name, totals] : group_totals_) {
    const prometheus::Labels labels{{"group", name.empty() ? "root" : name}};
    auto& group = group_series_
                      .try_emplace(name, GroupSeries{&queued.Add(labels),
                                                     &running.Add(labels),
                                                     &configured_share.Add(labels),
                                                     &actual_share.Add(labels),
                                                     &engine_seconds.Add(labels),
                                                     {}})
                      .first->second;
    group.queued->Set(totals.queued);
    group.running_threads->Set(totals.running_threads);
    group.configured_share->Set(totals.configured_share);
    group.actual_share->Set(totals.actual_share);
    raise_to(*group.engine_seconds, totals.engine_seconds);
    for (const auto& [limit, count] : totals.rejected) {
      auto& counter = group.rejected[limit];
      if (counter == nullptr) counter = &rejected.Add({{"group", labels.at("group")}, {"limit", limit}});
      raise_to(*counter, static_cast<double>(count));
    }
  }
  const std::lock_guard lock(mutex_);
  groups_json_ = std::move(json);
}

std::string Metrics::groups_json() const {
  const std::lock_guard lock(mutex_);
  return groups_json_;
}

std::string Metrics::text() const { return prometheus::TextSerializer().Serialize(registry_.Collect()); }

}  // namespace heronwell::path
