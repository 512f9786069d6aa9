#include <gtest/gtest.h>

#include "decision_driver.hpp"

namespace heronwell::test {
namespace {

// With the engines' own choice of memory, large queries spill to disk and cost several times their work.
// Grants follow the memory needs that answers report, with a margin.
TEST(MemoryGrants, FollowTheMemoryNeedsThatAnswersReport) {
  Settings settings = basic_settings();
  settings.memory_grants_enabled = true;
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7)});
  const auto granted = [&driver](RequestId id) {
    RequestArrived arrival;
    arrival.request = id;
    arrival.time_left = 5s;
    for (const auto& action : driver.handle(driver.now, {arrival}))
      if (const auto* resources = std::get_if<SetResources>(&action)) return resources->memory_mb;
    return -1.0;
  };
  EXPECT_EQ(granted(1), 0) << "expected no grant before an answer reports a need: the engine chooses";
  AttemptFinished outcome;
  outcome.request = 1;
  outcome.engine = 7;
  outcome.request_finished = true;
  outcome.work = 100ms;
  outcome.memory_mb = 100;
  driver.handle(driver.now, {outcome});
  EXPECT_GT(granted(2), 200);
}

TEST(EnginePriority, IsHigherForSmallerQueriesOfLaterClasses) {
  Settings settings = basic_settings();
  settings.engine_priorities_enabled = true;
  settings.classes[1].idempotency = Idempotency::idempotent;
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7), endpoint(8)});
  std::vector<int> priorities;
  const auto send = [&](RequestId id, Time work) {
    auto arrival = estimated_request(id, work);
    arrival.class_index = 1;
    for (const auto& action : driver.handle(driver.now, {arrival}))
      if (const auto* resources = std::get_if<SetResources>(&action))
        priorities.push_back(resources->priority);
    driver.finish(id, 0, driver.engine_of(id, 0), AttemptResult::served);
  };
  for (RequestId id = 1; id <= 30; ++id) send(id, 100ms);
  priorities.clear();
  send(40, 20ms);
  send(41, 100ms);
  send(42, 280ms);
  EXPECT_EQ(priorities, (std::vector<int>{2, 1, 0}));
}

TEST(MemoryGrants, CorrectEstimatesByTheNeedsThatAnswersReport) {
  Settings settings = basic_settings();
  settings.memory_grants_enabled = true;
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7), endpoint(8)});
  double granted = 0;
  for (RequestId id = 1; id <= 100; ++id) {
    for (const auto& action : driver.handle(driver.now, {estimated_request(id, 100ms, 50)}))
      if (const auto* resources = std::get_if<SetResources>(&action)) granted = resources->memory_mb;
    if (id == 1) {
      EXPECT_NEAR(granted, 100, 1) << "expected twice the estimate before an answer reports a need";
    }
    AttemptFinished outcome;
    outcome.request = id;
    outcome.engine = driver.engine_of(id, 0);
    outcome.latency = 100ms;
    outcome.request_finished = true;
    outcome.work = 100ms;
    outcome.memory_mb = 150;
    driver.handle(driver.now, {outcome});
  }
  EXPECT_NEAR(granted, 300, 3) << "expected twice the needs, which are three times the class's estimates";
}

// If the needs of queries without an estimate were divided by an estimate of 0, the next grant would be
// infinite. The first estimate is used without a correction.
TEST(MemoryGrants, DoNotCorrectTheFirstEstimateAfterQueriesWithoutOne) {
  Settings settings = basic_settings();
  settings.memory_grants_enabled = true;
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7), endpoint(8)});
  driver.request(1, 0);
  AttemptFinished outcome;
  outcome.request = 1;
  outcome.engine = driver.started.back().engine;
  outcome.latency = 100ms;
  outcome.request_finished = true;
  outcome.work = 100ms;
  outcome.memory_mb = 150;
  driver.handle(driver.now, {outcome});
  double granted = 0;
  for (const auto& action : driver.handle(driver.now, {estimated_request(2, 100ms, 50)}))
    if (const auto* resources = std::get_if<SetResources>(&action)) granted = resources->memory_mb;
  EXPECT_NEAR(granted, 100, 1);
}

}  // namespace
}  // namespace heronwell::test
