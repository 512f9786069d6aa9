// Virtual time, wires and processes, and whole days played on them with the routers that serve.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "emulator/emulated_router.hpp"
#include "emulator/play.hpp"
#include "emulator/swarm.hpp"
#include "rehearsal/audit.hpp"

namespace heronwell::emulator {
namespace {

using namespace std::chrono_literals;

// A debug build under sanitizers is tens of times slower.
#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t kSeeds = 1;
#else
constexpr std::uint64_t kSeeds = 3;
#endif

std::string text_of(const std::filesystem::path& file) {
  std::ifstream stream(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(stream), {}};
}

std::string folder_of(const std::string& name) {
  return (std::filesystem::path(testing::TempDir()) / ("heronwell-emulator-" + name)).string();
}

TEST(Loop, TakesEventsByTimeAndThenInTheOrderTheyWereAskedFor) {
  Loop loop(1s);
  std::string order;
  loop.at(3s, [&] { order += 'c'; });
  loop.at(2s, [&] {
    order += 'a';
    loop.after(0s, [&] { order += 'x'; });
  });
  loop.at(2s, [&] { order += 'b'; });
  loop.at(0s, [&] { order += '0'; });  // has passed: now
  while (loop.step()) {
  }
  EXPECT_EQ(order, "0abxc");
  EXPECT_EQ(loop.now(), 3s);
}

TEST(Processes, StoppedOnesGetEverythingOnceTheyGoOnAndDeadOnesNothing) {
  Loop loop(0s);
  Process process(loop);
  process.begin();
  std::string order;
  process.at(1s, [&] { order += 'a'; });
  process.at(2s, [&] { order += 'b'; });
  process.at(4s, [&] { order += 'd'; });
  loop.at(1500ms, [&] { process.stop(); });
  loop.at(2500ms, [&] { EXPECT_EQ(order, "a"); });
  loop.at(3s, [&] { process.go_on(); });
  loop.at(3s, [&] {
    EXPECT_EQ(order, "ab");
    process.die();
    process.begin();
  });
  while (loop.step()) {
  }
  EXPECT_EQ(order, "ab");  // d was the business of the life before
}

struct Heard final : path::StreamObserver {
  void on_connected() override { text += "up "; }
  void on_data(std::string_view bytes) override { text += std::string(bytes) + " "; }
  void on_writable() override { text += "room "; }
  void on_closed(bool broken) override { text += broken ? "reset " : "end "; }
  std::string text;
};

class Wires : public testing::Test {
 protected:
  Wires() {
    router.begin();
    engine.begin();
    network.listen(1, engine, [this](const EndPtr& end) {
      there = end;
      there->attach(at_engine);
      there->set_reading(true);
    });
  }
  Wires(const Wires&) = delete;
  Wires& operator=(const Wires&) = delete;
  ~Wires() override { loop.end(); }
  void run(Time until) {
    loop.at(until, [] {});
    while (loop.now() < until && loop.step()) {
    }
  }
  static std::optional<std::size_t> put(const EndPtr& end, std::string_view bytes) {
    return end->write({&bytes, 1});
  }
  EndPtr dial() {
    auto end = network.dial(router, 1);
    end->attach(at_router);
    end->set_reading(true);
    return end;
  }

