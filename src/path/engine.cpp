#include "path/engine.hpp"

#include <algorithm>
#include <utility>

#include "path/client.hpp"

namespace heronwell::path {
namespace {

constexpr std::size_t kKeptBytes = 8 << 10;  // of memory for what is read, between messages

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

void EngineConnection::dial(AttemptPtr attempt) {
  attempt_ = std::move(attempt);
  attempt_->connection = weak_from_this();
  attempt_->dialled = true;
  step(attempt_->state, TryEvent::dial);
  timer_ = shard_.world().timer([this] {
    const auto self = shared_from_this();
    lost();
  });
  limit(shard_.config().engines.dial_timeout);
  wire_ = shard_.world().dial(address_);
  wire_->attach(weak_from_this());
}

void EngineConnection::limit(Time after) { timer_->set(shard_.now() + after); }

void EngineConnection::connected() {
  if (!step(state_, LinkEvent::connected)) return;
  const auto& engines = shard_.config().engines;
  session_.start(
      out_,
      {{"user", engines.user}, {"database", engines.database}, {"application_name", shard_.config().name}});
  wire_->read(true);
  if (!flush()) lost();
}

void EngineConnection::received(std::string_view bytes) {
  in_ += bytes;
  feed();
}

void EngineConnection::feed() {
  if (state_ == Link::closed || paused_) return;
  const auto used = session_.feed(in_, *this, paused_);
  in_.erase(0, used);
  if (in_.empty() && in_.capacity() > kKeptBytes) in_.shrink_to_fit();
  forward();
  if (state_ == Link::starting && session_.state() == sql::SessionState::idle) dialled();
  if (state_ == Link::closed) return;
  if (malformed_ || session_.state() == sql::SessionState::over) return lost();
  if (state_ == Link::idle && !in_.empty()) lost();  // out of turn
}

void EngineConnection::over(bool) { lost(); }

void EngineConnection::writable() {
  awaiting_room_ = false;
  if (!flush()) lost();
}

// The start-up is done. Much may have happened meanwhile: the engine may have been drained, the request may
// be over. Nothing of the statement was written yet, and nothing will be then.
void EngineConnection::dialled() {
  timer_->cancel();
  step(state_, LinkEvent::ready);
  auto attempt = std::exchange(attempt_, nullptr);
  auto* pool = shard_.pool(engine_);
  const bool fit = pool != nullptr && pool->fit && pool->address == address_;
  if (attempt && (attempt->over() || !fit || attempt->until <= shard_.now())) {
    shard_.end_attempt(attempt, sql::Seen::not_written);
    attempt = nullptr;
  }
  if (!fit) return leave();
  if (attempt) {
    if (!send(attempt)) shard_.end_attempt(attempt, sql::Seen::not_dialled);
    return;
  }
  idle_since_ = shard_.now();
  pool->idle.push_back(shared_from_this());
}

bool EngineConnection::send(const AttemptPtr& attempt) {
  if (state_ != Link::idle || !session_.reusable() || !wire_->quiet()) {
    leave();
    return false;
  }
  session_.query(out_, attempt->settings, *attempt->statement);
  const auto whole = out_.size();
  if (!flush() && out_.size() == whole) {
    close(LinkEvent::lost);
    return false;
  }
  attempt->sent = shard_.now();
  attempt_ = attempt;
  attempt_->connection = weak_from_this();
  step(attempt_->state, TryEvent::write);
  step(state_, LinkEvent::write);
  error_code_.clear();
  return true;
}

bool EngineConnection::flush() { return path::flush(*wire_, out_, awaiting_room_); }

// Closed, reset, out of time or malformed: what that says of the attempt depends on how far it was.
void EngineConnection::lost() {
  if (state_ == Link::closed) return;
  if (state_ == Link::dialling || state_ == Link::starting) {
    if (error_code_.empty())
      end(attempt_ && attempt_->over() ? sql::Seen::not_written : sql::Seen::not_dialled);
    else
      end(sql::Seen::startup_error, error_code_);
  } else if (state_ == Link::cancelling) {
    end(sql::Seen::cancelled);
  } else if (!error_code_.empty()) {
    end(sql::Seen::statement_error, error_code_);  // FATAL: it said why before it closed
  } else {
    end(sql::Seen::broken);
  }
  close(LinkEvent::lost);
}

void EngineConnection::end(sql::Seen seen, std::string_view code) {
  if (auto attempt = std::exchange(attempt_, nullptr))
    shard_.end_attempt(attempt, seen, code, session_.was_cancelled());
}

void EngineConnection::leave() { close(LinkEvent::leave); }

void EngineConnection::close(LinkEvent why) {
  if (state_ == Link::closed) return;
  const auto self = shared_from_this();
  step(state_, why);
  if (auto* pool = shard_.pool(engine_)) {
    pool->all.erase(number_);
    std::erase(pool->idle, self);
  }
  if (session_.reusable() && out_.empty()) {
    std::string bye;
    sql::put_terminate(bye);
    const std::string_view piece = bye;
    (void)wire_->write({&piece, 1});
  }
  wire_->close(false);
  timer_->cancel();
}

void EngineConnection::stop(const AttemptPtr& attempt) {
  if (attempt_ != attempt || state_ == Link::closed) return;
  if (state_ == Link::dialling || state_ == Link::starting) {
    step(state_, LinkEvent::drop);  // its end is told now; the connection may serve another
    return end(sql::Seen::not_written);
  }
  if (!step(state_, LinkEvent::stop)) return;
  session_.cancel_sent();
  shard_.metrics().cancels->Increment();
  limit(shard_.config().engines.cancel_wait);
  shard_.request_cancel(address_, session_.process(), session_.secret());
  resume();  // what still comes is read and dropped
}

// ---- a cancel request ------------------------------------------------------------------------------------
CancelRequest::CancelRequest(Shard& shard, std::uint64_t number, std::uint32_t process, std::uint32_t secret)
    : shard_(shard), number_(number) {
  sql::put_cancel(out_, process, secret);
}

void CancelRequest::dial(const config::Address& address) {
  timer_ = shard_.world().timer([this] { close(); });
  timer_->set(shard_.now() + shard_.config().engines.dial_timeout);
  wire_ = shard_.world().dial(address);
  wire_->attach(weak_from_this());
}

void CancelRequest::connected() {
  wire_->read(true);
  writable();
}

void CancelRequest::writable() {
  bool awaiting_room = false;
  if (!flush(*wire_, out_, awaiting_room)) close();
}

void CancelRequest::received(std::string_view) { close(); }
void CancelRequest::over(bool) { close(); }

void CancelRequest::close() {
  const auto self = shared_from_this();
  timer_->cancel();
  wire_->close(false);
  shard_.forget_cancel(number_);
}

// ---- the answer ----------------------------------------------------------------------------------------
void EngineConnection::on_columns(const std::vector<sql::Column>& columns) {
  if (!attempt_ || attempt_->over()) return;
  if (auto& table = attempt_->content.table)
    table->columns = columns;
  else
    attempt_->rows.columns(attempt_->content.json, columns);
}

void EngineConnection::on_row(sql::RowReader row) {
  if (!attempt_ || attempt_->over() || malformed_) return;
  auto& table = attempt_->content.table;
  if (table ? !table->add(row) : !attempt_->rows.row(attempt_->content.json, row)) {
    malformed_ = true;
    session_.give_up();
  }
  if (table && table->bytes() > attempt_->exchange->most_bytes) return too_long();
  if (attempt_->content.json.size() >= shard_.config().listen.hold) pause_if_full();
}

void EngineConnection::on_complete(std::string_view tag) {
  if (!attempt_ || attempt_->over()) return;
  if (auto& table = attempt_->content.table)
    table->command = tag;
  else
    attempt_->rows.complete(attempt_->content.json, tag);
}

// More rows than whoever asked can take: told as the statement's own fault, and the engine is told to stop.
void EngineConnection::too_long() {
  const auto attempt = attempt_;
  attempt->content.table = nullptr;
  attempt->content.too_long = true;
  attempt->content.sqlstate = "54000";
  attempt->content.error = "the rows are more than is taken here";
  shard_.end_attempt(attempt, sql::Seen::statement_error, "54000");
  stop(attempt);
}

void EngineConnection::on_error(const sql::ErrorText& error) {
  error_code_ = error.code;
  if (!attempt_ || attempt_->state == Try::ended) return;
  attempt_->content.sqlstate = error.code;
  attempt_->content.error = error.message;
}

void EngineConnection::on_notice(const sql::ErrorText& notice) {
  if (attempt_) shard_.note(attempt_, notice);
}

void EngineConnection::on_parameter(std::string_view name, std::string_view value) {
  if (attempt_) shard_.parameter(attempt_, name, value);
}

void EngineConnection::on_statement_end() {
  const bool cancelling = state_ == Link::cancelling;
  shard_.metrics().settings_refused->Increment(session_.settings_refused());
  if (attempt_ && !attempt_->over() && error_code_.empty() && !attempt_->content.table)
    attempt_->rows.finish(attempt_->content.json);
  forward();
  // What came whole, cancelled or not, counts: the answer was on its way already.
  auto* pool = shard_.pool(engine_);
  const bool usable = session_.reusable() && pool != nullptr && pool->fit && pool->address == address_;
  if (!cancelling && usable) {
    step(state_, LinkEvent::end);
    idle_since_ = shard_.now();
    pool->idle.push_back(shared_from_this());
  }
  if (!error_code_.empty())
    end(sql::Seen::statement_error, error_code_);
  else
    end(cancelling ? sql::Seen::cancelled : sql::Seen::complete);
  if (cancelling || !usable) close(LinkEvent::spoilt);
}

// Held up to a size; then the strand is asked whether this answer may begin, and nothing is read meanwhile.
// Once it has begun, no more is read than the client takes.
void EngineConnection::pause_if_full() {
  if (attempt_->over()) return;
  if (attempt_->state == Try::streaming) return forward();
  pause();
  if (attempt_->state == Try::asking) return;
  step(attempt_->state, TryEvent::outgrow);
  shard_.tell(Outgrown{attempt_->ticket, attempt_->number});
}

void EngineConnection::stream() {
  if (!attempt_ || attempt_->over() || !step(attempt_->state, TryEvent::stream)) return;
  attempt_->exchange->stream_since = shard_.now();
  const auto& client = attempt_->exchange->client;
  client->begin(attempt_->exchange);
  forward();
  if (!paused_ || client->backlog(attempt_->exchange) < shard_.config().listen.high_water) resume();
}

// Passes on what has come of an answer that has begun; pauses while the client is behind.
void EngineConnection::forward() {
  if (!attempt_ || attempt_->state != Try::streaming) return;
  const auto& client = attempt_->exchange->client;
  client->piece(attempt_->exchange, std::exchange(attempt_->content.json, {}));
  if (client->closed() || client->backlog(attempt_->exchange) < shard_.config().listen.high_water) return;
  pause();
  client->on_drained([weak = weak_from_this()] {
    if (auto self = weak.lock()) self->resume();
  });
}

void EngineConnection::pause() {
  if (std::exchange(paused_, true)) return;
  wire_->read(false);
}

// Soon, not at once: whoever calls may be in the middle of something.
void EngineConnection::resume() {
  if (!std::exchange(paused_, false)) return;
  shard_.world().defer([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self || self->paused_ || self->state_ == Link::closed) return;
    self->feed();
    if (!self->paused_ && self->state_ != Link::closed) self->wire_->read(true);
  });
}

}  // namespace heronwell::path
