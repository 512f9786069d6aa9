#include "rehearsal/load.hpp"

#include <fmt/format.h>

#include <memory>

#include "http/message.hpp"
#include "rehearsal/asio.hpp"

namespace heronwell::rehearsal {
namespace {

using namespace std::chrono_literals;
constexpr std::size_t kMaxKeptBodyBytes = 1 << 20;

struct Connection {
  explicit Connection(asio::io_context& context) : socket(context.get_executor()) {}
  Socket socket;
  http::Parser parser{http::Role::response, {8 << 10, 32 << 10, 100, 1ULL << 40}};
  std::string buffer;
};
using ConnectionPtr = std::shared_ptr<Connection>;

class Clients {
 public:
  Clients(const Day& day, const std::vector<std::uint16_t>& ports, Time start, Recorder& recorder)
      : day_(day),
        ports_(ports),
        start_(start),
        recorder_(recorder),
        asks_(draw(day)),
        idle_(ports.size()),
        timer_(context_.get_executor()) {}

  LoadReport run() {
    send_due();
    context_.run();
    return report_;
  }

 private:
  static Timer::time_point at(Time t) { return Timer::time_point(t); }

  void send_due() {
    while (next_arrival_ < asks_.size() && start_ + asks_[next_arrival_].at <= steady_clock_now()) {
      const auto& ask = asks_[next_arrival_++];
      report_.worst_lateness = std::max(report_.worst_lateness, steady_clock_now() - start_ - ask.at);
      spawn(ask, 0);
    }
    if (next_arrival_ == asks_.size()) return;
    timer_.expires_at(at(start_ + asks_[next_arrival_].at));
    timer_.async_wait([this](boost::system::error_code error) {
      if (!error) send_due();
    });
  }

  void spawn(const Ask& ask, unsigned retry) {
    ++open_requests_;
    asio::co_spawn(
        context_.get_executor(), [this, &ask, retry] { return request(ask, retry); },
        [this](const std::exception_ptr& failed) {
          if (failed) std::rethrow_exception(failed);
          if (--open_requests_ == 0 && next_arrival_ == asks_.size())
            context_.stop();  // idle connections are dropped
        });
  }

  void write(std::string_view event, const std::string& id, const std::string& more = "") {
    recorder_.write(steady_clock_now(), event,
                    fmt::format(R"("id":"{}"{}{})", id, more.empty() ? "" : ",", more));
  }

  asio::awaitable<void, Executor> request(const Ask& ask, unsigned retry) {
    const auto& cls = day_.settings.classes[ask.cls];
    const auto client_request = client_request_of(day_, ask, retry);
    const auto& ids = client_request.ids;
    const auto& id = ids.front();
    const auto write_each = [&](std::string_view event, const std::string& with = "") {
      for (const auto& one : ids) write(event, one, with);
    };
    boost::system::error_code error;
    ConnectionPtr c;
    auto& idle = idle_[ask.gateway];
    if (!idle.empty()) {
      c = idle.back();
      idle.pop_back();
    } else {
      c = std::make_shared<Connection>(context_);
      co_await c->socket.async_connect(loopback(ports_[ask.gateway]), asio::redirect_error(kToken, error));
      if (error) {
        ++report_.unconnected;
        write_each("unconnected", fmt::format(R"("gw":"gw-{}","cls":"{}")", ask.gateway, cls.name));
        co_return;
      }
      c->socket.set_option(asio::ip::tcp::no_delay(true), error);
    }
    ++report_.sent;
    write_each("sent", client_request.record);
    const auto sent = steady_clock_now();
    Timer limit(context_.get_executor(), at(sent + client_request.time_limit));
    bool gave_up = false;
    limit.async_wait([&gave_up, c](boost::system::error_code aborted) {
      if (aborted) return;
      gave_up = true;
      boost::system::error_code ignored;
      c->socket.close(ignored);
    });
    co_await asio::async_write(c->socket, asio::buffer(client_request.bytes),
                               asio::redirect_error(kToken, error));
    std::string answer;
    std::uint64_t bytes = 0;
    std::array<char, 16384> chunk{};
    bool whole = false, head = false;
    while (!error && !whole) {
      while (true) {
        const auto step = c->parser.next(c->buffer);
        if (step.event == http::Parser::Event::body) {
          bytes += step.body.size();
          if (answer.size() < kMaxKeptBodyBytes) answer.append(step.body);
        }
        c->buffer.erase(0, step.consumed);
        head = head || step.event == http::Parser::Event::head;
        if (step.event == http::Parser::Event::error) error = asio::error::invalid_argument;
        if (step.event == http::Parser::Event::end) whole = c->parser.status() >= 200;
        if (step.event == http::Parser::Event::need_more || error || whole) break;
      }
      if (error || whole) break;
      const auto bytes_read =
          co_await c->socket.async_read_some(asio::buffer(chunk), asio::redirect_error(kToken, error));
      c->buffer.append(chunk.data(), bytes_read);
    }
    limit.cancel();
    if (gave_up) {
      ++(client_request.hangs_up ? report_.hung_up : report_.broken);
      write_each(client_request.hangs_up ? "hung_up" : "gave_up");
      co_return;
    }
    if (!whole) {
      ++report_.broken;
      write_each("broken", fmt::format(R"("head":{},"bytes":{})", head, bytes));
      co_return;
    }
    const int status = c->parser.status();
    const auto took = steady_clock_now() - sent;
    const auto parsed = parse_answer(day_, ask, ids.size(), status, answer);
    count(parsed, report_);
    for (std::size_t i = 0; i < ids.size(); ++i)
      write("answer", ids[i], answer_record(parsed.statements[i], took, bytes));
    if (day_.loads[ask.cls].fields > 0) {
      const bool clean = c->buffer.empty() && c->parser.keep_alive();
      if (!c->buffer.empty()) write_each("extra");
      // The client repeats the request under its idempotency key, to the same router: no statement of it may
      // run a second time.
      if (clean && parsed.outcome_unknown && cls.idempotency == Idempotency::not_idempotent)
        co_await repeat(c, client_request.bytes, id);
      if (clean) {
        idle.push_back(c);
        watch(c, ask.gateway, id);
      }
      co_return;
    }
    if (!c->buffer.empty()) {
      write("extra", id);
    } else if (c->parser.keep_alive()) {
      idle.push_back(c);
      watch(c, ask.gateway, id);
    }
    if (!parsed.may_retry || retry >= day_.retries) co_return;
    Timer wait(context_.get_executor(), at(steady_clock_now() + parsed.pause));
    co_await wait.async_wait(asio::redirect_error(kToken, error));
    spawn(ask, retry + 1);
  }

