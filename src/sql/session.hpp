// The router's side of one connection to an engine: a state machine, no sockets.
//
//   starting --ReadyForQuery--> idle --query()--> busy --ReadyForQuery--> idle
//   any --cancel_sent()--> keeps its state but is marked: a marked session never becomes idle again, so a
//   cancel request can't meet the next statement.
//   any --malformed, FATAL or end--> over
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sql/protocol.hpp"

namespace heronwell::sql {

// What a session tells its owner. Views live until the call returns.
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
  std::vector<std::optional<std::string>> parameters{};  // as texts; none: NULL
};

enum class SessionState { starting, idle, busy, over };

class Session {
 public:
  explicit Session(std::size_t most_message) : most_message_(most_message) {}

  void start(std::string& out, const std::vector<std::pair<std::string, std::string>>& parameters);
  // State idle only. `settings` are SET first, each answered by itself; an engine that does not know one
  // runs the statement all the same.
  void query(std::string& out, const std::vector<std::pair<std::string, std::string>>& settings,
             const Statement& statement);
  void cancel_sent() { cancelled_ = tainted_ = true; }
  void give_up() { state_ = SessionState::over; }

  // Reads what it can, telling `events`; returns the bytes to drop. state() is `over` after malformed input.
  // Stops early where `pause` turns true, to be called again.
  std::size_t feed(std::string_view in, SessionEvents& events, const bool& pause);
  [[nodiscard]] std::size_t wants() const { return wants_; }  // bytes that the next message takes, if known

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
  bool tainted_ = false;                              // tainted: never idle for another statement
  unsigned settings_out_ = 0, settings_refused_ = 0;  // SETs whose ReadyForQuery has not come
  std::uint32_t process_ = 0, secret_ = 0;
};

}  // namespace heronwell::sql
