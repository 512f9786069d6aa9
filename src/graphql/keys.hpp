// Idempotency keys (the IETF's draft of the Idempotency-Key header field): what became of a mutation that its
// client named by a key, for as long as the window says. The same key again gets the same answer and runs
// nothing. No I/O and no clock.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/time.hpp"

namespace heronwell::graphql {

class Keys {
 public:
  // `most`: keys remembered; `most_bytes`: of their answers.
  Keys(Time window, std::size_t most, std::size_t most_bytes)
      : window_(window), most_(most), most_bytes_(most_bytes) {}

  enum class State {
    fresh,        // run it, then call done() or forget()
    in_progress,  // an earlier one is not answered yet
    known,        // its answer is `answer`
    mismatch,     // the key was used for another request
    full,         // none more can be remembered just now: nothing may be run under this key
  };
  struct Found {
    State state = State::fresh;
    std::string answer;
  };
  Found begin(Time now, const std::string& key, std::uint64_t fingerprint);
  void done(Time now, const std::string& key, std::string answer);
  void forget(const std::string& key);  // nothing was run: the client may come again with it

  [[nodiscard]] std::size_t size() const { return entries_.size(); }
  [[nodiscard]] std::size_t bytes() const { return bytes_; }

 private:
  struct Entry {
    std::uint64_t fingerprint = 0, number = 0;
    bool done = false;
    std::string answer;
  };
  void expire(Time now);

  Time window_;
  std::size_t most_, most_bytes_, bytes_ = 0;
  std::uint64_t numbers_ = 0;
  std::unordered_map<std::string, Entry> entries_;  // looked up only
  struct End {
    Time at{};
    std::string key;
    std::uint64_t number = 0;
  };
  std::deque<End> ends_;  // of those that are done, the earliest first
};

}  // namespace heronwell::graphql
