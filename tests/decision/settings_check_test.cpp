#include <gtest/gtest.h>

#include "decision_driver.hpp"

namespace heronwell::test {
namespace {

TEST(SettingsCheck, RejectsInvalidSettingsByName) {
  Settings settings = basic_settings();
  settings.router_count = 0;
  try {
    DecisionEngine decision_engine(settings, 1);
    FAIL();
  } catch (const std::invalid_argument& error) {
    EXPECT_NE(std::string(error.what()).find("gateways"), std::string::npos);
  }
  settings = basic_settings();
  settings.classes[0].latency_objective = 0s;
  EXPECT_THROW(DecisionEngine(settings, 1), std::invalid_argument);
  settings = basic_settings();
  settings.machine_types.clear();
  EXPECT_THROW(DecisionEngine(settings, 1), std::invalid_argument);
}

TEST(SettingsCheck, AcceptsSettingsWithoutOptionalValues) {
  Settings settings;
  settings.classes = {basic_settings().classes[0]};
  settings.machine_types = {{"one", 1, 0}};
  DecisionDriver driver(settings);
  auto started_now = endpoint(7);
  started_now.last_started = driver.now;
  driver.update_endpoints({started_now});
  driver.request(1, 0);
  EXPECT_EQ(driver.attempts_of(1), 1);
}

}  // namespace
}  // namespace heronwell::test
