#include <gtest/gtest.h>

#include "decision_driver.hpp"

namespace heronwell::test {
namespace {

// A request that is not idempotent arrives with 200 ms left while no engine is ready. It never ran, so it may
// be rejected, and it is rejected before its deadline.
TEST(FinalAnswer, RejectsARequestThatNeverStartedBeforeAShortDeadline) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({});
  driver.request(1, kNotIdempotent, 200ms);
  driver.run_until(driver.now + 200ms);
  EXPECT_EQ(driver.rejected[1], 1) << "expected a rejection: not idempotent, but no attempt ran";
}

// A request that is not idempotent is in flight at its deadline. It may have run, so it fails instead of
// being rejected, gets one answer, and is not retried when its attempt ends later.
TEST(FinalAnswer, FailsARequestThatIsNotIdempotentBeforeItsDeadlineWhileInFlight) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7)});
  driver.request(1, kNotIdempotent, 1s);
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

// The client disconnects while the engine still runs its query. The query's threads count as running until
// its result arrives. A duplicate of the result does not free them twice, and no answer or retry follows.
TEST(FinalAnswer, ALateResultOfAClosedRequestOnlyFreesItsThreads) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7)});
  driver.request(1, kIdempotent);
  ASSERT_EQ(driver.decision_engine.class_view(kIdempotent).running_threads, 1U);
  driver.handle(driver.now, {ClientDisconnected{1}});
  EXPECT_EQ(driver.decision_engine.class_view(kIdempotent).running_threads, 1U)
      << "expected the threads to count: the engine may still run the query";
  driver.finish(1, 0, 7, AttemptResult::error);
  driver.finish(1, 0, 7, AttemptResult::error);
  EXPECT_EQ(driver.decision_engine.class_view(kIdempotent).running_threads, 0U);
  EXPECT_EQ(driver.final_answers(1), 0);
  EXPECT_EQ(driver.attempts_of(1), 1);
}

class AfterResult : public ::testing::TestWithParam<std::pair<AttemptResult, bool>> {};

// An attempt of a request that is not idempotent ends with each of the results. If the result proves that the
// attempt never ran, the request is retried. Otherwise it fails, as a retry could double its effect.
TEST_P(AfterResult, RetriesARequestThatIsNotIdempotentOnlyIfItNeverRan) {
  const auto [result, is_retried] = GetParam();
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7), endpoint(8)});
  driver.request(1, kNotIdempotent);
  ASSERT_EQ(driver.attempts_of(1), 1);
  driver.finish(1, 0, driver.started[0].engine, result);
  driver.run_until(driver.now + 300ms);
  EXPECT_EQ(driver.attempts_of(1), is_retried ? 2 : 1);
  EXPECT_EQ(driver.failed[1], is_retried ? 0 : 1);
  EXPECT_EQ(driver.rejected[1], 0);
}

INSTANTIATE_TEST_SUITE_P(
    AllResults, AfterResult,
    ::testing::Values(std::pair{AttemptResult::rejected, true}, std::pair{AttemptResult::not_connected, true},
                      std::pair{AttemptResult::never_started, true}, std::pair{AttemptResult::error, false},
                      std::pair{AttemptResult::timed_out, false}, std::pair{AttemptResult::reset, false},
                      std::pair{AttemptResult::cancelled, false}));

// An attempt with an idempotency key fails in zone 0 after it may have run. Only engines of that zone discard
// a repetition, so it is retried there, although an idle engine of another zone is ready.
TEST(Idempotency, RetriesARequestWithAKeyThatMayHaveRunOnlyInItsScope) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7, 0)});
  driver.request(1, kWithKey);
  driver.update_endpoints({endpoint(7, 0), endpoint(8, 1)});
  driver.finish(1, 0, 7, AttemptResult::error);
  driver.run_until(driver.now + 300ms);
  ASSERT_EQ(driver.attempts_of(1), 2);
  EXPECT_EQ(driver.started.back().engine, 7U);
}

