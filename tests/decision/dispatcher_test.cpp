#include <gtest/gtest.h>

#include "decision_driver.hpp"

namespace heronwell::test {
namespace {

// Attempts had deadlines of their own, earlier than the client's. They left work behind on engines that
// ignore cancellation, and cut honest long queries. An attempt now has all the time that the client has.
TEST(AttemptDeadline, IsTheClientsDeadlineNotAnEarlierOne) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7)});
  driver.request(1, 0, 5s);
  EXPECT_GT(driver.started[0].deadline, driver.now + 4900ms);
  EXPECT_LT(driver.started[0].deadline, driver.now + 5s);
}

// Long classes were rejected although their objective, which grows with their work, left time. They stay
// queued longer.
TEST(QueueingTime, AClassWhoseObjectiveGrowsWithItsWorkIsQueuedLonger) {
  Settings settings = basic_settings();
  settings.classes[2].idempotency = Idempotency::idempotent;
  settings.classes[2].latency_objective = settings.classes[0].latency_objective;
  settings.classes[2].latency_objective_per_work = 8;
  DecisionDriver driver(settings);
  driver.update_endpoints({});
  driver.request(1, 0);
  driver.request(2, 2);
  driver.run_until(driver.now + 1s);
  EXPECT_EQ(driver.rejected[1], 1);
  EXPECT_EQ(driver.rejected[2], 0);
  driver.run_until(driver.now + 1s);
  EXPECT_EQ(driver.rejected[2], 1);
}

TEST(QueueingTime, AQueuedRequestIsRejectedWhenItsExpectedAnswerWouldBeLate) {
  for (const Time work : {100ms, 30ms}) {  // of the usual size; small, with more time left to wait
    Settings settings = basic_settings();
    settings.classes.resize(1);
    DecisionDriver driver(settings);
    driver.update_endpoints({endpoint(7)});
    for (RequestId id = 1; id <= 60; ++id) {
      driver.handle(driver.now, {estimated_request(id, 100ms)});
      driver.finish(id, 0, driver.engine_of(id, 0), AttemptResult::served, 250ms);
    }
    driver.update_endpoints({});
    driver.handle(driver.now, {estimated_request(70, work)});
    driver.run_until(driver.now + 700ms);
    EXPECT_EQ(driver.final_answers(70), work == 100ms ? 1 : 0);
  }
}

TEST(Ranking, TheShorterObjectiveGoesFirstAndThenTheHigherPriority) {
  Settings settings = basic_settings();
  settings.machine_types = {{"one", 0.5, 0}};  // one thread
  settings.classes.resize(3);
  settings.classes[0].latency_objective = 2s;
  settings.classes[1].latency_objective = 1s;
  settings.classes[2].latency_objective = 1s;
  settings.classes[1].idempotency = settings.classes[2].idempotency = Idempotency::idempotent;
  settings.classes[2].priority_weight = 5;
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7)});
  for (RequestId id = 1; id <= 4; ++id) driver.request(id, 0);
  const auto started_before = driver.started.size();
  ASSERT_LT(started_before, 4U);
  driver.request(11, 1);
  driver.request(12, 2);
  ASSERT_EQ(driver.started.size(), started_before);
  for (RequestId id = 1; id <= 4 && driver.started.size() < started_before + 2; ++id) {
    if (driver.attempts_of(id) > 0) driver.finish(id, 0, 7, AttemptResult::served);
  }
  ASSERT_GT(driver.started.size(), started_before);
  EXPECT_EQ(driver.started[started_before].request, 12U);
}

// No engine is ready, so a request waits. When an answer would miss the latency objective it is rejected,
// once, long before its deadline.
TEST(QueueingTime, AQueuedRequestIsRejectedOnceItsLatencyObjectiveIsLost) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({});
  driver.request(1, kIdempotent);
  driver.run_until(driver.now + 900ms);
  EXPECT_EQ(driver.rejected[1], 1);
  driver.run_until(driver.now + 6s);
  EXPECT_EQ(driver.final_answers(1), 1);
}

}  // namespace
}  // namespace heronwell::test
