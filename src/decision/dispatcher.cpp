#include "dispatcher.hpp"

#include <algorithm>
#include <vector>

namespace heronwell {
namespace {
// Lower bound on the queueing limit of a request, as a part of its latency objective. After a longer time in
// the queue, most answers are late.
constexpr double kQueueingTimeRatio = 0.4;

// Time that the queueing limit leaves for running, in expected answer times. It is more than one, as half of
// the queries take longer than their expected answer time.
constexpr double kRunningTimeRatio = 2.0;
}  // namespace

void Dispatcher::dispatch() {
  while (dispatch_one(BudgetState::under) || dispatch_one(BudgetState::spent)) continue;
}

bool Dispatcher::dispatch_one(BudgetState budget) {
  return std::ranges::any_of(ranking_, [&](ClassIndex c) {
    const auto& queued = parts_.requests.queue(c).requests;
    const auto state = parts_.controller.is_under_budget(c) ? BudgetState::under : BudgetState::spent;
    if (queued.empty() || budget != state) return false;
    return order_ != nullptr ? dispatch_first(order_->next_requests(c)) : dispatch_first(queued);
  });
}

// Starts the first request that may run. Only requests that wait for others of their ordering key are
// skipped. A request for which no engine is found keeps its place, so that smaller ones do not starve it.
bool Dispatcher::dispatch_first(const auto& requests) {
  for (const auto id : requests) {
    auto* request = parts_.requests.find(id);
    if (request == nullptr || !request->is_queued || !parts_.rules.is_next_in_key_order(*request)) continue;
    Engine* engine = parts_.selector.select(*request);
    if (engine == nullptr || !start_attempt(*request, *engine)) return false;
    parts_.requests.dequeue(*request);
    return true;
  }
  return false;
}

bool Dispatcher::start_attempt(Request& request, Engine& engine) {
  if (!parts_.rules.may_start(request, engine)) return false;
  const auto id = request.id();
  const auto index = static_cast<AttemptIndex>(request.attempts.size());
  // A hedge has no queueing delay.
  if (request.is_queued)
    parts_.controller.record_delay(request.arrival.class_index, to_seconds(clock_.now - request.queued_at));
  if (index > 0) parts_.retry_budget.record_further_attempt();
  if (settings_.memory_grants_enabled || settings_.engine_priorities_enabled)
    actions_.append(SetResources{id, parts_.grants.memory_mb(request), parts_.grants.priority(request)});
  actions_.append(
      StartAttempt{id, engine.id(), request.deadline - kAnswerMargin, parts_.rules.latest_start(request)});
  parts_.slow_start.charge(engine, request);
  parts_.outliers.record_start(engine);
  parts_.engines.start_attempt(engine, id, index, parts_.requests.settings_of(request).threads);
  parts_.requests.start_attempt(request, {.engine = engine.id(),
                                          .zone = engine.endpoint->zone,
                                          .cell = engine.endpoint->cell,
                                          .started = clock_.now,
                                          .last_progress = clock_.now});
  if (order_ != nullptr) order_->attempt_started(id);
  return true;
}

// An estimate of the work determines the expected answer time and the latency objective of the request.
// Without an estimate, the usual times of its class are used.
Time Dispatcher::max_queueing_time(const Request& request) const {
  const auto c = request.arrival.class_index;
  const auto& cls = settings_.classes[c];
  const double objective = to_seconds(cls.latency_objective);
  const double min_seconds = kQueueingTimeRatio * objective;
  if (request.arrival.estimated_work) {
    const double slack_ratio = cls.latency_objective_per_work - kRunningTimeRatio;
    const double expected = parts_.statistics.expected_answer_seconds(request);
    return from_seconds(std::max(min_seconds, objective + slack_ratio * expected));
  }
  const double full_objective = parts_.statistics.latency_objective_seconds(c);
  const double mean_answer = parts_.statistics.of(c).mean_answer_seconds;
  return from_seconds(std::max(min_seconds, kQueueingTimeRatio * full_objective - mean_answer));
}

void Dispatcher::drop_overdue() {
  for (const auto& queue : parts_.requests.queues()) {
    for (const auto id : std::vector(queue.requests.begin(), queue.requests.end())) {
      auto& request = parts_.requests.at(id);
      if (clock_.now - request.queued_at > max_queueing_time(request))
        parts_.completion.reject_or_fail(request);
    }
  }
}

}  // namespace heronwell
