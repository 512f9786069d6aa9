#include <gtest/gtest.h>

#include "decision_driver.hpp"

namespace heronwell::test {
namespace {

TEST(Determinism, TheSameSeedAndEventsGiveTheSameActions) {
  const auto run = [] {
    DecisionDriver driver(basic_settings(), 99);
    driver.update_endpoints({endpoint(3), endpoint(4), endpoint(5)});
    for (RequestId id = 1; id <= 30; ++id) {
      driver.request(id, static_cast<ClassIndex>(id % 3));
      driver.run_until(driver.now + 30ms);
    }
    std::vector<std::pair<RequestId, EngineId>> attempts;
    for (const auto& start : driver.started) attempts.emplace_back(start.request, start.engine);
    return attempts;
  };
  EXPECT_EQ(run(), run());
}

TEST(Events, RejectsARequestOfAnUnknownClass) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7)});
  driver.request(1, 99);
  EXPECT_EQ(driver.rejected[1], 1);
}

}  // namespace
}  // namespace heronwell::test
