// Tests of the audit: records that break each rule, and short days with a faulty relay, must lead to
// violations; a correct day must not.
#include "rehearsal/audit.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <thread>

#include "rehearsal/day.hpp"
#include "rehearsal/load.hpp"

namespace heronwell::rehearsal {
namespace {

namespace fs = std::filesystem;

constexpr auto kDay = R"(day: {length: 10s}
gateways: {count: 1}
engines: {count: 2, cores: 4}
router:
  gateway: {}
  zones: [east, west]
  kinds: {small: {cores: 4}}
  classes:
    lookup: {aim: 500ms, give_up: 2s}
    load: {aim: 2s, give_up: 4s, effect: unsafe}
    near: {aim: 500ms, give_up: 2s, effect: keyed, repeat_group: zone, repeat_window: 1s, zones: [west]}
    turn: {aim: 500ms, give_up: 2s, in_order: true}
  rules: {drain_grace: 500ms, cold_from: 0.3, ramp_time: 10s, tip_multiple: 3, tip_window: 2s,
          retry_budget: {span: 5s, free: 1, ratio: 0.2}}
clients: {classes: {lookup: {rate: 1}}}
)";

class AuditTest : public testing::Test {
 protected:
  AuditTest() {
    folder = fs::temp_directory_path() / fmt::format("heronwell-audit-{}", ::getpid());
    fs::remove_all(folder);
    fs::create_directories(folder);
    std::ofstream(folder / "day.yaml") << kDay;
    append_record("day", 0, "begin", "");
    append_record("list", 0, "begin", "");
    append_record("clients", 0, "begin", "");
    for (const auto* engine : {"engine-0", "engine-1"}) {
      append_record(engine, 0, "begin", "");
      append_record(engine, 0, "listening", R"("port":1,"warm":true)");
    }
    list_reported(1, 1, 1);
  }
  AuditTest(const AuditTest&) = delete;
  AuditTest& operator=(const AuditTest&) = delete;
  ~AuditTest() override { fs::remove_all(folder); }

