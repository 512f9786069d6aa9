#include "rehearsal/engine.hpp"

#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <deque>
#include <map>
#include <pcg_random.hpp>
#include <random>
#include <set>
#include <sstream>

#include "rehearsal/asio.hpp"
#include "sql/protocol.hpp"

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

// What the comment of a statement asks for.
struct Request {
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

Request read_request(const Statement& asked) {
  Request request;
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

}  // namespace

struct Engine::Parts : std::enable_shared_from_this<Engine::Parts> {
  struct Connection : std::enable_shared_from_this<Connection> {
    Connection(std::shared_ptr<Parts> engine, Socket from)
        : parts(std::move(engine)), socket(std::move(from)) {}
    std::shared_ptr<Parts> parts;
    Socket socket;
    std::string gateway = "-";
    std::uint32_t process = 0, secret = 0;
    std::deque<Statement> statements;  // read, not begun
    Statement parsed;
    bool busy = false, closed = false, cancelled = false;
    std::uint64_t job = 0;
    Request request;
    double grant_mb = 0;
    unsigned priority = 1;
    std::shared_ptr<std::string> sending;
    std::size_t rows_left = 0, rows_sent = 0;
    bool cut = false;

    void close(bool reset) {
      if (std::exchange(closed, true)) return;
      boost::system::error_code ignored;
      if (reset) socket.set_option(asio::socket_base::linger(true, 0), ignored);
      socket.close(ignored);
      parts->gone(*this);
    }
    void send(std::string bytes, auto then) {
      sending = std::make_shared<std::string>(std::move(bytes));
      asio::async_write(socket, asio::buffer(*sending),
                        [self = this->shared_from_this(), kept = sending, then](
                            boost::system::error_code error, std::size_t) {
                          if (error) return self->close(false);
                          then();
                        });
    }
  };
  using Ptr = std::shared_ptr<Connection>;

  Parts(asio::io_context& io, EngineOptions given, Recorder& to)
      : context(io),
        options(std::move(given)),
        recorder(to),
        acceptor(io.get_executor()),
        timer(io.get_executor()),
        notes(io.get_executor()),
        model(options.traits, steady_clock_now(), options.warm),
        random(options.seed) {
    listen(acceptor, options.port);
    record("listening",
           fmt::format(R"("port":{},"warm":{})", acceptor.local_endpoint().port(), options.warm));
  }

  void record(std::string_view event, std::string_view fields) {
    recorder.write(steady_clock_now(), event, fields);
  }
  void record(std::string_view event, const Connection& c, std::string_view id) {
    record(event, fmt::format(R"("id":"{}","gw":"{}","conn":{})", id, c.gateway, c.process));
  }
  double drawn() { return std::generate_canonical<double, 32>(random); }
  bool chance(double part) { return part > 0 && drawn() < part; }

  void accept() {
    acceptor.async_accept([self = shared_from_this()](boost::system::error_code error, Socket socket) {
      if (!self->acceptor.is_open()) return;
      if (!error) {
        boost::system::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        auto connection = std::make_shared<Connection>(self, std::move(socket));
        self->connections.insert(connection);
        asio::co_spawn(
            self->context.get_executor(), [self, connection] { return self->serve(connection); },
            asio::detached);
      }
      self->accept();
    });
  }

