#include "daemon/client.hpp"

#include <sys/socket.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "daemon/graphql.hpp"
#include "daemon/tracing.hpp"

namespace heronwell::daemon {
namespace {

constexpr std::size_t kReadBytes = 4 << 10;
constexpr Time kLinger = std::chrono::seconds(1);
constexpr std::size_t kMostBuffers = 16;  // in one write
constexpr auto kToken = asio::use_awaitable_t<Executor>{};

}  // namespace

ClientConnection::ClientConnection(Shard& shard, Socket socket)
    : shard_(shard),
      socket_(std::move(socket)),
      resume_(socket_.get_executor()),
      parser_(http::Role::request, shard.config().listen.limits) {
  shard_.clients().insert(this);
  shard_.metrics().connections->Increment();
  shard_.metrics().clients->Increment();
  active_ = progress_ = steady_now();
}

ClientConnection::~ClientConnection() {
  shard_.clients().erase(this);
  shard_.metrics().clients->Decrement();
}

void ClientConnection::start() {
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  const auto peer = socket_.remote_endpoint(ignored);
  if (shard_.selectors() && !ignored) address_ = peer.address().to_string();
  asio::co_spawn(
      socket_.get_executor(), [self = shared_from_this()] { return self->read(); }, asio::detached);
}

asio::awaitable<void, Executor> ClientConnection::read() {
  std::string buffer;  // what is not yet parsed; let go while idle, so that idle connections are small
  boost::system::error_code error;
  while (!closed_ && !lingering_) {
    if (exchanges_.size() >= shard_.config().listen.pipeline) {
      resume_.expires_at(Timer::time_point::max());
      co_await resume_.async_wait(asio::redirect_error(kToken, error));
      continue;
    }
    if (!buffer.empty()) {
      const auto used = parse(buffer);
      buffer.erase(0, used);
      if (reading_done_ || closed_ || lingering_) break;
      if (!buffer.empty()) continue;  // the pipeline is full
    }
    if (parser_.between_messages() && exchanges_.empty()) {
      std::string().swap(buffer);
      std::string().swap(body_);
      co_await socket_.async_wait(Socket::wait_read, asio::redirect_error(kToken, error));
      if (error) break;
    }
    buffer.resize(kReadBytes);
    const auto got =
        co_await socket_.async_read_some(asio::buffer(buffer), asio::redirect_error(kToken, error));
    buffer.resize(got);
    if (error) break;
  }
  if (closed_) co_return;
  if (!reading_done_ && !lingering_) co_return hang_up(false);
  // Nothing more is read, but the peer's going is still of interest while an answer is awaited or written.
  char sink[512];
  while (!closed_) {
    co_await socket_.async_read_some(asio::buffer(sink), asio::redirect_error(kToken, error));
    if (error) break;
  }
  if (!closed_) hang_up(lingering_);
}

// The client's end is gone, or half gone: what was not answered yet is dropped, what was is still written.
void ClientConnection::hang_up(bool unwritable) {
  if (closed_) return;
  reading_done_ = last_ = true;
  bool owed = false;
  const auto waiting = exchanges_;
  for (const auto& exchange : waiting)
    if (!exchange->done) {
      owed = true;
      if (exchange->ticket != 0) shard_.left(exchange);
      if (exchange->asker) std::exchange(exchange->asker, nullptr)->abandoned();
    }
  if (owed || unwritable || out_.empty()) close();
}

std::size_t ClientConnection::parse(std::string_view in) {
  std::size_t used = 0;
  while (!reading_done_ && !closed_ && exchanges_.size() < shard_.config().listen.pipeline) {
    if (parser_.between_messages()) head_since_ = steady_now();
    const auto step = parser_.next(in.substr(used));
    used += step.consumed;
    using Event = http::Parser::Event;
    if (step.event == Event::need_more) break;
    if (step.event == Event::head) {
      body_.clear();
      // Answered only where no earlier answer is awaited: interim answers keep the order too.
      if (parser_.expects_continue() && exchanges_.empty() && parser_.content_length().value_or(1) > 0) {
        out_.push_back("HTTP/1.1 100 Continue\r\n\r\n");
        out_bytes_ += out_.back().size();
        pump();
      }
    } else if (step.event == Event::body) {
      body_.append(step.body);
    } else if (step.event == Event::end) {
      active_ = steady_now();
      dispatch();
    } else {
      auto exchange = std::make_shared<Exchange>();
      exchange->client = shared_from_this();
      exchange->keep_alive = false;
      exchange->began = steady_now();
      exchanges_.push_back(exchange);
      reading_done_ = true;
      router::Problem problem;
      problem.status = parser_.status();
      problem.detail = parser_.reason();
      reject(exchange, problem);
    }
  }
  return used;
}

void ClientConnection::dispatch() {
  auto exchange = std::make_shared<Exchange>();
  exchange->client = shared_from_this();
  exchange->began = shard_.unread_since();
  exchange->keep_alive = parser_.keep_alive() && !shard_.stopping();
  exchange->head_only = parser_.method() == "HEAD";
  exchanges_.push_back(exchange);
  if (!exchange->keep_alive) reading_done_ = true;
  const auto target = parser_.target().substr(0, parser_.target().find('?'));
  const bool get = parser_.method() == "GET" || exchange->head_only;
  if (target == "/metrics" && get)
    return whole(exchange, 200, "text/plain; version=0.0.4", shard_.metrics().text());
  if (target == "/healthz" && get)
    return whole(exchange, 200, "text/plain", shard_.stopping() ? "stopping\n" : "ok\n");
  router::Problem problem;
  if (target == "/groups" && get && shard_.selectors())
    return whole(exchange, 200, "application/json", shard_.metrics().groups());
  if (target == "/graphql" || target == "/v1/query") {
    trace_begin(shard_, *exchange, parser_);
    if (shard_.selectors())
      exchange->origin = std::make_shared<Origin>(origin_of(parser_, *shard_.selectors(), address_));
  }
  if (target == "/graphql" && shard_.graphql() != nullptr)
    return serve_graphql(shard_, *shard_.graphql(), exchange, parser_, body_);
  if (target != "/v1/query") {
    problem.status = target == "/metrics" || target == "/healthz" ? 405 : 404;
    problem.detail = "POST /v1/query, GET /metrics and GET /healthz are served here";
    return reject(exchange, problem);
  }
  if (parser_.method() != "POST") {
    problem.status = 405;
    problem.detail = "POST is expected";
    return reject(exchange, problem);
  }
  auto read = shard_.front().read(body_, parser_.find("heronwell-timeout-ms"));
  if (const auto* wrong = std::get_if<router::Problem>(&read)) return reject(exchange, *wrong);
  auto& query = std::get<router::Query>(read);
  exchange->statement = std::make_shared<const sql::Statement>(sql::Statement{std::move(query.statement)});
  shard_.take(exchange, std::move(query.ask));
}

void ClientConnection::reject(const ExchangePtr& exchange, const router::Problem& problem) {
  shard_.metrics().rejected->Increment();
  shard_.finished(exchange, {'B', '-'}, problem.status);
  whole(exchange, problem.status, "application/problem+json", router::problem_body(problem));
}

void ClientConnection::whole(const ExchangePtr& exchange, int status, std::string_view type, std::string body,
                             const std::vector<http::Field>& more) {
  if (exchange->done) return;
  std::string head;
  if (exchange->trace_response.empty()) {
    http::put_response(head, status, type, body.size(), exchange->keep_alive, more);
  } else {
    auto fields = more;
    fields.push_back({"traceresponse", exchange->trace_response});
    http::put_response(head, status, type, body.size(), exchange->keep_alive, fields);
  }
  if (exchange->head_only) body.clear();
  if (body.size() < 4096) {
    head += body;
    body.clear();
  }
  exchange->started = true;
  put(exchange, std::move(head));
  if (!body.empty()) put(exchange, std::move(body));
  end(exchange);
}

void ClientConnection::begin(const ExchangePtr& exchange) {
  std::string head;
  std::vector<http::Field> more;
  if (!exchange->trace_response.empty()) more.push_back({"traceresponse", exchange->trace_response});
  http::put_response(head, 200, "application/json", std::nullopt, exchange->keep_alive, more);
  exchange->started = exchange->streaming = true;
  put(exchange, std::move(head));
}

void ClientConnection::piece(const ExchangePtr& exchange, std::string body) {
  if (body.empty() || exchange->head_only) return;
  std::string prefix;
  http::put_chunk_prefix(prefix, body.size());
  body += "\r\n";
  put(exchange, std::move(prefix));
  put(exchange, std::move(body));
}

void ClientConnection::end(const ExchangePtr& exchange) {
  if (exchange->streaming && !exchange->head_only) put(exchange, std::string(http::kLastChunk));
  exchange->done = true;
  advance();
}

void ClientConnection::put(const ExchangePtr& exchange, std::string bytes) {
  if (closed_ || exchange->done) return;
  if (exchanges_.empty() || exchanges_.front() != exchange) {
    exchange->buffered += bytes;
    return;
  }
  out_bytes_ += bytes.size();
  out_.push_back(std::move(bytes));
  pump();
}

// Lets the next answers in turn out.
void ClientConnection::advance() {
  const bool full = exchanges_.size() >= shard_.config().listen.pipeline;
  while (!exchanges_.empty() && exchanges_.front()->done) {
    if (!exchanges_.front()->keep_alive) last_ = true;
    exchanges_.pop_front();
    if (last_ || exchanges_.empty()) break;
    auto& next = exchanges_.front();
    if (next->buffered.empty()) continue;
    out_bytes_ += next->buffered.size();
    out_.push_back(std::move(next->buffered));
    next->buffered.clear();
  }
  active_ = steady_now();
  if (full) resume_.cancel();
  pump();
}

std::size_t ClientConnection::backlog(const ExchangePtr& exchange) const {
  return out_bytes_ + exchange->buffered.size();
}

void ClientConnection::pump() {
  if (writing_ || closed_) return;
  while (!out_.empty()) {
    std::vector<asio::const_buffer> buffers;
    for (std::size_t i = 0; i < std::min(out_.size(), kMostBuffers); ++i)
      buffers.push_back(i == 0 ? asio::buffer(out_[0]) + out_done_ : asio::buffer(out_[i]));
    boost::system::error_code error;
    const auto bytes = socket_.write_some(buffers, error);
    if (error == asio::error::would_block) {
      writing_ = true;
      return socket_.async_wait(Socket::wait_write,
                                [self = shared_from_this()](boost::system::error_code failed) {
                                  self->writing_ = false;
                                  if (failed) return self->hang_up(true);
                                  self->pump();
                                });
    }
    if (error)
      return asio::post(socket_.get_executor(), [self = shared_from_this()] { self->hang_up(true); });
    wrote(bytes);
  }
  drain();
  if (!closed_ && last_ && out_.empty() && (exchanges_.empty() || exchanges_.front()->done)) linger();
}

void ClientConnection::drain() {
  for (const auto& then : std::exchange(drained_, {})) then();
}

// Closes in two steps: a reset for input that nobody reads could overtake the last answer.
void ClientConnection::linger() {
  if (std::exchange(lingering_, true)) return;
  active_ = steady_now();
  boost::system::error_code ignored;
  socket_.shutdown(Socket::shutdown_send, ignored);
  resume_.cancel();
}

void ClientConnection::wrote(std::size_t bytes) {
  progress_ = steady_now();
  out_bytes_ -= bytes;
  while (bytes > 0) {
    const auto left = out_.front().size() - out_done_;
    if (bytes < left) {
      out_done_ += bytes;
      break;
    }
    bytes -= left;
    out_done_ = 0;
    out_.pop_front();
  }
  if (out_bytes_ < shard_.config().listen.high_water / 2) drain();
}

void ClientConnection::break_off() {
  const auto waiting = exchanges_;
  for (const auto& exchange : waiting)
    if (!exchange->done) {  // no answer can reach its client any more
      if (exchange->ticket != 0) shard_.left(exchange);
      if (exchange->asker) std::exchange(exchange->asker, nullptr)->abandoned();
    }
  close(true);
}

void ClientConnection::abandon() {
  for (const auto& exchange : exchanges_) exchange->asker = nullptr;  // which refers to its exchange
  close(true);
}

void ClientConnection::sweep(Time now) {
  const auto& listen = shard_.config().listen;
  if (lingering_) {
    if (now > active_ + kLinger) close();
    return;
  }
  if (!out_.empty()) {
    if (now > progress_ + listen.stall_time) hang_up(true), close(true);  // reads nothing
    return;
  }
  if (!exchanges_.empty()) return;
  if (!parser_.between_messages() && now > head_since_ + listen.header_time && parser_.in_head()) {
    auto exchange = std::make_shared<Exchange>();
    exchange->client = shared_from_this();
    exchange->keep_alive = false;
    exchanges_.push_back(exchange);
    reading_done_ = true;
    router::Problem problem;
    problem.status = 408;
    problem.detail = "the head did not come in header_time";
    return reject(exchange, problem);
  }
  if (now > std::max(active_, parser_.between_messages() ? Time::zero() : head_since_) + listen.idle_time)
    close();
}

void ClientConnection::stop() {
  if (exchanges_.empty() && out_.empty() && parser_.between_messages()) close();
}

void ClientConnection::close(bool reset) {
  if (std::exchange(closed_, true)) return;
  boost::system::error_code ignored;
  if (reset) {
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  } else {
    socket_.shutdown(Socket::shutdown_both, ignored);
  }
  socket_.close(ignored);
  resume_.cancel();
  exchanges_.clear();
  drained_.clear();
}

}  // namespace heronwell::daemon
