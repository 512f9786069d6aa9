// DecisionDriver is the fixture of the decision tests. It runs a decision engine on a clock that the test
// advances, and records the engine's actions.
#pragma once

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "heronwell/decision_engine.hpp"

namespace heronwell::test {

using namespace std::chrono_literals;

// Classes of basic_settings(): idempotent; not idempotent; with an idempotency key that is valid within
// a zone.
constexpr ClassIndex kIdempotent = 0, kNotIdempotent = 1, kWithKey = 2;

inline Settings basic_settings() {
  Settings settings;
  settings.router_count = 1;
  settings.max_attempts = 3;
  settings.retry_after_enabled = true;
  settings.max_retry_after = 500ms;
  settings.cancellation_enabled = true;
  settings.machine_types = {{"one", 4, 8192}, {"two", 4, 8192}};
  ClassSettings idempotent;
  idempotent.name = "quick";
  idempotent.latency_objective = 1s;
  idempotent.timeout = 5s;
  ClassSettings not_idempotent = idempotent;
  not_idempotent.name = "once";
  not_idempotent.latency_objective = 2s;
  not_idempotent.idempotency = Idempotency::not_idempotent;
  ClassSettings with_key = idempotent;
  with_key.name = "keyed";
  with_key.latency_objective = 3s;
  with_key.idempotency = Idempotency::idempotency_key;
  with_key.deduplication_scope = DeduplicationScope::zone;
  with_key.deduplication_window = 2s;
  settings.classes = {idempotent, not_idempotent, with_key};
  settings.slow_start_initial_capacity = 0.4;
  settings.slow_start_duration = 10s;
  settings.slow_start_overload_ratio = 2.5;
  settings.slow_start_overload_window = 2s;
  settings.drain_grace_period = 500ms;
  return settings;
}

class DecisionDriver {
 public:
  explicit DecisionDriver(Settings settings, std::uint64_t seed = 1)
      : decision_engine(std::move(settings), seed) {}

  // Sets the clock to `time` and passes the events to the decision engine. Returns its actions and records
  // them in the members below.
  std::vector<Action> handle(Time time, std::vector<Event> events) {
    now = time;
    std::vector<Action> actions;
    decision_engine.handle(now, events, actions);
    for (const auto& action : actions) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) started.push_back(*start);
      if (std::holds_alternative<SetTimer>(action)) next_timer = now + std::get<SetTimer>(action).delay;
      if (const auto* reject = std::get_if<Reject>(&action)) ++rejected[reject->request];
      if (const auto* fail = std::get_if<FailRequest>(&action)) ++failed[fail->request];
      if (const auto* cancel = std::get_if<CancelAttempt>(&action))
        cancelled.emplace_back(cancel->request, cancel->attempt);
    }
    return actions;
  }
  // Advances the clock to `time`; timers fire when they are due.
  void run_until(Time time) {
    while (next_timer <= time) handle(next_timer, {TimerFired{}});
    handle(time, {});
  }
  void update_endpoints(std::vector<Endpoint> endpoints, UpdateKind kind = UpdateKind::snapshot) {
    handle(now, {EndpointUpdate{kind, std::move(endpoints)}});
  }
  void request(RequestId id, ClassIndex cls, Time time_left = 5s, std::uint64_t order_key = 0,
               std::int64_t data_group = 1) {
    RequestArrived arrival;
    arrival.request = id;
    arrival.class_index = cls;
    arrival.time_left = time_left;
    arrival.order_key = order_key;
    arrival.data_group = data_group;
    handle(now, {arrival});
  }
  void finish(RequestId id, AttemptIndex attempt, EngineId engine, AttemptResult result,
              Time latency = 100ms) {
    AttemptFinished outcome;
    outcome.request = id;
    outcome.attempt = attempt;
    outcome.engine = engine;
    outcome.result = result;
    outcome.latency = latency;
    outcome.request_finished = result == AttemptResult::served;
    handle(now, {outcome});
  }
  [[nodiscard]] int attempts_of(RequestId id) const {
    return static_cast<int>(std::ranges::count(started, id, &StartAttempt::request));
  }
  [[nodiscard]] int attempts_at(EngineId engine) const {
    return static_cast<int>(std::ranges::count(started, engine, &StartAttempt::engine));
  }
  // Engine of the n-th attempt (from 0) of the request; 0: there is no such attempt.
  [[nodiscard]] EngineId engine_of(RequestId id, int n) const {
    for (const auto& start : started) {
      if (start.request == id && n-- == 0) return start.engine;
    }
    return 0;
  }
  [[nodiscard]] int final_answers(RequestId id) { return rejected[id] + failed[id]; }

  DecisionEngine decision_engine;
  Time now{100s};
  Time next_timer{1000000s};
  std::vector<StartAttempt> started;
  std::map<RequestId, int> rejected, failed;
  std::vector<std::pair<RequestId, AttemptIndex>> cancelled;
};

inline Endpoint endpoint(EngineId id, std::uint16_t zone = 0, std::uint16_t machine_type = 0) {
  Endpoint entry;
  entry.engine = id;
  entry.zone = zone;
  entry.machine_type = machine_type;
  entry.cell = zone;
  return entry;
}

inline Endpoint with_state(Endpoint entry, EndpointState state) {
  entry.state = state;
  return entry;
}

// Returns a request of the first class that carries estimates of its work and memory.
inline RequestArrived estimated_request(RequestId id, Time work, double memory_mb = 0) {
  RequestArrived arrival;
  arrival.request = id;
  arrival.time_left = 5s;
  arrival.estimated_work = work;
  arrival.estimated_memory_mb = memory_mb;
  return arrival;
}

}  // namespace heronwell::test
