// The engines of the endpoint list, what runs on them from this router, and sums over the fleet. Decides
// nothing. Of each engine, every rule owns a part of its own; the others may only read it. The sums (threads
// of the pool, cores) are made anew only when the list or an engine's health has changed.
#pragma once

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "decision_context.hpp"

namespace heronwell {

class EngineSelector;
class EngineTable;
class HealthChecker;
class LoadEstimator;
class OutlierDetector;
class SlowStart;

// What of this router runs on an engine.
struct EngineUsage {
  unsigned threads = 0, queries = 0;
  std::set<std::pair<RequestId, AttemptIndex>> in_flight;
};

enum class HealthState { healthy, ejected, probation };

struct EngineHealth {
  HealthState state = HealthState::healthy;
  Time ejected_until{};
  Time ejection_time{};    // length of the last ejection; 0: none since it was healthy
  double error_ratio = 0;  // part of failures among recent results
  Time last_progress{};    // when it last gave an answer or a progress message, or got its first query
};

struct EngineSlowStart {
  Time started_at{};            // 0: long ago, it is warm
  Time connection_broken_at{};  // last broken connection, unless it was heard since; 0: none
  Time started_before_break{};  // started_at before that connection broke
  Time admission_until{};       // while it warms up: this router may send to it until then
  double admitted_work = 0;     // core-seconds that it may still send
};

struct EngineLoad {
  double other_threads = 0;  // of other routers, at the last report
  Time reported_at{};
  double latency_ratio = 1;  // answer time of late against the class's usual one
};

struct Engine {
  OwnedBy<Endpoint, EngineTable> endpoint;
  OwnedBy<bool, EngineTable> is_listed_ready;
  OwnedBy<EngineUsage, EngineTable> usage;
  OwnedBy<EngineHealth, OutlierDetector> health;
  OwnedBy<EngineSlowStart, SlowStart> slow_start;
  OwnedBy<EngineLoad, LoadEstimator> load;
  OwnedBy<Time, HealthChecker> checked_at;            // last health check sent
  OwnedBy<std::uint64_t, EngineSelector> comparison;  // the last comparison that it was in

  [[nodiscard]] EngineId id() const { return endpoint->engine; }
  // The list says that it may get new queries.
  [[nodiscard]] bool is_ready() const { return *is_listed_ready; }
  [[nodiscard]] bool is_ejected() const { return health->state == HealthState::ejected; }
  // Neither in the list nor with anything of this router in flight: it may be forgotten.
  [[nodiscard]] bool is_gone() const { return !is_ready() && usage->in_flight.empty(); }
};

class EngineTable {
 public:
  explicit EngineTable(const Settings& settings);

  // A complete list begins: engines that it does not name are no longer ready.
  void begin_snapshot();
  Engine& find_or_add(EngineId engine) { return engines_[engine]; }
  void set_endpoint(Engine& engine, const Endpoint& endpoint);
  void mark_changed() { is_changed_ = true; }
  [[nodiscard]] bool is_changed() const { return is_changed_; }
  // Forgets engines that are gone and sums over the rest. Whoever holds pointers to engines drops those
  // first.
  void refresh();

  void start_attempt(Engine& engine, RequestId request, AttemptIndex attempt, unsigned threads);
  void finish_attempt(Engine& engine, RequestId request, AttemptIndex attempt, unsigned threads);

  [[nodiscard]] Engine* find(EngineId engine);
  [[nodiscard]] Engine& at(EngineId engine) { return engines_.at(engine); }
  [[nodiscard]] const Engine& at(EngineId engine) const { return engines_.at(engine); }
  [[nodiscard]] const std::vector<Engine*>& ready() const { return ready_; }  // in the order of ids
  [[nodiscard]] const std::set<EngineId>& busy() const { return busy_; }      // with a query of this router
  [[nodiscard]] unsigned queries_in_flight() const;
  [[nodiscard]] double cores(const Engine& engine) const {
    return settings_.machine_types[engine.endpoint->machine_type].cores;
  }
  [[nodiscard]] double cores() const { return cores_; }                // of all ready engines
  [[nodiscard]] double pool_threads() const { return pool_threads_; }  // this router's part of the fleet
  // The pool holds few queries of the widest class: ranking by budgets alone cannot work.
  [[nodiscard]] bool is_pool_small() const { return is_pool_small_; }

 private:
  const Settings& settings_;
  std::map<EngineId, Engine> engines_;
  std::vector<Engine*> ready_;
  std::set<EngineId> busy_;
  unsigned max_query_threads_ = 1;
  double cores_ = 0, pool_threads_ = 0;
  bool is_pool_small_ = false, is_changed_ = false;
};

// Threads of the pool for each core: near the peak of an engine's throughput for usual mixes of queries.
constexpr double kThreadsPerCore = 2.0;

}  // namespace heronwell
