#include "rehearsal/engine_core.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <random>
#include <sstream>

namespace heronwell::rehearsal {
namespace {

constexpr std::size_t kMaxMessageBytes = 16 << 20;
constexpr std::size_t kRowChunkBytes = 256 << 10;  // rows are sent in pieces of about this size

using Parameters = std::vector<std::optional<std::string>>;
struct Statement {
  std::string text;
  bool bound = false;  // came by the extended protocol
  Parameters parameters;
};

struct ColumnPlan {
  sql::Column column;
  // Empty: a generated value. "each": the element of the array. "$1": a bound parameter. Otherwise a value,
  // or several separated by | for one row after the other.
  std::string source;
};

// Reads columns such as "id:23,name:25=Gate_A|Gate_B", with the object id of the type after the colon.
std::vector<ColumnPlan> read_columns(const std::string& text) {
  std::vector<ColumnPlan> out;
  std::istringstream words(text);
  for (std::string word; std::getline(words, word, ',');) {
    ColumnPlan plan;
    const auto equals = word.find('=');
    if (equals != std::string::npos) plan.source = word.substr(equals + 1);
    const auto name = word.substr(0, equals);
    const auto colon = name.find(':');
    plan.column.name = name.substr(0, colon);
    if (colon != std::string::npos)
      std::from_chars(name.data() + colon + 1, name.data() + name.size(), plan.column.type);
    out.push_back(std::move(plan));
  }
  return out;
}

// Returns the elements of an array parameter such as {"1","2"}.
std::vector<std::string> elements(const std::string& text) {
  std::vector<std::string> out;
  bool quoted = false, any = false;
  std::string one;
  for (std::size_t i = 1; i + 1 < text.size(); ++i) {
    any = true;
    if (text[i] == '"') {
      quoted = !quoted;
    } else if (text[i] == ',' && !quoted) {
      out.push_back(std::exchange(one, {}));
    } else {
      if (text[i] == '\\') ++i;
      one += text[i];
    }
  }
  if (any) out.push_back(one);
  return out;
}

// Replaces characters that would need escaping in a record's JSON.
std::string recordable(std::string text) {
  for (auto& character : text)
    if (character == '"' || character == '\\' || static_cast<unsigned char>(character) < 0x20)
      character = '_';
  return text.empty() ? "-" : text;
}

}  // namespace

// What the comment of a statement says.
struct EngineCore::Request {
  std::string id = "-", error, tag = "SELECT";
  Job job;
  std::size_t rows = 1, bytes = 1;
  bool without_comment = true;
  bool late_error = false;
  bool bound = false, no_rows = false;
  std::vector<ColumnPlan> columns;
  std::vector<std::string> each{""};  // `rows` rows are returned for each of these
  Parameters parameters;
};

struct EngineCore::Session {
  std::shared_ptr<EngineLink> link;
  std::uint64_t number = 0;
  std::string in, gateway = "-";
  std::uint32_t process = 0, secret = 0;
  std::deque<Statement> statements;  // read but not yet begun
  Statement parsed;
  bool started = false, busy = false, closed = false;
  std::uint64_t job = 0;
  Request request;
  double grant_mb = 0;
  unsigned priority = 1;
  std::size_t rows_left = 0, rows_sent = 0;
  bool cut_answer = false;
};

namespace {

EngineCore::Request read_request(const Statement& source) {
  EngineCore::Request request;
  const std::string_view statement = source.text;
  request.bound = source.bound;
  request.parameters = source.parameters;
  const auto begin = statement.find("/*hw ");
  const auto end = begin == std::string_view::npos ? begin : statement.find("*/", begin);
  if (end == std::string_view::npos) return request;
  request.without_comment = false;
  std::istringstream words{std::string(statement.substr(begin + 5, end - begin - 5))};
  std::string word;
  while (words >> word) {
    const auto equals = word.find('=');
    if (equals == std::string::npos) continue;
    const auto key = word.substr(0, equals);
    auto value = word.substr(equals + 1);
    if (value.size() > 1 && value[0] == '$') {  // a bound parameter
      std::size_t n = 0;
      std::from_chars(value.data() + 1, value.data() + value.size(), n);
      value = n >= 1 && n <= source.parameters.size() ? source.parameters[n - 1].value_or("") : "";
    }
    double number = 0;
    std::from_chars(value.data(), value.data() + value.size(), number);
    if (key == "id") request.id = recordable(value);
    if (key == "columns") request.no_rows = value == "none", request.columns = read_columns(value);
    if (key == "each") request.each = elements(value);
    if (key == "tag") request.tag = value;
    if (key == "error") request.error = value;
    if (key == "work_ms") request.job.work = number / 1e3;
    if (key == "threads") request.job.threads = static_cast<unsigned>(std::max(1.0, number));
    if (key == "io") request.job.io = std::clamp(number, 0.0, 1.0);
    if (key == "need_mb") request.job.memory_mb = number;
    if (key == "group") request.job.group = static_cast<std::int64_t>(number);
    if (key == "holds") request.job.holds = number > 0;
    if (key == "waits") request.job.waits = number > 0;
    if (key == "rows") request.rows = static_cast<std::size_t>(number);
    if (key == "bytes") request.bytes = static_cast<std::size_t>(number);
    if (key == "error_after_rows") request.late_error = number > 0;
  }
  return request;
}

std::optional<std::string> value_of(const EngineCore::Request& request, const ColumnPlan& plan,
                                    std::size_t row) {
  const auto& source = plan.source;
  if (source == "each") return request.each[row / request.rows];
  if (source.size() > 1 && source[0] == '$') {
    std::size_t n = 0;
    std::from_chars(source.data() + 1, source.data() + source.size(), n);
    return n >= 1 && n <= request.parameters.size() ? request.parameters[n - 1] : std::nullopt;
  }
  if (!source.empty()) {
    std::vector<std::string> values_in_turn;
    std::istringstream words(source);
    for (std::string word; std::getline(words, word, '|');) values_in_turn.push_back(word);
    auto text = values_in_turn[row % values_in_turn.size()];
    std::ranges::replace(text, '_', ' ');
    return text;
  }
  const auto number = std::to_string(row + 1);
  if (plan.column.type == 16) return "t";
  if (sql::is_number_type(plan.column.type)) return number;
  return plan.column.name + " " + number;
}

std::string cost_of(const EngineCore::Request& request) {
  return fmt::format("work_ms={:.3f} memory_mb={:.1f}", request.job.work * 1e3, request.job.memory_mb);
}

// Appends the next row.
void append_row(EngineCore::Session& session, const std::string& filler, std::string& out) {
  const auto& request = session.request;
  const auto at = session.rows_sent++;
  if (request.columns.empty()) return sql::put_row(out, {filler});
  std::vector<std::optional<std::string>> texts;
  for (const auto& plan : request.columns) texts.push_back(value_of(request, plan, at));
  std::vector<sql::Value> values;
  for (const auto& text : texts) values.push_back(text ? sql::Value(*text) : std::nullopt);
  sql::put_row(out, values);
}

}  // namespace

EngineCore::EngineCore(EngineEnvironment& environment, EngineOptions options, Recorder& recorder)
    : environment_(environment),
      options_(std::move(options)),
      recorder_(recorder),
      model_(options_.traits, environment.now(), options_.warm),
      random_(options_.seed),
      secret_source_(options_.seed, 1) {}
EngineCore::~EngineCore() = default;

void EngineCore::listening(std::uint16_t port) {
  record("listening", fmt::format(R"("port":{},"warm":{})", port, options_.warm));
}

void EngineCore::start() { schedule_progress(); }

void EngineCore::record(std::string_view event, std::string_view fields) {
  recorder_.write(environment_.now(), event, fields);
}
void EngineCore::record(std::string_view event, const Session& session, std::string_view id) {
  record(event, fmt::format(R"("id":"{}","gw":"{}","conn":{})", id, session.gateway, session.process));
}
bool EngineCore::chance(double part) {
  return part > 0 && std::generate_canonical<double, 32>(random_) < part;
}

EngineCore::SessionPtr EngineCore::open(std::shared_ptr<EngineLink> link) {
  auto session = std::make_shared<Session>();
  session->link = std::move(link);
  session->number = ++last_session_number_;
  sessions_.emplace(session->number, session);
  return session;
}

// Reads the start-up message, then statements. It also reads while a statement runs, to notice that the
// router has closed the connection.
void EngineCore::received(SessionPtr session, std::string_view bytes) {
  session->in += bytes;
  while (!session->closed) {
    const auto frame =
        session->started ? sql::next_message(session->in, kMaxMessageBytes) : sql::next_startup(session->in);
    if (frame.state == sql::Frame::State::malformed) return close(session, false);
    if (frame.state == sql::Frame::State::need_more) return;
    if (session->started) {
      if (frame.message.type == 'X') return close(session, false);
      const bool understood = read_message(*session, frame.message);
      session->in.erase(0, frame.size);
      if (!understood) return close(session, false);
      next_statement(session);
      continue;
    }
    const auto startup = sql::read_startup(frame.message.payload);
    session->in.erase(0, frame.size);
    if (!startup) return close(session, false);
    if (startup->code == sql::kSslCode || startup->code == sql::kGssCode) {
      send(session, "N", [] {});
    } else if (startup->code == sql::kCancelCode) {
      return cancel(session, *startup);
    } else {
      session->started = true;
      answer_startup(session, *startup);
    }
  }
}

void EngineCore::send(const SessionPtr& session, std::string bytes, std::function<void()> then) {
  if (session->closed) return;
  session->link->send(std::move(bytes), [session, then = std::move(then)] {
    if (!session->closed) then();
  });
}

void EngineCore::connection_closed(SessionPtr session) { close(std::move(session), false); }

void EngineCore::close(SessionPtr session, bool reset) {
  if (std::exchange(session->closed, true)) return;
  std::exchange(session->link, nullptr)->close(reset);  // breaks the cycle: the link holds the session, too
  if (session->job != 0) {
    record("dropped", *session, session->request.id);
    model_.remove(environment_.now(), session->job);
    jobs_.erase(session->job);
    session->job = 0;
    schedule_work();
  } else if (session->busy && !session->request.without_comment) {
    record("closed", *session, session->request.id);
  }
  sessions_.erase(session->number);
}

bool EngineCore::read_message(Session& session, const sql::Message& message) {
  if (message.type == 'Q') {
    const auto text = sql::read_text(message.payload);
    if (text) session.statements.push_back({std::string(*text), false, {}});
    return text.has_value();
  }
  if (message.type == 'P') {
    const auto text = sql::read_parse(message.payload);
    if (text) session.parsed = {std::string(*text), true, {}};
    return text.has_value();
  }
  if (message.type == 'B') {
    auto parameters = sql::read_bind(message.payload);
    if (parameters) session.parsed.parameters = std::move(*parameters);
    return parameters.has_value();
  }
  if (message.type == 'S') session.statements.push_back(std::move(session.parsed));
  return message.type == 'D' || message.type == 'E' || message.type == 'S';
}

void EngineCore::answer_startup(const SessionPtr& session, const sql::Startup& startup) {
  for (const auto& [name, value] : startup.parameters)
    if (name == "application_name") session->gateway = value;
  session->process = ++last_process_number_;
  session->secret = static_cast<std::uint32_t>(secret_source_());
  std::string out;
  if (sessions_.size() > options_.traits.sessions + 8) {
    sql::put_error(out, {"FATAL", "53300", "too many connections"});
    return send(session, std::move(out), [this, session] { close(session, false); });
  }
  sql::put_authentication_ok(out);
  sql::put_parameter(out, "server_version", "15.0 (heronwell stand-in)");
  sql::put_parameter(out, "client_encoding", "UTF8");
  sql::put_key(out, session->process, session->secret);
  sql::put_ready(out);
  if (faults_.slow_start <= Time::zero()) return send(session, std::move(out), [] {});
  environment_.after(faults_.slow_start, [this, session, out = std::move(out)] {
    if (!session->closed) send(session, out, [] {});
  });
}

void EngineCore::cancel(const SessionPtr& session, const sql::Startup& startup) {
  for (const auto& [number, other] : sessions_) {
    if (other->process != startup.process || other->secret != startup.secret || other->process == 0) continue;
    cancel(SessionPtr(other));
    break;
  }
  close(session, false);
}

void EngineCore::cancel(const SessionPtr& session) {
  if (session->closed) return;
  record("cancel", *session, session->busy ? session->request.id : "-");
  if (!session->busy || session->job == 0) return;
  model_.remove(environment_.now(), session->job);
  jobs_.erase(session->job);
  fail(session, "57014", "canceling statement due to user request");
  schedule_work();
}

EngineCore::SessionPtr EngineCore::execute_message(std::shared_ptr<EngineLink> link,
                                                   const std::string& gateway, std::string statement,
                                                   double grant_mb, unsigned priority) {
  auto session = open(std::move(link));
  session->gateway = gateway;
  session->process = ++last_process_number_;
  session->started = true;
  session->grant_mb = grant_mb;
  session->priority = priority;
  session->statements.push_back({std::move(statement), false, {}});
  next_statement(session);
  return session;
}

void EngineCore::end_message(const SessionPtr& session, std::string_view code, std::string cost) {
  session->job = 0;
  session->busy = false;
  session->link->ended(options_.reports_load ? load_report() : "", code, std::move(cost));
  close(session, false);
}

void EngineCore::next_statement(const SessionPtr& session) {
  if (session->busy || session->closed || session->statements.empty()) return;
  const auto statement = std::move(session->statements.front());
  session->statements.pop_front();
  if (statement.text.starts_with("set ")) return apply_setting(session, statement.text);
  session->request = read_request(statement);
  if (session->request.without_comment) return send_answer(session);
  record("read", *session, session->request.id);
  session->busy = true;
  session->job = 0;
  if (chance(faults_.reset_before)) return close(session, true);
  if (chance(faults_.fail)) return fail(session, "58000", "system error");
  if (chance(faults_.turn_away)) return reject(session);
  auto job = session->request.job;
  job.id = ++last_job_id_;
  job.grant_mb = session->grant_mb;
  job.priority = session->priority;
  const auto now = environment_.now();
  finish_jobs(now);
  if (!model_.add(now, job)) return reject(session);
  ++began_;
  record(
      "began",
      fmt::format(
          R"("id":"{}","gw":"{}","conn":{},"work_ms":{:.3f},"warmth":{:.3f},"grant_mb":{:.0f},"priority":{})",
          session->request.id, session->gateway, session->process, job.work * 1e3, model_.warmth(now),
          job.grant_mb, job.priority));
  session->job = job.id;
  jobs_[job.id] = session;
  if (model_.crashed()) {
    record("tipped", "");
    return kill();
  }
  schedule_work();
}

void EngineCore::apply_setting(const SessionPtr& session, const std::string& statement) {
  const auto quote = statement.find('\'');
  double value = 0;
  if (quote != std::string::npos)
    std::from_chars(statement.data() + quote + 1, statement.data() + statement.size(), value);
  if (statement.starts_with("set work_mem ")) session->grant_mb = value;
  if (statement.starts_with("set heronwell.priority ")) session->priority = static_cast<unsigned>(value);
  const bool known =
      statement.starts_with("set work_mem ") || statement.starts_with("set heronwell.priority ");
  std::string out;
  if (known)
    sql::put_complete(out, "SET");
  else
    sql::put_error(out, {"ERROR", "42704", "unrecognized configuration parameter"});
  sql::put_ready(out);
  session->busy = true;
  send(session, std::move(out), [this, session] {
    session->busy = false;
    next_statement(session);
  });
}

void EngineCore::reject(const SessionPtr& session) {
  record("turned_away", *session, session->request.id);
  fail(session, "53300", "no session is free");
}

void EngineCore::fail(const SessionPtr& session, std::string_view code, std::string_view message) {
  record("error",
         fmt::format(R"("id":"{}","gw":"{}","code":"{}")", session->request.id, session->gateway, code));
  session->job = 0;
  if (session->link->uses_messages()) return end_message(session, code, "");
  std::string out;
  put_load_report(out);
  sql::put_error(out, {"ERROR", code, message});
  sql::put_ready(out);
  send(session, std::move(out), [this, session] {
    session->busy = false;
    next_statement(session);
  });
}

std::string EngineCore::load_report() {
  const auto now = environment_.now();
  load_reports_.emplace_back(
      now, fmt::format("inflight={} util={:.3f} queue=0 memory_share={:.3f} disk_share={:.3f}",
                       model_.running(), model_.busy(), model_.memory_used(), model_.disks_busy()));
  while (load_reports_.size() > 1 && load_reports_[1].first <= now - faults_.late_loads)
    load_reports_.pop_front();
  return load_reports_.front().second;
}

void EngineCore::put_load_report(std::string& out) {
  if (options_.reports_load) sql::put_parameter(out, "heronwell.load", load_report());
}

// The work is done: sends the answer, or applies a fault instead.
void EngineCore::send_answer(const SessionPtr& session) {
  session->job = 0;
  if (session->closed) return;
  const auto& request = session->request;
  if (!request.without_comment) {
    record("done", *session, request.id);
    if (!request.error.empty() && !request.late_error)
      return fail(session, request.error, "the statement's own fault");
    if (chance(faults_.reset_after)) return close(session, true);
    if (chance(faults_.swallow)) {
      record("swallowed", *session, request.id);
      return;
    }
  }
  session->busy = true;
  session->rows_left = request.no_rows ? 0 : request.rows * request.each.size();
  session->rows_sent = 0;
  session->cut_answer = !request.without_comment && chance(faults_.cut);
  if (session->link->uses_messages()) {
    if (session->cut_answer) return record("cut", *session, request.id), close(session, true);
    if (request.late_error) return fail(session, request.error, "late");
    if (!request.without_comment) record("sent", *session, request.id);
    return end_message(session, "",
                       options_.reports_cost && !request.without_comment ? cost_of(request) : "");
  }
  std::string out;
  put_load_report(out);
  if (request.bound) {
    sql::put_parse_complete(out);
    sql::put_bind_complete(out);
  }
  std::vector<sql::Column> columns;
  for (const auto& plan : request.columns) columns.push_back(plan.column);
  if (request.no_rows)
    sql::put_no_data(out);
  else if (columns.empty())
    sql::put_columns(out, {{"value", request.without_comment ? 23U : 25U}});
  else
    sql::put_columns(out, columns);
  send_rows(session, std::move(out));
}

void EngineCore::send_rows(const SessionPtr& session, std::string out) {
  const std::string value = session->request.without_comment ? "1" : std::string(session->request.bytes, 'x');
  for (; session->rows_left > 0 && out.size() < kRowChunkBytes; --session->rows_left)
    append_row(*session, value, out);
  if (session->rows_left > 0)
    return send(session, std::move(out), [this, session] { send_rows(session, {}); });
  if (session->cut_answer)
    return send(session, std::move(out),
                [this, session] { record("cut", *session, session->request.id), close(session, true); });
  if (session->request.late_error)
    return send(session, std::move(out), [this, session] { fail(session, session->request.error, "late"); });
  if (options_.reports_cost && !session->request.without_comment)
    sql::put_notice(out, {"NOTICE", "01H04", cost_of(session->request)});
  sql::put_complete(out,
                    fmt::format("{} {}", session->request.tag == "INSERT" ? "INSERT 0" : session->request.tag,
                                session->request.no_rows ? session->request.rows : session->rows_sent));
  sql::put_ready(out);
  if (!session->request.without_comment) record("sent", *session, session->request.id);
  send(session, std::move(out), [this, session] {
    session->busy = false;
    next_statement(session);
  });
}

void EngineCore::finish_jobs(Time now) {
  std::vector<std::uint64_t> done;
  model_.advance(now, done);
  for (const auto id : done) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) continue;
    const auto session = found->second;
    jobs_.erase(found);
    send_answer(session);
  }
}

