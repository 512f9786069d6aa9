#include "path/client.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "path/graphql.hpp"
#include "path/tracing.hpp"

namespace heronwell::path {
namespace {

constexpr Time kLinger = std::chrono::seconds(1);
constexpr std::size_t kMostBuffers = 16;  // in one write

}  // namespace

ClientConnection::ClientConnection(Shard& shard, std::uint64_t number, WirePtr wire, std::string address)
    : shard_(shard),
      number_(number),
      wire_(std::move(wire)),
      parser_(http::Role::request, shard.config().listen.limits),
      address_(std::move(address)) {
  shard_.metrics().connections->Increment();
  shard_.metrics().clients->Increment();
  active_ = progress_ = shard_.now();
}

ClientConnection::~ClientConnection() { shard_.metrics().clients->Decrement(); }

void ClientConnection::start() {
  wire_->attach(weak_from_this());
  wire_->read(true);
}

bool ClientConnection::full() const { return exchanges_.size() >= shard_.config().listen.pipeline; }

void ClientConnection::received(std::string_view bytes) {
  if (state_ != Door::reading) return;  // nothing more is read, but the peer's going is still of interest
  if (in_.empty()) {
    const auto used = parse(bytes);
    if (state_ == Door::reading) in_.assign(bytes.substr(used));
  } else {
    in_ += bytes;
    in_.erase(0, parse(in_));
  }
  if (state_ != Door::reading) {
    std::string().swap(in_);
  } else if (full()) {
    held_ = true;
    wire_->read(false);
  } else if (parser_.between_messages() && exchanges_.empty()) {
    std::string().swap(body_);  // idle connections are small
    if (in_.empty()) std::string().swap(in_);
  }
}

// Reads on where the pipeline was full.
void ClientConnection::read_on() {
  if (!held_ || state_ == Door::closed) return;
  if (state_ == Door::reading && full()) return;
  held_ = false;
  if (state_ == Door::reading && !in_.empty()) {
    in_.erase(0, parse(in_));
    if (state_ == Door::reading && full()) {
      held_ = true;
      return;
    }
  }
  if (state_ != Door::closed) wire_->read(true);
}

void ClientConnection::over(bool broken) { hang_up(broken || state_ == Door::lingering); }

void ClientConnection::writable() {
  awaiting_room_ = false;
  pump();
}

// The client's end is gone, or half gone: what was not answered yet is dropped, what was is still written.
void ClientConnection::hang_up(bool unwritable) {
  if (closed()) return;
  const bool owed = std::ranges::any_of(exchanges_, [](const auto& e) { return !e->done(); });
  give_up_owed();
  if (owed || unwritable || out_.empty()) return close(DoorEvent::lost);
  step(state_, DoorEvent::last_answer);
  wire_->read(false);  // its end has been read
}

// What was not answered yet: no answer can reach its client any more.
void ClientConnection::give_up_owed() {
  const auto waiting = exchanges_;
  for (const auto& exchange : waiting)
    if (!exchange->done()) {
      if (exchange->ticket != 0) shard_.left(exchange);
      if (exchange->asker) std::exchange(exchange->asker, nullptr)->abandoned();
    }
}

std::size_t ClientConnection::parse(std::string_view in) {
  std::size_t used = 0;
  while (state_ == Door::reading && !full()) {
    if (parser_.between_messages()) head_since_ = shard_.now();
    const auto read = parser_.next(in.substr(used));
    used += read.consumed;
    using Event = http::Parser::Event;
    if (read.event == Event::need_more) break;
    if (read.event == Event::head) {
      body_.clear();
      // Answered only where no earlier answer is awaited: interim answers keep the order too.
      if (parser_.expects_continue() && exchanges_.empty() && parser_.content_length().value_or(1) > 0) {
        out_.push_back("HTTP/1.1 100 Continue\r\n\r\n");
        out_bytes_ += out_.back().size();
        pump();
      }
    } else if (read.event == Event::body) {
      body_.append(read.body);
    } else if (read.event == Event::end) {
      active_ = shard_.now();
      dispatch();
    } else {
      auto exchange = std::make_shared<Exchange>();
      exchange->client = shared_from_this();
      exchange->keep_alive = false;
      exchange->began = shard_.now();
      exchanges_.push_back(exchange);
      step(state_, DoorEvent::last_request);
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
  if (!exchange->keep_alive) step(state_, DoorEvent::last_request);
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
  if (exchange->done()) return;
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
  put(exchange, std::move(head));
  if (!body.empty()) put(exchange, std::move(body));
  end(exchange);
}

void ClientConnection::begin(const ExchangePtr& exchange) {
  std::string head;
  std::vector<http::Field> more;
  if (!exchange->trace_response.empty()) more.push_back({"traceresponse", exchange->trace_response});
  http::put_response(head, 200, "application/json", std::nullopt, exchange->keep_alive, more);
  step(exchange->reply, ReplyEvent::begin);
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
  if (exchange->streaming() && !exchange->head_only) put(exchange, std::string(http::kLastChunk));
  step(exchange->reply, ReplyEvent::finish);
  advance();
}

void ClientConnection::put(const ExchangePtr& exchange, std::string bytes) {
  if (closed() || exchange->done()) return;
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
  while (!exchanges_.empty() && exchanges_.front()->done()) {
    const bool last = !exchanges_.front()->keep_alive;
    exchanges_.pop_front();
    if (last) step(state_, DoorEvent::last_answer);
    if (last || exchanges_.empty()) break;
    auto& next = exchanges_.front();
    if (next->buffered.empty()) continue;
    out_bytes_ += next->buffered.size();
    out_.push_back(std::move(next->buffered));
    next->buffered.clear();
  }
  active_ = shard_.now();
  if (held_)
    shard_.world().defer([weak = weak_from_this()] {
      if (auto self = weak.lock()) self->read_on();
    });
  pump();
}

std::size_t ClientConnection::backlog(const ExchangePtr& exchange) const {
  return out_bytes_ + exchange->buffered.size();
}

void ClientConnection::pump() {
  if (awaiting_room_ || closed()) return;
  while (!out_.empty()) {
    std::array<std::string_view, kMostBuffers> pieces;
    const auto count = std::min(out_.size(), kMostBuffers);
    for (std::size_t i = 0; i < count; ++i) pieces[i] = out_[i];
    pieces[0].remove_prefix(out_done_);
    const auto bytes = wire_->write({pieces.data(), count});
    if (!bytes)
      return shard_.world().defer([weak = weak_from_this()] {
        if (auto self = weak.lock()) self->hang_up(true);
      });
    if (*bytes == 0) {
      awaiting_room_ = true;
      return wire_->await_room();
    }
    wrote(*bytes);
  }
  drain();
  if (state_ == Door::flushing && out_.empty() && (exchanges_.empty() || exchanges_.front()->done()))
    linger();
}

void ClientConnection::drain() {
  for (const auto& then : std::exchange(drained_, {})) then();
}

// Closes in two steps: a reset for input that nobody reads could overtake the last answer.
void ClientConnection::linger() {
  step(state_, DoorEvent::flushed);
  active_ = shard_.now();
  wire_->shut();
}

void ClientConnection::wrote(std::size_t bytes) {
  progress_ = shard_.now();
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
  give_up_owed();
  close(DoorEvent::lost, true);
}

void ClientConnection::abandon() {
  for (const auto& exchange : exchanges_) exchange->asker = nullptr;  // which refers to its exchange
  close(DoorEvent::leave, true);
}

void ClientConnection::sweep(Time now) {
  const auto& listen = shard_.config().listen;
  if (state_ == Door::lingering) {
    if (now > active_ + kLinger) close(DoorEvent::leave);
    return;
  }
  if (!out_.empty()) {
    if (now > progress_ + listen.stall_time) hang_up(true);  // reads nothing
    return;
  }
  if (!exchanges_.empty()) return;
  if (!parser_.between_messages() && now > head_since_ + listen.header_time && parser_.in_head()) {
    auto exchange = std::make_shared<Exchange>();
    exchange->client = shared_from_this();
    exchange->keep_alive = false;
    exchanges_.push_back(exchange);
    step(state_, DoorEvent::last_request);
    router::Problem problem;
    problem.status = 408;
    problem.detail = "the head did not come in header_time";
    return reject(exchange, problem);
  }
  if (now > std::max(active_, parser_.between_messages() ? Time::zero() : head_since_) + listen.idle_time)
    close(DoorEvent::leave);
}

void ClientConnection::stop() {
  if (exchanges_.empty() && out_.empty() && parser_.between_messages()) close(DoorEvent::leave);
}

void ClientConnection::close(DoorEvent why, bool reset) {
  if (closed()) return;
  const auto self = shared_from_this();
  step(state_, why);
  wire_->close(reset);
  exchanges_.clear();
  drained_.clear();
  shard_.forget(number_);
}

}  // namespace heronwell::path
