// Tests a shard in platform mode with fake streams and a manual clock. They check the bytes that clients and
// engines receive, and the events that the decision loop receives.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

#include "base/bytes.hpp"
#include "frames/frames.hpp"
#include "path/shard.hpp"

namespace heronwell::path {
namespace {

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
  void set_reading(bool) override {}
  bool nothing_to_read() override { return !connection_lost && !has_unread_input; }
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
  bool closed_by_reset = false;   // the shard closed it with `reset`, which discards undelivered data
  bool has_unread_input = false;  // the remote end has sent data that is not delivered yet
  bool write_blocked = false;     // the remote end does not read
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

class Platform : public testing::Test, public ShardEnvironment {
 protected:
  Platform()
      : config_(config::read_platform(R"({"name":"n0","listen":"127.0.0.1:9","seed":"1f","bus":"127.0.0.2:8",
    "known":{"offset":0,"batch":[]},"limits":{"sockets":64,"memory_mb":16},
    "settings":{"balancers":1,"classes":[{"name":"lookup","aim":1000000000,"give-up":4000000000,"semantics":"safe"},
      {"name":"load","aim":1000000000,"give-up":4000000000,"semantics":"unsafe"}],"kinds":["std"],"zones":["east"],
      "tenants":[{"name":"acme","portion":1}],"ceilings":{"max-attempts":3,"max-retry-after":700000000},"safety":{},
      "family-info":{"grants":true},"report":{"how":"pull","fields":["busy_reqs"]}}})",
                                      "test")),
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

  Time now() override { return now_; }
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
  void log(Level, std::string) override {}

  void run_deferred() {
    while (!deferred_.empty()) {
      const auto then = std::move(deferred_.front());
      deferred_.pop_front();
      then();
    }
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
  static std::string encode_request(std::uint32_t stream, const std::string& id,
                                    const std::string& class_name = "lookup",
                                    const std::string& tenant = "acme",
                                    const std::string& timeout_ms = "1500",
                                    const std::string& idempotency_key = "") {
    std::string payload;
    std::vector<std::pair<std::string, std::string>> fields{
        {"c", class_name}, {"i", id}, {"d", timeout_ms}, {"t", tenant}};
    if (!idempotency_key.empty()) fields.emplace_back("k", idempotency_key);
    put_u8(payload, static_cast<unsigned>(fields.size()));
    for (const auto& [name, value] : fields) {
      put_u8(payload, static_cast<unsigned>(name.size()));
      payload += name;
      put_u16(payload, static_cast<unsigned>(value.size()));
      payload += value;
    }
    return encode_frame(2, stream, payload + "select * from sales_17.orders");
  }
  // A request whose statement is followed by `spaces` spaces.
  static std::string encode_large_request(std::uint32_t stream, const std::string& id, std::size_t spaces,
                                          const std::string& class_name = "lookup") {
    const auto frame = encode_request(stream, id, class_name) + std::string(spaces, ' ');
    std::string length;
    put_u32(length, static_cast<std::uint32_t>(frame.size() - 4));
    return length + frame.substr(4);
  }
  static std::string encode_frame(unsigned type, std::uint32_t stream, const std::string& payload) {
    std::string out;
    put_u32(out, static_cast<std::uint32_t>(5 + payload.size()));
    put_u8(out, type);
    put_u32(out, stream);
    return out + payload;
  }
  static std::string request_id(unsigned n) {
    const auto digits = std::to_string(n);
    return std::string(16 - digits.size(), '0') + digits;
  }
  // Decodes what a client has received: the stream number and code of each response. Sets last_body_ to the
  // body of the last one.
  std::vector<std::pair<std::uint32_t, int>> read_responses(const FakeStream& client) {
    std::vector<std::pair<std::uint32_t, int>> out;
    ByteReader in(client.written);
    while (!in.rest().empty()) {
      const auto length = in.u32();
      const auto type = in.u8();
      const auto stream = in.u32();
      const auto payload = in.take(length - 5);
      EXPECT_TRUE(in.ok());
      EXPECT_EQ(type, 4);
      out.emplace_back(stream, payload[0]);
      last_body_ = payload.substr(2);
    }
    return out;
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
  // Dispatches an attempt while the disconnect of its client is not read yet. Expects that the disconnect is
  // read first and that the attempt never starts.
  void expect_input_read_before_start(const FakeStreamPtr& client, Ticket ticket) {
    client->has_unread_input = true;
    std::vector<ShardCommand> commands;
    commands.emplace_back(router::Command(router::DispatchAttempt{ticket, 0, 7, now_ + 1400ms, {}, {}}));
    shard_.execute(commands);
    EXPECT_TRUE(dialled_.empty());
    client->reset();
    run_deferred();
    EXPECT_TRUE(dialled_.empty());
    EXPECT_EQ(attempt_results(), std::vector{AttemptResult::never_started});
  }
  // Dispatches an attempt for a new request with id `n` to engine 7, which accepts 20 bytes of the start.
  // Removes all connections and events of earlier attempts from the records of the test.
  FakeStreamPtr start_partially(unsigned n) {
    dialled_.clear();
    published_events_.clear();
    dispatch_attempt(send_request(connect_client(), n), 0, 7);
    dialled_[0]->partial_writes_left = 1;
    dialled_[0]->connect();
    EXPECT_EQ(dialled_[0]->written.size(), 20U);
    return dialled_[0];
  }
  static std::string http_response(const std::string& head, const std::string& body = "") {
    return "HTTP/1.1 " + head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  // Sends a request on stream `n` with request id `n` and returns its ticket.
  Ticket send_request(const FakeStreamPtr& client, unsigned n) {
    client->deliver(encode_request(n, request_id(n)));
    return received_tickets().back();
  }

  Time now_{100s};
  config::Config config_;
  Metrics metrics_;
  router::QueryParser query_parser_;
  trace::Tracer tracer_;
  std::deque<std::function<void()>> deferred_;
  std::vector<ManualTimer*> timers_;
  std::vector<FakeStreamPtr> dialled_;
  std::vector<TimedEvent> published_events_;
  std::string last_body_;
  Shard shard_;
};

const std::string kRows = "1\t2\t3\n";

TEST_F(Platform, ServesAResultOfSeveralPagesCompletelyAndInOrder) {
  const auto client = connect_client();
  const auto ticket = send_request(client, 1);
  dispatch_attempt(ticket, 0, 7);
  dialled_[0]->connect();
  EXPECT_TRUE(dialled_[0]->written.starts_with("POST /x HTTP/1.1\r\n")) << dialled_[0]->written;
  EXPECT_NE(dialled_[0]->written.find("X-Hop-Id: " + request_id(1)), std::string::npos);
  EXPECT_NE(dialled_[0]->written.find("X-Sort: lookup"), std::string::npos);
  dialled_[0]->deliver(http_response("202 Accepted\r\nX-Tell: progress\r\nX-Amount: 0.5\r\n"));
  EXPECT_EQ(std::get<AttemptProgressed>(published_events_.back().event).amount, 0.5);
  for (const char c : http_response("200 OK\r\nX-Parts: 3\r\n", "a\tb\tc\n")) dialled_[0]->deliver({&c, 1});
  EXPECT_TRUE(dialled_[0]->written.ends_with("GET /x/" + request_id(1) +
                                             "/1 HTTP/1.1\r\nHost: 127.0.0.7:10080\r\n\r\n"));
  dialled_[0]->deliver(http_response("200 OK\r\nX-Part-No: 1\r\n", "d\te\tf\n"));
  EXPECT_TRUE(attempt_results().empty());
  dialled_[0]->deliver(http_response("200 OK\r\nX-Part-No: 2\r\n", "g\th\ti\n"));
  ASSERT_EQ(attempt_results(), std::vector{AttemptResult::served});
  execute(router::Command(router::DeliverResponse{ticket, 0}));
  EXPECT_EQ(read_responses(*client), (std::vector<std::pair<std::uint32_t, int>>{{1, 0}}));
  EXPECT_EQ(last_body_, "a\tb\tc\nd\te\tf\ng\th\ti\n");
}

TEST_F(Platform, ForwardsAnIdempotencyKeyUnchangedAndRejectsAnInvalidOne) {
  const auto client = connect_client();
  client->deliver(encode_request(1, request_id(1), "lookup", "acme", "1500", "a7-B"));
  dispatch_attempt(received_tickets().back(), 0, 7);
  dialled_[0]->connect();
  EXPECT_NE(dialled_[0]->written.find("\r\nX-Replay-Key: a7-B\r\n"), std::string::npos)
      << dialled_[0]->written;
  client->deliver(encode_request(2, request_id(2), "lookup", "acme", "1500", "a\r\nX-Sort: load"));
  EXPECT_EQ(read_responses(*client), (std::vector<std::pair<std::uint32_t, int>>{{2, 1}}));
  dispatch_attempt(send_request(client, 3), 0, 8);
  dialled_[1]->connect();
  EXPECT_EQ(dialled_[1]->written.find("X-Replay-Key"), std::string::npos);
}

// ---- rare timings ----------------------------------------------------------------------------------------
// A client sends a request id again while the engine still has to delete the previous query of that id.
TEST_F(Platform, ReusedRequestIdWaitsUntilThePreviousQueryIsDeleted) {
  const auto first = connect_client();
  const auto ticket = send_request(first, 1);
  dispatch_attempt(ticket, 0, 7);
  dialled_[0]->connect();
  first->reset();  // the query runs at the engine
  execute(router::Command(router::StopAttempt{ticket, 0}));
  ASSERT_EQ(dialled_.size(), 2U) << "expected a connection for the deletion";
  const auto second = connect_client();
  const auto second_ticket = send_request(second, 1);
  ASSERT_NE(second_ticket, ticket);
  dispatch_attempt(second_ticket, 0, 8);
  EXPECT_EQ(dialled_.size(), 2U)
      << "expected no new attempt before the deletion is confirmed: it could delete the new query";
  dialled_[1]->connect();
  dialled_[1]->deliver("HTTP/1.1 204 No Content\r\n\r\n");
  ASSERT_EQ(dialled_.size(), 3U);
  dialled_[2]->connect();
  EXPECT_TRUE(dialled_[2]->written.starts_with("POST")) << dialled_[2]->written;
}

// A rejection would tell the client that a retry is safe, and the request could take effect twice.
TEST_F(Platform, ReusedIdOfANonIdempotentRequestThatMayHaveRunFails) {
  const auto first = connect_client();
  first->deliver(encode_request(1, request_id(1), "load"));
  const auto ticket = received_tickets().back();
  const auto second = connect_client();
  second->deliver(encode_request(1, request_id(1), "load"));
  EXPECT_EQ(read_responses(*second), (std::vector<std::pair<std::uint32_t, int>>{{1, 2}}))
      << "expected code 2 (failed) for an id that is open";
  dispatch_attempt(ticket, 0, 7);
  dialled_[0]->connect();
  first->deliver(encode_frame(8, 1, ""));
  execute(router::Command(router::StopAttempt{ticket, 0}));
  second->deliver(encode_request(2, request_id(1), "load"));
  EXPECT_EQ(read_responses(*second), (std::vector<std::pair<std::uint32_t, int>>{{1, 2}, {2, 2}}))
      << "expected code 2 (failed) for an id whose request was cancelled";
  EXPECT_EQ(received_tickets().size(), 1U);
  advance_to(now_ + 2s);
  second->deliver(encode_request(3, request_id(1), "load"));
  EXPECT_EQ(received_tickets().size(), 2U)
      << "expected the id to be usable after the deadline of its request";
}

// The loss of one packet of a connection set-up must not make a healthy engine look unreachable.
TEST_F(Platform, OpensASecondConnectionIfTheFirstIsSlowToConnect) {
  dispatch_attempt(send_request(connect_client(), 1), 0, 7);
  ASSERT_EQ(dialled_.size(), 1U);
  advance_to(now_ + config_.engines.dial_timeout / 3 + 1ms);
  ASSERT_EQ(dialled_.size(), 2U) << "expected a second connection in parallel";
  dialled_[1]->connect();
  EXPECT_TRUE(dialled_[1]->written.starts_with("POST"));
  dialled_[0]->connect();
  EXPECT_TRUE(dialled_[0]->written.empty()) << "expected a single start";
  advance_to(now_ + 100ms);
  dispatch_attempt(send_request(connect_client(), 2), 0, 7);
  EXPECT_EQ(dialled_.size(), 2U);
  EXPECT_TRUE(dialled_[0]->written.starts_with("POST"))
      << "expected the late connection to serve the next attempt";
  dialled_[1]->deliver(http_response("200 OK\r\nX-Parts: 1\r\n", kRows));
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::served});
}

TEST_F(Platform, ReportsAnUnreachableEngineOnceAtTheDialTimeout) {
  const auto started_at = now_;
  dispatch_attempt(send_request(connect_client(), 1), 0, 7);
  advance_to(started_at + config_.engines.dial_timeout - 1ms);
  EXPECT_EQ(dialled_.size(), 3U);
  EXPECT_TRUE(attempt_results().empty());
  advance_to(started_at + config_.engines.dial_timeout + 1ms);
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::not_connected});
  EXPECT_EQ(dialled_.size(), 3U);
}