// Resets every connection without an answer, as with a killed process.
void EngineCore::kill() {
  listening_ = false;
  for (const auto& [number, session] : std::map(sessions_)) {
    session->job = 0;
    session->busy = false;
    close(session, true);
  }
  jobs_.clear();
  environment_.set_timer(EngineEnvironment::TimerKind::work, Time::max());
  environment_.set_timer(EngineEnvironment::TimerKind::progress, Time::max());
  environment_.stopped_listening();
}

void EngineCore::schedule_work() {
  if (listening_) environment_.set_timer(EngineEnvironment::TimerKind::work, model_.next());
}

void EngineCore::on_timer(EngineEnvironment::TimerKind which) {
  if (!listening_) return;
  finish_jobs(environment_.now());
  if (which == EngineEnvironment::TimerKind::progress) {
    for (const auto& [id, session] : jobs_) {
      const bool waits = model_.waits_for_load(id);
      const std::string_view code = waits ? "01H03" : "01H01";
      auto text = waits ? "load" : fmt::format("{:.3f}", model_.progress(id));
      if (session->link->uses_messages()) {
        session->link->notice(code, std::move(text));
        continue;
      }
      std::string out;
      sql::put_notice(out, {"NOTICE", code, text});
      session->link->send_notice(out);  // nothing else is written while the statement runs
    }
    schedule_progress();
  }
  schedule_work();
}

