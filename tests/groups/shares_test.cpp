// Tests Shares with a simulation in place of the decision engine: it has a pool of threads and classes
// ordered by rank, and gives free threads to the request that Shares offers first.
#include "groups/shares.hpp"

#include <gtest/gtest.h>

#include <random>

#include "groups/schedule.hpp"

namespace heronwell::groups {
namespace {

using namespace std::chrono_literals;

Tree tree(const std::string& yaml) {
  auto section = yaml::Section::text("groups: " + yaml, "test");
  auto result = Tree::read(section);
  section.close();
  return result;
}

class GroupsSimulation {
 public:
  GroupsSimulation(const std::string& groups, unsigned threads, ShareSettings settings = {},
                   std::vector<Shares::ClassFacts> classes = {{1, false}, {4, false}})
      : shares(tree(groups), classes, settings),
        classes_(std::move(classes)),
        free_(threads),
        pool_(threads) {}

  // A source keeps `count` queries of the class waiting in the group.
  struct Source {
    std::string group;
    ClassIndex cls = 0;
    Time length{};
    std::size_t count = 0;
    std::size_t waiting = 0;
  };
  std::vector<Source> sources;

  Limit request(const std::string& group, ClassIndex cls, Time length, std::size_t source = SIZE_MAX) {
    const auto id = ++ids_;
    const auto limit = shares.admit(id, group, true, {cls, 0, std::nullopt});
    if (limit == Limit::none) requests_[id] = {group, cls, length, source};
    return limit;
  }

  void step() {
    now += 5ms;
    shares.advance_time(now, pool_);
    for (const auto& [end, id] : ends_)
      used[requests_[id].group] += 0.005 * classes_[requests_[id].cls].threads;
    while (!ends_.empty() && ends_.begin()->first <= now) {
      const auto id = ends_.begin()->second;
      ends_.erase(ends_.begin());
      shares.attempt_ended(id, 0, true);
      shares.request_finished(id);
      free_ += classes_[requests_[id].cls].threads;
      requests_.erase(id);
    }
    for (std::size_t s = 0; s < sources.size(); ++s)
      while (sources[s].waiting < sources[s].count &&
             request(sources[s].group, sources[s].cls, sources[s].length, s) == Limit::none)
        ++sources[s].waiting;
    while (start_next()) continue;
    idle += free_ * 0.005;
  }
  void run(Time length) {
    for (const auto end = now + length; now < end;) step();
  }
  std::map<std::string, double> shares_over(Time length) {
    const auto before = used;
    run(length);
    std::map<std::string, double> shares_used;
    double sum = 0;
    for (const auto& [group, all] : used)
      sum += shares_used[group] = all - (before.contains(group) ? before.at(group) : 0);
    for (auto& [group, all] : shares_used) all /= sum;
    return shares_used;
  }

  Shares shares;
  Time now{1s};
  std::map<std::string, double> used;
  double idle = 0;                   // thread-seconds
  unsigned blocked_from = UINT_MAX;  // classes from this one on find no engine

