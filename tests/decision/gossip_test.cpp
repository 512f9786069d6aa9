#include <gtest/gtest.h>

#include "decision_driver.hpp"

namespace heronwell::test {
namespace {

// When a quarter of the fleet restarts, the queries that ran there are gone. If the level estimated from
// gossip stayed high, all requests would be rejected. The estimate must fall within twenty messages.
TEST(FleetLevel, FollowsARestartWithinTwentyMessages) {
  Settings settings = basic_settings();
  settings.router_count = 40;
  settings.gossip_enabled = true;
  settings.load_fields = {LoadField::utilization};
  DecisionDriver peer(settings), driver(settings, 2);
  std::vector<Endpoint> engines;
  for (EngineId id = 1; id <= 5; ++id) engines.push_back(endpoint(id));
  for (auto* each : {&peer, &driver}) each->update_endpoints(engines);
  const auto next_message = [&peer] {  // returns the next message that the peer sends
    for (RequestId id = 100; id < 110; ++id)
      peer.request(id, 5);  // unknown class: rejected, but adds to the gossip budget
    for (int tick = 0; tick < 50; ++tick) {
      for (const auto& action : peer.handle(peer.next_timer, {TimerFired{}}))
        if (const auto* gossip = std::get_if<SendGossip>(&action)) return gossip->bytes;
    }
    return std::string();
  };
  for (RequestId id = 1; id <= 3; ++id) peer.request(id, 0);
  ASSERT_EQ(peer.started.size(), 3U);
  const auto busy_message = next_message();
  const auto sent = peer.started;
  for (const auto& send : sent) peer.finish(send.request, 0, send.engine, AttemptResult::served);
  const auto idle_message = next_message();
  ASSERT_NE(busy_message, idle_message);
  const auto receive = [&driver](const std::string& bytes) {
    GossipReceived received;
    received.from_router = 1;
    received.bytes = bytes;
    driver.handle(driver.now, {received});
  };
  for (int i = 0; i < 30; ++i) receive(busy_message);
  driver.request(1, 0);
  EXPECT_EQ(driver.started.size(), 0U) << "expected no attempt while gossip reports six threads per core";
  for (int i = 0; i < 20; ++i) receive(idle_message);
  driver.request(2, 0);
  EXPECT_GT(driver.started.size(), 0U);
}

}  // namespace
}  // namespace heronwell::test
