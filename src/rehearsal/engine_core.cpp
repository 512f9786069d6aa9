#include "rehearsal/engine_core.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <random>
#include <sstream>

namespace heronwell::rehearsal {
namespace {

constexpr std::size_t kMostMessage = 16 << 20;
constexpr std::size_t kChunk = 256 << 10;  // bytes of rows on their way at a time

using Parameters = std::vector<std::optional<std::string>>;
struct Statement {
  std::string text;
  bool bound = false;  // came by the extended protocol
  Parameters parameters;
};

struct ColumnPlan {
  sql::Column column;
  std::string source;  // empty: made up; "each"; "$1"; else a value, or several of them by turns with |
};

// "columns=id:23,name:25=Gate A|Gate B": object ids of types after the colon.
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

// The elements of an array parameter such as {"1","2"}.
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

// A record's text: what could break its JSON is replaced.
std::string recordable(std::string text) {
  for (auto& c : text)
    if (c == '"' || c == '\\' || static_cast<unsigned char>(c) < 0x20) c = '_';
  return text.empty() ? "-" : text;
}

}  // namespace

// What the comment of a statement asks for.
struct EngineCore::Request {
  std::string id = "-", error, tag = "SELECT";
  Job job;
  std::size_t rows = 1, bytes = 1;
  bool plain = true;  // no comment
  bool late_error = false;
  bool bound = false, no_rows = false;
  std::vector<ColumnPlan> columns;
  std::vector<std::string> each{""};  // rows are given for each of these
  Parameters parameters;
};

struct EngineCore::Session {
  std::shared_ptr<EngineLink> link;
  std::uint64_t number = 0;
  std::string in, gateway = "-";
  std::uint32_t process = 0, secret = 0;
  std::deque<Statement> statements;  // read, not begun
  Statement parsed;
  bool started = false, busy = false, closed = false;
  std::uint64_t job = 0;
  Request request;
  double grant_mb = 0;
  unsigned priority = 1;
  std::size_t rows_left = 0, rows_sent = 0;
  bool cut = false;
};

namespace {

EngineCore::Request read_request(const Statement& asked) {
  EngineCore::Request request;
  const std::string_view statement = asked.text;
  request.bound = asked.bound;
  request.parameters = asked.parameters;
  const auto begin = statement.find("/*hw ");
  const auto end = begin == std::string_view::npos ? begin : statement.find("*/", begin);
  if (end == std::string_view::npos) return request;
  request.plain = false;
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
      value = n >= 1 && n <= asked.parameters.size() ? asked.parameters[n - 1].value_or("") : "";
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

std::optional<std::string> made_up(const EngineCore::Request& request, const ColumnPlan& plan,
                                   std::size_t row) {
  const auto& source = plan.source;
  if (source == "each") return request.each[row / request.rows];
  if (source.size() > 1 && source[0] == '$') {
    std::size_t n = 0;
    std::from_chars(source.data() + 1, source.data() + source.size(), n);
    return n >= 1 && n <= request.parameters.size() ? request.parameters[n - 1] : std::nullopt;
  }
  if (!source.empty()) {
    std::vector<std::string> turns;
    std::istringstream words(source);
    for (std::string word; std::getline(words, word, '|');) turns.push_back(word);
    auto text = turns[row % turns.size()];
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
void row(EngineCore::Session& c, const std::string& filler, std::string& out) {
  const auto& request = c.request;
  const auto at = c.rows_sent++;
  if (request.columns.empty()) return sql::put_row(out, {filler});
  std::vector<std::optional<std::string>> texts;
  for (const auto& plan : request.columns) texts.push_back(made_up(request, plan, at));
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
      secrets_(options_.seed, 1) {}
EngineCore::~EngineCore() = default;

void EngineCore::listening(std::uint16_t port) {
  record("listening", fmt::format(R"("port":{},"warm":{})", port, options_.warm));
}

void EngineCore::start() { note(); }

void EngineCore::record(std::string_view event, std::string_view fields) {
  recorder_.write(environment_.now(), event, fields);
}
void EngineCore::record(std::string_view event, const Session& c, std::string_view id) {
  record(event, fmt::format(R"("id":"{}","gw":"{}","conn":{})", id, c.gateway, c.process));
}
bool EngineCore::chance(double part) {
  return part > 0 && std::generate_canonical<double, 32>(random_) < part;
}

EngineCore::SessionPtr EngineCore::open(std::shared_ptr<EngineLink> link) {
  auto session = std::make_shared<Session>();
  session->link = std::move(link);
  session->number = ++numbers_;
  sessions_.emplace(session->number, session);
  return session;
}

// Start-up, then statements. Read on while one runs, to notice that the router is gone.
void EngineCore::received(SessionPtr c, std::string_view bytes) {
  c->in += bytes;
  while (!c->closed) {
    const auto frame = c->started ? sql::next_message(c->in, kMostMessage) : sql::next_startup(c->in);
    if (frame.state == sql::Frame::State::malformed) return close(c, false);
    if (frame.state == sql::Frame::State::need_more) return;
    if (c->started) {
      if (frame.message.type == 'X') return close(c, false);
      const bool understood = take(*c, frame.message);
      c->in.erase(0, frame.size);
      if (!understood) return close(c, false);
      next_statement(c);
      continue;
    }
    const auto startup = sql::read_startup(frame.message.payload);
    c->in.erase(0, frame.size);
    if (!startup) return close(c, false);
    if (startup->code == sql::kSslCode || startup->code == sql::kGssCode) {
      send(c, "N", [] {});
    } else if (startup->code == sql::kCancelCode) {
      return cancel(c, *startup);
    } else {
      c->started = true;
      greet(c, *startup);
    }
  }
}

void EngineCore::send(const SessionPtr& c, std::string bytes, std::function<void()> then) {
  if (c->closed) return;
  c->link->send(std::move(bytes), [c, then = std::move(then)] {
    if (!c->closed) then();
  });
}

void EngineCore::connection_closed(SessionPtr c) { close(std::move(c), false); }

void EngineCore::close(SessionPtr c, bool reset) {
  if (std::exchange(c->closed, true)) return;
  std::exchange(c->link, nullptr)->close(reset);  // which holds the session in turn
  if (c->job != 0) {
    record("dropped", *c, c->request.id);
    model_.remove(environment_.now(), c->job);
    jobs_.erase(c->job);
    c->job = 0;
    arm();
  } else if (c->busy && !c->request.plain) {
    record("closed", *c, c->request.id);
  }
  sessions_.erase(c->number);
}

bool EngineCore::take(Session& c, const sql::Message& message) {
  if (message.type == 'Q') {
    const auto text = sql::read_text(message.payload);
    if (text) c.statements.push_back({std::string(*text), false, {}});
    return text.has_value();
  }
  if (message.type == 'P') {
    const auto text = sql::read_parse(message.payload);
    if (text) c.parsed = {std::string(*text), true, {}};
    return text.has_value();
  }
  if (message.type == 'B') {
    auto parameters = sql::read_bind(message.payload);
    if (parameters) c.parsed.parameters = std::move(*parameters);
    return parameters.has_value();
  }
  if (message.type == 'S') c.statements.push_back(std::move(c.parsed));
  return message.type == 'D' || message.type == 'E' || message.type == 'S';
}

void EngineCore::greet(const SessionPtr& c, const sql::Startup& startup) {
  for (const auto& [name, value] : startup.parameters)
    if (name == "application_name") c->gateway = value;
  c->process = ++processes_;
  c->secret = static_cast<std::uint32_t>(secrets_());
  std::string out;
  if (sessions_.size() > options_.traits.sessions + 8) {
    sql::put_error(out, {"FATAL", "53300", "too many connections"});
    return send(c, std::move(out), [this, c] { close(c, false); });
  }
  sql::put_authentication_ok(out);
  sql::put_parameter(out, "server_version", "15.0 (heronwell stand-in)");
  sql::put_parameter(out, "client_encoding", "UTF8");
  sql::put_key(out, c->process, c->secret);
  sql::put_ready(out);
  if (faults_.slow_start <= Time::zero()) return send(c, std::move(out), [] {});
  environment_.after(faults_.slow_start, [this, c, out = std::move(out)] {
    if (!c->closed) send(c, out, [] {});
  });
}

void EngineCore::cancel(const SessionPtr& c, const sql::Startup& startup) {
  for (const auto& [number, other] : sessions_) {
    if (other->process != startup.process || other->secret != startup.secret || other->process == 0) continue;
    cancel(SessionPtr(other));
    break;
  }
  close(c, false);
}

void EngineCore::cancel(const SessionPtr& c) {
  if (c->closed) return;
  record("cancel", *c, c->busy ? c->request.id : "-");
  if (!c->busy || c->job == 0) return;
  model_.remove(environment_.now(), c->job);
  jobs_.erase(c->job);
  fail(c, "57014", "canceling statement due to user request");
  arm();
}

EngineCore::SessionPtr EngineCore::execute_message(std::shared_ptr<EngineLink> link,
                                                   const std::string& gateway, std::string statement,
                                                   double grant_mb, unsigned priority) {
  auto c = open(std::move(link));
  c->gateway = gateway;
  c->process = ++processes_;
  c->started = true;
  c->grant_mb = grant_mb;
  c->priority = priority;
  c->statements.push_back({std::move(statement), false, {}});
  next_statement(c);
  return c;
}

void EngineCore::answer(const SessionPtr& c, std::string_view code, std::string cost) {
  c->job = 0;
  c->busy = false;
  c->link->ended(options_.reports_load ? load_text() : "", code, std::move(cost));
  close(c, false);
}

void EngineCore::next_statement(const SessionPtr& c) {
  if (c->busy || c->closed || c->statements.empty()) return;
  const auto statement = std::move(c->statements.front());
  c->statements.pop_front();
  if (statement.text.starts_with("set ")) return set(c, statement.text);
  c->request = read_request(statement);
  if (c->request.plain) return finish(c);
  record("read", *c, c->request.id);
  c->busy = true;
  c->job = 0;
  if (chance(faults_.reset_before)) return close(c, true);
  if (chance(faults_.fail)) return fail(c, "58000", "system error");
  if (chance(faults_.turn_away)) return turn_away(c);
  auto job = c->request.job;
  job.id = ++ids_;
  job.grant_mb = c->grant_mb;
  job.priority = c->priority;
  const auto now = environment_.now();
  settle(now);
  if (!model_.add(now, job)) return turn_away(c);
  ++begun_;
  record(
      "began",
      fmt::format(
          R"("id":"{}","gw":"{}","conn":{},"work_ms":{:.3f},"warmth":{:.3f},"grant_mb":{:.0f},"priority":{})",
          c->request.id, c->gateway, c->process, job.work * 1e3, model_.warmth(now), job.grant_mb,
          job.priority));
  c->job = job.id;
  jobs_[job.id] = c;
  if (model_.crashed()) {
    record("tipped", "");
    return kill();
  }
  arm();
}

void EngineCore::set(const SessionPtr& c, const std::string& statement) {
  const auto quote = statement.find('\'');
  double value = 0;
  if (quote != std::string::npos)
    std::from_chars(statement.data() + quote + 1, statement.data() + statement.size(), value);
  if (statement.starts_with("set work_mem ")) c->grant_mb = value;
  if (statement.starts_with("set heronwell.priority ")) c->priority = static_cast<unsigned>(value);
  const bool known =
      statement.starts_with("set work_mem ") || statement.starts_with("set heronwell.priority ");
  std::string out;
  if (known)
    sql::put_complete(out, "SET");
  else
    sql::put_error(out, {"ERROR", "42704", "unrecognized configuration parameter"});
  sql::put_ready(out);
  c->busy = true;
  send(c, std::move(out), [this, c] {
    c->busy = false;
    next_statement(c);
  });
}

void EngineCore::turn_away(const SessionPtr& c) {
  record("turned_away", *c, c->request.id);
  fail(c, "53300", "no session is free");
}

void EngineCore::fail(const SessionPtr& c, std::string_view code, std::string_view message) {
  record("error", fmt::format(R"("id":"{}","gw":"{}","code":"{}")", c->request.id, c->gateway, code));
  c->job = 0;
  if (c->link->uses_messages()) return answer(c, code, "");
  std::string out;
  tell_load(out);
  sql::put_error(out, {"ERROR", code, message});
  sql::put_ready(out);
  send(c, std::move(out), [this, c] {
    c->busy = false;
    next_statement(c);
  });
}

std::string EngineCore::load_text() {
  const auto now = environment_.now();
  loads_.emplace_back(
      now, fmt::format("inflight={} util={:.3f} queue=0 memory_share={:.3f} disk_share={:.3f}",
                       model_.running(), model_.busy(), model_.memory_used(), model_.disks_busy()));
  while (loads_.size() > 1 && loads_[1].first <= now - faults_.late_loads) loads_.pop_front();
  return loads_.front().second;
}

void EngineCore::tell_load(std::string& out) {
  if (options_.reports_load) sql::put_parameter(out, "heronwell.load", load_text());
}

// The work is done: the answer goes out, or what the fault makes of it.
void EngineCore::finish(const SessionPtr& c) {
  c->job = 0;
  if (c->closed) return;
  const auto& request = c->request;
  if (!request.plain) {
    record("done", *c, request.id);
    if (!request.error.empty() && !request.late_error)
      return fail(c, request.error, "the statement's own fault");
    if (chance(faults_.reset_after)) return close(c, true);
    if (chance(faults_.swallow)) {
      record("swallowed", *c, request.id);
      return;
    }
  }
  c->busy = true;
  c->rows_left = request.no_rows ? 0 : request.rows * request.each.size();
  c->rows_sent = 0;
  c->cut = !request.plain && chance(faults_.cut);
  if (c->link->uses_messages()) {
    if (c->cut) return record("cut", *c, request.id), close(c, true);
    if (request.late_error) return fail(c, request.error, "late");
    if (!request.plain) record("sent", *c, request.id);
    return answer(c, "", options_.reports_cost && !request.plain ? cost_of(request) : "");
  }
  std::string out;
  tell_load(out);
  if (request.bound) {
    sql::put_parse_complete(out);
    sql::put_bind_complete(out);
  }
  std::vector<sql::Column> columns;
  for (const auto& plan : request.columns) columns.push_back(plan.column);
  if (request.no_rows)
    sql::put_no_data(out);
  else if (columns.empty())
    sql::put_columns(out, {{"value", request.plain ? 23U : 25U}});
  else
    sql::put_columns(out, columns);
  rows(c, std::move(out));
}

void EngineCore::rows(const SessionPtr& c, std::string out) {
  const std::string value = c->request.plain ? "1" : std::string(c->request.bytes, 'x');
  for (; c->rows_left > 0 && out.size() < kChunk; --c->rows_left) row(*c, value, out);
  if (c->rows_left > 0) return send(c, std::move(out), [this, c] { rows(c, {}); });
  if (c->cut) return send(c, std::move(out), [this, c] { record("cut", *c, c->request.id), close(c, true); });
  if (c->request.late_error) return send(c, std::move(out), [this, c] { fail(c, c->request.error, "late"); });
  if (options_.reports_cost && !c->request.plain)
    sql::put_notice(out, {"NOTICE", "01H04", cost_of(c->request)});
  sql::put_complete(out, fmt::format("{} {}", c->request.tag == "INSERT" ? "INSERT 0" : c->request.tag,
                                     c->request.no_rows ? c->request.rows : c->rows_sent));
  sql::put_ready(out);
  if (!c->request.plain) record("sent", *c, c->request.id);
  send(c, std::move(out), [this, c] {
    c->busy = false;
    next_statement(c);
  });
}

void EngineCore::settle(Time now) {
  std::vector<std::uint64_t> done;
  model_.advance(now, done);
  for (const auto id : done) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) continue;
    const auto c = found->second;
    jobs_.erase(found);
    finish(c);
  }
}

// Every connection ends without a word, as with a killed process.
void EngineCore::kill() {
  listens_ = false;
  for (const auto& [number, c] : std::map(sessions_)) {
    c->job = 0;
    c->busy = false;
    close(c, true);
  }
  jobs_.clear();
  environment_.set_timer(EngineEnvironment::TimerKind::work, Time::max());
  environment_.set_timer(EngineEnvironment::TimerKind::progress, Time::max());
  environment_.stopped_listening();
}

void EngineCore::arm() {
  if (listens_) environment_.set_timer(EngineEnvironment::TimerKind::work, model_.next());
}

void EngineCore::on_timer(EngineEnvironment::TimerKind which) {
  if (!listens_) return;
  settle(environment_.now());
  if (which == EngineEnvironment::TimerKind::progress) {
    for (const auto& [id, c] : jobs_) {
      const bool waits = model_.waits_for_load(id);
      const std::string_view code = waits ? "01H03" : "01H01";
      auto text = waits ? "load" : fmt::format("{:.3f}", model_.progress(id));
      if (c->link->uses_messages()) {
        c->link->notice(code, std::move(text));
        continue;
      }
      std::string out;
      sql::put_notice(out, {"NOTICE", code, text});
      c->link->send_notice(out);  // nothing else is being written while it runs
    }
    note();
  }
  arm();
}

void EngineCore::note() {
  if (options_.progress_interval > Time::zero())
    environment_.set_timer(EngineEnvironment::TimerKind::progress,
                           environment_.now() + options_.progress_interval);
}

void EngineCore::faults(const EngineFaults& faults) {
  faults_ = faults;
  model_.slow(environment_.now(), faults.slow);
  arm();
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
