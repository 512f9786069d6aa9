#include "retry_policy.hpp"

#include <algorithm>

namespace heronwell {
namespace {
using namespace std::chrono_literals;

// Age of an attempt before which its progress is not used: the first messages reflect the opening of files.
constexpr Time kMinProgressAge = 900ms;

// Predicted duration, in usual answer times of such a query, that indicates a bad plan: the rest would take
// longer than a new start at another engine.
constexpr double kBadPlanRatio = 5;

// Lower bound on the part done in a prediction. It limits the predicted duration to 200 times the age.
constexpr double kMinProgress = 0.005;

// Tells the two reasons for waiting apart, which AttemptProgress::amount gives as a code: 1 if the attempt
// waits for memory, 2 if it waits for a query that loads its data group. Above this bound it is the latter.
constexpr double kMinLoadWaitAmount = 1.5;
}  // namespace

bool RetryPolicy::may_retry(const Request& request) const {
  const auto may_start = [&](const Engine* engine) { return rules_.may_ever_start(request, *engine); };
  return request.is_open && std::ranges::any_of(engines_.ready(), may_start) &&
         rules_.has_attempts_left(request);
}

void RetryPolicy::retry_or_finish(Request& request) {
  if (may_retry(request)) {
    requests_.enqueue(request, RequestTable::QueueEnd::front, clock_.now);
  } else {
    completion_.reject_or_fail(request);
  }
}

void RetryPolicy::give_up(Request& request, AttemptIndex attempt) {
  if (!request.is_open || requests_.settings_of(request).idempotency != Idempotency::idempotent) return;
  if (request.awaited_attempts() > 1 || rules_.has_attempts_left(request))
    completion_.cancel(request, attempt);
}

void RetryPolicy::check_progress(Request& request, const AttemptProgress& progress) {
  const Time age = clock_.now - request.attempts[progress.attempt].started;
  const bool has_usable_progress = progress.kind == ProgressKind::progress && progress.attempt == 0 &&
                                   to_seconds(age) > to_seconds(kMinProgressAge);
  const double predicted_seconds = to_seconds(age) / std::max(progress.amount, kMinProgress);
  const bool is_too_slow =
      has_usable_progress && predicted_seconds > kBadPlanRatio * std::max(1.0, request.relative_size) *
                                                     statistics_.of(request).mean_answer_seconds;
  const bool waits_for_load = progress.kind == ProgressKind::waiting && progress.amount > kMinLoadWaitAmount;
  if (is_too_slow || waits_for_load) give_up(request, progress.attempt);
}

}  // namespace heronwell
