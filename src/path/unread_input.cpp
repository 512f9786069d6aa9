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
// Number of times that the wait may begin for one start, so that a client that sends often is not held back for long
// while the thread is slow. All input is read then that had arrived before the last of them.
constexpr unsigned kMaxRounds = 3;

}  // namespace

void UnreadInputWait::begin_round(const UnreadInput& input, Time now) {
  ++rounds_;
  since_ = now;
  awaited_bytes_ = input.read_bytes + input.unread_bytes;
  read_bytes_ = input.read_bytes;
  turns_ = 0;
}

bool UnreadInputWait::continues(const std::optional<UnreadInput>& input, Time now) {
  if (!input) {
    rounds_ = 0;
    return false;
  }
  if (rounds_ == 0) {
    begin_round(*input, now);
    return true;
  }
  const bool all_read = input->read_bytes >= awaited_bytes_;
  const auto progress = std::min(input->read_bytes, awaited_bytes_);
  if (progress > read_bytes_) {
    read_bytes_ = progress;
    turns_ = 0;
  }
  if (++turns_ < (all_read ? kTurnsPerRead : kMaxTurnsWithoutProgress)) return true;
  if (all_read && now > since_ + kMaxInputAge && rounds_ < kMaxRounds) {
    begin_round(*input, now);
    return true;
  }
  rounds_ = 0;
  return false;
}

}  // namespace heronwell::path