void EngineCore::schedule_progress() {
  if (options_.progress_interval > Time::zero())
    environment_.set_timer(EngineEnvironment::TimerKind::progress,
                           environment_.now() + options_.progress_interval);
}

void EngineCore::faults(const EngineFaults& faults) {
  faults_ = faults;
  model_.slow(environment_.now(), faults.slow);
  schedule_work();
}

std::string EngineCore::command(const std::string& line) {
  std::istringstream words(line);
  std::string what;
  double value = 0;
  if (!(words >> what >> value)) return "expected a fault and a number";
  auto faults = faults_;
  const std::map<std::string, double EngineFaults::*> known{{"slow", &EngineFaults::slow},
                                                            {"swallow", &EngineFaults::swallow},
                                                            {"fail", &EngineFaults::fail},
                                                            {"reset_before", &EngineFaults::reset_before},
                                                            {"reset_after", &EngineFaults::reset_after},
                                                            {"turn_away", &EngineFaults::turn_away},
                                                            {"cut", &EngineFaults::cut}};
  const Time ms(static_cast<std::int64_t>(value * 1e6));
  if (what == "late_loads_ms") {
    faults.late_loads = ms;
  } else if (what == "slow_start_ms") {
    faults.slow_start = ms;
  } else if (const auto found = known.find(what); found != known.end()) {
    faults.*found->second = value;
  } else {
    return "unknown fault " + what;
  }
  record("fault", fmt::format(R"("what":"{}","value":{})", what, value));
  this->faults(faults);
  return "";
}

}  // namespace heronwell::rehearsal
