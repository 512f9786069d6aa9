#include <gtest/gtest.h>

#include "decision_driver.hpp"

namespace heronwell::test {
namespace {

// An engine that fails every query at once always looks idle and would attract most queries. It is ejected
// after two failures in a row, and gets one query at a time on probation.
TEST(Failures, EjectAnEngineThatFailsEveryQueryAtOnceAndLooksIdle) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7), endpoint(8), endpoint(9)});
  int attempts_at_faulty = 0;
  for (RequestId id = 1; id <= 60; ++id) {
    const auto from = driver.started.size();
    driver.request(id, 0, 5s, 0, id);  // each request of another data group
    for (auto i = from; i < driver.started.size(); ++i) {
      const auto sent = driver.started[i];
      attempts_at_faulty += sent.engine == 8 ? 1 : 0;
      const auto attempt = static_cast<AttemptIndex>(driver.attempts_of(sent.request) - 1);
      driver.finish(sent.request, attempt, sent.engine,
                    sent.engine == 8 ? AttemptResult::error : AttemptResult::served);
    }
    driver.run_until(driver.now + 20ms);
  }
  EXPECT_LE(attempts_at_faulty, 4) << "expected two errors in a row, then one query at a time on probation";
  EXPECT_GE(attempts_at_faulty, 2);
}

// A client sends queries that no engine can run. If their errors counted against the engines, all engines
// would soon be ejected. If a query fails on two engines, the query is the cause, and no engine is ejected.
TEST(Failures, DoNotEjectAnEngineForAQueryThatFailsOnEveryEngine) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7), endpoint(8), endpoint(9)});
  for (RequestId id = 1; id <= 40; ++id) {
    const bool always_fails = id % 2 == 0;
    const auto from = driver.started.size();
    driver.request(id, 0, 5s, 0, id);
    for (auto i = from; i < driver.started.size(); ++i) {
      const auto sent = driver.started[i];
      const auto attempt = static_cast<AttemptIndex>(driver.attempts_of(sent.request) - 1);
      driver.finish(sent.request, attempt, sent.engine,
                    always_fails ? AttemptResult::error : AttemptResult::served);
    }
    EXPECT_EQ(driver.final_answers(id), always_fails ? 1 : 0);
    driver.run_until(driver.now + 20ms);
    ASSERT_DOUBLE_EQ(driver.decision_engine.pool_threads(), 24)
        << "expected all three engines in the pool after request " << id;
  }
}

// An engine rejects every query while it reports that it is idle, so that each report would attract further
// queries. It is ejected after two rejections in a row.
TEST(Rejections, EjectAnEngineThatReportsItIsIdle) {
  Settings settings = basic_settings();
  settings.health_checks_enabled = true;
  settings.load_fields = {LoadField::in_flight};
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7), endpoint(8), endpoint(9)});
  int attempts_at_faulty = 0;
  for (RequestId id = 1; id <= 60; ++id) {
    for (const EngineId e : {7U, 8U, 9U}) {
      HealthCheckResult check;
      check.engine = e;
      check.load = {0};  // idle, although engine 8 rejects its queries
      driver.handle(driver.now, {check});
    }
    const auto from = driver.started.size();
    driver.request(id, 0, 5s, 0, id);
    for (auto i = from; i < driver.started.size(); ++i) {
      const auto sent = driver.started[i];
      attempts_at_faulty += sent.engine == 8 ? 1 : 0;
      const auto attempt = static_cast<AttemptIndex>(driver.attempts_of(sent.request) - 1);
      driver.finish(sent.request, attempt, sent.engine,
                    sent.engine == 8 ? AttemptResult::rejected : AttemptResult::served);
    }
    driver.run_until(driver.now + 20ms);
  }
  EXPECT_GE(attempts_at_faulty, 2);
  EXPECT_LE(attempts_at_faulty, 6)
      << "expected two rejections in a row, then one query at a time on probation";
}

