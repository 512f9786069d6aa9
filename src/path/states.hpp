// The states of connections, attempts and answers, and every step between them: one table each, from which
// docs/path.md is drawn (`heronwell explore tables`). A machine changes its state by step() alone. A pair
// that has no line in its table can't happen: step() leaves the state as it is and says so.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <type_traits>

namespace heronwell::path {

// ---- a connection to an engine ---------------------------------------------------------------------------
enum class Link : std::uint8_t { dialling, starting, idle, busy, cancelling, closed };
enum class LinkEvent : std::uint8_t {
  connected,  // the wire stands
  ready,      // ReadyForQuery of the start-up
  write,      // first byte of a statement
  drop,       // its attempt is over before a byte was written: the start-up goes on, for another
  stop,       // a cancel request goes out
  end,        // ReadyForQuery after the statement
  spoilt,     // the same, but it may serve no other: engine drained or moved, transaction left open
  lost,       // closed or reset by the engine, malformed, out of time
  leave,      // closed from here: engine drained, idle for too long, found unfit, shutdown
};

// ---- a client's connection -------------------------------------------------------------------------------
enum class Door : std::uint8_t {
  reading,    // requests are read
  last,       // no further one is; answers are owed
  flushing,   // the last answer is whole; bytes of it may wait
  lingering,  // all is written and the end sent: what still comes is dropped
  closed
};
enum class DoorEvent : std::uint8_t {
  last_request,  // one that ends the connection, or a malformed one
  last_answer,   // the answer after which nothing comes, or an end of the client that is owed nothing
  flushed,       // all bytes of it are written
  lost,          // the client has gone, or reads nothing, or is reset from here
  leave,         // closed from here, nothing owed
};

// ---- an attempt ------------------------------------------------------------------------------------------
enum class Try : std::uint8_t {
  fresh,       // commanded
  dialling,    // a connection is opened for it
  written,     // a byte of the statement went out
  asking,      // its answer outgrew what is held: the strand is asked, nothing is read
  streaming,   // its answer is on its way to the client
  called_off,  // to be stopped; its end is still to be told
  ended        // its end was told, once
};
enum class TryEvent : std::uint8_t { dial, write, outgrow, stream, stop, end };

// ---- an answer -------------------------------------------------------------------------------------------
enum class Reply : std::uint8_t { owed, streaming, whole };
enum class ReplyEvent : std::uint8_t { begin, finish };

template <class State, class Event>
struct Line {
  State from;
  Event event;
  State to;
};

inline constexpr std::array kLinkTable{
    Line<Link, LinkEvent>{Link::dialling, LinkEvent::connected, Link::starting},
    Line<Link, LinkEvent>{Link::dialling, LinkEvent::drop, Link::dialling},
    Line<Link, LinkEvent>{Link::dialling, LinkEvent::lost, Link::closed},
    Line<Link, LinkEvent>{Link::dialling, LinkEvent::leave, Link::closed},
    Line<Link, LinkEvent>{Link::starting, LinkEvent::ready, Link::idle},
    Line<Link, LinkEvent>{Link::starting, LinkEvent::drop, Link::starting},
    Line<Link, LinkEvent>{Link::starting, LinkEvent::lost, Link::closed},
    Line<Link, LinkEvent>{Link::starting, LinkEvent::leave, Link::closed},
    Line<Link, LinkEvent>{Link::idle, LinkEvent::write, Link::busy},
    Line<Link, LinkEvent>{Link::idle, LinkEvent::lost, Link::closed},
    Line<Link, LinkEvent>{Link::idle, LinkEvent::leave, Link::closed},
    Line<Link, LinkEvent>{Link::busy, LinkEvent::stop, Link::cancelling},
    Line<Link, LinkEvent>{Link::busy, LinkEvent::end, Link::idle},
    Line<Link, LinkEvent>{Link::busy, LinkEvent::spoilt, Link::closed},
    Line<Link, LinkEvent>{Link::busy, LinkEvent::lost, Link::closed},
    Line<Link, LinkEvent>{Link::busy, LinkEvent::leave, Link::closed},
    Line<Link, LinkEvent>{Link::cancelling, LinkEvent::spoilt, Link::closed},
    Line<Link, LinkEvent>{Link::cancelling, LinkEvent::lost, Link::closed},
    Line<Link, LinkEvent>{Link::cancelling, LinkEvent::leave, Link::closed},
};

inline constexpr std::array kDoorTable{
    Line<Door, DoorEvent>{Door::reading, DoorEvent::last_request, Door::last},
    Line<Door, DoorEvent>{Door::reading, DoorEvent::last_answer, Door::flushing},
    Line<Door, DoorEvent>{Door::reading, DoorEvent::lost, Door::closed},
    Line<Door, DoorEvent>{Door::reading, DoorEvent::leave, Door::closed},
    Line<Door, DoorEvent>{Door::last, DoorEvent::last_answer, Door::flushing},
    Line<Door, DoorEvent>{Door::last, DoorEvent::lost, Door::closed},
    Line<Door, DoorEvent>{Door::last, DoorEvent::leave, Door::closed},
    Line<Door, DoorEvent>{Door::flushing, DoorEvent::last_answer, Door::flushing},
    Line<Door, DoorEvent>{Door::flushing, DoorEvent::flushed, Door::lingering},
    Line<Door, DoorEvent>{Door::flushing, DoorEvent::lost, Door::closed},
    Line<Door, DoorEvent>{Door::flushing, DoorEvent::leave, Door::closed},
    Line<Door, DoorEvent>{Door::lingering, DoorEvent::lost, Door::closed},
    Line<Door, DoorEvent>{Door::lingering, DoorEvent::leave, Door::closed},
};

inline constexpr std::array kTryTable{
    Line<Try, TryEvent>{Try::fresh, TryEvent::dial, Try::dialling},
    Line<Try, TryEvent>{Try::fresh, TryEvent::write, Try::written},
    Line<Try, TryEvent>{Try::fresh, TryEvent::end, Try::ended},
    Line<Try, TryEvent>{Try::dialling, TryEvent::write, Try::written},
    Line<Try, TryEvent>{Try::dialling, TryEvent::stop, Try::called_off},
    Line<Try, TryEvent>{Try::dialling, TryEvent::end, Try::ended},
    Line<Try, TryEvent>{Try::written, TryEvent::outgrow, Try::asking},
    Line<Try, TryEvent>{Try::written, TryEvent::stop, Try::called_off},
    Line<Try, TryEvent>{Try::written, TryEvent::end, Try::ended},
    Line<Try, TryEvent>{Try::asking, TryEvent::stream, Try::streaming},
    Line<Try, TryEvent>{Try::asking, TryEvent::stop, Try::called_off},
    Line<Try, TryEvent>{Try::asking, TryEvent::end, Try::ended},
    Line<Try, TryEvent>{Try::streaming, TryEvent::stop, Try::called_off},
    Line<Try, TryEvent>{Try::streaming, TryEvent::end, Try::ended},
    Line<Try, TryEvent>{Try::called_off, TryEvent::end, Try::ended},
};

inline constexpr std::array kReplyTable{
    Line<Reply, ReplyEvent>{Reply::owed, ReplyEvent::begin, Reply::streaming},
    Line<Reply, ReplyEvent>{Reply::owed, ReplyEvent::finish, Reply::whole},
    Line<Reply, ReplyEvent>{Reply::streaming, ReplyEvent::finish, Reply::whole},
};

constexpr const auto& table(Link) { return kLinkTable; }
constexpr const auto& table(Door) { return kDoorTable; }
constexpr const auto& table(Try) { return kTryTable; }
constexpr const auto& table(Reply) { return kReplyTable; }

std::string_view name_of(Link state);
std::string_view name_of(LinkEvent event);
std::string_view name_of(Door state);
std::string_view name_of(DoorEvent event);
std::string_view name_of(Try state);
std::string_view name_of(TryEvent event);
std::string_view name_of(Reply state);
std::string_view name_of(ReplyEvent event);

// Hears of every step, legal or not; for the explorer's coverage and the tests. Null: nobody listens.
struct Steps {
  virtual ~Steps() = default;
  virtual void stepped(std::string_view machine, std::string_view from, std::string_view event,
                       std::string_view to) = 0;  // `to` empty: no line of the table
};
inline thread_local Steps* steps = nullptr;

template <class State, class Event>
constexpr std::optional<State> next(State from, Event event) {
  for (const auto& line : table(State{}))
    if (line.from == from && line.event == event) return line.to;
  return std::nullopt;
}

// False: no line of the table, and nothing changed.
template <class State, class Event>
bool step(State& state, Event event) {
  const auto to = next(state, event);
  if (steps != nullptr) [[unlikely]] {
    constexpr std::string_view machine = std::is_same_v<State, Link>   ? "link"
                                         : std::is_same_v<State, Door> ? "door"
                                         : std::is_same_v<State, Try>  ? "attempt"
                                                                       : "reply";
    steps->stepped(machine, name_of(state), name_of(event), to ? name_of(*to) : std::string_view());
  }
  if (!to) return false;
  state = *to;
  return true;
}

}  // namespace heronwell::path
