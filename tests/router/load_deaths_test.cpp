// Tests GraphQL load mutations with the real decision engine and request registry, on virtual time and
// without sockets.
//
// In each run an engine fails at a random time around each load: before or while the connection is opened,
// while the statement is being sent, while it runs, after its effect, or while the response is being sent. A
// load is not idempotent: a retry after its effect would insert its rows twice, and so would a client that is
// told that a retry is safe. The simulated engine of this test counts the effects.
#include <gtest/gtest.h>

#include <map>
#include <pcg_random.hpp>
#include <random>

#include "graphql/validate.hpp"
#include "path/graphql.hpp"
#include "router/request_registry.hpp"

namespace heronwell::router {
namespace {

using namespace std::chrono_literals;

Settings load_settings(Idempotency idempotency) {
  Settings settings;
  settings.classes = {{.name = "load",
                       .latency_objective = 500ms,
                       .timeout = 4s,
                       .idempotency = idempotency,
                       .deduplication_window = 60s}};
  settings.machine_types = {{.name = "small", .cores = 4}};
  settings.max_attempts = 3;
  settings.cancellation_enabled = true;
  settings.drain_grace_period = 500ms;
  return settings;
}

struct SentAttempt {
  std::string load;
  AttemptResult result = AttemptResult::served;
  bool written = false, took_effect = false;
};

class LoadRun {
 public:
  LoadRun(const graphql::Bound& bound, const graphql::Document& document, std::uint64_t seed,
          Idempotency idempotency)
      : random_(seed), settings_(load_settings(idempotency)), registry_(settings_, seed) {
    EndpointUpdate list;
    for (EngineId id = 1; id <= 3; ++id) list.endpoints.push_back({.engine = id});
    registry_.endpoints_updated(list);
    graphql::Asked asked;
    asked.deadline = now_ + 4s;
    execution_.emplace(bound, document, document.definitions[0], std::move(asked), graphql::Bounds{});
    std::vector<graphql::Call> calls;
    execution_->start(now_, calls);
    submit(calls);
    std::vector<Command> commands;
    while (!execution_->done() && now_ < 110s) {
      commands.clear();
      registry_.run(now_, commands);
      for (const auto& command : commands) execute(command);
      if (execution_->done()) break;
      auto due = registry_.next_due();
      if (!attempt_ends_.empty()) due = std::min(due, attempt_ends_.begin()->first);
      now_ = std::max(now_, due);
      while (!attempt_ends_.empty() && attempt_ends_.begin()->first <= now_) {
        const auto end = attempt_ends_.begin()->second;
        attempt_ends_.erase(attempt_ends_.begin());
        registry_.attempt_finished(now_, end);
      }
    }
    if (execution_->done()) response = execution_->response();
  }

  std::string response;
  std::vector<SentAttempt> sent_attempts;
  unsigned engine_failures = 0;

 private:
  void submit(std::vector<graphql::Call>& calls) {
    for (auto& call : calls) {
      RequestSpec spec;
      spec.ticket = call.id + 1;
      spec.request.time_left = call.deadline - now_;
      loads_[spec.ticket] = *call.parameters.at(0);
      registry_.add_request(now_, spec);
    }
    calls.clear();
  }
  void finish_statement(Ticket ticket, graphql::Reply reply) {
    std::vector<graphql::Call> calls;
    execution_->ended(now_, ticket - 1, std::move(reply), calls);
    submit(calls);
  }
  void execute(const Command& command) {
    if (const auto* start = std::get_if<DispatchAttempt>(&command)) return send_attempt(*start);
    if (const auto* deliver = std::get_if<DeliverResponse>(&command)) {
      auto table = std::make_shared<sql::Table>();
      table->command = "INSERT 0 1";
      return finish_statement(deliver->ticket, {table, {}});
    }
    if (const auto* answer = std::get_if<FinishRequest>(&command))
      finish_statement(answer->ticket,
                       {nullptr, path::graphql_error_of(problem_of(*answer), settings_.classes[0], false)});
  }
  void send_attempt(const DispatchAttempt& start) {
    auto& attempt = sent_attempts.emplace_back();
    attempt.load = loads_.at(start.ticket);
    const auto random_time = [this](double from, double to) {
      return Time(static_cast<std::int64_t>(1e6 * std::uniform_real_distribution<double>(from, to)(random_)));
    };
    const Time connected = random_time(0.2, 1), written = connected + random_time(0, 0.1),
               received = written + random_time(0.1, 0.5);
    const Time took_effect_at = received + random_time(1, 40),
               answered = took_effect_at + random_time(0.1, 1);
    Time at = answered;
    // The first attempt always meets an engine failure, 1 ms before its start to 1 ms after its response.
    const bool fails = sent_attempts.size() == 1 || random_() % 2 == 0;
    const Time failed_at = random_time(-1, milliseconds(answered) + 1);
    if (fails) {
      ++engine_failures;
      attempt.result = failed_at < connected  ? AttemptResult::not_connected
                       : failed_at < answered ? AttemptResult::reset
                                              : AttemptResult::served;
      at = attempt.result == AttemptResult::served ? answered : std::max<Time>(failed_at, 100us);
    }
    attempt.written = !fails || failed_at >= connected;
    attempt.took_effect = !fails || failed_at >= took_effect_at;
    attempt_ends_.emplace(
        now_ + at,
        AttemptEnd{
            .ticket = start.ticket, .attempt = start.attempt, .result = attempt.result, .at = now_ + at});
  }