  void append_record(const std::string& file, double ms, const std::string& event,
                     const std::string& fields) {
    std::ofstream(folder / (file + ".jsonl"), std::ios::app)
        << fmt::format("{{\"t\":{},\"e\":\"{}\"{}{}}}\n", static_cast<std::int64_t>((ms + 1000) * 1e6), event,
                       fields.empty() ? "" : ",", fields);
  }
  void list_reported(double ms, int first, int second) {
    const auto engine = [](int state, const char* zone) {
      return fmt::format(R"({{"state":{},"zone":"{}","kind":"small","started_ms":0}})", state, zone);
    };
    append_record("list", ms, "told",
                  fmt::format(R"("gw":"gw-0","index":1,"engines":{{"engine-0":{},"engine-1":{}}})",
                              engine(first, "east"), engine(second, "west")));
  }
  void client_sent(double ms, const std::string& id, const std::string& cls, int key = 0) {
    append_record(
        "clients", ms, "sent",
        fmt::format(
            R"("id":"{}","gw":"gw-0","cls":"{}","tenant":0,"key":{},"group":0,"deadline_ms":2000,"work_ms":10,"first":"{}")",
            id, cls, key, id));
  }
  void client_answered(double ms, const std::string& id, int status = 200,
                       const std::string& outcome = "served") {
    append_record(
        "clients", ms, "answer",
        fmt::format(R"("id":"{}","status":{},"outcome":"{}","ms":1,"bytes":1)", id, status, outcome));
  }
  void engine_event(double ms, int engine, const std::string& event, const std::string& id,
                    const std::string& more = "") {
    append_record(fmt::format("engine-{}", engine), ms, event,
                  fmt::format(R"("id":"{}","gw":"gw-0","conn":1{})", id, more));
  }
  void engine_began(double ms, int engine, const std::string& id, double work_ms = 10, double warmth = 1) {
    engine_event(ms, engine, "began", id, fmt::format(R"(,"work_ms":{},"warmth":{})", work_ms, warmth));
  }
  void engine_ran(double from, double to, int engine, const std::string& id) {
    engine_event(from, engine, "read", id);
    engine_began(from, engine, id);
    engine_event(to, engine, "done", id);
    engine_event(to, engine, "sent", id);
  }
  void lookup(double ms, const std::string& id, const std::string& cls = "lookup", int key = 0) {
    client_sent(ms, id, cls, key);
    engine_ran(ms + 1, ms + 20, 1, id);
    client_answered(ms + 21, id);
  }
  // Sorts a record by time, as its writer would write it. A record with a line that is cut short stays
  // unchanged.
  void sort_by_time(const std::string& file) {
    std::ifstream in(folder / (file + ".jsonl"));
    std::vector<std::pair<std::int64_t, std::string>> lines;
    for (std::string line; std::getline(in, line);) {
      if (!line.ends_with('}')) return;
      lines.emplace_back(std::stoll(line.substr(line.find(':') + 1)), line);
    }
    std::ranges::stable_sort(lines, {}, &std::pair<std::int64_t, std::string>::first);
    std::ofstream out(folder / (file + ".jsonl"), std::ios::trunc);
    for (const auto& [time, line] : lines) out << line << "\n";
  }
  Audit run_audit(bool whole = true) {
    for (const auto* file : {"day", "list", "clients", "engine-0", "engine-1"}) sort_by_time(file);
    if (whole)
      for (const auto* file : {"day", "list", "clients", "engine-0", "engine-1"})
        append_record(file, 20000, "whole", "");
    return audit(folder);
  }
  void expect_violation(unsigned rule, const std::string& what) {
    const auto a = run_audit();
    EXPECT_TRUE(a.unreliable.empty()) << report(a);
    for (unsigned r = 1; r <= 7; ++r) EXPECT_EQ(a.broken[r - 1] > 0, r == rule) << report(a);
    ASSERT_FALSE(a.violations.empty());
    EXPECT_NE(a.violations[0].what.find(what), std::string::npos) << a.violations[0].what;
    EXPECT_FALSE(a.kept());
    EXPECT_NE(report(a).find("rules broken:"), std::string::npos);
  }
  fs::path folder;
};

TEST_F(AuditTest, AcceptsAnAnswerRightAfterTheLastOfSeveralRouterStops) {
  const auto stall = [&](double from, double to) {
    append_record("day", from, "gateway_stopped", R"("gw":"gw-0")");
    append_record("day", to, "gateway_continued", R"("gw":"gw-0")");
  };
  stall(50, 900);
  stall(1500, 4000);
  client_sent(100, "a", "lookup");
  client_answered(4200, "a", 504, "failed");
  lookup(5000, "b");
  const auto a = run_audit();
  EXPECT_TRUE(a.kept()) << report(a);
}

TEST_F(AuditTest, AcceptsThatAClientGivesUpWhileItsRouterIsStopped) {
  append_record("day", 50, "gateway_stopped", R"("gw":"gw-0")");
  append_record("day", 9000, "gateway_continued", R"("gw":"gw-0")");
  client_sent(100, "a", "lookup");
  append_record("clients", 7100, "gave_up", R"("id":"a")");
  lookup(9500, "b");
  const auto a = run_audit();
  EXPECT_TRUE(a.kept()) << report(a);
}

TEST_F(AuditTest, FindsAMissingAnswerIfTheClientGivesUpAfterItsRouterContinued) {
  append_record("day", 50, "gateway_stopped", R"("gw":"gw-0")");
  append_record("day", 4000, "gateway_continued", R"("gw":"gw-0")");
  client_sent(100, "a", "lookup");
  append_record("clients", 7100, "gave_up", R"("id":"a")");
  expect_violation(1, "no final answer at all");
}

TEST_F(AuditTest, DistinguishesTwoAttemptsOnOneEngineByTheirConnections) {
  client_sent(100, "a", "lookup");
  engine_event(110, 0, "read", "a");
  engine_began(110, 0, "a");
  append_record("engine-0", 300, "read", R"("id":"a","gw":"gw-0","conn":2)");
  append_record("engine-0", 302, "dropped", R"("id":"a","gw":"gw-0","conn":1)");
  append_record("engine-0", 400, "done", R"("id":"a","gw":"gw-0","conn":2)");
  append_record("engine-0", 400, "sent", R"("id":"a","gw":"gw-0","conn":2)");
  client_answered(401, "a");
  const auto a = run_audit();
  EXPECT_EQ(a.broken[1], 0U) << report(a);
}

TEST_F(AuditTest, FindsALateAnswerLongAfterTheLastRouterStop) {
  append_record("day", 50, "gateway_stopped", R"("gw":"gw-0")");
  append_record("day", 4000, "gateway_continued", R"("gw":"gw-0")");
  client_sent(100, "a", "lookup");
  client_answered(4700, "a", 504, "failed");
  expect_violation(1, "after its deadline");
}

// A GraphQL request consists of several statements, and its client may repeat it under its key.
TEST_F(AuditTest, Rule1FindsAStatementSentAfterTheFinalAnswer) {
  client_sent(100, "q0", "lookup");
  client_sent(100, "q0~1", "lookup");
  engine_ran(101, 120, 1, "q0");
  client_answered(130, "q0");
  client_answered(130, "q0~1", 502, "failed");
  engine_ran(400, 420, 1, "q0~1");
  expect_violation(1, "a statement was sent after the final answer");
}
TEST_F(AuditTest, Rule2FindsAStatementThatRunsAgainForARepeatUnderItsKey) {
  client_sent(100, "q0", "load");
  engine_event(101, 1, "read", "q0");
  engine_began(101, 1, "q0");
  engine_event(110, 1, "closed", "q0");
  client_answered(130, "q0", 502, "failed");
  append_record("clients", 131, "resent", R"("id":"q0")");
  engine_ran(132, 140, 1, "q0");
  append_record("clients", 141, "reanswered", R"("id":"q0","whole":true,"status":200)");
  expect_violation(2, "ran twice");
}
TEST_F(AuditTest, Rule1FindsARepeatUnderItsKeyWithoutAnAnswer) {
  client_sent(100, "q0", "load");
  engine_event(101, 1, "read", "q0");
  engine_began(101, 1, "q0");
  engine_event(110, 1, "closed", "q0");
  client_answered(130, "q0", 502, "failed");
  append_record("clients", 131, "resent", R"("id":"q0")");
  append_record("clients", 5000, "reanswered", R"("id":"q0","whole":false,"status":0)");
  expect_violation(1, "its repeat by key got no answer");
}
TEST_F(AuditTest, Rule2FindsARefusedStatementThatRan) {
  client_sent(100, "q0", "load");
  client_sent(100, "q0~1", "load");
  engine_event(101, 1, "read", "q0");
  engine_began(101, 1, "q0");
  engine_event(110, 1, "closed", "q0");
  engine_ran(102, 120, 0, "q0~1");
  client_answered(130, "q0", 502, "failed");
  client_answered(130, "q0~1", 502, "refused");
  expect_violation(2, "refused, though it may have run");
}

TEST_F(AuditTest, AcceptsADayThatKeepsAllRules) {
  for (int i = 0; i < 10; ++i) lookup(100 * i, "a" + std::to_string(i));
  lookup(2000, "n", "near");
  lookup(2100, "t1", "turn", 5);
  lookup(2200, "t2", "turn", 5);
  const auto a = run_audit();
  EXPECT_TRUE(a.kept()) << report(a);
  EXPECT_EQ(a.cases[0], 13U);
  EXPECT_EQ(a.cases[5], 1U);
  EXPECT_EQ(a.cases[4], 1U);
  EXPECT_EQ(a.classes[0].in_time, 10U);
}

TEST_F(AuditTest, Rule1FindsTwoAnswers) {
  lookup(0, "a");
  client_answered(30, "a");
  expect_violation(1, "more than one final answer");
}
TEST_F(AuditTest, Rule1FindsALateAnswer) {
  client_sent(0, "a", "lookup");
  engine_ran(1, 20, 1, "a");
  client_answered(2200, "a");
  expect_violation(1, "200 ms after its deadline");
}
TEST_F(AuditTest, Rule1FindsAMissingAnswer) {
  client_sent(0, "a", "lookup");
  append_record("clients", 7000, "gave_up", R"("id":"a")");
  expect_violation(1, "no final answer at all");
}
TEST_F(AuditTest, Rule1FindsAConnectionClosedWithoutAnAnswer) {
  client_sent(0, "a", "lookup");
  append_record("clients", 100, "broken", R"("id":"a","head":false,"bytes":0)");
  expect_violation(1, "without a final answer");
}
TEST_F(AuditTest, Rule1FindsBytesAfterTheAnswer) {
  lookup(0, "a");
  append_record("clients", 50, "extra", R"("id":"a")");
  expect_violation(1, "bytes after");
}
TEST_F(AuditTest, Rule1FindsAnAnswerThatNoEngineSent) {
  client_sent(0, "a", "lookup");
  engine_event(1, 0, "read", "a");
  engine_began(1, 0, "a");
  engine_event(5, 0, "swallowed", "a");
  client_answered(30, "a");
  expect_violation(1, "no engine sent an answer");
}
TEST_F(AuditTest, Rule2FindsAStatementThatRanTwice) {
  client_sent(0, "a", "load");
  engine_ran(1, 20, 0, "a");
  engine_ran(30, 50, 1, "a");
  client_answered(60, "a");
  expect_violation(2, "ran twice");
}
TEST_F(AuditTest, Rule2FindsARetryOfAStatementThatMayHaveRun) {
  client_sent(0, "a", "load");
  engine_event(1, 0, "read", "a");
  engine_event(2, 0, "closed", "a");
  engine_ran(30, 50, 1, "a");
  client_answered(60, "a");
  expect_violation(2, "may have run on engine-0");
}
TEST_F(AuditTest, Rule2FindsARefusalOfAStatementThatMayHaveRun) {
  client_sent(0, "a", "load");
  engine_event(1, 0, "read", "a");
  engine_began(1, 0, "a");
  engine_event(9, 0, "dropped", "a");
  client_answered(30, "a", 503, "refused");
  expect_violation(2, "refused, though");
}
TEST_F(AuditTest, Rule2FindsARetryAfterTheDeduplicationWindow) {
  client_sent(0, "a", "near");
  append_record(
      "list", 2, "told",
      R"("gw":"gw-0","index":2,"engines":{"engine-0":{"state":1,"zone":"west","kind":"small","started_ms":0},"engine-1":{"state":1,"zone":"west","kind":"small","started_ms":0}})");
  engine_event(3, 0, "read", "a");
  engine_event(4, 0, "dropped", "a");
  engine_ran(1500, 1520, 1, "a");
  client_answered(1530, "a");
  expect_violation(2, "after its deduplication window");
}
TEST_F(AuditTest, Rule2FindsTwoConcurrentAttempts) {
  client_sent(0, "a", "lookup");
  engine_event(1, 0, "read", "a");
  engine_began(1, 0, "a");
  engine_ran(30, 50, 1, "a");
  client_answered(60, "a");
  engine_event(500, 0, "cancel", "a");
  expect_violation(2, "two attempts out");
}
TEST_F(AuditTest, Rule3FindsAStatementSentAfterTheDrainGracePeriod) {
  list_reported(100, 1, 0);
  lookup(400, "a");  // within the grace period
  lookup(900, "b");
  expect_violation(3, "801 ms after it was told");
}
TEST_F(AuditTest, Rule4FindsTooMuchWorkForAColdEngine) {
  append_record("engine-0", 1, "begin", "");
  append_record("day", 1, "engine_killed", R"("engine":"engine-0")");
  append_record("engine-0", 2, "listening", R"("port":1,"warm":false)");
  for (int i = 0; i < 12; ++i) {
    const auto id = "a" + std::to_string(i);
    client_sent(10 + i, id, "lookup");
    engine_event(11 + i, 0, "read", id);
    engine_began(11 + i, 0, id, 1000, 0.3);  // 12 core-seconds; at most 7.2 are allowed in 2 s
    engine_event(30, 0, "sent", id);
    client_answered(31, id);
  }
  expect_violation(4, "more work than makes a cold engine crash");
}
TEST_F(AuditTest, Rule5FindsAStatementSentBeforeTheEarlierOneEnded) {
  client_sent(0, "a", "turn", 5);
  client_sent(100, "b", "turn", 5);
  engine_event(1, 0, "read", "a");
  engine_began(1, 0, "a");
  engine_ran(110, 130, 1, "b");
  client_answered(131, "b");
  engine_event(600, 0, "sent", "a");
  client_answered(601, "a");
  expect_violation(5, "sent while the earlier a was unfinished");
}
TEST_F(AuditTest, Rule6FindsAStatementOutsideItsZones) {
  client_sent(0, "a", "near");
  engine_ran(1, 20, 0, "a");
  client_answered(21, "a");
  expect_violation(6, "does not allow");
}
TEST_F(AuditTest, Rule7FindsMoreRetriesThanTheBudgetAllows) {
  for (int i = 0; i < 4; ++i) {
    const auto id = "a" + std::to_string(i);
    client_sent(10 * i, id, "lookup");
    engine_event(10 * i + 1, 0, "read", id);
    engine_event(10 * i + 2, 0, "error", id);
    engine_ran(10 * i + 3, 10 * i + 5, 1, id);
    client_answered(10 * i + 6, id);
  }
  expect_violation(7, "2 further attempts for 2 requests");
}
TEST_F(AuditTest, RejectsARecordThatIsCutShort) {
  lookup(0, "a");
  std::ofstream(folder / "clients.jsonl", std::ios::app) << "{\"t\":12,\"e\":\"ans";
  EXPECT_FALSE(run_audit().kept());
}
TEST_F(AuditTest, RejectsARecordWithoutAnEnd) {
  lookup(0, "a");
  EXPECT_FALSE(run_audit(false).kept());
}
TEST_F(AuditTest, RejectsARecordWhoseTimeGoesBackwards) {
  lookup(0, "a");
  list_reported(100, 1, 1);
  list_reported(200, 0, 1);
  for (const auto* file : {"day", "list", "clients", "engine-0", "engine-1"}) sort_by_time(file);
  list_reported(100, 1, 1);  // repeats an earlier line
  for (const auto* file : {"day", "list", "clients", "engine-0", "engine-1"})
    append_record(file, 20000, "whole", "");
  const auto a = audit(folder);
  EXPECT_FALSE(a.kept());
  ASSERT_EQ(a.unreliable.size(), 1U);
  EXPECT_EQ(a.unreliable[0], "list.jsonl:5: time goes backwards");
}
TEST_F(AuditTest, RejectsRecordsThatContradictEachOther) {
  engine_ran(1, 20, 0, "never-sent");
  const auto a = run_audit();
  EXPECT_FALSE(a.kept());
  ASSERT_EQ(a.unreliable.size(), 1U);
  EXPECT_EQ(a.unreliable[0], "never-sent: an engine read what no client sent");
}

// ---- real processes and sockets --------------------------------------------------------------------------
constexpr auto kShortDay = R"(day: {{length: 2s, tail: 200ms}}
gateways: {{count: 2}}
engines: {{count: 2, cores: 4, relay_repeat: {}, relay_claim: {}}}
router:
  gateway: {{}}
  kinds: {{small: {{cores: 4}}}}
  classes:
    lookup: {{aim: 500ms, give_up: 2s}}
    load: {{aim: 1s, give_up: 3s, effect: unsafe}}
  log: {{requests: none}}
clients: {{classes: {{lookup: {{rate: 60, work_ms: 3}}, load: {{rate: 60, work_ms: 3}}}}}}
)";

