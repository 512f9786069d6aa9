// A load, which must never run twice, and an engine that is lost round it; proof from the engines' records.
#include "rig.hpp"

namespace heronwell::e2e {
namespace {

using Answer = Client::Answer;

class Effects : public testing::Test {
 protected:
  Rig rig{{.engines = 2}};
  Answer load(const std::string& id, const std::string& cost) {
    auto client = rig.client();
    client.post(Rig::body("load", id, cost));
    return client.answer();
  }
  void both(const std::string& fault) {
    rig.fault(0, fault);
    rig.fault(1, fault);
  }
};

TEST_F(Effects, ALoadWhoseEngineIsKilledAfterItBeganFailsAndNeverRunsAgain) {
  auto client = rig.client();
  client.post(Rig::body("load", "a", "work_ms=1000"));
  ASSERT_TRUE(rig.comes("began", "a"));
  rig.kill(rig.where("a"));
  const auto answer = client.answer();
  EXPECT_EQ(answer.status, 502) << answer.body;
  EXPECT_NE(answer.body.find("\"retry_harmless\":false"), std::string::npos);
  std::this_thread::sleep_for(300ms);
  EXPECT_EQ(rig.seen("began", "a"), 1U);
  EXPECT_EQ(rig.seen("read", "a"), 1U);
}

TEST_F(Effects, ALoadWhoseEngineIsGoneBeforeItCouldBeginRunsElsewhere) {
  for (int i = 0; i < 4; ++i) {  // no connection is pooled for one of them yet
    rig.kill(0);
    EXPECT_EQ(load("b" + std::to_string(i), "work_ms=1").status, 200);
    EXPECT_EQ(rig.seen("began", "b" + std::to_string(i)), 1U);
  }
}

TEST_F(Effects, AStaleConnectionCostsALoadNothing) {
  EXPECT_EQ(load("warm0", "work_ms=1").status, 200);
  EXPECT_EQ(load("warm1", "work_ms=1").status, 200);
  rig.on_engines([&] {  // both restart at once: the router's pooled connections are closed
    for (unsigned i = 0; i < 2; ++i) rig.start_engine(i, true);
  });
  for (int i = 0; i < 6; ++i) EXPECT_EQ(load("c" + std::to_string(i), "work_ms=1").status, 200);
}

TEST_F(Effects, ALoadCutBetweenItsLastRowAndTheEndFails) {
  both("cut 1");
  EXPECT_EQ(load("d", "work_ms=5 rows=3").status, 502);
  EXPECT_EQ(rig.seen("began", "d"), 1U);
}

TEST_F(Effects, ALoadResetAfterItWasWrittenButNotBegunFails) {
  both("reset_before 1");
  EXPECT_EQ(load("e", "work_ms=5").status, 502);
  EXPECT_EQ(rig.seen("read", "e"), 1U) << "may have run, for all the router knows";
  EXPECT_EQ(rig.seen("began", "e"), 0U);
}

TEST_F(Effects, ALoadTurnedAwayByADocumentedCodeIsSentElsewhereOrRefused) {
  rig.fault(0, "turn_away 1");
  for (int i = 0; i < 4; ++i) {
    const auto id = "f" + std::to_string(i);
    EXPECT_EQ(load(id, "work_ms=5").status, 200);
    EXPECT_EQ(rig.seen("began", id), 1U);
  }
  rig.fault(1, "turn_away 1");
  EXPECT_EQ(load("g", "work_ms=5").status, 503);
  EXPECT_EQ(rig.seen("began", "g"), 0U);
}

TEST_F(Effects, ALoadThatFailsByTheEnginesOwnErrorIsNotRepeated) {
  both("fail 1");
  const auto answer = load("h", "work_ms=5");
  EXPECT_EQ(answer.status, 502);
  EXPECT_EQ(rig.seen("read", "h"), 1U);
}

TEST_F(Effects, AnErrorOfTheStatementItselfIsTheAnswer) {
  const auto answer = load("i", "work_ms=5 error=23505");
  EXPECT_EQ(answer.status, 422);
  EXPECT_NE(answer.body.find("\"sqlstate\":\"23505\""), std::string::npos);
  EXPECT_EQ(rig.seen("read", "i"), 1U);
}

TEST_F(Effects, ASwallowedAnswerIsNeverClaimed) {
  both("swallow 1");
  auto client = rig.client();
  client.post(Rig::body("load", "j", "work_ms=5"), "heronwell-timeout-ms: 1500\r\n");
  const auto answer = client.answer();
  EXPECT_EQ(answer.status, 504);
  EXPECT_EQ(rig.seen("began", "j"), 1U);
}

TEST_F(Effects, ASafeQueryWhoseEngineIsKilledIsAnsweredByAnother) {
  auto client = rig.client();
  client.post(Rig::body("lookup", "k", "work_ms=300"));
  ASSERT_TRUE(rig.comes("began", "k"));
  rig.kill(rig.where("k"));
  EXPECT_EQ(client.answer().status, 200);
  EXPECT_EQ(rig.seen("began", "k"), 2U);
}

}  // namespace
}  // namespace heronwell::e2e
