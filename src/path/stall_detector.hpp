// StallDetector detects that the thread of a shard did not run for a while, because the process was stopped
// or the machine overloaded, so that the input read now may have waited in the socket buffers.
//
// Without it, the timeout of a request that waited unread during a stall would begin only when the request is
// read, and the response would reach the client after the client's deadline. Right after a stall, requests
// are therefore treated as received at the last time at which the thread ran before the stall. This estimate
// may be too early but not too late, so a deadline that is met here is also met for the client.
#pragma once

#include "base/time.hpp"

namespace heronwell::path {

// Each shard has one. It is called for each request that is read and on each tick of the shard.
class StallDetector {
 public:
  explicit StallDetector(Time now) : last_run_at_(now) {}

  // Records that the thread runs at `now`. Returns the earliest time at which input that is read now may have
  // arrived: `now`, or right after a stall the last time at which the thread ran before it.
  Time input_waiting_since(Time now);

  // The last time at which the thread is known to have run.
  [[nodiscard]] Time last_run_at() const { return last_run_at_; }
  // Input that is read before `suspect_until()` counts as received at `suspect_from()`.
  [[nodiscard]] Time suspect_from() const { return suspect_from_; }
  [[nodiscard]] Time suspect_until() const { return suspect_until_; }

 private:
  Time last_run_at_, suspect_from_{}, suspect_until_{};
};

}  // namespace heronwell::path
