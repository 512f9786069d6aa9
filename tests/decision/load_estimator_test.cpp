#include <gtest/gtest.h>

#include "decision_driver.hpp"

namespace heronwell::test {
namespace {

// One of many routers, with reports of twenty engines of 16 cores, again and again.
DecisionDriver driver_with_reports(bool dispersed, double queries, int rounds) {
  Settings settings = basic_settings();
  settings.router_count = 200;
  settings.machine_types = {{"one", 16, 0}};
  settings.load_fields = {LoadField::in_flight};
  DecisionDriver driver(settings);
  std::vector<Endpoint> engines;
  for (EngineId id = 1; id <= 20; ++id) engines.push_back(endpoint(id));
  driver.update_endpoints(engines);
  for (int round = 0; round < rounds; ++round) {
    driver.run_until(driver.now + 500ms);
    for (EngineId id = 1; id <= 20; ++id) {
      HealthCheckResult check;
      check.engine = id;
      check.load = {dispersed ? (id % 2 == 0 ? 0.0 : 2 * queries) : (id == 20 ? queries / 2 : queries)};
      driver.handle(driver.now, {check});
    }
  }
  return driver;
}

// Reports count queries, and limits count threads. With wide classes in the settings that nobody used, each
// reported query was taken for many threads, and engines seemed full. A reported query counts as one of
// those that run here.
TEST(LoadReports, AreWeighedByTheQueriesThatRunHereNotByAllClasses) {
  Settings settings = basic_settings();
  settings.classes[1].threads = settings.classes[2].threads = 4;  // never used
  settings.health_checks_enabled = true;
  settings.load_fields = {LoadField::in_flight};
  settings.router_count = 2;
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7)});
  for (RequestId id = 1; id <= 2; ++id) driver.request(id, 0, 60s, 0, id);
  ASSERT_EQ(driver.started.size(), 2U);
  driver.run_until(driver.now + 20s);
  HealthCheckResult check;
  check.engine = 7;
  check.load = {5};  // two of them from here
  driver.handle(driver.now, {check});
  driver.request(3, 0, 30s, 0, 3);
  EXPECT_EQ(driver.attempts_of(3), 1) << "about seven threads on four cores, not eleven";
}

// Reports came seconds late: all routers filled the engines that had been idle, again and again. Where
// reports lie far apart they are believed in part only; where they agree they still say which engine is
// idle.
TEST(OldReports, ThatLieFarApartAreBelievedInPartOnly) {
  DecisionDriver with_consistent_reports = driver_with_reports(false, 20, 5),
                 with_dispersed_reports = driver_with_reports(true, 20, 5);
  int sent_to_least_loaded = 0, sent_to_full = 0;
  for (RequestId id = 1; id <= 100; ++id) {
    for (auto* driver : {&with_consistent_reports, &with_dispersed_reports}) {
      driver->request(id, 0, 5s, 0, id);
      ASSERT_EQ(driver->attempts_of(id), 1);
      driver->finish(id, 0, driver->started.back().engine, AttemptResult::served);
    }
    sent_to_least_loaded += with_consistent_reports.started.back().engine == 20 ? 1 : 0;
    sent_to_full += with_dispersed_reports.started.back().engine % 2 == 1 ? 1 : 0;
  }
  EXPECT_GT(sent_to_least_loaded, 90) << "reports that agree tell which is idle";
  EXPECT_GE(sent_to_full, 5) << "else what was full a while ago may be empty now";
  EXPECT_LT(sent_to_full, 50);
}

// Reports are seconds old while load rises everywhere. What runs here rises at once, so where reports
// mislead the level is taken to be higher by as much, and fewer are sent.
TEST(OldReports, OwnThreadsAboveTheUsualShowThatAllRoutersOvershoot) {
  for (const bool dispersed : {false, true}) {
    DecisionDriver driver = driver_with_reports(dispersed, 28, 10);
    const auto before = driver.started.size();
    for (RequestId id = 1; id <= 6; ++id)
      driver.request(id, 0, 5s, 0, id);  // far more than it has run of late
    EXPECT_EQ(driver.started.size() - before, dispersed ? 2U : 6U);
  }
}

}  // namespace
}  // namespace heronwell::test