  // Sends the same bytes again and waits for any answer.
  asio::awaitable<void, Executor> repeat(const ConnectionPtr& c, const std::string& bytes,
                                         const std::string& id) {
    write("resent", id);
    boost::system::error_code error;
    co_await asio::async_write(c->socket, asio::buffer(bytes), asio::redirect_error(kToken, error));
    std::array<char, 16384> chunk{};
    Timer limit(context_.get_executor(), at(steady_clock_now() + kGiveUpDelay));
    limit.async_wait([c](boost::system::error_code aborted) {
      boost::system::error_code ignored;
      if (!aborted) c->socket.close(ignored);
    });
    bool whole = false;
    while (!error && !whole) {
      const auto step = c->parser.next(c->buffer);
      c->buffer.erase(0, step.consumed);
      whole = step.event == http::Parser::Event::end && c->parser.status() >= 200;
      if (step.event == http::Parser::Event::error) error = asio::error::invalid_argument;
      if (step.event != http::Parser::Event::need_more || error) continue;
      const auto bytes_read =
          co_await c->socket.async_read_some(asio::buffer(chunk), asio::redirect_error(kToken, error));
      c->buffer.append(chunk.data(), bytes_read);
    }
    limit.cancel();
    write("reanswered", id, fmt::format(R"("whole":{},"status":{})", whole, whole ? c->parser.status() : 0));
    ++report_.resent;
  }

  // Records bytes that arrive on an idle connection: no answer is outstanding there.
  void watch(const ConnectionPtr& c, unsigned gateway, const std::string& id) {
    c->socket.async_wait(Socket::wait_read, [this, c, gateway, id](boost::system::error_code error) {
      auto& idle = idle_[gateway];
      const auto found = std::ranges::find(idle, c);
      if (error || found == idle.end()) return;  // in use again
      idle.erase(found);
      boost::system::error_code ignored;
      if (c->socket.available(ignored) > 0) write("extra", id);
      c->socket.close(ignored);
    });
  }

  const Day& day_;
  const std::vector<std::uint16_t>& ports_;
  Time start_;
  Recorder& recorder_;
  std::vector<Ask> asks_;
  std::size_t next_arrival_ = 0, open_requests_ = 0;
  asio::io_context context_{1};
  std::vector<std::vector<ConnectionPtr>> idle_;
  Timer timer_;
  LoadReport report_;
};

}  // namespace

LoadReport play(const Day& day, const std::vector<std::uint16_t>& ports, Time start, Recorder& recorder) {
  return Clients(day, ports, start, recorder).run();
}

}  // namespace heronwell::rehearsal