  pcg64 random_;
  Settings settings_;
  RequestRegistry registry_;
  Time now_ = 100s;
  std::optional<graphql::Execution> execution_;
  std::map<Ticket, std::string> loads_;
  std::multimap<Time, AttemptEnd> attempt_ends_;
};

TEST(LoadDeathsTest, NonIdempotentLoadRunsAtMostOnceAndResponseMatchesItsEffect) {
  const graphql::Bound bound(
      "type Query{a:Int @sql(statement:\"a\" class:\"q\")} type Mutation{load(id:ID!):Int "
      "@sql(statement:\"load :id\" class:\"load\")}",
      {{"load", false, false, 500ms}, {"q", true, false, 500ms}});
  const auto document = graphql::parse("mutation{a:load(id:1) b:load(id:2)}");
  ASSERT_TRUE(graphql::validate(bound.schema(), document).empty());
  unsigned engine_failures = 0, unknown = 0, never_connected = 0, unknown_without_effect = 0,
           unknown_with_effect = 0, not_started = 0;
  for (std::uint64_t seed = 1; seed <= 2'500; ++seed) {
    const LoadRun run(bound, document, seed, Idempotency::not_idempotent);
    engine_failures += run.engine_failures;
    ASSERT_FALSE(run.response.empty()) << "seed " << seed << ": expected a final response";
    std::map<std::string, unsigned> written, effects;
    for (const auto& attempt : run.sent_attempts) {
      written[attempt.load] += attempt.written ? 1 : 0;
      effects[attempt.load] += attempt.took_effect ? 1 : 0;
      never_connected += attempt.result == AttemptResult::not_connected ? 1 : 0;
    }
    for (const auto& [load, count] : written) ASSERT_LE(count, 1U) << "seed " << seed << ": load " << load;
    for (const auto& [load, count] : effects) ASSERT_LE(count, 1U) << "seed " << seed << ": load " << load;
    const bool reported_unknown = run.response.find("OUTCOME_UNKNOWN") != std::string::npos;
    const bool a_served = run.response.find(R"("a":1)") != std::string::npos;
    const bool a_unknown =
        reported_unknown &&
        run.response.find(R"("path":["a"],"extensions":{"code":"OUTCOME_UNKNOWN")") != std::string::npos;
    if (a_served) {
      ASSERT_EQ(effects["1"], 1U) << "seed " << seed;
    }
    if (a_unknown) {
      ASSERT_EQ(written["2"], 0U) << "seed " << seed << ": expected the second load not to be started";
      ASSERT_NE(run.response.find("NOT_STARTED"), std::string::npos) << run.response;
      ++not_started;
      ++(effects["1"] == 1 ? unknown_with_effect : unknown_without_effect);
    }
    if (!a_served && !a_unknown) {
      ASSERT_EQ(effects["1"], 0U) << "seed " << seed
                                  << ": expected no effect of a load that is reported as safe to retry\n"
                                  << run.response;
    }
    unknown += reported_unknown ? 1 : 0;
  }
  // The failures must cover all phases of an attempt for the checks above to be meaningful.
  EXPECT_GE(engine_failures, 2'500U);
  EXPECT_GT(unknown, 500U);
  EXPECT_GT(unknown_without_effect, 300U);
  EXPECT_GT(unknown_with_effect, 10U);
  EXPECT_GT(never_connected, 50U);
  RecordProperty("deaths", static_cast<int>(engine_failures));
  RecordProperty("not_started", static_cast<int>(not_started));
  RecordProperty("unknown_and_took_effect", static_cast<int>(unknown_with_effect));
}

// Verifies that the check above can fail: loads of an idempotent class are retried after an engine failure
// and run twice.
TEST(LoadDeathsTest, IdempotentLoadsRunTwiceUnderTheSameFailures) {
  const graphql::Bound bound(
      "type Query{a:Int @sql(statement:\"a\" class:\"load\")} type Mutation{load(id:ID!):Int "
      "@sql(statement:\"load :id\" class:\"load\")}",
      {{"load", true, false, 500ms}});
  const auto document = graphql::parse("mutation{a:load(id:1) b:load(id:2)}");
  unsigned repeated_loads = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    const LoadRun run(bound, document, seed, Idempotency::idempotent);
    std::map<std::string, unsigned> written;
    for (const auto& attempt : run.sent_attempts) written[attempt.load] += attempt.written ? 1 : 0;
    for (const auto& [load, count] : written) repeated_loads += count > 1 ? 1 : 0;
  }
  EXPECT_GT(repeated_loads, 20U);
}

}  // namespace
}  // namespace heronwell::router
