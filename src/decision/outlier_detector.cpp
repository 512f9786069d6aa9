#include "outlier_detector.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace heronwell {
namespace {
using namespace std::chrono_literals;

// Weight of one result in an engine's error ratio, and the ratio at which the engine is ejected, which two
// failures in a row reach.
constexpr double kResultWeight = 0.25;
constexpr double kMaxErrorRatio = 0.4;

// A connection reset that cannot be followed by a health check counts as two failures.
constexpr double kUncheckedResetWeight = 2 * kResultWeight;

// Duration of the first ejection, and the limit up to which it doubles. It is long enough for a process to
// restart, and short enough that one wrong decision costs little of the engine's capacity.
constexpr Time kBaseEjectionTime = 1s;
constexpr Time kMaxEjectionTime = 4s;

// The ejection time is multiplied by a random factor from this value to this value plus one, so that routers
// do not all return to the engine at the same time.
constexpr double kMinEjectionSpread = 0.5;

// An engine counts as silent if its attempts are overdue by more than kMaxOverdueAnswers usual answer times
// in sum, and if it has sent no message for kMinSilence. One attempt counts for at most
// kMaxOverduePerAttempt, as a single long query does not prove silence.
constexpr double kMaxOverdueAnswers = 6;
constexpr double kMaxOverduePerAttempt = 3;
constexpr Time kMinSilence = 800ms;

// Number of progress intervals without a message after which an attempt, or its answer, counts as lost: one
// message may be late.
constexpr int kMaxMissedProgress = 2;

const char* log_text(EjectionReason reason) {
  switch (reason) {
    case EjectionReason::failing:
      return "ejected: fails its queries";
    case EjectionReason::silent:
      return "ejected: silent";
    case EjectionReason::at_capacity:
      return "ejected: at capacity";
    case EjectionReason::unreachable:
      return "ejected: accepts no connections";
    case EjectionReason::down:
      return "ejected: down";
  }
  return "ejected";
}
}  // namespace

void OutlierDetector::reset(Engine& engine) {
  auto& health = engine.health.edit();
  health.state = HealthState::healthy;
  health.error_ratio = 0;
  health.ejection_time = Time::zero();
}

void OutlierDetector::record_start(Engine& engine) {
  if (engine.usage->in_flight.empty()) engine.health.edit().last_progress = clock_.now;
}

void OutlierDetector::record_result(Engine& engine, const Request& request, AttemptResult result) {
  switch (result) {
    case AttemptResult::served:
      return record_served(engine, request);
    case AttemptResult::error:
      return record_error(engine, request);
    case AttemptResult::rejected:
      return record_rejection(engine);
    case AttemptResult::not_connected:
    case AttemptResult::reset:
      return record_connection_failure(engine, result);
    case AttemptResult::timed_out:
    case AttemptResult::cancelled:
    case AttemptResult::never_started:
      return;  // these results say nothing about the engine; silence is detected separately
  }
}

void OutlierDetector::record_served(Engine& engine, const Request& request) {
  record_progress(engine);
  parts_.slow_start.record_liveness(engine, clock_.now);
  record_failures_of_other_engines(request, engine);
  auto& health = engine.health.edit();
  health.error_ratio -= kResultWeight * health.error_ratio;
  if (health.state != HealthState::probation) return;
  health.state = HealthState::healthy;
  health.ejection_time = Time::zero();
  parts_.engines.mark_changed();
  log(engine, "recovered");
}

// An error is caused by the engine or by the query itself, and the next attempt shows which. If the query is
// served by another engine, the error counts against each engine that failed it. If two engines fail it, it
// counts against neither. If the query cannot be tried again, the error counts against its engine at once.
void OutlierDetector::record_error(Engine& engine, const Request& request) {
  const auto failed_elsewhere = [&](const Attempt& attempt) {
    return !attempt.in_flight && attempt.result == AttemptResult::error && attempt.engine != engine.id();
  };
  if (std::ranges::any_of(request.attempts, failed_elsewhere)) return;
  if (parts_.engines.ready().size() > 1 && parts_.retry_policy.may_retry(request)) return;
  record_failure(engine, kResultWeight);
}

void OutlierDetector::record_failures_of_other_engines(const Request& request, const Engine& served_by) {
  for (const auto& attempt : request.attempts) {
    if (attempt.in_flight || attempt.result != AttemptResult::error) continue;
    auto* engine = parts_.engines.find(attempt.engine);
    if (engine != nullptr && engine != &served_by) record_failure(*engine, kResultWeight);
  }
}

