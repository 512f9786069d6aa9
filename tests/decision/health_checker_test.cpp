#include <gtest/gtest.h>

#include "decision_driver.hpp"

namespace heronwell::test {
namespace {

TEST(LargeFleet, HealthChecksAndGossipPerRequestDoNotGrowWithTheFleet) {
  for (const unsigned size : {20U, 200U}) {
    Settings settings = basic_settings();
    settings.router_count = 4 * size;
    settings.health_checks_enabled = settings.gossip_enabled = true;
    settings.load_fields = {LoadField::in_flight};
    DecisionDriver driver(settings);
    std::vector<Endpoint> engines;
    for (EngineId id = 1; id <= size; ++id) engines.push_back(endpoint(id));
    driver.update_endpoints(engines);
    std::size_t checks = 0, bytes = 0;
    for (RequestId id = 1; id <= 50; ++id) {
      RequestArrived arrival;
      arrival.request = id;
      arrival.time_left = 5s;
      std::vector<Action> actions = driver.handle(driver.now, {arrival});
      for (int tick = 0; tick < 10; ++tick) {
        const auto more = driver.handle(driver.next_timer, {TimerFired{}});
        actions.insert(actions.end(), more.begin(), more.end());
      }
      for (const auto& action : actions) {
        checks += std::holds_alternative<StartHealthCheck>(action) ? 1 : 0;
        const auto* gossip = std::get_if<SendGossip>(&action);
        if (gossip == nullptr) continue;
        EXPECT_TRUE(gossip->to_router.has_value()) << "expected a message to one router, not to all of them";
        bytes += gossip->bytes.size();
      }
    }
    EXPECT_LE(checks, 50U);
    EXPECT_LE(bytes, 50U * 150U);
    EXPECT_GT(checks, 0U);
    EXPECT_GT(bytes, 0U);
  }
}

}  // namespace
}  // namespace heronwell::test
