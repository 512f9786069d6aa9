// OutlierDetector ejects engines that fail or stop responding, and admits them again on probation. Its inputs
// are results of attempts and health checks, and progress messages. Its outputs are the health state of each
// engine (healthy, ejected, probation), log lines, and cancellations of the idempotent attempts that an
// ejected engine runs. An engine is ejected for 1 s, doubled at each failed probation up to 4 s, times a
// random factor from 0.5 to 1.5. On probation it gets one idempotent query at a time. The detector handles
// three failures:
//   1. An engine that fails every query at once looks fast and empty, and attracts all queries. Two failures
//      in a row eject it, whatever its load.
//   2. A client sends a query that no engine can answer, which would get all engines ejected. An error counts
//      only if the query was served by another engine, or cannot be tried at another engine.
//   3. An engine stops without closing its connections. It is ejected when answers are overdue and it has
//      sent no message.
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

  // The engine restarted, so its earlier failures and ejections no longer count.
  void reset(Engine& engine);
  // Excludes a pause of this router from the engine's silence.
  void exclude_pause(Engine& engine) { engine.health.edit().last_progress += clock_.pause; }
  // Records that a query is sent to the engine. The silence of an idle engine is measured from its first
  // query.
  void record_start(Engine& engine);
  void record_progress(Engine& engine) { engine.health.edit().last_progress = clock_.now; }
  void record_result(Engine& engine, const Request& request, AttemptResult result);
  void record_failed_health_check(Engine& engine);

  // Checks for silence. `silence` is the time since the engine's last message. check_attempt returns by how
  // many answer times the attempt is overdue; the sum over the engine's attempts is passed to check_silence.
  double check_attempt(Engine& engine, Request& request, AttemptIndex index, Time silence);
  void check_silence(Engine& engine, Time silence, double overdue_answers);

  // Whether the engine's health allows a query of this request. An ejected engine whose ejection time is over
  // goes on probation here.
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
