#include "path/frame_client.hpp"

#include <algorithm>
#include <utility>

#include "sql/group.hpp"

namespace heronwell::path {
namespace {

using namespace std::chrono_literals;
constexpr std::size_t kMostOpen = 32;        // requests on a connection, as the protocol has it
constexpr unsigned kMostWrong = 16;          // requests that can't be taken, before the connection is closed
constexpr std::size_t kDropped = 256 << 10;  // bytes read and dropped behind the last answer
constexpr std::size_t kKept = 4 << 10;       // of buffers, on a quiet connection
constexpr Time kLinger = 250ms;
constexpr Time kNewcomer = 150ms;  // its first request may be on the way

}  // namespace

FrameClient::FrameClient(Shard& shard, std::uint64_t number, WirePtr wire)
    : shard_(shard), number_(number), wire_(std::move(wire)) {
  shard_.metrics().connections->Increment();
  shard_.metrics().clients->Increment();
  began_ = active_ = progress_ = shard_.now();
}

FrameClient::~FrameClient() { shard_.metrics().clients->Decrement(); }

void FrameClient::start() {
  wire_->attach(weak_from_this());
  wire_->read(true);
}

void FrameClient::received(std::string_view bytes) {
  if (state_ != Door::reading) {  // read and dropped, within bounds
    dropped_ += bytes.size();
    if (dropped_ > kDropped) close(DoorEvent::leave, true);
    return;
  }
  active_ = shard_.now();
  if (in_.empty()) {
    const auto used = parse(bytes);
    if (state_ == Door::reading) in_.assign(bytes.substr(used));
    frame_since_ = active_;
  } else {
    in_ += bytes;
    const auto used = parse(in_);
    in_.erase(0, used);
    if (used > 0) frame_since_ = active_;
  }
  recount();
  if (in_.size() > kKept && shard_.holds_too_much()) misused("a frame that is not whole, and no memory left");
  if (state_ != Door::reading) std::string().swap(in_);
  if (in_.empty() && in_.capacity() > kKept) std::string().swap(in_);
  pump();
}

std::size_t FrameClient::parse(std::string_view in) {
  std::size_t used = 0;
  while (state_ == Door::reading) {
    const auto taken = frames::take(in.substr(used));
    if (taken.what == frames::Taken::What::need_more) break;
    if (taken.what == frames::Taken::What::error) {
      misused(taken.wrong);
      break;
    }
    used += taken.used;
    spoke_ = spoke_ || taken.frame.type != frames::Type::leave;
    dispatch(taken.frame);
  }
  return used;
}

void FrameClient::dispatch(const frames::Frame& frame) {
  if (frame.type == frames::Type::ask_ready) {
    if (out_.size() > shard_.config().listen.high_water) return misused("answers are not read");
    return frames::put_ready(out_, frame.stream, shard_.ready());
  }
  if (frame.type == frames::Type::request) return request(frame);
  const auto found = open_.find(frame.stream);
  if (found == open_.end()) {  // its answer may have crossed it
    if (frame.stream > last_stream_ && ++wrong_ > kMostWrong) misused("streams that were never opened");
    return;
  }
  const auto exchange = found->second;
  settled(found);
  exchange->asker = nullptr;
  if (exchange->ticket != 0) shard_.left(exchange);
}

void FrameClient::request(const frames::Frame& frame) {
  if (frame.stream <= last_stream_) return misused("stream: expected a number that is new");
  last_stream_ = frame.stream;
  frames::Request read;
  if (const auto why = frames::read_request(frame, read); !why.empty()) return turn_away(frame.stream, why);
  const auto& settings = shard_.config().module;
  const auto cls = std::ranges::find(settings.classes, read.cls, &ClassSettings::name);
  if (cls == settings.classes.end()) return turn_away(frame.stream, "c: expected a class of the settings");
  const auto tenant = std::ranges::find(settings.tenants, read.tenant, &TenantSettings::name);
  if (tenant == settings.tenants.end() && !(settings.tenants.empty() && read.tenant.empty()))
    return turn_away(frame.stream, "t: expected a tenant of the settings");
  if (open_.size() >= kMostOpen) return turn_away(frame.stream, "expected at most 32 open requests");
  std::string id(read.id);
  // Of an id that may have run nobody may say that a new try does no harm.
  const bool safe = cls->effect == Effect::safe;
  if (shard_.id_open(id))
    return turn_away(frame.stream, "i: expected an id that is new",
                     safe ? frames::Code::refused : frames::Code::failed);
  if (shard_.may_have_run(id))
    return turn_away(frame.stream, "i: expected an id that can't have run", frames::Code::failed);
  auto exchange = std::make_shared<Exchange>();
  exchange->asker = shared_from_this();
  exchange->call = frame.stream;
  exchange->id = std::move(id);
  exchange->key = read.key;
  exchange->statement = std::make_shared<const sql::Statement>(sql::Statement{std::string(frame.body)});
  exchange->began = shard_.unread_since();
  open_.emplace(frame.stream, exchange);
  statements_ += frame.body.size();
  router::Ask ask;
  ask.asked.cls = static_cast<ClassIndex>(cls - settings.classes.begin());
  ask.asked.tenant = static_cast<std::uint32_t>(tenant - settings.tenants.begin());
  ask.asked.time_left = std::chrono::milliseconds(read.wait_ms);
  ask.asked.data_group = sql::table_group(frame.body).value_or(0);
  shard_.take(exchange, std::move(ask));
}

// Never taken, so a new try does no harm; one that goes on sending what can't be taken loses its connection.
void FrameClient::turn_away(std::uint32_t stream, std::string_view why, frames::Code code) {
  shard_.metrics().rejected->Increment();
  frames::put_answer(out_, stream, code, {}, why);
  if (++wrong_ > kMostWrong) misused("too many requests that can't be taken");
}

// What can't be read, or breaks the protocol: an error on stream 0, then the connection is closed.
void FrameClient::misused(std::string_view why) {
  if (state_ != Door::reading) return;
  shard_.metrics().rejected->Increment();
  give_up_owed();
  frames::put_answer(out_, 0, frames::Code::failed, {}, why);
  step(state_, DoorEvent::last_answer);
  pump();
}

// Closed from here once nothing is owed: the client is told, all that was written arrives, and what crosses
// the end is read and dropped. A close at once would reset the connection over unread bytes.
void FrameClient::retire() {
  if (state_ != Door::reading || !step(state_, DoorEvent::last_request)) return;
  std::string().swap(in_);
  end_in_order();
}

void FrameClient::end_in_order() {
  if (state_ != Door::last || !open_.empty()) return;
  frames::put_go_away(out_);
  step(state_, DoorEvent::last_answer);
  pump();
}

void FrameClient::served(const ExchangePtr& exchange, Content content) {
  answer(exchange, frames::Code::served, {}, content.json);
}

void FrameClient::unserved(const ExchangePtr& exchange, const router::Problem& problem) {
  const bool refused = problem.outcome == "refused" || problem.outcome == "rejected";
  const auto pause = std::to_string((problem.pause + 1ms - Time(1)) / 1ms);
  std::vector<frames::Field> fields;
  if (refused && problem.pause > Time::zero()) fields.push_back({"w", pause});
  answer(exchange, refused ? frames::Code::refused : frames::Code::failed, fields, {});
}

void FrameClient::answer(const ExchangePtr& exchange, frames::Code code,
                         const std::vector<frames::Field>& fields, std::string_view body) {
  const auto self = shared_from_this();
  exchange->asker = nullptr;
  if (!step(exchange->reply, ReplyEvent::finish)) return;
  const auto stream = static_cast<std::uint32_t>(exchange->call);
  const auto found = open_.find(stream);
  if (closed() || found == open_.end() || found->second != exchange) return;
  settled(found);
  active_ = shard_.now();
  frames::put_answer(out_, stream, code, fields, body);
  pump();
  end_in_order();
}

void FrameClient::settled(std::map<std::uint32_t, ExchangePtr>::iterator which) {
  statements_ -= which->second->statement->text.size();
  open_.erase(which);
}

void FrameClient::recount() {
  const auto held = closed() ? 0 : in_.size() + out_.size() + statements_;
  shard_.hold(std::exchange(counted_, held), held);
}

void FrameClient::pump() {
  write_out();
  recount();
}

void FrameClient::write_out() {
  if (awaiting_room_ || closed()) return;
  while (!out_.empty()) {
    const std::string_view piece = out_;
    const auto wrote = wire_->write({&piece, 1});
    if (!wrote)
      return shard_.world().defer([weak = weak_from_this()] {
        if (auto self = weak.lock()) self->over(true);
      });
    if (*wrote == 0) {
      awaiting_room_ = true;
      return wire_->await_room();
    }
    progress_ = shard_.now();
    out_.erase(0, *wrote);
  }
  if (out_.capacity() > kKept) std::string().swap(out_);
  if (state_ != Door::flushing) return;
  step(state_, DoorEvent::flushed);
  active_ = shard_.now();
  wire_->shut();
}

void FrameClient::writable() {
  awaiting_room_ = false;
  pump();
}

void FrameClient::over(bool) {
  if (closed()) return;
  give_up_owed();
  close(DoorEvent::lost);
}

void FrameClient::give_up_owed() {
  const auto open = std::exchange(open_, {});
  statements_ = 0;
  for (const auto& [stream, exchange] : open) {
    exchange->asker = nullptr;
    if (exchange->ticket != 0) shard_.left(exchange);
  }
}

void FrameClient::abandon() {
  for (const auto& [stream, exchange] : open_) exchange->asker = nullptr;
  open_.clear();
  close(DoorEvent::leave);
}

void FrameClient::sweep(Time now) {
  const auto& listen = shard_.config().listen;
  if (state_ == Door::lingering) {
    if (now > active_ + kLinger) close(DoorEvent::leave);
    return;
  }
  if (!out_.empty()) {
    if (now > progress_ + listen.stall_time) over(true);  // reads nothing
    return;
  }
  if (!open_.empty()) return;
  // Says nothing, or stops in the middle of a frame.
  const auto since = spoke_ ? frame_since_ : began_;
  if ((!spoke_ || !in_.empty()) &&
      (now > active_ + listen.header_time || now > since + shard_.config().platform->frame_time))
    return misused("a frame did not come whole in time");
  if (now > active_ + listen.idle_time) retire();
}

std::optional<ClientSide::Idle> FrameClient::idle() const {
  if (!open_.empty() || !out_.empty() || (spoke_ && !in_.empty())) return std::nullopt;
  using Turn = Idle::Turn;
  const bool new_here = shard_.now() < began_ + kNewcomer;
  return Idle{spoke_     ? Turn::asked
              : new_here ? Turn::has_just_come
                         : Turn::never_asked,
              active_, state_ != Door::reading};
}

void FrameClient::close(DoorEvent why, bool reset) {
  if (closed()) return;
  const auto self = shared_from_this();
  step(state_, why);
  recount();
  wire_->close(reset);
  shard_.forget(number_);
}

}  // namespace heronwell::path
