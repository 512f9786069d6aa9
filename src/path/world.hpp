// What the machines of this room need of the world outside: a clock, chance, wires, timers and the way to the
// decision strand. The daemon gives them sockets and the machine's clock; the explorer and the emulator give
// them wires and a clock of their own. No machine here waits, sleeps or reads a clock by itself.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/time.hpp"
#include "config/config.hpp"

namespace heronwell::path {

struct Told;
struct Attempt;

// Who is told of what happens on a wire. All calls come on the shard's own thread, one at a time, never from
// within a call to the wire, and none after close().
class WireUser {
 public:
  virtual ~WireUser() = default;
  virtual void connected() {}                         // a dialled wire only, and before all else
  virtual void received(std::string_view bytes) = 0;  // not empty; only while reading is on
  virtual void writable() = 0;                        // once after await_room()
  // broken: nothing passes either way any more (reset, unreachable); else the other end sends no more, and
  // may still read. Only while reading is on or a dial or await_room() is out.
  virtual void over(bool broken) = 0;
};

// Why a dialled wire was over() before it was connected().
enum class DialFailure : std::uint8_t {
  unknown,
  refused,  // by the other machine: no process listens there
  local     // no descriptor or port is left here: nothing is known of the other end
};

// A stream of bytes to another process. Nothing waits.
class Wire {
 public:
  virtual ~Wire() = default;
  virtual void attach(std::weak_ptr<WireUser> user) = 0;
  // Takes bytes in order, as many as there is room for; 0: none now; nullopt: none ever again.
  virtual std::optional<std::size_t> write(std::span<const std::string_view> pieces) = 0;
  virtual void await_room() = 0;
  virtual void read(bool on) = 0;          // off at first
  [[nodiscard]] virtual bool quiet() = 0;  // nothing waits to be read, neither bytes nor an end
  virtual void shut() = 0;                 // the other end reads an end after what was written
  virtual void close(bool reset) = 0;      // reset: the other end reads no orderly end
  [[nodiscard]] virtual DialFailure dial_failure() const { return DialFailure::unknown; }
};
using WirePtr = std::shared_ptr<Wire>;

// Writes of `out` what there is room for, and asks to be told of more room. False: nothing can be written any
// more.
inline bool flush(Wire& wire, std::string& out, bool& awaiting_room) {
  while (!out.empty() && !awaiting_room) {
    const std::string_view piece = out;
    const auto wrote = wire.write({&piece, 1});
    if (!wrote) return false;
    out.erase(0, *wrote);
    if (*wrote > 0) continue;
    awaiting_room = true;
    wire.await_room();
  }
  return true;
}

// Calls `then` once, at the moment set or later; never from within set() or cancel().
class Timer {
 public:
  virtual ~Timer() = default;         // as cancel()
  virtual void set(Time moment) = 0;  // in place of the moment set before
  virtual void cancel() = 0;
};
using TimerPtr = std::unique_ptr<Timer>;

enum class Level { info, warn };

// Of one shard.
class World {
 public:
  virtual ~World() = default;
  [[nodiscard]] virtual Time now() = 0;             // never goes back
  virtual std::uint64_t drawn() = 0;                // 64 random bits, for the ids of traces
  virtual void draw(std::span<unsigned char>) = 0;  // bytes that nobody can guess, for keys
  // A wire that will be connected() or over().
  virtual WirePtr dial(const config::Address& address) = 0;
  virtual TimerPtr timer(std::function<void()> then) = 0;
  virtual void defer(std::function<void()> then) = 0;  // calls it soon, after the call that is running
  virtual void tell(Told what) = 0;                    // to the decision strand, in order
  // Takes an attempt as a message, without a connection and its bytes; false: it goes by connection. Who
  // takes it calls Shard::end_attempt() in the end, also after call_off(). Only the emulator's fast fidelity
  // does.
  virtual bool carry(const std::shared_ptr<Attempt>&) { return false; }
  virtual void call_off(const std::shared_ptr<Attempt>&) {}
  virtual void log(Level level, std::string line) = 0;
};

}  // namespace heronwell::path
