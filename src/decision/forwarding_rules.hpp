// May this attempt start, and may this request be rejected: the one place that allows either. The rules that
// clients and operators rely on, whatever the other files would like to do:
//   1. A request gets one final answer, before its deadline: no attempt starts when it is due or closed.
//   2. A request that is not idempotent is retried, or rejected, only if every attempt provably never ran.
//      With an idempotency key it may be repeated at engines of the same deduplication scope, within the
//      deduplication window, and rejected where that scope is the whole fleet.
//   3. Nothing goes to an engine that is draining or removed.
//   4. The limits of slow start hold for the whole fleet.
//   5. Requests of a key run one after the other, in the order of their arrival, with a quiet period after
//      an attempt whose end is unknown.
//   6. Allowed zones and machine types hold at every attempt.
//   7. Attempts per request, and the retry budget, are never exceeded; hedges count as well.
// Rejecting tells the client that a retry does no harm; failing makes no promise.
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

  // All rules for an attempt at this engine now.
  [[nodiscard]] bool may_start(const Request& request, const Engine& engine) const;
  // Whether the client may hear that a retry does no harm.
  [[nodiscard]] bool may_reject(const Request& request) const;

  // The parts that others ask about before they queue or cancel something.
  [[nodiscard]] bool is_next_in_key_order(const Request& request) const;
  [[nodiscard]] bool has_attempts_left(const Request& request) const;
  // Placement and repetition only: the engine may be busy now, or the request not be next.
  [[nodiscard]] bool may_ever_start(const Request& request, const Engine& engine) const {
    return is_placement_allowed(request, engine) && is_repetition_allowed(request, engine);
  }
  // An attempt may not begin after this; Time::max(): at any time.
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
