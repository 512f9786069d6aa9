#include "daemon/engine.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "daemon/client.hpp"

namespace heronwell::daemon {
namespace {

constexpr std::size_t kReadBytes = 8 << 10;
constexpr auto kToken = asio::use_awaitable_t<Executor>{};

}  // namespace

EngineConnection::EngineConnection(Shard& shard, EnginePool& pool)
    : shard_(shard),
      engine_(pool.id),
      address_(pool.address),
      socket_(shard.context().get_executor()),
      timer_(shard.context().get_executor()),
      resume_(shard.context().get_executor()),
      session_(shard.config().engines.most_message) {
  pool.all.insert(this);
  shard_.metrics().engine_connections->Increment();
  shard_.metrics().dials->Increment();
}

EngineConnection::~EngineConnection() { shard_.metrics().engine_connections->Decrement(); }

void EngineConnection::dial(AttemptPtr attempt) {
  attempt_ = std::move(attempt);
  attempt_->connection = weak_from_this();
  attempt_->dialled = true;
  limit(shard_.config().engines.dial_timeout);
  asio::co_spawn(
      socket_.get_executor(), [self = shared_from_this()] { return self->run(); }, asio::detached);
}

void EngineConnection::limit(Time after) {
  timer_.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(after));
  timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
    if (error) return;
    if (auto self = weak.lock()) self->lost(asio::error::timed_out);
  });
}

asio::awaitable<void, Executor> EngineConnection::run() {
  boost::system::error_code error;
  co_await socket_.async_connect(address_, asio::redirect_error(kToken, error));
  if (error) co_return lost(error);
  socket_.set_option(asio::ip::tcp::no_delay(true), error);
  socket_.non_blocking(true, error);
  std::string hello;
  const auto& engines = shard_.config().engines;
  session_.start(
      hello,
      {{"user", engines.user}, {"database", engines.database}, {"application_name", shard_.config().name}});
  write(std::move(hello));
  std::string buffer(kReadBytes, '\0');
  std::size_t filled = 0;
  while (state_ != Link::closed) {
    if (paused_) {
      resume_.expires_at(Timer::time_point::max());
      co_await resume_.async_wait(asio::redirect_error(kToken, error));
    } else {
      if (filled == buffer.size()) buffer.resize(std::max(buffer.size() * 2, session_.wants()));
      const auto got = co_await socket_.async_read_some(asio::buffer(buffer) + filled,
                                                        asio::redirect_error(kToken, error));
      if (error) co_return lost(error);
      filled += got;
    }
    if (state_ == Link::closed) break;
    const auto used = session_.feed(std::string_view(buffer).substr(0, filled), *this, paused_);
    buffer.erase(0, used).resize(std::max(kReadBytes, buffer.size()));
    filled -= used;
    forward();
    if (state_ == Link::dialling && session_.state() == sql::SessionState::idle) dialled();
    if (state_ == Link::closed) break;
    if (malformed_ || session_.state() == sql::SessionState::over)
      co_return lost(asio::error::invalid_argument);
    if (state_ == Link::idle && filled > 0) co_return lost(asio::error::invalid_argument);  // out of turn
  }
}

// The start-up is done. Much may have happened meanwhile: the engine may have been drained, the request may
// be over. Nothing of the statement was written yet, and nothing will be then.
void EngineConnection::dialled() {
  timer_.cancel();
  state_ = Link::idle;
  auto attempt = std::exchange(attempt_, nullptr);
  auto* pool = shard_.pool(engine_);
  const bool fit = pool != nullptr && pool->fit && pool->address == address_;
  if (attempt && (attempt->stopped || !fit || attempt->until <= steady_now())) {
    shard_.end_attempt(attempt, sql::Seen::not_written);
    attempt = nullptr;
  }
  if (!fit) return close();
  if (attempt) {
    if (!send(attempt)) shard_.end_attempt(attempt, sql::Seen::not_dialled);
    return;
  }
  idle_since_ = steady_now();
  pool->idle.push_back(shared_from_this());
}

