#include <gtest/gtest.h>

#include "decision_driver.hpp"

namespace heronwell::test {
namespace {

// While the router process is paused for two seconds, requests wait in its sockets and arrive in one burst
// afterwards. Requests that cannot meet their latency objective any more are rejected at once, so that they
// do not delay the others.
TEST(Absence, RejectsRequestsThatWaitedDuringAPauseAndCannotMeetTheirObjective) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7), endpoint(8)});
  driver.request(1, 0);  // has 5 s left on arrival, like all requests without delay
  driver.finish(1, 0, driver.started.back().engine, AttemptResult::served);
  driver.now += 2s;
  RequestArrived late, recent;
  late.request = 2;
  late.time_left = 3200ms;
  recent.request = 3;
  recent.time_left = 4900ms;
  driver.handle(driver.now, {late, recent});
  EXPECT_EQ(driver.final_answers(2), 1);
  EXPECT_EQ(driver.attempts_of(2), 0);
  EXPECT_EQ(driver.attempts_of(3), 1);
  driver.run_until(driver.now + 100ms);
  driver.request(4, 0, 3200ms);  // without a pause, the client itself chose the short time limit
  EXPECT_EQ(driver.attempts_of(4), 1);
}

// One tenant sends twenty times its quota. The quota is a ratio of the measured arrival rate. If that rate
// followed the flood, the flood would soon be within the quota.
TEST(TenantQuota, DoesNotRiseWithAFloodOfOneTenant) {
  Settings settings = basic_settings();
  settings.over_quota_weight = 0.05;
  settings.health_checks_enabled = true;
  settings.load_fields = {LoadField::in_flight};
  settings.tenants = {{"a", 0.5, 5}, {"b", 0.5, 5}};
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7), endpoint(8)});
  RequestId id = 0;
  const auto run_one_second = [&](int requests_of_first) {
    std::vector<int> served(2);
    for (int n = 0; n < requests_of_first + 5; ++n) {
      RequestArrived arrival;
      arrival.request = ++id;
      arrival.tenant = n < requests_of_first ? 0 : 1;
      arrival.time_left = 5s;
      HealthCheckResult check;
      check.engine = 7 + id % 2;
      // During the flood, load of other routers congests the engine: above 1.5 threads per core.
      check.load = {requests_of_first > 5 ? 7.0 : 0.0};
      driver.handle(driver.now, {check, arrival});
      if (driver.attempts_of(id) > 0) {
        ++served[arrival.tenant];
        driver.finish(id, 0, driver.started.back().engine, AttemptResult::served, 50ms);
      }
      driver.run_until(driver.now + 1000ms / (requests_of_first + 5));
    }
    return served;
  };
  for (int n = 0; n < 12; ++n) run_one_second(5);
  int flooding = 0, other = 0;
  for (int n = 0; n < 10; ++n) {
    const auto served = run_one_second(100);
    flooding += served[0];
    other += served[1];
  }
  EXPECT_LE(flooding, 90) << "expected at most the quota of 5 requests per second and the saved tokens";
  EXPECT_GE(other, 45);
}

// One tenant floods the router while no engine is ready. Its requests beyond the quota are rejected on
// arrival; a request of another tenant is not.
TEST(TenantQuota, RejectsAFloodWhileRequestsAreQueuedButNoOtherTenant) {
  Settings settings = basic_settings();
  settings.over_quota_weight = 0.05;
  settings.tenants = {{"calm", 0.5, 20}, {"flood", 0.5, 20}};
  DecisionDriver driver(settings);
  driver.update_endpoints({});
  RequestId id = 0;
  const auto send = [&](std::uint32_t tenant) {
    RequestArrived arrival;
    arrival.request = ++id;
    arrival.tenant = tenant;
    arrival.time_left = 5s;
    driver.handle(driver.now, {arrival});
    return id;
  };
  for (int i = 0; i < 60; ++i) send(1);
  EXPECT_EQ(driver.rejected[id], 1);
  const auto calm = send(0);
  EXPECT_EQ(driver.rejected[calm], 0);
}

// One query with many times the usual work would take the capacity of several queries, and half of all
// requests would be rejected. While the fleet is congested, the largest queries are rejected first; a query
// of the usual size is never rejected because of its size.
TEST(QuerySize, RejectsTheLargestQueriesFirstWhileCongested) {
  Settings settings = basic_settings();
  settings.classes.resize(1);
  settings.load_fields = {LoadField::in_flight};
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7), endpoint(8)});
  const auto send_requests = [&driver](RequestId from, double reported_in_flight) {
    for (RequestId id = from; id < from + 60; ++id) {
      driver.handle(driver.now, {estimated_request(id, 100ms)});
      if (driver.attempts_of(id) == 1) {
        AttemptFinished outcome;
        outcome.request = id;
        outcome.engine = driver.engine_of(id, 0);
        outcome.latency = 100ms;
        outcome.request_finished = true;
        outcome.load = {reported_in_flight};
        driver.handle(driver.now, {outcome});
      }
      driver.run_until(driver.now + 100ms);
    }
  };
  send_requests(1, 1);
  driver.handle(driver.now, {estimated_request(500, 400ms)});
  EXPECT_EQ(driver.final_answers(500), 0) << "expected no rejection while the fleet is not congested";
  driver.finish(500, 0, driver.engine_of(500, 0), AttemptResult::served);
  send_requests(101, 5.5);
  driver.handle(driver.now, {estimated_request(501, 400ms), estimated_request(502, 100ms)});
  EXPECT_EQ(driver.final_answers(501), 1);
  EXPECT_EQ(driver.final_answers(502), 0);
}

TEST(QuerySize, RejectsAQueryAtOnceIfItsExpectedAnswerTimeExceedsItsTimeLeft) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7), endpoint(8)});
  for (RequestId id = 1; id <= 40; ++id) {
    driver.handle(driver.now, {estimated_request(id, 100ms)});
    driver.finish(id, 0, driver.engine_of(id, 0), AttemptResult::served, 400ms);
  }
  driver.handle(driver.now, {estimated_request(50, 3s)});
  EXPECT_EQ(driver.rejected[50], 1);
}

// If engines report no load and gossip is off, only answer times above the usual ones show congestion. If
// they were not used, a flood would be admitted.
TEST(TenantQuota, RejectsAFloodWithoutLoadReportsIfAnswersAreSlow) {
  for (const bool slow : {false, true}) {
    Settings settings = basic_settings();
    settings.classes.resize(1);
    settings.over_quota_weight = 0.1;
    settings.tenants = {{"calm", 0.5, 5}, {"flood", 0.5, 5}};
    DecisionDriver driver(settings);
    driver.update_endpoints({endpoint(7), endpoint(8)});
    RequestId id = 0;
    const auto send = [&](std::uint32_t tenant, Time latency) {
      RequestArrived arrival;
      arrival.request = ++id;
      arrival.tenant = tenant;
      arrival.time_left = 5s;
      driver.handle(driver.now, {arrival});
      if (driver.attempts_of(id) == 1)
        driver.finish(id, 0, driver.engine_of(id, 0), AttemptResult::served, latency);
    };
    for (int n = 0; n < 60; ++n) {
      send(0, 100ms);
      driver.run_until(driver.now + 200ms);
    }
    for (int n = 0; n < 20; ++n) send(1, slow ? 400ms : 100ms);
    EXPECT_EQ(driver.final_answers(id), slow ? 1 : 0);
  }
}

}  // namespace
}  // namespace heronwell::test
