// The request registry with resource groups: what a group does not admit or ends, and that the registry's
// accounts and the groups' agree whatever happens.
#include <map>
#include <random>
#include <ranges>
#include <set>

#include "driven_registry.hpp"
#include "router/query_parser.hpp"

namespace heronwell::router {
namespace {

using namespace std::chrono_literals;

class GroupLimitsTest : public DrivenRegistry {
 protected:
  void start(const std::string& groups, Idempotency idempotency = Idempotency::idempotent,
             unsigned engines = 2, bool gossip = false) {
    auto s = one_class(idempotency);
    s.cancellation_enabled = cancellation_enabled;
    s.max_retry_after = 700ms;
    s.gossip_enabled = gossip;
    s.router_count = gossip ? 2 : 1;
    auto section = yaml::Section::text("groups: " + groups, "test");
    groups::ShareSettings settings;
    settings.gateways = s.router_count;
    registry.emplace(
        s, 1, 1,
        std::make_unique<groups::Shares>(groups::Tree::read(section),
                                         std::vector<groups::Shares::ClassFacts>{{1, false}}, settings));
    list(engines);
    run();
  }
  void arrive(Ticket ticket, const std::string& group) { DrivenRegistry::arrive(ticket, 2s, group); }
  bool cancellation_enabled = true;
};

TEST_F(GroupLimitsTest, RejectsAtOnceWhatAGroupDoesNotAdmit) {
  start("{a: {max_queued: 1, max_threads: 1}}");
  arrive(1, "a");
  run();
  arrive(2, "a");
  arrive(3, "a");
  arrive(4, "b");
  run();
  const auto answers = all<FinishRequest>();
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

// A query runs longer than its group allows and is ended by the registry, which the decision engine does not
// hear of beforehand. "Rejected" invites a retry, so a query that is not idempotent and may have run must be
// answered as failed.
TEST_F(GroupLimitsTest, ARunTimeLimitRejectsOnlyRequestsThatAreIdempotent) {
  for (const auto idempotency : {Idempotency::idempotent, Idempotency::not_idempotent}) {
    commands.clear();
    cancellation_enabled =
        idempotency == Idempotency::idempotent;  // where the engine may cancel nothing, the registry stops it
    start("{a: {query_time: 300ms}}", idempotency);
    arrive(1, "a");
    run();
    ASSERT_EQ(all<DispatchAttempt>().size(), 1u);
    wait(400ms);
    const auto answers = all<FinishRequest>();
    ASSERT_EQ(answers.size(), 1u);
    EXPECT_EQ(answers[0].status,
              idempotency == Idempotency::idempotent ? FinalStatus::rejected : FinalStatus::failed);
    EXPECT_EQ(answers[0].limit, groups::Limit::run);
    EXPECT_EQ(all<StopAttempt>().size(), 1u) << "its attempt is cancelled, once";
    end(1, 0, AttemptResult::cancelled);
    run();
    EXPECT_EQ(registry->groups()->requests(), 0u);
    EXPECT_EQ(registry->remembered_count(), 0u);
    EXPECT_EQ(all<FinishRequest>().size(), 1u);
  }
}

TEST_F(GroupLimitsTest, AnAttemptThatNeverRanCostsItsGroupNothing) {
  start("{a: {}, b: {}}");
  arrive(1, "a");
  run();
  ASSERT_EQ(all<DispatchAttempt>().size(), 1u);
  now += 400ms;
  end(1, 0, AttemptResult::not_connected);
  run();
  ASSERT_EQ(all<DispatchAttempt>().size(), 2u) << "retried";
  now += 100ms;
  end(1, 1, AttemptResult::served);
  run();
  for (const auto& group : registry->groups()->view())
    if (group.path == "a") {
      EXPECT_NEAR(group.used_s, 0.1, 0.001);
    }
}

// Arrivals, ends of all kinds, disconnects, reloads and a suspended process in random order. Each request
// gets one final answer, nothing is left behind, and all sums agree after each step.
TEST_F(GroupLimitsTest, AccountsStayConsistentUnderRandomEvents) {
  const std::array<std::string, 2> plans{
      "{a: {weight: 3, groups: {x: {}, y: {longest_wait: 150ms}}}, b: {max_threads: 2, query_time: 700ms}}",
      "{b: {max_queued: 5}, z: {groups: {moved: {was: a.x}}}}"};
  const std::array<std::string, 5> paths{"a.x", "a.y", "b", "z.moved", "nowhere"};
  for (std::uint32_t seed = 1; seed <= 25; ++seed) {
    std::mt19937 random(seed);
    const auto drawn = [&](unsigned n) { return random() % n; };
    commands.clear();
    now = 1s;
    start(plans[0], seed % 2 == 0 ? Idempotency::idempotent : Idempotency::not_idempotent, 2, seed % 3 == 0);
    Ticket tickets = 0;
    std::map<std::pair<Ticket, AttemptIndex>, bool> out;
    std::map<Ticket, int> ends;
    std::set<Ticket> gone;
    std::size_t seen = 0;
    const auto settle = [&] {
      for (; seen < commands.size(); ++seen) {
        const auto& c = commands[seen];
        if (const auto* s = std::get_if<DispatchAttempt>(&c)) out[{s->ticket, s->attempt}] = false;
        if (const auto* s = std::get_if<StopAttempt>(&c)) {
          if (out.contains({s->ticket, s->attempt})) out[{s->ticket, s->attempt}] = true;
        }
        if (const auto* d = std::get_if<DeliverResponse>(&c)) ++ends[d->ticket];
        if (const auto* a = std::get_if<FinishRequest>(&c)) ++ends[a->ticket];
      }
    };
    for (int i = 0; i < 1500; ++i) {
      now += drawn(200) == 0 ? Time(800ms) : Time(drawn(8'000'000));
      const auto what = drawn(10);
      if (what < 5) arrive(++tickets, paths[drawn(5)]);
      if (what >= 5 && what < 9 && !out.empty()) {
        auto it = std::next(out.begin(), drawn(static_cast<unsigned>(out.size())));
        const auto [ticket, attempt] = it->first;
        constexpr std::array results{AttemptResult::served,        AttemptResult::served,
                                     AttemptResult::served,        AttemptResult::reset,
                                     AttemptResult::not_connected, AttemptResult::rejected};
        const auto result = it->second ? AttemptResult::cancelled : results[drawn(6)];
        out.erase(it);
        end(ticket, attempt, result);
      }
      if (what == 9 && tickets > 0) {
        const auto ticket = 1 + drawn(static_cast<unsigned>(tickets));
        if (ends[ticket] == 0) {
          registry->client_disconnected(ticket);
          gone.insert(ticket);
        }
      }
      if (drawn(100) == 0) {
        auto section = yaml::Section::text("groups: " + plans[drawn(2)], "test");
        registry->groups()->reload(groups::Tree::read(section));
      }
      run();
      settle();
      ASSERT_EQ(registry->groups()->find_inconsistency(), "") << "seed " << seed << ", step " << i;
      ASSERT_EQ(registry->groups()->requests() > 0, registry->remembered_count() > 0)
          << "seed " << seed << ", step " << i;
    }
    for (int i = 0; i < 400; ++i) {
      now += 20ms;
      for (const auto& [key, stopped] : std::map(out)) {
        out.erase(key);
        end(key.first, key.second, AttemptResult::served);
      }
      run();
      settle();
    }
    EXPECT_EQ(registry->remembered_count(), 0u);
    EXPECT_EQ(registry->groups()->requests(), 0u);
    for (Ticket t = 1; t <= tickets; ++t)
      ASSERT_EQ(ends[t] + static_cast<int>(gone.contains(t) && ends[t] == 0), 1)
          << "seed " << seed << ", ticket " << t;
  }
}

TEST_F(GroupLimitsTest, SendsGossipAboutTheUseOfGroups) {
  start("{a: {}, b: {}}", Idempotency::idempotent, 2, true);
  arrive(1, "a");
  run();
  now += 300ms;
  end(1, 0, AttemptResult::served);
  wait(500ms);
  const auto told = all<ForwardGossip>();
  ASSERT_TRUE(std::ranges::any_of(told, [](const ForwardGossip& t) { return t.bytes.starts_with("g"); }));
  for (const auto& one : told) EXPECT_LE(one.bytes.size(), 256u);
}

// All engines of a group's class are in slow start and get few of its queries. Its queue is first in line,
// and must not keep the other group's queries from their engines: that group gets as much as if it were
// alone, and the engines in slow start are used too.
TEST(GroupInSlowStart, DoesNotDelayOtherGroups) {
  const auto sends = [](bool with_slow_start) {
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
    std::array<unsigned, 2> sent{};
    std::map<Ticket, ClassIndex> held;
    std::multimap<Time, std::pair<Ticket, AttemptIndex>> ends;
    Ticket tickets = 0;
    for (std::vector<Command> commands; now < 9s; now += 2ms) {
      while (!ends.empty() && ends.begin()->first <= now) {
        const auto [ticket, attempt] = ends.begin()->second;
        ends.erase(ends.begin());
        registry.attempt_finished(
            now, {.ticket = ticket, .attempt = attempt, .result = AttemptResult::served, .at = now});
      }
      for (ClassIndex c = 0; c < (with_slow_start ? 2 : 1); ++c)
        while (std::ranges::count(held | std::views::values, c) < 10) {
          RequestSpec spec;
          spec.ticket = ++tickets;
          spec.request.class_index = c;
          spec.request.time_left = s.classes[c].timeout;
          spec.group = c == 0 ? "b" : "a";
          held[spec.ticket] = c;
          registry.add_request(now, spec);
        }
      commands.clear();
      do registry.run(now, commands);
      while (registry.next_due() <= Time::zero());
      for (const auto& command : commands) {
        if (const auto* start = std::get_if<DispatchAttempt>(&command)) {
          ++sent[start->engine - 1];
          held.erase(start->ticket);
          ends.emplace(now + 30ms, std::pair(start->ticket, start->attempt));
        }
        if (const auto* answer = std::get_if<FinishRequest>(&command)) held.erase(answer->ticket);
      }
    }
    return sent;
  };
  const auto alone = sends(false), both = sends(true);
  EXPECT_GT(alone[0], 1000u);
  EXPECT_GT(both[0], 0.9 * alone[0]);
  EXPECT_GT(both[1], 5u);
}

}  // namespace
}  // namespace heronwell::router
