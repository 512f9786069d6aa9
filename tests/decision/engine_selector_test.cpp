#include <gtest/gtest.h>

#include "decision_driver.hpp"

namespace heronwell::test {
namespace {

// Every router without a query on a full engine still sent one there; with many routers the engine was
// overloaded. One that is reported full gets nothing.
TEST(Capacity, AnEngineReportedFullGetsNothing) {
  Settings settings = basic_settings();
  settings.router_count = 8;
  settings.load_fields = {LoadField::in_flight};
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7)});
  driver.request(1, 0);
  AttemptFinished outcome;
  outcome.request = 1;
  outcome.engine = 7;
  outcome.request_finished = true;
  outcome.load = {60};
  driver.handle(driver.now, {outcome});
  driver.request(2, 0);
  EXPECT_EQ(driver.attempts_of(2), 0);
}

// Reports are late and the same for all routers: by them alone every router sent to the one idle engine at
// once. It gets more than the others, but not everything.
TEST(Capacity, AnEngineReportedIdleDoesNotGetEverything) {
  Settings settings = basic_settings();
  settings.router_count = 4;
  settings.load_fields = {LoadField::in_flight};
  settings.machine_types = {{"one", 16, 0}};
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7), endpoint(8), endpoint(9)});
  for (const EngineId id : {7U, 8U, 9U}) {
    HealthCheckResult check;
    check.engine = id;
    check.load = {id == 8 ? 0.0 : 8.0};
    driver.handle(driver.now, {check});
  }
  for (RequestId id = 1; id <= 8; ++id) driver.request(id, 0);
  EXPECT_LT(driver.attempts_at(8), 8);
  EXPECT_GE(driver.attempts_at(8), 2) << "but more than the others";
}

// Spread evenly, a group's data was in no engine's cache. While load is equal, all routers send a group's
// queries to the same two engines.
TEST(DataLocality, QueriesOfADataGroupPreferTheSameTwoEnginesWhileLoadIsEqual) {
  Settings settings = basic_settings();
  settings.machine_types = {{"one", 32, 0}};
  std::map<EngineId, int> preferred;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    DecisionDriver driver(settings, seed);
    driver.update_endpoints({endpoint(3), endpoint(4), endpoint(5), endpoint(6), endpoint(7)});
    driver.request(1, 0, 5s, 0, 12);
    ++preferred[driver.started[0].engine];
  }
  EXPECT_EQ(preferred.size(), 2U);
}

// Loads of hot data groups ran on nearly every engine, and most short queries waited behind one. Loads of a
// group now share two engines, which its readers avoid.
TEST(DataLocality, LoadsOfADataGroupShareTwoEnginesAndReadersAvoidThem) {
  Settings settings = basic_settings();
  settings.classes[1].holds_data_group = true;
  settings.classes[0].waits_for_data_group = true;
  DecisionDriver one(settings, 1), two(settings, 2);
  for (DecisionDriver* driver : {&one, &two}) {
    driver->update_endpoints({endpoint(3), endpoint(4), endpoint(5), endpoint(6), endpoint(7)});
    for (RequestId id = 1; id <= 4; ++id) driver->request(id, 1, 5s, 0, 12);
  }
  std::map<EngineId, int> load_engines;
  for (const DecisionDriver* driver : {&one, &two})
    for (const auto& sent : driver->started) ++load_engines[sent.engine];
  EXPECT_EQ(load_engines.size(), 2U) << "both routers choose the same two, though neither hears of the other";
  for (RequestId id = 11; id <= 16; ++id) {
    one.request(id, 0, 5s, 0, 12);
    ASSERT_EQ(one.attempts_of(id), 1);
    EXPECT_FALSE(load_engines.contains(one.started.back().engine));
  }
}

// In a large fleet a router hears of some engines only. Those without reports counted as idle, and all
// routers sent there. They count as like the rest, and the engine known to be idle is chosen.
TEST(LargeFleet, AnEngineWithoutReportsIsNotTakenForIdle) {
  Settings settings = basic_settings();
  settings.router_count = 100;
  settings.health_checks_enabled = true;
  settings.load_fields = {LoadField::in_flight};
  DecisionDriver driver(settings);
  std::vector<Endpoint> engines;
  for (EngineId id = 1; id <= 40; ++id) engines.push_back(endpoint(id));
  driver.update_endpoints(engines);
  for (EngineId id = 1; id <= 40; ++id) {  // all busy, but one that is known to be idle
    HealthCheckResult check;
    check.engine = id;
    check.load = {id == 5 ? 0.0 : 20.0};
    if (id <= 4 || id == 5 || id > 33) driver.handle(driver.now, {check});
  }
  driver.request(1, 0);
  driver.run_until(driver.now + 60ms);
  ASSERT_EQ(driver.attempts_of(1), 1);
  EXPECT_EQ(driver.started.back().engine, 5U);
}

TEST(Capacity, LaterClassesStopEarlierSoThatTheFirstFindsCapacity) {
  // Traffic has turned to a heavy class for good: the fleet stands between both limits.
  Settings settings = basic_settings();
  settings.router_count = 100;
  settings.health_checks_enabled = true;
  settings.load_fields = {LoadField::in_flight};
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7), endpoint(8)});
  for (EngineId id : {7U, 8U}) {
    HealthCheckResult check;
    check.engine = id;
    check.load = {7.0};  // 1.75 threads a core
    driver.handle(driver.now, {check});
  }
  driver.request(1, 1);
  driver.request(2, 0);
  driver.run_until(driver.now + 60ms);
  EXPECT_EQ(driver.attempts_of(1), 0);
  EXPECT_EQ(driver.attempts_of(2), 1);
}

}  // namespace
}  // namespace heronwell::test
