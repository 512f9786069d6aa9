#include <gtest/gtest.h>

#include "decision_driver.hpp"

namespace heronwell::test {
namespace {

// Answers are lost across the fleet, each with a connection reset. If every reset counted as a restart, all
// engines would go through slow start. An engine that responds soon after a reset has not restarted.
TEST(BrokenConnection, DoesNotStartSlowStartIfTheEngineRespondsSoonAfterAReset) {
  for (const Time response_delay : {5ms, 900ms}) {  // after 900 ms the process may have restarted
    Settings settings = basic_settings();
    settings.router_count = 40;
    settings.health_checks_enabled = true;
    settings.load_fields = {LoadField::in_flight};
    DecisionDriver driver(settings);
    driver.update_endpoints({endpoint(7)});
    driver.request(1, 0);
    driver.run_until(driver.now + 60ms);
    ASSERT_EQ(driver.attempts_of(1), 1);
    AttemptFinished outcome;
    outcome.request = 1;
    outcome.engine = 7;
    outcome.result = AttemptResult::reset;
    const auto actions = driver.handle(driver.now, {outcome});
    const auto is_check = [](const Action& action) {
      return std::holds_alternative<StartHealthCheck>(action);
    };
    EXPECT_TRUE(std::ranges::any_of(actions, is_check)) << "expected a health check at once";
    driver.run_until(driver.now + response_delay);
    HealthCheckResult check;
    check.engine = 7;
    check.result = AttemptResult::served;
    check.load = {1.0};
    driver.handle(driver.now, {check});
    for (RequestId id = 2; id < 10; ++id) driver.request(id, 0);
    driver.run_until(driver.now + 60ms);
    EXPECT_EQ(driver.started.size() > 3, response_delay < 500ms);
  }
}

// An engine's process ends and restarts before any endpoint list shows it. Each of forty routers sees a
// broken connection. If all of them tried the engine again at once, they would overload it. They treat
// it as warming up.
TEST(BrokenConnection, StartsSlowStartOfTheEngineAtAllRouters) {
  for (const auto result : {AttemptResult::not_connected, AttemptResult::reset}) {
    int routers_that_tried = 0, early_attempts = 0;
    for (unsigned i = 0; i < 40; ++i) {
      Settings settings = basic_settings();
      settings.router_count = 40;
      settings.router_index = i;
      DecisionDriver driver(settings, 1 + i);
      driver.update_endpoints({endpoint(7)});
      driver.request(1, 0);
      driver.finish(1, 0, 7, result);
      const auto failed_at = driver.now;
      for (RequestId id = 2; id < 30; ++id) {
        driver.request(id, 0);
        driver.run_until(driver.now + 100ms);
      }
      routers_that_tried += driver.started.size() > 1 ? 1 : 0;
      for (std::size_t n = 1; n < driver.started.size(); ++n)
        early_attempts += driver.now < failed_at + 3s ? 1 : 0;
    }
    EXPECT_LT(routers_that_tried, 20)
        << "expected fewer than half of the routers: all forty would overload a new process";
    EXPECT_GT(routers_that_tried, 0);
    EXPECT_LT(early_attempts, 20);
  }
}

// The work of queries overloads an engine that is warming up, and one query may need many times the usual
// work. A large query is charged its own work, and waits.
TEST(Admission, ChargesALargeQueryItsOwnWorkWhileAnEngineIsWarmingUp) {
  for (const Time work : {100ms, 2000ms}) {
    Settings settings = basic_settings();
    settings.classes.resize(1);
    settings.classes[0].timeout = 60s;
    DecisionDriver driver(settings);
    driver.update_endpoints({endpoint(7)});
    for (RequestId id = 1; id <= 40; ++id) {
      driver.handle(driver.now, {estimated_request(id, 100ms)});
      driver.finish(id, 0, driver.engine_of(id, 0), AttemptResult::served);
    }
    auto warming = endpoint(8);
    warming.last_started = driver.now;
    driver.update_endpoints({warming});
    driver.run_until(driver.now + 1s);
    auto arrival = estimated_request(50, work);
    arrival.time_left = 60s;
    driver.handle(driver.now, {arrival});
    driver.run_until(driver.now + 300ms);
    EXPECT_EQ(driver.attempts_of(50), work == 2s ? 0 : 1);
  }
}

// Large queries are rejected, so the class's work is learnt from the small ones that are served. If small
// queries were charged less than the class's usual work, an engine that is warming up would get 4.5 times the
// work that it can do.
TEST(Admission, ChargesSmallQueriesTheUsualWorkOfTheirClass) {
  Settings settings = basic_settings();
  settings.classes.resize(1);
  settings.router_count = 20;
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7)});
  // One query in five is large and is never served; the mean work is 100 ms.
  const auto send = [&driver](RequestId id) {
    const Time work = id % 5 == 0 ? 400ms : 25ms;
    driver.handle(driver.now, {estimated_request(id, work)});
    if (driver.attempts_of(id) == 0) return driver.handle(driver.now, {ClientDisconnected{id}});
    if (id % 5 != 0) driver.finish(id, 0, driver.engine_of(id, 0), AttemptResult::served, work);
    if (id % 5 == 0) driver.handle(driver.now, {ClientDisconnected{id}});
    if (id % 5 == 0) driver.finish(id, 0, driver.engine_of(id, 0), AttemptResult::cancelled);
    return std::vector<Action>{};
  };
  for (RequestId id = 1; id <= 200; ++id) send(id);
  auto warming = endpoint(8);
  warming.last_started = driver.now;
  driver.update_endpoints({warming});
  for (RequestId id = 1000; id < 3000; ++id) {
    driver.run_until(driver.now + 5ms);
    send(id);
  }
  // The limit in core-seconds per second is 0.8 x 2.5 x capacity x 0.85 x 4, with a capacity that rises from
  // 0.4 to 1. A twentieth of it for ten seconds is 2.4; chance may add half of that.
  EXPECT_LE(driver.attempts_at(8) * 0.1, 3.6);
  EXPECT_GT(driver.attempts_at(8), 0);
}

