// EngineTable holds the engines of the endpoint list, this router's usage of each, and sums over the fleet.
// It makes no decisions. Each part of the decision engine owns its part of an engine's state; the other parts
// may only read it. The sums (threads of the pool, cores) are computed again only when the list or an
// engine's health has changed.
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

// This router's usage of an engine.
struct EngineUsage {
  unsigned threads = 0, queries = 0;
  std::set<std::pair<RequestId, AttemptIndex>> in_flight;
};

enum class HealthState { healthy, ejected, probation };

struct EngineHealth {
  HealthState state = HealthState::healthy;
  Time ejected_until{};
  Time ejection_time{};    // duration of the last ejection; 0: none since the engine was healthy
  double error_ratio = 0;  // moving average of failures among recent results, from 0 to 1
  // Time of its last answer or progress message, or of its first query after it was idle.
  Time last_progress{};
};

struct EngineSlowStart {
  Time started_at{};  // 0: long ago, the engine is warm
  // Time of the last broken connection; 0: none, or the engine has responded since.
  Time connection_broken_at{};
  Time started_before_break{};  // started_at before that connection broke
  Time admission_until{};       // in slow start: this router may send queries to the engine until then
  double admitted_work = 0;     // core-seconds that this router may still send
};

struct EngineLoad {
  double other_threads = 0;  // threads of other routers at the last report
  Time reported_at{};
  double latency_ratio = 1;  // moving average of the answer time divided by the usual answer time
};

struct Engine {
  OwnedBy<Endpoint, EngineTable> endpoint;
  OwnedBy<bool, EngineTable> is_listed_ready;
  OwnedBy<EngineUsage, EngineTable> usage;
  OwnedBy<EngineHealth, OutlierDetector> health;
  OwnedBy<EngineSlowStart, SlowStart> slow_start;
  OwnedBy<EngineLoad, LoadEstimator> load;
  OwnedBy<Time, HealthChecker> checked_at;  // time of the last health check
  // Number of the last comparison that included this engine.
  OwnedBy<std::uint64_t, EngineSelector> comparison;

  [[nodiscard]] EngineId id() const { return endpoint->engine; }
  // Whether the endpoint list allows new queries on the engine.
  [[nodiscard]] bool is_ready() const { return *is_listed_ready; }
  [[nodiscard]] bool is_ejected() const { return health->state == HealthState::ejected; }
  // The engine is not ready in the list and runs nothing from this router, so it can be removed.
  [[nodiscard]] bool is_gone() const { return !is_ready() && usage->in_flight.empty(); }
};

class EngineTable {
 public:
  explicit EngineTable(const Settings& settings);

  // Starts a complete list: engines that it does not contain are no longer ready.
  void begin_snapshot();
  Engine& find_or_add(EngineId engine) { return engines_[engine]; }
  void set_endpoint(Engine& engine, const Endpoint& endpoint);
  void mark_changed() { is_changed_ = true; }
  [[nodiscard]] bool is_changed() const { return is_changed_; }
  // Removes engines that are gone and computes the sums over the rest. Parts that hold pointers to engines
  // must drop those of gone engines first.
  void refresh();

  void start_attempt(Engine& engine, RequestId request, AttemptIndex attempt, unsigned threads);
  void finish_attempt(Engine& engine, RequestId request, AttemptIndex attempt, unsigned threads);

  [[nodiscard]] Engine* find(EngineId engine);
  [[nodiscard]] Engine& at(EngineId engine) { return engines_.at(engine); }
  [[nodiscard]] const Engine& at(EngineId engine) const { return engines_.at(engine); }
  [[nodiscard]] const std::vector<Engine*>& ready() const { return ready_; }  // in ascending order of ids
  // Engines with a query of this router.
  [[nodiscard]] const std::set<EngineId>& busy() const { return busy_; }
  [[nodiscard]] unsigned queries_in_flight() const;
  [[nodiscard]] double cores(const Engine& engine) const {
    return settings_.machine_types[engine.endpoint->machine_type].cores;
  }
  [[nodiscard]] double cores() const { return cores_; }  // sum over all ready engines
  // This router's share of the fleet, in threads.
  [[nodiscard]] double pool_threads() const { return pool_threads_; }
  // The pool has room for only a few queries of the class with the most threads per query, so budgets alone
  // cannot keep the classes apart.
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

// Threads of the pool per core: close to the peak throughput of an engine for usual mixes of queries.
constexpr double kThreadsPerCore = 2.0;

}  // namespace heronwell
