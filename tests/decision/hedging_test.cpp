#include <gtest/gtest.h>

#include "decision_driver.hpp"

namespace heronwell::test {
namespace {

Settings hedging_settings() {
  Settings settings = basic_settings();
  settings.hedging_enabled = true;
  return settings;
}

// Serves enough requests to fill the hedge budget; leaves no attempt in flight.
void fill_hedge_budget(DecisionDriver& driver, ClassIndex cls = 0) {
  for (RequestId id = 1; id <= 20; ++id) {
    driver.request(id, cls);
    driver.finish(id, 0, driver.started.back().engine, AttemptResult::served);
  }
}

// If an answer is lost on the way, the client would wait until its deadline. After four expected answer times
// a hedge starts on the other engine, if hedging is enabled.
TEST(Hedging, HedgesAFarOverdueAttemptAtAnotherEngineOnlyIfEnabled) {
  for (const bool allowed : {true, false}) {
    Settings settings = hedging_settings();
    settings.hedging_enabled = allowed;
    DecisionDriver driver(settings);
    driver.update_endpoints({endpoint(7), endpoint(8)});
    fill_hedge_budget(driver);
    driver.request(50, 0);
    driver.run_until(driver.now + 500ms);
    ASSERT_EQ(driver.attempts_of(50), allowed ? 2 : 1);
    if (allowed) {
      EXPECT_NE(driver.engine_of(50, 0), driver.engine_of(50, 1));
    }
  }
}

TEST(Hedging, UsesTheFirstAnswerAndCancelsTheOtherAttempt) {
  for (const AttemptIndex first : {AttemptIndex{0}, AttemptIndex{1}}) {
    DecisionDriver driver(hedging_settings());
    driver.update_endpoints({endpoint(7), endpoint(8)});
    fill_hedge_budget(driver);
    driver.request(50, 0);
    driver.run_until(driver.now + 500ms);
    ASSERT_EQ(driver.attempts_of(50), 2);
    driver.finish(50, first, driver.engine_of(50, first), AttemptResult::served);
    const std::vector<std::pair<RequestId, AttemptIndex>> other{{50, static_cast<AttemptIndex>(1 - first)}};
    EXPECT_EQ(driver.cancelled, other);
    driver.finish(50, other[0].second, driver.engine_of(50, other[0].second), AttemptResult::cancelled);
    driver.run_until(driver.now + 6s);
    EXPECT_EQ(driver.attempts_of(50), 2);
    EXPECT_EQ(driver.final_answers(50), 0)
        << "expected no rejection or failure after the client got its answer";
  }
}

// The hedge fails while the first attempt still runs. The request keeps waiting for the first attempt and is
// answered once, when no attempt is left.
TEST(Hedging, AFailedHedgeNeitherEndsNorQueuesTheRequestWhileTheFirstAttemptRuns) {
  for (const auto result :
       {AttemptResult::error, AttemptResult::reset, AttemptResult::rejected, AttemptResult::cancelled}) {
    Settings settings = hedging_settings();
    settings.max_attempts = 2;
    DecisionDriver driver(settings);
    driver.update_endpoints({endpoint(7), endpoint(8)});
    fill_hedge_budget(driver);
    driver.request(50, 0);
    driver.run_until(driver.now + 500ms);
    ASSERT_EQ(driver.attempts_of(50), 2);
    driver.finish(50, 1, driver.engine_of(50, 1), result);
    EXPECT_EQ(driver.final_answers(50), 0);
    EXPECT_EQ(driver.decision_engine.class_view(0).queued, 0U);
    EXPECT_EQ(driver.decision_engine.class_view(0).running_threads, 1U);
    driver.finish(50, 0, driver.engine_of(50, 0), AttemptResult::error);
    EXPECT_EQ(driver.final_answers(50), 1) << "expected a final answer when no attempt is left";
  }
}

TEST(Hedging, CountsHedgesAsAttemptsAndInTheRetryBudget) {
  Settings settings = hedging_settings();
  settings.max_attempts = 2;
  settings.retry_budget = RetryBudget{60s, 1, 0};
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7), endpoint(8), endpoint(9)});
  fill_hedge_budget(driver);
  driver.request(50, 0);
  driver.request(51, 0);
  driver.run_until(driver.now + 4s);
  EXPECT_EQ(driver.attempts_of(50) + driver.attempts_of(51), 3) << "expected one further attempt in total";
  for (const RequestId id : {50U, 51U}) EXPECT_LE(driver.attempts_of(id), 2);
}

