// EngineSelector chooses the engine for an attempt. Its inputs are the load of the engines in threads
// (load_estimator), their health, slow start and zone, and the request's data group. It returns the compared
// engine with the lowest score in threads per core, or none if all engines are at their limits or the request
// should wait for health checks.
//
// In a small fleet all engines are compared. In a large one, these are compared: the engines with the newest
// reports, the engines in slow start that this router may send to, one that holds the data of the group, and
// two drawn at random. The cost of a choice therefore does not grow with the fleet.
//
// A router may fill its own share of an engine. It may exceed its share only while the engine is below 1.5
// threads per core of all routers (or answers at its usual speed), and never above 2.2. Without further
// measures, all routers would choose the engine that seems emptiest and overload it before any report shows
// the load. Therefore the router's own threads enter the score at once, and random noise is added to scores,
// the more, the less reliable the reports are.
#pragma once

#include <cstdint>
#include <vector>

#include "class_ranking.hpp"
#include "congestion.hpp"
#include "decision_context.hpp"
#include "engine_table.hpp"
#include "forwarding_rules.hpp"
#include "health_checker.hpp"
#include "load_estimator.hpp"
#include "outlier_detector.hpp"
#include "preferred_engines.hpp"
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

  // Returns the engine at which an attempt of the request should start now; null: the request waits.
  Engine* select(Request& request);
  // The fleet has changed, so the preferred engines of all data groups are chosen again.
  void clear_preferred_engines() { preferred_.clear(); }

 private:
  const std::vector<Engine*>& candidates(const Request& request);
  void add_candidate(Engine* engine);
  bool may_take(const Request& request, Engine& engine);
  [[nodiscard]] bool has_capacity(const Engine& engine, ClassIndex cls) const;
  double score(const Request& request, const Engine& engine);

  const Settings& settings_;
  const Clock& clock_;
  const ClassRanking& ranking_;
  RandomSource& random_;
  Parts parts_;
  bool some_class_waits_for_loads_;
  PreferredEngines preferred_;
  std::vector<Engine*> compared_;  // candidates for the current request
  std::uint64_t comparison_ = 0;   // number of the current comparison; prevents duplicate candidates
};

}  // namespace heronwell
