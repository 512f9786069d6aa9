#include "bench/simulator_codec.hpp"

#include <algorithm>
#include <bit>
#include <limits>
#include <utility>

namespace heronwell::wire {
// ---- reading ------------------------------------------------------------------------------------------
// Reads little-endian values from the front of a frame. All take functions throw Malformed if the frame ends
// too early.

class FrameBytes {
 public:
  explicit FrameBytes(std::span<const std::uint8_t> bytes) : bytes_(bytes) {}

  template <std::unsigned_integral T>
  T take() {
    const auto raw = take_span(sizeof(T));
    T value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) value = static_cast<T>(value | (T{raw[i]} << (8 * i)));
    return value;
  }
  double take_float() { return static_cast<double>(std::bit_cast<float>(take<std::uint32_t>())); }
  Time take_time() {
    const auto value = take<std::uint64_t>();
    if (value > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
      throw Malformed("frame: time out of range");
    return Time(static_cast<std::int64_t>(value));
  }
  std::span<const std::uint8_t> take_span(std::size_t count) {
    if (count > bytes_.size() - position_) throw Malformed("frame: a record extends beyond the frame");
    const auto out = bytes_.subspan(position_, count);
    position_ += count;
    return out;
  }
  std::string take_text(std::size_t count) {
    const auto raw = take_span(count);
    return {raw.begin(), raw.end()};
  }
  [[nodiscard]] std::size_t remaining() const { return bytes_.size() - position_; }

 private:
  std::span<const std::uint8_t> bytes_;
  std::size_t position_ = 0;
};

namespace {

// ---- the codes of events and actions in the simulator's protocol --------------------------------------
enum EventCode : std::uint8_t {
  start = 10,
  endpoint_update = 20,
  request_arrived = 30,
  response_began = 40,
  attempt_finished = 50,
  client_disconnected = 60,
  timer_fired = 70,
  health_check_result = 80,
  gossip_received = 90,
  stop = 100,
  attempt_progress = 110,
  endpoint_list = 120,
  instance_context = 130,  // the records that follow belong to this instance
};

enum ActionCode : std::uint8_t {
  send_gossip = 10,
  set_timer = 20,
  set_resources = 30,
  start_health_check = 40,
  cancel_attempt = 50,
  watch_endpoints = 60,
  reject = 70,
  fail_request = 80,
  reply_instance = 90,
  start_attempt = 100,
  log_decision = 110,
};

// A gossip record with this value instead of a router's index is for all routers.
constexpr std::uint32_t kAllRouters = std::numeric_limits<std::uint32_t>::max();

// Sizes of an endpoint in a list, of the header of a reply, and of the fields of a `response_began` record,
// which is skipped.
constexpr std::size_t kEndpointBytes = 23;
constexpr std::size_t kReplyHeaderBytes = 12;
constexpr std::size_t kResponseBeganBytes = 4 + 8 + 4 + 2;

AttemptResult read_result(FrameBytes& in) {
  switch (const auto code = in.take<std::uint16_t>(); code) {
    case 100:
      return AttemptResult::served;
    case 301:
      return AttemptResult::error;
    case 302:
      return AttemptResult::rejected;
    case 303:
      return AttemptResult::timed_out;
    case 304:
      return AttemptResult::not_connected;
    case 305:
      return AttemptResult::reset;
    case 306:
      return AttemptResult::cancelled;
    case 307:
      return AttemptResult::never_started;
    default:
      throw Malformed("frame: unknown attempt result " + std::to_string(code));
  }
}

std::vector<double> read_load(FrameBytes& in) {
  const auto count = in.take<std::uint8_t>();
  std::vector<double> out;
  out.reserve(count);
  for (unsigned i = 0; i < count; ++i) out.push_back(in.take_float());
  return out;
}

Endpoint read_endpoint(FrameBytes& in) {
  Endpoint endpoint;
  endpoint.engine = in.take<std::uint32_t>();
  endpoint.zone = in.take<std::uint16_t>();
  endpoint.machine_type = in.take<std::uint16_t>();
  endpoint.cell = in.take<std::uint16_t>();
  switch (const auto state = in.take<std::uint8_t>(); state) {
    case 0:
      endpoint.state = EndpointState::draining;
      break;
    case 2:
      endpoint.state = EndpointState::ready;
      break;
    case 3:
      endpoint.state = EndpointState::removed;
      break;
    default:
      throw Malformed("frame: unknown engine state " + std::to_string(state));
  }
  endpoint.weight = in.take_float();
  endpoint.last_started = in.take_time();
  return endpoint;
}

RequestArrived read_request_arrived(FrameBytes& in) {
  RequestArrived event;
  event.request = in.take<std::uint32_t>();
  event.class_index = in.take<std::uint16_t>();
  event.tenant = in.take<std::uint32_t>();
  event.order_key = in.take<std::uint64_t>();
  event.time_left = in.take_time();
  const Time estimated_work = in.take_time();
  event.estimated_memory_mb = in.take_float();
  const double group = in.take_float();
  event.data_group = group >= 0 && group < 1e9 ? static_cast<std::int64_t>(group) : 0;
  const auto flags = in.take<std::uint8_t>();
  if ((flags & 1U) != 0) event.estimated_work = estimated_work;
  event.client_retry = (flags & 2U) != 0;
  return event;
}

AttemptFinished read_attempt_finished(FrameBytes& in) {
  AttemptFinished event;
  event.request = in.take<std::uint32_t>();
  event.attempt = in.take<std::uint16_t>();
  event.engine = in.take<std::uint32_t>();
  event.result = read_result(in);
  event.latency = in.take_time();
  event.request_finished = in.take<std::uint8_t>() != 0;
  const auto used = in.take<std::uint32_t>();
  if (used != 0) {
    event.work = std::chrono::milliseconds(used / 4096);
    event.memory_mb = 4.0 * (used % 4096);
  }
  event.load = read_load(in);
  return event;
}

AttemptProgress read_attempt_progress(FrameBytes& in) {
  AttemptProgress event;
  event.request = in.take<std::uint32_t>();
  const auto kind = in.take<std::uint8_t>();
  if (kind < 1 || kind > 3) throw Malformed("frame: unknown progress kind " + std::to_string(kind));
  event.kind = kind == 1 ? ProgressKind::progress : kind == 2 ? ProgressKind::spill : ProgressKind::waiting;
  event.amount = in.take_float();
  event.engine = in.take<std::uint32_t>();
  event.attempt = in.take<std::uint16_t>();
  return event;
}

HealthCheckResult read_health_check_result(FrameBytes& in) {
  HealthCheckResult event;
  event.result = read_result(in);
  event.engine = in.take<std::uint32_t>();
  event.latency = in.take_time();
  event.load = read_load(in);
  return event;
}

template <std::unsigned_integral T>
void put(std::vector<std::uint8_t>& out, T value) {
  for (std::size_t i = 0; i < sizeof(T); ++i) out.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
}

void put_time(std::vector<std::uint8_t>& out, Time value) {
  put(out, static_cast<std::uint64_t>(std::max<std::int64_t>(0, value.count())));
}

void put_text(std::vector<std::uint8_t>& out, const std::string& text) {
  const auto size = std::min<std::size_t>(text.size(), std::numeric_limits<std::uint16_t>::max());
  put(out, static_cast<std::uint16_t>(size));
  out.insert(out.end(), text.begin(), text.begin() + static_cast<std::ptrdiff_t>(size));
}

// ---- writing ------------------------------------------------------------------------------------------
// Writes an action: its code, then its fields in the simulator's order. There is one overload for each
// action.
struct ActionWriter {
  std::vector<std::uint8_t>& out;

