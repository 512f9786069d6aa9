// Describes how a request ended, for logs, metrics and traces, by two letters in the manner of HAProxy's
// termination states: the cause, and the phase that the request was in.
//
//   cause:  S served   E served, with an error of the statement itself   R rejected   F failed
//           D deadline exceeded   C client disconnected   X engine lost in the middle of a response
//           B bad request   L limit of the router exceeded
//   phase:  H queued   A an attempt in flight   D response being sent   - before any of these
#pragma once

#include <string>

namespace heronwell::router {

struct Termination {
  char cause = '-', phase = '-';
  [[nodiscard]] std::string text() const { return {cause, phase}; }
};

}  // namespace heronwell::router
