// State machines of connections, attempts and responses. Each has one transition table, from which
// docs/path.md is generated (`heronwell explore tables`). A state is changed only by apply().
//
// The tables guard against an event in a state in which it is not expected, which could leave a connection or
// attempt neither in use nor free. A pair of state and event without a row in the table changes nothing, and
// apply() returns false.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <type_traits>

namespace heronwell::path {

// ---- a connection to an engine ---------------------------------------------------------------------------
enum class EngineConnectionState : std::uint8_t {
  connecting,   // the stream is being established
  starting_up,  // established; the start-up is not complete
  idle,         // ready for a statement or call; no byte of an earlier one is left to write
  busy,         // a statement or call is written; its response is pending
  sending,      // a statement or call is written in part; the stream accepts no more bytes at present
  cancelling,   // a cancel request is sent; the rest of the response is discarded
  closed
};
enum class EngineConnectionEvent : std::uint8_t {
  connected,           // the stream is established
  ready,               // ReadyForQuery was received after the start-up
  statement_sent,      // the first byte of a statement was written
  write_blocked,       // a part of a statement or call is left to write
  write_completed,     // that part is written
  attempt_dropped,     // the attempt ended before a byte was written; the start-up continues
  cancel_sent,         // a cancel request is sent
  statement_finished,  // ReadyForQuery was received after the statement
  finished_unusable,   // the same, but not reusable: engine drained or moved, transaction left open, or the
                       // statement was not written completely
  connection_lost,     // closed or reset by the engine, malformed data received, or timed out
  closed_locally,      // closed by the router: engine drained, idle for too long, unusable, or shutdown
};

// ---- a client's connection -------------------------------------------------------------------------------
enum class ClientConnectionState : std::uint8_t {
  reading,    // reads requests
  finishing,  // reads no further request; responses are pending
  flushing,   // the last response is complete, but may not be completely written
  lingering,  // everything is written and the writing side is shut down; input is discarded
  closed
};
enum class ClientConnectionEvent : std::uint8_t {
  last_request,     // a request that ends the connection, or a malformed one
  last_response,    // the final response is complete, or a client without pending requests sent its end
  flushed,          // all bytes of the last response are written
  connection_lost,  // the client disconnected or does not read, or the router resets the connection
  closed_locally,   // closed by the router while no response is pending, or on shutdown
};

// ---- an attempt ------------------------------------------------------------------------------------------
enum class AttemptState : std::uint8_t {
  created,              // the decision loop has commanded it
  connecting,           // a connection is being opened for it
  statement_sent,       // at least one byte of the statement was written
  awaiting_permission,  // its response exceeds the buffer; waits for permission to stream, reading is paused
  streaming,            // its response is streamed to the client
  cancelling,           // being cancelled; its end is not reported yet
  finished              // its end was reported
};
enum class AttemptEvent : std::uint8_t {
  connect,
  send_statement,
  exceed_buffer,
  allow_stream,
  cancel,
  finish
};

// ---- a response ------------------------------------------------------------------------------------------
enum class ResponseState : std::uint8_t { pending, streaming, complete };
enum class ResponseEvent : std::uint8_t { begin, finish };

template <class State, class Event>
struct Transition {
  State from;
  Event event;
  State to;
};

inline constexpr std::array kEngineConnectionTransitions{
    Transition<EngineConnectionState, EngineConnectionEvent>{EngineConnectionState::connecting,
                                                             EngineConnectionEvent::connected,
                                                             EngineConnectionState::starting_up},
    Transition<EngineConnectionState, EngineConnectionEvent>{EngineConnectionState::connecting,
                                                             EngineConnectionEvent::attempt_dropped,
                                                             EngineConnectionState::connecting},
    Transition<EngineConnectionState, EngineConnectionEvent>{EngineConnectionState::connecting,
                                                             EngineConnectionEvent::connection_lost,
                                                             EngineConnectionState::closed},
    Transition<EngineConnectionState, EngineConnectionEvent>{EngineConnectionState::connecting,
                                                             EngineConnectionEvent::closed_locally,
                                                             EngineConnectionState::closed},
    Transition<EngineConnectionState, EngineConnectionEvent>{
        EngineConnectionState::starting_up, EngineConnectionEvent::ready, EngineConnectionState::idle},
    Transition<EngineConnectionState, EngineConnectionEvent>{EngineConnectionState::starting_up,
                                                             EngineConnectionEvent::attempt_dropped,
                                                             EngineConnectionState::starting_up},
    Transition<EngineConnectionState, EngineConnectionEvent>{EngineConnectionState::starting_up,
                                                             EngineConnectionEvent::connection_lost,
                                                             EngineConnectionState::closed},
    Transition<EngineConnectionState, EngineConnectionEvent>{EngineConnectionState::starting_up,
                                                             EngineConnectionEvent::closed_locally,
                                                             EngineConnectionState::closed},
    Transition<EngineConnectionState, EngineConnectionEvent>{
        EngineConnectionState::idle, EngineConnectionEvent::statement_sent, EngineConnectionState::busy},
    Transition<EngineConnectionState, EngineConnectionEvent>{
        EngineConnectionState::idle, EngineConnectionEvent::connection_lost, EngineConnectionState::closed},
    Transition<EngineConnectionState, EngineConnectionEvent>{
        EngineConnectionState::idle, EngineConnectionEvent::closed_locally, EngineConnectionState::closed},
    Transition<EngineConnectionState, EngineConnectionEvent>{
        EngineConnectionState::busy, EngineConnectionEvent::cancel_sent, EngineConnectionState::cancelling},
    Transition<EngineConnectionState, EngineConnectionEvent>{
        EngineConnectionState::busy, EngineConnectionEvent::statement_finished, EngineConnectionState::idle},
    Transition<EngineConnectionState, EngineConnectionEvent>{
        EngineConnectionState::busy, EngineConnectionEvent::finished_unusable, EngineConnectionState::closed},
    Transition<EngineConnectionState, EngineConnectionEvent>{
        EngineConnectionState::busy, EngineConnectionEvent::connection_lost, EngineConnectionState::closed},
    Transition<EngineConnectionState, EngineConnectionEvent>{
        EngineConnectionState::busy, EngineConnectionEvent::closed_locally, EngineConnectionState::closed},
    Transition<EngineConnectionState, EngineConnectionEvent>{
        EngineConnectionState::busy, EngineConnectionEvent::write_blocked, EngineConnectionState::sending},
    // From `sending` no row leads to `idle`. Failure: the engine ends a statement of which it has seen a part;
    // the connection is reused, and the rest of the old statement is written after its attempt has ended.
    Transition<EngineConnectionState, EngineConnectionEvent>{
        EngineConnectionState::sending, EngineConnectionEvent::write_completed, EngineConnectionState::busy},
    Transition<EngineConnectionState, EngineConnectionEvent>{EngineConnectionState::sending,
                                                             EngineConnectionEvent::finished_unusable,
                                                             EngineConnectionState::closed},
    Transition<EngineConnectionState, EngineConnectionEvent>{EngineConnectionState::sending,
                                                             EngineConnectionEvent::connection_lost,
                                                             EngineConnectionState::closed},
    Transition<EngineConnectionState, EngineConnectionEvent>{
        EngineConnectionState::sending, EngineConnectionEvent::closed_locally, EngineConnectionState::closed},
    Transition<EngineConnectionState, EngineConnectionEvent>{EngineConnectionState::cancelling,
                                                             EngineConnectionEvent::finished_unusable,
                                                             EngineConnectionState::closed},
    Transition<EngineConnectionState, EngineConnectionEvent>{EngineConnectionState::cancelling,
                                                             EngineConnectionEvent::connection_lost,
                                                             EngineConnectionState::closed},
    Transition<EngineConnectionState, EngineConnectionEvent>{EngineConnectionState::cancelling,
                                                             EngineConnectionEvent::closed_locally,
                                                             EngineConnectionState::closed},
};

inline constexpr std::array kClientConnectionTransitions{
    Transition<ClientConnectionState, ClientConnectionEvent>{ClientConnectionState::reading,
                                                             ClientConnectionEvent::last_request,
                                                             ClientConnectionState::finishing},
    Transition<ClientConnectionState, ClientConnectionEvent>{ClientConnectionState::reading,
                                                             ClientConnectionEvent::last_response,
                                                             ClientConnectionState::flushing},
    Transition<ClientConnectionState, ClientConnectionEvent>{ClientConnectionState::reading,
                                                             ClientConnectionEvent::connection_lost,
                                                             ClientConnectionState::closed},
    Transition<ClientConnectionState, ClientConnectionEvent>{
        ClientConnectionState::reading, ClientConnectionEvent::closed_locally, ClientConnectionState::closed},
    Transition<ClientConnectionState, ClientConnectionEvent>{ClientConnectionState::finishing,
                                                             ClientConnectionEvent::last_response,
                                                             ClientConnectionState::flushing},
    Transition<ClientConnectionState, ClientConnectionEvent>{ClientConnectionState::finishing,
                                                             ClientConnectionEvent::connection_lost,
                                                             ClientConnectionState::closed},
    Transition<ClientConnectionState, ClientConnectionEvent>{ClientConnectionState::finishing,
                                                             ClientConnectionEvent::closed_locally,
                                                             ClientConnectionState::closed},
    Transition<ClientConnectionState, ClientConnectionEvent>{ClientConnectionState::flushing,
                                                             ClientConnectionEvent::last_response,
                                                             ClientConnectionState::flushing},
    Transition<ClientConnectionState, ClientConnectionEvent>{
        ClientConnectionState::flushing, ClientConnectionEvent::flushed, ClientConnectionState::lingering},
    Transition<ClientConnectionState, ClientConnectionEvent>{ClientConnectionState::flushing,
                                                             ClientConnectionEvent::connection_lost,
                                                             ClientConnectionState::closed},
    Transition<ClientConnectionState, ClientConnectionEvent>{ClientConnectionState::flushing,
                                                             ClientConnectionEvent::closed_locally,
                                                             ClientConnectionState::closed},
    Transition<ClientConnectionState, ClientConnectionEvent>{ClientConnectionState::lingering,
                                                             ClientConnectionEvent::connection_lost,
                                                             ClientConnectionState::closed},
    Transition<ClientConnectionState, ClientConnectionEvent>{ClientConnectionState::lingering,
                                                             ClientConnectionEvent::closed_locally,
                                                             ClientConnectionState::closed},
};

inline constexpr std::array kAttemptTransitions{
    Transition<AttemptState, AttemptEvent>{AttemptState::created, AttemptEvent::connect,
                                           AttemptState::connecting},
    Transition<AttemptState, AttemptEvent>{AttemptState::created, AttemptEvent::send_statement,
                                           AttemptState::statement_sent},
    Transition<AttemptState, AttemptEvent>{AttemptState::created, AttemptEvent::finish,
                                           AttemptState::finished},
    Transition<AttemptState, AttemptEvent>{AttemptState::connecting, AttemptEvent::send_statement,
                                           AttemptState::statement_sent},
    Transition<AttemptState, AttemptEvent>{AttemptState::connecting, AttemptEvent::cancel,
                                           AttemptState::cancelling},
    Transition<AttemptState, AttemptEvent>{AttemptState::connecting, AttemptEvent::finish,
                                           AttemptState::finished},
    Transition<AttemptState, AttemptEvent>{AttemptState::statement_sent, AttemptEvent::exceed_buffer,
                                           AttemptState::awaiting_permission},
    Transition<AttemptState, AttemptEvent>{AttemptState::statement_sent, AttemptEvent::cancel,
                                           AttemptState::cancelling},
    Transition<AttemptState, AttemptEvent>{AttemptState::statement_sent, AttemptEvent::finish,
                                           AttemptState::finished},
    Transition<AttemptState, AttemptEvent>{AttemptState::awaiting_permission, AttemptEvent::allow_stream,
                                           AttemptState::streaming},
    Transition<AttemptState, AttemptEvent>{AttemptState::awaiting_permission, AttemptEvent::cancel,
                                           AttemptState::cancelling},
    Transition<AttemptState, AttemptEvent>{AttemptState::awaiting_permission, AttemptEvent::finish,
                                           AttemptState::finished},
    Transition<AttemptState, AttemptEvent>{AttemptState::streaming, AttemptEvent::cancel,
                                           AttemptState::cancelling},
    Transition<AttemptState, AttemptEvent>{AttemptState::streaming, AttemptEvent::finish,
                                           AttemptState::finished},
    Transition<AttemptState, AttemptEvent>{AttemptState::cancelling, AttemptEvent::finish,
                                           AttemptState::finished},
};

inline constexpr std::array kResponseTransitions{
    Transition<ResponseState, ResponseEvent>{ResponseState::pending, ResponseEvent::begin,
                                             ResponseState::streaming},
    Transition<ResponseState, ResponseEvent>{ResponseState::pending, ResponseEvent::finish,
                                             ResponseState::complete},
    Transition<ResponseState, ResponseEvent>{ResponseState::streaming, ResponseEvent::finish,
                                             ResponseState::complete},
};

constexpr const auto& transitions_of(EngineConnectionState) { return kEngineConnectionTransitions; }
constexpr const auto& transitions_of(ClientConnectionState) { return kClientConnectionTransitions; }
constexpr const auto& transitions_of(AttemptState) { return kAttemptTransitions; }
constexpr const auto& transitions_of(ResponseState) { return kResponseTransitions; }

std::string_view name_of(EngineConnectionState state);
std::string_view name_of(EngineConnectionEvent event);
std::string_view name_of(ClientConnectionState state);
std::string_view name_of(ClientConnectionEvent event);
std::string_view name_of(AttemptState state);
std::string_view name_of(AttemptEvent event);
std::string_view name_of(ResponseState state);
std::string_view name_of(ResponseEvent event);

// Observes every call of apply(), whether or not the table contains the transition. Used for the explorer's
// coverage and for tests; null if there is no observer.
struct TransitionObserver {
  virtual ~TransitionObserver() = default;
  virtual void on_transition(std::string_view machine, std::string_view from, std::string_view event,
                             std::string_view to) = 0;  // `to` is empty if the table has no such transition
};
// NOLINTNEXTLINE(cppcoreguidelines-avoid-non-const-global-variables): set by explorer and tests
inline thread_local TransitionObserver* transition_observer = nullptr;

template <class State, class Event>
constexpr std::optional<State> next_state(State from, Event event) {
  for (const auto& transition : transitions_of(State{}))
    if (transition.from == from && transition.event == event) return transition.to;
  return std::nullopt;
}

// Applies `event` to `state`. Returns false and changes nothing if the table has no such transition.
template <class State, class Event>
bool apply(State& state, Event event) {
  const auto to = next_state(state, event);
  if (transition_observer != nullptr) [[unlikely]] {
    constexpr std::string_view machine = std::is_same_v<State, EngineConnectionState>   ? "link"
                                         : std::is_same_v<State, ClientConnectionState> ? "door"
                                         : std::is_same_v<State, AttemptState>          ? "attempt"
                                                                                        : "reply";
    transition_observer->on_transition(machine, name_of(state), name_of(event),
                                       to ? name_of(*to) : std::string_view());
  }
  if (!to) return false;
  state = *to;
  return true;
}

}  // namespace heronwell::path