TEST_F(Platform, AttemptStoppedWhileConnectingEndsOnceAndIsNeverSent) {
  const auto ticket = send_request(connect_client(), 1);
  dispatch_attempt(ticket, 0, 7);
  advance_to(now_ + config_.engines.dial_timeout / 3 + 1ms);
  ASSERT_EQ(dialled_.size(), 2U);
  dialled_[1]->fail(DialFailure::unknown);
  execute(router::Command(router::StopAttempt{ticket, 0}));
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::never_started});
  dialled_[0]->connect();
  EXPECT_TRUE(dialled_[0]->written.empty());
  advance_to(now_ + 1s);
  EXPECT_EQ(attempt_results().size(), 1U);
}

TEST_F(Platform, DoesNotStartAnAttemptAfterConnectIfTheClientHasLeft) {
  // The client cancels its stream or resets the connection; the decision loop sends no StopAttempt.
  unsigned n = 0;
  for (const auto& leave : std::vector<std::function<void(FakeStream&, unsigned)>>{
           [](FakeStream&peer, unsigned stream) { peer.deliver(encode_frame(8, stream, "")); },
           [](FakeStream&peer, unsigned) { peer.reset(); }}) {
    const auto client = connect_client();
    const auto ticket = send_request(client, ++n);
    dispatch_attempt(ticket, 0, 7);
    leave(*client, n);
    dialled_.back()->connect();
    EXPECT_TRUE(dialled_.back()->written.empty());
    EXPECT_EQ(attempt_results(), std::vector<AttemptResult>(n, AttemptResult::never_started));
    dialled_.back()->reset();
  }
}

// A call that remains in the buffers of a closed connection could arrive late and start or delete a query.
TEST_F(Platform, ResetsConnectionsThatHaveACallInFlight) {
  const auto ticket = send_request(connect_client(), 1);
  dispatch_attempt(ticket, 0, 7);
  dialled_[0]->connect();
  execute(router::Command(router::StopAttempt{ticket, 0}));
  EXPECT_TRUE(dialled_[0]->closed && dialled_[0]->closed_by_reset)
      << "expected a reset of the connection with the start";
  dialled_[1]->connect();
  advance_to(now_ + 2100ms);
  EXPECT_TRUE(dialled_[1]->closed && dialled_[1]->closed_by_reset)
      << "expected a reset of the connection with the unanswered deletion";
  dispatch_attempt(send_request(connect_client(), 2), 0, 8);
  dialled_[2]->connect();
  dialled_[2]->deliver(http_response("200 OK\r\nX-Parts: 1\r\n", kRows));
  advance_to(now_ + config_.engines.idle_close + 1s);
  EXPECT_TRUE(dialled_[2]->closed);
  EXPECT_FALSE(dialled_[2]->closed_by_reset) << "expected an idle connection to be closed without a reset";
}

