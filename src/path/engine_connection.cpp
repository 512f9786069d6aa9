#include "path/engine_connection.hpp"

#include <algorithm>
#include <utility>

#include "path/client_connection.hpp"

namespace heronwell::path {
namespace {

// Capacity of the read buffer that a connection keeps while the buffer is empty. A message of typical size
// fits into it, and thousands of idle connections need little memory.
constexpr std::size_t kMaxIdleReadBytes = 8 << 10;

// SQLSTATE program_limit_exceeded: the response is larger than `max_response_bytes` of its request.
constexpr std::string_view kResponseTooLarge = "54000";

}  // namespace

EngineConnection::EngineConnection(Shard& shard, const EnginePool& pool, std::uint64_t number)
    : shard_(shard),
      engine_(pool.id),
      number_(number),
      address_(pool.address),
      session_(shard.config().engines.most_message) {
  shard_.metrics().engine_connections->Increment();
  shard_.metrics().dials->Increment();
}

EngineConnection::~EngineConnection() { shard_.metrics().engine_connections->Decrement(); }

void EngineConnection::connect(AttemptPtr attempt) {
  attempt_ = std::move(attempt);
  attempt_->connection = weak_from_this();
  attempt_->on_new_connection = true;
  apply(attempt_->state, AttemptEvent::connect);
  timer_ = shard_.environment().create_timer([this] {
    const auto self = shared_from_this();
    fail();
  });
  set_timeout(shard_.config().engines.dial_timeout);
  stream_ = shard_.environment().dial(address_);
  stream_->attach(weak_from_this());
}

void EngineConnection::set_timeout(Time duration) { timer_->set(shard_.now() + duration); }

void EngineConnection::on_connected() {
  if (!apply(state_, EngineConnectionEvent::connected)) return;
  const auto& engines = shard_.config().engines;
  session_.start(
      write_buffer_,
      {{"user", engines.user}, {"database", engines.database}, {"application_name", shard_.config().name}});
  stream_->set_reading(true);
  if (!flush()) fail();
}

void EngineConnection::on_data(std::string_view bytes) {
  read_buffer_ += bytes;
  parse();
}

void EngineConnection::parse() {
  if (state_ == EngineConnectionState::closed || reading_paused_) return;
  const auto used = session_.feed(read_buffer_, *this, reading_paused_);
  read_buffer_.erase(0, used);
  if (read_buffer_.empty() && read_buffer_.capacity() > kMaxIdleReadBytes) read_buffer_.shrink_to_fit();
  forward_rows();
  if (state_ == EngineConnectionState::starting_up && session_.state() == sql::SessionState::idle)
    on_startup_complete();
  if (state_ == EngineConnectionState::closed) return;
  if (malformed_row_ || session_.state() == sql::SessionState::over) return fail();
  if (state_ == EngineConnectionState::idle && !read_buffer_.empty())
    fail();  // the engine sent data although no statement is in progress
}

void EngineConnection::on_closed(bool) { fail(); }

void EngineConnection::on_writable() {
  awaiting_writable_ = false;
  if (!flush()) return fail();
  if (state_ == EngineConnectionState::sending && write_buffer_.empty())
    apply(state_, EngineConnectionEvent::write_completed);
}

// Checks once more, before the first byte of the statement is written, that the engine still accepts work at
// the same address and that the attempt is still wanted and within its deadline. While the connection was
// being established, the engine may have started to drain or moved, or the request may have ended. Without
// the check, the query would run on an engine that is about to exit, or without a client.
void EngineConnection::on_startup_complete() {
  timer_->cancel();
  apply(state_, EngineConnectionEvent::ready);
  auto attempt = std::exchange(attempt_, nullptr);
  auto* pool = shard_.pool(engine_);
  const bool usable = pool != nullptr && pool->accepts_work && pool->address == address_;
  if (attempt && (attempt->response_unwanted() || !usable || !shard_.may_start(*attempt))) {
    shard_.end_attempt(attempt, sql::StatementResult::not_written);
    attempt = nullptr;
  }
  if (!usable) return close_unused();
  if (attempt && !shard_.defer_until_input_read(attempt)) {
    if (!start(attempt)) shard_.end_attempt(attempt, sql::StatementResult::not_connected);
    return;
  }
  idle_since_ = shard_.now();
  pool->idle.push_back(shared_from_this());
}

bool EngineConnection::start(const AttemptPtr& attempt) {
  if (state_ != EngineConnectionState::idle || !session_.reusable() || !stream_->nothing_to_read()) {
    close_unused();
    return false;
  }
  session_.query(write_buffer_, attempt->settings, *attempt->statement);
  const auto statement_bytes = write_buffer_.size();
  if (!flush() && write_buffer_.size() == statement_bytes) {
    close(EngineConnectionEvent::connection_lost);
    return false;
  }
  attempt->first_byte_sent_at = shard_.now();
  attempt_ = attempt;
  attempt_->connection = weak_from_this();
  apply(attempt_->state, AttemptEvent::send_statement);
  apply(state_, EngineConnectionEvent::statement_sent);
  if (!write_buffer_.empty()) apply(state_, EngineConnectionEvent::write_blocked);
  error_code_.clear();
  return true;
}

bool EngineConnection::flush() { return path::flush(*stream_, write_buffer_, awaiting_writable_); }

// Handles a connection that was closed or reset, timed out or received malformed data. The result of its
// attempt depends on the state that the connection had reached.
void EngineConnection::fail() {
  if (state_ == EngineConnectionState::closed) return;
  if (state_ == EngineConnectionState::connecting || state_ == EngineConnectionState::starting_up) {
    if (error_code_.empty())
      end_attempt(attempt_ && attempt_->response_unwanted() ? sql::StatementResult::not_written
                                                            : sql::StatementResult::not_connected);
    else
      end_attempt(sql::StatementResult::startup_error, error_code_);
  } else if (state_ == EngineConnectionState::cancelling) {
    end_attempt(sql::StatementResult::cancelled);
  } else if (!error_code_.empty()) {
    end_attempt(sql::StatementResult::statement_error,
                error_code_);  // FATAL: the engine reported an error before it closed the connection
  } else {
    end_attempt(sql::StatementResult::broken);
  }
  close(EngineConnectionEvent::connection_lost);
}

void EngineConnection::end_attempt(sql::StatementResult result, std::string_view code) {
  if (auto attempt = std::exchange(attempt_, nullptr))
    shard_.end_attempt(attempt, result, code, session_.was_cancelled());
}

void EngineConnection::close_unused() { close(EngineConnectionEvent::closed_locally); }

void EngineConnection::close(EngineConnectionEvent event) {
  if (state_ == EngineConnectionState::closed) return;
  const auto self = shared_from_this();
  apply(state_, event);
  if (auto* pool = shard_.pool(engine_)) pool->remove(number_, self);
  if (session_.reusable() && write_buffer_.empty()) {
    std::string terminate;
    sql::put_terminate(terminate);
    const std::string_view piece = terminate;
    (void)stream_->write({&piece, 1});
  }
  stream_->close(false);
  timer_->cancel();
}

void EngineConnection::cancel(const AttemptPtr& attempt) {
  if (attempt_ != attempt || state_ == EngineConnectionState::closed) return;
  if (state_ == EngineConnectionState::connecting || state_ == EngineConnectionState::starting_up) {
    // The attempt ends now. Once the connection is established, it may serve another attempt.
    apply(state_, EngineConnectionEvent::attempt_dropped);
    return end_attempt(sql::StatementResult::not_written);
  }
  // The engine never runs a statement that it does not receive completely, so there is nothing to cancel.
  if (state_ == EngineConnectionState::sending) {
    end_attempt(sql::StatementResult::cancelled);
    return close(EngineConnectionEvent::closed_locally);
  }
  if (!apply(state_, EngineConnectionEvent::cancel_sent)) return;
  session_.cancel_sent();
  shard_.metrics().cancels->Increment();
  set_timeout(shard_.config().engines.cancel_wait);
  shard_.request_cancel(address_, session_.process(), session_.secret());
  resume_reading();  // the rest of the response is read and discarded
}

// ---- the response --------------------------------------------------------------------------------------
void EngineConnection::on_columns(const std::vector<sql::Column>& columns) {
  if (!attempt_ || attempt_->response_unwanted()) return;
  if (auto& table = attempt_->response.table)
    table->columns = columns;
  else
    attempt_->rows.columns(attempt_->response.json, columns);
}

void EngineConnection::on_row(sql::RowReader row) {
  if (!attempt_ || attempt_->response_unwanted() || malformed_row_) return;
  auto& table = attempt_->response.table;
  if (table ? !table->add(row) : !attempt_->rows.row(attempt_->response.json, row)) {
    malformed_row_ = true;
    session_.give_up();
  }
  if (table && table->bytes() > attempt_->request->max_response_bytes) return reject_oversized_response();
  if (attempt_->response.json.size() >= shard_.config().listen.hold) pause_if_buffer_full();
}

void EngineConnection::on_complete(std::string_view tag) {
  if (!attempt_ || attempt_->response_unwanted()) return;
  if (auto& table = attempt_->response.table)
    table->command = tag;
  else
    attempt_->rows.complete(attempt_->response.json, tag);
}

// Reports a response that exceeds `max_response_bytes` as an error of the statement, and cancels the
// statement at the engine.
void EngineConnection::reject_oversized_response() {
  const auto attempt = attempt_;
  attempt->response.table = nullptr;
  attempt->response.truncated = true;
  attempt->response.sqlstate = kResponseTooLarge;
  attempt->response.error = "the rows are more than is taken here";
  shard_.end_attempt(attempt, sql::StatementResult::statement_error, kResponseTooLarge);
  cancel(attempt);
}

void EngineConnection::on_error(const sql::ErrorText& error) {
  error_code_ = error.code;
  if (!attempt_ || attempt_->state == AttemptState::finished) return;
  attempt_->response.sqlstate = error.code;
  attempt_->response.error = error.message;
}

void EngineConnection::on_notice(const sql::ErrorText& notice) {
  if (attempt_) shard_.report_progress(attempt_, notice);
}

void EngineConnection::on_parameter(std::string_view name, std::string_view value) {
  if (attempt_) shard_.handle_engine_parameter(attempt_, name, value);
}

void EngineConnection::on_statement_end() {
  const bool cancelling = state_ == EngineConnectionState::cancelling;
  shard_.metrics().settings_rejected->Increment(session_.settings_refused());
  if (attempt_ && !attempt_->response_unwanted() && error_code_.empty() && !attempt_->response.table)
    attempt_->rows.finish(attempt_->response.json);
  forward_rows();
  // A connection is not reused after a cancel request: the request may reach the engine after the statement
  // is complete and would then cancel the next statement on the connection. The response itself is still
  // valid. Nor is it reused if a part of the statement is not written yet: that part would be written later,
  // and the statement would run although its attempt has ended.
  const bool written = state_ != EngineConnectionState::sending;
  auto* pool = shard_.pool(engine_);
  const bool usable =
      written && session_.reusable() && pool != nullptr && pool->accepts_work && pool->address == address_;
  if (!cancelling && usable) {
    apply(state_, EngineConnectionEvent::statement_finished);
    idle_since_ = shard_.now();
    pool->idle.push_back(shared_from_this());
  }
  if (!error_code_.empty())
    end_attempt(sql::StatementResult::statement_error, error_code_);
  else if (!written)
    end_attempt(sql::StatementResult::broken);  // no result can belong to a statement that is incomplete
  else
    end_attempt(cancelling ? sql::StatementResult::cancelled : sql::StatementResult::complete);
  if (cancelling || !usable) close(EngineConnectionEvent::finished_unusable);
}

// Buffers a response up to `listen.hold` bytes, so that a failed attempt can be retried without the client
// noticing. When the buffer is full, asks the decision loop for permission to stream the response, and pauses
// reading until the permission arrives. A response that is streamed is read only as fast as the client reads.
void EngineConnection::pause_if_buffer_full() {
  if (attempt_->response_unwanted()) return;
  if (attempt_->state == AttemptState::streaming) return forward_rows();
  pause_reading();
  if (attempt_->state == AttemptState::awaiting_permission) return;
  apply(attempt_->state, AttemptEvent::exceed_buffer);
  shard_.publish(ResponseOverflowed{attempt_->ticket, attempt_->number});
}

void EngineConnection::begin_stream() {
  if (!attempt_ || attempt_->response_unwanted() || !apply(attempt_->state, AttemptEvent::allow_stream))
    return;
  attempt_->request->streaming_since = shard_.now();
  const auto& client = attempt_->request->client;
  client->begin_response(attempt_->request);
  forward_rows();
  if (!reading_paused_ || client->backlog(attempt_->request) < shard_.config().listen.high_water)
    resume_reading();
}

// Forwards the rows received so far of a streamed response. Pauses reading while the client is slow.
void EngineConnection::forward_rows() {
  if (!attempt_ || attempt_->state != AttemptState::streaming) return;
  const auto& client = attempt_->request->client;
  client->send_chunk(attempt_->request, std::exchange(attempt_->response.json, {}));
  if (client->closed() || client->backlog(attempt_->request) < shard_.config().listen.high_water) return;
  pause_reading();
  client->on_drained([weak = weak_from_this()] {
    if (auto self = weak.lock()) self->resume_reading();
  });
}

void EngineConnection::pause_reading() {
  if (std::exchange(reading_paused_, true)) return;
  stream_->set_reading(false);
}

// Deferred, because the caller may be parsing or closing.
void EngineConnection::resume_reading() {
  if (!std::exchange(reading_paused_, false)) return;
  shard_.environment().defer([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self || self->reading_paused_ || self->state_ == EngineConnectionState::closed) return;
    self->parse();
    if (!self->reading_paused_ && self->state_ != EngineConnectionState::closed)
      self->stream_->set_reading(true);
  });
}

}  // namespace heronwell::path