Audit audit_short_day(double repeat, double claim) {
  const auto folder = fs::temp_directory_path() / fmt::format("heronwell-day-{}", ::getpid());
  fs::create_directories(folder);
  std::ofstream(folder / "plan.yaml") << fmt::format(kShortDay, repeat, claim);
  const auto day = read_day(folder / "plan.yaml");
  run_day(day, folder / "out", HERONWELL_PROGRAM);
  const auto a = audit(folder / "out");
  fs::remove_all(folder);
  return a;
}

TEST(ShortDays, KeepTheRulesWithoutARelay) {
  const auto a = audit_short_day(0, 0);
  EXPECT_TRUE(a.kept()) << report(a);
  EXPECT_GT(a.cases[0], 150U);
}
TEST(ShortDays, AuditFindsARelayThatRepeatsStatements) {
  const auto a = audit_short_day(0.1, 0);
  EXPECT_GT(a.broken[1], 0U) << report(a);
}
TEST(ShortDays, AuditFindsARelayThatForgesAnswers) {
  const auto a = audit_short_day(0, 0.1);
  EXPECT_GT(a.broken[0], 0U) << report(a);
}

TEST(Clients, RecordARouterThatAnswersTwice) {
  const int listening = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  ASSERT_EQ(::bind(listening, reinterpret_cast<sockaddr*>(&address), size), 0);
  ::getsockname(listening, reinterpret_cast<sockaddr*>(&address), &size);
  ::listen(listening, 16);
  std::jthread double_answering_router([&] {
    for (int client; (client = ::accept(listening, nullptr, nullptr)) >= 0;) {
      char bytes[4096];
      while (::recv(client, bytes, sizeof bytes, 0) > 0) {
        constexpr std::string_view answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
        for (int times = 0; times < 2; ++times) ::send(client, answer.data(), answer.size(), MSG_NOSIGNAL);
      }
      ::close(client);
    }
  });
  const auto folder = fs::temp_directory_path() / fmt::format("heronwell-liar-{}", ::getpid());
  fs::create_directories(folder);
  std::ofstream(folder / "day.yaml")
      << "day: {length: 1s}\nrouter: {kinds: {s: {cores: 1}}, classes: {a: {aim: 1s, give_up: 1s}}}\n"
         "clients: {classes: {a: {rate: 20}}}\n";
  {
    Recorder recorder(folder / "clients.jsonl", "clients", "clients");
    play(read_day(folder / "day.yaml"), {ntohs(address.sin_port)}, steady_clock_now(), recorder);
  }
  ::shutdown(listening, SHUT_RDWR);
  std::ifstream file(folder / "clients.jsonl");
  const std::string text(std::istreambuf_iterator<char>(file), {});
  EXPECT_NE(text.find("\"e\":\"extra\""), std::string::npos);
  fs::remove_all(folder);
}

}  // namespace
}  // namespace heronwell::rehearsal
