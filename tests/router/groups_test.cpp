// Tests the request registry with resource groups: the limits of groups, and the consistency between the
// accounts of the registry and those of the groups.
#include <map>
#include <random>
#include <ranges>
#include <set>

#include "request_registry_fixture.hpp"
#include "router/query_parser.hpp"

namespace heronwell::router {
namespace {

using namespace std::chrono_literals;

class GroupLimitsTest : public RequestRegistryFixture {
 protected:
  void start(const std::string& groups, Idempotency idempotency = Idempotency::idempotent,
             unsigned engines = 2, bool gossip = false) {
    auto registry_settings = one_class(idempotency);
    registry_settings.cancellation_enabled = cancellation_enabled;
    registry_settings.max_retry_after = 700ms;
    registry_settings.gossip_enabled = gossip;
    registry_settings.router_count = gossip ? 2 : 1;
    auto section = yaml::Section::text("groups: " + groups, "test");
    groups::ShareSettings settings;
    settings.gateways = registry_settings.router_count;
    registry.emplace(
        registry_settings, 1, 1,
        std::make_unique<groups::Shares>(groups::Tree::read(section),
                                         std::vector<groups::Shares::ClassFacts>{{1, false}}, settings));
    set_engine_count(engines);
    run_until_idle();
  }
  void add_request(Ticket ticket, const std::string& group) {
    RequestRegistryFixture::add_request(ticket, 2s, group);
  }
  bool cancellation_enabled = true;
};

TEST_F(GroupLimitsTest, RejectsRequestsThatTheGroupDoesNotAdmit) {
  start("{a: {max_queued: 1, max_threads: 1}}");
  add_request(1, "a");
  run_until_idle();
  add_request(2, "a");
  add_request(3, "a");
  add_request(4, "b");
  run_until_idle();
  const auto answers = commands_of<FinishRequest>();
  ASSERT_EQ(answers.size(), 2u);
  EXPECT_EQ(answers[0].ticket, 3u);
  EXPECT_EQ(answers[0].limit, groups::Limit::queued);
  EXPECT_EQ(answers[0].retry_after, 700ms);
  EXPECT_EQ(answers[1].ticket, 4u);
  EXPECT_EQ(answers[1].limit, groups::Limit::unknown_group);
  EXPECT_EQ(answers[1].retry_after, Time::zero());
  EXPECT_EQ(problem_of(answers[1]).status, 403);
  EXPECT_EQ(registry->open_count(), 2u);
}

// The registry ends a query that exceeds the run time limit of its group, without a command of the decision
// engine. Clients retry requests that are reported as rejected, so a non-idempotent query that may have run
// must be reported as failed.
TEST_F(GroupLimitsTest, RunTimeLimitRejectsOnlyIdempotentRequests) {
  for (const auto idempotency : {Idempotency::idempotent, Idempotency::not_idempotent}) {
    commands.clear();
    // If the decision engine must not cancel attempts, the registry still stops the query.
    cancellation_enabled = idempotency == Idempotency::idempotent;
    start("{a: {query_time: 300ms}}", idempotency);
    add_request(1, "a");
    run_until_idle();
    ASSERT_EQ(commands_of<DispatchAttempt>().size(), 1u);
    advance_time(400ms);
    const auto answers = commands_of<FinishRequest>();
    ASSERT_EQ(answers.size(), 1u);
    EXPECT_EQ(answers[0].status,
              idempotency == Idempotency::idempotent ? FinalStatus::rejected : FinalStatus::failed);
    EXPECT_EQ(answers[0].limit, groups::Limit::run);
    EXPECT_EQ(commands_of<StopAttempt>().size(), 1u) << "expected the attempt to be cancelled exactly once";
    finish_attempt(1, 0, AttemptResult::cancelled);
    run_until_idle();
    EXPECT_EQ(registry->groups()->requests(), 0u);
    EXPECT_EQ(registry->remembered_count(), 0u);
    EXPECT_EQ(commands_of<FinishRequest>().size(), 1u);
  }
}

TEST_F(GroupLimitsTest, DoesNotChargeTheGroupForAnAttemptThatNeverRan) {
  start("{a: {}, b: {}}");
  add_request(1, "a");
  run_until_idle();
  ASSERT_EQ(commands_of<DispatchAttempt>().size(), 1u);
  now += 400ms;
  finish_attempt(1, 0, AttemptResult::not_connected);
  run_until_idle();
  ASSERT_EQ(commands_of<DispatchAttempt>().size(), 2u) << "expected a retry";
  now += 100ms;
  finish_attempt(1, 1, AttemptResult::served);
  run_until_idle();
  for (const auto& group : registry->groups()->view())
    if (group.path == "a") {
      EXPECT_NEAR(group.used_s, 0.1, 0.001);
    }
}

// Random sequence of arrivals, attempt results of all kinds, disconnects, reloads and suspensions of the
// process. Each request must get exactly one final answer, no state may be left behind, and the sums must
// agree after each step.
TEST_F(GroupLimitsTest, AccountsStayConsistentUnderRandomEvents) {
  const std::array<std::string, 2> plans{
      "{a: {weight: 3, groups: {x: {}, y: {longest_wait: 150ms}}}, b: {max_threads: 2, query_time: 700ms}}",
      "{b: {max_queued: 5}, z: {groups: {moved: {was: a.x}}}}"};
  const std::array<std::string, 5> paths{"a.x", "a.y", "b", "z.moved", "nowhere"};
  for (std::uint32_t seed = 1; seed <= 25; ++seed) {
    std::mt19937 random(seed);
    const auto draw = [&](unsigned n) { return random() % n; };
    commands.clear();
    now = 1s;
    start(plans[0], seed % 2 == 0 ? Idempotency::idempotent : Idempotency::not_idempotent, 2, seed % 3 == 0);
    Ticket last_ticket = 0;
    std::map<std::pair<Ticket, AttemptIndex>, bool> in_flight;
    std::map<Ticket, int> final_answers;
    std::set<Ticket> disconnected;
    std::size_t processed_commands = 0;
    const auto collect_commands = [&] {
      for (; processed_commands < commands.size(); ++processed_commands) {
        const auto& command = commands[processed_commands];
        if (const auto* attempt = std::get_if<DispatchAttempt>(&command))
          in_flight[{attempt->ticket, attempt->attempt}] = false;
        if (const auto* attempt = std::get_if<StopAttempt>(&command)) {
          if (in_flight.contains({attempt->ticket, attempt->attempt}))
            in_flight[{attempt->ticket, attempt->attempt}] = true;
        }
        if (const auto* response = std::get_if<DeliverResponse>(&command)) ++final_answers[response->ticket];
        if (const auto* finish = std::get_if<FinishRequest>(&command)) ++final_answers[finish->ticket];
      }
    };
    for (int i = 0; i < 1500; ++i) {
      now += draw(200) == 0 ? Time(800ms) : Time(draw(8'000'000));
      const auto action = draw(10);
      if (action < 5) add_request(++last_ticket, paths[draw(5)]);
      if (action >= 5 && action < 9 && !in_flight.empty()) {
        auto it = std::next(in_flight.begin(), draw(static_cast<unsigned>(in_flight.size())));
        const auto [ticket, attempt] = it->first;
        constexpr std::array results{AttemptResult::served,        AttemptResult::served,
                                     AttemptResult::served,        AttemptResult::reset,
                                     AttemptResult::not_connected, AttemptResult::rejected};
        const auto result = it->second ? AttemptResult::cancelled : results[draw(6)];
        in_flight.erase(it);
        finish_attempt(ticket, attempt, result);
      }
      if (action == 9 && last_ticket > 0) {
        const auto ticket = 1 + draw(static_cast<unsigned>(last_ticket));
        if (final_answers[ticket] == 0) {
          registry->client_disconnected(ticket);
          disconnected.insert(ticket);
        }
      }
      if (draw(100) == 0) {
        auto section = yaml::Section::text("groups: " + plans[draw(2)], "test");
        registry->groups()->reload(groups::Tree::read(section));
      }
      run_until_idle();
      collect_commands();
      ASSERT_EQ(registry->groups()->find_inconsistency(), "") << "seed " << seed << ", step " << i;
      ASSERT_EQ(registry->groups()->requests() > 0, registry->remembered_count() > 0)
          << "seed " << seed << ", step " << i;
    }
    for (int i = 0; i < 400; ++i) {
      now += 20ms;
      for (const auto& [key, stopped] : std::map(in_flight)) {
        in_flight.erase(key);
        finish_attempt(key.first, key.second, AttemptResult::served);
      }
      run_until_idle();
      collect_commands();
    }
    EXPECT_EQ(registry->remembered_count(), 0u);
    EXPECT_EQ(registry->groups()->requests(), 0u);
    for (Ticket t = 1; t <= last_ticket; ++t)
      ASSERT_EQ(final_answers[t] + static_cast<int>(disconnected.contains(t) && final_answers[t] == 0), 1)
          << "seed " << seed << ", ticket " << t;
  }
}

TEST_F(GroupLimitsTest, SendsGroupUsageByGossip) {
  start("{a: {}, b: {}}", Idempotency::idempotent, 2, true);
  add_request(1, "a");
  run_until_idle();
  now += 300ms;
  finish_attempt(1, 0, AttemptResult::served);
  advance_time(500ms);
  const auto gossip = commands_of<ForwardGossip>();
  ASSERT_TRUE(std::ranges::any_of(
      gossip, [](const ForwardGossip& message) { return message.bytes.starts_with("g"); }));
  for (const auto& message : gossip) EXPECT_LE(message.bytes.size(), 256u);
}

// All engines of one group's class are in slow start, so few of its queries are dispatched. Its queue has the
// highest priority but must not block the other group: that group must get almost the throughput that it gets
// alone, and the engines in slow start must be used too.
TEST(GroupInSlowStart, DoesNotDelayOtherGroups) {
  const auto count_dispatches = [](bool with_slow_start) {
    Settings s;
    s.classes = {{.name = "lookup", .latency_objective = 500ms, .timeout = 2s},
                 {.name = "special", .latency_objective = 1s, .timeout = 4s}};
    s.classes[0].allowed_machine_types = {0};
    s.classes[1].allowed_machine_types = {1};
    s.machine_types = {{.name = "warm", .cores = 4}, {.name = "cold", .cores = 4}};
    s.max_attempts = 3;
    s.drain_grace_period = 500ms;
    s.slow_start_initial_capacity = 0.3;
    s.slow_start_duration = 20s;
    s.slow_start_overload_ratio = 2;
    s.slow_start_overload_window = 2s;
    auto section = yaml::Section::text("groups: {a: {weight: 100}, b: {}}", "test");
    RequestRegistry registry(
        s, 1, 1,
        std::make_unique<groups::Shares>(groups::Tree::read(section),
                                         std::vector<groups::Shares::ClassFacts>{{1, false}, {1, false}},
                                         groups::ShareSettings{}));
    Time now = 1s;
    registry.endpoints_updated(
        {UpdateKind::snapshot,
         {{.engine = 1, .machine_type = 0}, {.engine = 2, .machine_type = 1, .last_started = now}}});
    std::array<unsigned, 2> dispatched{};
    std::map<Ticket, ClassIndex> waiting;
    std::multimap<Time, std::pair<Ticket, AttemptIndex>> attempt_ends;
    Ticket last_ticket = 0;
    for (std::vector<Command> commands; now < 9s; now += 2ms) {
      while (!attempt_ends.empty() && attempt_ends.begin()->first <= now) {
        const auto [ticket, attempt] = attempt_ends.begin()->second;
        attempt_ends.erase(attempt_ends.begin());
        registry.attempt_finished(
            now, {.ticket = ticket, .attempt = attempt, .result = AttemptResult::served, .at = now});
      }
      for (ClassIndex c = 0; c < (with_slow_start ? 2 : 1); ++c)
        while (std::ranges::count(waiting | std::views::values, c) < 10) {
          RequestSpec spec;
          spec.ticket = ++last_ticket;
          spec.request.class_index = c;
          spec.request.time_left = s.classes[c].timeout;
          spec.group = c == 0 ? "b" : "a";
          waiting[spec.ticket] = c;
          registry.add_request(now, spec);
        }
      commands.clear();
      do registry.run(now, commands);
      while (registry.next_due() <= Time::zero());
      for (const auto& command : commands) {
        if (const auto* start = std::get_if<DispatchAttempt>(&command)) {
          ++dispatched[start->engine - 1];
          waiting.erase(start->ticket);
          attempt_ends.emplace(now + 30ms, std::pair(start->ticket, start->attempt));
        }
        if (const auto* answer = std::get_if<FinishRequest>(&command)) waiting.erase(answer->ticket);
      }
    }
    return dispatched;
  };
  const auto alone = count_dispatches(false), both = count_dispatches(true);
  EXPECT_GT(alone[0], 1000u);
  EXPECT_GT(both[0], 0.9 * alone[0]);
  EXPECT_GT(both[1], 5u);
}

}  // namespace
}  // namespace heronwell::router
