// Tests of engines that drain, fail or restart, of an unavailable endpoint list, and of what the router sends
// in these states.
#include "test_system.hpp"

namespace heronwell::e2e {
namespace {

TEST(Lists, ADrainDuringConnectionSetUpPreventsTheStatement) {
  TestSystem system({.engines = 2, .settings = ""});
  system.inject_fault(0, "slow_start_ms 150");
  system.inject_fault(1, "slow_start_ms 150");
  auto client = system.client();
  client.post(TestSystem::query_body("load", "a", "work_ms=1"));
  std::this_thread::sleep_for(50ms);
  system.set_engine_state(0, EndpointState::draining);  // the router is connecting to one of the engines
  EXPECT_EQ(client.read_response().status, 200);
  EXPECT_EQ(system.event_count("read", "a", 0), 0U);
  EXPECT_EQ(system.event_count("began", "a", 1), 1U);
}

TEST(Lists, ADrainingEngineReceivesNoNewQueries) {
  TestSystem system({.engines = 2});
  auto client = system.client();
  for (int i = 0; i < 20; ++i) {
    client.post(TestSystem::query_body("lookup", "w" + std::to_string(i), "work_ms=1"));
    ASSERT_EQ(client.read_response().status, 200);
  }
  system.set_engine_state(0, EndpointState::draining);
  ASSERT_TRUE(system.wait_for_metric("heronwell_engines_ready", 1));
  for (int i = 0; i < 20; ++i) {
    client.post(TestSystem::query_body("lookup", "d" + std::to_string(i), "work_ms=1"));
    ASSERT_EQ(client.read_response().status, 200);
    EXPECT_EQ(system.event_count("read", "d" + std::to_string(i), 0), 0U);
  }
  system.set_engine_state(0, EndpointState::ready);
  ASSERT_TRUE(system.wait_for_metric("heronwell_engines_ready", 2));
  unsigned count = 0;
  for (int i = 0; i < 40 && count == 0; ++i) {
    client.post(TestSystem::query_body("lookup", "r" + std::to_string(i), "work_ms=1"));
    ASSERT_EQ(client.read_response().status, 200);
    count += system.event_count("read", "r" + std::to_string(i), 0);
  }
  EXPECT_GT(count, 0U);
}

TEST(Lists, AnUnavailableListLeavesTheLastEndpointsInUse) {
  TestSystem system({.engines = 2});
  system.run_on_engine_thread([&] { system.list().set_unavailable(true); });
  std::this_thread::sleep_for(200ms);
  auto client = system.client();
  client.post(TestSystem::query_body("lookup", "a"));
  EXPECT_EQ(client.read_response().status, 200);
  EXPECT_GT(system.metric("heronwell_list_failures_total"), 0);
  system.run_on_engine_thread([&] { system.list().set_unavailable(false); });
  system.set_engine_state(1, EndpointState::removed);
  EXPECT_TRUE(system.wait_for_metric("heronwell_engines_ready", 1));
}

TEST(Cancels, NeverAffectAnotherStatement) {
  // A cancel request for a client that disconnected must not cancel the next statement on the same engine
  // connection.
  TestSystem system({.engines = 1});
  auto steady = system.client();
  for (int i = 0; i < 30; ++i) {
    auto leaving = system.client();
    leaving.post(TestSystem::query_body("lookup", "l" + std::to_string(i), "work_ms=3"));
    std::this_thread::sleep_for(std::chrono::milliseconds(i % 5));
    leaving.disconnect();
    steady.post(TestSystem::query_body("lookup", "s" + std::to_string(i), "work_ms=2"));
    ASSERT_EQ(steady.read_response().status, 200);
    EXPECT_EQ(system.event_count("cancel", "s" + std::to_string(i)), 0U);
  }
  EXPECT_TRUE(system.wait_for_metric("heronwell_requests_open", 0));
}

TEST(Engines, AHangingEngineOnlyDelaysASafeQuery) {
  TestSystem system({.engines = 2, .progress_interval = 100ms});
  system.inject_fault(0, "swallow 1");
  auto client = system.client();
  for (int i = 0; i < 6; ++i) {
    client.post(TestSystem::query_body("lookup", "h" + std::to_string(i), "work_ms=5"));
    EXPECT_EQ(client.read_response().status, 200) << i;
  }
}

TEST(Engines, ExcessQueriesAreServedOrRefusedWithRetryAfter) {
  TestSystem system({.engines = 1, .settings = "allow: {max_open: 100}\n", .threads = 2});
  std::vector<Client> clients;
  for (int i = 0; i < 30; ++i) {
    clients.push_back(system.client());
    clients.back().post(TestSystem::query_body("lookup", "q" + std::to_string(i), "work_ms=30"));
  }
  for (auto& client : clients) {
    const auto response = client.read_response();
    EXPECT_TRUE(response.status == 200 || response.status == 503) << response.body;
    EXPECT_EQ(response.retry_after.has_value(), response.status == 503);
  }
}

TEST(Routers, AStoppingRouterAnswersItsRunningRequests) {
  TestSystem system({.engines = 1});
  auto client = system.client();
  client.post(TestSystem::query_body("lookup", "a", "work_ms=100"));
  ASSERT_TRUE(system.wait_for_event("began", "a"));
  std::thread stopping([&] { system.stop_router(); });
  EXPECT_EQ(client.read_response().status, 200);
  stopping.join();
}

}  // namespace
}  // namespace heronwell::e2e
