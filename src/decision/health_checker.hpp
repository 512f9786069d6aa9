// HealthChecker decides which engines are checked now, within a budget of one check per request. Its inputs
// are the age of each engine's load report and the arrivals of requests. It emits StartHealthCheck, and
// returns whether a request waits for the checks made for it. Small pools check a few engines for each
// request, as they receive too few answers to estimate the load of the fleet. Large pools renew all old
// reports at every tick instead. The budget prevents health checks from loading the fleet themselves: up to
// twenty unused checks are saved, and some of those are reserved for heavy queries, for which a wrong choice
// costs most.
#pragma once

#include <vector>

#include "class_statistics.hpp"
#include "decision_context.hpp"
#include "engine_table.hpp"
#include "request_table.hpp"

namespace heronwell {

class HealthChecker {
 public:
  HealthChecker(const Settings& settings, const Clock& clock, const EngineTable& engines,
                const ClassStatistics& statistics, ActionList& actions)
      : settings_(settings), clock_(clock), engines_(engines), statistics_(statistics), actions_(actions) {}

  // A request has arrived: one more check may be made.
  void add_budget();
  // Checks the engine now. Returns false if health checks are disabled or the budget is spent.
  bool check(Engine& engine);
  // In large pools, checks every engine whose report is old.
  void check_stale_engines();
  // In small pools, checks engines for this request, once. Returns true if the request should wait for the
  // results.
  bool check_for(Request& request, const std::vector<Engine*>& engines);

 private:
  bool check_if_stale(Engine& engine, double reserve);

  const Settings& settings_;
  const Clock& clock_;
  const EngineTable& engines_;
  const ClassStatistics& statistics_;
  ActionList& actions_;
  double budget_ = 0;  // checks that may be made now
};

}  // namespace heronwell
