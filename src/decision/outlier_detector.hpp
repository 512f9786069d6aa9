// Ejection of engines that fail, probation afterwards, and what failures and silence mean. Inputs: results
// of attempts and health checks, progress messages. Output: the health state of each engine (healthy,
// ejected, probation), log lines, and cancellations of what an ejected engine runs, where that is
// idempotent. An engine is ejected for 1 s, doubled at each failed probation up to 4 s, times a random
// factor from 0.5 to 1.5; on probation it gets one idempotent query at a time. Failure 1: an engine that
// fails every query at once looks fast and empty, and draws all work. Guard: two failures in a row eject
// it, whatever its load. Failure 2: one client sends a query that no engine can answer, and would get all
// engines ejected. Guard: an error counts only if the query was served elsewhere, or cannot be tried
// elsewhere. Failure 3: an engine stops without closing its connections. Guard: answers overdue, with no
// word from it, eject it.
#pragma once

#include "class_statistics.hpp"
#include "congestion.hpp"
#include "decision_context.hpp"
#include "engine_table.hpp"
#include "health_checker.hpp"
#include "load_estimator.hpp"
#include "request_table.hpp"
#include "retry_policy.hpp"
#include "slow_start.hpp"

namespace heronwell {

enum class EjectionReason { failing, silent, at_capacity, unreachable, down };

class OutlierDetector {
 public:
  struct Parts {
    EngineTable& engines;
    RequestTable& requests;
    const ClassStatistics& statistics;
    SlowStart& slow_start;
    LoadEstimator& load;
    RetryPolicy& retry_policy;
    HealthChecker& health_checker;
  };
  OutlierDetector(const Settings& settings, const Clock& clock, RandomSource& random, ActionList& actions,
                  Parts parts)
      : settings_(settings), clock_(clock), random_(random), actions_(actions), parts_(parts) {}

  // The engine restarted: what was known of it is void.
  void reset(Engine& engine);
  // This router had not run: no engine was silent meanwhile.
  void exclude_pause(Engine& engine) { engine.health.edit().last_progress += clock_.pause; }
  // A query goes to the engine; one that was idle is silent from now on.
  void record_start(Engine& engine);
  void record_progress(Engine& engine) { engine.health.edit().last_progress = clock_.now; }
  void record_result(Engine& engine, const Request& request, AttemptResult result);
  void record_failed_health_check(Engine& engine);

  // Silence. `quiet` is the time since the engine's last word. check_attempt returns how many answers the
  // attempt is overdue by, which are summed over the engine's attempts for check_silence.
  double check_attempt(Engine& engine, Request& request, AttemptIndex index, Time silence);
  void check_silence(Engine& engine, Time silence, double overdue_answers);

  // Whether the engine's health allows it a query of this request. An ejection that is over becomes probation
  // here.
  bool admits(const Request& request, Engine& engine);

 private:
  enum class InFlight { give_up, keep };

  void record_served(Engine& engine, const Request& request);
  void record_error(Engine& engine, const Request& request);
  void record_rejection(Engine& engine);
  void record_connection_failure(Engine& engine, AttemptResult result);
  void record_failures_of_other_engines(const Request& request, const Engine& served_by);
  void record_failure(Engine& engine, double weight, InFlight in_flight = InFlight::give_up);
  void eject(Engine& engine, EjectionReason reason, InFlight in_flight = InFlight::give_up);
  void log(const Engine& engine, const char* text);

  const Settings& settings_;
  const Clock& clock_;
  RandomSource& random_;
  ActionList& actions_;
  Parts parts_;
};

}  // namespace heronwell
