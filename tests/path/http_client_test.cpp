// Tests the HTTP client connections of a shard under clients that send much or read nothing.
#include "base/yaml.hpp"
#include "shard_fixture.hpp"

namespace heronwell::path {
namespace {

constexpr std::size_t kLimitBytes = 2 << 20, kBodyBytes = 256 << 10, kHighWaterBytes = 16 << 10;
constexpr std::size_t kPieceBytes = 16 << 10;

constexpr const char* kConfig = R"yaml(
gateway: {name: gw0, seed: 5, threads: 1, of: 1, number: 0}
listen: {port: 0, body: 256KiB, buffered: 2MiB, high_water: 16KiB}
list: {file: none}
log: {requests: none}
kinds: {small: {cores: 4, memory: 4GiB}}
classes:
  lookup: {aim: 300ms, give_up: 10s}
)yaml";

class HttpClients : public ShardFixture {
 protected:
  HttpClients() : ShardFixture(config::read_config(yaml::Section::text(kConfig, "test"))) {}

  static std::string query(std::size_t statement_bytes) {
    const auto body = R"({"class":"lookup","statement":")" + std::string(statement_bytes, 'x') + "\"}";
    return "POST /v1/query HTTP/1.1\r\nhost: a\r\ncontent-length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }
  static void deliver_in_pieces(const FakeStreamPtr& client, std::string_view bytes) {
    for (std::size_t at = 0; at < bytes.size(); at += kPieceBytes)
      client->deliver(bytes.substr(at, kPieceBytes));
  }
  [[nodiscard]] std::size_t buffered_bytes() const { return shard_.buffer_account()->total(); }
  static std::size_t response_count(const FakeStream& client) {
    std::size_t count = 0;
    for (std::size_t at = 0; (at = client.written.find("HTTP/1.1 200", at)) != std::string::npos; ++at)
      ++count;
    return count;
  }
  // As many small requests as one read delivers.
  static std::string small_requests() {
    std::string out;
    while (out.size() < kPieceBytes) out += "GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n";
    return out;
  }
  static std::size_t count_requests(std::string_view text) {
    return static_cast<std::size_t>(std::ranges::count(text, 'G'));
  }
};

// Many clients stop in the middle of a large request. Each connection had its limits, but not all together, so the
// memory of the process grew with the number of clients.
TEST_F(HttpClients, IncompleteRequestsOfAllClientsTogetherKeepWithinTheLimit) {
  const auto request = query(kBodyBytes - 100);
  std::vector<FakeStreamPtr> clients;
  for (int i = 0; i < 40; ++i) {
    clients.push_back(connect_client());
    deliver_in_pieces(clients.back(), std::string_view(request).substr(0, request.size() - 1));
    EXPECT_LE(buffered_bytes(), kLimitBytes);
  }
  EXPECT_TRUE(clients[0]->written.starts_with("HTTP/1.1 503")) << "expected the oldest to be rejected first";
  EXPECT_TRUE(clients[0]->writing_shut_down);
  EXPECT_NE(clients[0]->written.find("no memory is left"), std::string::npos);
  EXPECT_TRUE(clients.back()->written.empty()) << "expected the newest to be kept";
  clients.back()->deliver(std::string_view(request).substr(request.size() - 1));
  EXPECT_EQ(received_tickets().size(), 1U) << "expected a request that is complete to be admitted";
}

TEST_F(HttpClients, ManyIncompleteHeadsKeepWithinTheLimit) {
  std::string head = "GET /healthz HTTP/1.1\r\nhost: a\r\n";
  for (int i = 0; i < 90; ++i) head += "x-" + std::to_string(i) + ": " + std::string(330, 'v') + "\r\n";
  std::vector<FakeStreamPtr> clients;
  for (int i = 0; i < 200; ++i) {
    clients.push_back(connect_client());
    deliver_in_pieces(clients.back(), head);
    EXPECT_LE(buffered_bytes(), kLimitBytes);
  }
  EXPECT_TRUE(clients[0]->written.starts_with("HTTP/1.1 503"));
}

TEST_F(HttpClients, IdleConnectionReleasesTheMemoryOfALargeRequest) {
  const auto client = connect_client();
  std::string request = "GET /healthz HTTP/1.1\r\nhost: a\r\n";
  for (int i = 0; i < 90; ++i) request += "x-" + std::to_string(i) + ": " + std::string(330, 'v') + "\r\n";
  deliver_in_pieces(client, request + "\r\n");
  EXPECT_EQ(response_count(*client), 1U);
  EXPECT_LE(buffered_bytes(), 4U << 10);
}

// A client sends small requests as fast as it can and reads no response. The limit on pipelined requests counts
// requests without a response, so the responses accumulated until stall_time.
TEST_F(HttpClients, FurtherRequestsAreNotReadWhileManyResponsesAreUnread) {
  const auto client = connect_client();
  client->write_blocked = true;
  const auto requests = small_requests();
  std::size_t sent = 0;
  for (int i = 0; i < 100 && client->reading; ++i) {
    client->deliver(requests);
    sent += count_requests(requests);
  }
  EXPECT_FALSE(client->reading);
  EXPECT_LE(buffered_bytes(), kHighWaterBytes + 3 * kPieceBytes);
  client->write_blocked = false;
  client->become_writable();
  run_deferred();
  EXPECT_EQ(response_count(*client), sent) << "expected every request to be answered once the client reads";
  EXPECT_TRUE(client->reading);
}

// A client pipelines requests that are answered at once. One read delivers hundreds of them, and other clients waited
// until all were answered: more than a second for GET /metrics.
TEST_F(HttpClients, OtherClientsAreServedBetweenThePipelinedRequestsOfOne) {
  const auto busy = connect_client();
  const auto other = connect_client();
  const auto requests = small_requests();
  time_per_call_ = 50us;
  busy->deliver(requests);
  EXPECT_LT(response_count(*busy), count_requests(requests) / 2);
  other->deliver("GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n");
  EXPECT_EQ(response_count(*other), 1U);
  EXPECT_LT(response_count(*busy), count_requests(requests) / 2);
  run_deferred();
  EXPECT_EQ(response_count(*busy), count_requests(requests));
  EXPECT_TRUE(busy->reading);
}

// A client closes its connection with much still unread. Nothing of it was looked at before a start, so the query ran
// although its client was gone.
TEST_F(HttpClients, NothingStartsBeforeUnreadInputOfTheClientIsRead) {
  const auto client = connect_client();
  client->deliver(query(10));
  client->has_unread_input = true;
  client->unread_byte_count = 3 * kPieceBytes;
  std::vector<ShardCommand> commands;
  commands.emplace_back(
      router::Command(router::DispatchAttempt{received_tickets().back(), 0, 7, now_ + 1400ms, {}, {}}));
  shard_.execute(commands);
  const auto rest = query(3 * kPieceBytes - 200);
  for (std::size_t at = 0; at < rest.size(); at += kPieceBytes) {
    for (int turn = 0; turn < 2; ++turn) run_one_deferred();
    ASSERT_TRUE(dialled_.empty());
    client->unread_byte_count -= std::min(client->unread_byte_count, kPieceBytes);
    client->deliver(std::string_view(rest).substr(at, kPieceBytes));
  }
  client->reset();
  run_deferred();
  EXPECT_TRUE(dialled_.empty());
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::never_started});
}

}  // namespace
}  // namespace heronwell::path
