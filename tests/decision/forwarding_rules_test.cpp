#include <gtest/gtest.h>

#include "decision_driver.hpp"

namespace heronwell::test {
namespace {

// A request that is not idempotent arrives with 200 ms left and no engine is ready. It never ran, so it may
// be rejected, and is before its deadline.
TEST(FinalAnswer, AShortDeadlineIsKeptWhenNothingStarted) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({});
  driver.request(1, kOnce, 200ms);
  driver.run_until(driver.now + 200ms);
  EXPECT_EQ(driver.rejected[1], 1) << "nothing ran, so it may be rejected although it is not idempotent";
}

// A request that is not idempotent is in flight when its deadline comes. It may have run, so it fails rather
// than being rejected, gets one answer, and is not retried when the attempt ends later.
TEST(FinalAnswer, ARequestThatIsNotIdempotentFailsBeforeTheDeadlineWhileInFlight) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7)});
  driver.request(1, kOnce, 1s);
  ASSERT_EQ(driver.attempts_of(1), 1);
  EXPECT_LT(driver.started[0].deadline, driver.now + 1s);
  driver.run_until(driver.now + 1s);
  EXPECT_EQ(driver.failed[1], 1);
  EXPECT_EQ(driver.rejected[1], 0);
  driver.finish(1, 0, 7, AttemptResult::cancelled);
  driver.run_until(driver.now + 3s);
  EXPECT_EQ(driver.final_answers(1), 1);
  EXPECT_EQ(driver.attempts_of(1), 1);
}

// The client disconnects while the engine still works on its query. The threads count until the engine is
// done; a result that comes twice frees them once, and nothing is answered or retried.
TEST(FinalAnswer, ALateResultOfAClosedRequestOnlyFreesItsThreads) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7)});
  driver.request(1, kQuick);
  ASSERT_EQ(driver.decision_engine.class_view(kQuick).running_threads, 1U);
  driver.handle(driver.now, {ClientDisconnected{1}});
  EXPECT_EQ(driver.decision_engine.class_view(kQuick).running_threads, 1U)
      << "the engine may still work on it";
  driver.finish(1, 0, 7, AttemptResult::error);
  driver.finish(1, 0, 7, AttemptResult::error);
  EXPECT_EQ(driver.decision_engine.class_view(kQuick).running_threads, 0U);
  EXPECT_EQ(driver.final_answers(1), 0);
  EXPECT_EQ(driver.attempts_of(1), 1);
}

class AfterResult : public ::testing::TestWithParam<std::pair<AttemptResult, bool>> {};

// A request that is not idempotent ends with each of the results. Where the result proves that it never ran
// it is retried; else it fails, as a retry could double its effect.
TEST_P(AfterResult, ARequestThatIsNotIdempotentIsRetriedOnlyIfItNeverRan) {
  const auto [result, again] = GetParam();
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7), endpoint(8)});
  driver.request(1, kOnce);
  ASSERT_EQ(driver.attempts_of(1), 1);
  driver.finish(1, 0, driver.started[0].engine, result);
  driver.run_until(driver.now + 300ms);
  EXPECT_EQ(driver.attempts_of(1), again ? 2 : 1);
  EXPECT_EQ(driver.failed[1], again ? 0 : 1);
  EXPECT_EQ(driver.rejected[1], 0);
}

INSTANTIATE_TEST_SUITE_P(
    AllResults, AfterResult,
    ::testing::Values(std::pair{AttemptResult::rejected, true}, std::pair{AttemptResult::not_connected, true},
                      std::pair{AttemptResult::never_started, true}, std::pair{AttemptResult::error, false},
                      std::pair{AttemptResult::timed_out, false}, std::pair{AttemptResult::reset, false},
                      std::pair{AttemptResult::cancelled, false}));

// An attempt with an idempotency key fails in zone 0 after it may have run. Only engines of its zone drop
// the repeat, so it is retried there, though an idle engine of another zone is ready.
TEST(Idempotency, ARequestWithAKeyThatMayHaveRunStaysInItsScope) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7, 0)});
  driver.request(1, kKeyed);
  driver.update_endpoints({endpoint(7, 0), endpoint(8, 1)});
  driver.finish(1, 0, 7, AttemptResult::error);
  driver.run_until(driver.now + 300ms);
  ASSERT_EQ(driver.attempts_of(1), 2);
  EXPECT_EQ(driver.started.back().engine, 7U);
}