// The query of a start that is completed after its client has disconnected would run without a client.
TEST_F(Platform, DoesNotCompleteAPartialStartIfTheClientHasLeft) {
  // The engine reads slowly, so the start is written in parts; the decision loop sends no StopAttempt.
  for (const bool client_leaves : {true, false}) {
    const auto client = connect_client();
    dispatch_attempt(send_request(client, client_leaves ? 1 : 2), 0, client_leaves ? 7 : 8);
    const auto engine = dialled_.back();
    engine->partial_writes_left = 1;
    engine->connect();
    EXPECT_EQ(engine->written.size(), 20U);
    if (client_leaves) client->reset();
    engine->partial_writes_left.reset();
    engine->become_writable();
    EXPECT_EQ(engine->written.size() == 20, client_leaves);
    EXPECT_EQ(engine->closed, client_leaves);
    EXPECT_EQ(attempt_results(), std::vector{AttemptResult::never_started});
  }
}

// An engine that is full rejects a start as soon as it has seen the head. If the connection were reused, the rest
// of the start would be written after its attempt has ended.
TEST_F(Platform, RejectionOfAPartialStartEndsItsConnection) {
  const std::vector<std::pair<std::string, AttemptResult>> rejections{
      {"503 Full\r\nX-No-Effect: 1\r\n", AttemptResult::rejected},
      {"504 Too late\r\nX-No-Effect: 1\r\n", AttemptResult::never_started}};
  for (const auto& [head, result] : rejections) {
    const auto engine = start_partially(result == AttemptResult::rejected ? 1 : 2);
    engine->deliver(http_response(head));
    EXPECT_EQ(attempt_results(), std::vector{result});
    EXPECT_TRUE(engine->closed_by_reset);
    engine->partial_writes_left.reset();
    engine->become_writable();
    EXPECT_EQ(engine->written.size(), 20U) << "expected nothing of the start to be written after its end";
    dispatch_attempt(send_request(connect_client(), result == AttemptResult::rejected ? 3 : 4), 0, 7);
    EXPECT_EQ(dialled_.size(), 2U) << "expected a new connection for the next attempt";
  }
}

// Only a rejection can belong to a start of which the engine has seen a part. Any other response may be a late
// duplicate of an earlier one, and must not end the attempt.
TEST_F(Platform, OtherResponsesToAPartialStartAreNotTrusted) {
  unsigned n = 0;
  for (const auto& response :
       {http_response("200 OK\r\nX-Parts: 1\r\n", kRows), http_response("202 Accepted\r\n"),
        http_response("500 Error\r\n"), http_response("503 Full\r\n"), http_response("504 Too late\r\n"),
        std::string("HTTP/1.1 \x01\r\n\r\n")}) {
    const auto engine = start_partially(++n);
    engine->deliver(response);
    EXPECT_TRUE(attempt_results().empty()) << response;
    EXPECT_TRUE(engine->closed_by_reset);
    ASSERT_EQ(dialled_.size(), 2U);
    dialled_[1]->connect();
    EXPECT_TRUE(dialled_[1]->written.starts_with("GET /x/" + request_id(n) + "/0 HTTP/1.1\r\n"));
    dialled_[1]->deliver(http_response("500 Unknown\r\n"));
    EXPECT_EQ(attempt_results(), std::vector{AttemptResult::error});
    dialled_[1]->reset();
  }
}

TEST_F(Platform, InterimResponseToAPartialStartChangesNothing) {
  const auto engine = start_partially(1);
  engine->deliver("HTTP/1.1 102 Processing\r\n\r\n");
  EXPECT_FALSE(engine->closed);
  engine->partial_writes_left.reset();
  engine->become_writable();
  EXPECT_TRUE(engine->written.ends_with("select * from sales_17.orders"));
  engine->deliver(http_response("200 OK\r\nX-Parts: 1\r\n", kRows));
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::served});
  EXPECT_FALSE(engine->closed) << "expected a connection whose call was written completely to be kept";
}

// A lost connection or a silent engine proves nothing: the query is polled on another connection.
TEST_F(Platform, PartialStartThatIsLostOrTimesOutIsPolledOnAnotherConnection) {
  for (const bool lost : {true, false}) {
    const auto engine = start_partially(lost ? 1 : 2);
    if (lost)
      engine->reset();
    else
      advance_to(now_ + 900ms);
    EXPECT_TRUE(attempt_results().empty());
    EXPECT_TRUE(engine->closed_by_reset);
    ASSERT_EQ(dialled_.size(), 2U);
    dialled_[1]->connect();
    EXPECT_TRUE(dialled_[1]->written.starts_with("GET"));
    dialled_[1]->deliver(http_response("500 Unknown\r\n"));
    EXPECT_EQ(attempt_results(), std::vector{AttemptResult::error});
    dialled_[1]->reset();
  }
}

TEST_F(Platform, DoesNotStartAnAttemptAfterADescriptorWaitIfTheClientHasLeft) {
  const auto max_connections = static_cast<unsigned>(config_.engines.connections);
  for (unsigned n = 1; n <= max_connections; ++n) dispatch_attempt(send_request(connect_client(), n), 0, 7);
  const auto client = connect_client();
  dispatch_attempt(send_request(client, max_connections + 1), 0, 8);
  ASSERT_EQ(dialled_.size(), max_connections);
  client->reset();
  dialled_[0]->connect();
  dialled_[0]->deliver(http_response("200 OK\r\nX-Parts: 1\r\n", kRows));
  run_deferred();
  EXPECT_EQ(dialled_.size(), max_connections);
  EXPECT_EQ(attempt_results(), (std::vector{AttemptResult::served, AttemptResult::never_started}));
}

// Engines recognise a retry only until `start_before`; after that, the query could run twice.
TEST_F(Platform, DoesNotStartARetryAfterItsStartBeforeTime) {
  const auto ticket = send_request(connect_client(), 1);
  dispatch_attempt(ticket, 0, 7);
  dialled_[0]->connect();
  execute(router::Command(router::StopAttempt{ticket, 0}));
  router::DispatchAttempt retry{ticket, 1, 8, now_ + 10s, {}, {}};
  retry.start_before = now_ + 900ms;
  execute(router::Command(retry));
  // The first engine does not respond: the deletion ends when the engine must have dropped the query.
  advance_to(now_ + 3s);
  EXPECT_TRUE(std::ranges::none_of(dialled_,
                                   [](auto& connection) { return connection->address.host == "127.0.0.8"; }));
  EXPECT_EQ(attempt_results(), (std::vector{AttemptResult::cancelled, AttemptResult::never_started}));
  const auto second_ticket = send_request(connect_client(), 2);
  router::DispatchAttempt late_dispatch{second_ticket, 0, 8, now_ + 10s, {}, {}};
  late_dispatch.start_before = now_ + 50ms;
  execute(router::Command(late_dispatch));
  now_ += 60ms;
  dialled_.back()->connect();
  EXPECT_TRUE(dialled_.back()->written.empty());
}

// The unread input may be a disconnect, and the query would run without a client.
TEST_F(Platform, ReadsClientInputBeforeStartingAttemptsAfterAStall) {
  const auto client = connect_client();
  const auto ticket = send_request(client, 1);
  now_ += 1s;
  expect_input_read_before_start(client, ticket);
}

TEST_F(Platform, ReadsClientInputBeforeStartingAttemptsAfterABusyPeriod) {
  const auto client = connect_client();
  const auto ticket = send_request(client, 1);
  advance_to(now_ + 120ms);
  expect_input_read_before_start(client, ticket);
}