 private:
  bool start_next() {
    for (std::size_t c = 0; c < classes_.size(); ++c) {
      if (c >= blocked_from) continue;
      for (const auto id : shares.next_requests(static_cast<ClassIndex>(c))) {
        if (classes_[c].threads > free_) break;
        shares.attempt_started(id);
        free_ -= classes_[c].threads;
        ends_.emplace(now + requests_[id].length, id);
        if (requests_[id].source != SIZE_MAX) --sources[requests_[id].source].waiting;
        return true;
      }
    }
    return false;
  }
  struct Requested {
    std::string group;
    ClassIndex cls = 0;
    Time length{};
    std::size_t source = 0;
  };
  std::vector<Shares::ClassFacts> classes_;
  RequestId ids_ = 0;
  std::map<RequestId, Requested> requests_;
  std::set<std::pair<Time, RequestId>> ends_;
  unsigned free_;
  double pool_;
};

TEST(Shares, MatchTheWeightsWithinThreePercentOverTwentySeconds) {
  GroupsSimulation simulation("{a: {weight: 5}, b: {weight: 3}, c: {weight: 2}}", 16);
  simulation.sources = {{"a", 0, 50ms, 20}, {"b", 0, 80ms, 20}, {"c", 0, 20ms, 20}};
  simulation.run(5s);
  auto share = simulation.shares_over(20s);
  EXPECT_NEAR(share["a"], 0.5, 0.015);
  EXPECT_NEAR(share["b"], 0.3, 0.015);
  EXPECT_NEAR(share["c"], 0.2, 0.015);
}

TEST(Shares, CountEngineTimeSoThatLongReportsDoNotExceedTheirShare) {
  GroupsSimulation simulation("{reports: {}, lookups: {}}", 16);
  simulation.sources = {{"reports", 1, 2s, 10}, {"lookups", 0, 30ms, 40}};
  simulation.run(15s);  // until the cost of a report is learned
  auto share = simulation.shares_over(20s);
  EXPECT_NEAR(share["lookups"], 0.5, 0.03);
  simulation.sources[1].count = 0;  // the unused share of lookups is lent
  simulation.run(1s);
  share = simulation.shares_over(10s);
  EXPECT_GT(share["reports"], 0.99);
}

TEST(Shares, ReturnLentThreadsWithoutCancellingRunningQueries) {
  GroupsSimulation simulation("{a: {}, b: {}}", 10);
  simulation.sources = {{"a", 0, 100ms, 30}};
  simulation.run(10s);
  simulation.sources.push_back({"b", 0, 100ms, 30});
  simulation.run(300ms);
  auto share = simulation.shares_over(2s);
  EXPECT_NEAR(share["b"], 0.5, 0.1);  // b first uses its bounded credit
  share = simulation.shares_over(10s);
  EXPECT_NEAR(share["b"], 0.5, 0.02);
}

TEST(Shares, DoNotGrowWithTheAmountOfTraffic) {
  GroupsSimulation simulation("{loud: {}, quiet: {}}", 8);
  simulation.sources = {{"loud", 0, 40ms, 2000}, {"quiet", 0, 40ms, 8}};
  simulation.run(2s);
  EXPECT_NEAR(simulation.shares_over(20s)["quiet"], 0.5, 0.02);
}

TEST(Shares, AreDividedByWeightOnEachLevel) {
  GroupsSimulation simulation("{x: {weight: 3, groups: {a: {weight: 1}, b: {weight: 2}}}, y: {weight: 1}}",
                              12);
  simulation.sources = {{"x.a", 0, 30ms, 20}, {"x.b", 0, 60ms, 20}, {"y", 0, 50ms, 20}};
  simulation.run(3s);
  auto share = simulation.shares_over(20s);
  EXPECT_NEAR(share["x.a"], 0.25, 0.015);
  EXPECT_NEAR(share["x.b"], 0.50, 0.015);
  EXPECT_NEAR(share["y"], 0.25, 0.015);
}

// Ten levels and 5,000 leaves: two leaves are busy, and some others get single requests.
TEST(Shares, MatchTheWeightsInATreeOfTenLevelsAndFiveThousandLeaves) {
  std::string yaml, above, end;
  for (int i = 1; i < 10; ++i) {
    yaml += "{l" + std::to_string(i) + ": {groups: ";
    above += "l" + std::to_string(i) + ".";
    end += "}}";
  }
  yaml += "{";
  for (int i = 0; i < 5000; ++i)
    yaml += "g" + std::to_string(i) + ": {weight: " + (i == 7 ? "3" : "1") + "}, ";
  GroupsSimulation simulation(yaml + "}" + end, 8);
  simulation.sources = {{above + "g7", 0, 50ms, 20}, {above + "g4999", 0, 50ms, 20}};
  simulation.run(2s);
  EXPECT_NEAR(simulation.shares_over(5s)[above + "g7"], 0.75, 0.03);
  for (int i = 0; i < 50; ++i)
    EXPECT_EQ(simulation.request(above + "g" + std::to_string(50 * i), 0, 20ms), Limit::none);
  simulation.run(2s);
  EXPECT_EQ(simulation.shares.find_inconsistency(), "");
  EXPECT_EQ(simulation.shares.view().size(), 5010u);
}

TEST(Shares, ServeStrictChildrenInConfiguredOrder) {
  GroupsSimulation simulation("{x: {policy: strict, groups: {first: {}, second: {}}}}", 4);
  simulation.sources = {{"x.second", 0, 50ms, 10}, {"x.first", 0, 50ms, 10}};
  simulation.run(1s);
  EXPECT_GT(simulation.shares_over(5s)["x.first"], 0.99);
}

TEST(Shares, ServeFirstComeChildrenInOrderOfArrival) {
  GroupsSimulation simulation("{x: {policy: first_come, groups: {a: {}, b: {}}}}", 1);
  for (int i = 0; i < 10; ++i) {
    simulation.request("x.a", 0, 10ms);
    simulation.request("x.a", 0, 10ms);
    simulation.request("x.b", 0, 10ms);
  }
  simulation.run(170ms);  // about half
  EXPECT_NEAR(simulation.used["x.a"] / (simulation.used["x.a"] + simulation.used["x.b"]), 2.0 / 3, 0.1);
}

TEST(Shares, ServeMinimaBeforeWeights) {
  GroupsSimulation simulation("{a: {weight: 100}, b: {weight: 1, min_threads: 4}}", 8);
  simulation.sources = {{"a", 0, 50ms, 30}, {"b", 0, 50ms, 30}};
  simulation.run(1s);
  EXPECT_NEAR(simulation.shares_over(10s)["b"], 0.5, 0.02);
}

TEST(Shares, NeverExceedCeilings) {
  GroupsSimulation simulation("{a: {max_threads: 3, groups: {x: {}, y: {max_threads: 2}}}, b: {}}", 16);
  simulation.sources = {{"a.x", 0, 35ms, 9}, {"a.y", 0, 35ms, 9}, {"b", 0, 35ms, 3}};
  for (int i = 0; i < 1000; ++i) {
    simulation.step();
    for (const auto& group : simulation.shares.view()) {
      if (group.path == "a") {
        EXPECT_LE(group.running, 3u);
      }
      if (group.path == "a.y") {
        EXPECT_LE(group.running, 2u);
      }
    }
  }
}

TEST(Shares, HoldBackQueriesWhoseEstimateExceedsTheMemoryCeiling) {
  Shares shares(tree("{a: {max_memory: 100MiB}, b: {}}"), {{1, false}}, {});
  shares.advance_time(1s, 8);
  for (RequestId id = 1; id <= 3; ++id) ASSERT_EQ(shares.admit(id, "a", false, {0, 60, {}}), Limit::none);
  shares.attempt_started(shares.next_requests(0).front());
  EXPECT_TRUE(shares.next_requests(0).empty()) << "a second query would exceed the memory ceiling";
  shares.attempt_ended(1, 0, true);
  shares.request_finished(1);
  EXPECT_EQ(shares.next_requests(0), std::vector<RequestId>{2});
}

// A group that is ahead when it becomes idle must have to wait for its sibling shortly afterwards, but not
// after a minute.
TEST(Shares, DecayDebtsWhileAGroupIsIdle) {
  for (const Time pause : {Time(1s), Time(60s)}) {
    GroupsSimulation elsewhere("{a: {}, b: {}}", 8), simulation("{a: {}, b: {}}", 8);
    elsewhere.sources = {{"a", 0, 50ms, 20}};
    elsewhere.run(1s);
    simulation.sources = {{"a", 0, 50ms, 20}, {"b", 0, 50ms, 20}};
    simulation.run(1s);
    for (const auto& m : elsewhere.shares.gossip_messages(4)) simulation.shares.receive_gossip(1, m);
    elsewhere.run(5s);
    for (const auto& m : elsewhere.shares.gossip_messages(4)) simulation.shares.receive_gossip(1, m);
    simulation.sources[0].count = simulation.sources[1].count = 0;
    simulation.run(pause);
    simulation.sources[0].count = simulation.sources[1].count = 20;
    const auto share = simulation.shares_over(400ms)["b"];  // less than the credit of 500 ms

    if (pause == Time(1s))
      EXPECT_GT(share, 0.9);
    else
      EXPECT_NEAR(share, 0.5, 0.2);
  }
}

TEST(Shares, RejectOnArrivalQueriesThatCouldNeverRun) {
  Shares shares(
      tree("{a: {max_threads: 2, query_work: 1s, query_memory: 64MiB, groups: {x: {max_queued: 2}}}}"),
      {{1, false}, {4, false}}, {});
  shares.advance_time(1s, 8);
  EXPECT_EQ(shares.admit(1, "a.x", false, {1, 0, {}}), Limit::query_threads);
  EXPECT_EQ(shares.admit(1, "a.x", false, {0, 0, Time(2s)}), Limit::query_work);
  EXPECT_EQ(shares.admit(1, "a.x", false, {0, 100, {}}), Limit::query_memory);
  EXPECT_EQ(shares.admit(1, "a", false, {0, 0, {}}), Limit::unknown_group);
  EXPECT_EQ(shares.admit(1, "b", false, {0, 0, {}}), Limit::unknown_group);
  EXPECT_EQ(shares.admit(1, "a.x", false, {0, 0, {}}), Limit::none);
  EXPECT_EQ(shares.admit(2, "a.x", false, {0, 0, {}}), Limit::none);
  EXPECT_EQ(shares.admit(3, "a.x", false, {0, 0, {}}), Limit::queued);
  EXPECT_EQ(shares.requests(), 2u);
  EXPECT_EQ(shares.find_inconsistency(), "");
}

TEST(Shares, ReportRequestsThatWaitOrRunTooLong) {
  Shares shares(tree("{a: {longest_wait: 100ms, query_time: 200ms}}"), {{1, false}}, {});
  shares.advance_time(1s, 8);
  (void)shares.admit(1, "a", false, {});
  (void)shares.admit(2, "a", false, {});
  shares.attempt_started(1);
  EXPECT_EQ(shares.next_deadline(), 1s + 100ms);
  shares.advance_time(1s + 100ms, 8);
  auto overdue = shares.take_overdue();
  ASSERT_EQ(overdue.size(), 1u);
  EXPECT_EQ(overdue[0].request, 2u);
  shares.request_finished(2);
  shares.advance_time(1s + 200ms, 8);
  overdue = shares.take_overdue();
  ASSERT_EQ(overdue.size(), 1u);
  EXPECT_EQ(overdue[0].limit, Limit::run);
  shares.request_finished(1);
  shares.attempt_ended(1, 0, true);
  EXPECT_EQ(shares.requests(), 0u);
}

// A group whose class finds no engine holds its siblings back for its patience, then for a decreasing part of
// the time.
TEST(Shares, LeaveFewThreadsIdleWhileAGroupFindsNoEngine) {
  GroupsSimulation simulation("{stuck: {weight: 10}, other: {}}", 8);
  simulation.blocked_from = 1;
  simulation.sources = {{"stuck", 1, 1s, 3}, {"other", 0, 50ms, 30}};
  simulation.run(20s);
  simulation.idle = 0;
  simulation.run(40s);
  EXPECT_LT(simulation.idle / (8 * 40), 0.05);
  EXPECT_EQ(simulation.used["stuck"], 0);
}

// Applies random arrivals, starts, ends, retries, disconnects and reloads to the Shares of one router.
class RandomEvents {
 public:
  explicit RandomEvents(std::uint32_t seed) : random_(seed) {}

