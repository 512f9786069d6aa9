#include "path/stall_detector.hpp"

#include <utility>

namespace heronwell::path {
namespace {

using namespace std::chrono_literals;

// The thread counts as stalled if it did not run for longer than this. The shard ticks every 50 ms, so a
// thread that is merely busy counts as stalled only after it has missed three ticks.
constexpr Time kStallThreshold = 200ms;
// Time after a stall during which input counts as received before the stall. It covers the time that is
// needed to read the backlog of all sockets.
constexpr Time kBacklogDuration = 200ms;

}  // namespace

Time StallDetector::input_waiting_since(Time now) {
  const auto last_run_at = std::exchange(last_run_at_, now);
  const bool stalled = now > last_run_at + kStallThreshold;
  // If a second stall occurs while the backlog of the first is still being read, the unread input may date
  // from the first stall: suspect_from_ is kept and only suspect_until_ is extended.
  if (stalled && now > suspect_until_) suspect_from_ = last_run_at;
  if (stalled) suspect_until_ = now + kBacklogDuration;
  return now < suspect_until_ ? suspect_from_ : now;
}

}  // namespace heronwell::path