// An engine fails all its queries for a while and then works again. After its probation it gets its
// share of the queries.
TEST(Failures, SendsQueriesAgainToAnEngineThatRecovers) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7), endpoint(8)});
  const auto send_requests = [&driver](RequestId from, RequestId to, bool is_faulty) {
    for (RequestId id = from; id <= to; ++id) {
      const auto at = driver.started.size();
      driver.request(id, 0, 5s, 0, id);  // each request of another data group
      for (auto i = at; i < driver.started.size(); ++i) {
        const auto sent = driver.started[i];
        const auto attempt = static_cast<AttemptIndex>(driver.attempts_of(sent.request) - 1);
        driver.finish(sent.request, attempt, sent.engine,
                      is_faulty && sent.engine == 8 ? AttemptResult::error : AttemptResult::served);
      }
      driver.run_until(driver.now + 50ms);
    }
  };
  send_requests(1, 20, true);
  const int attempts_before = driver.attempts_at(8);
  send_requests(21, 120, false);
  EXPECT_GT(driver.attempts_at(8) - attempts_before, 20);
}

// An engine stops without closing its connections. Engines send progress messages, and this one sends none,
// so its query is cancelled and retried on another engine.
TEST(Silence, CancelsQueriesOnASilentEngineAndRetriesThemElsewhere) {
  Settings settings = basic_settings();
  settings.progress_interval = 500ms;
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7)});
  driver.request(1, 0);
  driver.update_endpoints({endpoint(7), endpoint(8), endpoint(9)});
  driver.run_until(driver.now + 1700ms);
  ASSERT_EQ(driver.cancelled.size(), 1U);
  driver.finish(1, 0, 7, AttemptResult::cancelled);
  ASSERT_EQ(driver.attempts_of(1), 2);
  EXPECT_NE(driver.started.back().engine, 7U);
}

// An engine stops while cancellation is disabled. Its queries must remain there, but it gets no further ones.
TEST(Silence, SendsNoFurtherQueryToASilentEngineIfCancellationIsDisabled) {
  Settings settings = basic_settings();
  settings.cancellation_enabled = false;
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7)});
  for (RequestId id = 1; id <= 4; ++id) driver.request(id, 0);
  ASSERT_EQ(driver.attempts_at(7), 4);
  driver.update_endpoints({endpoint(7), endpoint(8), endpoint(9)});
  driver.run_until(driver.now + 1s);
  const int attempts_before = driver.attempts_at(7);
  for (RequestId id = 10; id <= 14; ++id) driver.request(id, 0);
  EXPECT_EQ(driver.attempts_at(7), attempts_before);
  EXPECT_TRUE(driver.cancelled.empty());
}

// A query that runs far longer than the usual answer time must not get its healthy engine ejected as silent.
// A single overdue query is never sufficient.
TEST(Silence, DoesNotEjectAnEngineForOneLongQuery) {
  Settings settings = basic_settings();
  settings.classes[0].timeout = 60s;
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7), endpoint(8), endpoint(9)});
  driver.request(1, 0, 60s);
  const auto at = driver.started[0].engine;
  driver.run_until(driver.now + 10s);
  EXPECT_TRUE(driver.cancelled.empty());
  EXPECT_DOUBLE_EQ(driver.decision_engine.pool_threads(), 24)
      << "expected engine " << at << " to remain in the pool";
}

// One answer in ten is lost on the way. The engine answers the other queries, so it is not ejected, and the
// requests whose answers are lost get a final answer before their deadlines.
TEST(LostAnswers, DoNotEjectAnEngineThatAnswersOthersAndTheirRequestsEndInTime) {
  Settings settings = basic_settings();
  settings.max_attempts = 1;
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7)});
  const auto start = driver.now;
  for (RequestId id = 1; id <= 40; ++id) {
    driver.request(id, 0);
    ASSERT_EQ(driver.attempts_of(id), 1) << "expected the engine to be healthy at request " << id;
    const bool is_lost = id % 10 == 0;
    if (is_lost) driver.request(100 + id, 0);
    driver.finish(is_lost ? 100 + id : id, 0, 7, AttemptResult::served);
    driver.run_until(driver.now + 100ms);
  }
  driver.run_until(start + 10s);
  for (RequestId id = 10; id <= 40; id += 10) EXPECT_EQ(driver.final_answers(id), 1);
}

