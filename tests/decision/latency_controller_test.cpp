// These tests compare the control loop with sequences that are computed here from U(m) = U(m-1) + K (E(m) - r
// E(m-1)), with K = -0.80 in tenths of the pool, r = 0.30, E in delay objectives, and a delay objective of
// 0.30 of the latency objective.
#include <gtest/gtest.h>

#include "decision_driver.hpp"

namespace heronwell::test {
namespace {

Settings loop_settings() {
  Settings settings = basic_settings();
  settings.machine_types = {{"one", 10, 0}};  // one engine and one router: a pool of 20 threads
  settings.classes.resize(1);
  settings.classes[0].latency_objective = 100s;         // delay objective 30 s
  settings.classes[0].latency_objective_per_work = 10;  // no request is rejected during the test
  settings.classes[0].timeout = 1000s;
  settings.max_attempts = 1;
  return settings;
}

TEST(LatencyController, ReducesAClassWithoutDelayToTheThreadsOfOneQuery) {
  Settings settings = loop_settings();
  settings.classes[0].threads = 2;
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7)});
  driver.run_until(driver.now + 10s);
  EXPECT_DOUBLE_EQ(driver.decision_engine.class_view(0).budget_threads, 2);
  EXPECT_DOUBLE_EQ(driver.decision_engine.pool_threads(), 20);
}

TEST(LatencyController, KeepsTheSmallestBudgetWhileNoEngineIsReady) {
  DecisionDriver driver(loop_settings());
  driver.update_endpoints({endpoint(7)});
  driver.update_endpoints({with_state(endpoint(7), EndpointState::draining)}, UpdateKind::delta);
  driver.request(1, 0, 500s);
  driver.run_until(driver.now + 60s);
  // No engine is ready: the pool has 0 threads of the engine's 20, and the budget stays at its minimum
  // although a queued request has waited longer than the delay objective.
  EXPECT_DOUBLE_EQ(driver.decision_engine.class_view(0).budget_threads, 1);
  EXPECT_DOUBLE_EQ(driver.decision_engine.pool_threads(), 0);
}

TEST(LatencyController, ComputesBudgetsByTheControlEquation) {
  Settings settings = loop_settings();
  settings.machine_types[0].cores = 10;
  DecisionDriver driver(settings);
  // Requests of this class use all threads of the only engine, and one more is queued: E falls below 0.
  driver.update_endpoints({endpoint(7)});
  for (RequestId id = 1; id <= 21; ++id) driver.request(id, 0, 900s);
  ASSERT_EQ(driver.decision_engine.class_view(0).queued, 1U) << "expected 20 running requests and one queued";
  // Period m ends at 2 s x m. One request is queued since 0 s, so its delay is 2m seconds. Period 1 also
  // counts the 20 requests that started at once: its mean delay is 2 / 21.
  const double pool = 20, gain = -0.8 * pool / 10;
  double u = 1, previous_error = 0;
  for (int m = 1; m <= 25; ++m) {
    // A progress message, so that the engine is not ejected as silent.
    driver.handle(driver.now, {AttemptProgress{1, 0, 7, ProgressKind::spill, 1}});
    driver.run_until(100s + std::chrono::milliseconds(2000 * m + 19));
    const double wait = m == 1 ? 2.0 / 21 : 2.0 * m;
    const double error = (30 - wait) / 30;
    u = std::clamp(u + gain * (error - 0.3 * previous_error), 1.0, pool);
    previous_error = error;
    EXPECT_NEAR(driver.decision_engine.class_view(0).budget_threads, u, 1e-6) << "period " << m;
  }
  EXPECT_GT(u, 1.0) << "expected the sequence to rise above the lower bound";
}

// Requests of two classes wait. The first class gets the threads of its control input U(m), the second gets
// the rest. After the sum of the control inputs has exceeded the pool (saturation), the next input of each
// class is computed from its budget instead of its previous input.
TEST(LatencyController, AllocatesBudgetsByRankAndUsesThemAsPreviousInputsAfterSaturation) {
  Settings settings = loop_settings();
  settings.classes.push_back(settings.classes[0]);
  settings.classes[1].latency_objective = 101s;  // ranks second; delay objective 30.3 s
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7)});
  for (RequestId id = 1; id <= 21; ++id) driver.request(id, 0, 900s);
  driver.request(22, 1, 900s);
  const double pool = 20, gain = -1.6, objectives[] = {30, 30.3};
  double u[] = {1, 1}, allocated[] = {1, 1}, previous_error[] = {0, 0};
  bool saturated_once = false;
  for (int m = 1; m <= 36; ++m) {
    driver.handle(driver.now, {AttemptProgress{1, 0, 7, ProgressKind::spill, 1}});
    driver.run_until(100s + std::chrono::milliseconds(2000 * m + 19));
    const bool saturated = u[0] + u[1] > pool;
    saturated_once = saturated_once || saturated;
    for (int c = 0; c < 2; ++c) {
      const double wait = m == 1 && c == 0 ? 2.0 / 21 : 2.0 * m;
      const double error = (objectives[c] - wait) / objectives[c];
      u[c] =
          std::clamp((saturated ? allocated[c] : u[c]) + gain * (error - 0.3 * previous_error[c]), 1.0, pool);
      previous_error[c] = error;
    }
    allocated[0] = std::min(u[0], pool);
    allocated[1] = std::max(1.0, std::min(u[1], pool - allocated[0]));
    for (ClassIndex c = 0; c < 2; ++c)
      EXPECT_NEAR(driver.decision_engine.class_view(c).budget_threads, allocated[c], 1e-6)
          << "period " << m << " class " << c;
  }
  EXPECT_TRUE(saturated_once);
}

TEST(LatencyController, UpdatesThePoolAtOnceWhenAnEngineIsRemoved) {
  DecisionDriver driver(loop_settings());
  driver.update_endpoints({endpoint(7), endpoint(8)});
  EXPECT_DOUBLE_EQ(driver.decision_engine.pool_threads(), 40);
  driver.update_endpoints({with_state(endpoint(8), EndpointState::removed)}, UpdateKind::delta);
  EXPECT_DOUBLE_EQ(driver.decision_engine.pool_threads(), 20);
}

}  // namespace
}  // namespace heronwell::test
