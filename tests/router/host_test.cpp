#include "driven_host.hpp"

namespace heronwell::router {
namespace {

using namespace std::chrono_literals;

class HostTest : public DrivenHost {
 protected:
  static Settings settings(Effect effect = Effect::safe) {
    Settings s;
    s.classes = {{.name = "lookup", .aim = 500ms, .give_up = 2s, .effect = effect}};
    s.kinds = {{.name = "small", .cores = 4}};
    s.max_attempts = 3;
    s.may_call_off = true;
    s.drain_grace = 500ms;
    return s;
  }
  void start(Effect effect = Effect::safe, unsigned engines = 2, RequestId first = 1) {
    host.emplace(settings(effect), 1, first);
    list(engines);
    run();
  }
  void arrive(Ticket ticket, Time left = 2s) {
    Ask ask;
    ask.ticket = ticket;
    ask.asked.time_left = left;
    host->arrive(now, ask);
  }
  // Commands are those of the last call.
  void run() {
    commands.clear();
    DrivenHost::run();
  }
  void wait(Time time) {
    commands.clear();
    DrivenHost::wait(time);
  }
};

TEST_F(HostTest, CarriesARequestFromArrivalToAnswer) {
  start();
  arrive(7);
  run();
  const auto starts = all<StartAttempt>();
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts[0].ticket, 7U);
  EXPECT_LT(starts[0].until, now + 2s);
  now += 10ms;
  end(7, 0, Result::served);
  run();
  ASSERT_EQ(all<Deliver>().size(), 1U);
  EXPECT_EQ(host->open(), 0U);
  EXPECT_EQ(host->remembered(), 0U);
}

TEST_F(HostTest, AsTheProcessEndsAllThatIsOpenIsAnsweredAndNothingThatMayHaveRunAsRefused) {
  for (const auto effect : {Effect::safe, Effect::unsafe}) {
    start(effect, 1);
    arrive(7);
    run();
    ASSERT_EQ(all<StartAttempt>().size(), 1U);
    arrive(8);
    host->closing();
    run();
    const auto answers = all<Answer>();
    ASSERT_EQ(answers.size(), 2U);
    for (const auto& answer : answers)
      EXPECT_EQ(answer.ending,
                answer.ticket == 7 && effect == Effect::unsafe ? Ending::failed : Ending::refused);
    EXPECT_EQ(all<StopAttempt>().size(), 1U);
    EXPECT_EQ(host->open(), 0U);
  }
}

TEST_F(HostTest, NumbersWrapWithoutMeetingOneThatIsInUse) {
  start(Effect::safe, 2, 0xfffffffe);
  arrive(1);  // 0xfffffffe
  arrive(2);  // 0xffffffff
  run();
  for (Ticket ticket = 10; ticket < 20; ++ticket) {
    arrive(ticket);
    run();
    end(ticket, 0, Result::served);
    run();
    EXPECT_EQ(all<Deliver>().size(), 1U) << ticket;
  }
  EXPECT_EQ(host->remembered(), 2U);
  Numbers numbers(0xffffffff);
  const std::set<RequestId> used{0xffffffff, 0, 1};
  EXPECT_EQ(numbers.take(used), 2U);
}

TEST_F(HostTest, AnAnswerInTheTickOfItsTimeOutCounts) {
  start();
  arrive(1, 1s);
  run();
  now = all<StartAttempt>()[0].until;
  end(1, 0, Result::served);
  run();
  EXPECT_EQ(all<Deliver>().size(), 1U);
  EXPECT_TRUE(all<Answer>().empty());
}

TEST_F(HostTest, AnAnswerAfterTheDeadlineIsNone) {
  start(Effect::unsafe);
  arrive(1, 1s);
  run();
  now += 3s;  // the process had no turn
  end(1, 0, Result::served);
  run();
  EXPECT_TRUE(all<Deliver>().empty());
  ASSERT_EQ(all<Answer>().size(), 1U);
  EXPECT_EQ(all<Answer>()[0].ending, Ending::failed);
  EXPECT_FALSE(all<Answer>()[0].proven_unrun);
}

TEST_F(HostTest, EachRequestIsAnsweredBeforeItsDeadline) {
  start();
  for (Ticket ticket = 1; ticket <= 50; ++ticket) arrive(ticket, 1s);
  std::map<Ticket, unsigned> answers;
  const auto until = now + 1s;
  while (now < until) {
    wait(5ms);
    for (const auto& answer : all<Answer>()) {
      ++answers[answer.ticket];
      EXPECT_NE(answer.ending, Ending::overdue);
      EXPECT_LT(now, until);
    }
  }
  EXPECT_EQ(answers.size(), 50U);
  EXPECT_TRUE(std::ranges::all_of(answers, [](const auto& one) { return one.second == 1; }));
}

TEST_F(HostTest, AClientThatLeavesHasItsAttemptStopped) {
  start();
  arrive(1);
  run();
  host->client_left(1);
  run();
  ASSERT_EQ(all<StopAttempt>().size(), 1U);
  EXPECT_TRUE(all<Answer>().empty());
  end(1, 0, Result::served);  // crossed the call-off
  run();
  EXPECT_TRUE(all<Deliver>().empty());
  EXPECT_EQ(host->remembered(), 0U);
}

TEST_F(HostTest, AClientThatLeavesInTheTickOfItsAnswerGetsNothing) {
  start();
  arrive(1);
  run();
  host->client_left(1);
  end(1, 0, Result::served);
  run();
  EXPECT_TRUE(all<Deliver>().empty());
  EXPECT_EQ(host->counters().left, 1U);
  EXPECT_EQ(host->remembered(), 0U);
}

TEST_F(HostTest, AnAnswerBeforeTheClientLeftInTheSameTickIsTheFinalOne) {
  start();
  arrive(1);
  run();
  end(1, 0, Result::served);
  host->client_left(1);
  run();
  EXPECT_EQ(all<Deliver>().size(), 1U);
  EXPECT_EQ(host->counters().left, 0U);
}

TEST_F(HostTest, AStreamHasNoTimeOutAndNoSecondAnswer) {
  start();
  arrive(1, 1s);
  run();
  host->answer_outgrown(now, 1, 0);
  run();
  ASSERT_EQ(all<BeginStream>().size(), 1U);
  wait(5s);  // the module gives the request up; the client reads on
  EXPECT_TRUE(all<Answer>().empty());
  EXPECT_TRUE(all<StopAttempt>().empty());
  end(1, 0, Result::served);
  run();
  EXPECT_EQ(all<Deliver>().size(), 1U);
  EXPECT_EQ(host->remembered(), 0U);
}

TEST_F(HostTest, AStreamWhoseEngineIsLostIsBroken) {
  start();
  arrive(1);
  run();
  host->answer_outgrown(now, 1, 0);
  run();
  end(1, 0, Result::reset);
  run();
  EXPECT_EQ(all<BreakStream>().size(), 1U);
  EXPECT_TRUE(all<StartAttempt>().empty()) << "nothing is sent for an answer that has begun";
  EXPECT_EQ(host->remembered(), 0U);
}

TEST_F(HostTest, AClientThatLeavesAStreamStopsIt) {
  start();
  arrive(1, 1s);
  run();
  host->answer_outgrown(now, 1, 0);
  wait(2s);
  host->client_left(1);
  run();
  EXPECT_EQ(all<StopAttempt>().size(), 1U);
}

TEST_F(HostTest, AnAnswerOutgrownAfterTheEndIsStopped) {
  start();
  arrive(1, 500ms);
  run();
  wait(1s);
  host->answer_outgrown(now, 1, 0);
  run();
  EXPECT_TRUE(all<BeginStream>().empty());
}

TEST_F(HostTest, AnUnsafeRequestThatMayHaveRunFailsAndIsNotSentAgain) {
  for (const auto result : {Result::reset, Result::error, Result::called_off}) {
    start(Effect::unsafe);
    arrive(1);
    run();
    end(1, 0, result);
    run();
    EXPECT_TRUE(all<StartAttempt>().empty());
    ASSERT_EQ(all<Answer>().size(), 1U);
    EXPECT_EQ(all<Answer>()[0].ending, Ending::failed);
    EXPECT_FALSE(all<Answer>()[0].proven_unrun);
  }
}

TEST_F(HostTest, AnUnsafeRequestThatWasNotTransmittedIsSentElsewhere) {
  start(Effect::unsafe);
  arrive(1);
  run();
  end(1, 0, Result::moot);
  run();
  ASSERT_EQ(all<StartAttempt>().size(), 1U);
  EXPECT_EQ(all<StartAttempt>()[0].attempt, 1);
}

TEST_F(HostTest, EventsOfUnknownOrEndedOnesAreIgnored) {
  start();
  end(99, 0, Result::served);
  host->client_left(99);
  host->answer_outgrown(now, 99, 3);
  host->note(99, 0, NoteKind::progress, 0.5);
  arrive(1);
  run();
  end(1, 5, Result::served);
  end(1, 0, Result::served);
  end(1, 0, Result::served);
  run();
  EXPECT_EQ(all<Deliver>().size(), 1U);
}

TEST(RequestStates, NothingFollowsAnAnswer) {
  using enum RequestState;
  for (const auto to : {held, out, streaming, answered}) EXPECT_FALSE(legal(answered, to));
  EXPECT_FALSE(legal(streaming, out));
  EXPECT_FALSE(legal(held, streaming));
  EXPECT_TRUE(legal(out, held));
}

}  // namespace
}  // namespace heronwell::router
