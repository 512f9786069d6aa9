#include "request_registry_fixture.hpp"

namespace heronwell::router {
namespace {

using namespace std::chrono_literals;

class RequestRegistryTest : public RequestRegistryFixture {
 protected:
  void start(Idempotency idempotency = Idempotency::idempotent, unsigned engines = 2,
             RequestId first_id = 1) {
    registry.emplace(one_class(idempotency), 1, first_id);
    set_engine_count(engines);
    run_until_idle();
  }
  // Commands are those of the last call.
  void run_until_idle() {
    commands.clear();
    RequestRegistryFixture::run_until_idle();
  }
  void advance_time(Time duration) {
    commands.clear();
    RequestRegistryFixture::advance_time(duration);
  }
};

TEST_F(RequestRegistryTest, CarriesARequestFromArrivalToResponse) {
  start();
  add_request(7);
  run_until_idle();
  const auto dispatches = commands_of<DispatchAttempt>();
  ASSERT_EQ(dispatches.size(), 1U);
  EXPECT_EQ(dispatches[0].ticket, 7U);
  EXPECT_LT(dispatches[0].deadline, now + 2s);
  now += 10ms;
  finish_attempt(7, 0, AttemptResult::served);
  run_until_idle();
  ASSERT_EQ(commands_of<DeliverResponse>().size(), 1U);
  EXPECT_EQ(registry->open_count(), 0U);
  EXPECT_EQ(registry->remembered_count(), 0U);
}

// The process is told to end with one request at its only engine and another one queued. Clients must hear
// before it is gone. "Rejected" invites a retry, so a request that is not idempotent and is at the engine
// must be answered as failed.
TEST_F(RequestRegistryTest, ShutdownAnswersEveryOpenRequestAndRejectsNoneThatMayHaveRun) {
  for (const auto idempotency : {Idempotency::idempotent, Idempotency::not_idempotent}) {
    start(idempotency, 1);
    add_request(7);
    run_until_idle();
    ASSERT_EQ(commands_of<DispatchAttempt>().size(), 1U);
    add_request(8);
    registry->begin_shutdown();
    run_until_idle();
    const auto answers = commands_of<FinishRequest>();
    ASSERT_EQ(answers.size(), 2U);
    for (const auto& answer : answers)
      EXPECT_EQ(answer.status, answer.ticket == 7 && idempotency == Idempotency::not_idempotent
                                   ? FinalStatus::failed
                                   : FinalStatus::rejected);
    EXPECT_EQ(commands_of<StopAttempt>().size(), 1U);
    EXPECT_EQ(registry->open_count(), 0U);
  }
}

// Two requests stay open while ids wrap past the end of 32 bits. A new request with the id of an open one
// would end it with its own events, so the ids in use are passed over.
TEST_F(RequestRegistryTest, IdsWrapWithoutReusingOneThatIsInUse) {
  start(Idempotency::idempotent, 2, 0xfffffffe);
  add_request(1);  // 0xfffffffe
  add_request(2);  // 0xffffffff
  run_until_idle();
  for (Ticket ticket = 10; ticket < 20; ++ticket) {
    add_request(ticket);
    run_until_idle();
    finish_attempt(ticket, 0, AttemptResult::served);
    run_until_idle();
    EXPECT_EQ(commands_of<DeliverResponse>().size(), 1U) << ticket;
  }
  EXPECT_EQ(registry->remembered_count(), 2U);
  RequestIdAllocator ids(0xffffffff);
  const std::set<RequestId> used{0xffffffff, 0, 1};
  EXPECT_EQ(ids.allocate(used), 2U);
}

// The response is handed in at the very time at which the attempt times out, before the step that would end
// it. It is there, so the client gets it.
TEST_F(RequestRegistryTest, AResponseInTheStepOfItsTimeOutIsDelivered) {
  start();
  add_request(1, 1s);
  run_until_idle();
  now = commands_of<DispatchAttempt>()[0].deadline;
  finish_attempt(1, 0, AttemptResult::served);
  run_until_idle();
  EXPECT_EQ(commands_of<DeliverResponse>().size(), 1U);
  EXPECT_TRUE(commands_of<FinishRequest>().empty());
}

// The process is suspended for three seconds with a request out whose deadline is in one. Back again it finds
// the response first. The client has given up: it is answered as failed, since the engine did run the query.
TEST_F(RequestRegistryTest, AResponseAfterTheDeadlineIsNotDelivered) {
  start(Idempotency::not_idempotent);
  add_request(1, 1s);
  run_until_idle();
  now += 3s;  // the process was suspended
  finish_attempt(1, 0, AttemptResult::served);
  run_until_idle();
  EXPECT_TRUE(commands_of<DeliverResponse>().empty());
  ASSERT_EQ(commands_of<FinishRequest>().size(), 1U);
  EXPECT_EQ(commands_of<FinishRequest>()[0].status, FinalStatus::failed);
  EXPECT_FALSE(commands_of<FinishRequest>()[0].provably_never_ran);
}

TEST_F(RequestRegistryTest, EveryRequestIsAnsweredBeforeItsDeadline) {
  start();
  for (Ticket ticket = 1; ticket <= 50; ++ticket) add_request(ticket, 1s);
  std::map<Ticket, unsigned> answers;
  const auto until = now + 1s;
  while (now < until) {
    advance_time(5ms);
    for (const auto& answer : commands_of<FinishRequest>()) {
      ++answers[answer.ticket];
      EXPECT_NE(answer.status, FinalStatus::deadline_exceeded);
      EXPECT_LT(now, until);
    }
  }
  EXPECT_EQ(answers.size(), 50U);
  EXPECT_TRUE(std::ranges::all_of(answers, [](const auto& one) { return one.second == 1; }));
}

// The client disconnects while its query runs; the query is cancelled, but its response was on the way
// already. Nobody is there to get it, and nothing of the request may be left behind.
TEST_F(RequestRegistryTest, ADisconnectCancelsTheAttempt) {
  start();
  add_request(1);
  run_until_idle();
  registry->client_disconnected(1);
  run_until_idle();
  ASSERT_EQ(commands_of<StopAttempt>().size(), 1U);
  EXPECT_TRUE(commands_of<FinishRequest>().empty());
  finish_attempt(1, 0, AttemptResult::served);  // crossed the cancel request
  run_until_idle();
  EXPECT_TRUE(commands_of<DeliverResponse>().empty());
  EXPECT_EQ(registry->remembered_count(), 0U);
}

TEST_F(RequestRegistryTest, ADisconnectBeforeTheResponseInTheSameStepDeliversNothing) {
  start();
  add_request(1);
  run_until_idle();
  registry->client_disconnected(1);
  finish_attempt(1, 0, AttemptResult::served);
  run_until_idle();
  EXPECT_TRUE(commands_of<DeliverResponse>().empty());
  EXPECT_EQ(registry->counters().disconnected, 1U);
  EXPECT_EQ(registry->remembered_count(), 0U);
}

TEST_F(RequestRegistryTest, AResponseBeforeTheDisconnectInTheSameStepIsDelivered) {
  start();
  add_request(1);
  run_until_idle();
  finish_attempt(1, 0, AttemptResult::served);
  registry->client_disconnected(1);
  run_until_idle();
  EXPECT_EQ(commands_of<DeliverResponse>().size(), 1U);
  EXPECT_EQ(registry->counters().disconnected, 0U);
}

// A long response is being sent while the request's deadline passes, and the decision engine fails the
// request. The client reads on: it must get the rest, and no error in the middle of it.
TEST_F(RequestRegistryTest, AStreamHasNoTimeOutAndNoSecondFinalAnswer) {
  start();
  add_request(1, 1s);
  run_until_idle();
  registry->response_overflowed(now, 1, 0);
  run_until_idle();
  ASSERT_EQ(commands_of<BeginStream>().size(), 1U);
  advance_time(5s);  // the decision engine fails the request; the client reads on
  EXPECT_TRUE(commands_of<FinishRequest>().empty());
  EXPECT_TRUE(commands_of<StopAttempt>().empty());
  finish_attempt(1, 0, AttemptResult::served);
  run_until_idle();
  EXPECT_EQ(commands_of<DeliverResponse>().size(), 1U);
  EXPECT_EQ(registry->remembered_count(), 0U);
}

// The engine dies in the middle of a response that the client has read the beginning of. A retry would append
// another response to it, and an orderly end would make it look complete: it has to be aborted, without a
// retry.
TEST_F(RequestRegistryTest, AStreamWhoseEngineIsLostIsAborted) {
  start();
  add_request(1);
  run_until_idle();
  registry->response_overflowed(now, 1, 0);
  run_until_idle();
  finish_attempt(1, 0, AttemptResult::reset);
  run_until_idle();
  EXPECT_EQ(commands_of<AbortStream>().size(), 1U);
  EXPECT_TRUE(commands_of<DispatchAttempt>().empty()) << "no retry once a response has begun";
  EXPECT_EQ(registry->remembered_count(), 0U);
}

// The decision engine closed the request at its deadline, a second before the client disconnects, and cancels
// nothing any more. The query must not run on for nobody.
TEST_F(RequestRegistryTest, ADisconnectDuringAStreamCancelsItsAttempt) {
  start();
  add_request(1, 1s);
  run_until_idle();
  registry->response_overflowed(now, 1, 0);
  advance_time(2s);
  registry->client_disconnected(1);
  run_until_idle();
  EXPECT_EQ(commands_of<StopAttempt>().size(), 1U);
}

TEST_F(RequestRegistryTest, AnOverflowAfterTheFinalAnswerBeginsNoStream) {
  start();
  add_request(1, 500ms);
  run_until_idle();
  advance_time(1s);
  registry->response_overflowed(now, 1, 0);
  run_until_idle();
  EXPECT_TRUE(commands_of<BeginStream>().empty());
}

// The connection breaks, the engine answers with an error, or the query is cancelled: its effect may have
// happened. A retry could make it happen twice.
TEST_F(RequestRegistryTest, ANotIdempotentRequestThatMayHaveRunFailsWithoutARetry) {
  for (const auto result : {AttemptResult::reset, AttemptResult::error, AttemptResult::cancelled}) {
    start(Idempotency::not_idempotent);
    add_request(1);
    run_until_idle();
    finish_attempt(1, 0, result);
    run_until_idle();
    EXPECT_TRUE(commands_of<DispatchAttempt>().empty());
    ASSERT_EQ(commands_of<FinishRequest>().size(), 1U);
    EXPECT_EQ(commands_of<FinishRequest>()[0].status, FinalStatus::failed);
    EXPECT_FALSE(commands_of<FinishRequest>()[0].provably_never_ran);
  }
}

TEST_F(RequestRegistryTest, ANotIdempotentRequestThatNeverStartedIsRetried) {
  start(Idempotency::not_idempotent);
  add_request(1);
  run_until_idle();
  finish_attempt(1, 0, AttemptResult::never_started);
  run_until_idle();
  ASSERT_EQ(commands_of<DispatchAttempt>().size(), 1U);
  EXPECT_EQ(commands_of<DispatchAttempt>()[0].attempt, 1);
}

TEST_F(RequestRegistryTest, EventsOfUnknownOrEndedAttemptsAreIgnored) {
  start();
  finish_attempt(99, 0, AttemptResult::served);
  registry->client_disconnected(99);
  registry->response_overflowed(now, 99, 3);
  registry->attempt_progressed(99, 0, ProgressKind::progress, 0.5);
  add_request(1);
  run_until_idle();
  finish_attempt(1, 5, AttemptResult::served);
  finish_attempt(1, 0, AttemptResult::served);
  finish_attempt(1, 0, AttemptResult::served);
  run_until_idle();
  EXPECT_EQ(commands_of<DeliverResponse>().size(), 1U);
}

TEST(RequestStates, NothingFollowsTheFinalAnswer) {
  using enum RequestState;
  for (const auto to : {queued, in_flight, streaming, finished})
    EXPECT_FALSE(transition_allowed(finished, to));
  EXPECT_FALSE(transition_allowed(streaming, in_flight));
  EXPECT_FALSE(transition_allowed(queued, streaming));
  EXPECT_TRUE(transition_allowed(in_flight, queued));
}

}  // namespace
}  // namespace heronwell::router
