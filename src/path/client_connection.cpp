#include "path/client_connection.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "path/buffered_statement.hpp"
#include "path/graphql.hpp"
#include "path/tracing.hpp"

namespace heronwell::path {
namespace {

// After its last response is written, a connection stays open for this long, so that the client can read the
// response and close. It is longer than a round trip to any client. A client that does not close occupies a
// descriptor for this long.
constexpr Time kLingerDuration = std::chrono::seconds(1);
// Maximum number of buffers in one write call. A streamed response consists of small chunks; writing several
// of them at once needs fewer system calls.
constexpr std::size_t kMaxBuffersPerWrite = 16;
// A body smaller than this many bytes is appended to the buffer of its head. A larger body is written from
// its own buffer, which is cheaper than a copy.
constexpr std::size_t kMaxBodyCopiedToHead = 4096;
constexpr int kServiceUnavailable = 503;
// For this long one connection may answer requests that it has read before the other connections of the thread
// have a turn. Most requests take some microseconds.
constexpr Time kMaxTurnDuration = std::chrono::milliseconds(1);

}  // namespace

ClientConnection::ClientConnection(Shard& shard, std::uint64_t number, StreamPtr stream, std::string address)
    : shard_(shard),
      number_(number),
      stream_(std::move(stream)),
      parser_(http::Role::request, shard.config().listen.limits),
      client_address_(std::move(address)),
      input_bytes_(shard.buffer_account(), BufferKind::client_input),
      output_bytes_(shard.buffer_account(), BufferKind::client_output) {
  shard_.metrics().connections->Increment();
  shard_.metrics().clients->Increment();
  last_active_at_ = last_write_at_ = shard_.now();
}

ClientConnection::~ClientConnection() { shard_.metrics().clients->Decrement(); }

void ClientConnection::start() {
  stream_->attach(weak_from_this());
  stream_->set_reading(true);
}

bool ClientConnection::pipeline_full() const { return requests_.size() >= shard_.config().listen.pipeline; }

bool ClientConnection::responses_unread() const {
  return unwritten_bytes_ >= shard_.config().listen.high_water;
}

void ClientConnection::on_data(std::string_view bytes) {
  read_bytes_ += bytes.size();
  if (state_ != ClientConnectionState::reading)
    return;  // input is discarded; reading continues only to detect that the client disconnects
  begin_turn();
  if (read_buffer_.empty()) {
    const auto used = parse(bytes);
    if (state_ == ClientConnectionState::reading) read_buffer_.assign(bytes.substr(used));
  } else {
    read_buffer_ += bytes;
    read_buffer_.erase(0, parse(read_buffer_));
  }
  end_turn();
}

void ClientConnection::begin_turn() {
  turn_ends_at_ = shard_.now() + kMaxTurnDuration;
  turn_over_ = false;
}

// Pauses reading if input is left that can't be parsed in this turn, and releases memory that is not needed.
void ClientConnection::end_turn() {
  if (state_ != ClientConnectionState::reading) {
    std::string().swap(read_buffer_);
  } else if (pipeline_full() || (!read_buffer_.empty() && (turn_over_ || responses_unread()))) {
    reading_paused_ = true;
    stream_->set_reading(false);
    if (!pipeline_full() && !responses_unread()) resume_reading_later();
  } else if (parser_.between_messages() && requests_.empty()) {
    // There may be thousands of idle connections.
    std::string().swap(request_body_);
    parser_.release_unused();
    if (read_buffer_.empty()) std::string().swap(read_buffer_);
  }
  release_unused(read_buffer_);
  account_buffered();
  shard_.enforce_buffer_limit();
}

void ClientConnection::resume_reading_later() {
  shard_.environment().defer([weak = weak_from_this()] {
    if (auto self = weak.lock()) self->resume_reading();
  });
}

// Resumes reading once the pipeline is no longer full and the client has read enough of its responses, or in the
// turn after the one that was over.
void ClientConnection::resume_reading() {
  if (!reading_paused_ || state_ == ClientConnectionState::closed) return;
  if (state_ == ClientConnectionState::reading && (pipeline_full() || responses_unread())) return;
  reading_paused_ = false;
  if (state_ == ClientConnectionState::reading && !read_buffer_.empty()) {
    begin_turn();
    read_buffer_.erase(0, parse(read_buffer_));
    end_turn();
  }
  if (state_ != ClientConnectionState::closed && !reading_paused_) stream_->set_reading(true);
}

void ClientConnection::account_buffered() {
  input_bytes_.set(closed() ? 0
                            : read_buffer_.capacity() + request_body_.capacity() + parser_.buffered_bytes());
  output_bytes_.set(closed() ? 0 : unwritten_bytes_);
}

std::optional<ClientProtocol::IncompleteFrame> ClientConnection::incomplete_frame() const {
  const bool incomplete = state_ == ClientConnectionState::reading && !parsing_ && !reading_paused_ &&
                          !parser_.between_messages();
  if (!incomplete ||
      read_buffer_.capacity() + request_body_.capacity() + parser_.buffered_bytes() <= kMaxIdleBufferBytes)
    return std::nullopt;
  return IncompleteFrame{!requests_.empty(), head_started_at_};
}

void ClientConnection::reject_incomplete_frame() {
  parser_.abandon();
  std::string().swap(read_buffer_);
  std::string().swap(request_body_);
  account_buffered();
  router::Problem problem;
  problem.status = kServiceUnavailable;
  problem.outcome = router::ProblemOutcome::rejected;
  problem.detail = "no memory is left for another request";
  problem.retry_after = shard_.config().module.max_retry_after;
  shard_.reject_for_memory(add_last_request(), problem);
}

// Adds a request that is not complete. Its response ends the connection.
ClientRequestPtr ClientConnection::add_last_request() {
  auto client_request = std::make_shared<ClientRequest>();
  client_request->client = shared_from_this();
  client_request->keep_alive = false;
  client_request->received_at = shard_.now();
  requests_.push_back(client_request);
  apply(state_, ClientConnectionEvent::last_request);
  return client_request;
}

void ClientConnection::on_closed(bool broken) {
  on_client_gone(broken || state_ == ClientConnectionState::lingering);
}

void ClientConnection::on_writable() {
  awaiting_writable_ = false;
  write_buffered();
}

// Handles a client that has closed its sending side or the whole connection. Requests without a response are
// dropped. Complete responses are still written unless the connection is `unwritable`.
void ClientConnection::on_client_gone(bool unwritable) {
  if (closed()) return;
  const bool pending = std::ranges::any_of(requests_, [](const auto& one) { return !one->finished(); });
  drop_pending_requests();
  if (pending || unwritable || write_buffers_.empty()) return close(ClientConnectionEvent::connection_lost);
  apply(state_, ClientConnectionEvent::last_response);
  stream_->set_reading(false);  // the end of the input has been read
}

// Cancels the requests that have no complete response, because no response can reach the client any more.
void ClientConnection::drop_pending_requests() {
  const auto requests = requests_;  // a copy, because a handler may end its request
  for (const auto& client_request : requests) {
    if (client_request->finished()) continue;
    if (client_request->ticket != 0) shard_.disconnect(client_request);
    if (client_request->response_handler)
      std::exchange(client_request->response_handler, nullptr)->on_client_disconnected();
  }
}

std::size_t ClientConnection::parse(std::string_view in) {
  parsing_ = true;
  std::size_t used = 0;
  const auto must_wait = [&] { return used < in.size() && (turn_over_ || responses_unread()); };
  while (state_ == ClientConnectionState::reading && !pipeline_full() && !must_wait()) {
    if (parser_.between_messages()) head_started_at_ = shard_.now();
    const auto read = parser_.next(in.substr(used));
    used += read.consumed;
    using Event = http::Parser::Event;
    if (read.event == Event::need_more) break;
    if (read.event == Event::head) {
      request_body_.clear();
      // Sent only if no earlier response is pending: interim responses must keep the order of requests too.
      if (parser_.expects_continue() && requests_.empty() && parser_.content_length().value_or(1) > 0) {
        write_buffers_.push_back("HTTP/1.1 100 Continue\r\n\r\n");
        unwritten_bytes_ += write_buffers_.back().size();
        write_buffered();
      }
    } else if (read.event == Event::body) {
      request_body_.append(read.body);
    } else if (read.event == Event::end) {
      last_active_at_ = shard_.now();
      dispatch();
      turn_over_ = shard_.now() >= turn_ends_at_;
    } else {
      router::Problem problem;
      problem.status = parser_.status();
      problem.detail = parser_.reason();
      reject(add_last_request(), problem);
    }
  }
  parsing_ = false;
  return used;
}

void ClientConnection::dispatch() {
  auto client_request = std::make_shared<ClientRequest>();
  client_request->client = shared_from_this();
  client_request->connection = weak_from_this();
  client_request->received_at = shard_.input_waiting_since();
  client_request->keep_alive = parser_.keep_alive() && !shard_.stopping();
  client_request->head_only = parser_.method() == "HEAD";
  requests_.push_back(client_request);
  if (!client_request->keep_alive) apply(state_, ClientConnectionEvent::last_request);
  const auto target = parser_.target().substr(0, parser_.target().find('?'));
  const bool get = parser_.method() == "GET" || client_request->head_only;
  if (target == "/metrics" && get)
    return send_response(client_request, 200, "text/plain; version=0.0.4", shard_.metrics().text());
  if (target == "/healthz" && get)
    return send_response(client_request, 200, "text/plain", shard_.stopping() ? "stopping\n" : "ok\n");
  router::Problem problem;
  if (target == "/groups" && get && shard_.selectors())
    return send_response(client_request, 200, "application/json", shard_.metrics().groups_json());
  if (target == "/graphql" || target == "/v1/query") {
    trace_begin(shard_, *client_request, parser_);
    if (shard_.selectors())
      client_request->origin =
          std::make_shared<Origin>(origin_of(parser_, *shard_.selectors(), client_address_));
  }
  if (target == "/graphql" && shard_.graphql() != nullptr)
    return serve_graphql(shard_, *shard_.graphql(), client_request, parser_, request_body_);
  if (target != "/v1/query") {
    problem.status = target == "/metrics" || target == "/healthz" ? 405 : 404;
    problem.detail = "POST /v1/query, GET /metrics and GET /healthz are served here";
    return reject(client_request, problem);
  }
  if (parser_.method() != "POST") {
    problem.status = 405;
    problem.detail = "POST is expected";
    return reject(client_request, problem);
  }
  auto read = shard_.query_parser().parse(request_body_, parser_.find("heronwell-timeout-ms"));
  if (const auto* wrong = std::get_if<router::Problem>(&read)) return reject(client_request, *wrong);
  auto& query = std::get<router::ParsedQuery>(read);
  client_request->statement = buffered_statement(shard_.buffer_account(), query.statement);
  shard_.submit(client_request, std::move(query.spec));
}

void ClientConnection::reject(const ClientRequestPtr& client_request, const router::Problem& problem) {
  shard_.metrics().invalid_requests->Increment();
  shard_.record_finished(client_request, {'B', '-'}, problem.status);
  send_response(client_request, problem.status, "application/problem+json", router::problem_body(problem));
}

void ClientConnection::send_response(const ClientRequestPtr& client_request, int status,
                                     std::string_view type, std::string body,
                                     const std::vector<http::Field>& more) {
  if (client_request->finished()) return;
  std::string head;
  if (client_request->trace_response.empty()) {
    http::put_response(head, status, type, body.size(), client_request->keep_alive, more);
  } else {
    auto fields = more;
    fields.push_back({"traceresponse", client_request->trace_response});
    http::put_response(head, status, type, body.size(), client_request->keep_alive, fields);
  }
  if (client_request->head_only) body.clear();
  if (body.size() < kMaxBodyCopiedToHead) {
    head += body;
    body.clear();
  }
  append_response(client_request, std::move(head));
  if (!body.empty()) append_response(client_request, std::move(body));
  end_response(client_request);
}

void ClientConnection::begin_response(const ClientRequestPtr& client_request) {
  std::string head;
  std::vector<http::Field> more;
  if (!client_request->trace_response.empty())
    more.push_back({"traceresponse", client_request->trace_response});
  http::put_response(head, 200, "application/json", std::nullopt, client_request->keep_alive, more);
  apply(client_request->response_state, ResponseEvent::begin);
  append_response(client_request, std::move(head));
}

void ClientConnection::send_chunk(const ClientRequestPtr& client_request, std::string body) {
  if (body.empty() || client_request->head_only) return;
  std::string prefix;
  http::put_chunk_prefix(prefix, body.size());
  body += "\r\n";
  append_response(client_request, std::move(prefix));
  append_response(client_request, std::move(body));
}

void ClientConnection::end_response(const ClientRequestPtr& client_request) {
  if (client_request->streaming() && !client_request->head_only)
    append_response(client_request, std::string(http::kLastChunk));
  apply(client_request->response_state, ResponseEvent::finish);
  release_next_responses();
}

void ClientConnection::append_response(const ClientRequestPtr& client_request, std::string bytes) {
  if (closed() || client_request->finished()) return;
  if (requests_.empty() || requests_.front() != client_request) {
    client_request->buffered_response += bytes;
    return;
  }
  unwritten_bytes_ += bytes.size();
  write_buffers_.push_back(std::move(bytes));
  write_buffered();
}

// Removes complete responses from the front of the queue and writes what the next response has buffered.
void ClientConnection::release_next_responses() {
  while (!requests_.empty() && requests_.front()->finished()) {
    const bool last = !requests_.front()->keep_alive;
    requests_.pop_front();
    if (last) apply(state_, ClientConnectionEvent::last_response);
    if (last || requests_.empty()) break;
    auto& next = requests_.front();
    if (next->buffered_response.empty()) continue;
    unwritten_bytes_ += next->buffered_response.size();
    write_buffers_.push_back(std::move(next->buffered_response));
    next->buffered_response.clear();
  }
  last_active_at_ = shard_.now();
  if (reading_paused_) resume_reading_later();
  write_buffered();
}

std::size_t ClientConnection::backlog(const ClientRequestPtr& client_request) const {
  return unwritten_bytes_ + client_request->buffered_response.size();
}

void ClientConnection::write_buffered() {
  write_out();
  account_buffered();
}

void ClientConnection::write_out() {
  if (awaiting_writable_ || closed()) return;
  while (!write_buffers_.empty()) {
    std::array<std::string_view, kMaxBuffersPerWrite> pieces;
    const auto count = std::min(write_buffers_.size(), kMaxBuffersPerWrite);
    for (std::size_t i = 0; i < count; ++i) pieces[i] = write_buffers_[i];
    pieces[0].remove_prefix(front_written_bytes_);
    const auto bytes = stream_->write({pieces.data(), count});
    if (!bytes)
      return shard_.environment().defer([weak = weak_from_this()] {
        if (auto self = weak.lock()) self->on_client_gone(true);
      });
    if (*bytes == 0) {
      awaiting_writable_ = true;
      return stream_->notify_when_writable();
    }
    consume_written(*bytes);
  }
  notify_drained();
  if (state_ == ClientConnectionState::flushing && write_buffers_.empty() &&
      (requests_.empty() || requests_.front()->finished()))
    begin_linger();
}

void ClientConnection::notify_drained() {
  for (const auto& then : std::exchange(drained_callbacks_, {})) then();
}

// Shuts down the writing side first. The connection is closed when the client closes it, or after
// kLingerDuration. Closing it at once would reset the connection if input of the client is still unread, and
// the reset could discard the last response before the client reads it.
void ClientConnection::begin_linger() {
  apply(state_, ClientConnectionEvent::flushed);
  last_active_at_ = shard_.now();
  stream_->shut_down_writing();
}

void ClientConnection::consume_written(std::size_t bytes) {
  last_write_at_ = shard_.now();
  unwritten_bytes_ -= bytes;
  while (bytes > 0) {
    const auto left = write_buffers_.front().size() - front_written_bytes_;
    if (bytes < left) {
      front_written_bytes_ += bytes;
      break;
    }
    bytes -= left;
    front_written_bytes_ = 0;
    write_buffers_.pop_front();
  }
  if (unwritten_bytes_ >= shard_.config().listen.high_water / 2) return;
  notify_drained();
  if (reading_paused_) resume_reading_later();
}

void ClientConnection::abort_response() {
  drop_pending_requests();
  close(ClientConnectionEvent::connection_lost, true);
}

void ClientConnection::abort() {
  for (const auto& client_request : requests_)
    client_request->response_handler = nullptr;  // breaks the cycle: the handler owns its request
  close(ClientConnectionEvent::closed_locally, true);
}

void ClientConnection::close_expired(Time now) {
  const auto& listen = shard_.config().listen;
  if (state_ == ClientConnectionState::lingering) {
    if (now > last_active_at_ + kLingerDuration) close(ClientConnectionEvent::closed_locally);
    return;
  }
  if (!write_buffers_.empty()) {
    if (now > last_write_at_ + listen.stall_time) on_client_gone(true);  // the client reads nothing
    return;
  }
  if (!requests_.empty()) return;
  if (!parser_.between_messages() && now > head_started_at_ + listen.header_time && parser_.in_head()) {
    router::Problem problem;
    problem.status = 408;
    problem.detail = "the head did not come in header_time";
    return reject(add_last_request(), problem);
  }
  if (now > std::max(last_active_at_, parser_.between_messages() ? Time::zero() : head_started_at_) +
                listen.idle_time)
    close(ClientConnectionEvent::closed_locally);
}

void ClientConnection::begin_shutdown() {
  if (requests_.empty() && write_buffers_.empty() && parser_.between_messages())
    close(ClientConnectionEvent::closed_locally);
}

// While the pipeline is full, nothing is read, so nothing can be waited for.
std::optional<UnreadInput> ClientConnection::unread_input() const {
  if (closed() || pipeline_full() || stream_->nothing_to_read()) return std::nullopt;
  return UnreadInput{read_bytes_, stream_->unread_bytes()};
}

void ClientConnection::close(ClientConnectionEvent event, bool reset) {
  if (closed()) return;
  const auto self = shared_from_this();
  apply(state_, event);
  account_buffered();
  stream_->close(reset);
  requests_.clear();
  drained_callbacks_.clear();
  shard_.remove_client(number_);
}

}  // namespace heronwell::path