// An attempt with an idempotency key fails just before, or at, the end of the deduplication window. After it
// a retry would run a second time, so the request fails.
TEST(Idempotency, ARequestWithAKeyIsNotRetriedAfterItsDeduplicationWindow) {
  for (const bool late : {false, true}) {
    DecisionDriver driver(basic_settings());
    driver.update_endpoints({endpoint(7, 0)});
    driver.request(1, kKeyed);
    driver.run_until(driver.now + (late ? 2000ms : 1900ms));
    driver.finish(1, 0, 7, AttemptResult::error);
    EXPECT_EQ(driver.attempts_of(1), late ? 1 : 2);
    EXPECT_EQ(driver.failed[1], late ? 1 : 0) << "a rejection would promise too much";
  }
}

// A retry allowed within the deduplication window may wait at the engine until the window is over. So it
// carries the time by which it must start.
TEST(Idempotency, ARetryWithAKeySaysByWhenItMustStart) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7, 0)});
  const auto began = driver.now;
  driver.request(1, kKeyed);
  EXPECT_EQ(driver.started.back().start_before, Time::max()) << "nothing has run";
  driver.run_until(driver.now + 300ms);
  driver.finish(1, 0, 7, AttemptResult::error);
  ASSERT_EQ(driver.attempts_of(1), 2);
  EXPECT_LT(driver.started.back().start_before, began + 2s);
  EXPECT_GT(driver.started.back().start_before, began + 1900ms);
}

// An attempt without progress is cancelled, and the engine does not confirm. Until it does the attempt may
// still run, so no second one starts where hedging is off.
TEST(Attempts, ACancelledAttemptIsWaitedForBeforeTheNextStarts) {
  Settings s = basic_settings();
  s.progress_interval = 500ms;
  DecisionDriver driver(s);
  driver.update_endpoints({endpoint(7), endpoint(8)});
  driver.request(1, kQuick);
  ASSERT_EQ(driver.attempts_of(1), 1);
  driver.run_until(driver.now + 3s);  // silent: cancelled, but not confirmed yet
  ASSERT_FALSE(driver.cancelled.empty());
  EXPECT_EQ(driver.attempts_of(1), 1);
  driver.finish(1, 0, driver.started[0].engine, AttemptResult::cancelled);
  EXPECT_EQ(driver.attempts_of(1), 2);
}

// Every engine fails the request. After the third attempt it is rejected, though a fourth engine is ready.
TEST(Attempts, ARequestGetsNoMoreAttemptsThanTheSettingsAllow) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7), endpoint(8), endpoint(9), endpoint(10)});
  driver.request(1, kQuick);
  for (AttemptIndex n = 0; n < 3; ++n) {
    ASSERT_EQ(driver.attempts_of(1), n + 1);
    driver.finish(1, n, driver.started.back().engine, AttemptResult::error);
  }
  EXPECT_EQ(driver.attempts_of(1), 3);
  EXPECT_EQ(driver.rejected[1], 1);
}

TEST(Draining, NothingGoesToADrainingOrRemovedEngineOrOneMissingInASnapshot) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7), endpoint(8), endpoint(9), endpoint(10)});
  driver.update_endpoints(
      {with_state(endpoint(7), EndpointState::draining), with_state(endpoint(8), EndpointState::removed)},
      UpdateKind::delta);
  driver.update_endpoints({}, UpdateKind::failed);
  for (RequestId id = 1; id <= 4; ++id) driver.request(id, kQuick);
  EXPECT_EQ(driver.attempts_at(7) + driver.attempts_at(8), 0);
  driver.update_endpoints({endpoint(9)});
  for (RequestId id = 5; id <= 7; ++id) driver.request(id, kQuick);
  EXPECT_EQ(driver.attempts_at(10), 2);
  EXPECT_EQ(driver.attempts_at(9), 5);
}

TEST(Draining, AnEngineThatIsReadyAgainGetsWork) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7)}, UpdateKind::cached);
  driver.update_endpoints({with_state(endpoint(7), EndpointState::removed)}, UpdateKind::delta);
  driver.request(1, kQuick);
  EXPECT_EQ(driver.attempts_of(1), 0);
  driver.update_endpoints({endpoint(7)}, UpdateKind::delta);
  EXPECT_EQ(driver.attempts_of(1), 1);
}

