// Which engines are checked now, within a budget of one check per request. Inputs: the age of each engine's
// load report, the requests that arrive. Output: StartHealthCheck, and whether a request waits for the checks
// made for it. Small pools check a few engines for each request, as they have too few answers to know the
// fleet by; large pools keep all reports fresh at every tick instead. Guards against checks that load the
// fleet themselves: unused ones are saved up to twenty, and some of those are left for heavy queries, for
// which a wrong choice costs most.
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

  // A request arrived: one more check may be made.
  void add_budget();
  // Checks the engine now. False: health checks are off, or the budget is spent.
  bool check(Engine& engine);
  // Large pools: checks every engine whose report is old.
  void check_stale_engines();
  // Small pools: checks engines for this request, once. True: it should wait for the results.
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
