#include <gtest/gtest.h>

#include "decision_driver.hpp"

namespace heronwell::test {
namespace {

// A deadline of the attempt before the client's deadline would leave work behind on engines that ignore
// cancellation, and would end legitimate long queries. An attempt gets all of the client's time.
TEST(AttemptDeadline, IsTheClientsDeadline) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7)});
  driver.request(1, 0, 5s);
  EXPECT_GT(driver.started[0].deadline, driver.now + 4900ms);
  EXPECT_LT(driver.started[0].deadline, driver.now + 5s);
}

// A latency objective that grows with the work leaves more time to wait. Requests of such a class must not be
// rejected as early as those of a class with a fixed objective.
TEST(QueueingTime, IsLongerForAClassWhoseObjectiveGrowsWithItsWork) {
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

TEST(QueueingTime, RejectsAQueuedRequestWhenItsExpectedAnswerWouldBeLate) {
  for (const Time work : {100ms, 30ms}) {  // usual size; small, so that it may wait longer
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

TEST(Ranking, StartsTheShorterObjectiveFirstAndThenTheHigherPriority) {
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

// No engine is ready, so a request waits. It is rejected, exactly once, when its answer would miss the
// latency objective, long before its deadline.
TEST(QueueingTime, RejectsAQueuedRequestOnceWhenItCannotMeetItsObjective) {
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
