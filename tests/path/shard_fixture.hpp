// ShardFixture drives a shard with fake streams and a manual clock. Tests see the bytes that clients and engines
// receive, and the events that the decision loop receives.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

#include "path/shard.hpp"

namespace heronwell::path {

using namespace std::chrono_literals;

// A stream whose remote end is controlled by the test.
class FakeStream final : public Stream {
 public:
  void attach(std::weak_ptr<StreamObserver> observer) override { observer_ = std::move(observer); }
  std::optional<std::size_t> write(std::span<const std::string_view> pieces) override {
    if (connection_lost) return std::nullopt;
    if (write_blocked) return 0;
    if (partial_writes_left) return write_partially(pieces[0]);
    std::size_t bytes = 0;
    for (const auto piece : pieces) written += piece, bytes += piece.size();
    return bytes;
  }
  void notify_when_writable() override {}
  void set_reading(bool on) override { reading = on; }
  bool nothing_to_read() override { return !connection_lost && !has_unread_input; }
  std::size_t unread_bytes() override { return unread_byte_count; }
  void shut_down_writing() override { writing_shut_down = true; }
  void close(bool reset) override { closed = true, closed_by_reset = reset, observer_.reset(); }
  [[nodiscard]] DialFailure dial_failure() const override { return failure; }

  void connect() {
    notify([](StreamObserver& observer) { observer.on_connected(); });
  }
  void fail(DialFailure why) {
    failure = why;
    notify([](StreamObserver& observer) { observer.on_closed(true); });
  }
  void deliver(std::string_view bytes) {
    notify([&](StreamObserver& observer) { observer.on_data(bytes); });
  }
  void become_writable() {
    notify([](StreamObserver& observer) { observer.on_writable(); });
  }
  void reset() {
    connection_lost = true;
    notify([](StreamObserver& observer) { observer.on_closed(true); });
  }

  std::string written;
  config::Address address;
  bool connection_lost = false, writing_shut_down = false, closed = false;
  bool closed_by_reset = false;       // the shard closed it with `reset`, which discards undelivered data
  bool has_unread_input = false;      // the remote end has sent data that is not delivered yet
  std::size_t unread_byte_count = 0;  // of that data; 0 if only the end of the input is unread
  bool reading = false;
  bool write_blocked = false;  // the remote end does not read
  // If set to 1, the next write accepts 20 bytes. If set to 0, writes accept nothing.
  std::optional<unsigned> partial_writes_left;
  DialFailure failure = DialFailure::unknown;

 private:
  std::size_t write_partially(std::string_view piece) {
    if (std::exchange(*partial_writes_left, 0U) == 0) return 0;
    written += piece.substr(0, 20);
    return 20;
  }
  void notify(auto call) {
    if (const auto observer = observer_.lock()) call(*observer);
  }
  std::weak_ptr<StreamObserver> observer_;
};
using FakeStreamPtr = std::shared_ptr<FakeStream>;

// A timer that expires when the test fires it.
class ManualTimer final : public Timer {
 public:
  ManualTimer(std::vector<ManualTimer*>& all, std::function<void()> then)
      : all_(all), then_(std::move(then)) {
    all_.push_back(this);
  }
  ~ManualTimer() override { std::erase(all_, this); }
  void set(Time moment) override { due = moment; }
  void cancel() override { due.reset(); }
  std::optional<Time> due;
  void fire() {
    due.reset();
    then_();
  }

 private:
  std::vector<ManualTimer*>& all_;
  std::function<void()> then_;
};

class ShardFixture : public testing::Test, public ShardEnvironment {
 protected:
  // The fleet has the engines 7 and 8, which are ready.
  explicit ShardFixture(Config config)
      : config_(std::move(config)),
        metrics_(router::class_names(config_.module)),
        query_parser_(config_.module),
        tracer_({}, nullptr),
        shard_(*this, config_, metrics_, query_parser_, tracer_, 0, 1) {
    auto fleet = std::make_shared<EndpointMap>();
    for (const EngineId id : {7U, 8U}) {
      fleet::KnownEndpoint known;
      known.id = id;
      known.entry.host = "127.0.0." + std::to_string(id);
      known.entry.port = 10080;
      fleet->emplace(id, known);
    }
    execute(std::shared_ptr<const EndpointMap>(fleet));
  }

  Time now() override { return now_ += time_per_call_; }
  std::uint64_t random_bits() override { return 1; }
  void fill_random(std::span<unsigned char>) override {}
  StreamPtr dial(const config::Address& address) override {
    auto stream = std::make_shared<FakeStream>();
    stream->address = address;
    dialled_.push_back(stream);
    return stream;
  }
  TimerPtr create_timer(std::function<void()> then) override {
    return std::make_unique<ManualTimer>(timers_, std::move(then));
  }
  void defer(std::function<void()> then) override { deferred_.push_back(std::move(then)); }
  void publish(TimedEvent event) override { published_events_.push_back(std::move(event)); }
  void log(Level, std::string line) override { logged_.push_back(std::move(line)); }

  void run_one_deferred() {
    if (deferred_.empty()) return;
    const auto then = std::move(deferred_.front());
    deferred_.pop_front();
    then();
  }
  void run_deferred() {
    while (!deferred_.empty()) run_one_deferred();
  }
  // Advances the clock to `moment` and fires the timers that are due, in the order of their times.
  void advance_to(Time moment) {
    while (true) {
      ManualTimer* next = nullptr;
      for (auto* timer : timers_)
        if (timer->due && *timer->due <= moment && (next == nullptr || *timer->due < *next->due))
          next = timer;
      if (next == nullptr) break;
      now_ = std::max(now_, *next->due);
      next->fire();
      run_deferred();
    }
    now_ = moment;
  }
  // Executes one command of the decision loop and then the deferred calls.
  void execute(ShardCommand command) {
    std::vector<ShardCommand> commands;
    commands.push_back(std::move(command));
    shard_.execute(commands);
    run_deferred();
  }
  FakeStreamPtr connect_client() {
    auto client = std::make_shared<FakeStream>();
    shard_.serve(client, {});
    return client;
  }
  // The tickets of all requests that were submitted to the decision loop.
  std::vector<Ticket> received_tickets() const {
    std::vector<Ticket> out;
    for (const auto& published : published_events_)
      if (const auto* received = std::get_if<RequestReceived>(&published.event))
        out.push_back(received->spec.ticket);
    return out;
  }
  // The results of all attempts whose end was reported to the decision loop.
  std::vector<AttemptResult> attempt_results() const {
    std::vector<AttemptResult> out;
    for (const auto& published : published_events_)
      if (const auto* end = std::get_if<router::AttemptEnd>(&published.event)) out.push_back(end->result);
    return out;
  }
  void dispatch_attempt(Ticket ticket, AttemptIndex attempt, EngineId engine) {
    execute(router::Command(router::DispatchAttempt{ticket, attempt, engine, now_ + 1400ms, {}, {}}));
  }

  Time now_{100s};
  Time time_per_call_{};  // by which each look at the clock advances it
  Config config_;
  Metrics metrics_;
  router::QueryParser query_parser_;
  trace::Tracer tracer_;
  std::deque<std::function<void()>> deferred_;
  std::vector<ManualTimer*> timers_;
  std::vector<FakeStreamPtr> dialled_;
  std::vector<TimedEvent> published_events_;
  std::vector<std::string> logged_;
  Shard shard_;
};

}  // namespace heronwell::path
