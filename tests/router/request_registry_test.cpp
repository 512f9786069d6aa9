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
  // Runs the registry until it is idle. Afterwards `commands` contains only the commands of this call, not
  // those of earlier calls.
  void run_until_idle() {
    commands.clear();
    RequestRegistryFixture::run_until_idle();
  }
  void advance_time(Time duration) {
    commands.clear();
    RequestRegistryFixture::advance_time(duration);
  }
};

TEST_F(RequestRegistryTest, DeliversTheResponseOfARequest) {
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

// The process shuts down with one request in flight at its only engine and another one queued. Both clients
// must get an answer before the process ends. Clients retry rejected requests, so a non-idempotent request in
// flight must be reported as failed.
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

// Two requests stay open while the 32-bit ids wrap around. If a new request got the id of an open one, its
// events would end the open request, so ids in use must be skipped.
TEST_F(RequestRegistryTest, IdWrapAroundSkipsIdsInUse) {
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

// The response arrives at the exact time at which the attempt times out, before the step that would end the
// attempt. The client must get the response.
TEST_F(RequestRegistryTest, AResponseInTheStepOfItsTimeoutIsDelivered) {
  start();
  add_request(1, 1s);
  run_until_idle();
  now = commands_of<DispatchAttempt>()[0].deadline;
  finish_attempt(1, 0, AttemptResult::served);
  run_until_idle();
  EXPECT_EQ(commands_of<DeliverResponse>().size(), 1U);
  EXPECT_TRUE(commands_of<FinishRequest>().empty());
}

// The process is suspended for 3 s with a request in flight whose deadline is 1 s away. After it resumes, it
// reads the response first. The deadline has passed and the engine did run the query, so the request must be
// reported as failed.
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

// The client disconnects while its query runs. The query is cancelled, but its response is already on the
// way. The response must not be delivered and no state of the request may be left behind.
TEST_F(RequestRegistryTest, ADisconnectCancelsTheAttempt) {
  start();
  add_request(1);
  run_until_idle();
  registry->client_disconnected(1);
  run_until_idle();
  ASSERT_EQ(commands_of<StopAttempt>().size(), 1U);
  EXPECT_TRUE(commands_of<FinishRequest>().empty());
  finish_attempt(1, 0, AttemptResult::served);  // sent before the cancel request arrived
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

// The deadline passes while a long response is being streamed, and the decision engine fails the request. The
// client is still reading and must get the rest of the response, without an error inside it.
TEST_F(RequestRegistryTest, AStreamHasNoTimeoutAndNoSecondFinalAnswer) {
  start();
  add_request(1, 1s);
  run_until_idle();
  registry->response_overflowed(now, 1, 0);
  run_until_idle();
  ASSERT_EQ(commands_of<BeginStream>().size(), 1U);
  advance_time(5s);  // the decision engine fails the request; the client keeps reading
  EXPECT_TRUE(commands_of<FinishRequest>().empty());
  EXPECT_TRUE(commands_of<StopAttempt>().empty());
  finish_attempt(1, 0, AttemptResult::served);
  run_until_idle();
  EXPECT_EQ(commands_of<DeliverResponse>().size(), 1U);
  EXPECT_EQ(registry->remembered_count(), 0U);
}

// The engine fails while a response is being streamed. A retry would append another response to the part that
// the client has read, and a regular end would make that part look complete. The stream must be aborted
// without a retry.
TEST_F(RequestRegistryTest, AStreamWhoseEngineIsLostIsAborted) {
  start();
  add_request(1);
  run_until_idle();
  registry->response_overflowed(now, 1, 0);
  run_until_idle();
  finish_attempt(1, 0, AttemptResult::reset);
  run_until_idle();
  EXPECT_EQ(commands_of<AbortStream>().size(), 1U);
  EXPECT_TRUE(commands_of<DispatchAttempt>().empty()) << "expected no retry after the response has started";
  EXPECT_EQ(registry->remembered_count(), 0U);
}

// The decision engine closes the request at its deadline, 1 s before the client disconnects, and no longer
// cancels its attempt. The registry must cancel it, or the query would keep running without a client.
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

// After a broken connection, an engine error or a cancellation, the query may have taken effect. A retry
// could repeat the effect.
TEST_F(RequestRegistryTest, ANonIdempotentRequestThatMayHaveRunFailsWithoutARetry) {
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

TEST_F(RequestRegistryTest, ANonIdempotentRequestThatNeverStartedIsRetried) {
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

TEST(RequestStates, AllowsNoTransitionAfterTheFinalAnswer) {
  using enum RequestState;
  for (const auto to : {queued, in_flight, streaming, finished})
    EXPECT_FALSE(transition_allowed(finished, to));
  EXPECT_FALSE(transition_allowed(streaming, in_flight));
  EXPECT_FALSE(transition_allowed(queued, streaming));
  EXPECT_TRUE(transition_allowed(in_flight, queued));
}

}  // namespace
}  // namespace heronwell::router
