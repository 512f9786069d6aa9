// Tests the HTTP client connections of a shard under clients that send much or read nothing.
#include "base/yaml.hpp"
#include "shard_fixture.hpp"

namespace heronwell::path {
namespace {

constexpr std::size_t kPieceBytes = 16 << 10;

constexpr const char* kConfig = R"yaml(
gateway: {name: gw0, seed: 5, threads: 1, of: 1, number: 0}
listen: {port: 0, body: 256KiB}
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
};

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
