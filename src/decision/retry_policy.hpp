// RetryPolicy decides whether a request gets another attempt, and gives up attempts that should be replaced.
// Its inputs are the request, the results of its attempts, and progress messages (part done, from 0 to 1). A
// request goes back to the head of its queue or gets its final answer. An attempt that is given up is
// cancelled, so that another can start elsewhere once the engine has confirmed the cancellation. Only
// requests that may start another attempt under forwarding_rules are queued again, so that no request waits
// for an attempt that it cannot get. A query with a bad plan, or on an engine that is far too slow, would
// hold its threads until its deadline. Therefore the first attempt is given up, once, if its progress
// predicts five times the usual answer time.
#pragma once

#include "class_statistics.hpp"
#include "decision_context.hpp"
#include "engine_table.hpp"
#include "forwarding_rules.hpp"
#include "request_completion.hpp"
#include "request_table.hpp"

namespace heronwell {

class RetryPolicy {
 public:
  RetryPolicy(const Clock& clock, const EngineTable& engines, const ClassStatistics& statistics,
              const ForwardingRules& rules, RequestCompletion& completion, RequestTable& requests)
      : clock_(clock),
        engines_(engines),
        statistics_(statistics),
        rules_(rules),
        completion_(completion),
        requests_(requests) {}

  // Whether the request is open and another attempt may start at some ready engine.
  [[nodiscard]] bool may_retry(const Request& request) const;
  // Queues the request again, or gives it its final answer. The request must be open, with no attempt in
  // flight.
  void retry_or_finish(Request& request);
  // Cancels an attempt of an idempotent request that has, or may have, another attempt.
  void give_up(Request& request, AttemptIndex attempt);
  // Gives up an attempt that progresses far too slowly, or that waits for a query that loads its data group.
  void check_progress(Request& request, const AttemptProgress& progress);

 private:
  const Clock& clock_;
  const EngineTable& engines_;
  const ClassStatistics& statistics_;
  const ForwardingRules& rules_;
  RequestCompletion& completion_;
  RequestTable& requests_;
};

}  // namespace heronwell