// If an engine rejects queries although its reports show free capacity, each new report makes it look empty
// again, so it attracts queries and rejects them. Therefore the engine counts as loaded until its next
// report, and each rejection at a reported free capacity counts as a failure. The attempts in flight continue
// if the engine is ejected for this.
void OutlierDetector::record_rejection(Engine& engine) {
  if (!parts_.load.fleet_level()) return eject(engine, EjectionReason::at_capacity);
  const auto threads = parts_.load.threads_on(engine);
  const bool reported_free_capacity =
      threads && *threads < kCongestedThreadsPerCore * parts_.engines.cores(engine);
  record_progress(engine);
  parts_.load.record_overload(engine);
  if (reported_free_capacity) record_failure(engine, kResultWeight, InFlight::keep);
}

// The process may have ended and may restart before an endpoint list shows it, so the engine goes through
// slow start again.
void OutlierDetector::record_connection_failure(Engine& engine, AttemptResult result) {
  if (result == AttemptResult::not_connected) {
    parts_.slow_start.record_connection_failure(engine, SlowStart::ConnectionFailure::not_connected);
    return eject(engine, EjectionReason::unreachable);
  }
  parts_.slow_start.record_connection_failure(engine, SlowStart::ConnectionFailure::reset);
  const bool is_checked = parts_.health_checker.check(engine);
  record_failure(engine, is_checked ? kResultWeight : kUncheckedResetWeight);
}

void OutlierDetector::record_failed_health_check(Engine& engine) {
  if (engine.slow_start->connection_broken_at > Time::zero()) eject(engine, EjectionReason::down);
}

void OutlierDetector::record_failure(Engine& engine, double weight, InFlight in_flight) {
  auto& health = engine.health.edit();
  health.error_ratio += weight * (1 - health.error_ratio);
  if (health.state == HealthState::probation || health.error_ratio >= kMaxErrorRatio)
    eject(engine, EjectionReason::failing, in_flight);
}

void OutlierDetector::eject(Engine& engine, EjectionReason reason, InFlight in_flight) {
  auto& health = engine.health.edit();
  if (health.state == HealthState::ejected) return;
  if (health.state == HealthState::healthy) log(engine, log_text(reason));
  health.state = HealthState::ejected;
  parts_.engines.mark_changed();
  health.ejection_time = health.ejection_time > Time::zero()
                             ? std::min(2 * health.ejection_time, kMaxEjectionTime)
                             : kBaseEjectionTime;
  const double spread = kMinEjectionSpread + random_.fraction();
  health.ejected_until = clock_.now + from_seconds(to_seconds(health.ejection_time) * spread);
  if (in_flight == InFlight::keep) return;
  const auto& running = engine.usage->in_flight;
  for (const auto& [request, attempt] : std::vector(running.begin(), running.end()))
    parts_.retry_policy.give_up(parts_.requests.at(request), attempt);
}

double OutlierDetector::check_attempt(Engine& engine, Request& request, AttemptIndex index, Time silence) {
  const auto& attempt = request.attempts[index];
  if (settings_.progress_interval == Time::zero()) {
    const Time age = std::min(silence, clock_.now - attempt.started);
    return std::min(to_seconds(age) / parts_.statistics.of(request).mean_answer_seconds,
                    kMaxOverduePerAttempt);
  }
  // Where engines send progress messages, an attempt without them is lost. If the engine sent no other
  // message either, the engine is silent.
  const Time limit = kMaxMissedProgress * settings_.progress_interval;
  if (clock_.now - attempt.last_progress <= limit || !attempt.is_awaited()) return 0;
  if (silence > limit) {
    eject(engine, EjectionReason::silent);
  } else {
    parts_.retry_policy.give_up(request, index);
  }
  return 0;
}

void OutlierDetector::check_silence(Engine& engine, Time silence, double overdue_answers) {
  if (silence > kMinSilence && overdue_answers > kMaxOverdueAnswers) eject(engine, EjectionReason::silent);
}

bool OutlierDetector::admits(const Request& request, Engine& engine) {
  if (engine.health->state == HealthState::healthy) return true;
  if (engine.health->state == HealthState::ejected && clock_.now >= engine.health->ejected_until)
    engine.health.edit().state = HealthState::probation;
  return engine.health->state == HealthState::probation && engine.usage->queries == 0 &&
         parts_.requests.settings_of(request).idempotency == Idempotency::idempotent;
}

void OutlierDetector::log(const Engine& engine, const char* text) {
  actions_.append(LogDecision{"engine " + std::to_string(engine.id()) + " " + text});
}

}  // namespace heronwell