  Loop loop{0s};
  Network network{loop, {.wires = {.delay = 10ms}, .window = 8}, 1};
  Process router{loop}, engine{loop};
  std::shared_ptr<Heard> at_router = std::make_shared<Heard>(), at_engine = std::make_shared<Heard>();
  EndPtr there;
};

TEST_F(Wires, CarryBytesInOrderEachWayAfterItsDelayAndTheEndAfterThem) {
  const auto here = dial();
  run(19ms);
  EXPECT_EQ(at_router->text, "");
  run(21ms);
  EXPECT_EQ(at_router->text, "up ");
  put(here, "abc");
  put(here, "de");
  here->shut_down_writing();
  run(30ms);
  EXPECT_EQ(at_engine->text, "");
  run(32ms);
  EXPECT_EQ(at_engine->text, "abcde end ");
  put(there, "late");  // its own way is still open
  run(60ms);
  EXPECT_EQ(at_router->text, "up late ");
}

TEST_F(Wires, TakeNoMoreThanTheWindowAndTellWhenThereIsRoom) {
  const auto here = dial();
  run(30ms);
  there->set_reading(false);
  EXPECT_EQ(put(here, "0123456789"), 8U);
  EXPECT_EQ(put(here, "89"), 0U);
  here->notify_when_writable();
  run(100ms);
  EXPECT_EQ(at_router->text, "up ");
  there->set_reading(true);
  run(200ms);
  EXPECT_EQ(at_engine->text, "01234567 ");
  EXPECT_EQ(at_router->text, "up room ");
}

TEST_F(Wires, AreResetWhereNobodyListensOrReads) {
  network.close(1);
  const auto nobody = dial();
  run(30ms);
  EXPECT_EQ(at_router->text, "reset ");
  at_router->text.clear();
  network.listen(1, engine, [this](const EndPtr& end) { there = end; });
  const auto here = dial();
  run(60ms);
  put(here, "abc");
  run(80ms);
  there->close(false);  // with bytes unread
  run(100ms);
  EXPECT_EQ(at_router->text, "up reset ");
  EXPECT_EQ(put(here, "more"), std::nullopt);
}

TEST_F(Wires, AreAcceptedForAStoppedProcessThatReadsOnceItGoesOn) {
  engine.stop();
  const auto here = dial();
  run(30ms);
  EXPECT_EQ(at_router->text, "up ");
  put(here, "abc");
  run(500ms);
  EXPECT_EQ(there, nullptr);
  engine.go_on();
  run(600ms);
  EXPECT_EQ(at_engine->text, "abc ");
}

TEST_F(Wires, AnswerWithAResetWhatReachesALifeThatIsOver) {
  const auto here = dial();
  run(30ms);
  engine.die();
  engine.begin();
  put(here, "abc");
  run(60ms);
  EXPECT_EQ(at_router->text, "up reset ");
  EXPECT_EQ(at_engine->text, "");
}

// What a bad network does to a connection between router and engine; others it spares.
TEST(LossyWires, AreCutAtSomeByteOrComeLater) {
  for (const bool lossy : {true, false})
    for (const bool cut : {true, false}) {
      Loop loop(0s);
      Network network(loop, {.wires = {.delay = 10ms, .lost = cut ? 0.0 : 1.0, .cut = cut ? 1.0 : 0.0}}, 3);
      Process router(loop), engine(loop);
      router.begin();
      engine.begin();
      const auto here = std::make_shared<Heard>(), there = std::make_shared<Heard>();
      EndPtr accepted;
      network.listen(1, engine, [&](const EndPtr& end) {
        accepted = end;
        end->attach(there);
        end->set_reading(true);
      });
      const auto run = [&](Time until) {
        loop.at(until, [] {});
        while (loop.now() < until && loop.step()) {
        }
      };
      const auto end = network.dial(router, 1, lossy);
      end->attach(here);
      end->set_reading(true);
      run(30ms);
      const std::string_view piece = "0123456789";
      EXPECT_EQ(end->write({&piece, 1}), 10U);  // the kernel took it
      run(100ms);
      if (!lossy) {
        EXPECT_EQ(there->text, "0123456789 ");
      } else if (cut) {
        EXPECT_TRUE(there->text.ends_with("reset ")) << there->text;
        EXPECT_LT(there->text.size(), std::string("0123456789 reset ").size());
        EXPECT_EQ(here->text, "up reset ");
      } else {
        EXPECT_EQ(there->text, "");
        run(300ms);
        EXPECT_EQ(there->text, "0123456789 ");
      }
      loop.end();
    }
}

TEST(Days, OfAnotherSeedAreOthers) {
  auto day = rehearsal::read_day(HERONWELL_DAYS "/ci-day.yaml");
  day.length = 2s;
  day.faults.clear();
  const auto one = play(day, false, "");
  EXPECT_GT(one.report.served, 100U);
  day.seed = 4;
  EXPECT_NE(play(day, false, "").events, one.events);
}

// Each of the seven rules is at work on this day, under killed, stopped, draining and lying engines, killed
// and stopped routers, and clients that hang up; the audit proves them from what the emulated sockets saw.
TEST(Days, OfAllTroublesKeepTheRulesAndAreTheSameEachTime) {
  auto day = rehearsal::read_day(HERONWELL_DAYS "/ci-day.yaml");
  const auto one = folder_of("one"), two = folder_of("two");
  const auto played = play(day, false, one);
  (void)play(day, false, two);
  for (const auto& file : std::filesystem::directory_iterator(one))
    EXPECT_EQ(text_of(file.path()), text_of(std::filesystem::path(two) / file.path().filename()))
        << file.path().filename();
  const auto audit = rehearsal::audit(one);
  EXPECT_TRUE(audit.kept()) << rehearsal::report(audit);
  for (std::size_t rule = 0; rule < audit.cases.size(); ++rule) EXPECT_GT(audit.cases[rule], 20U) << rule + 1;
  EXPECT_GT(played.report.served, 1500U);
  EXPECT_GT(played.virtual_time, 15s);
}

// A network that is slow, uneven, loses datagrams and pieces of streams between routers and engines, refuses
// dials and cuts connections at any byte; steady clocks that drift and Unix time that jumps.
TEST(Days, OfABadNetworkKeepTheRules) {
  const auto file = folder_of("network") + ".yaml", folder = folder_of("network");
  std::ofstream(file) << text_of(HERONWELL_DAYS "/ci-day.yaml") << R"(
  - {kind: clock_drift, at: 1s, for: 12s, targets: [0, 1, 2], size: 500}
  - {kind: clock_step, at: 4s, for: 5s, targets: [1], size: 60000}
network: {delay: 1ms, jitter: 4ms, refused: 0.02, lost: 0.05, cut: 0.01}
)";
  auto day = rehearsal::read_day(file);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    day.seed = seed;
    const auto played = play(day, false, folder);
    EXPECT_TRUE(played.left.empty()) << played.left.front();
    const auto audit = rehearsal::audit(folder);
    // A dial that the network refused is no break of a rule, though no process was down.
    for (std::size_t rule = 0; rule < audit.broken.size(); ++rule)
      EXPECT_EQ(audit.broken[rule], 0U) << rehearsal::report(audit);
    EXPECT_NE(text_of(folder + "/day.jsonl").find("clock_stepped"), std::string::npos);
    EXPECT_GT(played.report.failed, 10U);  // cut connections leave loads unknown
  }
}