// An attempt with an idempotency key fails just before, or at, the end of the deduplication window. After the
// window a retry would run a second time, so the request fails.
TEST(Idempotency, DoesNotRetryARequestWithAKeyAfterItsDeduplicationWindow) {
  for (const bool after_window : {false, true}) {
    DecisionDriver driver(basic_settings());
    driver.update_endpoints({endpoint(7, 0)});
    driver.request(1, kWithKey);
    driver.run_until(driver.now + (after_window ? 2000ms : 1900ms));
    driver.finish(1, 0, 7, AttemptResult::error);
    EXPECT_EQ(driver.attempts_of(1), after_window ? 1 : 2);
    EXPECT_EQ(driver.failed[1], after_window ? 1 : 0)
        << "expected a failure: a rejection would promise that a retry is safe";
  }
}

// A retry within the deduplication window may wait at the engine until the window has ended. The attempt
// therefore carries the latest time at which it may start.
TEST(Idempotency, LimitsTheStartTimeOfARetryWithAKey) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7, 0)});
  const auto started_at = driver.now;
  driver.request(1, kWithKey);
  EXPECT_EQ(driver.started.back().start_before, Time::max()) << "expected no limit for the first attempt";
  driver.run_until(driver.now + 300ms);
  driver.finish(1, 0, 7, AttemptResult::error);
  ASSERT_EQ(driver.attempts_of(1), 2);
  EXPECT_LT(driver.started.back().start_before, started_at + 2s);
  EXPECT_GT(driver.started.back().start_before, started_at + 1900ms);
}

// An attempt without progress is cancelled, and the engine does not confirm the cancellation. The attempt may
// still run until it does, so no second attempt starts if hedging is off.
TEST(Attempts, StartsNoFurtherAttemptBeforeACancellationIsConfirmed) {
  Settings settings = basic_settings();
  settings.progress_interval = 500ms;
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7), endpoint(8)});
  driver.request(1, kIdempotent);
  ASSERT_EQ(driver.attempts_of(1), 1);
  driver.run_until(driver.now + 3s);  // no progress: cancelled, but not confirmed yet
  ASSERT_FALSE(driver.cancelled.empty());
  EXPECT_EQ(driver.attempts_of(1), 1);
  driver.finish(1, 0, driver.started[0].engine, AttemptResult::cancelled);
  EXPECT_EQ(driver.attempts_of(1), 2);
}

// Every attempt of the request fails. The request is rejected after the third attempt, although a fourth
// engine is ready.
TEST(Attempts, StartsNoMoreAttemptsThanTheSettingsAllow) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7), endpoint(8), endpoint(9), endpoint(10)});
  driver.request(1, kIdempotent);
  for (AttemptIndex n = 0; n < 3; ++n) {
    ASSERT_EQ(driver.attempts_of(1), n + 1);
    driver.finish(1, n, driver.started.back().engine, AttemptResult::error);
  }
  EXPECT_EQ(driver.attempts_of(1), 3);
  EXPECT_EQ(driver.rejected[1], 1);
}

TEST(Draining, StartsNoAttemptAtADrainingOrRemovedEngineOrOneMissingInASnapshot) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7), endpoint(8), endpoint(9), endpoint(10)});
  driver.update_endpoints(
      {with_state(endpoint(7), EndpointState::draining), with_state(endpoint(8), EndpointState::removed)},
      UpdateKind::delta);
  driver.update_endpoints({}, UpdateKind::failed);
  for (RequestId id = 1; id <= 4; ++id) driver.request(id, kIdempotent);
  EXPECT_EQ(driver.attempts_at(7) + driver.attempts_at(8), 0);
  driver.update_endpoints({endpoint(9)});
  for (RequestId id = 5; id <= 7; ++id) driver.request(id, kIdempotent);
  EXPECT_EQ(driver.attempts_at(10), 2);
  EXPECT_EQ(driver.attempts_at(9), 5);
}

TEST(Draining, StartsAttemptsAtAnEngineThatIsReadyAgain) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7)}, UpdateKind::cached);
  driver.update_endpoints({with_state(endpoint(7), EndpointState::removed)}, UpdateKind::delta);
  driver.request(1, kIdempotent);
  EXPECT_EQ(driver.attempts_of(1), 0);
  driver.update_endpoints({endpoint(7)}, UpdateKind::delta);
  EXPECT_EQ(driver.attempts_of(1), 1);
}