// The router process is paused for two seconds. If the pause counted as silence, all engines would be
// ejected. It does not count; overdue requests end at once, and silence after the pause still counts.
TEST(Absence, DoesNotCountAsSilenceOfEnginesAndOverdueRequestsEndAtOnce) {
  Settings settings = basic_settings();
  settings.progress_interval = 500ms;
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7), endpoint(8)});
  driver.request(1, 0);
  driver.request(2, 0);
  driver.now += 2s;  // no calls during the pause; a request that waited has little time left
  RequestArrived late;
  late.request = 3;
  late.time_left = 30ms;
  driver.handle(driver.now, {TimerFired{}, late});
  EXPECT_TRUE(driver.cancelled.empty());
  driver.run_until(driver.now + 40ms);
  EXPECT_EQ(driver.final_answers(3), 1);
  driver.run_until(driver.now + 2s);
  EXPECT_EQ(driver.cancelled.size(), 2U) << "expected silence after the pause to count";
}

// Engines report no load, and one rejects a query. Only ejection prevents further queries from going there,
// so the engine is ejected, and the queries that it runs are cancelled so that they can run elsewhere.
TEST(Rejections, EjectAFullEngineAndCancelItsQueriesWithoutLoadReports) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7)});
  driver.request(1, 0);
  driver.request(2, 0);
  driver.update_endpoints({endpoint(7), endpoint(8)});
  driver.finish(2, 0, 7, AttemptResult::rejected);
  EXPECT_EQ(driver.cancelled, (std::vector<std::pair<RequestId, AttemptIndex>>{{1, 0}}));
  EXPECT_DOUBLE_EQ(driver.decision_engine.pool_threads(), 8)
      << "expected the pool to hold only the threads of the other engine";
}

// An engine whose queries wait in its own queue and send progress all the time must not be ejected as silent.
// Only an attempt without progress is given up.
TEST(Progress, KeepsAnEngineThatSendsProgressAndCancelsAnAttemptWithoutProgress) {
  Settings settings = basic_settings();
  settings.progress_interval = 1s;
  settings.classes[0].timeout = 30s;
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7)});
  for (RequestId id = 1; id <= 4; ++id) driver.request(id, 0, 30s);
  driver.update_endpoints({endpoint(7), endpoint(8)});
  for (int second = 1; second <= 4; ++second) {
    driver.run_until(driver.now + 1s);
    std::vector<Event> progress;
    for (RequestId id = 1; id <= 3; ++id)
      progress.push_back(AttemptProgress{id, 0, 7, ProgressKind::waiting, 1});
    driver.handle(driver.now, progress);
  }
  EXPECT_EQ(driver.cancelled, (std::vector<std::pair<RequestId, AttemptIndex>>{{4, 0}}));
  EXPECT_DOUBLE_EQ(driver.decision_engine.pool_threads(), 16) << "expected both engines to be healthy";
}

// An engine fails its queries, is ejected, and recovers on probation. docs/on-call.md quotes these log lines.
TEST(LogLines, ReportTheEjectionAndTheRecovery) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7)});
  std::vector<std::string> lines;
  const auto finish = [&](RequestId id, AttemptIndex attempt, AttemptResult result) {
    AttemptFinished outcome;
    outcome.request = id;
    outcome.attempt = attempt;
    outcome.engine = 7;
    outcome.result = result;
    outcome.request_finished = result == AttemptResult::served;
    for (const auto& action : driver.handle(driver.now, {outcome}))
      if (const auto* line = std::get_if<LogDecision>(&action)) lines.push_back(line->text);
  };
  driver.request(1, kIdempotent);
  finish(1, 0, AttemptResult::error);
  finish(1, 1, AttemptResult::error);
  EXPECT_EQ(lines, std::vector<std::string>{"engine 7 ejected: fails its queries"});
  driver.run_until(driver.now + 2s);
  driver.request(2, kIdempotent);
  ASSERT_EQ(driver.attempts_of(2), 1);
  finish(2, 0, AttemptResult::served);
  EXPECT_EQ(lines.back(), "engine 7 recovered");
}

}  // namespace
}  // namespace heronwell::test