  void code(ActionCode value) const { out.push_back(value); }
  void operator()(const StartAttempt& action) const {
    code(start_attempt);
    put(out, action.request);
    put_time(out, action.deadline);
    put(out, action.engine);
  }
  void operator()(const CancelAttempt& action) const {
    code(cancel_attempt);
    put(out, action.request);
    put(out, action.attempt);
  }
  void operator()(const Reject& action) const {
    code(reject);
    put(out, action.request);
    put_time(out, action.retry_after);
  }
  void operator()(const FailRequest& action) const {
    code(fail_request);
    put(out, action.request);
  }
  void operator()(const SetResources& action) const {
    code(set_resources);
    put(out, action.request);
    put(out, std::bit_cast<std::uint32_t>(static_cast<float>(action.memory_mb)));
    put(out, action.priority);
  }
  void operator()(const SetTimer& action) const {
    code(set_timer);
    put(out, std::uint32_t{0});
    put_time(out, action.delay);
  }
  void operator()(const StartHealthCheck& action) const {
    code(start_health_check);
    put(out, action.engine);
  }
  void operator()(const SendGossip& action) const {
    code(send_gossip);
    put(out, action.to_router.value_or(kAllRouters));
    put_text(out, action.bytes);
  }
  void operator()(const WatchEndpoints& action) const {
    code(watch_endpoints);
    put(out, static_cast<std::uint8_t>(action.enabled ? 1 : 0));
  }
  void operator()(const LogDecision& action) const {
    code(log_decision);
    put_text(out, action.text);
  }
};

}  // namespace

std::size_t frame_length(std::span<const std::uint8_t> first_bytes) {
  const std::size_t length = FrameBytes(first_bytes).take<std::uint32_t>();
  if (length < kHeaderBytes || length > kMaxFrameBytes)
    throw Malformed("frame: a length of " + std::to_string(length) + " is out of range");
  return length;
}

Batch BatchReader::read(std::span<const std::uint8_t> frame) {
  if (frame_length(frame) != frame.size()) throw Malformed("frame: truncated");
  FrameBytes in(frame);
  in.take<std::uint32_t>();
  const auto count = in.take<std::uint32_t>();
  Batch batch;
  batch.now = in.take_time();
  batch.sequence = in.take<std::uint32_t>();
  batch.records.reserve(std::min<std::size_t>(count, in.remaining()));
  std::optional<std::uint32_t> instance;
  for (std::uint32_t i = 0; i < count; ++i) {
    const auto code = in.take<std::uint8_t>();
    if (code == instance_context) {
      instance = in.take<std::uint32_t>();
    } else if (code == endpoint_list) {
      read_endpoint_list(in);
    } else if (code == response_began) {
      in.take_span(kResponseBeganBytes);  // the simulator streams no responses
    } else {
      auto event = read_event(code, in);
      if (!instance) throw Malformed("frame: event before the first instance record");
      batch.records.push_back({*instance, std::move(event)});
    }
  }
  if (in.remaining() != 0) throw Malformed("frame: extra bytes after the last record");
  return batch;
}

SimulatorEvent BatchReader::read_event(std::uint8_t code, FrameBytes& in) const {
  switch (code) {
    case start: {
      Start start;
      start.seed = in.take<std::uint64_t>();
      start.settings = parse_settings(in.take_text(in.take<std::uint32_t>()));
      return start;
    }
    case stop:
      return Stop{};
    case endpoint_update:
      return Event(read_endpoint_update(in));
    case request_arrived:
      return Event(read_request_arrived(in));
    case attempt_finished:
      return Event(read_attempt_finished(in));
    case client_disconnected:
      return Event(ClientDisconnected{in.take<std::uint32_t>()});
    case timer_fired:
      in.take<std::uint32_t>();  // the timer's number, which the decision engine does not use
      return Event(TimerFired{});
    case health_check_result:
      return Event(read_health_check_result(in));
    case gossip_received: {
      const auto from_router = in.take<std::uint32_t>();
      return Event(GossipReceived{from_router, in.take_text(in.take<std::uint16_t>())});
    }
    case attempt_progress:
      return Event(read_attempt_progress(in));
    default:
      throw Malformed("frame: unknown event code " + std::to_string(code));
  }
}

void BatchReader::read_endpoint_list(FrameBytes& in) {
  const auto number = in.take<std::uint32_t>();
  const auto rows = in.take<std::uint32_t>();
  if (number >= lists_.size())
    throw Malformed("frame: unknown endpoint list number " + std::to_string(number));
  if (rows > in.remaining() / kEndpointBytes)
    throw Malformed("frame: an endpoint list extends beyond the frame");
  std::vector<Endpoint> list;
  for (std::uint32_t row = 0; row < rows; ++row) list.push_back(read_endpoint(in));
  lists_[number] = std::move(list);
}

EndpointUpdate BatchReader::read_endpoint_update(FrameBytes& in) const {
  const auto mode = in.take<std::uint8_t>();
  const auto number = in.take<std::uint32_t>();
  in.take<std::uint32_t>();
  if (mode > 3) throw Malformed("frame: unknown endpoint list mode " + std::to_string(mode));
  EndpointUpdate update{static_cast<UpdateKind>(mode), {}};
  if (update.kind == UpdateKind::failed) return update;
  if (number >= lists_.size() || !lists_[number])
    throw Malformed("frame: unknown endpoint list number " + std::to_string(number));
  update.endpoints = *lists_[number];
  return update;
}

void ReplyWriter::begin_instance(std::uint32_t id) {
  body_.push_back(reply_instance);
  put(body_, id);
  ++records_;
}

void ReplyWriter::add_action(const Action& action) {
  std::visit(ActionWriter{body_}, action);
  ++records_;
}

std::vector<std::uint8_t> ReplyWriter::finish(std::uint32_t sequence) {
  std::vector<std::uint8_t> frame;
  frame.reserve(kReplyHeaderBytes + body_.size());
  put(frame, static_cast<std::uint32_t>(kReplyHeaderBytes + body_.size()));
  put(frame, records_);
  put(frame, sequence);
  frame.insert(frame.end(), body_.begin(), body_.end());
  return frame;
}

}  // namespace heronwell::wire