TEST(Hedging, HedgesNoRequestThatIsNotIdempotentAndOneWithAKeyOnlyInItsScope) {
  DecisionDriver driver(hedging_settings());
  driver.update_endpoints({endpoint(7, 0), endpoint(8, 1)});
  fill_hedge_budget(driver, 1);
  for (RequestId id = 21; id <= 40; ++id) {
    driver.request(id, 2);
    driver.finish(id, 0, driver.started.back().engine, AttemptResult::served);
  }
  driver.request(50, 1);
  driver.request(51, 2);
  driver.run_until(driver.now + 4900ms);
  EXPECT_EQ(driver.attempts_of(50), 1);
  EXPECT_EQ(driver.attempts_of(51), 1) << "expected no hedge: the only engine of its zone already runs it";
}

// The first attempt and its hedge are both lost. A third attempt starts, and the first is cancelled, as at
// most two attempts are awaited.
TEST(Hedging, StartsAThirdAttemptIfTwoAreLost) {
  DecisionDriver driver(hedging_settings());
  driver.update_endpoints({endpoint(7), endpoint(8), endpoint(9)});
  fill_hedge_budget(driver);
  driver.request(50, 0);
  driver.run_until(driver.now + 4s);
  ASSERT_EQ(driver.attempts_of(50), 3);
  EXPECT_EQ(driver.cancelled.front(), (std::pair<RequestId, AttemptIndex>{50, 0}))
      << "expected at most two awaited attempts";
}

// All answers are slow. A hedge for each request would double the load while the fleet is overloaded, so
// hedges are limited to a fifth of the work of all requests.
TEST(Hedging, LimitsHedgesToAFifthOfTheRequestedWork) {
  DecisionDriver driver(hedging_settings());
  driver.update_endpoints({endpoint(7), endpoint(8), endpoint(9), endpoint(10)});
  for (RequestId id = 1; id <= 8; ++id) driver.request(id, 0);
  driver.run_until(driver.now + 4s);
  std::size_t hedges = 0;
  for (RequestId id = 1; id <= 8; ++id) hedges += static_cast<std::size_t>(driver.attempts_of(id) - 1);
  EXPECT_EQ(hedges, 1U) << "expected hedges of at most a fifth of the work of eight queries";
}

// If attempts with lost answers counted as running until their deadlines, the load that all routers assume
// would rise, and hedging would stop while it is needed. A lost attempt is therefore also given up while the
// fleet is congested; an attempt that sent progress is running and is kept.
TEST(Hedging, GivesUpALostAttemptWithoutAHedgeWhileCongested) {
  for (const bool has_progress : {false, true}) {  // an attempt that sent progress is running
    Settings settings = hedging_settings();
    settings.progress_interval = 10s;
    settings.load_fields = {LoadField::in_flight};
    DecisionDriver driver(settings);
    driver.update_endpoints({endpoint(7), endpoint(8)});
    for (RequestId id = 1; id <= 40; ++id) {
      driver.request(id, 0);
      AttemptFinished outcome;
      outcome.request = id;
      outcome.engine = driver.started.back().engine;
      outcome.latency = 100ms;
      outcome.request_finished = true;
      outcome.load = {7};
      driver.handle(driver.now, {outcome});
    }
    driver.request(50, 0);
    ASSERT_EQ(driver.attempts_of(50), 1);
    driver.run_until(driver.now + 100ms);
    if (has_progress)
      driver.handle(driver.now,
                    {AttemptProgress{50, 0, driver.started.back().engine, ProgressKind::progress, 0.5}});
    driver.run_until(driver.now + 380ms);
    EXPECT_TRUE(driver.cancelled.empty());
    driver.run_until(driver.now + 250ms);
    EXPECT_EQ(driver.attempts_of(50), 1) << "expected no hedge while congested";
    EXPECT_EQ(driver.cancelled.size(), has_progress ? 0U : 1U);
    if (has_progress) continue;
    driver.finish(50, 0, driver.engine_of(50, 0), AttemptResult::cancelled);
    EXPECT_EQ(driver.attempts_of(50) + static_cast<int>(driver.decision_engine.class_view(0).queued), 2)
        << "expected a retry, started or still queued";
  }
}

}  // namespace
}  // namespace heronwell::test