  void step() {
    now_ += Time(random(20'000'000));
    shares_.advance_time(now_, kThreads);
    const auto event = random(100);
    if (event < 40) {
      arrive();
    } else if (event < 65) {
      start();
    } else if (event < 90 && !attempts_.empty()) {
      end_attempt();
    } else if (event < 93 && !queued_.empty()) {
      disconnect();
    } else if (event == 99) {
      reload();
    }
  }
  // Serves all queued requests within a bounded number of steps.
  void serve() {
    for (int i = 0; i < 20'000 && !queued_.empty(); ++i) {
      now_ += 10ms;
      shares_.advance_time(now_, kThreads);
      for (ClassIndex cls = 0; cls < 2; ++cls) serve_next(cls);
      end_all_attempts();
    }
  }
  [[nodiscard]] const Shares& shares() const { return shares_; }
  [[nodiscard]] std::size_t queued() const { return queued_.size(); }

 private:
  static constexpr double kThreads = 8;
  static const std::string& initial_tree() {
    static const std::string yaml =
        "{a: {weight: 3, max_threads: 6, groups: {x: {}, y: {weight: 2}}}, b: {policy: strict, groups: {x: "
        "{}, y: {}}},"
        " c: {policy: first_come, groups: {x: {}, y: {}}}, t: {}}";
    return yaml;
  }
  unsigned random(unsigned n) { return static_cast<unsigned>(random_() % n); }
  void arrive() {
    static const std::vector<std::string> paths{"a.x", "a.y",   "b.x",   "b.y",    "c.x",
                                                "c.y", "t.one", "t.two", "t.three"};
    const auto id = ++ids_;
    if (shares_.admit(id, paths[random(9)], true, {static_cast<ClassIndex>(random(2)), 0, {}}) == Limit::none)
      queued_.insert(id);
  }
  void start() {
    const auto offered = shares_.next_requests(static_cast<ClassIndex>(random(2)));
    if (offered.empty()) return;
    const auto id = offered.front();
    ASSERT_TRUE(queued_.contains(id)) << "a request was offered that is not queued";
    shares_.attempt_started(id);
    queued_.erase(id);
    ++attempts_[id];
  }
  // Ends the last attempt of a request. A quarter of the requests are queued again before their final answer.
  void end_attempt() {
    const auto found = std::next(attempts_.begin(), random(static_cast<unsigned>(attempts_.size())));
    const auto id = found->first;
    shares_.attempt_ended(id, found->second - 1, random(4) > 0);
    if (random(4) == 0) shares_.request_requeued(id);
    shares_.request_finished(id);
    attempts_.erase(found);
  }
  void disconnect() {
    const auto id = *queued_.begin();
    shares_.request_finished(id);
    queued_.erase(id);
  }
  void reload() {
    shares_.reload(tree(random(2) == 0 ? initial_tree()
                                       : "{a: {weight: 3, groups: {x: {}, moved: {was: b.x}}}, c: {groups: "
                                         "{x: {}, y: {weight: 4}}}, t: {}}"));
  }
  void serve_next(ClassIndex cls) {
    const auto offered = shares_.next_requests(cls);
    if (offered.empty()) return;
    const auto id = offered.front();
    shares_.attempt_started(id);
    shares_.request_finished(id);
    queued_.erase(id);
    shares_.attempt_ended(id, attempts_[id]++, true);
  }
  void end_all_attempts() {
    for (const auto& [id, started] : attempts_) {
      if (queued_.contains(id)) continue;
      for (std::size_t attempt = 0; attempt < started; ++attempt) shares_.attempt_ended(id, attempt, true);
      shares_.request_finished(id);
    }
  }