  // Start-up, then statements. Reads on while one runs, to notice that the router is gone.
  asio::awaitable<void, Executor> serve(Ptr c) {
    std::string buffer;
    std::array<char, 8192> chunk{};
    bool started = false;
    boost::system::error_code error;
    while (!c->closed) {
      while (!c->closed) {
        const auto frame = started ? sql::next_message(buffer, kMostMessage) : sql::next_startup(buffer);
        if (frame.state == sql::Frame::State::malformed) co_return c->close(false);
        if (frame.state == sql::Frame::State::need_more) break;
        if (!started) {
          const auto startup = sql::read_startup(frame.message.payload);
          buffer.erase(0, frame.size);
          if (!startup) co_return c->close(false);
          if (startup->code == sql::kSslCode || startup->code == sql::kGssCode) {
            co_await asio::async_write(c->socket, asio::buffer("N", 1), asio::redirect_error(kToken, error));
          } else if (startup->code == sql::kCancelCode) {
            co_return cancel(c, *startup);
          } else {
            started = true;
            greet(c, *startup);
          }
          continue;
        }
        if (frame.message.type == 'X') co_return c->close(false);
        const bool understood = take(*c, frame.message);
        buffer.erase(0, frame.size);
        if (!understood) co_return c->close(false);
        next_statement(c);
      }
      if (c->closed) break;
      const auto got =
          co_await c->socket.async_read_some(asio::buffer(chunk), asio::redirect_error(kToken, error));
      if (error) co_return c->close(false);
      buffer.append(chunk.data(), got);
    }
  }