bool EngineConnection::send(const AttemptPtr& attempt) {
  char peek = 0;
  const auto got = ::recv(socket_.native_handle(), &peek, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool quiet = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  if (state_ != Link::idle || !session_.reusable() || !quiet) {
    close();
    return false;
  }
  std::string bytes;
  session_.query(bytes, attempt->settings, *attempt->statement);
  attempt->sent = steady_now();
  boost::system::error_code error;
  const auto wrote = socket_.write_some(asio::buffer(bytes), error);
  if (error && error != asio::error::would_block && wrote == 0) {
    close();
    return false;
  }
  attempt_ = attempt;
  attempt_->connection = weak_from_this();
  state_ = Link::busy;
  error_code_.clear();
  out_.append(bytes, wrote, std::string::npos);
  if (!out_.empty()) flush();
  return true;
}

void EngineConnection::write(std::string bytes) {
  out_ += bytes;
  flush();
}

void EngineConnection::flush() {
  if (writing_ || out_.empty() || state_ == Link::closed) return;
  writing_ = true;
  auto bytes = std::make_shared<std::string>(std::move(out_));
  out_.clear();
  asio::async_write(socket_, asio::buffer(*bytes),
                    [self = shared_from_this(), bytes](boost::system::error_code error, std::size_t) {
                      self->writing_ = false;
                      if (error) return self->lost(error);
                      self->flush();
                    });
}

// Closed, reset, out of time or malformed: what that says of the attempt depends on how far it was.
void EngineConnection::lost(const boost::system::error_code&) {
  if (state_ == Link::closed) return;
  if (state_ == Link::dialling) {
    if (error_code_.empty())
      end(attempt_ && attempt_->stopped ? sql::Seen::not_written : sql::Seen::not_dialled);
    else
      end(sql::Seen::startup_error, error_code_);
  } else if (state_ == Link::cancelling) {
    end(sql::Seen::cancelled);
  } else if (!error_code_.empty()) {
    end(sql::Seen::statement_error, error_code_);  // FATAL: it said why before it closed
  } else {
    end(sql::Seen::broken);
  }
  close();
}

void EngineConnection::end(sql::Seen seen, std::string_view code) {
  if (auto attempt = std::exchange(attempt_, nullptr))
    shard_.end_attempt(attempt, seen, code, session_.was_cancelled());
}

void EngineConnection::close() {
  if (std::exchange(state_, Link::closed) == Link::closed) return;
  const auto self = shared_from_this();
  if (auto* pool = shard_.pool(engine_)) {
    pool->all.erase(this);
    std::erase(pool->idle, self);
  }
  boost::system::error_code ignored;
  if (session_.reusable()) {
    std::string bye;
    sql::put_terminate(bye);
    socket_.write_some(asio::buffer(bye), ignored);
  }
  socket_.shutdown(Socket::shutdown_both, ignored);
  socket_.close(ignored);
  timer_.cancel();
  resume_.cancel();
}

void EngineConnection::stop(const AttemptPtr& attempt) {
  if (attempt_ != attempt || state_ == Link::closed) return;
  if (state_ == Link::dialling) {  // its end is told now; the connection may serve another
    end(sql::Seen::not_written);
    return;
  }
  if (state_ != Link::busy) return;
  state_ = Link::cancelling;
  session_.cancel_sent();
  shard_.metrics().cancels->Increment();
  limit(shard_.config().engines.cancel_wait);
  asio::co_spawn(
      socket_.get_executor(),
      [self = shared_from_this()] {
        return self->request_cancel(self->session_.process(), self->session_.secret());
      },
      asio::detached);
  resume();  // what still comes is read and dropped
}

// On a connection of its own, as the protocol has it.
asio::awaitable<void, Executor> EngineConnection::request_cancel(std::uint32_t process,
                                                                 std::uint32_t secret) {
  Socket socket(socket_.get_executor());
  Timer timer(socket_.get_executor());
  timer.expires_after(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(shard_.config().engines.dial_timeout));
  timer.async_wait([&socket](boost::system::error_code aborted) {
    boost::system::error_code ignored;
    if (!aborted) socket.close(ignored);
  });
  boost::system::error_code error;
  co_await socket.async_connect(address_, asio::redirect_error(kToken, error));
  if (error) co_return;
  std::string bytes;
  sql::put_cancel(bytes, process, secret);
  co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(kToken, error));
  char end = 0;  // the engine closes once it has heard
  if (!error) co_await socket.async_read_some(asio::buffer(&end, 1), asio::redirect_error(kToken, error));
  timer.cancel();
}

