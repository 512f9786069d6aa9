#include "path/query_call_connection.hpp"

#include <algorithm>
#include <utility>

#include "calls/calls.hpp"
#include "path/host_header.hpp"

namespace heronwell::path {
namespace {

using namespace std::chrono_literals;

// An engine delays its response to a poll for up to this long if the state of the query has not changed.
constexpr Time kPollWait = 250ms;
// Additional time to wait for the response to a poll or start before the query is polled on another
// connection. It covers network delays and a busy engine. The sum with kPollWait is well below the 2 s after
// which an engine drops a query that is not polled.
constexpr Time kResponseSlack = 600ms;
// Time to wait for a page of a result. The engine already has the page, so this is the slack alone.
constexpr Time kPageTimeout = 600ms;
// The connect timeout is divided into this many parts. At the end of each part but the last, another
// connection is opened in parallel if none has been established.
constexpr int kDialTimeoutParts = 3;
// Number of connections that one attempt may open after it lost a connection, either to poll its query again
// or to reconnect after a reset before the first byte. The first poll finds a query that is running; the
// other connections allow for further faults at the same time.
constexpr unsigned kMaxReconnects = 4;
// Maximum number of interim responses (1xx) to one call. The platform's engines send none; a peer that sends
// many is faulty.
constexpr unsigned kMaxInterimResponses = 8;
// Time after a response during which the connection is not reused. An engine may answer a call twice, and the
// duplicate arrives within the network's delays. If it arrives during this time, it can't be mistaken for the
// response to the next call.
constexpr Time kDuplicateResponseWindow = 50ms;

http::Limits limits() {
  http::Limits limits;
  limits.start_line = 1 << 10;
  limits.header_bytes = 4 << 10;
  limits.header_count = 40;
  limits.body = 2 * calls::kMaxPageBytes;
  return limits;
}

}  // namespace

QueryCallConnection::QueryCallConnection(Shard& shard, const EnginePool& pool, std::uint64_t number)
    : shard_(shard),
      engine_(pool.id),
      number_(number),
      address_(pool.address),
      parser_(http::Role::response, limits()),
      input_bytes_(shard.buffer_account(), BufferKind::engine_input),
      output_bytes_(shard.buffer_account(), BufferKind::engine_output) {
  shard_.metrics().engine_connections->Increment();
  shard_.metrics().dials->Increment();
}

QueryCallConnection::~QueryCallConnection() { shard_.metrics().engine_connections->Decrement(); }

void QueryCallConnection::connect(AttemptPtr attempt) {
  attempt_ = std::move(attempt);
  attempt_->connection = weak_from_this();
  if (attempt_->state == AttemptState::created) {
    attempt_->on_new_connection = true;
    apply(attempt_->state, AttemptEvent::connect);
  }
  timer_ = shard_.environment().create_timer([this] {
    const auto self = shared_from_this();
    on_timeout();
  });
  const auto dial_timeout = shard_.config().engines.dial_timeout;
  opened_to_start_ = attempt_->ticket != 0 && attempt_->first_byte_sent_at == Time::zero();
  if (opened_to_start_ && attempt_->pending_connections++ == 0)
    attempt_->connect_deadline = shard_.now() + dial_timeout;
  set_timeout(opened_to_start_
                  ? std::min(dial_timeout / kDialTimeoutParts, attempt_->connect_deadline - shard_.now())
                  : dial_timeout);
  stream_ = shard_.environment().dial(address_);
  stream_->attach(weak_from_this());
}

// Opens another connection in parallel if this one is not established after a part of the dial timeout. The
// connection that is established first starts the attempt. Without this, the loss of one packet of the
// connection set-up delays the connection by a second or prevents it, and a healthy engine is treated as
// unreachable.
void QueryCallConnection::on_timeout() {
  const bool connecting =
      state_ == EngineConnectionState::connecting && opened_to_start_ && attempt_ != nullptr;
  if (!connecting || shard_.now() >= attempt_->connect_deadline || attempt_->response_unwanted())
    return fail(Failure::timed_out);
  const auto remaining = attempt_->connect_deadline - shard_.now();
  set_timeout(remaining);
  if (attempt_->first_byte_sent_at == Time::zero() &&
      remaining >= shard_.config().engines.dial_timeout / kDialTimeoutParts)
    shard_.open_second_connection(attempt_);
}

void QueryCallConnection::on_connected() {
  if (!apply(state_, EngineConnectionEvent::connected)) return;
  timer_->cancel();
  apply(state_, EngineConnectionEvent::ready);
  stream_->set_reading(true);
  idle_since_ = shard_.now();
  auto* pool = shard_.pool(engine_);
  const bool same_address = pool != nullptr && pool->address == address_;
  const bool usable = same_address && pool->accepts_work;
  auto attempt = std::exchange(attempt_, nullptr);
  if (attempt && opened_to_start_) {
    --attempt->pending_connections;
    if (attempt->first_byte_sent_at > Time::zero())
      attempt = nullptr;  // already started on a connection that was established earlier
  }
  const bool started = attempt && attempt->first_byte_sent_at > Time::zero();
  // While the connection was being established, the engine may have started to drain, the client may have
  // disconnected, or the deadline may have passed. A query that is already started is still polled, because a
  // poll starts no work.
  if (attempt && !started && (attempt->response_unwanted() || !usable || !shard_.may_start(*attempt))) {
    shard_.end_attempt(attempt, calls::attempt_result_of(calls::CallResult::not_written));
    attempt = nullptr;
  }
  if (!attempt && !usable) return close_unused();
  if (!attempt) return pool->idle.push_back(shared_from_this());
  if (!started && shard_.defer_until_input_read(attempt)) return pool->idle.push_back(shared_from_this());
  if (start(attempt)) return;
  // The new connection was reset before a byte was written. The engine has not seen the attempt and may be
  // healthy.
  if (++attempt->reconnects <= kMaxReconnects) return shard_.resume_polling(attempt);
  shard_.end_attempt(attempt, calls::attempt_result_of(started ? calls::CallResult::broken
                                                               : calls::CallResult::not_connected));
}

bool QueryCallConnection::start(const AttemptPtr& attempt) {
  if (state_ != EngineConnectionState::idle || !read_buffer_.empty() || !stream_->nothing_to_read()) {
    close_unused();
    return false;
  }
  attempt_ = attempt;
  attempt_->connection = weak_from_this();
  apply(state_, EngineConnectionEvent::statement_sent);
  if (send_next_call()) return true;
  attempt_ = nullptr;
  close(EngineConnectionEvent::connection_lost);
  return false;
}

void QueryCallConnection::put_next_call(bool starts) {
  const auto host = host_header(address_);
  if (attempt_->ticket == 0)
    return calls::put_health_check(write_buffer_, host, !shard_.config().module.load_fields.empty());
  const auto& client_request = *attempt_->request;
  if (starts) {
    const auto budget_ms = std::max<std::int64_t>(1, (attempt_->deadline - shard_.now()) / 1ms);
    return calls::put_start(
        write_buffer_, host,
        {client_request.client_request_id, shard_.config().module.classes[client_request.class_index].name,
         client_request.idempotency_key},
        budget_ms, attempt_->memory_limit_mb, attempt_->statement->text);
  }
  const auto& result = attempt_->result;
  if (!result.has_first_page()) return calls::put_poll(write_buffer_, host, client_request.client_request_id);
  calls::put_page(write_buffer_, host, client_request.client_request_id, result.next_page());
}

bool QueryCallConnection::send_next_call() {
  const auto now = shard_.now();
  // A start is sent at most once: as soon as one byte of it is written on any connection, the attempt only
  // polls. Otherwise a query that is not idempotent could run twice, after a second connection or a lost one.
  const bool starts = attempt_->first_byte_sent_at == Time::zero();
  const bool fetches_page = !starts && attempt_->ticket != 0 && attempt_->result.has_first_page();
  put_next_call(starts);
  const auto call_bytes = write_buffer_.size();
  if (!flush() && write_buffer_.size() == call_bytes) return false;
  if (!write_buffer_.empty()) apply(state_, EngineConnectionEvent::write_blocked);
  start_incomplete_ = starts && attempt_->ticket != 0 && !write_buffer_.empty();
  if (starts) {
    attempt_->first_byte_sent_at = now;
    attempt_->statement = nullptr;  // it is sent at most once, and a copy of it is in the write buffer
    apply(attempt_->state, AttemptEvent::send_statement);
  }
  attempt_->last_polled_at = now;
  interim_responses_ = 0;
  response_body_.clear();
  set_timeout(fetches_page ? kPageTimeout : kPollWait + kResponseSlack);
  return true;
}

Time QueryCallConnection::reusable_at() const {
  return idle_since_ + (response_received_ ? kDuplicateResponseWindow : Time::zero());
}

bool QueryCallConnection::flush() {
  const bool writable = path::flush(*stream_, write_buffer_, awaiting_writable_);
  release_unused(write_buffer_);
  account_buffered();
  return writable;
}

void QueryCallConnection::account_buffered() {
  input_bytes_.set(read_buffer_.capacity() + response_body_.capacity());
  output_bytes_.set(write_buffer_.capacity());
}

// Does not complete a partially written start once the attempt may not start any more. An engine does not run
// an incomplete start. Without this check, the query could run after its client has disconnected or its
// deadline has passed.
void QueryCallConnection::on_writable() {
  awaiting_writable_ = false;
  if (start_incomplete_ && !shard_.may_start(*attempt_)) {
    const auto attempt = std::exchange(attempt_, nullptr);
    close(EngineConnectionEvent::closed_locally);
    return shard_.end_attempt(attempt, calls::attempt_result_of(calls::CallResult::not_written));
  }
  if (!flush()) return fail(Failure::broken);
  if (state_ != EngineConnectionState::sending || !write_buffer_.empty()) return;
  apply(state_, EngineConnectionEvent::write_completed);
  start_incomplete_ = false;
}

void QueryCallConnection::on_closed(bool) {
  const bool connecting = state_ == EngineConnectionState::connecting;
  const auto dial_failure = connecting ? stream_->dial_failure() : DialFailure::unknown;
  auto failure = Failure::broken;
  if (dial_failure == DialFailure::refused) failure = Failure::connection_refused;
  if (dial_failure == DialFailure::local) failure = Failure::no_descriptor;
  fail(failure);
}

void QueryCallConnection::on_data(std::string_view bytes) {
  const auto self = shared_from_this();
  if (!call_in_flight()) return fail(Failure::broken);
  read_buffer_ += bytes;
  parse();
  release_unused(read_buffer_);
  account_buffered();
}

void QueryCallConnection::parse() {
  std::size_t used = 0;
  while (call_in_flight()) {
    const auto read = parser_.next(std::string_view(read_buffer_).substr(used));
    used += read.consumed;
    using Event = http::Parser::Event;
    if (read.event == Event::error) {
      // The bytes may be the end of the page before, whose Content-Length was too small.
      if (last_page_unconfirmed_) attempt_->result.drop_last_page();
      return fail(Failure::broken);
    }
    if (read.event == Event::need_more) break;
    if (read.event == Event::head) last_page_unconfirmed_ = false;
    if (read.event == Event::body) response_body_.append(read.body);
    if (read.event != Event::end) continue;
    if (parser_.status() < 200) {
      if (++interim_responses_ > kMaxInterimResponses) return fail(Failure::broken);
      continue;
    }
    read_buffer_.erase(0, used);
    return on_response();
  }
  read_buffer_.erase(0, used);
}

// Handles the complete response to the call in flight. If more bytes follow, they belong to no call, and the
// connection is not reused.
//
// Failure: an engine sends a Content-Length that is smaller than its page. If the length ends behind a row,
// the rows up to there pass for the whole page, and the client gets a part of its result as served. Guard: a
// page that is followed by bytes is discarded and requested again on a new connection. The bytes may also be
// a duplicate response or noise behind a correct page, which can't be told from the rest of the page. The
// other responses are complete with their head, so bytes behind them do not matter.
void QueryCallConnection::on_response() {
  timer_->cancel();
  response_received_ = true;
  if (state_ == EngineConnectionState::sending) return on_early_response();
  if (attempt_->ticket == 0) return on_health_check_response();
  if (parser_.status() == calls::kPageStatus && !read_buffer_.empty()) {
    shard_.metrics().pages_discarded->Increment();
    return fail(Failure::broken);
  }
  if (!attempt_->result.has_first_page()) return on_status();
  // The engine has lost the page: the query ran, but its result is no longer available.
  if (parser_.status() == calls::kPageLostStatus)
    return finish(calls::attempt_result_of(calls::CallResult::error));
  if (attempt_->result.has_all_pages()) return on_last_page_again();
  on_page();
}

// Handles a response that is complete before its call is written. An engine may reject a start as soon as it
// has seen the head. No other response can belong to a call that the engine has not received completely: it
// may be a late duplicate of an earlier one.
void QueryCallConnection::on_early_response() {
  const auto status = calls::read_status(parser_, response_body_);
  const bool never_ran = status.state == calls::QueryStatus::State::finished &&
                         (status.result == calls::CallResult::rejected_full ||
                          status.result == calls::CallResult::rejected_too_late);
  if (!start_incomplete_ || !never_ran) return fail(Failure::broken);
  finish(calls::attempt_result_of(status.result));
}

// Status 200 means healthy and 503 unhealthy. Any other status is not a valid response to a health check.
void QueryCallConnection::on_health_check_response() {
  constexpr int kHealthy = 200, kUnhealthy = 503;
  auto result = AttemptResult::reset;
  if (parser_.status() == kHealthy) {
    attempt_->load = calls::read_load_report(parser_, shard_.config().module.load_fields);
    result = AttemptResult::served;
  } else if (parser_.status() == kUnhealthy) {
    result = AttemptResult::error;
  }
  finish(result);
}

void QueryCallConnection::on_status() {
  const auto& settings = shard_.config().module;
  const auto status = calls::read_status(parser_, response_body_);
  using State = calls::QueryStatus::State;
  if (status.state == State::malformed) return fail(Failure::broken);
  if (settings.load_reports_in_responses)
    if (auto load = calls::read_load_report(parser_, settings.load_fields); !load.empty())
      attempt_->load = std::move(load);
  if (status.state == State::finished) return finish(calls::attempt_result_of(status.result));
  if (status.state == State::complete) {
    attempt_->result.begin(status.page_count, std::move(response_body_));
    return on_page_added();
  }
  if (status.progress) shard_.report_progress(attempt_, *status.progress, status.amount);
  continue_polling();
}

void QueryCallConnection::on_page() {
  if (!calls::is_complete_page(parser_, response_body_, attempt_->result.next_page()) ||
      !attempt_->result.append(response_body_))
    return fail(Failure::broken);
  on_page_added();
}

// If this was the last page, the next call requests it once more.
void QueryCallConnection::on_page_added() {
  attempt_->response.bytes.set(attempt_->result.buffered_bytes());
  last_page_unconfirmed_ = true;
  continue_polling();
}

// Failure: an engine sends the last page with a Content-Length that is too small and ends behind a row, and the
// rest of the page only after the page was taken. The client gets a part of its result as served. Guard: the
// last page is requested twice, and the result is served if both copies are equal. The rest of the first copy
// precedes the second one on the connection, which is then malformed, or it makes the copies differ.
void QueryCallConnection::on_last_page_again() {
  auto& result = attempt_->result;
  const auto page_count = page_count_with_last_page();
  if (!page_count) return fail(Failure::broken);
  if (!result.confirm(*page_count, response_body_)) {
    shard_.metrics().pages_discarded->Increment();
    attempt_->response.bytes.set(0);
    return fail(Failure::broken);
  }
  attempt_->response.json = result.take_rows();
  finish(calls::attempt_result_of(calls::CallResult::complete));
}

// The number of pages according to the response, or none if it is not a well-formed copy of the last page. Only
// the first page comes with a number of pages; it is read as a status.
std::optional<unsigned> QueryCallConnection::page_count_with_last_page() const {
  const auto& result = attempt_->result;
  if (result.next_page() > 0) {
    if (!calls::is_complete_page(parser_, response_body_, result.next_page())) return std::nullopt;
    return result.page_count();
  }
  const auto status = calls::read_status(parser_, response_body_);
  if (status.state != calls::QueryStatus::State::complete) return std::nullopt;
  return status.page_count;
}

// Sends the next call on this connection, unless unexpected bytes were received or the engine closes it.
void QueryCallConnection::continue_polling() {
  if (!read_buffer_.empty() || !parser_.keep_alive() || !send_next_call()) fail(Failure::broken);
}

void QueryCallConnection::finish(AttemptResult result) {
  const auto attempt = std::exchange(attempt_, nullptr);
  auto* pool = shard_.pool(engine_);
  const bool usable = state_ == EngineConnectionState::busy && read_buffer_.empty() && parser_.keep_alive() &&
                      pool != nullptr && pool->accepts_work && pool->address == address_;
  if (usable) {
    apply(state_, EngineConnectionEvent::statement_finished);
    idle_since_ = shard_.now();
    std::string().swap(response_body_);
    pool->idle.push_back(shared_from_this());
    shard_.descriptor_freed();
  }
  shard_.end_attempt(attempt, result);
  if (!usable) close(EngineConnectionEvent::finished_unusable);
}

// Handles a connection that was lost, timed out or received invalid data. The result of its attempt depends
// on the state that the connection had reached.
void QueryCallConnection::fail(Failure failure) {
  if (state_ == EngineConnectionState::closed) return;
  const bool connecting =
      state_ == EngineConnectionState::connecting || state_ == EngineConnectionState::starting_up;
  const auto attempt = std::exchange(attempt_, nullptr);
  close(EngineConnectionEvent::connection_lost);
  if (!attempt) return;
  if (connecting && opened_to_start_) {
    --attempt->pending_connections;
    // Another connection continues the attempt.
    if (attempt->pending_connections > 0 || attempt->first_byte_sent_at > Time::zero()) return;
  }
  // A missing descriptor is a local failure and must not be counted against the engine.
  if (failure == Failure::no_descriptor && !attempt->response_unwanted())
    return shard_.wait_for_descriptor(attempt);
  if (attempt->first_byte_sent_at == Time::zero()) return fail_before_start(attempt, failure, connecting);
  fail_after_start(attempt, failure);
}

void QueryCallConnection::fail_before_start(const AttemptPtr& attempt, Failure failure, bool connecting) {
  // The new connection was reset. The engine has not seen the attempt and may be healthy.
  if (connecting && failure == Failure::broken && !attempt->response_unwanted() &&
      attempt->deadline > shard_.now() && ++attempt->reconnects <= kMaxReconnects)
    return shard_.resume_polling(attempt);
  const auto result =
      attempt->response_unwanted() ? calls::CallResult::not_written : calls::CallResult::not_connected;
  const bool health_check_cut = attempt->ticket == 0 && !connecting;
  shard_.end_attempt(attempt, health_check_cut ? AttemptResult::reset : calls::attempt_result_of(result));
}

// Polls the query on another connection, because it may still be running: until its deadline if the engine
// does not respond, and up to kMaxReconnects times if connections break. After that, the query is deleted.
void QueryCallConnection::fail_after_start(const AttemptPtr& attempt, Failure failure) {
  // The process that ran the query has exited, so there is no query to delete.
  const bool process_gone = failure == Failure::connection_refused;
  const bool poll_again = !process_gone && attempt->deadline > shard_.now() &&
                          (failure == Failure::timed_out || attempt->reconnects < kMaxReconnects);
  if (attempt->response_unwanted() || !poll_again) {
    const auto result = calls::attempt_result_of(calls::CallResult::broken);
    if (process_gone || attempt->response_unwanted()) return shard_.end_attempt(attempt, result);
    return shard_.delete_query(attempt, result);
  }
  if (failure == Failure::broken) ++attempt->reconnects;
  shard_.resume_polling(attempt);
}

void QueryCallConnection::close_unused() { close(EngineConnectionEvent::closed_locally); }

void QueryCallConnection::close(EngineConnectionEvent event) {
  if (state_ == EngineConnectionState::closed) return;
  const auto self = shared_from_this();
  // A connection with a call that has no response is reset, which discards data that is not delivered yet.
  // Otherwise the call could remain in the buffers of the operating system, arrive late, and start or poll a
  // query that the router considers finished.
  const bool unanswered =
      state_ == EngineConnectionState::busy && event != EngineConnectionEvent::finished_unusable;
  const bool reset = unanswered || state_ == EngineConnectionState::sending;
  apply(state_, event);
  if (auto* pool = shard_.pool(engine_)) pool->remove(number_, self);
  stream_->close(reset);
  timer_->cancel();
  shard_.descriptor_freed();
}

void QueryCallConnection::cancel(const AttemptPtr& attempt) {
  if (attempt_ != attempt || state_ == EngineConnectionState::closed) return;
  attempt_ = nullptr;
  close(EngineConnectionEvent::closed_locally);
  shard_.delete_query(attempt, calls::attempt_result_of(calls::CallResult::cancelled));
}

}  // namespace heronwell::path
