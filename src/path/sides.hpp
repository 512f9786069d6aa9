// What a shard needs of the connections on its two sides, whatever protocol they speak: HTTP or the
// platform's frames to clients, PostgreSQL's protocol or the platform's calls to engines.
#pragma once

#include <compare>
#include <memory>
#include <optional>

#include "path/exchange.hpp"

namespace heronwell::path {

class ClientSide {
 public:
  virtual ~ClientSide() = default;
  virtual void start() = 0;
  virtual void sweep(Time now) = 0;  // closes what passed its time
  virtual void stop() = 0;           // the router stops serving, or ends: closes in order
  virtual void abandon() = 0;        // the process ends
  // Where it may be closed for want of descriptors: who goes first, and since when it is idle. One that has
  // just come goes last: its first request may be on the way.
  struct Idle {
    enum class Turn : std::uint8_t { never_asked, asked, has_just_come };
    Turn turn = Turn::asked;
    Time since{};
    bool ending = false;  // it is being closed, in order
    auto operator<=>(const Idle&) const = default;
  };
  [[nodiscard]] virtual std::optional<Idle> idle() const { return std::nullopt; }
  virtual void make_room() {}
};

class EngineSide {
 public:
  virtual ~EngineSide() = default;
  virtual void dial(AttemptPtr attempt) = 0;  // opens it for this attempt
  // Idle only; false: it was found closed before a byte was written.
  virtual bool send(const AttemptPtr& attempt) = 0;
  virtual void stop(const AttemptPtr& attempt) = 0;  // gives it up at the engine, or drops it while dialling
  virtual void stream() = 0;                         // the attempt's answer may begin
  virtual void leave() = 0;                          // closes it; an attempt on it is not told of
  [[nodiscard]] virtual Time idle_since() const = 0;
  [[nodiscard]] virtual Time rested_at() const { return idle_since(); }  // it may be used again from then on
};

}  // namespace heronwell::path
