// ShardEnvironment provides the external services of a shard: a clock, random numbers, streams (stream.hpp),
// timers, a log, and the channel to the decision loop. The daemon implements it with the services of the
// operating system; the explorer and the emulator implement it on virtual time. Code in this package never
// waits, sleeps or reads a clock directly, so that the same calls always produce the same bytes.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>

#include "base/time.hpp"
#include "config/config.hpp"
#include "path/stream.hpp"

namespace heronwell::path {

struct TimedEvent;
struct Attempt;

// Calls its callback once, at the set time or later, and never from within set() or cancel().
class Timer {
 public:
  virtual ~Timer() = default;         // cancels the timer
  virtual void set(Time moment) = 0;  // replaces the time set before
  virtual void cancel() = 0;
};
using TimerPtr = std::unique_ptr<Timer>;

enum class Level { info, warn };

// Each shard has one. All calls are made on the thread of the shard.
class ShardEnvironment {
 public:
  virtual ~ShardEnvironment() = default;
  // The current time. It never decreases.
  [[nodiscard]] virtual Time now() = 0;
  // Returns 64 random bits for trace ids.
  virtual std::uint64_t random_bits() = 0;
  // Fills the span with cryptographically random bytes, for idempotency keys.
  virtual void fill_random(std::span<unsigned char>) = 0;
  // Opens a stream to the address. The observer is notified when it is connected or closed.
  virtual StreamPtr dial(const config::Address& address) = 0;
  virtual TimerPtr create_timer(std::function<void()> then) = 0;
  // Calls `then` soon after the current call has returned.
  virtual void defer(std::function<void()> then) = 0;
  // Sends an event to the decision loop. The order of events is kept.
  virtual void publish(TimedEvent event) = 0;
  // Executes an attempt as a message, without a connection and its bytes. Returns false if the attempt must
  // use a connection. An environment that returns true must finally call Shard::end_attempt(), also after
  // cancel_message(). Only the emulator's fast fidelity supports this.
  virtual bool send_as_message(const std::shared_ptr<Attempt>&) { return false; }
  virtual void cancel_message(const std::shared_ptr<Attempt>&) {}
  // Writes a log line. `line` is a JSON object.
  virtual void log(Level level, std::string line) = 0;
};

}  // namespace heronwell::path
