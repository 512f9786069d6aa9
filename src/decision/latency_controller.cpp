#include "latency_controller.hpp"

#include <algorithm>

namespace heronwell {
namespace {
// K of equation (1), in tenths of the pool for an error of one delay objective. It is negative, because a
// delay above its objective gives a negative error, which must raise the budget.
constexpr double kGain = -0.80;
constexpr double kGainUnitRatio = 0.10;

// r of equation (1): the weight with which the previous error is subtracted.
constexpr double kPreviousErrorRatio = 0.30;

// The delay objective as a part of the latency objective; the rest is left for running.
constexpr double kDelayObjectiveRatio = 0.30;

// Bound on the error of a delay that is too long, in delay objectives.
constexpr double kMaxError = 3.0;
}  // namespace

LatencyController::LatencyController(const Settings& settings, const Clock& clock,
                                     const ClassRanking& ranking, const RequestTable& requests,
                                     const EngineTable& engines)
    : settings_(settings), clock_(clock), ranking_(ranking), requests_(requests), engines_(engines) {
  for (const auto& cls : settings.classes) {
    ClassControl initial;
    initial.control_input = cls.threads;
    classes_.push_back(initial);
  }
}

void LatencyController::record_delay(ClassIndex cls, double seconds) {
  classes_[cls].delay_seconds += seconds;
  ++classes_[cls].requests;
}

double LatencyController::mean_delay_seconds(ClassIndex cls) const {
  double seconds = classes_[cls].delay_seconds;
  double count = classes_[cls].requests;
  for (const auto id : requests_.queue(cls).requests) {
    seconds += to_seconds(clock_.now - requests_.at(id).queued_at);
    ++count;
  }
  return count > 0 ? seconds / count : 0;
}

void LatencyController::sample() {
  const double pool = engines_.pool_threads();
  double demand = 0;
  for (const auto& control : classes_) demand += control.control_input;
  const bool is_saturated = demand > pool;
  for (const auto c : ranking_) {
    auto& control = classes_[c];
    const double objective = kDelayObjectiveRatio * to_seconds(settings_.classes[c].latency_objective);
    const double error = std::max(-kMaxError, (objective - mean_delay_seconds(c)) / objective);
    const double previous_input = is_saturated ? control.budget : control.control_input;
    const double query_threads = settings_.classes[c].threads;
    control.control_input =
        std::clamp(previous_input +
                       kGain * kGainUnitRatio * pool * (error - kPreviousErrorRatio * control.previous_error),
                   query_threads, std::max(query_threads, pool));
    control.previous_error = error;
    control.delay_seconds = 0;
    control.requests = 0;
  }
}

void LatencyController::allocate_budgets() {
  const double pool = engines_.pool_threads();
  double left = pool;
  for (const auto c : ranking_) {
    auto& control = classes_[c];
    const double query_threads = settings_.classes[c].threads;
    const double demand = std::clamp(control.control_input, query_threads, std::max(query_threads, pool));
    control.budget = std::max(query_threads, std::min(demand, left));
    left = std::max(0.0, left - control.budget);
  }
}

}  // namespace heronwell
