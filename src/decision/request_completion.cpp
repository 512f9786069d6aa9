#include "request_completion.hpp"

namespace heronwell {

void RequestCompletion::reject_or_fail(Request& request) {
  if (!request.is_open) return;
  if (rules_.may_reject(request)) {
    const Time retry_after = settings_.retry_after_enabled ? settings_.max_retry_after : Time::zero();
    actions_.append(Reject{request.id(), retry_after});
  } else {
    actions_.append(FailRequest{request.id()});
  }
  close(request);
}

void RequestCompletion::close(Request& request) {
  requests_.close(request);
  for (std::size_t n = 0; n < request.attempts.size(); ++n) cancel(request, n);
  if (!request.has_in_flight()) requests_.remove(request);
}

void RequestCompletion::cancel(Request& request, std::size_t attempt) {
  if (!settings_.cancellation_enabled || !request.attempts[attempt].is_awaited()) return;
  requests_.mark_cancelled(request, attempt);
  actions_.append(CancelAttempt{request.id(), static_cast<AttemptIndex>(attempt)});
}

}  // namespace heronwell