// Two requests with one ordering key arrive. The first times out and may still run at its engine. The second
// waits for the end of the first and then for the quiet period, so that it cannot overtake the first.
TEST(KeyOrder, RunsRequestsOfAKeyOneAtATimeWithAQuietPeriodAfterATimeout) {
  Settings settings = basic_settings();
  settings.classes[kIdempotent].ordered_by_key = true;
  settings.ordering_quiet_period = 300ms;
  settings.max_attempts = 1;
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7), endpoint(8)});
  driver.request(1, kIdempotent, 5s, 42);
  driver.request(2, kIdempotent, 5s, 42);
  driver.request(3, kIdempotent, 5s, 43);
  driver.request(4, kIdempotent, 5s, 0);
  EXPECT_EQ(driver.attempts_of(1), 1);
  EXPECT_EQ(driver.attempts_of(2), 0);
  EXPECT_EQ(driver.attempts_of(3), 1);
  EXPECT_EQ(driver.attempts_of(4), 1);
  const Time timed_out_at = driver.now;
  driver.finish(1, 0, driver.started[0].engine, AttemptResult::timed_out);
  driver.run_until(timed_out_at + 280ms);
  EXPECT_EQ(driver.attempts_of(2), 0);
  driver.run_until(timed_out_at + 320ms);
  EXPECT_EQ(driver.attempts_of(2), 1);
}

// The client of the first request of a key disconnects while its query runs. The next request of the key
// waits until the attempt has ended.
TEST(KeyOrder, AClosedRequestBlocksItsKeyWhileItsAttemptIsInFlight) {
  Settings settings = basic_settings();
  settings.classes[kIdempotent].ordered_by_key = true;
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7)});
  driver.request(1, kIdempotent, 5s, 42);
  driver.request(2, kIdempotent, 5s, 42);
  driver.handle(driver.now, {ClientDisconnected{1}});
  EXPECT_EQ(driver.attempts_of(2), 0);
  driver.finish(1, 0, 7, AttemptResult::error);
  EXPECT_EQ(driver.attempts_of(2), 1);
}

TEST(Placement, AppliesToEveryAttemptAndWhenAllAllowedEnginesAreGone) {
  Settings settings = basic_settings();
  settings.classes[kIdempotent].allowed_zones = {{1}};
  settings.classes[kIdempotent].allowed_machine_types = {{1}};
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7, 1, 0), endpoint(8, 0, 1), endpoint(9, 1, 1), endpoint(10, 1, 1)});
  driver.request(1, kIdempotent);
  driver.finish(1, 0, driver.started.back().engine, AttemptResult::error);
  driver.finish(1, 1, driver.started.back().engine, AttemptResult::error);
  EXPECT_EQ(driver.attempts_of(1), 3);
  EXPECT_EQ(driver.attempts_at(7) + driver.attempts_at(8), 0);
  driver.update_endpoints({endpoint(7, 1, 0), endpoint(8, 0, 1)});
  driver.request(2, kIdempotent);
  driver.run_until(driver.now + 2s);
  EXPECT_EQ(driver.attempts_of(2), 0);
  EXPECT_EQ(driver.final_answers(2), 1);
}

// Engines reject every first attempt. The number of retries stays within the budget, and retries are allowed
// again after the window has passed.
TEST(RetryBudget, LimitsRetriesByTheNumberOfRequestsInTheWindow) {
  Settings settings = basic_settings();
  settings.retry_budget = RetryBudget{10s, 1, 0.2};
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7), endpoint(8), endpoint(9), endpoint(10)});
  const auto retried = [&driver](RequestId id) {
    driver.request(id, kIdempotent);
    const auto first = driver.started.back();
    if (first.request != id) return false;
    const auto before = driver.started.size();
    driver.finish(id, 0, first.engine, AttemptResult::rejected);
    driver.run_until(driver.now + 400ms);
    const bool is_retried = driver.started.size() > before;
    if (is_retried) driver.finish(id, 1, driver.started.back().engine, AttemptResult::served);
    return is_retried;
  };
  EXPECT_TRUE(retried(1));   // 1 <= 1 + 0.2
  EXPECT_FALSE(retried(2));  // 2 >  1 + 0.4
  EXPECT_FALSE(retried(3));
  EXPECT_FALSE(retried(4));
  EXPECT_TRUE(retried(5));  // 2 <= 1 + 1.0
  EXPECT_FALSE(retried(6));
  driver.run_until(driver.now + 11s);
  EXPECT_TRUE(retried(7)) << "expected a retry after the window has passed";
}

}  // namespace
}  // namespace heronwell::test
