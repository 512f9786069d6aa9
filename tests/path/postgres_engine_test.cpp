// Tests the attempts and engine connections of a shard that speaks the PostgreSQL protocol to its engines.
#include "base/yaml.hpp"
#include "shard_fixture.hpp"
#include "sql/protocol.hpp"

namespace heronwell::path {
namespace {

constexpr const char* kConfig = R"yaml(
gateway: {name: gw0, seed: 5, threads: 1, of: 1, number: 0}
listen: {port: 0}
list: {file: none}
log: {requests: none}
kinds: {small: {cores: 4, memory: 4GiB}}
classes:
  load: {aim: 300ms, give_up: 1s, effect: unsafe}
engines: {never_began: ["53300"], cancel_wait: 100ms}
)yaml";

class Postgres : public ShardFixture {
 protected:
  Postgres() : ShardFixture(config::read_config(yaml::Section::text(kConfig, "test"))) {}

  // Sends a query on a new client connection and returns its ticket.
  Ticket send_query() {
    const std::string body = R"json({"statement":"insert into t values (1, 2, 3)","class":"load"})json";
    client_ = connect_client();
    client_->deliver("POST /v1/query HTTP/1.1\r\nhost: a\r\ncontent-length: " + std::to_string(body.size()) +
                     "\r\n\r\n" + body);
    return received_tickets().back();
  }
  // Dispatches an attempt for a new query to engine 7, which accepts 20 bytes of the statement.
  FakeStreamPtr start_partially() {
    dispatch_attempt(send_query(), 0, 7);
    const auto engine = dialled_.back();
    engine->connect();
    engine->written.clear();
    engine->partial_writes_left = 1;
    std::string ready;
    sql::put_authentication_ok(ready);
    sql::put_key(ready, 1, 2);
    sql::put_ready(ready);
    engine->deliver(ready);
    EXPECT_EQ(engine->written.size(), 20U);
    return engine;
  }
  static std::string error_response(std::string_view code) {
    std::string out;
    sql::put_error(out, {"ERROR", code, "an error"});
    sql::put_ready(out);
    return out;
  }
  static std::string result() {
    std::string out;
    sql::put_complete(out, "INSERT 0 1");
    sql::put_ready(out);
    return out;
  }
  FakeStreamPtr client_;
};

// The engine rejects a statement of which it has received a part, and is ready for the next one. If the connection
// were reused, the rest of the statement would be written: it would run although its attempt was reported as never
// begun, and a second time on the engine of the retry.
TEST_F(Postgres, ErrorToAPartialStatementEndsItsConnection) {
  const auto engine = start_partially();
  engine->deliver(error_response("53300"));
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::rejected});
  EXPECT_TRUE(engine->closed);
  engine->partial_writes_left.reset();
  engine->become_writable();
  EXPECT_EQ(engine->written.size(), 20U) << "expected nothing of the statement to be written after its end";
  dispatch_attempt(send_query(), 0, 7);
  EXPECT_EQ(dialled_.size(), 2U) << "expected a new connection for the next attempt";
}

// No result can belong to a statement that the engine has not received completely.
TEST_F(Postgres, ResultOfAPartialStatementIsNotTrusted) {
  const auto engine = start_partially();
  engine->deliver(result());
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::reset});
  EXPECT_TRUE(engine->closed);
}

// A cancel request has nothing to cancel before the engine has received the statement. The rest of the statement
// would be written later, and would run without a client.
TEST_F(Postgres, CancelledPartialStatementIsNeverCompleted) {
  const auto engine = start_partially();
  execute(router::Command(router::StopAttempt{received_tickets().back(), 0}));
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::cancelled});
  EXPECT_TRUE(engine->closed);
  EXPECT_EQ(dialled_.size(), 1U) << "expected no cancel request";
  engine->partial_writes_left.reset();
  engine->become_writable();
  EXPECT_EQ(engine->written.size(), 20U);
}

TEST_F(Postgres, PartialStatementIsCompletedAndItsConnectionReused) {
  const auto engine = start_partially();
  engine->partial_writes_left.reset();
  engine->become_writable();
  EXPECT_GT(engine->written.size(), 20U);
  engine->deliver(result());
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::served});
  dispatch_attempt(send_query(), 0, 7);
  EXPECT_EQ(dialled_.size(), 1U) << "expected the idle connection to be reused";
}

}  // namespace
}  // namespace heronwell::path