TEST(Clocks, RunAtTheirOwnPaceAndShowAMomentWhenItIsDue) {
  Loop loop(1000s);
  Clocks clocks(loop, 5s);
  EXPECT_EQ(clocks.now(), 1005s);
  const auto pass = [&](Time by) {
    loop.after(by, [] {});
    loop.step();
  };
  pass(10s);
  clocks.run(1.0005);
  EXPECT_EQ(clocks.now(), 1015s);
  const auto moment = clocks.moment(1025s);
  EXPECT_LT(moment, 1020s);
  pass(moment - loop.now());
  EXPECT_GE(clocks.now(), 1025s);
  EXPECT_LT(clocks.now(), 1025s + 1us);
  clocks.run(1);
  pass(10s);
  EXPECT_GE(clocks.now(), 1035s);
}

// What engines saw, in the order of time: when, where, what, which statement.
std::vector<std::string> seen_by_engines(const std::string& folder) {
  std::vector<std::string> all;
  for (const auto& file : std::filesystem::directory_iterator(folder)) {
    const auto name = file.path().filename().string();
    std::ifstream lines(file.path());
    for (std::string line; name.starts_with("engine-") && std::getline(lines, line);)
      if (const auto id = line.find("\"id\":\"q"); id != std::string::npos)
        all.push_back(line.substr(0, line.find('"', id + 6)) + " " + name);  // no number of a connection
  }
  std::ranges::sort(all);
  return all;
}

