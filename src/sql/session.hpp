// The router's side of one connection to an engine: a state machine, no sockets.
//
//   starting --ReadyForQuery--> idle --query()--> busy --ReadyForQuery--> idle
//   any --cancel_sent()--> the same state, but the session is marked as not reusable
//   any --malformed, FATAL or end--> over
//
// Failure: a cancel request names the connection, not the statement; one that arrives late would cancel the
// next client's statement on it. Guard: a marked session is never reusable again.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sql/protocol.hpp"

namespace heronwell::sql {

// What a session reports to its owner. Views live until the call returns.
class SessionEvents {
 public:
  virtual ~SessionEvents() = default;
  virtual void on_columns(const std::vector<Column>& columns) = 0;
  virtual void on_row(RowReader row) = 0;
  virtual void on_complete(std::string_view tag) = 0;
  virtual void on_error(const ErrorText& error) = 0;  // of the start-up or of the statement
  virtual void on_notice(const ErrorText& notice) = 0;
  virtual void on_parameter(std::string_view name, std::string_view value) = 0;
  virtual void on_statement_end() = 0;  // ReadyForQuery after the statement
};

struct Statement {
  std::string text;
  bool bound = false;  // with parameters $1, $2 ..., by the extended query protocol
  std::vector<std::optional<std::string>> parameters{};  // as texts; nullopt: NULL
};

enum class SessionState { starting, idle, busy, over };

class Session {
 public:
  explicit Session(std::size_t most_message) : most_message_(most_message) {}

  void start(std::string& out, const std::vector<std::pair<std::string, std::string>>& parameters);
  // In state idle only. `settings` are SET first, each in a query of its own, so that an engine that does not
  // know one runs the statement all the same.
  void query(std::string& out, const std::vector<std::pair<std::string, std::string>>& settings,
             const Statement& statement);
  void cancel_sent() { cancelled_ = tainted_ = true; }
  void give_up() { state_ = SessionState::over; }

  // Reads complete messages and reports them to `events`; returns the number of bytes that were used. state()
  // is `over` after malformed input. Stops early once `pause` is true; the rest is to be fed again.
  std::size_t feed(std::string_view in, SessionEvents& events, const bool& pause);
  [[nodiscard]] std::size_t next_message_bytes() const {
    return wants_;
  }  // size of the next message in bytes, if known; else 0

  [[nodiscard]] SessionState state() const { return state_; }
  [[nodiscard]] bool reusable() const { return state_ == SessionState::idle && !tainted_; }
  [[nodiscard]] bool was_cancelled() const { return cancelled_; }
  [[nodiscard]] std::uint32_t process() const { return process_; }
  [[nodiscard]] std::uint32_t secret() const { return secret_; }
  [[nodiscard]] unsigned settings_refused() const { return settings_refused_; }

 private:
  bool take(const Message& message, SessionEvents& events);
  bool startup_reply(const Message& message);

  std::size_t most_message_, wants_ = 0;
  SessionState state_ = SessionState::starting;
  bool cancelled_ = false, bound_ = false;
  bool tainted_ = false;                              // not reusable for another statement
  unsigned settings_out_ = 0, settings_refused_ = 0;  // SETs that wait for ReadyForQuery; and that failed
  std::uint32_t process_ = 0, secret_ = 0;
};

}  // namespace heronwell::sql
