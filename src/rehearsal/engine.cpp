#include "rehearsal/engine.hpp"

#include <fmt/format.h>
#include <sys/socket.h>

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

// What the comment of a statement asks for.
struct Request {
  std::string id = "-", error;
  Job job;
  std::size_t rows = 1, bytes = 1;
  bool plain = true;  // no comment
  bool late_error = false;
};

Request read_request(std::string_view statement) {
  Request request;
  const auto begin = statement.find("/*hw ");
  const auto end = begin == std::string_view::npos ? begin : statement.find("*/", begin);
  if (end == std::string_view::npos) return request;
  request.plain = false;
  std::istringstream words{std::string(statement.substr(begin + 5, end - begin - 5))};
  std::string word;
  while (words >> word) {
    const auto equals = word.find('=');
    if (equals == std::string::npos) continue;
    const auto key = word.substr(0, equals), value = word.substr(equals + 1);
    double number = 0;
    std::from_chars(value.data(), value.data() + value.size(), number);
    if (key == "id") request.id = value;
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
    std::deque<std::string> statements;  // read, not begun
    bool busy = false, closed = false, cancelled = false;
    std::uint64_t job = 0;
    Request request;
    double grant_mb = 0;
    unsigned priority = 1;
    std::shared_ptr<std::string> sending;
    std::size_t rows_left = 0;
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
        const auto text = frame.message.type == 'Q' ? sql::read_text(frame.message.payload) : std::nullopt;
        if (!text) co_return c->close(false);
        c->statements.emplace_back(*text);
        buffer.erase(0, frame.size);
        next_statement(c);
      }
      if (c->closed) break;
      const auto got =
          co_await c->socket.async_read_some(asio::buffer(chunk), asio::redirect_error(kToken, error));
      if (error) co_return c->close(false);
      buffer.append(chunk.data(), got);
    }
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
    if (statement.starts_with("set ")) return set(c, statement);
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
    c->rows_left = request.rows;
    c->cut = !request.plain && chance(faults.cut);
    std::string out;
    tell_load(out);
    sql::put_columns(out, {{"value", request.plain ? 23U : 25U}});
    rows(c, std::move(out));
  }

  void rows(const Ptr& c, std::string out) {
    const std::string value = c->request.plain ? "1" : std::string(c->request.bytes, 'x');
    for (; c->rows_left > 0 && out.size() < kChunk; --c->rows_left) sql::put_row(out, {value});
    if (c->rows_left > 0) return c->send(std::move(out), [this, c] { rows(c, {}); });
    if (c->cut)
      return c->send(std::move(out), [this, c] { record("cut", *c, c->request.id), c->close(true); });
    if (c->request.late_error)
      return c->send(std::move(out), [this, c] { fail(c, c->request.error, "late"); });
    if (options.tells_cost && !c->request.plain)
      sql::put_notice(out, {"NOTICE", "01H04",
                            fmt::format("work_ms={:.3f} memory_mb={:.1f}", c->request.job.work * 1e3,
                                        c->request.job.memory_mb)});
    sql::put_complete(out, fmt::format("SELECT {}", c->request.rows));
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
