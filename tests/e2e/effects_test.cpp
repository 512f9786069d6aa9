// Tests that a load, a statement with side effects, never runs twice when its engine fails at different
// points. The engines' records show what ran.
#include "test_system.hpp"

namespace heronwell::e2e {
namespace {

using Response = Client::Response;

class Effects : public testing::Test {
 protected:
  TestSystem system{{.engines = 2}};
  Response run_load(const std::string& id, const std::string& cost) {
    auto client = system.client();
    client.post(TestSystem::query_body("load", id, cost));
    return client.read_response();
  }
  void inject_fault_on_both(const std::string& fault) {
    system.inject_fault(0, fault);
    system.inject_fault(1, fault);
  }
};

TEST_F(Effects, ALoadFailsWithoutRetryIfItsEngineIsKilledAfterItBegan) {
  auto client = system.client();
  client.post(TestSystem::query_body("load", "a", "work_ms=1000"));
  ASSERT_TRUE(system.wait_for_event("began", "a"));
  system.kill_engine(system.engine_of("a"));
  const auto response = client.read_response();
  EXPECT_EQ(response.status, 502) << response.body;
  EXPECT_NE(response.body.find("\"retry_harmless\":false"), std::string::npos);
  std::this_thread::sleep_for(300ms);
  EXPECT_EQ(system.event_count("began", "a"), 1U);
  EXPECT_EQ(system.event_count("read", "a"), 1U);
}

TEST_F(Effects, ALoadRunsOnAnotherEngineIfItsEngineIsDownBeforeItBegins) {
  for (int i = 0; i < 4; ++i) {  // there is no pooled connection to one of the engines yet
    system.kill_engine(0);
    EXPECT_EQ(run_load("b" + std::to_string(i), "work_ms=1").status, 200);
    EXPECT_EQ(system.event_count("began", "b" + std::to_string(i)), 1U);
  }
}

TEST_F(Effects, AStalePooledConnectionDoesNotFailALoad) {
  EXPECT_EQ(run_load("warm0", "work_ms=1").status, 200);
  EXPECT_EQ(run_load("warm1", "work_ms=1").status, 200);
  system.run_on_engine_thread([&] {  // both restart at once, which closes the router's pooled connections
    for (unsigned i = 0; i < 2; ++i) system.start_engine(i, true);
  });
  for (int i = 0; i < 6; ++i) EXPECT_EQ(run_load("c" + std::to_string(i), "work_ms=1").status, 200);
}

TEST_F(Effects, ALoadFailsIfItsConnectionIsCutAfterTheLastRow) {
  inject_fault_on_both("cut 1");
  EXPECT_EQ(run_load("d", "work_ms=5 rows=3").status, 502);
  EXPECT_EQ(system.event_count("began", "d"), 1U);
}

TEST_F(Effects, ALoadFailsIfItsConnectionIsResetAfterItWasSent) {
  inject_fault_on_both("reset_before 1");
  EXPECT_EQ(run_load("e", "work_ms=5").status, 502);
  EXPECT_EQ(system.event_count("read", "e"), 1U)
      << "the router cannot exclude that it ran, so it must not retry";
  EXPECT_EQ(system.event_count("began", "e"), 0U);
}

TEST_F(Effects, ALoadRejectedWithANeverBeganCodeIsRetriedOrRefused) {
  system.inject_fault(0, "turn_away 1");
  for (int i = 0; i < 4; ++i) {
    const auto id = "f" + std::to_string(i);
    EXPECT_EQ(run_load(id, "work_ms=5").status, 200);
    EXPECT_EQ(system.event_count("began", id), 1U);
  }
  system.inject_fault(1, "turn_away 1");
  EXPECT_EQ(run_load("g", "work_ms=5").status, 503);
  EXPECT_EQ(system.event_count("began", "g"), 0U);
}

TEST_F(Effects, ALoadThatFailsWithAnEngineErrorIsNotRetried) {
  inject_fault_on_both("fail 1");
  const auto response = run_load("h", "work_ms=5");
  EXPECT_EQ(response.status, 502);
  EXPECT_EQ(system.event_count("read", "h"), 1U);
}

TEST_F(Effects, AStatementErrorIsReturnedToTheClient) {
  const auto response = run_load("i", "work_ms=5 error=23505");
  EXPECT_EQ(response.status, 422);
  EXPECT_NE(response.body.find("\"sqlstate\":\"23505\""), std::string::npos);
  EXPECT_EQ(system.event_count("read", "i"), 1U);
}

TEST_F(Effects, ALoadWhoseResponseNeverArrivesTimesOutWithoutRetry) {
  inject_fault_on_both("swallow 1");
  auto client = system.client();
  client.post(TestSystem::query_body("load", "j", "work_ms=5"), "heronwell-timeout-ms: 1500\r\n");
  const auto response = client.read_response();
  EXPECT_EQ(response.status, 504);
  EXPECT_EQ(system.event_count("began", "j"), 1U);
}

TEST_F(Effects, ASafeQueryIsRetriedOnAnotherEngineIfItsEngineIsKilled) {
  auto client = system.client();
  client.post(TestSystem::query_body("lookup", "k", "work_ms=300"));
  ASSERT_TRUE(system.wait_for_event("began", "k"));
  system.kill_engine(system.engine_of("k"));
  EXPECT_EQ(client.read_response().status, 200);
  EXPECT_EQ(system.event_count("began", "k"), 2U);
}

}  // namespace
}  // namespace heronwell::e2e
