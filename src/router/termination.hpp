// How a request ended, for logs, metrics and traces: who ended it and when, in two letters, as HAProxy's
// termination states are.
//
//   who:   S served   E served, with the statement's own error   R rejected   F failed   D deadline exceeded
//          C client disconnected   X engine lost in the middle of a response   B bad request   L over a limit
//          of the router
//   when:  H queued   A an attempt in flight   D response being sent   - before any of these
#pragma once

#include <string>

namespace heronwell::router {

struct Termination {
  char cause = '-', phase = '-';
  [[nodiscard]] std::string text() const { return {cause, phase}; }
};

}  // namespace heronwell::router
