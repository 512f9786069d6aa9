#include <gtest/gtest.h>

#include "decision_driver.hpp"

namespace heronwell::test {
namespace {

TEST(EngineTable, RemovesAGoneEngineAndTreatsItAsNewWhenItReturns) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7), endpoint(8)});
  for (int n = 0; n < 2; ++n) {
    driver.request(1 + n, 0);
    driver.finish(1 + n, 0, driver.started.back().engine, AttemptResult::reset);
  }
  driver.update_endpoints({endpoint(9)});
  driver.request(10, 0);
  EXPECT_EQ(driver.started.back().engine, 9U);
  driver.finish(10, 0, 9, AttemptResult::served);
  driver.update_endpoints({endpoint(7)});
  driver.request(11, 0);
  EXPECT_EQ(driver.attempts_of(11), 1) << "expected the earlier failures to be forgotten";
}

}  // namespace
}  // namespace heronwell::test
