#include <gtest/gtest.h>

#include "decision_driver.hpp"

namespace heronwell::test {
namespace {

// Returns a driver of one of many routers after `rounds` rounds of load reports from twenty engines of 16
// cores. Each report counts about `queries` queries. If `dispersed` is set, every second engine reports none
// and the others report twice as many; otherwise only engine 20 differs, with half as many.
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

// Reports count queries, and limits count threads. If a reported query counted as the mean threads of all
// classes, classes with many threads that nobody uses would make engines seem full. It counts as the mean
// threads of the queries that this router runs.
TEST(LoadReports, CountAQueryAsTheMeanThreadsOfThisRoutersQueries) {
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
  check.load = {5};  // includes the two queries of this router
  driver.handle(driver.now, {check});
  driver.request(3, 0, 30s, 0, 3);
  EXPECT_EQ(driver.attempts_of(3), 1)
      << "expected an estimate of about seven threads on four cores, not eleven";
}

// When reports are seconds old, all routers fill the engines that were idle, and the load swings between
// engines. Dispersed reports therefore get a reduced weight; consistent reports still show which engine has
// the least load.
TEST(OldReports, HaveAReducedWeightWhenDispersed) {
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
  EXPECT_GT(sent_to_least_loaded, 90)
      << "expected most queries on the least loaded engine if reports are consistent";
  EXPECT_GE(sent_to_full, 5) << "expected some queries on engines that dispersed reports show as full";
  EXPECT_LT(sent_to_full, 50);
}

// Reports are seconds old while the load of all engines rises. This router's own load rises at once. If
// reports are dispersed, the level is therefore estimated higher, in proportion to how far this router's
// own threads exceed their recent average, and fewer queries are sent.
TEST(OldReports, RaiseTheLevelByOwnThreadsAboveTheirAverageWhenDispersed) {
  for (const bool dispersed : {false, true}) {
    DecisionDriver driver = driver_with_reports(dispersed, 28, 10);
    const auto before = driver.started.size();
    for (RequestId id = 1; id <= 6; ++id) driver.request(id, 0, 5s, 0, id);  // far above its recent average
    EXPECT_EQ(driver.started.size() - before, dispersed ? 2U : 6U);
  }
}

}  // namespace
}  // namespace heronwell::test
