#include "path/unread_input.hpp"

#include <algorithm>

namespace heronwell::path {
namespace {

// Number of event loop turns in which a readable socket is certainly read: one turn detects that it is readable
// and one reads it.
constexpr unsigned kTurnsPerRead = 2;
// Number of turns without a byte of unread input after which the wait ends, because reading is paused.
constexpr unsigned kMaxTurnsWithoutProgress = 2 * kTurnsPerRead;
// The greatest age of unread input at a start. Half of the 100 ms after which the platform counts an attempt for a
// client that has gone.
constexpr Time kMaxInputAge = std::chrono::milliseconds(50);

}  // namespace

void UnreadInputWait::begin(const UnreadInput& input, Time now) {
  waiting_ = true;
  since_ = now;
  awaited_bytes_ = input.read_bytes + input.unread_bytes;
  read_bytes_ = input.read_bytes;
  turns_ = 0;
}

bool UnreadInputWait::continues(const std::optional<UnreadInput>& input, Time now) {
  if (!input) {
    waiting_ = false;
    return false;
  }
  if (!waiting_) {
    begin(*input, now);
    return true;
  }
  const bool all_read = input->read_bytes >= awaited_bytes_;
  const auto progress = std::min(input->read_bytes, awaited_bytes_);
  if (progress > read_bytes_) {
    read_bytes_ = progress;
    turns_ = 0;
  }
  if (++turns_ < (all_read ? kTurnsPerRead : kMaxTurnsWithoutProgress)) return true;
  if (all_read && now > since_ + kMaxInputAge) {
    begin(*input, now);
    return true;
  }
  waiting_ = false;
  return false;
}

}  // namespace heronwell::path
