// Parses the JSON settings object that both the simulator's first message and the platform's configuration
// contain, and converts it to the decision engine's Settings. The key names are used nowhere else. All times
// are integers in nanoseconds. Unknown keys are ignored, because the platform may have more settings than
// this router needs. A missing key has a default (a class without `semantics` is not idempotent), except the
// required keys `balancers`, `classes`, `kinds`, `ceilings`, `safety`, `family-info` and `aim` and `give-up`
// of each class.
//
//   object           key -> member of Settings
//   (top)            balancers router_count, me router_index, az zone, step min_call_interval,
//                    zones zone_count, over-share-worth over_quota_weight,
//                    prices.cross-zone cross_zone_cost, membership-mode "on_request" poll_endpoints
//   tenants[]        portion quota_ratio, quota-rps quota_per_second
//   classes[]        aim latency_objective, aim-stretch latency_objective_per_work, give-up timeout,
//                    credit priority_weight, late-share late_weight_ratio, semantics idempotency,
//                    group deduplication_scope, window deduplication_window, in-order ordered_by_key,
//                    zones-allowed allowed_zones, bound-to allowed_machine_types
//   ceilings         max-attempts, most-held max_open_requests, cancel cancellation_enabled,
//                    probing health_checks_enabled, may-tell gossip_enabled, second-copies hedging_enabled,
//                    retry-after retry_after_enabled, max-retry-after
//   safety           drain-grace drain_grace_period, grace-to-answer answer_grace_period,
//                    cold-from slow_start_initial_capacity, ramp-time slow_start_duration,
//                    tip-multiple slow_start_overload_ratio, fall slow_start_overload_window,
//                    turn-gap ordering_quiet_period, ask-within endpoint_poll_deadline,
//                    resend-span, free-resends, further-ratio retry_budget
//   family-info      of each class: width-by-class threads, loads holds_data_group,
//                    class-waits waits_for_data_group;
//                    of each machine type: cpu-of-kind cores, ram-of-kind-mb memory_mb;
//                    grants memory_grants_enabled, takes-priority engine_priorities_enabled,
//                    tells-cost cost_reported, max-grant-share max_memory_grant_ratio,
//                    progress-pace progress_interval, out-of-memory memory_shortage_policy
//   report           how "piggyback" load_reports_in_responses, fields load_fields
#pragma once

#include <stdexcept>
#include <string_view>

#include "heronwell/decision_engine.hpp"

namespace heronwell::site {

struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Throws Malformed with the field and the reason why it is invalid.
[[nodiscard]] Settings parse_settings(std::string_view text);

}  // namespace heronwell::site