TEST_F(Platform, ReadsClientInputBeforeStartingOnALateConnection) {
  const auto leaving = connect_client(), staying = connect_client();
  dispatch_attempt(send_request(leaving, 1), 0, 7);
  dispatch_attempt(send_request(staying, 2), 0, 8);
  ASSERT_EQ(dialled_.size(), 2U);
  leaving->has_unread_input = staying->has_unread_input = true;  // a disconnect, and a readiness query
  dialled_[0]->connect();
  dialled_[1]->connect();
  EXPECT_TRUE(dialled_[0]->written.empty() && dialled_[1]->written.empty());
  leaving->reset();
  staying->has_unread_input = false;
  staying->deliver(encode_frame(16, 0, std::string(1, '\0')));
  run_deferred();
  EXPECT_TRUE(dialled_[0]->written.empty());
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::never_started});
  ASSERT_EQ(dialled_.size(), 2U) << "expected the start on the connection that was established";
  EXPECT_TRUE(dialled_[1]->written.starts_with("POST")) << dialled_[1]->written;
  // A client that sends continuously delays its own request only once.
  const auto busy = connect_client();
  dispatch_attempt(send_request(busy, 3), 0, 8);
  busy->has_unread_input = true;
  dialled_[2]->connect();
  run_deferred();
  EXPECT_TRUE(dialled_[2]->written.starts_with("POST"));
}

TEST_F(Platform, ClosesAClientThatSendsAFrameTooSlowly) {
  const auto client = connect_client(), slow = connect_client();
  const auto frame = encode_request(1, request_id(1));
  const auto started_at = now_;
  for (std::size_t i = 0; !client->writing_shut_down && now_ < started_at + 10s; ++i) {
    client->deliver(frame.substr(i, 1));
    advance_to(now_ + 100ms);
  }
  EXPECT_LT(now_ - started_at, 2700ms) << "expected a slow client to be closed within 3 s of its connection";
  EXPECT_EQ(read_responses(*client), (std::vector<std::pair<std::uint32_t, int>>{{0, 2}}));
  // The same after a request that was answered. A client that is slow but within the limit is served.
  const auto other = connect_client();
  execute(
      router::Command(router::FinishRequest{send_request(other, 2), router::FinalStatus::rejected, 500ms}));
  const auto second_started_at = now_;
  for (std::size_t i = 0; !other->writing_shut_down && now_ < second_started_at + 10s; ++i) {
    other->deliver(encode_request(3, request_id(3)).substr(i, 1));
    advance_to(now_ + 100ms);
  }
  EXPECT_LT(now_ - second_started_at, 2700ms);
  const auto third = connect_client();
  for (std::size_t i = 0; i < frame.size(); i += 8) {
    third->deliver(frame.substr(i, 8));
    advance_to(now_ + 100ms);
  }
  EXPECT_EQ(received_tickets().size(), 2U);
}

