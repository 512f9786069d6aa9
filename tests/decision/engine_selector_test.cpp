#include <gtest/gtest.h>

#include "decision_driver.hpp"

namespace heronwell::test {
namespace {

// If every router without a query on a full engine could still send one there, many routers would overload
// it. An engine that reports that it is full gets no query.
TEST(Capacity, SendsNoQueryToAnEngineThatReportsItIsFull) {
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

// Reports are old, and all routers read the same ones. With reports alone, every router would send to the one
// idle engine at the same time. It gets more queries than the others, but not all.
TEST(Capacity, SendsMoreButNotAllQueriesToAnEngineThatReportsItIsIdle) {
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
  EXPECT_GE(driver.attempts_at(8), 2) << "expected more queries on the idle engine than on the others";
}

// If the queries of a data group ran on all engines, no engine would have the group's data in its cache.
// While loads are equal, all routers send the queries of a group to the same two engines.
TEST(DataLocality, PrefersTheSameTwoEnginesForADataGroupWhileLoadIsEqual) {
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

// If loads of frequently used data groups ran on nearly every engine, most short queries would wait behind
// one. The loads of a group run on the same two engines, which queries that read the group avoid.
TEST(DataLocality, RunsLoadsOfADataGroupOnTwoEnginesThatReadersAvoid) {
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
  EXPECT_EQ(load_engines.size(), 2U)
      << "expected the same two engines from both routers without any communication";
  for (RequestId id = 11; id <= 16; ++id) {
    one.request(id, 0, 5s, 0, 12);
    ASSERT_EQ(one.attempts_of(id), 1);
    EXPECT_FALSE(load_engines.contains(one.started.back().engine));
  }
}

// In a large fleet, a router has reports of some engines only. If engines without reports counted as
// idle, all routers would send there. They are assumed to be like the rest, and an engine that is known
// to be idle is chosen.
TEST(LargeFleet, PrefersAnEngineKnownToBeIdleToEnginesWithoutReports) {
  Settings settings = basic_settings();
  settings.router_count = 100;
  settings.health_checks_enabled = true;
  settings.load_fields = {LoadField::in_flight};
  DecisionDriver driver(settings);
  std::vector<Endpoint> engines;
  for (EngineId id = 1; id <= 40; ++id) engines.push_back(endpoint(id));
  driver.update_endpoints(engines);
  for (EngineId id = 1; id <= 40; ++id) {  // only engine 5 is idle; 6 to 33 have no report
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

// A heavy class takes over the traffic for good, and the fleet's level is between the limits of the first and
// of later classes. Later classes must leave capacity to the first class.
TEST(Capacity, KeepsCapacityForTheFirstClassByLowerLimitsForLaterOnes) {
  Settings settings = basic_settings();
  settings.router_count = 100;
  settings.health_checks_enabled = true;
  settings.load_fields = {LoadField::in_flight};
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7), endpoint(8)});
  for (EngineId id : {7U, 8U}) {
    HealthCheckResult check;
    check.engine = id;
    check.load = {7.0};  // 1.75 threads per core
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