  // A query, or a step of the extended protocol; whatever statement and portal are named, there is one.
  static bool take(Connection& c, const sql::Message& message) {
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

  void greet(const Ptr& c, const sql::Startup& startup) {
    for (const auto& [name, value] : startup.parameters)
      if (name == "application_name") c->gateway = value;
    c->process = ++processes;
    c->secret = static_cast<std::uint32_t>(random());
    std::string out;
    if (connections.size() > options.traits.sessions + 8) {
      sql::put_error(out, {"FATAL", "53300", "too many connections"});
      return c->send(std::move(out), [c] { c->close(false); });
    }
    sql::put_authentication_ok(out);
    sql::put_parameter(out, "server_version", "15.0 (heronwell stand-in)");
    sql::put_parameter(out, "client_encoding", "UTF8");
    sql::put_key(out, c->process, c->secret);
    sql::put_ready(out);
    if (faults.slow_start <= Time::zero()) return c->send(std::move(out), [] {});
    auto wait = std::make_shared<Timer>(context.get_executor());
    wait->expires_after(faults.slow_start);
    wait->async_wait([c, wait, out = std::move(out)](boost::system::error_code) {
      if (!c->closed) c->send(out, [] {});
    });
  }

  void cancel(const Ptr& c, const sql::Startup& startup) {
    for (const auto& other : connections) {
      if (other->process != startup.process || other->secret != startup.secret || other->process == 0)
        continue;
      record("cancel", *other, other->busy ? other->request.id : "-");
      if (other->busy && other->job != 0) {
        model.remove(steady_clock_now(), other->job);
        jobs.erase(other->job);
        fail(other, "57014", "canceling statement due to user request");
        arm();
      }
      break;
    }
    c->close(false);
  }

  void next_statement(const Ptr& c) {
    if (c->busy || c->closed || c->statements.empty()) return;
    const auto statement = std::move(c->statements.front());
    c->statements.pop_front();
    if (statement.text.starts_with("set ")) return set(c, statement.text);
    c->request = read_request(statement);
    if (c->request.plain) return finish(c);
    record("read", *c, c->request.id);
    c->busy = true;
    c->job = 0;
    if (chance(faults.reset_before)) return c->close(true);
    if (chance(faults.fail)) return fail(c, "58000", "system error");
    if (chance(faults.turn_away)) return turn_away(c);
    auto job = c->request.job;
    job.id = ++ids;
    job.grant_mb = c->grant_mb;
    job.priority = c->priority;
    const auto now = steady_clock_now();
    settle(now);
    if (!model.add(now, job)) return turn_away(c);
    ++begun;
    record(
        "began",
        fmt::format(
            R"("id":"{}","gw":"{}","conn":{},"work_ms":{:.3f},"warmth":{:.3f},"grant_mb":{:.0f},"priority":{})",
            c->request.id, c->gateway, c->process, job.work * 1e3, model.warmth(now), job.grant_mb,
            job.priority));
    c->job = job.id;
    jobs[job.id] = c;
    if (model.tipped()) return tip();
    arm();
  }

  void set(const Ptr& c, const std::string& statement) {
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
    c->send(std::move(out), [this, c] {
      c->busy = false;
      next_statement(c);
    });
  }

  void turn_away(const Ptr& c) {
    record("turned_away", *c, c->request.id);
    fail(c, "53300", "no session is free");
  }

  void fail(const Ptr& c, std::string_view code, std::string_view message) {
    record("error", fmt::format(R"("id":"{}","gw":"{}","code":"{}")", c->request.id, c->gateway, code));
    c->job = 0;
    std::string out;
    tell_load(out);
    sql::put_error(out, {"ERROR", code, message});
    sql::put_ready(out);
    c->send(std::move(out), [this, c] {
      c->busy = false;
      next_statement(c);
    });
  }

  void tell_load(std::string& out) {
    if (!options.tells_load) return;
    const auto now = steady_clock_now();
    loads.emplace_back(now,
                       fmt::format("inflight={} util={:.3f} queue=0 memory_share={:.3f} disk_share={:.3f}",
                                   model.running(), model.busy(), model.memory_used(), model.disks_busy()));
    while (loads.size() > 1 && loads[1].first <= now - faults.late_loads) loads.pop_front();
    sql::put_parameter(out, "heronwell.load", loads.front().second);
  }

  // The work is done: the answer goes out, or what the fault makes of it.
  void finish(const Ptr& c) {
    c->job = 0;
    if (c->closed) return;
    const auto& request = c->request;
    if (!request.plain) {
      record("done", *c, request.id);
      if (!request.error.empty() && !request.late_error)
        return fail(c, request.error, "the statement's own fault");
      if (chance(faults.reset_after)) return c->close(true);
      if (chance(faults.swallow)) {
        record("swallowed", *c, request.id);
        return;
      }
    }
    c->busy = true;
    c->rows_left = request.no_rows ? 0 : request.rows * request.each.size();
    c->rows_sent = 0;
    c->cut = !request.plain && chance(faults.cut);
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

  static std::optional<std::string> made_up(const Request& request, const ColumnPlan& plan, std::size_t row) {
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
    if (sql::number_type(plan.column.type)) return number;
    return plan.column.name + " " + number;
  }

  // Appends the next row.
  static void row(Connection& c, const std::string& filler, std::string& out) {
    const auto& request = c.request;
    const auto at = c.rows_sent++;
    if (request.columns.empty()) return sql::put_row(out, {filler});
    std::vector<std::optional<std::string>> texts;
    for (const auto& plan : request.columns) texts.push_back(made_up(request, plan, at));
    std::vector<sql::Value> values;
    for (const auto& text : texts) values.push_back(text ? sql::Value(*text) : std::nullopt);
    sql::put_row(out, values);
  }

  void rows(const Ptr& c, std::string out) {
    const std::string value = c->request.plain ? "1" : std::string(c->request.bytes, 'x');
    for (; c->rows_left > 0 && out.size() < kChunk; --c->rows_left) row(*c, value, out);
    if (c->rows_left > 0) return c->send(std::move(out), [this, c] { rows(c, {}); });
    if (c->cut)
      return c->send(std::move(out), [this, c] { record("cut", *c, c->request.id), c->close(true); });
    if (c->request.late_error)
      return c->send(std::move(out), [this, c] { fail(c, c->request.error, "late"); });
    if (options.tells_cost && !c->request.plain)
      sql::put_notice(out, {"NOTICE", "01H04",
                            fmt::format("work_ms={:.3f} memory_mb={:.1f}", c->request.job.work * 1e3,
                                        c->request.job.memory_mb)});
    sql::put_complete(out, fmt::format("{} {}", c->request.tag == "INSERT" ? "INSERT 0" : c->request.tag,
                                       c->request.no_rows ? c->request.rows : c->rows_sent));
    sql::put_ready(out);
    if (!c->request.plain) record("sent", *c, c->request.id);
    c->send(std::move(out), [this, c] {
      c->busy = false;
      next_statement(c);
    });
  }

  void gone(Connection& c) {
    if (c.job != 0) {
      record("dropped", c, c.request.id);
      model.remove(steady_clock_now(), c.job);
      jobs.erase(c.job);
      c.job = 0;
      arm();
    } else if (c.busy && !c.request.plain) {
      record("closed", c, c.request.id);
    }
    connections.erase(c.shared_from_this());
  }

  void tip() {
    record("tipped", "");
    kill();
  }

  void kill() {
    boost::system::error_code ignored;
    acceptor.close(ignored);
    timer.cancel();
    notes.cancel();
    for (const auto& c : std::set(connections)) {
      c->job = 0;
      c->busy = false;
      c->close(true);
    }
    jobs.clear();
  }

  void settle(Time now) {
    std::vector<std::uint64_t> done;
    model.advance(now, done);
    for (const auto id : done) {
      const auto found = jobs.find(id);
      if (found == jobs.end()) continue;
      const auto c = found->second;
      jobs.erase(found);
      finish(c);
    }
  }

  void arm() {
    const auto due = model.next();
    if (due == Time::max() || !acceptor.is_open()) return timer.cancel(), void();
    timer.expires_at(Timer::time_point(due));
    timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
      const auto self = weak.lock();
      if (error || !self) return;
      self->settle(steady_clock_now());
      self->arm();
    });
  }