// The parameter is the number of routers.
class SlowStartByMany : public ::testing::TestWithParam<unsigned> {};

// An engine has just started, and many routers with high and low request rates use it. In every window, all
// routers together send less work than overloads it, but they do not leave it idle.
TEST_P(SlowStartByMany, AllRoutersTogetherSendLessThanTheOverloadButDoNotLeaveTheEngineIdle) {
  Settings settings = basic_settings();
  settings.router_count = GetParam();
  std::vector<DecisionDriver> routers;
  for (unsigned i = 0; i < settings.router_count; ++i) {
    settings.router_index = i;
    routers.emplace_back(settings, 1000 + i);
    auto warming = endpoint(7);
    warming.last_started = routers.back().now - 1s;
    routers.back().update_endpoints({warming});
  }
  std::map<Time, double> work;  // core-seconds by the initial estimate: half the objective on one thread
  RequestId id = 0;
  for (int step = 0; step < 300; ++step) {
    for (unsigned i = 0; i < settings.router_count; ++i) {
      auto& driver = routers[i];
      if (step % (1 + i % 7) == 0) {
        driver.request(++id, kIdempotent);
        const bool sent = driver.attempts_of(id) > 0;
        if (sent && driver.started.back().engine == 7) work[driver.now] += 0.5;
        if (sent) driver.finish(id, 0, driver.started.back().engine, AttemptResult::served, 500ms);
      }
      const auto before = driver.started.size();
      driver.run_until(driver.now + 20ms);
      for (auto n = before; n < driver.started.size(); ++n)
        work[driver.now] += driver.started[n].engine == 7 ? 0.5 : 0;
    }
  }
  double total_work = 0;
  for (const auto& [from, unused] : work) {
    double sum = 0;
    for (const auto& [at, w] : work) sum += at >= from && at < from + 2s ? w : 0;
    const double capacity = 0.4 + 0.6 * std::chrono::duration<double>(from + 1s - 100s).count() / 10;
    EXPECT_LE(sum, 2.5 * capacity * 0.85 * 4 * 2);
    total_work += work[from];
  }
  EXPECT_GT(total_work, 2) << "expected the engine not to be idle";
}

INSTANTIATE_TEST_SUITE_P(FewAndMany, SlowStartByMany, ::testing::Values(3U, 60U));

TEST(SlowStart, DoesNotLimitAnEngineThatIsWarm) {
  Settings settings = basic_settings();
  DecisionDriver driver(settings);
  auto warm = endpoint(7);
  warm.last_started = driver.now - 10s;
  driver.update_endpoints({warm});
  for (RequestId id = 1; id <= 8; ++id) driver.request(id, kIdempotent);
  EXPECT_EQ(driver.attempts_at(7), 8);
}

}  // namespace
}  // namespace heronwell::test