// Two requests with the same ordering key arrive. The first times out, and its query may still run at its
// engine. The second waits for the first to time out, and then for the quiet period, so that it cannot
// overtake the first.
TEST(KeyOrder, RequestsOfAKeyRunOneByOneWithAQuietPeriodAfterATimeOut) {
  Settings s = basic_settings();
  s.classes[kQuick].ordered_by_key = true;
  s.ordering_quiet_period = 300ms;
  s.max_attempts = 1;
  DecisionDriver driver(s);
  driver.update_endpoints({endpoint(7), endpoint(8)});
  driver.request(1, kQuick, 5s, 42);
  driver.request(2, kQuick, 5s, 42);
  driver.request(3, kQuick, 5s, 43);
  driver.request(4, kQuick, 5s, 0);
  EXPECT_EQ(driver.attempts_of(1), 1);
  EXPECT_EQ(driver.attempts_of(2), 0);
  EXPECT_EQ(driver.attempts_of(3), 1);
  EXPECT_EQ(driver.attempts_of(4), 1);
  const Time over = driver.now;
  driver.finish(1, 0, driver.started[0].engine, AttemptResult::timed_out);
  driver.run_until(over + 280ms);
  EXPECT_EQ(driver.attempts_of(2), 0);
  driver.run_until(over + 320ms);
  EXPECT_EQ(driver.attempts_of(2), 1);
}

// The client of the first request of an ordering key disconnects while its query runs. The next request of
// the key waits until the engine is done with that query.
TEST(KeyOrder, AClosedRequestHoldsItsKeyWhileItsAttemptIsInFlight) {
  Settings s = basic_settings();
  s.classes[kQuick].ordered_by_key = true;
  DecisionDriver driver(s);
  driver.update_endpoints({endpoint(7)});
  driver.request(1, kQuick, 5s, 42);
  driver.request(2, kQuick, 5s, 42);
  driver.handle(driver.now, {ClientDisconnected{1}});
  EXPECT_EQ(driver.attempts_of(2), 0);
  driver.finish(1, 0, 7, AttemptResult::error);
  EXPECT_EQ(driver.attempts_of(2), 1);
}

TEST(Placement, HoldsAtEveryAttemptAndWhenAllAllowedEnginesAreGone) {
  Settings s = basic_settings();
  s.classes[kQuick].allowed_zones = {{1}};
  s.classes[kQuick].allowed_machine_types = {{1}};
  DecisionDriver driver(s);
  driver.update_endpoints({endpoint(7, 1, 0), endpoint(8, 0, 1), endpoint(9, 1, 1), endpoint(10, 1, 1)});
  driver.request(1, kQuick);
  driver.finish(1, 0, driver.started.back().engine, AttemptResult::error);
  driver.finish(1, 1, driver.started.back().engine, AttemptResult::error);
  EXPECT_EQ(driver.attempts_of(1), 3);
  EXPECT_EQ(driver.attempts_at(7) + driver.attempts_at(8), 0);
  driver.update_endpoints({endpoint(7, 1, 0), endpoint(8, 0, 1)});
  driver.request(2, kQuick);
  driver.run_until(driver.now + 2s);
  EXPECT_EQ(driver.attempts_of(2), 0);
  EXPECT_EQ(driver.final_answers(2), 1);
}

// Engines reject one request after the other. Retries stay within the budget, and are allowed again once the
// window has passed.
TEST(RetryBudget, CountsRetriesAgainstRequestsInTheWindow) {
  Settings s = basic_settings();
  s.retry_budget = RetryBudget{10s, 1, 0.2};
  DecisionDriver driver(s);
  driver.update_endpoints({endpoint(7), endpoint(8), endpoint(9), endpoint(10)});
  const auto retried = [&driver](RequestId id) {
    driver.request(id, kQuick);
    const auto first = driver.started.back();
    if (first.request != id) return false;
    const auto before = driver.started.size();
    driver.finish(id, 0, first.engine, AttemptResult::rejected);
    driver.run_until(driver.now + 400ms);
    const bool again = driver.started.size() > before;
    if (again) driver.finish(id, 1, driver.started.back().engine, AttemptResult::served);
    return again;
  };
  EXPECT_TRUE(retried(1));   // 1 <= 1 + 0.2
  EXPECT_FALSE(retried(2));  // 2 >  1 + 0.4
  EXPECT_FALSE(retried(3));
  EXPECT_FALSE(retried(4));
  EXPECT_TRUE(retried(5));  // 2 <= 1 + 1.0
  EXPECT_FALSE(retried(6));
  driver.run_until(driver.now + 11s);
  EXPECT_TRUE(retried(7)) << "the window has passed";
}

}  // namespace
}  // namespace heronwell::test