  std::mt19937 random_;
  Shares shares_{tree(initial_tree()), {{1, false}, {3, true}}, {}};
  Time now_ = 1s;
  RequestId ids_ = 0;
  std::map<RequestId, std::size_t> attempts_;  // started, by request
  std::set<RequestId> queued_;
};

// After each random event every stored sum must agree with the values that it adds up. At the end all queued
// requests must be served: no group stays ahead of its siblings by more than the slack, so every waiting
// request must be offered at some time while threads are free.
TEST(Shares, KeepSumsConsistentAndServeAllRequestsUnderRandomEvents) {
  for (std::uint32_t seed = 1; seed <= 40; ++seed) {
    RandomEvents events(seed);
    for (int i = 0; i < 3000; ++i) {
      events.step();
      ASSERT_FALSE(testing::Test::HasFatalFailure()) << "seed " << seed << ", step " << i;
      ASSERT_EQ(events.shares().find_inconsistency(), "") << "seed " << seed << ", step " << i;
    }
    events.serve();
    EXPECT_EQ(events.queued(), 0u) << "seed " << seed << ": expected no starving requests";
    EXPECT_EQ(events.shares().requests(), 0u);
  }
}

TEST(Shares, KeepRequestsOverAReloadAndMatchTheNewWeights) {
  GroupsSimulation simulation("{a: {weight: 1}, b: {weight: 1}}", 8);
  simulation.sources = {{"a", 0, 50ms, 20}, {"b", 0, 50ms, 20}};
  simulation.run(5s);
  const auto before = simulation.shares.requests();
  simulation.shares.reload(tree("{x: {weight: 1, groups: {moved: {was: a}}}, b: {weight: 3}}"));
  EXPECT_EQ(simulation.shares.requests(), before);
  EXPECT_EQ(simulation.shares.find_inconsistency(), "");
  simulation.sources[0].group = "x.moved";
  simulation.sources[0].waiting = 20;
  simulation.run(2s);
  auto share = simulation.shares_over(20s);
  EXPECT_NEAR(share["b"], 0.75, 0.02);
}

TEST(Shares, FinishRequestsOfARemovedGroup) {
  GroupsSimulation simulation("{a: {}, b: {}}", 1);
  for (int i = 0; i < 5; ++i) (void)simulation.request("a", 0, 50ms);
  simulation.step();
  simulation.shares.reload(tree("{b: {}}"));
  EXPECT_EQ(simulation.shares.requests(), 5u);
  // The group is created again, since the simulation allows creation on demand.
  EXPECT_EQ(simulation.request("a", 0, 50ms), Limit::none);
  simulation.run(1s);
  EXPECT_EQ(simulation.shares.requests(), 0u);
  EXPECT_NEAR(simulation.used["a"], 6 * 0.05, 0.04);
}

TEST(Shares, LimitGroupsCreatedOnDemandAndRemoveIdleOnes) {
  ShareSettings settings;
  settings.most_made = 3;
  settings.made_idle = 10s;
  Shares shares(tree("{t: {}}"), {{1, false}}, settings);
  shares.advance_time(1s, 4);
  for (RequestId id = 1; id <= 3; ++id)
    EXPECT_EQ(shares.admit(id, "t.g" + std::to_string(id), true, {}), Limit::none);
  EXPECT_EQ(shares.admit(4, "t.g4", true, {}), Limit::made);
  EXPECT_EQ(shares.admit(4, "t.g4", false, {}), Limit::unknown_group);
  shares.request_finished(1);
  EXPECT_EQ(shares.admit(4, "t.g4", true, {}), Limit::made);
  shares.advance_time(12s, 4);  // the idle group has been removed
  EXPECT_EQ(shares.view().size(), 4u);
  EXPECT_EQ(shares.admit(4, "t.g4", true, {}), Limit::none);
  EXPECT_EQ(shares.find_inconsistency(), "");
}

// Simulates eight routers with uneven traffic: one receives most of the traffic of group a. With gossip, a
// tenth of the messages is lost.
class UnevenRouters {
 public:
  explicit UnevenRouters(bool gossip_enabled) : gossip_enabled_(gossip_enabled) {
    for (unsigned i = 0; i < kRouters; ++i) {
      routers_.push_back(std::make_unique<GroupsSimulation>("{a: {weight: 6}, b: {weight: 4}}", 6));
      routers_[i]->now += Time(i + 1);
      // Router 0 gets 60 percent of the requests of a; the others get few of a, and those of b.
      routers_[i]->sources = {{"a", 0, 40ms, i == 0 ? 60u : 6u}, {"b", 0, 60ms, i == 0 ? 2u : 10u}};
    }
    routers_[0]->sources[1].count = 0;  // router 0 gets no requests of b
  }
  void run(Time length) {
    for (Time elapsed{}; elapsed < length; elapsed += 5ms) {
      for (auto& router : routers_) router->step();
      if (gossip_enabled_ && elapsed % Time(200ms) == Time::zero())
        for (unsigned i = 0; i < kRouters; ++i) gossip_from(i);
    }
  }
  double used(const std::string& group) {
    double sum = 0;
    for (auto& router : routers_) sum += router->used[group];
    return sum;
  }

