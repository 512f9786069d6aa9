#include <gtest/gtest.h>

#include "decision_driver.hpp"

namespace heronwell::test {
namespace {

// A query has a bad plan, and its progress predicts fifty times the usual answer time. It is restarted once,
// at another engine. If the second attempt is as slow, the query itself is long, and the attempt is kept.
TEST(BadPlan, RestartsAnAttemptOnceIfItsProgressPredictsAFarTooLongTime) {
  Settings settings = basic_settings();
  settings.progress_interval = 500ms;
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7), endpoint(8)});
  driver.request(1, 0);
  driver.run_until(driver.now + 1s);
  driver.handle(driver.now, {AttemptProgress{1, 0, driver.started[0].engine, ProgressKind::progress, 0.02}});
  ASSERT_EQ(driver.cancelled.size(), 1U);
  driver.finish(1, 0, driver.started[0].engine, AttemptResult::cancelled);
  ASSERT_EQ(driver.attempts_of(1), 2);
  driver.run_until(driver.now + 500ms);
  driver.handle(driver.now, {AttemptProgress{1, 1, driver.started[1].engine, ProgressKind::progress, 0.01}});
  driver.run_until(driver.now + 500ms);
  driver.handle(driver.now, {AttemptProgress{1, 1, driver.started[1].engine, ProgressKind::progress, 0.02}});
  EXPECT_EQ(driver.cancelled.size(), 1U) << "expected the second attempt to be kept";
}

// The progress of a query that is not idempotent predicts a very long time. A restart could double its
// effect, so the attempt is kept.
TEST(BadPlan, KeepsASlowAttemptOfARequestThatIsNotIdempotent) {
  Settings settings = basic_settings();
  settings.progress_interval = 500ms;
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7), endpoint(8)});
  driver.request(1, 1);
  driver.run_until(driver.now + 1s);
  driver.handle(driver.now, {AttemptProgress{1, 0, driver.started[0].engine, ProgressKind::progress, 0.001}});
  EXPECT_TRUE(driver.cancelled.empty());
}

}  // namespace
}  // namespace heronwell::test
