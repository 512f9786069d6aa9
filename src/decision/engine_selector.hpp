// On which engine an attempt runs. Inputs: load of the engines in threads (load_estimator), their health,
// slow start and zone, the request's data group. Output: the engine with the lowest score in threads a core
// among those compared, or none, if all are at their limits or the request should wait for health checks.
// Engines compared: all of a small fleet; of a large one those with the newest reports, those that admit this
// router in slow start, one that has the group's data and two drawn at random, so that the cost does not grow
// with the fleet. Limits: the router's own part of an engine, beyond it only while the engine is below 1.5
// threads a core of all routers (or answers at its usual speed), and never beyond 2.2. Failure: all routers
// choose the engine that seems emptiest, and overload it before any report says so. Guard: the router's own
// threads enter the score at once, and scores are blurred by the more, the less reports are believed.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "class_ranking.hpp"
#include "congestion.hpp"
#include "decision_context.hpp"
#include "engine_table.hpp"
#include "forwarding_rules.hpp"
#include "health_checker.hpp"
#include "load_estimator.hpp"
#include "outlier_detector.hpp"
#include "slow_start.hpp"

namespace heronwell {

class EngineSelector {
 public:
  struct Parts {
    const EngineTable& engines;
    const RequestTable& requests;
    const LoadEstimator& load;
    const Congestion& congestion;
    const ForwardingRules& rules;
    SlowStart& slow_start;
    OutlierDetector& outliers;
    HealthChecker& health_checker;
  };
  EngineSelector(const Settings& settings, const Clock& clock, const ClassRanking& ranking,
                 RandomSource& random, Parts parts);

  // The engine to start an attempt at now; null: none, the request waits.
  Engine* select(Request& request);
  // The fleet changed: the preferred engines of data groups are chosen anew.
  void clear_preferred_engines() { preferred_.clear(); }

 private:
  const std::vector<Engine*>& candidates(const Request& request);
  void add_candidate(Engine* engine);
  const std::vector<Engine*>& preferred_engines(std::int64_t data_group);
  bool is_preferred(std::int64_t data_group, const Engine& engine);
  bool may_take(const Request& request, Engine& engine);
  [[nodiscard]] bool has_capacity(const Engine& engine, ClassIndex cls) const;
  double score(const Request& request, const Engine& engine);

  const Settings& settings_;
  const Clock& clock_;
  const ClassRanking& ranking_;
  RandomSource& random_;
  Parts parts_;
  bool some_class_waits_for_loads_;
  std::map<std::int64_t, std::vector<Engine*>> preferred_;  // by data group
  std::vector<Engine*> compared_;                           // for the current request
  std::uint64_t comparison_ = 0;                            // counts comparisons, to add an engine once
};

}  // namespace heronwell