  void note() {
    if (options.progress_pace <= Time::zero()) return;
    notes.expires_after(options.progress_pace);
    notes.async_wait([weak = weak_from_this()](boost::system::error_code error) {
      const auto self = weak.lock();
      if (error || !self) return;
      self->settle(steady_clock_now());
      for (const auto& [id, c] : self->jobs) {
        std::string out;
        if (self->model.stands(id))
          sql::put_notice(out, {"NOTICE", "01H03", "load"});
        else
          sql::put_notice(out, {"NOTICE", "01H01", fmt::format("{:.3f}", self->model.progress(id))});
        boost::system::error_code ignored;
        c->socket.write_some(asio::buffer(out), ignored);  // nothing else is being written while it runs
      }
      self->arm();
      self->note();
    });
  }

  asio::io_context& context;
  EngineOptions options;
  Recorder& recorder;
  Acceptor acceptor;
  Timer timer, notes;
  EngineModel model;
  EngineFaults faults;
  pcg64 random;
  std::set<Ptr> connections;
  std::map<std::uint64_t, Ptr> jobs;
  std::deque<std::pair<Time, std::string>> loads;
  std::uint64_t ids = 0, begun = 0;
  std::uint32_t processes = 0;
};

Engine::Engine(boost::asio::io_context& context, EngineOptions options, Recorder& recorder)
    : parts_(std::make_shared<Parts>(context, std::move(options), recorder)) {
  parts_->accept();
  parts_->note();
}
Engine::~Engine() { parts_->kill(); }
std::uint16_t Engine::port() const { return parts_->acceptor.local_endpoint().port(); }
void Engine::faults(const EngineFaults& faults) {
  parts_->faults = faults;
  parts_->model.slow(steady_clock_now(), faults.slow);
  parts_->arm();
}
void Engine::kill() { parts_->kill(); }
bool Engine::tipped() const { return parts_->model.tipped(); }
std::uint64_t Engine::began() const { return parts_->begun; }

std::string Engine::command(const std::string& line) {
  std::istringstream words(line);
  std::string what;
  double value = 0;
  if (!(words >> what >> value)) return "expected a fault and a number";
  auto faults = parts_->faults;
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
  parts_->record("fault", fmt::format(R"("what":"{}","value":{})", what, value));
  this->faults(faults);
  return "";
}

}  // namespace heronwell::rehearsal