TEST(Fidelities, MakeTheSameDecisionsToTheNanosecondWhereTheNetworkTakesNoTime) {
  auto day = rehearsal::read_day(HERONWELL_DAYS "/same-day.yaml");
  const auto full = folder_of("full"), fast = folder_of("fast");
  for (std::uint64_t seed = 5; seed < 5 + kSeeds; ++seed) {
    day.seed = seed;
    day.wires.delay = 0s;
    const auto one = play(day, false, full), two = play(day, true, fast);
    const auto a = seen_by_engines(full), b = seen_by_engines(fast);
    EXPECT_GT(a.size(), 8000U);
    EXPECT_EQ(a, b);
    EXPECT_GT(one.report.refused, 50U);
    EXPECT_EQ(rehearsal::text_of(one.report), rehearsal::text_of(two.report));
    EXPECT_LT(two.events, one.events * 2 / 3);
  }
}

TEST(Fidelities, KeepTheRulesWithoutBytesToo) {
  auto day = rehearsal::read_day(HERONWELL_DAYS "/ci-day.yaml");
  EXPECT_THROW((void)play(day, true, ""), yaml::Error);  // it asks by GraphQL
  for (auto& load : day.loads) load.fields = 0;
  const auto folder = folder_of("messages");
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    day.seed = seed;
    const auto played = play(day, true, folder);
    EXPECT_TRUE(played.left.empty()) << played.left.front();
    const auto audit = rehearsal::audit(folder);
    EXPECT_TRUE(audit.kept()) << rehearsal::report(audit);
    for (std::size_t rule = 0; rule < audit.cases.size(); ++rule)
      EXPECT_GT(audit.cases[rule], 20U) << rule + 1;
  }
}

TEST(Swarms, DrawTheSameDaysOnAnyNumberOfThreadsAndFindNothingToday) {
  SwarmPlan plan{.base = HERONWELL_DAYS "/ci-day.yaml", .folder = folder_of("swarm"), .seed = 11};
  plan.days = kSeeds * 2;
  const auto one = swarm(plan);
  EXPECT_EQ(one.days, plan.days);
  EXPECT_GT(one.cases, plan.days * 1000);
  for (const auto& found : one.findings) ADD_FAILURE() << found.seed << ": " << found.what;
  EXPECT_TRUE(std::filesystem::is_empty(plan.folder));
  plan.threads = 3;
  const auto three = swarm(plan);
  EXPECT_EQ(one.events, three.events);
  EXPECT_EQ(one.cases, three.cases);
  EXPECT_EQ(one.troubles, three.troubles);
}

// Eight gateways and four engines, past what these can do. Of tenant a's requests 60 percent come to one
// gateway, of b's none. Returns a's part of the engines' time; it is to have 0.6.
double share_of_a(bool tell, std::uint64_t seed) {
  const auto file = folder_of("shares") + ".yaml", folder = folder_of("shares");
  std::ofstream(file) << "day: {seed: " << seed << ", length: 20s, tail: 3s}\n"
                      << R"(
gateways: {count: 8}
engines: {count: 4, cores: 4, disks: 4, memory: 4GiB}
router:
  gateway: {}
  kinds: {small: {cores: 4, memory: 4GiB}}
  classes: {lookup: {aim: 600ms, give_up: 2s, worth: 1}}
  tenants: {a: {share: 0.6}, b: {share: 0.4}}
  loads: {fields: [inflight, util], in_answers: true, tells_cost: true}
  engines: {never_began: ["53300"], connections: 64}
  list: {wait: 20s, timeout: 1s}
  log: {requests: none}
)"
                      << "  allow: {tell: " << (tell ? "true" : "false") << R"(, max_retry_after: 1s}
groups:
  usual:
    groups: {a: {weight: 6}, b: {weight: 4}}
    selectors: [{tenant: a, group: a}, {tenant: b, group: b}]
clients:
  groups: 20
  tenants: {a: 0.5, b: 0.5}
  classes: {lookup: {rate: 1000, work_ms: 80}}
troubles:
  - {kind: busy_gateway, at: 0s, for: 20s, tenant: a, targets: [0], size: 0.6}
  - {kind: busy_gateway, at: 0s, for: 20s, tenant: b, targets: [1, 2, 3, 4, 5, 6, 7], size: 1}
)";
  (void)play(rehearsal::read_day(file), true, folder);
  const auto audit = rehearsal::audit(folder);
  EXPECT_TRUE(audit.kept()) << rehearsal::report(audit);
  return audit.tenants[0].engine_s / (audit.tenants[0].engine_s + audit.tenants[1].engine_s);
}

