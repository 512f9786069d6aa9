// ForwardingRules decides whether an attempt may start and whether a request may be rejected; no other part
// may allow either. Clients and operators rely on these rules, so they override the decisions of all other
// parts:
//   1. A request gets one final answer, before its deadline. No attempt starts for a request that is due or
//      closed.
//   2. A request that is not idempotent is retried or rejected only if every attempt provably never ran. With
//      an idempotency key, a request may be repeated at engines of the same deduplication scope, within the
//      deduplication window, and may be rejected if that scope is the whole fleet.
//   3. No attempt starts at an engine that is draining or removed.
//   4. The limits of slow start hold for the whole fleet.
//   5. Requests with the same ordering key run one at a time, in the order of their arrival, with a quiet
//      period after an attempt whose end is unknown.
//   6. The allowed zones and machine types apply to every attempt.
//   7. The limit on attempts per request and the retry budget are never exceeded; hedges count too.
// A rejection promises the client that a retry is safe; a failure makes no such promise.
#pragma once

#include "class_statistics.hpp"
#include "decision_context.hpp"
#include "engine_table.hpp"
#include "request_table.hpp"
#include "retry_budget.hpp"
#include "slow_start.hpp"

namespace heronwell {

class ForwardingRules {
 public:
  ForwardingRules(const Settings& settings, const Clock& clock, const RequestTable& requests,
                  const RetryBudgetWindow& retry_budget, const SlowStart& slow_start)
      : settings_(settings),
        clock_(clock),
        requests_(requests),
        retry_budget_(retry_budget),
        slow_start_(slow_start) {}

  // Whether all rules allow an attempt at this engine now.
  [[nodiscard]] bool may_start(const Request& request, const Engine& engine) const;
  // Whether a rejection, which tells the client that a retry is safe, is allowed.
  [[nodiscard]] bool may_reject(const Request& request) const;

  // Single rules, for parts that must check them before they queue or cancel an attempt.
  [[nodiscard]] bool is_next_in_key_order(const Request& request) const;
  [[nodiscard]] bool has_attempts_left(const Request& request) const;
  // Checks placement and repetition only. An attempt may still have to wait, for a busy engine or for other
  // requests of its ordering key.
  [[nodiscard]] bool may_ever_start(const Request& request, const Engine& engine) const {
    return is_placement_allowed(request, engine) && is_repetition_allowed(request, engine);
  }
  // Latest time at which an attempt may begin; Time::max(): no limit.
  [[nodiscard]] Time latest_start(const Request& request) const;

 private:
  [[nodiscard]] bool may_run_concurrently(const Request& request) const;
  [[nodiscard]] bool is_placement_allowed(const Request& request, const Engine& engine) const;
  [[nodiscard]] bool is_repetition_allowed(const Request& request, const Engine& engine) const;

  const Settings& settings_;
  const Clock& clock_;
  const RequestTable& requests_;
  const RetryBudgetWindow& retry_budget_;
  const SlowStart& slow_start_;
};

}  // namespace heronwell