// ---- the answer ----------------------------------------------------------------------------------------
void EngineConnection::on_columns(const std::vector<sql::Column>& columns) {
  if (!attempt_ || attempt_->stopped) return;
  if (auto& table = attempt_->content.table)
    table->columns = columns;
  else
    attempt_->rows.columns(attempt_->content.json, columns);
}

void EngineConnection::on_row(sql::RowReader row) {
  if (!attempt_ || attempt_->stopped || malformed_) return;
  auto& table = attempt_->content.table;
  if (table ? !table->add(row) : !attempt_->rows.row(attempt_->content.json, row)) {
    malformed_ = true;
    session_.give_up();
  }
  if (table && table->bytes() > attempt_->exchange->most_bytes) return too_long();
  if (attempt_->content.json.size() >= shard_.config().listen.hold) pause_if_full();
}

void EngineConnection::on_complete(std::string_view tag) {
  if (!attempt_ || attempt_->stopped) return;
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
  attempt->stopped = true;
  shard_.end_attempt(attempt, sql::Seen::statement_error, "54000");
  stop(attempt);
}

void EngineConnection::on_error(const sql::ErrorText& error) {
  error_code_ = error.code;
  if (!attempt_ || attempt_->reported) return;
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
  if (attempt_ && !attempt_->stopped && error_code_.empty() && !attempt_->content.table)
    attempt_->rows.finish(attempt_->content.json);
  forward();
  // What came whole, cancelled or not, counts: the answer was on its way already.
  auto* pool = shard_.pool(engine_);
  const bool usable = session_.reusable() && pool != nullptr && pool->fit && pool->address == address_;
  if (!cancelling && usable) {
    state_ = Link::idle;
    idle_since_ = steady_now();
    pool->idle.push_back(shared_from_this());
  }
  if (!error_code_.empty())
    end(sql::Seen::statement_error, error_code_);
  else
    end(cancelling ? sql::Seen::cancelled : sql::Seen::complete);
  if (cancelling || !usable) close();
}

// Held up to a size; then the strand is asked whether this answer may begin, and nothing is read meanwhile.
// Once it has begun, no more is read than the client takes.
void EngineConnection::pause_if_full() {
  if (attempt_->stopped) return;
  if (attempt_->streaming) {
    forward();
    return;
  }
  paused_ = true;
  if (std::exchange(attempt_->asked_to_stream, true)) return;
  shard_.tell(Outgrown{attempt_->ticket, attempt_->number});
}

void EngineConnection::stream() {
  if (!attempt_ || attempt_->stopped) return;
  attempt_->streaming = true;
  attempt_->exchange->stream_since = steady_now();
  attempt_->exchange->client->begin(attempt_->exchange);
  forward();
  if (!paused_ || attempt_->exchange->client->backlog(attempt_->exchange) < shard_.config().listen.high_water)
    resume();
}

// Passes on what has come of an answer that has begun; pauses while the client is behind.
void EngineConnection::forward() {
  if (!attempt_ || !attempt_->streaming || attempt_->stopped) return;
  const auto& client = attempt_->exchange->client;
  client->piece(attempt_->exchange, std::exchange(attempt_->content.json, {}));
  if (client->closed() || client->backlog(attempt_->exchange) < shard_.config().listen.high_water) return;
  paused_ = true;
  client->on_drained([weak = weak_from_this()] {
    if (auto self = weak.lock()) asio::post(self->socket_.get_executor(), [self] { self->resume(); });
  });
}

void EngineConnection::resume() {
  if (!std::exchange(paused_, false)) return;
  resume_.cancel();
}

}  // namespace heronwell::daemon
