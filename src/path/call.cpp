#include "path/call.hpp"

#include <algorithm>
#include <utility>

#include "calls/calls.hpp"

namespace heronwell::path {
namespace {

using namespace std::chrono_literals;
constexpr Time kNewsWait = 250ms;     // an engine holds a question for news so long
constexpr Time kAnswerSlack = 600ms;  // and its answer is awaited so much longer, before it is asked again
constexpr Time kPageWait = 600ms;     // a page is at hand
constexpr Time kForgets = 2050ms;     // an engine gives up what was not asked for in 2 s
constexpr Time kRemoveAgain = 100ms;  // between two tries to have an attempt given up
constexpr Time kRemoveTurn = 20ms;    // until a removal without a descriptor looks again
constexpr int kDialParts = 3;         // of a dial's time, after each of which another is begun beside it
constexpr unsigned kMostAgain = 4;    // questions asked again for one attempt
constexpr unsigned kMostInterim = 8;
constexpr Time kRest = 50ms;  // an engine may answer twice, the network's slack later

http::Limits limits() {
  http::Limits limits;
  limits.start_line = 1 << 10;
  limits.header_bytes = 4 << 10;
  limits.header_count = 40;
  limits.body = 2 * calls::kPageBytes;
  return limits;
}

std::string host_of(const config::Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

}  // namespace

CallConnection::CallConnection(Shard& shard, const EnginePool& pool, std::uint64_t number)
    : shard_(shard),
      engine_(pool.id),
      number_(number),
      address_(pool.address),
      parser_(http::Role::response, limits()) {
  shard_.metrics().engine_connections->Increment();
  shard_.metrics().dials->Increment();
}

CallConnection::~CallConnection() { shard_.metrics().engine_connections->Decrement(); }

void CallConnection::dial(AttemptPtr attempt) {
  attempt_ = std::move(attempt);
  attempt_->connection = weak_from_this();
  if (attempt_->state == Try::fresh) {
    attempt_->dialled = true;
    step(attempt_->state, TryEvent::dial);
  }
  timer_ = shard_.world().timer([this] {
    const auto self = shared_from_this();
    expired();
  });
  const auto longest = shard_.config().engines.dial_timeout;
  begins_ = attempt_->ticket != 0 && attempt_->sent == Time::zero();
  if (begins_ && attempt_->dials++ == 0) attempt_->dial_until = shard_.now() + longest;
  limit(begins_ ? std::min(longest / kDialParts, attempt_->dial_until - shard_.now()) : longest);
  wire_ = shard_.world().dial(address_);
  wire_->attach(weak_from_this());
}

// One connection may be late to come up where the next is not: another is opened beside it before the engine
// is taken to be out of reach. The first that comes up starts the attempt.
void CallConnection::expired() {
  const bool dialling = state_ == Link::dialling && begins_ && attempt_ != nullptr;
  if (!dialling || shard_.now() >= attempt_->dial_until || attempt_->over()) return lost(Lost::silent);
  const auto left = attempt_->dial_until - shard_.now();
  limit(left);
  if (attempt_->sent == Time::zero() && left >= shard_.config().engines.dial_timeout / kDialParts)
    shard_.dial_beside(attempt_);
}

void CallConnection::connected() {
  if (!step(state_, LinkEvent::connected)) return;
  timer_->cancel();
  step(state_, LinkEvent::ready);
  wire_->read(true);
  idle_since_ = shard_.now();
  auto* pool = shard_.pool(engine_);
  const bool known = pool != nullptr && pool->address == address_;
  const bool fit = known && pool->fit;
  auto attempt = std::exchange(attempt_, nullptr);
  if (attempt && begins_) {
    --attempt->dials;
    if (attempt->sent > Time::zero()) attempt = nullptr;  // begun on a connection that came up before
  }
  const bool started = attempt && attempt->sent > Time::zero();
  if (attempt && !started && (attempt->over() || !fit || !shard_.may_begin(*attempt))) {
    shard_.end_attempt(attempt, calls::judge(calls::Seen::not_written));
    attempt = nullptr;
  }
  if (!attempt && !fit) return leave();
  if (!attempt) return pool->idle.push_back(shared_from_this());
  if (!started && shard_.reads_first(attempt)) return pool->idle.push_back(shared_from_this());
  if (send(attempt)) return;
  // Reset while new, before a byte was written: nothing ran by it.
  if (++attempt->again <= kMostAgain) return shard_.ask_again(attempt);
  shard_.end_attempt(attempt, calls::judge(started ? calls::Seen::broken : calls::Seen::not_dialled));
}

bool CallConnection::send(const AttemptPtr& attempt) {
  if (state_ != Link::idle || !in_.empty() || !wire_->quiet()) {
    leave();
    return false;
  }
  attempt_ = attempt;
  attempt_->connection = weak_from_this();
  step(state_, LinkEvent::write);
  if (ask()) return true;
  attempt_ = nullptr;
  close(LinkEvent::lost);
  return false;
}

bool CallConnection::ask() {
  const auto now = shard_.now();
  const auto host = host_of(address_);
  const bool starts = attempt_->sent == Time::zero();
  auto wait = kNewsWait + kAnswerSlack;
  if (attempt_->ticket == 0) {
    calls::put_probe(out_, host, !shard_.config().module.load_fields.empty());
  } else if (starts) {
    const auto& exchange = *attempt_->exchange;
    const auto budget = std::max<std::int64_t>(1, (attempt_->until - now) / 1ms);
    calls::put_start(out_, host,
                     {exchange.id, shard_.config().module.classes[exchange.cls].name, exchange.key}, budget,
                     attempt_->memory_limit_mb, attempt_->statement->text);
  } else if (attempt_->pages == 0) {
    calls::put_news(out_, host, attempt_->exchange->id);
  } else {
    calls::put_page(out_, host, attempt_->exchange->id, attempt_->page);
    wait = kPageWait;
  }
  const auto whole = out_.size();
  if (!flush() && out_.size() == whole) return false;
  starting_ = starts && attempt_->ticket != 0 && !out_.empty();
  if (starts) {
    attempt_->sent = now;
    step(attempt_->state, TryEvent::write);
  }
  attempt_->asked = now;
  interim_ = 0;
  body_.clear();
  limit(wait);
  return true;
}

Time CallConnection::rested_at() const { return idle_since_ + (answered_ ? kRest : Time::zero()); }

bool CallConnection::flush() { return path::flush(*wire_, out_, awaiting_room_); }

// A start that is not whole never runs, and is not made whole once it may not begin any more.
void CallConnection::writable() {
  awaiting_room_ = false;
  if (starting_ && !shard_.may_begin(*attempt_)) {
    const auto attempt = std::exchange(attempt_, nullptr);
    close(LinkEvent::leave);
    return shard_.end_attempt(attempt, calls::judge(calls::Seen::not_written));
  }
  if (!flush()) return lost(Lost::broken);
  starting_ = starting_ && !out_.empty();
}

void CallConnection::over(bool) {
  const bool dialling = state_ == Link::dialling;
  const auto failure = dialling ? wire_->dial_failure() : DialFailure::unknown;
  lost(failure == DialFailure::refused ? Lost::refused
       : failure == DialFailure::local ? Lost::local
                                       : Lost::broken);
}

void CallConnection::received(std::string_view bytes) {
  const auto self = shared_from_this();
  if (state_ != Link::busy) return lost(Lost::broken);  // out of turn
  in_ += bytes;
  feed();
}

void CallConnection::feed() {
  std::size_t used = 0;
  while (state_ == Link::busy) {
    const auto read = parser_.next(std::string_view(in_).substr(used));
    used += read.consumed;
    using Event = http::Parser::Event;
    if (read.event == Event::error) return lost(Lost::broken);
    if (read.event == Event::need_more) break;
    if (read.event == Event::body) body_.append(read.body);
    if (read.event != Event::end) continue;
    if (parser_.status() < 200) {
      if (++interim_ > kMostInterim) return lost(Lost::broken);
      continue;
    }
    in_.erase(0, used);
    return answered();
  }
  in_.erase(0, used);
}

// The answer of the call that is out has come whole. What lies behind it is not its own: the connection can't
// be trusted any more, the answer can.
void CallConnection::answered() {
  timer_->cancel();
  answered_ = true;
  if (attempt_->ticket == 0) return probed();
  if (attempt_->pages == 0) return news();
  page();
}

void CallConnection::probed() {
  if (parser_.status() == 200)
    attempt_->load = calls::read_report(parser_, shard_.config().module.load_fields);
  const bool sound = parser_.status() == 200 || parser_.status() == 503;
  finish(parser_.status() == 200 ? Result::served : sound ? Result::error : Result::reset);
}

void CallConnection::news() {
  const auto& settings = shard_.config().module;
  const auto news = calls::read_news(parser_, body_);
  using What = calls::News::What;
  if (news.what == What::spoilt) return lost(Lost::broken);
  if (settings.load_in_answers)
    if (auto load = calls::read_report(parser_, settings.load_fields); !load.empty())
      attempt_->load = std::move(load);
  if (news.what == What::end) return finish(calls::judge(news.seen));
  if (news.what == What::whole) {
    attempt_->pages = news.pages;
    attempt_->page = 1;
    attempt_->content.json = std::move(body_);
    if (attempt_->page == attempt_->pages) return finish(calls::judge(calls::Seen::complete));
  } else if (news.note) {
    shard_.note(attempt_, *news.note, news.amount);
  }
  if (!in_.empty() || !parser_.keep_alive() || !ask()) lost(Lost::broken);
}

void CallConnection::page() {
  // An engine that lost the page says so: what it made is gone, and it has run.
  if (parser_.status() == 500) return finish(calls::judge(calls::Seen::error));
  if (!calls::is_page(parser_, body_, attempt_->page) ||
      attempt_->content.json.size() + body_.size() > calls::kResultBytes)
    return lost(Lost::broken);
  attempt_->content.json += body_;
  if (++attempt_->page == attempt_->pages) return finish(calls::judge(calls::Seen::complete));
  if (!in_.empty() || !parser_.keep_alive() || !ask()) lost(Lost::broken);
}

void CallConnection::finish(Result result) {
  const auto attempt = std::exchange(attempt_, nullptr);
  auto* pool = shard_.pool(engine_);
  const bool usable =
      in_.empty() && parser_.keep_alive() && pool != nullptr && pool->fit && pool->address == address_;
  if (usable) {
    step(state_, LinkEvent::end);
    idle_since_ = shard_.now();
    std::string().swap(body_);
    pool->idle.push_back(shared_from_this());
    shard_.relieved();
  }
  shard_.end_attempt(attempt, result);
  if (!usable) close(LinkEvent::spoilt);
}

// Lost, spoilt or silent. A query that was started may run on, and gives its news on another connection: it
// is asked for again, for as long as its time lasts where the engine is silent, a few times where it is not.
void CallConnection::lost(Lost how) {
  if (state_ == Link::closed) return;
  const bool dialling = state_ == Link::dialling || state_ == Link::starting;
  const auto attempt = std::exchange(attempt_, nullptr);
  close(LinkEvent::lost);
  if (!attempt) return;
  if (dialling && begins_) {
    --attempt->dials;
    if (attempt->dials > 0 || attempt->sent > Time::zero()) return;  // another goes on for it
  }
  if (how == Lost::local && !attempt->over()) return shard_.starve(attempt);
  if (attempt->sent == Time::zero()) {
    // Reset while new: nothing ran by it, and the engine may be well.
    if (dialling && how == Lost::broken && !attempt->over() && attempt->until > shard_.now() &&
        ++attempt->again <= kMostAgain)
      return shard_.ask_again(attempt);
    const auto seen = attempt->over() ? calls::Seen::not_written : calls::Seen::not_dialled;
    return shard_.end_attempt(attempt,
                              attempt->ticket == 0 && !dialling ? Result::reset : calls::judge(seen));
  }
  // Refused: the process that ran it is gone.
  const bool gone = how == Lost::refused;
  const bool again =
      !gone && attempt->until > shard_.now() && (how == Lost::silent || attempt->again < kMostAgain);
  if (attempt->over() || !again) {
    const auto result = calls::judge(calls::Seen::broken);
    return gone || attempt->over() ? shard_.end_attempt(attempt, result) : shard_.remove(attempt, result);
  }
  if (how == Lost::broken) ++attempt->again;
  shard_.ask_again(attempt);
}

void CallConnection::leave() { close(LinkEvent::leave); }

void CallConnection::close(LinkEvent why) {
  if (state_ == Link::closed) return;
  const auto self = shared_from_this();
  // A call that is given up must not arrive later, as the system would go on sending it: it is reset.
  const bool cut_short = state_ == Link::busy && why != LinkEvent::spoilt;
  step(state_, why);
  if (auto* pool = shard_.pool(engine_)) {
    pool->all.erase(number_);
    std::erase(pool->idle, self);
  }
  wire_->close(cut_short);
  timer_->cancel();
  shard_.relieved();
}

void CallConnection::stop(const AttemptPtr& attempt) {
  if (attempt_ != attempt || state_ == Link::closed) return;
  attempt_ = nullptr;
  close(LinkEvent::leave);
  shard_.remove(attempt, calls::judge(calls::Seen::stopped));
}

// ---- giving up -----------------------------------------------------------------------------------------
CallRemoval::CallRemoval(Shard& shard, std::uint64_t number, AttemptPtr attempt, Result result)
    : shard_(shard),
      number_(number),
      attempt_(std::move(attempt)),
      result_(result),
      until_(attempt_->asked + kForgets) {
  timer_ = shard_.world().timer([this] { tick(); });
}

void CallRemoval::dial() {
  if (!shard_.removal_room()) return timer_->set(std::min(until_, shard_.now() + kRemoveTurn));
  connected_ = false;
  out_.clear();
  calls::put_delete(out_, host_of(attempt_->address), attempt_->exchange->id);
  timer_->set(std::min(until_, shard_.now() + shard_.config().engines.dial_timeout));
  wire_ = shard_.world().dial(attempt_->address);
  wire_->attach(weak_from_this());
  shard_.metrics().cancels->Increment();
}

void CallRemoval::connected() {
  connected_ = true;
  wire_->read(true);
  writable();
}

void CallRemoval::writable() {
  bool awaiting_room = false;
  if (!flush(*wire_, out_, awaiting_room)) over(true);
}

// Any answer tells that the call has come whole.
void CallRemoval::received(std::string_view) {
  answered_ = true;
  done();
}

void CallRemoval::over(bool) {
  if (done_) return;
  if (!connected_ && wire_->dial_failure() == DialFailure::refused) return done();  // its process is gone
  drop_wire(false);
  timer_->set(std::min(until_, shard_.now() + kRemoveAgain));
}

void CallRemoval::drop_wire(bool reset) {
  if (!wire_) return;
  wire_->close(reset);
  wire_ = nullptr;
}

void CallRemoval::tick() {
  const auto self = shared_from_this();
  if (shard_.now() >= until_) return done();
  if (wire_ && connected_) return timer_->set(until_);  // it may be slow to answer
  drop_wire(true);
  dial();
}

void CallRemoval::done() {
  if (std::exchange(done_, true)) return;
  const auto self = shared_from_this();
  drop_wire(!answered_);  // arriving later, it could end another query of this id
  timer_->cancel();
  shard_.removed(number_, attempt_, result_);
}

void CallRemoval::abandon() {
  done_ = true;
  drop_wire(true);
  timer_->cancel();
}

}  // namespace heronwell::path
