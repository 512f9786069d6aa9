// Engines that come and go, lists that are late or away, and what may be sent meanwhile.
#include "rig.hpp"

namespace heronwell::e2e {
namespace {

TEST(Lists, ADrainWhileAnAttemptIsBeingDialledKeepsTheStatementBack) {
  Rig rig({.engines = 2, .settings = ""});
  rig.fault(0, "slow_start_ms 150");
  rig.fault(1, "slow_start_ms 150");
  auto client = rig.client();
  client.post(Rig::body("load", "a", "work_ms=1"));
  std::this_thread::sleep_for(50ms);
  rig.state(0, EndpointState::draining);  // one of them was being dialled
  EXPECT_EQ(client.answer().status, 200);
  EXPECT_EQ(rig.seen("read", "a", 0), 0U);
  EXPECT_EQ(rig.seen("began", "a", 1), 1U);
}

TEST(Lists, ADrainedEngineGetsNothingMore) {
  Rig rig({.engines = 2});
  auto client = rig.client();
  for (int i = 0; i < 20; ++i) {
    client.post(Rig::body("lookup", "w" + std::to_string(i), "work_ms=1"));
    ASSERT_EQ(client.answer().status, 200);
  }
  rig.state(0, EndpointState::draining);
  ASSERT_TRUE(rig.becomes("heronwell_engines_ready", 1));
  for (int i = 0; i < 20; ++i) {
    client.post(Rig::body("lookup", "d" + std::to_string(i), "work_ms=1"));
    ASSERT_EQ(client.answer().status, 200);
    EXPECT_EQ(rig.seen("read", "d" + std::to_string(i), 0), 0U);
  }
  rig.state(0, EndpointState::ready);
  ASSERT_TRUE(rig.becomes("heronwell_engines_ready", 2));
  unsigned again = 0;
  for (int i = 0; i < 40 && again == 0; ++i) {
    client.post(Rig::body("lookup", "r" + std::to_string(i), "work_ms=1"));
    ASSERT_EQ(client.answer().status, 200);
    again += rig.seen("read", "r" + std::to_string(i), 0);
  }
  EXPECT_GT(again, 0U);
}

TEST(Lists, ThatAreAwayLeaveTheLastOneInForce) {
  Rig rig({.engines = 2});
  rig.on_engines([&] { rig.list().set_unavailable(true); });
  std::this_thread::sleep_for(200ms);
  auto client = rig.client();
  client.post(Rig::body("lookup", "a"));
  EXPECT_EQ(client.answer().status, 200);
  EXPECT_GT(rig.metric("heronwell_list_failures_total"), 0);
  rig.on_engines([&] { rig.list().set_unavailable(false); });
  rig.state(1, EndpointState::removed);
  EXPECT_TRUE(rig.becomes("heronwell_engines_ready", 1));
}

TEST(Cancels, NeverMeetTheNextStatement) {
  // Statements are cancelled by clients that leave while others go on; none of those others is ever
  // cancelled.
  Rig rig({.engines = 1});
  auto steady = rig.client();
  for (int i = 0; i < 30; ++i) {
    auto leaving = rig.client();
    leaving.post(Rig::body("lookup", "l" + std::to_string(i), "work_ms=3"));
    std::this_thread::sleep_for(std::chrono::milliseconds(i % 5));
    leaving.hang_up();
    steady.post(Rig::body("lookup", "s" + std::to_string(i), "work_ms=2"));
    ASSERT_EQ(steady.answer().status, 200);
    EXPECT_EQ(rig.seen("cancel", "s" + std::to_string(i)), 0U);
  }
  EXPECT_TRUE(rig.becomes("heronwell_requests_open", 0));
}

TEST(Engines, ThatHangCostASafeQueryOnlyTime) {
  Rig rig({.engines = 2, .progress = 100ms});
  rig.fault(0, "swallow 1");
  auto client = rig.client();
  for (int i = 0; i < 6; ++i) {
    client.post(Rig::body("lookup", "h" + std::to_string(i), "work_ms=5"));
    EXPECT_EQ(client.answer().status, 200) << i;
  }
}

TEST(Engines, OneConnectionLimitIsNotAQueue) {
  Rig rig({.engines = 1, .settings = "allow: {max_open: 100}\n", .threads = 2});
  std::vector<Client> clients;
  for (int i = 0; i < 30; ++i) {
    clients.push_back(rig.client());
    clients.back().post(Rig::body("lookup", "q" + std::to_string(i), "work_ms=30"));
  }
  for (auto& client : clients) {
    const auto answer = client.answer();
    EXPECT_TRUE(answer.status == 200 || answer.status == 503) << answer.body;
    EXPECT_EQ(answer.retry_after.has_value(), answer.status == 503);
  }
}

TEST(Routers, ThatStopAnswerWhatTheyTook) {
  Rig rig({.engines = 1});
  auto client = rig.client();
  client.post(Rig::body("lookup", "a", "work_ms=100"));
  ASSERT_TRUE(rig.comes("began", "a"));
  std::thread stopping([&] { rig.stop_router(); });
  EXPECT_EQ(client.answer().status, 200);
  stopping.join();
}

}  // namespace
}  // namespace heronwell::e2e
