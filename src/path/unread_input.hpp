// UnreadInputWait delays the start of an attempt until the input of its client has been read that had arrived before.
//
// Failure: after a stall, or while the thread is busy, input of a client is unread, and behind many other bytes of it
// is the end of the connection or a cancellation. The attempt starts, and an engine runs a query for a client that
// has been gone for a long time. Guard: the start waits until every byte has been read that was unread when it was
// due, and then for the end of the input, which may follow the last byte. Where this took longer than kMaxInputAge,
// the client may have left meanwhile, and the wait begins again, kMaxRounds times at most.
//
// A client that sends all the time delays only its own requests: the wait does not cover what it sends meanwhile.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.hpp"

namespace heronwell::path {

// The input of a client, some of which is unread.
struct UnreadInput {
  std::uint64_t read_bytes = 0;  // since the connection was accepted
  std::size_t unread_bytes = 0;  // that have arrived; 0 if only the end of the input is unread
};

class UnreadInputWait {
 public:
  // Returns whether the start has to wait for another turn of the event loop. It is called once a turn, with
  // nullopt if nothing is unread, until it returns false; the object can then be used for another start.
  bool continues(const std::optional<UnreadInput>& input, Time now);

 private:
  void begin_round(const UnreadInput& input, Time now);

  unsigned rounds_ = 0;  // 0: no start waits
  Time since_{};
  std::uint64_t awaited_bytes_ = 0;  // value of read_bytes once all input of that time is read
  std::uint64_t read_bytes_ = 0;     // at the last progress
  unsigned turns_ = 0;               // since the last progress
};

}  // namespace heronwell::path
