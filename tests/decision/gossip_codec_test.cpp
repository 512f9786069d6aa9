#include <gtest/gtest.h>

#include "decision_driver.hpp"

namespace heronwell::test {
namespace {

// A message of a peer router is truncated, too long or of an unknown kind. It is ignored as a whole, because
// a truncated message would yield wrong engine ids.
TEST(GossipCodec, IgnoresAMalformedMessageAsAWhole) {
  Settings settings = basic_settings();
  settings.router_count = 3;
  settings.gossip_enabled = true;
  const auto chosen_engine = [&settings](const std::string& bytes) {
    DecisionDriver driver(settings);
    driver.update_endpoints({endpoint(7), endpoint(8)});
    driver.handle(driver.now, {GossipReceived{1, bytes}});
    driver.request(1, 0);
    return driver.started.empty() ? 0U : driver.started.back().engine;
  };
  const std::string load_on_seven("o\x07\0\0\0\x06", 6), load_on_eight("o\x08\0\0\0\x06", 6);
  EXPECT_EQ(chosen_engine(load_on_seven), 8U);
  EXPECT_EQ(chosen_engine(load_on_eight), 7U);
  const auto choice_without_gossip = chosen_engine("");
  EXPECT_EQ(chosen_engine(load_on_seven.substr(0, 5)), choice_without_gossip);
  EXPECT_EQ(chosen_engine(load_on_eight + "x"), choice_without_gossip);
  EXPECT_EQ(chosen_engine("?" + load_on_seven.substr(1)), choice_without_gossip);
}

}  // namespace
}  // namespace heronwell::test
