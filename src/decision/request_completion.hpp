// RequestCompletion ends a request: it gives the final answer and cancels the attempts that are still in
// flight. Its input is a request that is answered without a result, or that already has its answer. It emits
// one Reject or FailRequest, and a CancelAttempt for each attempt still awaited, where the settings allow
// cancellation. forwarding_rules decides between a rejection and a failure. A closed request gets no further
// answer, which prevents two final answers.
#pragma once

#include "decision_context.hpp"
#include "forwarding_rules.hpp"
#include "request_table.hpp"

namespace heronwell {

class RequestCompletion {
 public:
  RequestCompletion(const Settings& settings, const ForwardingRules& rules, RequestTable& requests,
                    ActionList& actions)
      : settings_(settings), rules_(rules), requests_(requests), actions_(actions) {}

  // Rejects or fails the request if it is open, and closes it. The request may be removed from the table.
  void reject_or_fail(Request& request);
  // Closes a request that has its answer or needs none. The request may be removed from the table.
  void close(Request& request);
  // Cancels the attempt if it is awaited and the settings allow cancellation.
  void cancel(Request& request, std::size_t attempt);

 private:
  const Settings& settings_;
  const ForwardingRules& rules_;
  RequestTable& requests_;
  ActionList& actions_;
};

}  // namespace heronwell