TEST(GroupShares, HoldWithinFivePercentOverEightGatewaysThatTellAndNotWithoutWord) {
  const double told = share_of_a(true, 3);
  EXPECT_NEAR(told, 0.6, 0.05 * 0.6);
  if (kSeeds == 1) return;                       // half the time is enough there
  EXPECT_GT(share_of_a(false, 3), told + 0.02);  // what the word is worth
}

TEST(Days, OfStallsLongerThanEveryTimeOutKeepTheRules) {
  auto day = rehearsal::read_day(HERONWELL_DAYS "/ci-day.yaml");
  const auto longest = std::ranges::max(day.settings.classes, {}, &ClassSettings::timeout).timeout;
  day.length = 2 * longest + 8s;
  const Time stall = longest + rehearsal::kGiveUpDelay + 2s;  // clients have given up, too
  ASSERT_LT(stall + 3s, day.length);
  for (auto& load : day.loads) load.rate /= 4;
  const auto trouble = [&](rehearsal::FaultKind kind) {
    rehearsal::Fault one;
    one.kind = kind;
    one.at = 2s;
    one.length = stall;
    one.targets = {0};
    return one;
  };
  using enum rehearsal::FaultKind;
  for (const auto& troubles : std::vector<std::vector<rehearsal::Fault>>{
           {trouble(gateway_stop)}, {trouble(engine_hang)}, {trouble(gateway_stop), trouble(engine_hang)}}) {
    day.faults = troubles;
    const auto folder = folder_of("stall");
    const auto played = play(day, false, folder);
    EXPECT_TRUE(played.left.empty()) << played.left.front();
    const auto audit = rehearsal::audit(folder);
    EXPECT_TRUE(audit.kept()) << rehearsal::report(audit);
    EXPECT_GT(played.report.served, 300U);
  }
}

TEST(Days, WithImpossibleValuesAreRefusedAtTheirPlace) {
  const auto text = text_of(HERONWELL_DAYS "/same-day.yaml");
  const auto error_of = [&](const std::string& from, const std::string& to) -> std::string {
    auto wrong = text;
    const auto at = wrong.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    wrong.replace(at, from.size(), to);
    try {
      (void)rehearsal::read_day_text(wrong, "day.yaml");
    } catch (const yaml::Error& error) {
      return error.what();
    }
    return "none";
  };
  EXPECT_EQ(error_of("count: 3", "count: 3"), "none");
  using Case = std::array<std::string, 3>;
  for (const auto& [from, to, place] :
       {Case{"engines: {count: 5", "engines: {count: 0", "engines.count"},
        Case{"gateways: {count: 3}", "gateways: {count: -3}", "gateways.count"},
        Case{"engines: {count: 5, cores: 4", "engines: {count: 5, cores: nan", "engines.cores"},
        Case{"targets: [1]", "targets: [5]", "targets"}, Case{"targets: [1]", "targets: [150%%]", "targets"},
        Case{"for: 2s, size: 1.5", "for: 20s, size: 1.5", "for"},
        Case{"rate: 160", "rate: lots", "clients.classes.lookup.rate"},
        Case{"clients:", "network: {lost: 1.5}\nclients:", "network.lost"},
        Case{"clients:", "network: {delay: 1}\nclients:", "network.delay"},
        Case{"kind: burst", "kind: earthquake", "kind"}, Case{"length: 12s", "length: 12h", "day.length"}}) {
    const auto error = error_of(from, to);
    EXPECT_NE(error.find("day.yaml:"), std::string::npos) << to << ": " << error;
    EXPECT_NE(error.find(place), std::string::npos) << to << ": " << error;
  }
}

TEST(Days, ThatCannotBeEmulatedAreRefused) {
  auto day = rehearsal::read_day(HERONWELL_DAYS "/ci-day.yaml");
  day.relay.repeat = 0.1;
  EXPECT_THROW((void)play(day, false, ""), yaml::Error);
}

}  // namespace
}  // namespace heronwell::emulator
