#include "decision/preferred_engines.hpp"

#include <gtest/gtest.h>

#include "../support/heap_counter.hpp"
#include "decision_driver.hpp"

namespace heronwell::test {
namespace {

constexpr EngineId kGrownFleet = 3'200, kSmallFleet = 10;

std::vector<Endpoint> fleet_of(EngineId engines) {
  std::vector<Endpoint> endpoints;
  for (EngineId id = 1; id <= engines; ++id) endpoints.push_back(endpoint(id));
  return endpoints;
}

// Serves one query of each data group, one after another. Returns by how many bytes the heap has grown.
std::size_t heap_growth(EngineId engines, int data_groups) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints(fleet_of(engines));
  driver.request(1, 0, 5s, 0, 1);
  driver.finish(1, 0, driver.engine_of(1, 0), AttemptResult::served);
  const auto before = heap_bytes();
  for (int group = 2; group <= data_groups; ++group) {
    const auto request = static_cast<RequestId>(group);
    driver.started.clear();
    driver.request(request, 0, 5s, 0, group);
    EXPECT_EQ(driver.started.size(), 1U) << "expected each query to be served";
    if (driver.started.empty()) break;
    driver.finish(request, 0, driver.started.back().engine, AttemptResult::served);
    driver.handle(driver.now + 10ms, {});
  }
  const auto after = heap_bytes();
  return after > before ? after - before : 0;
}

class PreferredEnginesOfAFleet : public testing::Test {
 protected:
  PreferredEnginesOfAFleet() {
    for (const auto& entry : fleet_of(kGrownFleet))
      table_.set_endpoint(table_.find_or_add(entry.engine), entry);
    table_.refresh();
  }
  std::vector<EngineId> ids_of(std::int64_t data_group) {
    std::vector<EngineId> ids;
    for (const auto* engine : preferred_.of(data_group)) ids.push_back(engine->id());
    return ids;
  }
  Settings settings_ = basic_settings();
  EngineTable table_{settings_};
  PreferredEngines preferred_{table_};
};

// In a fleet of 3,200 engines, each group of tables that was read for the first time kept a list with room for the
// whole fleet, and the router passed its memory limit within a minute. The operators allow a router of such a fleet
// 8 MB and 4 MB for each thousand engines more than one of the usual size.
TEST(PreferredEngines, ManyDataGroupsInAGrownFleetKeepWithinTheMemoryAllowed) {
  constexpr std::size_t kAllowedBytes = 8'000'000 + std::size_t{4'000'000} * kGrownFleet / 1'000;
  EXPECT_LT(heap_growth(kGrownFleet, kGrownFleet / 2), kAllowedBytes);
}

// Clients name the groups, so one client can name new ones without end.
TEST(PreferredEngines, EverNewDataGroupsInASmallFleetKeepWithinTheLimit) {
  EXPECT_LT(heap_growth(kSmallFleet, 60'000), 2 * PreferredEngines::kMaxKeptBytes);
}

TEST_F(PreferredEnginesOfAFleet, KeepWithinTheLimitHoweverManyGroupsAreRead) {
  for (std::int64_t group = 0; group < 1'200; ++group) {
    EXPECT_EQ(preferred_.of(group).size(), kGrownFleet / 5);
    ASSERT_LE(preferred_.kept_bytes(), PreferredEngines::kMaxKeptBytes);
  }
  EXPECT_GT(preferred_.kept_bytes(), PreferredEngines::kMaxKeptBytes / 2);
  preferred_.clear();
  EXPECT_EQ(preferred_.kept_bytes(), 0U);
}

// If a group had other engines once its choice was dropped, its data would be cached on ever more engines.
TEST_F(PreferredEnginesOfAFleet, AreTheSameAfterTheirChoiceWasDropped) {
  const auto first = ids_of(7);
  for (std::int64_t group = 100; group < 1'100; ++group) (void)preferred_.of(group);
  EXPECT_EQ(ids_of(7), first);
  EXPECT_NE(ids_of(8), first);
}

}  // namespace
}  // namespace heronwell::test
