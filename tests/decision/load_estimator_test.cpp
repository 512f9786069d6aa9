#include <gtest/gtest.h>

#include "decision_driver.hpp"

namespace heronwell::test {
namespace {

// One of many routers, with reports of twenty engines of 16 cores, again and again.
DecisionDriver driver_with_reports(bool apart, double queries, int rounds) {
  Settings s = basic_settings();
  s.router_count = 200;
  s.machine_types = {{"one", 16, 0}};
  s.load_fields = {LoadField::in_flight};
  DecisionDriver driver(s);
  std::vector<Endpoint> engines;
  for (EngineId id = 1; id <= 20; ++id) engines.push_back(endpoint(id));
  driver.update_endpoints(engines);
  for (int round = 0; round < rounds; ++round) {
    driver.run_until(driver.now + 500ms);
    for (EngineId id = 1; id <= 20; ++id) {
      HealthCheckResult p;
      p.engine = id;
      p.load = {apart ? (id % 2 == 0 ? 0.0 : 2 * queries) : (id == 20 ? queries / 2 : queries)};
      driver.handle(driver.now, {p});
    }
  }
  return driver;
}

// Reports count queries, and limits count threads. With wide classes in the settings that nobody used, each
// reported query was taken for many threads, and engines seemed full. A reported query counts with the
// mean threads of this router's own queries.
TEST(LoadReports, CountAQueryWithTheMeanThreadsOfThisRoutersQueriesNotOfAllClasses) {
  Settings s = basic_settings();
  s.classes[1].threads = s.classes[2].threads = 4;  // never used
  s.health_checks_enabled = true;
  s.load_fields = {LoadField::in_flight};
  s.router_count = 2;
  DecisionDriver driver(s);
  driver.update_endpoints({endpoint(7)});
  for (RequestId id = 1; id <= 2; ++id) driver.request(id, 0, 60s, 0, id);
  ASSERT_EQ(driver.started.size(), 2U);
  driver.run_until(driver.now + 20s);
  HealthCheckResult check;
  check.engine = 7;
  check.load = {5};  // two of them from this router
  driver.handle(driver.now, {check});
  driver.request(3, 0, 30s, 0, 3);
  EXPECT_EQ(driver.attempts_of(3), 1) << "about seven threads on four cores, not eleven";
}

// Reports came seconds late: all routers filled the engines that had been idle, again and again. Where
// reports lie far apart they are believed in part only; where they agree they still say which engine is
// idle.
TEST(OldReports, ThatLieFarApartAreBelievedInPartOnly) {
  DecisionDriver good = driver_with_reports(false, 20, 5), bad = driver_with_reports(true, 20, 5);
  int emptiest = 0, full = 0;
  for (RequestId id = 1; id <= 100; ++id) {
    for (auto* driver : {&good, &bad}) {
      driver->request(id, 0, 5s, 0, id);
      ASSERT_EQ(driver->attempts_of(id), 1);
      driver->finish(id, 0, driver->started.back().engine, AttemptResult::served);
    }
    emptiest += good.started.back().engine == 20 ? 1 : 0;
    full += bad.started.back().engine % 2 == 1 ? 1 : 0;
  }
  EXPECT_GT(emptiest, 90) << "reports that agree tell which is idle";
  EXPECT_GE(full, 5)
      << "reports that lie far apart may be old: an engine reported as full may be empty by now";
  EXPECT_LT(full, 50);
}

// Reports are seconds old while load rises everywhere. The load that this router itself causes rises at once,
// so where reports mislead the level is taken to be higher by as much, and fewer requests are sent.
TEST(OldReports, OwnThreadsAboveTheUsualShowThatAllRoutersOvershoot) {
  for (const bool apart : {false, true}) {
    DecisionDriver driver = driver_with_reports(apart, 28, 10);
    const auto before = driver.started.size();
    for (RequestId id = 1; id <= 6; ++id)
      driver.request(id, 0, 5s, 0, id);  // far more than it has run of late
    EXPECT_EQ(driver.started.size() - before, apart ? 2U : 6U);
  }
}

}  // namespace
}  // namespace heronwell::test
