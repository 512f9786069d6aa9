// The control loop, against sequences worked out by hand from U(m) = U(m-1) + K (E(m) - r E(m-1)), with K =
// -0.80 in tenths of the pool, r = 0.30, E in delay objectives, and a delay objective of 0.30 of the latency
// objective.
#include <gtest/gtest.h>

#include "decision_driver.hpp"

namespace heronwell::test {
namespace {

Settings loop_settings() {
  Settings s = basic_settings();
  s.machine_types = {{"one", 10, 0}};  // pool of one engine and one router: 20 threads
  s.classes.resize(1);
  s.classes[0].latency_objective = 100s;         // delay objective 30 s
  s.classes[0].latency_objective_per_work = 10;  // nothing is rejected while the loop is watched
  s.classes[0].timeout = 1000s;
  s.max_attempts = 1;
  return s;
}

TEST(LatencyController, AClassThatDoesNotWaitFallsToOneQuerysThreads) {
  Settings s = loop_settings();
  s.classes[0].threads = 2;
  DecisionDriver driver(s);
  driver.update_endpoints({endpoint(7)});
  driver.run_until(driver.now + 10s);
  EXPECT_DOUBLE_EQ(driver.decision_engine.class_view(0).budget_threads, 2);
  EXPECT_DOUBLE_EQ(driver.decision_engine.pool_threads(), 20);
}

TEST(LatencyController, RequestsStillQueuedShowInTheMeasure) {
  DecisionDriver driver(loop_settings());
  driver.update_endpoints({endpoint(7)});
  driver.update_endpoints({with_state(endpoint(7), EndpointState::draining)}, UpdateKind::delta);
  driver.request(1, 0, 500s);
  driver.run_until(driver.now + 60s);
  // Nothing is ready: the pool is 0, budgets stay at the least. Then the engine comes back with 20 threads,
  // and a request that came long ago has waited past the objective.
  EXPECT_DOUBLE_EQ(driver.decision_engine.class_view(0).budget_threads, 1);
  EXPECT_DOUBLE_EQ(driver.decision_engine.pool_threads(), 0);
}

TEST(LatencyController, TheBudgetFollowsTheControlEquationInEveryPeriod) {
  Settings s = loop_settings();
  s.machine_types[0].cores = 10;
  DecisionDriver driver(s);
  // One engine whose every slot is taken by this class, with more requests queued behind: E falls below 0.
  driver.update_endpoints({endpoint(7)});
  for (RequestId id = 1; id <= 21; ++id) driver.request(id, 0, 900s);
  ASSERT_EQ(driver.decision_engine.class_view(0).queued, 1U)
      << "20 of the 21 requests fill the 20 threads of the pool, so one is queued";
  // Period m ends at 2 s x m; one request is queued since 0 s, so its wait is 2m seconds.
  // Period 1 also counts the 20 that went at once: mean wait 2 / 21.
  const double pool = 20, gain = -0.8 * pool / 10;
  double u = 1, before = 0;
  for (int m = 1; m <= 25; ++m) {
    driver.handle(driver.now, {AttemptProgress{1, 0, 7, ProgressKind::spill,
                                               1}});  // a word, so that the engine is not taken for silent
    driver.run_until(100s + std::chrono::milliseconds(2000 * m + 19));
    const double wait = m == 1 ? 2.0 / 21 : 2.0 * m;
    const double error = (30 - wait) / 30;
    u = std::clamp(u + gain * (error - 0.3 * before), 1.0, pool);
    before = error;
    EXPECT_NEAR(driver.decision_engine.class_view(0).budget_threads, u, 1e-6) << "period " << m;
  }
  EXPECT_GT(u, 1.0) << "the sequence must leave the lower bound";
}

// Two classes, both waiting: the first takes what it asks for, the second what is left. Once the sum passed
// the pool, each starts from what it got, not from what it asked for.
TEST(LatencyController, BudgetsFillByRankAndSaturationStartsFromWhatAClassGot) {
  Settings s = loop_settings();
  s.classes.push_back(s.classes[0]);
  s.classes[1].latency_objective = 101s;  // ranks second; delay objective 30.3 s
  DecisionDriver driver(s);
  driver.update_endpoints({endpoint(7)});
  for (RequestId id = 1; id <= 21; ++id) driver.request(id, 0, 900s);
  driver.request(22, 1, 900s);
  const double pool = 20, gain = -1.6, objectives[] = {30, 30.3};
  double u[] = {1, 1}, got[] = {1, 1}, before[] = {0, 0};
  bool saturated_once = false;
  for (int m = 1; m <= 36; ++m) {
    driver.handle(driver.now, {AttemptProgress{1, 0, 7, ProgressKind::spill, 1}});
    driver.run_until(100s + std::chrono::milliseconds(2000 * m + 19));
    const bool saturated = u[0] + u[1] > pool;
    saturated_once = saturated_once || saturated;
    for (int c = 0; c < 2; ++c) {
      const double wait = m == 1 && c == 0 ? 2.0 / 21 : 2.0 * m;
      const double error = (objectives[c] - wait) / objectives[c];
      u[c] = std::clamp((saturated ? got[c] : u[c]) + gain * (error - 0.3 * before[c]), 1.0, pool);
      before[c] = error;
    }
    got[0] = std::min(u[0], pool);
    got[1] = std::max(1.0, std::min(u[1], pool - got[0]));
    for (ClassIndex c = 0; c < 2; ++c)
      EXPECT_NEAR(driver.decision_engine.class_view(c).budget_threads, got[c], 1e-6)
          << "period " << m << " class " << c;
  }
  EXPECT_TRUE(saturated_once);
}

TEST(LatencyController, ALostEngineChangesThePoolAtOnce) {
  DecisionDriver driver(loop_settings());
  driver.update_endpoints({endpoint(7), endpoint(8)});
  EXPECT_DOUBLE_EQ(driver.decision_engine.pool_threads(), 40);
  driver.update_endpoints({with_state(endpoint(8), EndpointState::removed)}, UpdateKind::delta);
  EXPECT_DOUBLE_EQ(driver.decision_engine.pool_threads(), 20);
}

}  // namespace
}  // namespace heronwell::test
