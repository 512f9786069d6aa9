#include "sql/session.hpp"

#include <cassert>
#include <tuple>
#include <utility>

namespace heronwell::sql {

void Session::start(std::string& out, const std::vector<std::pair<std::string, std::string>>& parameters) {
  put_startup(out, parameters);
}

void Session::query(std::string& out, const std::vector<std::pair<std::string, std::string>>& settings,
                    const Statement& statement) {
  assert(reusable());
  state_ = SessionState::busy;
  settings_pending_ = 0;
  for (const auto& [name, value] : settings) {
    put_query(out, "set " + name + " = '" + value + "'");
    ++settings_pending_;
  }
  uses_extended_protocol_ = statement.bound;
  if (!uses_extended_protocol_) return put_query(out, statement.text);
  put_parse(out, statement.text);
  put_bind(out, statement.parameters);
  put_describe(out);
  put_execute(out);
  put_sync(out);
}

std::size_t Session::feed(std::string_view in, SessionEvents& events, const bool& pause) {
  std::size_t used = 0;
  next_message_bytes_ = 0;
  while (state_ != SessionState::over && !pause) {
    const auto frame = next_message(in.substr(used), max_message_bytes_);
    if (frame.state == Frame::State::need_more) {
      next_message_bytes_ = frame.size;
      break;
    }
    if (frame.state == Frame::State::malformed || !handle_message(frame.message, events)) {
      state_ = SessionState::over;
      break;
    }
    used += frame.size;
  }
  return used;
}

bool Session::handle_startup_response(const Message& message) {
  if (message.type == 'R')  // only AuthenticationOk ("trust"); other methods are not supported
    return message.payload == std::string_view("\0\0\0\0", 4);
  if (message.type != 'K') return false;
  const auto key = read_key(message.payload);
  if (!key) return false;
  std::tie(process_, secret_) = *key;
  return true;
}

bool Session::handle_message(const Message& message, SessionEvents& events) {
  const bool statement_running = state_ == SessionState::busy && settings_pending_ == 0;
  switch (message.type) {
    case 'S': {
      const auto parameter = read_parameter(message.payload);
      if (parameter) events.on_parameter(parameter->first, parameter->second);
      return parameter.has_value();
    }
    case 'N': {
      const auto notice = read_error(message.payload);
      if (notice) events.on_notice(*notice);
      return notice.has_value();
    }
    case 'E': {
      const auto error = read_error(message.payload);
      if (!error) return false;
      const bool fatal = error->severity == "FATAL" || error->severity == "PANIC";
      if (settings_pending_ > 0 && state_ == SessionState::busy && !fatal)
        ++settings_refused_;
      else
        events.on_error(*error);
      if (state_ == SessionState::starting || fatal) state_ = SessionState::over;
      return true;
    }
    case 'Z':
      if (message.payload.size() != 1 || state_ == SessionState::idle) return false;
      if (state_ == SessionState::busy && settings_pending_ > 0) {
        --settings_pending_;
        return true;
      }
      if (message.payload != "I") tainted_ = true;  // the statement left a transaction open
      if (std::exchange(state_, SessionState::idle) == SessionState::busy) events.on_statement_end();
      return true;
    case 'T': {
      const auto columns = read_columns(message.payload);
      if (!columns || !statement_running) return false;
      events.on_columns(*columns);
      return true;
    }
    case 'D':
      if (!statement_running) return false;
      events.on_row(RowReader(message.payload));
      return true;
    case 'C': {
      const auto tag = read_text(message.payload);
      if (!tag || state_ != SessionState::busy) return false;
      if (statement_running) events.on_complete(*tag);
      return true;
    }
    case '1':  // ParseComplete
    case '2':  // BindComplete
    case 'n':  // NoData
      return statement_running && uses_extended_protocol_;
    case 'I':
      if (statement_running) events.on_complete("");
      return statement_running;
    case 'R':
    case 'K':
      return state_ == SessionState::starting && handle_startup_response(message);
    default:
      return false;  // COPY and function calls are not supported
  }
}

}  // namespace heronwell::sql
