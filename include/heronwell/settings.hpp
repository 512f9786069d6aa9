// Settings of the decision engine. They describe the site and are fixed before the first event. Times are in
// nanoseconds.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace heronwell {

// A point in time on the caller's clock, or a duration. The clock is monotonic and its origin has no meaning.
using Time = std::chrono::nanoseconds;
using RequestId = std::uint32_t;
using EngineId = std::uint32_t;
// Index into Settings::classes.
using ClassIndex = std::uint16_t;
// Index of an attempt within its request, in the order of the StartAttempt actions, from 0.
using AttemptIndex = std::uint16_t;

// Whether a query may run more than once.
enum class Idempotency {
  idempotent,       // may run any number of times
  idempotency_key,  // engines drop repeats of the key within a deduplication scope and window
  not_idempotent    // may run only once: no further attempt if an earlier one may have run
};

// The engines that drop repeats of an idempotency key that one of them has already received.
enum class DeduplicationScope {
  all,   // all engines of the fleet
  zone,  // the engines of the same zone
  cell   // the engines of the same cell
};

// What an engine does when memory grants exceed its memory.
enum class MemoryShortagePolicy {
  wait,    // the query waits; higher priorities go first, and then the order of arrival counts
  shrink,  // the query gets less memory and may spill to disk
  // Every query gets its grant; all queries slow down while the memory in use exceeds the memory available.
  overcommit
};

// Meaning of one number in a load report of an engine.
enum class LoadField {
  in_flight,     // queries that run on the engine, from all routers
  queue,         // queries that wait on the engine
  utilization,   // utilization of the engine's cores, from 0 to 1
  latency_ms,    // answer time in milliseconds
  served,        // answers per second
  failed,        // failures per second
  memory_share,  // part of the engine's memory in use, from 0 to 1
  disk_share,    // part of the engine's disk throughput in use, from 0 to 1
  unknown        // ignored
};

// A class of queries with a common latency objective and a common queue.
struct ClassSettings {
  std::string name;
  // An answer is in time if it takes at most latency_objective + latency_objective_per_work x work / threads.
  // latency_objective must be above 0.
  Time latency_objective{};
  double latency_objective_per_work = 0;  // see latency_objective; a ratio without a unit
  Time timeout{};                         // how long a client waits for an answer in total
  // Weight of an answer in time; of classes with equal objectives, the higher weight is served first.
  double priority_weight = 1;
  double late_weight_ratio = 0;  // weight of a late answer, as a part of priority_weight
  Idempotency idempotency = Idempotency::idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::all;  // used with an idempotency key
  Time deduplication_window{};  // used with an idempotency key: how long repeats are dropped
  bool ordered_by_key = false;  // requests with the same order_key run one at a time, in the order of arrival
  std::optional<std::vector<std::uint16_t>> allowed_zones;          // none: all zones
  std::optional<std::vector<std::uint16_t>> allowed_machine_types;  // none: all machine types
  unsigned threads = 1;  // threads that one query of the class uses; 1 or more
  // The queries load data; each of them locks its data group on its engine.
  bool holds_data_group = false;
  // The queries wait while a query that loads data holds the lock of their data group on their engine.
  bool waits_for_data_group = false;
};

// A type of machine that runs engines.
struct MachineTypeSettings {
  std::string name;
  double cores = 1;      // above 0
  double memory_mb = 0;  // 0: unknown
};

struct TenantSettings {
  std::string name;
  double quota_ratio = 0;       // part of all requests, from 0 to 1
  double quota_per_second = 0;  // requests per second, summed over all routers
};

// Limit on retries and hedges. Any window may contain at most min_retries + retries_per_request x the
// requests received in it.
struct RetryBudget {
  Time window{};  // above 0
  double min_retries = 0;
  double retries_per_request = 0;
};

// All settings of the decision engine. The defaults describe a single router without optional features.
struct Settings {
  unsigned router_count = 1;  // routers of the site, including this one; 1 or more
  unsigned router_index = 0;  // index of this router, from 0
  std::uint16_t zone = 0;     // zone of this router
  // Shortest time between two calls of handle() by the caller.
  Time min_call_interval{std::chrono::milliseconds(5)};
  std::vector<ClassSettings> classes;              // one or more
  std::vector<MachineTypeSettings> machine_types;  // one or more
  std::vector<TenantSettings> tenants;
  // Weight of a request beyond its tenant's quota, as a part of its priority weight.
  double over_quota_weight = 1;
  unsigned zone_count = 1;  // zones of the site
  // Relative cost of an attempt in another zone, as the site rates it; 0: no cost.
  double cross_zone_cost = 0;
  unsigned max_attempts = 1;          // attempts of one request, hedges included; 1 or more
  std::size_t max_open_requests = 0;  // open requests at this router; 0: the limit is unknown
  bool cancellation_enabled = false;  // engines support cancellation
  bool health_checks_enabled = false;
  bool gossip_enabled = false;       // routers send messages to each other
  bool hedging_enabled = false;      // two attempts of a request may run at once
  bool retry_after_enabled = false;  // rejections may name a delay before the retry
  Time max_retry_after{};            // longest delay that a rejection may name
  bool poll_endpoints = false;       // endpoint updates come only after WatchEndpoints
  bool memory_grants_enabled = false;
  bool engine_priorities_enabled = false;
  bool cost_reported = false;         // answers report the work and the memory of their query
  double max_memory_grant_ratio = 1;  // largest grant of one query, as a part of the engine's memory
  MemoryShortagePolicy memory_shortage_policy = MemoryShortagePolicy::wait;
  Time progress_interval{};  // time between progress messages of an attempt; 0: engines send none
  bool load_reports_in_responses = false;  // answers contain load reports
  // Fields of a load report in their order; empty: engines send no reports.
  std::vector<LoadField> load_fields;
  // Longest time after the start of a drain at which an attempt may still reach the engine.
  Time drain_grace_period{};
  Time answer_grace_period{};  // a final answer still counts if it comes at most this long after the deadline
  // Capacity at the start, as a part of the full capacity; above 0, at most 1.
  double slow_start_initial_capacity = 1;
  Time slow_start_duration{};  // time after the start at which an engine has its full capacity
  // An engine in slow start is overloaded if it is sent more than slow_start_overload_ratio times its current
  // capacity for slow_start_overload_window. Ratio 0: it cannot be overloaded.
  double slow_start_overload_ratio = 0;
  Time slow_start_overload_window{};
  // Quiet period of an ordering key after an attempt that may still run on its engine.
  Time ordering_quiet_period{};
  // The endpoint list counts as out of date if it has not been fetched for so long.
  Time endpoint_poll_deadline{};
  std::optional<RetryBudget> retry_budget;  // none: only max_attempts limits retries and hedges
};

}  // namespace heronwell