 private:
  static constexpr unsigned kRouters = 8;
  void gossip_from(unsigned sender) {
    for (const auto& message : routers_[sender]->shares.gossip_messages(4))
      for (unsigned receiver = 0; receiver < kRouters; ++receiver)
        if (receiver != sender && random_() % 10 != 0)
          routers_[receiver]->shares.receive_gossip(sender, message);
  }

  bool gossip_enabled_;
  std::vector<std::unique_ptr<GroupsSimulation>> routers_;
  std::mt19937 random_{7};
};

TEST(Shares, MatchTheWeightsAcrossRoutersWithGossip) {
  for (const bool gossip_enabled : {true, false}) {
    UnevenRouters routers(gossip_enabled);
    routers.run(5s);
    const double a = routers.used("a"), b = routers.used("b");
    routers.run(20s);
    const double more_a = routers.used("a") - a;
    const double share = more_a / (more_a + routers.used("b") - b);
    if (gossip_enabled)
      EXPECT_NEAR(share, 0.6, 0.05 * 0.6);
    else
      EXPECT_GT(share, 0.62);  // router 0 serves only a, and no other router compensates for it
  }
}

TEST(Shares, ChargeUseElsewhereOnceIfMessagesAreLostOrRepeated) {
  GroupsSimulation sender("{a: {}, b: {}}", 4);
  sender.sources = {{"a", 0, 50ms, 10}};
  Shares receiver(tree("{a: {}, b: {}}"), {{1, false}, {4, false}}, {});
  receiver.advance_time(1s, 4);
  const auto used = [](const Shares& shares, bool elsewhere) {
    const auto all = shares.view();
    return elsewhere ? all[1].used_elsewhere_s : all[1].used_s;
  };
  double base = 0;
  for (int i = 0; i < 20; ++i) {
    sender.run(200ms);
    const auto messages = sender.shares.gossip_messages(4);
    ASSERT_EQ(messages.size(), 1u);
    if (i == 0) base = used(sender.shares, false);
    if (i % 3 == 1) continue;  // lost
    receiver.receive_gossip(3, messages[0]);
    if (i % 4 == 2) receiver.receive_gossip(3, messages[0]);
    EXPECT_NEAR(used(receiver, true), used(sender.shares, false) - base, 0.002);
  }
  EXPECT_GT(used(receiver, true), 10);
  Shares restarted(tree("{a: {}, b: {}}"), {{1, false}, {4, false}}, {});
  const double before = used(receiver, true);
  restarted.advance_time(77s, 4);
  (void)restarted.admit(1, "a", false, {});
  restarted.attempt_started(1);
  for (const auto& message : restarted.gossip_messages(1)) receiver.receive_gossip(3, message);
  EXPECT_EQ(used(receiver, true), before) << "the sum of a restarted router must not be taken for a decrease";
}

TEST(Shares, IgnoreMalformedMessages) {
  Shares shares(tree("{a: {}}"), {{1, false}}, {});
  shares.advance_time(1s, 4);
  for (const auto& bytes : {std::string(), std::string("g"), std::string(9, 'g'), std::string(20, 'g'),
                            std::string(21, 'x'), std::string(300, 'g')})
    shares.receive_gossip(1, bytes);
  shares.receive_gossip(2, std::string(1, 'g') + std::string(20, '\xff'));
  EXPECT_EQ(shares.find_inconsistency(), "");
}

TEST(Shares, BoundTheCreditAfterARouterWasStalled) {
  GroupsSimulation stalled("{a: {}, b: {}}", 8), other("{a: {}, b: {}}", 8);
  stalled.sources = {{"a", 0, 50ms, 20}, {"b", 0, 50ms, 20}};
  other.sources = {{"b", 0, 50ms, 40}};
  const auto send_gossip = [&] {
    for (const auto& m : other.shares.gossip_messages(4)) stalled.shares.receive_gossip(2, m);
  };
  stalled.run(2s);
  other.run(2s);
  send_gossip();
  other.run(20s);  // meanwhile the first router is stalled, and b runs on the other one
  stalled.now += 20s;
  send_gossip();
  stalled.step();  // attempts in flight end
  const double before = stalled.used["a"];
  stalled.run(1s);
  // The use of b on the other router counts only up to the bound: a must not be served alone for 20 seconds.
  EXPECT_LT(stalled.used["a"] - before, 8.5);
  stalled.run(40s);
  EXPECT_NEAR(stalled.shares_over(10s)["b"], 0.5, 0.02);
}

// ---- schedules -------------------------------------------------------------------------------------------
Time utc(int year, unsigned month, unsigned day, int hour, int minute) {
  std::tm tm{};
  tm.tm_year = year - 1900;
  tm.tm_mon = static_cast<int>(month) - 1;
  tm.tm_mday = static_cast<int>(day);
  tm.tm_hour = hour;
  tm.tm_min = minute;
  return std::chrono::seconds(timegm(&tm));
}

Schedules schedules(const std::string& yaml) {
  auto section = yaml::Section::text("schedules: " + yaml, "test");
  auto result = Schedules::read(section, tree("{reports: {weight: 2}, lookups: {weight: 5}}"));
  section.close();
  return result;
}

TEST(Schedules, AreActiveByLocalTimeAndDay) {
  const auto nights = schedules(
      "[{name: nights, days: [mon], from: \"22:00\", to: \"06:00\", zone: Europe/Riga, set: {reports: "
      "{weight: 8}}}]");
  EXPECT_TRUE(nights.overrides_at(utc(2026, 11, 30, 19, 59)).empty());  // a Monday, 21:59 there
  ASSERT_EQ(nights.overrides_at(utc(2026, 11, 30, 20, 0)).size(), 1u);
  EXPECT_EQ(nights.overrides_at(utc(2026, 11, 30, 20, 0))[0].weight, 8);
  EXPECT_EQ(nights.overrides_at(utc(2026, 12, 1, 3, 59)).size(), 1u);
  EXPECT_TRUE(nights.overrides_at(utc(2026, 12, 1, 4, 0)).empty());
  EXPECT_TRUE(nights.overrides_at(utc(2026, 12, 1, 20, 30)).empty());  // Tuesday
}

TEST(Schedules, UseLocalTimeAcrossClockChanges) {
  // In Riga clocks went from 04:00 to 03:00 on 2026-10-25 and from 03:00 to 04:00 on 2026-03-29.
  const auto s = schedules(
      R"([{name: early, from: "03:30", to: "05:00", zone: Europe/Riga, set: {reports: {weight: 8}}}])");
  EXPECT_TRUE(s.overrides_at(utc(2026, 10, 25, 0, 29)).empty());
  EXPECT_FALSE(s.overrides_at(utc(2026, 10, 25, 0, 30)).empty());  // the first 03:30, summer time
  EXPECT_FALSE(s.overrides_at(utc(2026, 10, 25, 2, 59)).empty());  // 04:59, winter time
  EXPECT_TRUE(s.overrides_at(utc(2026, 10, 25, 3, 0)).empty());
  EXPECT_TRUE(s.overrides_at(utc(2026, 3, 29, 0, 59)).empty());
  // 03:30 does not exist on that day; the window begins at the clock change.
  EXPECT_FALSE(s.overrides_at(utc(2026, 3, 29, 1, 0)).empty());
  EXPECT_TRUE(s.overrides_at(utc(2026, 3, 29, 2, 0)).empty());
}

TEST(Schedules, ChangeValuesGraduallyOverTheRamp) {
  const auto s = schedules(
      "[{name: day, from: \"10:00\", to: \"12:00\", ramp: 10min, set: {reports: {weight: 12, max_threads: "
      "4}}}]");
  EXPECT_DOUBLE_EQ(*s.overrides_at(utc(2026, 12, 1, 10, 5))[0].weight, 7);
  EXPECT_DOUBLE_EQ(*s.overrides_at(utc(2026, 12, 1, 10, 10))[0].weight, 12);
  EXPECT_DOUBLE_EQ(*s.overrides_at(utc(2026, 12, 1, 12, 5))[0].weight, 7);
  EXPECT_TRUE(s.overrides_at(utc(2026, 12, 1, 12, 10)).empty());
  EXPECT_EQ(s.active_names(utc(2026, 12, 1, 10, 5)), std::vector<std::string>{"day 50%"});
}

TEST(Schedules, LetLaterWindowsTakePrecedenceAndRunDatedOnesOnce) {
  const auto s = schedules(
      "[{name: always, from: \"00:00\", to: \"24:00\", set: {reports: {weight: 3}, lookups: {weight: 4}}},"
      "{name: fair, from: \"2026-12-24T18:00\", to: \"2026-12-27T00:00\", zone: Europe/Riga, set: {reports: "
      "{weight: 9}}}]");
  EXPECT_EQ(s.overrides_at(utc(2026, 12, 24, 15, 59))[1].weight, 3);
  EXPECT_EQ(s.overrides_at(utc(2026, 12, 24, 16, 0))[1].weight, 9);
  EXPECT_EQ(s.overrides_at(utc(2026, 12, 26, 22, 0))[1].weight, 3);
  EXPECT_EQ(s.overrides_at(utc(2027, 12, 24, 16, 0))[1].weight, 3);
}

TEST(Schedules, ReportErrorsWithTheirPosition) {
  for (const auto& [yaml, expected_place] : std::vector<std::pair<std::string, std::string>>{
           {R"([{name: x, from: "25:00", to: "06:00", set: {reports: {weight: 8}}}])", "from"},
           {R"([{name: x, from: "22:00", to: "06:00", zone: Europe/Rigga, set: {reports: {weight: 8}}}])",
            "zone"},
           {R"([{name: x, from: "22:00", to: "06:00", days: [monday], set: {reports: {weight: 8}}}])",
            "days"},
           {R"([{name: x, from: "22:00", to: "06:00", set: {report: {weight: 8}}}])", "report"},
           {R"([{name: x, from: "2026-12-24T18:00", to: "2026-02-30T18:00", set: {reports: {weight: 8}}}])",
            "to"}}) {
    try {
      (void)schedules(yaml);
      ADD_FAILURE() << yaml;
    } catch (const yaml::Error& error) {
      EXPECT_NE(std::string(error.what()).find("test:1:"), std::string::npos) << error.what();
      EXPECT_NE(std::string(error.what()).find(expected_place), std::string::npos) << error.what();
    }
  }
}

// A change of shares during a burst must lose no request and take effect within two seconds.
TEST(Schedules, ChangeSharesDuringABurst) {
  GroupsSimulation simulation("{a: {weight: 1}, b: {weight: 1}}", 12);
  simulation.sources = {{"a", 0, 60ms, 50}, {"b", 0, 60ms, 50}};
  simulation.run(5s);
  const auto before = simulation.shares.requests();
  simulation.shares.set_overrides({{"a", 3, std::nullopt, std::nullopt}});
  EXPECT_EQ(simulation.shares.requests(), before);
  simulation.run(500ms);
  EXPECT_NEAR(simulation.shares_over(2s)["a"], 0.75, 0.04);
  simulation.shares.set_overrides({});
  simulation.run(500ms);
  EXPECT_NEAR(simulation.shares_over(2s)["a"], 0.5, 0.04);
}

}  // namespace
}  // namespace heronwell::groups
