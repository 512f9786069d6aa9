#include <gtest/gtest.h>

#include "decision_driver.hpp"

namespace heronwell::test {
namespace {

// One engine fails every query at once, so it always looks idle and drew most of the work. It is ejected
// after two failures in a row, and gets one query at a time on probation.
TEST(Failures, AnEngineThatFailsEveryQueryAtOnceIsEjectedThoughItLooksIdle) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7), endpoint(8), endpoint(9)});
  int attempts_at_faulty = 0;
  for (RequestId id = 1; id <= 60; ++id) {
    const auto from = driver.started.size();
    driver.request(id, 0, 5s, 0, id);  // of many data groups
    for (auto i = from; i < driver.started.size(); ++i) {
      const auto sent = driver.started[i];
      attempts_at_faulty += sent.engine == 8 ? 1 : 0;
      const auto attempt = static_cast<AttemptIndex>(driver.attempts_of(sent.request) - 1);
      driver.finish(sent.request, attempt, sent.engine,
                    sent.engine == 8 ? AttemptResult::error : AttemptResult::served);
    }
    driver.run_until(driver.now + 20ms);
  }
  EXPECT_LE(attempts_at_faulty, 4) << "two errors in a row, then one query on probation at a time";
  EXPECT_GE(attempts_at_faulty, 2);
}

// A client sends queries that no engine can run. Each engine that failed one was blamed, and soon all were
// ejected. What two engines fail is the query's own fault: no engine is ejected.
TEST(Failures, AQueryThatFailsOnEveryEngineEjectsNone) {
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
        << "all three engines count, after request " << id;
  }
}

// An engine rejects every query while its reports say that it is idle, so each report drew new work to it.
// It is ejected after two in a row.
TEST(Rejections, AnEngineThatRejectsThoughItsReportsSayIdleIsEjected) {
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
      check.load = {0};  // idle, whatever it answers to queries
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
  EXPECT_LE(attempts_at_faulty, 6) << "two in a row, then one query on probation at a time";
}

// An engine fails all its queries for a while and then works again. After its probation it gets its part of
// the work.
TEST(Failures, AnEngineThatRecoversGetsWorkAgain) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7), endpoint(8)});
  const auto send_requests = [&driver](RequestId from, RequestId to, bool is_faulty) {
    for (RequestId id = from; id <= to; ++id) {
      const auto at = driver.started.size();
      driver.request(id, 0, 5s, 0, id);  // of many data groups
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

// An engine stops without closing its connections. It promised progress and gives none, so its query is
// cancelled and retried on another engine.
TEST(Silence, QueriesOnASilentEngineAreCancelledAndRetriedElsewhere) {
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

// An engine stops, and cancellation is not allowed. Its queries must stay there, but no new ones go to it.
TEST(Silence, ASilentEngineGetsNothingMoreWhereCancellationIsOff) {
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

// One long query, far past the usual answer time, was taken for silence, and healthy engines were ejected. A
// single query never is enough.
TEST(Silence, OneLongQueryIsNoSilence) {
  Settings settings = basic_settings();
  settings.classes[0].timeout = 60s;
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7), endpoint(8), endpoint(9)});
  driver.request(1, 0, 60s);
  const auto at = driver.started[0].engine;
  driver.run_until(driver.now + 10s);
  EXPECT_TRUE(driver.cancelled.empty());
  EXPECT_DOUBLE_EQ(driver.decision_engine.pool_threads(), 24) << "engine " << at << " still counts";
}

// One answer in ten is lost on the way. The engine answers the others, so it is not ejected, and the
// requests whose answers were lost get theirs before their deadlines.
TEST(LostAnswers, AnEngineThatAnswersOthersIsNotEjectedAndTheLostEndInTime) {
  Settings settings = basic_settings();
  settings.max_attempts = 1;
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7)});
  const auto start = driver.now;
  for (RequestId id = 1; id <= 40; ++id) {
    driver.request(id, 0);
    ASSERT_EQ(driver.attempts_of(id), 1) << "still healthy at " << id;
    const bool is_lost = id % 10 == 0;
    if (is_lost) driver.request(100 + id, 0);
    driver.finish(is_lost ? 100 + id : id, 0, 7, AttemptResult::served);
    driver.run_until(driver.now + 100ms);
  }
  driver.run_until(start + 10s);
  for (RequestId id = 10; id <= 40; id += 10) EXPECT_EQ(driver.final_answers(id), 1);
}

// The router itself is paused for two seconds. All engines seemed silent to it and were ejected. Now that
// time does not count, overdue requests end at once, and later silence still counts.
TEST(Absence, ARouterThatWasPausedBlamesNoEngineAndFinishesWhatIsOverdue) {
  Settings settings = basic_settings();
  settings.progress_interval = 500ms;
  DecisionDriver driver(settings);
  driver.update_endpoints({endpoint(7), endpoint(8)});
  driver.request(1, 0);
  driver.request(2, 0);
  driver.now += 2s;  // no call meanwhile; the client of a request that waited has little time left
  RequestArrived late;
  late.request = 3;
  late.time_left = 30ms;
  driver.handle(driver.now, {TimerFired{}, late});
  EXPECT_TRUE(driver.cancelled.empty());
  driver.run_until(driver.now + 40ms);
  EXPECT_EQ(driver.final_answers(3), 1);
  driver.run_until(driver.now + 2s);
  EXPECT_EQ(driver.cancelled.size(), 2U) << "silence that it did see still counts";
}

// Engines report no load, and one rejects a query. Nothing else would keep work from it, so it is ejected
// and what it runs is cancelled for another engine.
TEST(Rejections, AFullEngineIsEjectedAndItsQueriesCancelledWhereNothingReportsLoad) {
  DecisionDriver driver(basic_settings());
  driver.update_endpoints({endpoint(7)});
  driver.request(1, 0);
  driver.request(2, 0);
  driver.update_endpoints({endpoint(7), endpoint(8)});
  driver.finish(2, 0, 7, AttemptResult::rejected);
  EXPECT_EQ(driver.cancelled, (std::vector<std::pair<RequestId, AttemptIndex>>{{1, 0}}));
  EXPECT_DOUBLE_EQ(driver.decision_engine.pool_threads(), 8) << "of the other engine";
}

// Queries that waited in an engine's queue sent progress all the time, yet the engine was ejected as silent.
// It is not; only the attempt without progress is given up.
TEST(Progress, AnEngineThatSendsProgressIsNotSilentAndAnAttemptWithoutItIsLost) {
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
  EXPECT_DOUBLE_EQ(driver.decision_engine.pool_threads(), 16) << "the engine is healthy";
}

// The lines that docs/on-call.md names: an engine fails its queries, is ejected, and recovers on probation.
TEST(LogLines, NameTheEjectionAndTheRecovery) {
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
