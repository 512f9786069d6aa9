#include "forwarding_rules.hpp"

#include <algorithm>
#include <optional>

namespace heronwell {
namespace {
bool is_among(const std::optional<std::vector<std::uint16_t>>& allowed, std::uint16_t value) {
  return !allowed || std::find(allowed->begin(), allowed->end(), value) != allowed->end();
}

bool is_in_scope(DeduplicationScope scope, const Attempt& attempt, const Engine& engine) {
  switch (scope) {
    case DeduplicationScope::all:
      return true;
    case DeduplicationScope::zone:
      return attempt.zone == engine.endpoint->zone;
    case DeduplicationScope::cell:
      return attempt.cell == engine.endpoint->cell;
  }
  return false;
}
}  // namespace

bool ForwardingRules::may_start(const Request& request, const Engine& engine) const {
  return engine.is_ready() && request.is_open && may_run_concurrently(request) &&
         clock_.now < request.deadline - kAnswerMargin && request.attempts.size() < settings_.max_attempts &&
         may_ever_start(request, engine) && is_next_in_key_order(request) &&
         (request.attempts.empty() || retry_budget_.allows_one_more()) && slow_start_.admits(engine, request);
}

bool ForwardingRules::may_reject(const Request& request) const {
  if (!requests_.has_known_class(request)) return true;
  const auto& cls = requests_.settings_of(request);
  if (cls.idempotency == Idempotency::idempotent) return true;
  if (cls.idempotency == Idempotency::idempotency_key && cls.deduplication_scope == DeduplicationScope::all)
    return true;
  return std::ranges::all_of(request.attempts, &Attempt::is_proven_not_run);
}

// At most two attempts are awaited at once. An attempt whose cancellation was sent may still be in flight.
bool ForwardingRules::may_run_concurrently(const Request& request) const {
  return settings_.hedging_enabled ? request.awaited_attempts() < 2 : !request.has_in_flight();
}

bool ForwardingRules::has_attempts_left(const Request& request) const {
  return request.attempts.size() < settings_.max_attempts && retry_budget_.allows_one_more();
}

bool ForwardingRules::is_placement_allowed(const Request& request, const Engine& engine) const {
  const auto& cls = requests_.settings_of(request);
  return is_among(cls.allowed_zones, engine.endpoint->zone) &&
         is_among(cls.allowed_machine_types, engine.endpoint->machine_type);
}

// Engines drop repeats of an idempotency key only within the deduplication window, which starts with the
// first attempt that may have run. A repeat that begins later would run a second time and apply its effect
// twice. The latest start is one tick before the end of the window, and every repeat carries it.
Time ForwardingRules::latest_start(const Request& request) const {
  const auto& cls = requests_.settings_of(request);
  const auto first_run = std::ranges::find_if_not(request.attempts, &Attempt::is_proven_not_run);
  if (cls.idempotency != Idempotency::idempotency_key || first_run == request.attempts.end())
    return Time::max();
  return first_run->started + cls.deduplication_window - kTickInterval;
}

bool ForwardingRules::is_repetition_allowed(const Request& request, const Engine& engine) const {
  const auto& cls = requests_.settings_of(request);
  if (cls.idempotency == Idempotency::idempotent) return true;
  const auto first_run = std::ranges::find_if_not(request.attempts, &Attempt::is_proven_not_run);
  if (first_run == request.attempts.end()) return true;
  if (cls.idempotency == Idempotency::not_idempotent) return false;
  return clock_.now < latest_start(request) && is_in_scope(cls.deduplication_scope, *first_run, engine);
}

bool ForwardingRules::is_next_in_key_order(const Request& request) const {
  if (!requests_.is_ordered(request)) return true;
  const auto key = request.arrival.order_key;
  return requests_.key_order().is_first(key, request.id()) &&
         (!request.attempts.empty() || !requests_.key_order().is_quiet(key, clock_.now));
}

}  // namespace heronwell
