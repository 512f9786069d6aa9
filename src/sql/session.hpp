// Implements the router's side of one connection to an engine as a state machine, without sockets.
//
//   starting --ReadyForQuery--> idle --query()--> busy --ReadyForQuery--> idle
//   any --cancel_sent()--> the same state, but the session is marked as not reusable
//   starting --error response--> over
//   any --malformed or unexpected message, FATAL or PANIC error, or give_up()--> over
//
// A cancel request identifies the connection and not the statement. One that arrives late would therefore
// cancel the next client's statement on the same connection. To prevent this, a marked session never becomes
// reusable again. A session is also marked if a statement leaves a transaction open.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sql/protocol.hpp"

namespace heronwell::sql {

// Receives what a session reads from the engine. Views are valid until the call returns.
class SessionEvents {
 public:
  virtual ~SessionEvents() = default;
  virtual void on_columns(const std::vector<Column>& columns) = 0;
  virtual void on_row(RowReader row) = 0;
  virtual void on_complete(std::string_view tag) = 0;
  virtual void on_error(const ErrorText& error) = 0;  // in response to the start-up or the statement
  virtual void on_notice(const ErrorText& notice) = 0;
  virtual void on_parameter(std::string_view name, std::string_view value) = 0;
  virtual void on_statement_end() = 0;  // ReadyForQuery after the statement
};

struct Statement {
  std::string text;
  bool bound = false;  // sent by the extended query protocol, with parameters $1, $2 ...
  std::vector<std::optional<std::string>> parameters{};  // in text format; nullopt: NULL
};

enum class SessionState { starting, idle, busy, over };

class Session {
 public:
  explicit Session(std::size_t max_message_bytes) : max_message_bytes_(max_message_bytes) {}

  // Writes the start-up packet to `out`.
  void start(std::string& out, const std::vector<std::pair<std::string, std::string>>& parameters);
  // Writes `statement` to `out`; the session must be reusable. Before it, writes a SET for each of the
  // `settings`, each as a separate query, so that an engine that rejects a setting still runs the statement.
  void query(std::string& out, const std::vector<std::pair<std::string, std::string>>& settings,
             const Statement& statement);
  // Marks the session as not reusable since a cancel request was sent for it.
  void cancel_sent() { cancelled_ = tainted_ = true; }
  // Ends the session without further messages.
  void give_up() { state_ = SessionState::over; }

  // Reads complete messages from `in` and reports them to `events`. Returns the number of bytes consumed.
  // state() is `over` after a malformed or unexpected message. Stops early if a call to `events` sets
  // `pause`; the caller then passes the bytes that were not consumed again.
  std::size_t feed(std::string_view in, SessionEvents& events, const bool& pause);
  // The size in bytes of the next, incomplete message; 0 if not known.
  [[nodiscard]] std::size_t next_message_bytes() const { return next_message_bytes_; }

  [[nodiscard]] SessionState state() const { return state_; }
  [[nodiscard]] bool reusable() const { return state_ == SessionState::idle && !tainted_; }
  [[nodiscard]] bool was_cancelled() const { return cancelled_; }
  [[nodiscard]] std::uint32_t process() const { return process_; }
  [[nodiscard]] std::uint32_t secret() const { return secret_; }
  [[nodiscard]] unsigned settings_refused() const { return settings_refused_; }

 private:
  bool handle_message(const Message& message, SessionEvents& events);
  bool handle_startup_response(const Message& message);

  std::size_t max_message_bytes_, next_message_bytes_ = 0;
  SessionState state_ = SessionState::starting;
  bool cancelled_ = false, uses_extended_protocol_ = false;
  bool tainted_ = false;           // no other statement may run on this connection
  unsigned settings_pending_ = 0;  // SETs that were sent and await ReadyForQuery
  unsigned settings_refused_ = 0;  // SETs that the engine answered with an error
  std::uint32_t process_ = 0, secret_ = 0;
};

}  // namespace heronwell::sql