TEST_F(Platform, LimitsTheMemoryOfIncompleteFramesAndOpenRequests) {
  // Incomplete frames, on as many connections as possible.
  const std::size_t memory_limit = 16U << 20;
  const std::string incomplete_frame = encode_large_request(1, request_id(999), 262'000).substr(0, 250'000);
  std::vector<FakeStreamPtr> clients;
  std::size_t buffered_bytes = 0;
  for (std::size_t i = 0; i < 200; ++i) {
    const auto client = connect_client();
    client->deliver(incomplete_frame);
    clients.push_back(client);
  }
  const auto go_away = encode_frame(64, 0, "");
  for (const auto& client : clients) {
    if (client->written.empty()) {
      EXPECT_FALSE(client->writing_shut_down || client->closed);
      buffered_bytes += incomplete_frame.size();
      continue;
    }
    // Rejected at the memory limit, or closed at the descriptor limit, or both.
    EXPECT_EQ(client->writing_shut_down, client->written.ends_with(go_away));
    if (client->writing_shut_down) client->written.resize(client->written.size() - go_away.size());
    if (client->written.empty()) continue;
    EXPECT_EQ(read_responses(*client), (std::vector<std::pair<std::uint32_t, int>>{{1, 1}}));
  }
  EXPECT_LT(buffered_bytes, memory_limit / 2);
  EXPECT_GT(buffered_bytes, memory_limit / 8) << "expected no frame to be rejected while memory is left";
  connect_client()->deliver(encode_request(1, request_id(1)));
  EXPECT_EQ(received_tickets().size(), 1U) << "expected a complete frame to be accepted at the limit";
  for (const auto& client : clients) client->reset();
  // Complete requests with large statements: those beyond the memory limit are rejected.
  std::size_t sent = 0;
  std::vector<FakeStreamPtr> large_clients;
  for (unsigned c = 0; c < 8; ++c) {
    const auto client = large_clients.emplace_back(connect_client());
    for (unsigned n = 1; n <= 32; ++n) {
      client->deliver(encode_large_request(n, request_id(1000 + 32 * c + n), 200'000));
      ++sent;
    }
  }
  EXPECT_LT(received_tickets().size() * 200'000, memory_limit / 2);
  EXPECT_GT(received_tickets().size(), 16U);
  std::size_t rejected = 0;
  for (const auto& client : large_clients) {
    for (const auto& [stream, code] : read_responses(*client)) rejected += code == 1 ? 1 : 0;
    EXPECT_FALSE(client->writing_shut_down);
  }
  EXPECT_EQ(last_body_, std::string("\x01w\0\x03", 4) + "700") << "expected a retry-after of 700 ms";
  EXPECT_EQ(received_tickets().size() - 1 + rejected, sent)
      << "expected an immediate response to each rejected request";
}

// Clients fill the buffers with incomplete frames. A client that has a request open sends a large one on the same
// connection. Its first request must get its answer, and its frame comes before those of clients that wait for
// nothing.
TEST_F(Platform, IncompleteFramesOfClientsWithoutOpenRequestsAreRejectedFirst) {
  const auto client = connect_client();
  const auto ticket = send_request(client, 1);
  std::vector<FakeStreamPtr> others;
  for (unsigned n = 0; n < 16; ++n) {
    others.push_back(connect_client());
    others.back()->deliver(encode_large_request(1, request_id(100 + n), 261'000).substr(0, 250'000));
    advance_to(now_ + 1ms);
    EXPECT_TRUE(others.back()->written.empty()) << "expected no rejection while memory is left";
  }
  const auto large = encode_large_request(2, request_id(2), 250'000);
  client->deliver(large.substr(0, 100'000));
  client->deliver(large.substr(100'000, 140'000));
  EXPECT_EQ(read_responses(*others[0]), (std::vector<std::pair<std::uint32_t, int>>{{1, 1}}))
      << "expected the frame that began first to be rejected, with code 1: it never ran";
  EXPECT_EQ(last_body_, std::string("\x01w\0\x03", 4) + "700") << "expected a retry-after of 700 ms";
  EXPECT_TRUE(others[1]->written.empty()) << "expected only as many rejections as needed";
  client->deliver(large.substr(240'000));
  ASSERT_EQ(received_tickets().size(), 2U);
  execute(router::Command(router::FinishRequest{ticket, router::FinalStatus::failed, 500ms}));
  EXPECT_EQ(read_responses(*client), (std::vector<std::pair<std::uint32_t, int>>{{1, 2}}));
  EXPECT_FALSE(client->writing_shut_down);
  // The rejected frame is discarded as it arrives, also where the next frame follows in the same bytes.
  const auto rejected = encode_large_request(1, request_id(100), 261'000);
  others[0]->deliver(rejected.substr(250'000, 5'000));
  others[0]->deliver(rejected.substr(255'000) + encode_request(2, request_id(3)));
  EXPECT_EQ(received_tickets().size(), 3U);
  // A frame that was rejected and never ends is closed like any other incomplete frame.
  others[1]->written.clear();
  advance_to(now_ + 3s);
  EXPECT_TRUE(others[1]->writing_shut_down);
}

// All buffered bytes belong to clients that wait for an answer. Then the frame that began first is rejected by
// itself, and no open request is forgotten.
TEST_F(Platform, IncompleteFrameOfAClientWithOpenRequestsIsRejectedAlone) {
  std::vector<FakeStreamPtr> clients;
  for (unsigned n = 1; n <= 5; ++n) {
    clients.push_back(connect_client());
    for (unsigned stream = 1; stream <= 4; ++stream)
      clients.back()->deliver(encode_large_request(stream, request_id(10 * n + stream), 200'000));
  }
  ASSERT_EQ(received_tickets().size(), 20U);
  const auto client = clients.front();
  const auto large = encode_large_request(5, request_id(5), 250'000);
  client->deliver(large.substr(0, 100'000));
  EXPECT_TRUE(client->written.empty());
  client->deliver(large.substr(100'000, 120'000));
  EXPECT_EQ(read_responses(*client), (std::vector<std::pair<std::uint32_t, int>>{{5, 1}}));
  EXPECT_EQ(last_body_, std::string("\x01w\0\x03", 4) + "700");
  client->deliver(large.substr(220'000));
  const auto tickets = received_tickets();
  EXPECT_EQ(tickets.size(), 20U) << "expected the rejected request not to be submitted";
  for (const auto ticket : tickets)
    execute(router::Command(router::FinishRequest{ticket, router::FinalStatus::failed, 500ms}));
  for (const auto& each : clients) EXPECT_EQ(read_responses(*each).size(), each == client ? 5U : 4U);
  client->deliver(encode_request(6, request_id(6)));
  EXPECT_EQ(received_tickets().size(), 21U)
      << "expected the connection to be usable after the rejected frame";
}

// A rejection promises that a retry does no harm. An incomplete frame may repeat a request that may have run.
TEST_F(Platform, IncompleteFrameOfARequestThatMayHaveRunFails) {
  const auto open = connect_client();
  open->deliver(encode_request(1, request_id(1), "load"));
  dispatch_attempt(received_tickets().back(), 0, 7);
  const auto client = connect_client();
  const auto fill = [&](const std::string& frame) {
    client->written.clear();
    std::vector<FakeStreamPtr> others;
    client->deliver(frame.substr(0, 240'000));
    for (unsigned n = 0; n < 20 && client->written.empty(); ++n) {
      advance_to(now_ + 1ms);
      others.push_back(connect_client());
      others.back()->deliver(encode_large_request(1, request_id(100 + n), 261'000).substr(0, 250'000));
    }
    for (const auto& other : others) other->reset();
    client->deliver(frame.substr(240'000));
    return read_responses(*client);
  };
  using Responses = std::vector<std::pair<std::uint32_t, int>>;
  EXPECT_EQ(fill(encode_large_request(1, request_id(1), 250'000, "load")), (Responses{{1, 2}}));
  EXPECT_EQ(fill(encode_large_request(2, request_id(2), 250'000, "load")), (Responses{{2, 1}}));
  // Fields that have not all arrived: the id is unknown.
  std::string fields(1, 1);
  for (int n = 0; n < 5; ++n) fields += "\x01z" + std::string("\xff\xff", 2) + std::string(65'535, 'z');
  fields[0] = 5;
  EXPECT_EQ(fill(encode_frame(2, 3, fields.substr(0, 262'000))), (Responses{{3, 2}}));
  EXPECT_FALSE(client->writing_shut_down);
}

TEST_F(Platform, ClosesAClientThatNeverReadsBeforeItsResponsesFillTheMemory) {
  const auto client = connect_client();
  client->write_blocked = true;
  std::string readiness_queries;
  for (int i = 0; i < 1000; ++i) readiness_queries += encode_frame(16, 0, std::string(1, '\0'));
  std::size_t sent = 0;
  for (; !client->closed && sent < (8U << 20); sent += readiness_queries.size())
    client->deliver(readiness_queries);
  EXPECT_LT(sent, 8U << 20);
}

TEST_F(Platform, AcceptsNoClientAtTheDescriptorLimitUntilAnotherHasClosed) {
  std::vector<FakeStreamPtr> busy;
  while (shard_.can_accept_client()) {
    busy.push_back(connect_client());
    send_request(busy.back(), static_cast<unsigned>(busy.size()));
    ASSERT_LE(busy.size(), 64U) << "expected at most 64 clients, the number of all descriptors";
  }
  // Of the 64 descriptors, those for engines, for deletions and for the process itself stay available.
  EXPECT_LE(busy.size() + config_.engines.connections + config_.platform->removals + 16, 64U);
  EXPECT_FALSE(shard_.can_accept_client());
  execute(router::Command(
      router::FinishRequest{received_tickets().front(), router::FinalStatus::rejected, 500ms}));
  EXPECT_FALSE(shard_.can_accept_client()) << "expected the idle client to be closing gracefully first";
  EXPECT_TRUE(busy.front()->writing_shut_down);
  busy.front()->reset();
  EXPECT_TRUE(shard_.can_accept_client());
}

// An engine may send a response twice; the duplicate may arrive after the next query has begun.
TEST_F(Platform, LateDuplicateResponseIsNotTakenForTheNextQuery) {
  dispatch_attempt(send_request(connect_client(), 1), 0, 7);
  dialled_[0]->connect();
  const auto response = http_response("200 OK\r\nX-Parts: 1\r\n", kRows);
  dialled_[0]->deliver(response);
  dispatch_attempt(send_request(connect_client(), 2), 0, 7);
  ASSERT_EQ(dialled_.size(), 2U) << "expected a new connection while a duplicate response may arrive";
  dialled_[0]->deliver(response);
  EXPECT_TRUE(dialled_[0]->closed);
  EXPECT_EQ(attempt_results().size(), 1U);
  dialled_[1]->connect();
  dialled_[1]->deliver(response);
  advance_to(now_ + 51ms);
  dispatch_attempt(send_request(connect_client(), 3), 0, 7);
  EXPECT_EQ(dialled_.size(), 2U) << "expected reuse after the time in which duplicates may arrive";
}

TEST_F(Platform, DeletionsStayWithinTheirDescriptorLimitAndAllAreSent) {
  const auto client = connect_client();
  constexpr unsigned kQueries = 12;
  for (unsigned n = 1; n <= kQueries; ++n) {
    dispatch_attempt(send_request(client, n), 0, n % 2 == 0 ? 7 : 8);
    dialled_.back()->connect();
  }
  for (unsigned n = 1; n <= kQueries; ++n)
    execute(router::Command(router::StopAttempt{received_tickets()[n - 1], 0}));
  std::size_t deleted = 0;
  for (int round = 0; round < 100 && deleted < kQueries; ++round) {
    std::vector<FakeStreamPtr> open;
    for (std::size_t i = kQueries; i < dialled_.size(); ++i)
      if (!dialled_[i]->closed) open.push_back(dialled_[i]);
    EXPECT_LE(open.size(), 64U / 16);
    for (const auto& connection : open) {
      connection->connect();
      EXPECT_TRUE(connection->written.starts_with("DELETE"));
      connection->deliver("HTTP/1.1 204 No Content\r\n\r\n");
      ++deleted;
    }
    advance_to(now_ + 20ms);
  }
  EXPECT_EQ(deleted, kQueries);
}

// A request that the client sends while its idle connection is being closed must not run.
TEST_F(Platform, ClosesAnIdleClientGracefullyAndIgnoresItsLaterRequests) {
  const auto client = connect_client();
  client->deliver(encode_frame(16, 0, std::string(1, '\0')));
  client->written.clear();
  advance_to(now_ + config_.listen.idle_time + 300ms);
  EXPECT_EQ(client->written, encode_frame(64, 0, "")) << "expected a go-away frame";
  EXPECT_TRUE(client->writing_shut_down);
  EXPECT_FALSE(client->closed)
      << "expected a graceful close: unread bytes at a close would reset the connection";
  client->deliver(encode_request(1, request_id(1)));
  EXPECT_TRUE(received_tickets().empty());
  advance_to(now_ + 600ms);
  EXPECT_TRUE(client->closed);
}

TEST_F(Platform, ShutdownClosesEachClientGracefully) {
  const auto idle = connect_client(), other = connect_client();
  idle->deliver(encode_frame(16, 0, std::string(1, '\0')));
  shard_.stop_serving();
  const auto ticket = send_request(other, 1);  // requests are still accepted
  execute(router::Command(router::FinishRequest{ticket, router::FinalStatus::rejected, 500ms}));
  advance_to(now_ + 600ms);
  EXPECT_FALSE(other->writing_shut_down);
  shard_.begin_shutdown();
  EXPECT_TRUE(idle->writing_shut_down && other->writing_shut_down);
  EXPECT_TRUE(other->written.ends_with(encode_frame(64, 0, "")));
  other->deliver(encode_request(2, request_id(2)));
  EXPECT_EQ(received_tickets().size(), 1U);
  EXPECT_FALSE(shard_.shutdown_complete());
  idle->reset();
  other->reset();
  EXPECT_TRUE(shard_.shutdown_complete());
}

TEST_F(Platform, ShutdownAnswersOpenRequestsBeforeClosingTheirConnection) {
  const auto client = connect_client();
  const auto ticket = send_request(client, 1);
  shard_.stop_serving();
  shard_.begin_shutdown();
  EXPECT_FALSE(client->writing_shut_down);
  client->deliver(encode_request(2, request_id(2)));
  EXPECT_EQ(received_tickets().size(), 1U) << "expected no further request to be accepted";
  EXPECT_FALSE(shard_.shutdown_complete());
  execute(router::Command(router::FinishRequest{ticket, router::FinalStatus::rejected, 500ms}));
  EXPECT_TRUE(client->writing_shut_down);
  ASSERT_TRUE(client->written.ends_with(encode_frame(64, 0, "")));
  client->written.resize(client->written.size() - 9);
  EXPECT_EQ(read_responses(*client), (std::vector<std::pair<std::uint32_t, int>>{{1, 1}}));
}

// During the shutdown a client goes on to send large requests while it waits for an answer. They are discarded; a
// close would take the answer with it.
TEST_F(Platform, ShutdownAnswersOpenRequestsOfAClientThatGoesOnSending) {
  const auto client = connect_client();
  const auto ticket = send_request(client, 1);
  shard_.stop_serving();
  shard_.begin_shutdown();
  for (unsigned n = 2; n <= 4; ++n) client->deliver(encode_large_request(n, request_id(n), 200'000));
  EXPECT_FALSE(client->closed);
  EXPECT_EQ(received_tickets().size(), 1U);
  execute(router::Command(router::FinishRequest{ticket, router::FinalStatus::failed, 500ms}));
  EXPECT_TRUE(client->writing_shut_down);
  ASSERT_TRUE(client->written.ends_with(encode_frame(64, 0, "")));
  client->written.resize(client->written.size() - 9);
  EXPECT_EQ(read_responses(*client), (std::vector<std::pair<std::uint32_t, int>>{{1, 2}}));
  // Once nothing is owed, a client that ignores the go-away frame is disconnected.
  client->deliver(encode_large_request(5, request_id(5), 200'000));
  EXPECT_FALSE(client->closed);
  client->deliver(encode_large_request(6, request_id(6), 200'000));
  EXPECT_TRUE(client->closed);
}

TEST_F(Platform, ClosesAClientThatOnlyCancelsUnknownStreams) {
  const auto client = connect_client();
  client->deliver(encode_frame(8, 3, ""));
  advance_to(now_ + 2300ms);
  EXPECT_EQ(read_responses(*client), (std::vector<std::pair<std::uint32_t, int>>{{0, 2}}));
  EXPECT_TRUE(client->writing_shut_down);
}

TEST_F(Platform, LimitsClosingConnectionsIfManyClientsSendNothing) {
  std::vector<FakeStreamPtr> clients;
  for (std::size_t i = 0; i < 4 * config_.listen.connections; ++i) clients.push_back(connect_client());
  const auto open_count = std::ranges::count_if(clients, [](const auto& client) { return !client->closed; });
  EXPECT_LE(static_cast<std::size_t>(open_count), config_.listen.connections + 64 / 32);
}

TEST_F(Platform, NextAttemptWaitsUntilTheEngineHasDeletedTheFirst) {
  const auto ticket = send_request(connect_client(), 1);
  dispatch_attempt(ticket, 0, 7);
  dialled_[0]->connect();
  execute(router::Command(router::StopAttempt{ticket, 0}));
  EXPECT_TRUE(attempt_results().empty()) << "expected the attempt to be in flight until its engine has "
                                            "deleted the query: no other starts before";
  ASSERT_EQ(dialled_.size(), 2U) << "expected a connection for the deletion";
  dispatch_attempt(ticket, 1, 8);
  EXPECT_EQ(dialled_.size(), 2U) << "expected at most one attempt in flight, even if a second is commanded";
  dialled_[1]->connect();
  EXPECT_TRUE(dialled_[1]->written.starts_with("DELETE /x/" + request_id(1) + " HTTP/1.1\r\n"));
  EXPECT_EQ(dialled_.size(), 2U);
  dialled_[1]->deliver("HTTP/1.1 204 No Content\r\n\r\n");
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::cancelled});
  ASSERT_EQ(dialled_.size(), 3U);
  EXPECT_EQ(dialled_[2]->address.host, "127.0.0.8");
}

TEST_F(Platform, DeletionIsRetriedWithoutADescriptorAndEndsIfTheProcessIsGone) {
  const auto ticket = send_request(connect_client(), 1);
  dispatch_attempt(ticket, 0, 7);
  dialled_[0]->connect();
  execute(router::Command(router::StopAttempt{ticket, 0}));
  dispatch_attempt(ticket, 1, 8);
  dialled_[1]->fail(DialFailure::local);
  EXPECT_EQ(dialled_.size(), 2U) << "expected no new attempt: the first engine may still run the query";
  advance_to(now_ + 150ms);
  ASSERT_EQ(dialled_.size(), 3U) << "expected the deletion to be retried";
  dialled_[2]->fail(DialFailure::refused);
  ASSERT_EQ(dialled_.size(), 4U) << "expected the next attempt, as the process of the first engine is gone";
  EXPECT_EQ(dialled_[3]->address.host, "127.0.0.8");
}

// The engine never responds to the deletion, and the next attempt must still start.
TEST_F(Platform, DeletionEndsOnceTheEngineMustHaveDroppedTheQuery) {
  const auto ticket = send_request(connect_client(), 1);
  dispatch_attempt(ticket, 0, 7);
  dialled_[0]->connect();
  execute(router::Command(router::StopAttempt{ticket, 0}));
  execute(router::Command(router::DispatchAttempt{ticket, 1, 8, now_ + 10s, {}, {}}));
  const auto second_engine_not_dialled = [this] {
    return std::ranges::none_of(dialled_,
                                [](auto& connection) { return connection->address.host == "127.0.0.8"; });
  };
  advance_to(now_ + 1950ms);
  EXPECT_TRUE(second_engine_not_dialled());
  advance_to(now_ + 200ms);
  EXPECT_FALSE(second_engine_not_dialled());
}

// The query may still be running after the connection is lost, and a second start could run it twice.
TEST_F(Platform, PollsAgainAfterAResetWithoutRepeatingTheStart) {
  const auto ticket = send_request(connect_client(), 1);
  dispatch_attempt(ticket, 0, 7);
  dialled_[0]->connect();
  dialled_[0]->reset();
  EXPECT_TRUE(attempt_results().empty()) << "expected no result yet: the query may still be running";
  ASSERT_EQ(dialled_.size(), 2U);
  dialled_[1]->connect();
  EXPECT_TRUE(dialled_[1]->written.starts_with("GET /x/" + request_id(1) + "/0 HTTP/1.1\r\n"))
      << dialled_[1]->written;
  dialled_[1]->deliver(http_response("200 OK\r\nX-Parts: 1\r\n", kRows));
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::served});
}

TEST_F(Platform, PollsAgainAfterMalformedResponsesAndThenDeletesTheQuery) {
  const auto ticket = send_request(connect_client(), 1);
  dispatch_attempt(ticket, 0, 7);
  for (std::size_t i = 0; i < 5; ++i) {
    ASSERT_EQ(dialled_.size(), i + 1);
    dialled_[i]->connect();
    dialled_[i]->deliver(i % 2 == 0 ? http_response("200 OK\r\nX-Parts: 1\r\n", "1\t2")
                                    : "HTTP/1.1 \x01\r\n\r\n");
  }
  ASSERT_EQ(dialled_.size(), 6U) << "expected a connection for the deletion";
  dialled_[5]->connect();
  EXPECT_TRUE(dialled_[5]->written.starts_with("DELETE"));
  EXPECT_TRUE(attempt_results().empty()) << "expected no result before the deletion is confirmed";
  dialled_[5]->deliver("HTTP/1.1 204 No Content\r\n\r\n");
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::reset});
}

TEST_F(Platform, OversizedResponseClosesItsConnectionButKeepsTheQuery) {
  dispatch_attempt(send_request(connect_client(), 1), 0, 7);
  dialled_[0]->connect();
  dialled_[0]->deliver("HTTP/1.1 200 OK\r\n");
  std::size_t sent = 0;
  for (; !dialled_[0]->closed && sent < (1U << 20); sent += 100)
    dialled_[0]->deliver("X-A: " + std::string(93, 'b') + "\r\n");
  EXPECT_LT(sent, 16U << 10);
  ASSERT_EQ(dialled_.size(), 2U);
  dialled_[1]->connect();
  dialled_[1]->deliver("HTTP/1.1 200 OK\r\nX-Parts: 1\r\nContent-Length: 3000000000\r\n\r\n" + kRows);
  EXPECT_TRUE(dialled_[1]->closed);
  ASSERT_EQ(dialled_.size(), 3U);
  dialled_[2]->connect();
  dialled_[2]->deliver(http_response("200 OK\r\nX-Parts: 1\r\n", kRows));
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::served});
}

// A reset before the first byte says nothing about the engine; a refused connection proves that nothing ran.
TEST_F(Platform, ReconnectsAfterAResetBeforeTheStartButNotAfterARefusal) {
  const auto ticket = send_request(connect_client(), 1);
  dispatch_attempt(ticket, 0, 7);
  dialled_[0]->fail(DialFailure::unknown);
  ASSERT_EQ(dialled_.size(), 2U);
  dialled_[1]->connect();
  EXPECT_TRUE(dialled_[1]->written.starts_with("POST"));
  const auto second = send_request(connect_client(), 2);
  dispatch_attempt(second, 0, 8);
  dialled_[2]->fail(DialFailure::refused);
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::not_connected});
}

TEST_F(Platform, RepeatedlyResetHealthCheckIsReportedAsResetWithoutADeletion) {
  execute(router::Command(router::RunHealthCheck{7}));
  for (std::size_t i = 0; i < 5; ++i) {
    ASSERT_EQ(dialled_.size(), i + 1);
    dialled_[i]->connect();
    EXPECT_TRUE(dialled_[i]->written.starts_with("GET /busy HTTP/1.1\r\n"));
    dialled_[i]->reset();
  }
  EXPECT_EQ(dialled_.size(), 5U);
  EXPECT_EQ(std::get<HealthCheckFinished>(published_events_.back().event).result, AttemptResult::reset);
}

// An engine sends a Content-Length that is too small and ends behind a row. The rows up to there would pass for
// the whole result.
TEST_F(Platform, PageFollowedByBytesIsRequestedAgainOnANewConnection) {
  const std::string rows = "1\t2\t3\n4\t5\t6\n";
  const std::string whole = http_response("200 OK\r\nX-Parts: 1\r\n", rows);
  const auto cut_after = [&](std::size_t length) {
    return "HTTP/1.1 200 OK\r\nX-Parts: 1\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" + rows;
  };
  // The end of the first row, no row at all, noise behind a correct page, and a second copy of it.
  const std::vector<std::string> followed_by_bytes{cut_after(kRows.size()), cut_after(0),
                                                   whole + "HTTP/1.1 200", whole + whole};
  for (unsigned n = 1; n <= followed_by_bytes.size(); ++n) {
    dialled_.clear();
    published_events_.clear();
    const auto client = connect_client();
    const auto ticket = send_request(client, n);
    dispatch_attempt(ticket, 0, n % 2 == 0 ? 7 : 8);
    dialled_[0]->connect();
    dialled_[0]->deliver("HTTP/1.1 102 Processing\r\n\r\n" + followed_by_bytes[n - 1]);
    EXPECT_TRUE(attempt_results().empty()) << "expected no part of a result to be served: " << n;
    EXPECT_TRUE(dialled_[0]->closed);
    ASSERT_EQ(dialled_.size(), 2U) << "expected a new connection";
    dialled_[1]->connect();
    EXPECT_TRUE(dialled_[1]->written.starts_with("GET /x/" + request_id(n) + "/0 HTTP/1.1\r\n"));
    dialled_[1]->deliver(whole);
    ASSERT_EQ(attempt_results(), std::vector{AttemptResult::served});
    execute(router::Command(router::DeliverResponse{ticket, 0}));
    EXPECT_EQ(read_responses(*client), (std::vector<std::pair<std::uint32_t, int>>{{n, 0}}));
    EXPECT_EQ(last_body_, rows);
    advance_to(now_ + 51ms);
    dispatch_attempt(send_request(connect_client(), 100 + n), 0, n % 2 == 0 ? 7 : 8);
    EXPECT_EQ(dialled_.size(), 2U)
        << "expected only the connection that carried no further bytes to be reused";
    dialled_[1]->reset();
    dialled_[2]->fail(DialFailure::refused);
  }
}

// The same for a further page, and where the rest of a page arrives only after the next page was requested.
TEST_F(Platform, FurtherPageWithATooSmallLengthIsRequestedAgain) {
  const auto page = [](unsigned number, const std::string& rows, std::size_t length) {
    return "HTTP/1.1 200 OK\r\n" + (number == 0 ? "X-Parts: 3" : "X-Part-No: " + std::to_string(number)) +
           "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" + rows;
  };
  const std::vector<std::string> rows{"a\tb\tc\nd\te\tf\n", "g\th\ti\nj\tk\tl\n", "m\tn\to\np\tq\tr\n"};
  const std::size_t row_bytes = rows[0].size() / 2;
  for (const unsigned cut_page : {0U, 1U, 2U}) {
    for (const bool rest_is_late : {false, true}) {
      if (rest_is_late && cut_page == 2) continue;  // no request follows the last page
      dialled_.clear();
      published_events_.clear();
      const auto client = connect_client();
      const unsigned n = 1 + 2 * cut_page + (rest_is_late ? 1 : 0);
      const auto ticket = send_request(client, n);
      dispatch_attempt(ticket, 0, 7);
      dialled_[0]->connect();
      for (unsigned number = 0; number < cut_page; ++number)
        dialled_[0]->deliver(page(number, rows[number], rows[number].size()));
      const auto cut = page(cut_page, rows[cut_page], row_bytes);
      const auto late_bytes = rest_is_late ? row_bytes : 0;
      dialled_[0]->deliver(cut.substr(0, cut.size() - late_bytes));
      if (rest_is_late) dialled_[0]->deliver(cut.substr(cut.size() - late_bytes));
      ASSERT_TRUE(dialled_[0]->closed);
      ASSERT_EQ(dialled_.size(), 2U);
      dialled_[1]->connect();
      EXPECT_TRUE(
          dialled_[1]->written.starts_with("GET /x/" + request_id(n) + "/" + std::to_string(cut_page)))
          << "expected the page with the wrong length to be requested again: " << dialled_[1]->written;
      for (unsigned number = cut_page; number < rows.size(); ++number)
        dialled_[1]->deliver(page(number, rows[number], rows[number].size()));
      ASSERT_EQ(attempt_results(), std::vector{AttemptResult::served});
      execute(router::Command(router::DeliverResponse{ticket, 0}));
      read_responses(*client);
      EXPECT_EQ(last_body_, rows[0] + rows[1] + rows[2]);
      dialled_[1]->reset();
    }
  }
}

// An engine that never sends its pages with the right length must not keep the attempt, and nothing of them is
// served.
TEST_F(Platform, QueryWhosePagesAreAlwaysFollowedByBytesIsDeleted) {
  dispatch_attempt(send_request(connect_client(), 1), 0, 7);
  for (std::size_t i = 0; i < 5; ++i) {
    ASSERT_EQ(dialled_.size(), i + 1);
    dialled_[i]->connect();
    dialled_[i]->deliver(http_response("200 OK\r\nX-Parts: 1\r\n", kRows) + kRows);
  }
  ASSERT_EQ(dialled_.size(), 6U) << "expected a connection for the deletion";
  dialled_[5]->connect();
  dialled_[5]->deliver("HTTP/1.1 204 No Content\r\n\r\n");
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::reset});
}

// Only a page has a body. An end without a page counts at once, whatever follows it.
TEST_F(Platform, BytesAfterARejectionOrAnErrorCloseTheConnectionButKeepTheResponse) {
  const std::vector<std::pair<std::string, AttemptResult>> ends{
      {"503 Service Unavailable\r\nX-No-Effect: 1\r\n", AttemptResult::rejected},
      {"500 Internal Server Error\r\n", AttemptResult::error}};
  for (const auto& [head, result] : ends) {
    dialled_.clear();
    published_events_.clear();
    dispatch_attempt(send_request(connect_client(), result == AttemptResult::error ? 1 : 2), 0, 7);
    dialled_[0]->connect();
    dialled_[0]->deliver(http_response(head) + "HTTP/1.1 200");
    EXPECT_EQ(attempt_results(), std::vector{result});
    EXPECT_TRUE(dialled_[0]->closed);
    EXPECT_EQ(dialled_.size(), 1U);
  }
}

// A lack of local descriptors must not count as a failure of the engine.
TEST_F(Platform, AttemptWithoutADescriptorWaitsAndIsNotReportedAsFailed) {
  const auto client = connect_client();
  const auto max_connections = config_.engines.connections;
  for (unsigned n = 1; n <= max_connections + 1; ++n)
    dispatch_attempt(send_request(n % 2 == 0 ? client : connect_client(), n), 0, n % 2 == 0 ? 7 : 8);
  EXPECT_EQ(dialled_.size(), max_connections);
  EXPECT_TRUE(attempt_results().empty());
  dialled_[0]->connect();
  dialled_[0]->deliver(http_response("200 OK\r\nX-Parts: 1\r\n", kRows));
  run_deferred();
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::served});
  const auto open_count =
      std::ranges::count_if(dialled_, [](auto& connection) { return !connection->closed; });
  EXPECT_EQ(static_cast<std::size_t>(open_count), max_connections);
  EXPECT_NE(dialled_.size() == max_connections, dialled_[0]->written.find("POST", 4) == std::string::npos)
      << "expected the waiting attempt on a free descriptor";
}

TEST_F(Platform, MalformedFrameClosesOnlyItsOwnConnection) {
  const auto valid = connect_client(), invalid = connect_client();
  const auto ticket = send_request(valid, 1);
  invalid->deliver(encode_request(1, request_id(2)));
  std::string oversized_length;
  put_u32(oversized_length, 60'000'000);
  invalid->deliver(oversized_length);
  EXPECT_EQ(read_responses(*invalid), (std::vector<std::pair<std::uint32_t, int>>{{0, 2}}));
  EXPECT_TRUE(invalid->writing_shut_down);
  EXPECT_TRUE(std::holds_alternative<ClientDisconnected>(published_events_.back().event))
      << "expected the open request to be reported as disconnected";
  for (int i = 0; i < 100 && !invalid->closed; ++i) invalid->deliver(std::string(16 << 10, 'x'));
  EXPECT_TRUE(invalid->closed) << "expected a close after the limit of discarded bytes";
  execute(router::Command(router::FinishRequest{ticket, router::FinalStatus::rejected, 500ms}));
  EXPECT_EQ(read_responses(*valid), (std::vector<std::pair<std::uint32_t, int>>{{1, 1}}));
}

TEST_F(Platform, InvalidRequestsAreRejectedOnceAndNeverSubmitted) {
  const auto client = connect_client();
  client->deliver(encode_request(1, request_id(1), "gossip") +
                  encode_request(2, request_id(2), "lookup", "nobody") + encode_request(3, "xyz") +
                  encode_request(4, request_id(4), "lookup", "acme", "0"));
  EXPECT_EQ(read_responses(*client),
            (std::vector<std::pair<std::uint32_t, int>>{{1, 1}, {2, 1}, {3, 1}, {4, 1}}));
  EXPECT_TRUE(received_tickets().empty());
  client->deliver(encode_request(5, request_id(5)));
  EXPECT_EQ(received_tickets().size(), 1U) << "expected the connection to stay usable";
  connect_client()->deliver(encode_request(1, request_id(5)));
  EXPECT_EQ(received_tickets().size(), 1U) << "expected the id of an open request to be rejected";
  for (unsigned n = 6; n <= 40; ++n) client->deliver(encode_request(n, request_id(n)));
  EXPECT_EQ(received_tickets().size(), 32U) << "expected at most 32 open requests";
}

TEST_F(Platform, ReusedStreamNumberClosesTheConnection) {
  const auto client = connect_client();
  client->deliver(encode_request(1, request_id(1)) + encode_request(1, request_id(2)));
  EXPECT_EQ(read_responses(*client), (std::vector<std::pair<std::uint32_t, int>>{{0, 2}}));
  EXPECT_TRUE(std::holds_alternative<ClientDisconnected>(published_events_.back().event));
}

TEST_F(Platform, CancelledStreamGetsNoResponse) {
  const auto client = connect_client();
  const auto ticket = send_request(client, 1);
  client->deliver(encode_frame(8, 1, "") + encode_frame(8, 9, ""));
  EXPECT_TRUE(std::holds_alternative<ClientDisconnected>(published_events_.back().event));
  execute(router::Command(router::FinishRequest{ticket, router::FinalStatus::rejected, 500ms}));
  EXPECT_TRUE(client->written.empty());
}

TEST_F(Platform, ConnectionsWithoutACompleteFrameTimeOutAndAreEvictedFirst) {
  const auto silent = connect_client(), incomplete = connect_client(), idle = connect_client();
  incomplete->deliver(encode_request(1, request_id(1)).substr(0, 20));
  idle->deliver(encode_frame(16, 0, std::string(1, '\0')));
  advance_to(now_ + 2300ms);
  EXPECT_TRUE(silent->writing_shut_down);
  EXPECT_TRUE(incomplete->writing_shut_down);
  EXPECT_FALSE(idle->writing_shut_down || idle->closed);
  std::vector<FakeStreamPtr> later_clients{connect_client()};
  advance_to(now_ + 160ms);
  for (std::size_t i = 1; i < config_.listen.connections; ++i) later_clients.push_back(connect_client());
  EXPECT_FALSE(idle->writing_shut_down || idle->closed);
  EXPECT_TRUE(later_clients.front()->writing_shut_down)
      << "expected the client that has sent no frame to be evicted before the idle one";
}

// The first request of a client that has just connected may be in transit.
TEST_F(Platform, JustConnectedClientIsEvictedLast) {
  const auto idle = connect_client();
  idle->deliver(encode_frame(16, 0, std::string(1, '\0')));
  std::vector<FakeStreamPtr> later_clients;
  for (std::size_t i = 0; i < config_.listen.connections; ++i) {
    ASSERT_TRUE(shard_.can_accept_client());
    later_clients.push_back(connect_client());
  }
  EXPECT_TRUE(idle->writing_shut_down);
  for (const auto& client : later_clients) {
    EXPECT_FALSE(client->writing_shut_down);
    client->deliver(encode_request(1, request_id(static_cast<unsigned>(received_tickets().size()) + 1)));
  }
  EXPECT_EQ(received_tickets().size(), later_clients.size());
}

}  // namespace
}  // namespace heronwell::path
