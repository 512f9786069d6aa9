#include "path/frame_client_connection.hpp"

#include <algorithm>
#include <utility>

#include "path/buffered_statement.hpp"
#include "sql/group.hpp"

namespace heronwell::path {
namespace {

using namespace std::chrono_literals;

// Maximum number of open requests on one connection, as defined by the platform's protocol.
constexpr std::size_t kMaxOpenRequests = 32;
// Number of requests of one connection that are rejected individually. A client with an error in a single
// request gets a response; a client that continues to send invalid requests is disconnected.
constexpr unsigned kMaxRejectedRequests = 16;
// Maximum number of bytes that are read and discarded once no more requests are accepted and none is open.
// These are frames that the client sent before it received the go-away frame or the error. A client that sends
// more ignores the close, and its connection is reset.
constexpr std::size_t kMaxDiscardedBytes = 256 << 10;
// After its last response is written, a connection stays open for this long, so that the client can read the
// response and close.
constexpr Time kLingerDuration = 250ms;
// For this long after a client connected, its first request may still be in transit. Such a connection is
// closed last when descriptors run out.
constexpr Time kFirstRequestGrace = 150ms;

}  // namespace

FrameClientConnection::FrameClientConnection(Shard& shard, std::uint64_t number, StreamPtr stream)
    : shard_(shard),
      number_(number),
      stream_(std::move(stream)),
      input_bytes_(shard.buffer_account(), BufferKind::client_input),
      output_bytes_(shard.buffer_account(), BufferKind::client_output) {
  shard_.metrics().connections->Increment();
  shard_.metrics().clients->Increment();
  connected_at_ = last_active_at_ = last_write_at_ = shard_.now();
}

FrameClientConnection::~FrameClientConnection() { shard_.metrics().clients->Decrement(); }

void FrameClientConnection::start() {
  stream_->attach(weak_from_this());
  stream_->set_reading(true);
}

void FrameClientConnection::on_data(std::string_view bytes) {
  read_bytes_ += bytes.size();
  if (state_ != ClientConnectionState::reading) return discard(bytes.size());
  last_active_at_ = shard_.now();
  bytes.remove_prefix(skip_rejected_frame(bytes.size()));
  if (bytes.empty()) return;
  if (read_buffer_.empty()) {
    const auto used = parse(bytes);
    if (state_ == ClientConnectionState::reading) read_buffer_.assign(bytes.substr(used));
    frame_started_at_ = last_active_at_;
  } else {
    read_buffer_ += bytes;
    const auto used = parse(read_buffer_);
    read_buffer_.erase(0, used);
    if (used > 0) frame_started_at_ = last_active_at_;
  }
  if (state_ != ClientConnectionState::reading) std::string().swap(read_buffer_);
  release_unused(read_buffer_);
  account_buffered();
  shard_.enforce_buffer_limit();
  write_buffered();
}

// Counts input that is read and discarded because no more requests are accepted. While requests are open, any
// amount is discarded: closing the connection would take their responses with it.
void FrameClientConnection::discard(std::size_t bytes) {
  if (!open_requests_.empty()) return;
  discarded_bytes_ += bytes;
  if (discarded_bytes_ > kMaxDiscardedBytes) close(ClientConnectionEvent::closed_locally, true);
}

// Skips the rest of a frame that was rejected while it was incomplete. Returns how many of the next
// `available` bytes of input belong to it.
std::size_t FrameClientConnection::skip_rejected_frame(std::size_t available) {
  const auto skipped = std::min(rejected_frame_bytes_left_, available);
  rejected_frame_bytes_left_ -= skipped;
  if (skipped > 0 && rejected_frame_bytes_left_ == 0) complete_frame_received_ = true;
  return skipped;
}

std::optional<ClientProtocol::IncompleteFrame> FrameClientConnection::incomplete_frame() const {
  if (state_ != ClientConnectionState::reading || parsing_ || read_buffer_.size() <= kMaxIdleBufferBytes)
    return std::nullopt;
  return IncompleteFrame{!open_requests_.empty(), frame_started_at_};
}

// Only a request needs its payload. Any other frame takes effect without it.
void FrameClientConnection::reject_incomplete_frame() {
  const auto buffered = std::exchange(read_buffer_, {});
  const auto incomplete = frames::decode_incomplete(buffered);
  if (!incomplete) return;
  rejected_frame_bytes_left_ = incomplete->frame_bytes - buffered.size();
  if (incomplete->frame.type == frames::FrameType::request)
    reject_incomplete_request(*incomplete);
  else
    dispatch(incomplete->frame);
  write_buffered();
}

void FrameClientConnection::reject_incomplete_request(const frames::IncompleteFrame& incomplete) {
  if (!take_stream(incomplete.frame.stream)) return;
  // Without the id it is unknown whether the request may have run before, so that a retry could do harm.
  if (!incomplete.fields_complete)
    return reject(incomplete.frame.stream, "fields: expected at the front of the frame",
                  frames::ResponseCode::failed);
  if (const auto opened = open_request(incomplete.frame, ""))
    shard_.reject_incomplete(opened->client_request, opened->spec);
}

std::size_t FrameClientConnection::parse(std::string_view in) {
  parsing_ = true;
  std::size_t used = 0;
  while (state_ == ClientConnectionState::reading) {
    const auto decoded = frames::decode(in.substr(used));
    if (decoded.status == frames::DecodeResult::Status::need_more) break;
    if (decoded.status == frames::DecodeResult::Status::error) {
      close_with_error(frames::text_of(decoded.error));
      break;
    }
    used += decoded.consumed_bytes;
    complete_frame_received_ = complete_frame_received_ || decoded.frame.type != frames::FrameType::cancel;
    dispatch(decoded.frame);
  }
  parsing_ = false;
  return used;
}

void FrameClientConnection::dispatch(const frames::Frame& frame) {
  if (frame.type == frames::FrameType::readiness_query) {
    if (write_buffer_.size() > shard_.config().listen.high_water)
      return close_with_error("answers are not read");
    return frames::put_readiness(write_buffer_, frame.stream, shard_.ready());
  }
  if (frame.type == frames::FrameType::request) return on_request(frame);
  const auto found = open_requests_.find(frame.stream);
  if (found == open_requests_.end()) {  // the response may have been sent before the cancel frame arrived
    if (frame.stream > last_stream_ && ++rejected_requests_ > kMaxRejectedRequests)
      close_with_error("streams that were never opened");
    return;
  }
  const auto client_request = found->second;
  open_requests_.erase(found);
  client_request->response_handler = nullptr;
  if (client_request->ticket != 0) shard_.disconnect(client_request);
}

void FrameClientConnection::on_request(const frames::Frame& frame) {
  if (!take_stream(frame.stream)) return;
  if (auto opened = open_request(frame, frame.body))
    shard_.submit(opened->client_request, std::move(opened->spec));
}

// Returns false if the stream number is not new. The connection is then closed.
bool FrameClientConnection::take_stream(std::uint32_t stream) {
  if (stream <= last_stream_) {
    close_with_error("stream: expected a number that is new");
    return false;
  }
  last_stream_ = stream;
  return true;
}

// Checks the fields of a request and opens it on its stream with `statement`. Returns nullopt if it was
// rejected.
std::optional<FrameClientConnection::OpenedRequest> FrameClientConnection::open_request(
    const frames::Frame& frame, std::string_view statement) {
  using enum frames::ResponseCode;
  const auto reject_request = [&](std::string_view reason, frames::ResponseCode code) {
    reject(frame.stream, reason, code);
    return std::nullopt;
  };
  frames::Request parsed;
  if (const auto error = frames::read_request(frame, parsed))
    return reject_request(frames::text_of(*error), rejected);
  const auto& settings = shard_.config().module;
  const auto cls = std::ranges::find(settings.classes, parsed.class_name, &ClassSettings::name);
  if (cls == settings.classes.end()) return reject_request("c: expected a class of the settings", rejected);
  const auto tenant = std::ranges::find(settings.tenants, parsed.tenant, &TenantSettings::name);
  if (tenant == settings.tenants.end() && !(settings.tenants.empty() && parsed.tenant.empty()))
    return reject_request("t: expected a tenant of the settings", rejected);
  if (open_requests_.size() >= kMaxOpenRequests)
    return reject_request("expected at most 32 open requests", rejected);
  std::string id(parsed.id);
  // A request that is not idempotent may already be running under this id. It gets the response `failed`: a
  // rejection would tell the client that a retry is safe, and the effect of the request could happen twice.
  const bool idempotent = cls->idempotency == Idempotency::idempotent;
  if (shard_.request_id_open(id))
    return reject_request("i: expected an id that is new", idempotent ? rejected : failed);
  if (shard_.may_have_run(id)) return reject_request("i: expected an id that can't have run", failed);
  auto client_request = std::make_shared<ClientRequest>();
  client_request->response_handler = shared_from_this();
  client_request->connection = weak_from_this();
  client_request->call_index = frame.stream;
  client_request->client_request_id = std::move(id);
  client_request->idempotency_key = parsed.idempotency_key;
  client_request->statement = buffered_statement(shard_.buffer_account(), statement);
  client_request->received_at = shard_.input_waiting_since();
  open_requests_.emplace(frame.stream, client_request);
  router::RequestSpec spec;
  spec.request.class_index = static_cast<ClassIndex>(cls - settings.classes.begin());
  spec.request.tenant = static_cast<std::uint32_t>(tenant - settings.tenants.begin());
  spec.request.time_left = std::chrono::milliseconds(parsed.timeout_ms);
  spec.request.data_group = sql::find_data_group(statement).value_or(0);
  return OpenedRequest{std::move(client_request), std::move(spec)};
}

// Rejects a request that was not admitted; with the default code, the client may retry it. A client that
// sends too many invalid requests is disconnected.
void FrameClientConnection::reject(std::uint32_t stream, std::string_view reason, frames::ResponseCode code) {
  shard_.metrics().invalid_requests->Increment();
  frames::put_response(write_buffer_, stream, code, {}, reason);
  if (++rejected_requests_ > kMaxRejectedRequests) close_with_error("too many requests that can't be taken");
}

// Handles a client that violates the protocol or sends malformed data: sends an error on stream 0 and closes
// the connection.
void FrameClientConnection::close_with_error(std::string_view reason) {
  if (state_ != ClientConnectionState::reading) return;
  shard_.metrics().invalid_requests->Increment();
  drop_open_requests();
  frames::put_response(write_buffer_, 0, frames::ResponseCode::failed, {}, reason);
  apply(state_, ClientConnectionEvent::last_response);
  write_buffered();
}

// Closes the connection gracefully: open requests get their responses, then a go-away frame and the end of
// the stream are sent, and input that still arrives is read and discarded. Closing the connection at once
// would reset it if frames of the client are unread, and the reset could discard responses.
void FrameClientConnection::begin_graceful_close() {
  if (state_ != ClientConnectionState::reading || !apply(state_, ClientConnectionEvent::last_request)) return;
  std::string().swap(read_buffer_);
  finish_graceful_close();
}

void FrameClientConnection::finish_graceful_close() {
  if (state_ != ClientConnectionState::finishing || !open_requests_.empty()) return;
  frames::put_go_away(write_buffer_);
  apply(state_, ClientConnectionEvent::last_response);
  write_buffered();
}

void FrameClientConnection::on_served(const ClientRequestPtr& client_request, AttemptResponse response) {
  respond(client_request, frames::ResponseCode::served, {}, response.json);
}

void FrameClientConnection::on_failed(const ClientRequestPtr& client_request,
                                      const router::Problem& problem) {
  const bool was_rejected = problem.outcome == router::ProblemOutcome::rejected ||
                            problem.outcome == router::ProblemOutcome::bad_request;
  // In ms, rounded up, so that the client does not retry too early. The string must outlive `fields`, which
  // refers to it.
  const auto retry_after_ms = std::to_string((problem.retry_after + 1ms - Time(1)) / 1ms);
  std::vector<frames::Field> fields;
  if (was_rejected && problem.retry_after > Time::zero()) fields.push_back({"w", retry_after_ms});
  respond(client_request, was_rejected ? frames::ResponseCode::rejected : frames::ResponseCode::failed,
          fields, {});
}

void FrameClientConnection::respond(const ClientRequestPtr& client_request, frames::ResponseCode code,
                                    const std::vector<frames::Field>& fields, std::string_view body) {
  const auto self = shared_from_this();
  client_request->response_handler = nullptr;
  if (!apply(client_request->response_state, ResponseEvent::finish)) return;
  if (code != frames::ResponseCode::rejected) shard_.remember_possibly_ran(*client_request);
  const auto stream = static_cast<std::uint32_t>(client_request->call_index);
  const auto found = open_requests_.find(stream);
  if (closed() || found == open_requests_.end() || found->second != client_request) return;
  open_requests_.erase(found);
  last_active_at_ = shard_.now();
  frames::put_response(write_buffer_, stream, code, fields, body);
  write_buffered();
  finish_graceful_close();
}

void FrameClientConnection::account_buffered() {
  input_bytes_.set(closed() ? 0 : read_buffer_.capacity());
  output_bytes_.set(closed() ? 0 : write_buffer_.capacity());
}

void FrameClientConnection::write_buffered() {
  write_out();
  account_buffered();
}

void FrameClientConnection::write_out() {
  if (awaiting_writable_ || closed()) return;
  while (!write_buffer_.empty()) {
    const std::string_view piece = write_buffer_;
    const auto wrote = stream_->write({&piece, 1});
    if (!wrote)
      return shard_.environment().defer([weak = weak_from_this()] {
        if (auto self = weak.lock()) self->on_closed(true);
      });
    if (*wrote == 0) {
      awaiting_writable_ = true;
      return stream_->notify_when_writable();
    }
    last_write_at_ = shard_.now();
    write_buffer_.erase(0, *wrote);
    release_unused(write_buffer_);
  }
  if (state_ != ClientConnectionState::flushing) return;
  apply(state_, ClientConnectionEvent::flushed);
  last_active_at_ = shard_.now();
  stream_->shut_down_writing();
}

void FrameClientConnection::on_writable() {
  awaiting_writable_ = false;
  write_buffered();
}

void FrameClientConnection::on_closed(bool) {
  if (closed()) return;
  drop_open_requests();
  close(ClientConnectionEvent::connection_lost);
}

void FrameClientConnection::drop_open_requests() {
  const auto open = std::exchange(open_requests_, {});
  for (const auto& [stream, client_request] : open) {
    client_request->response_handler = nullptr;
    if (client_request->ticket != 0) shard_.disconnect(client_request);
  }
}

void FrameClientConnection::close_when_idle() {
  if (state_ == ClientConnectionState::reading) return begin_graceful_close();
  close(ClientConnectionEvent::closed_locally);
}

void FrameClientConnection::abort() {
  for (const auto& [stream, client_request] : open_requests_) client_request->response_handler = nullptr;
  open_requests_.clear();
  close(ClientConnectionEvent::closed_locally);
}

void FrameClientConnection::close_expired(Time now) {
  const auto& listen = shard_.config().listen;
  if (state_ == ClientConnectionState::lingering) {
    if (now > last_active_at_ + kLingerDuration) close(ClientConnectionEvent::closed_locally);
    return;
  }
  if (!write_buffer_.empty()) {
    if (now > last_write_at_ + listen.stall_time) on_closed(true);  // the client reads nothing
    return;
  }
  if (!open_requests_.empty()) return;
  // The client has not sent a complete frame, or stopped in the middle of one.
  const auto since = complete_frame_received_ ? frame_started_at_ : connected_at_;
  if ((!complete_frame_received_ || receiving_frame()) &&
      (now > last_active_at_ + listen.header_time || now > since + shard_.config().platform->frame_time))
    return close_with_error("a frame did not come whole in time");
  if (now > last_active_at_ + listen.idle_time) begin_graceful_close();
}

std::optional<ClientProtocol::IdleState> FrameClientConnection::idle_state() const {
  if (!open_requests_.empty() || !write_buffer_.empty() || (complete_frame_received_ && receiving_frame()))
    return std::nullopt;
  using Order = IdleState::EvictionOrder;
  const bool just_connected = shard_.now() < connected_at_ + kFirstRequestGrace;
  return IdleState{complete_frame_received_ ? Order::served_before
                   : just_connected         ? Order::just_connected
                                            : Order::no_request_yet,
                   last_active_at_, state_ != ClientConnectionState::reading};
}

std::optional<UnreadInput> FrameClientConnection::unread_input() const {
  if (closed() || stream_->nothing_to_read()) return std::nullopt;
  return UnreadInput{read_bytes_, stream_->unread_bytes()};
}

void FrameClientConnection::close(ClientConnectionEvent event, bool reset) {
  if (closed()) return;
  const auto self = shared_from_this();
  apply(state_, event);
  account_buffered();
  stream_->close(reset);
  shard_.remove_client(number_);
}

}  // namespace heronwell::path
