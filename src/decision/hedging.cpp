#include "hedging.hpp"

#include <algorithm>

namespace heronwell {
namespace {
// Age of an attempt, in expected answer times, at which it is hedged: late enough that an attempt at a
// healthy engine is rarely hedged, early enough for another attempt to be in time.
constexpr double kHedgeAfterAnswerTimes = 4;

// Age of an attempt without progress, in expected answer times, at which it is given up as lost.
constexpr double kLostAfterAnswerTimes = 6;

// Largest work of hedges, as a part of the work of all requests: the fleet must be able to run them on the
// day with the highest load.
constexpr double kHedgeWorkRatio = 0.2;

// Largest saved budget, in queries of the heaviest class: a burst of lost answers is hedged at once, a
// permanent fault is not.
constexpr double kMaxSavedHedges = 10;
}  // namespace

void Hedging::add_budget(ClassIndex cls) {
  budget_work_ = std::min(budget_work_ + kHedgeWorkRatio * parts_.statistics.of(cls).work,
                          kMaxSavedHedges * parts_.statistics.heaviest_work());
}

void Hedging::check_attempt(Request& request, AttemptIndex index) {
  const auto& attempt = request.attempts[index];
  const double answer_times =
      to_seconds(clock_.now - attempt.started) / parts_.statistics.expected_answer_seconds(request);
  if (!settings_.hedging_enabled || !request.is_open || answer_times < kHedgeAfterAnswerTimes) return;
  const bool has_no_progress = attempt.last_progress == attempt.started;
  if (answer_times > kLostAfterAnswerTimes && has_no_progress)
    return parts_.retry_policy.give_up(request, index);
  const bool is_latest = index + 1U == request.attempts.size();
  if (!is_latest || request.attempts.size() >= settings_.max_attempts) return;
  const double work = parts_.statistics.work(request);
  if (request.is_queued || parts_.congestion.is_congested() || budget_work_ < work) return;
  // If two attempts are in flight already, the earlier one is cancelled, and a third replaces it.
  for (std::size_t earlier = 0; earlier < index; ++earlier) parts_.completion.cancel(request, earlier);
  Engine* engine = parts_.selector.select(request);
  if (engine != nullptr && parts_.dispatcher.start_attempt(request, *engine)) budget_work_ -= work;
}

}  // namespace heronwell
