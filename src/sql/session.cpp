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
  settings_out_ = 0;
  for (const auto& [name, value] : settings) {
    put_query(out, "set " + name + " = '" + value + "'");
    ++settings_out_;
  }
  bound_ = statement.bound;
  if (!bound_) return put_query(out, statement.text);
  put_parse(out, statement.text);
  put_bind(out, statement.parameters);
  put_describe(out);
  put_execute(out);
  put_sync(out);
}

std::size_t Session::feed(std::string_view in, SessionEvents& events, const bool& pause) {
  std::size_t used = 0;
  wants_ = 0;
  while (state_ != SessionState::over && !pause) {
    const auto frame = next_message(in.substr(used), most_message_);
    if (frame.state == Frame::State::need_more) {
      wants_ = frame.size;
      break;
    }
    if (frame.state == Frame::State::malformed || !take(frame.message, events)) {
      state_ = SessionState::over;
      break;
    }
    used += frame.size;
  }
  return used;
}

bool Session::startup_reply(const Message& message) {
  if (message.type == 'R')  // only "trust": whoever needs more is not served by the router yet
    return message.payload == std::string_view("\0\0\0\0", 4);
  if (message.type != 'K') return false;
  const auto key = read_key(message.payload);
  if (!key) return false;
  std::tie(process_, secret_) = *key;
  return true;
}

bool Session::take(const Message& message, SessionEvents& events) {
  const bool statement = state_ == SessionState::busy && settings_out_ == 0;
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
      if (settings_out_ > 0 && state_ == SessionState::busy && !fatal)
        ++settings_refused_;
      else
        events.on_error(*error);
      if (state_ == SessionState::starting || fatal) state_ = SessionState::over;
      return true;
    }
    case 'Z':
      if (message.payload.size() != 1 || state_ == SessionState::idle) return false;
      if (state_ == SessionState::busy && settings_out_ > 0) {
        --settings_out_;
        return true;
      }
      if (message.payload != "I") tainted_ = true;  // a transaction left open
      if (std::exchange(state_, SessionState::idle) == SessionState::busy) events.on_statement_end();
      return true;
    case 'T': {
      const auto columns = read_columns(message.payload);
      if (!columns || !statement) return false;
      events.on_columns(*columns);
      return true;
    }
    case 'D':
      if (!statement) return false;
      events.on_row(RowReader(message.payload));
      return true;
    case 'C': {
      const auto tag = read_text(message.payload);
      if (!tag || state_ != SessionState::busy) return false;
      if (statement) events.on_complete(*tag);
      return true;
    }
    case '1':  // parsed
    case '2':  // bound
    case 'n':  // no rows will come
      return statement && bound_;
    case 'I':
      if (statement) events.on_complete("");
      return statement;
    case 'R':
    case 'K':
      return state_ == SessionState::starting && startup_reply(message);
    default:
      return false;  // COPY and function calls are not spoken
  }
}

}  // namespace heronwell::sql
