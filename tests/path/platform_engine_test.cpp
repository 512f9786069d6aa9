// Tests the attempts and engine connections of a shard in platform mode.
#include "platform_fixture.hpp"

namespace heronwell::path {
namespace {

TEST_F(Platform, ServesAResultOfSeveralPagesCompletelyAndInOrder) {
  const auto client = connect_client();
  const auto ticket = send_request(client, 1);
  dispatch_attempt(ticket, 0, 7);
  dialled_[0]->connect();
  EXPECT_TRUE(dialled_[0]->written.starts_with("POST /x HTTP/1.1\r\n")) << dialled_[0]->written;
  EXPECT_NE(dialled_[0]->written.find("X-Hop-Id: " + request_id(1)), std::string::npos);
  EXPECT_NE(dialled_[0]->written.find("X-Sort: lookup"), std::string::npos);
  dialled_[0]->deliver(http_response("202 Accepted\r\nX-Tell: progress\r\nX-Amount: 0.5\r\n"));
  EXPECT_EQ(std::get<AttemptProgressed>(published_events_.back().event).amount, 0.5);
  for (const char c : http_response("200 OK\r\nX-Parts: 3\r\n", "a\tb\tc\n")) dialled_[0]->deliver({&c, 1});
  EXPECT_TRUE(dialled_[0]->written.ends_with("GET /x/" + request_id(1) +
                                             "/1 HTTP/1.1\r\nHost: 127.0.0.7:10080\r\n\r\n"));
  dialled_[0]->deliver(http_response("200 OK\r\nX-Part-No: 1\r\n", "d\te\tf\n"));
  EXPECT_TRUE(attempt_results().empty());
  dialled_[0]->deliver(http_response("200 OK\r\nX-Part-No: 2\r\n", "g\th\ti\n"));
  EXPECT_TRUE(attempt_results().empty()) << "expected the last page to be confirmed first";
  EXPECT_TRUE(dialled_[0]->written.ends_with("GET /x/" + request_id(1) +
                                             "/2 HTTP/1.1\r\nHost: 127.0.0.7:10080\r\n\r\n"));
  dialled_[0]->deliver(http_response("200 OK\r\nX-Part-No: 2\r\n", "g\th\ti\n"));
  ASSERT_EQ(attempt_results(), std::vector{AttemptResult::served});
  execute(router::Command(router::DeliverResponse{ticket, 0}));
  EXPECT_EQ(read_responses(*client), (std::vector<std::pair<std::uint32_t, int>>{{1, 0}}));
  EXPECT_EQ(last_body_, "a\tb\tc\nd\te\tf\ng\th\ti\n");
}

TEST_F(Platform, ForwardsAnIdempotencyKeyUnchangedAndRejectsAnInvalidOne) {
  const auto client = connect_client();
  client->deliver(encode_request(1, request_id(1), "lookup", "acme", "1500", "a7-B"));
  dispatch_attempt(received_tickets().back(), 0, 7);
  dialled_[0]->connect();
  EXPECT_NE(dialled_[0]->written.find("\r\nX-Replay-Key: a7-B\r\n"), std::string::npos)
      << dialled_[0]->written;
  client->deliver(encode_request(2, request_id(2), "lookup", "acme", "1500", "a\r\nX-Sort: load"));
  EXPECT_EQ(read_responses(*client), (std::vector<std::pair<std::uint32_t, int>>{{2, 1}}));
  dispatch_attempt(send_request(client, 3), 0, 8);
  dialled_[1]->connect();
  EXPECT_EQ(dialled_[1]->written.find("X-Replay-Key"), std::string::npos);
}

// ---- rare timings ----------------------------------------------------------------------------------------
// A client sends a request id again while the engine still has to delete the previous query of that id.
TEST_F(Platform, ReusedRequestIdWaitsUntilThePreviousQueryIsDeleted) {
  const auto first = connect_client();
  const auto ticket = send_request(first, 1);
  dispatch_attempt(ticket, 0, 7);
  dialled_[0]->connect();
  first->reset();  // the query runs at the engine
  execute(router::Command(router::StopAttempt{ticket, 0}));
  ASSERT_EQ(dialled_.size(), 2U) << "expected a connection for the deletion";
  const auto second = connect_client();
  const auto second_ticket = send_request(second, 1);
  ASSERT_NE(second_ticket, ticket);
  dispatch_attempt(second_ticket, 0, 8);
  EXPECT_EQ(dialled_.size(), 2U)
      << "expected no new attempt before the deletion is confirmed: it could delete the new query";
  dialled_[1]->connect();
  dialled_[1]->deliver("HTTP/1.1 204 No Content\r\n\r\n");
  ASSERT_EQ(dialled_.size(), 3U);
  dialled_[2]->connect();
  EXPECT_TRUE(dialled_[2]->written.starts_with("POST")) << dialled_[2]->written;
}

// The loss of one packet of a connection set-up must not make a healthy engine look unreachable.
TEST_F(Platform, OpensASecondConnectionIfTheFirstIsSlowToConnect) {
  dispatch_attempt(send_request(connect_client(), 1), 0, 7);
  ASSERT_EQ(dialled_.size(), 1U);
  advance_to(now_ + config_.engines.dial_timeout / 3 + 1ms);
  ASSERT_EQ(dialled_.size(), 2U) << "expected a second connection in parallel";
  dialled_[1]->connect();
  EXPECT_TRUE(dialled_[1]->written.starts_with("POST"));
  dialled_[0]->connect();
  EXPECT_TRUE(dialled_[0]->written.empty()) << "expected a single start";
  advance_to(now_ + 100ms);
  dispatch_attempt(send_request(connect_client(), 2), 0, 7);
  EXPECT_EQ(dialled_.size(), 2U);
  EXPECT_TRUE(dialled_[0]->written.starts_with("POST"))
      << "expected the late connection to serve the next attempt";
  deliver_result(dialled_[1], kRows);
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::served});
}

TEST_F(Platform, ReportsAnUnreachableEngineOnceAtTheDialTimeout) {
  const auto started_at = now_;
  dispatch_attempt(send_request(connect_client(), 1), 0, 7);
  advance_to(started_at + config_.engines.dial_timeout - 1ms);
  EXPECT_EQ(dialled_.size(), 3U);
  EXPECT_TRUE(attempt_results().empty());
  advance_to(started_at + config_.engines.dial_timeout + 1ms);
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::not_connected});
  EXPECT_EQ(dialled_.size(), 3U);
}

TEST_F(Platform, AttemptStoppedWhileConnectingEndsOnceAndIsNeverSent) {
  const auto ticket = send_request(connect_client(), 1);
  dispatch_attempt(ticket, 0, 7);
  advance_to(now_ + config_.engines.dial_timeout / 3 + 1ms);
  ASSERT_EQ(dialled_.size(), 2U);
  dialled_[1]->fail(DialFailure::unknown);
  execute(router::Command(router::StopAttempt{ticket, 0}));
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::never_started});
  dialled_[0]->connect();
  EXPECT_TRUE(dialled_[0]->written.empty());
  advance_to(now_ + 1s);
  EXPECT_EQ(attempt_results().size(), 1U);
}

TEST_F(Platform, DoesNotStartAnAttemptAfterConnectIfTheClientHasLeft) {
  // The client cancels its stream or resets the connection; the decision loop sends no StopAttempt.
  unsigned n = 0;
  for (const auto& leave : std::vector<std::function<void(FakeStream&, unsigned)>>{
           [](FakeStream&peer, unsigned stream) { peer.deliver(encode_frame(8, stream, "")); },
           [](FakeStream&peer, unsigned) { peer.reset(); }}) {
    const auto client = connect_client();
    const auto ticket = send_request(client, ++n);
    dispatch_attempt(ticket, 0, 7);
    leave(*client, n);
    dialled_.back()->connect();
    EXPECT_TRUE(dialled_.back()->written.empty());
    EXPECT_EQ(attempt_results(), std::vector<AttemptResult>(n, AttemptResult::never_started));
    dialled_.back()->reset();
  }
}

// A call that remains in the buffers of a closed connection could arrive late and start or delete a query.
TEST_F(Platform, ResetsConnectionsThatHaveACallInFlight) {
  const auto ticket = send_request(connect_client(), 1);
  dispatch_attempt(ticket, 0, 7);
  dialled_[0]->connect();
  execute(router::Command(router::StopAttempt{ticket, 0}));
  EXPECT_TRUE(dialled_[0]->closed && dialled_[0]->closed_by_reset)
      << "expected a reset of the connection with the start";
  dialled_[1]->connect();
  advance_to(now_ + 2100ms);
  EXPECT_TRUE(dialled_[1]->closed && dialled_[1]->closed_by_reset)
      << "expected a reset of the connection with the unanswered deletion";
  dispatch_attempt(send_request(connect_client(), 2), 0, 8);
  dialled_[2]->connect();
  deliver_result(dialled_[2], kRows);
  advance_to(now_ + config_.engines.idle_close + 1s);
  EXPECT_TRUE(dialled_[2]->closed);
  EXPECT_FALSE(dialled_[2]->closed_by_reset) << "expected an idle connection to be closed without a reset";
}

// The query of a start that is completed after its client has disconnected would run without a client.
TEST_F(Platform, DoesNotCompleteAPartialStartIfTheClientHasLeft) {
  // The engine reads slowly, so the start is written in parts; the decision loop sends no StopAttempt.
  for (const bool client_leaves : {true, false}) {
    const auto client = connect_client();
    dispatch_attempt(send_request(client, client_leaves ? 1 : 2), 0, client_leaves ? 7 : 8);
    const auto engine = dialled_.back();
    engine->partial_writes_left = 1;
    engine->connect();
    EXPECT_EQ(engine->written.size(), 20U);
    if (client_leaves) client->reset();
    engine->partial_writes_left.reset();
    engine->become_writable();
    EXPECT_EQ(engine->written.size() == 20, client_leaves);
    EXPECT_EQ(engine->closed, client_leaves);
    EXPECT_EQ(attempt_results(), std::vector{AttemptResult::never_started});
  }
}

// An engine that is full rejects a start as soon as it has seen the head. If the connection were reused, the rest
// of the start would be written after its attempt has ended.
TEST_F(Platform, RejectionOfAPartialStartEndsItsConnection) {
  const std::vector<std::pair<std::string, AttemptResult>> rejections{
      {"503 Full\r\nX-No-Effect: 1\r\n", AttemptResult::rejected},
      {"504 Too late\r\nX-No-Effect: 1\r\n", AttemptResult::never_started}};
  for (const auto& [head, result] : rejections) {
    const auto engine = start_partially(result == AttemptResult::rejected ? 1 : 2);
    engine->deliver(http_response(head));
    EXPECT_EQ(attempt_results(), std::vector{result});
    EXPECT_TRUE(engine->closed_by_reset);
    engine->partial_writes_left.reset();
    engine->become_writable();
    EXPECT_EQ(engine->written.size(), 20U) << "expected nothing of the start to be written after its end";
    dispatch_attempt(send_request(connect_client(), result == AttemptResult::rejected ? 3 : 4), 0, 7);
    EXPECT_EQ(dialled_.size(), 2U) << "expected a new connection for the next attempt";
  }
}

// Only a rejection can belong to a start of which the engine has seen a part. Any other response may be a late
// duplicate of an earlier one, and must not end the attempt.
TEST_F(Platform, OtherResponsesToAPartialStartAreNotTrusted) {
  unsigned n = 0;
  for (const auto& response :
       {http_response("200 OK\r\nX-Parts: 1\r\n", kRows), http_response("202 Accepted\r\n"),
        http_response("500 Error\r\n"), http_response("503 Full\r\n"), http_response("504 Too late\r\n"),
        std::string("HTTP/1.1 \x01\r\n\r\n")}) {
    const auto engine = start_partially(++n);
    engine->deliver(response);
    EXPECT_TRUE(attempt_results().empty()) << response;
    EXPECT_TRUE(engine->closed_by_reset);
    ASSERT_EQ(dialled_.size(), 2U);
    dialled_[1]->connect();
    EXPECT_TRUE(dialled_[1]->written.starts_with("GET /x/" + request_id(n) + "/0 HTTP/1.1\r\n"));
    dialled_[1]->deliver(http_response("500 Unknown\r\n"));
    EXPECT_EQ(attempt_results(), std::vector{AttemptResult::error});
    dialled_[1]->reset();
  }
}

TEST_F(Platform, InterimResponseToAPartialStartChangesNothing) {
  const auto engine = start_partially(1);
  engine->deliver("HTTP/1.1 102 Processing\r\n\r\n");
  EXPECT_FALSE(engine->closed);
  engine->partial_writes_left.reset();
  engine->become_writable();
  EXPECT_TRUE(engine->written.ends_with("select * from sales_17.orders"));
  deliver_result(engine, kRows);
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::served});
  EXPECT_FALSE(engine->closed) << "expected a connection whose call was written completely to be kept";
}

// A lost connection or a silent engine proves nothing: the query is polled on another connection.
TEST_F(Platform, PartialStartThatIsLostOrTimesOutIsPolledOnAnotherConnection) {
  for (const bool lost : {true, false}) {
    const auto engine = start_partially(lost ? 1 : 2);
    if (lost)
      engine->reset();
    else
      advance_to(now_ + 900ms);
    EXPECT_TRUE(attempt_results().empty());
    EXPECT_TRUE(engine->closed_by_reset);
    ASSERT_EQ(dialled_.size(), 2U);
    dialled_[1]->connect();
    EXPECT_TRUE(dialled_[1]->written.starts_with("GET"));
    dialled_[1]->deliver(http_response("500 Unknown\r\n"));
    EXPECT_EQ(attempt_results(), std::vector{AttemptResult::error});
    dialled_[1]->reset();
  }
}

TEST_F(Platform, DoesNotStartAnAttemptAfterADescriptorWaitIfTheClientHasLeft) {
  const auto max_connections = static_cast<unsigned>(config_.engines.connections);
  for (unsigned n = 1; n <= max_connections; ++n) dispatch_attempt(send_request(connect_client(), n), 0, 7);
  const auto client = connect_client();
  dispatch_attempt(send_request(client, max_connections + 1), 0, 8);
  ASSERT_EQ(dialled_.size(), max_connections);
  client->reset();
  dialled_[0]->connect();
  deliver_result(dialled_[0], kRows);
  run_deferred();
  EXPECT_EQ(dialled_.size(), max_connections);
  EXPECT_EQ(attempt_results(), (std::vector{AttemptResult::served, AttemptResult::never_started}));
}

// Engines recognise a retry only until `start_before`; after that, the query could run twice.
TEST_F(Platform, DoesNotStartARetryAfterItsStartBeforeTime) {
  const auto ticket = send_request(connect_client(), 1);
  dispatch_attempt(ticket, 0, 7);
  dialled_[0]->connect();
  execute(router::Command(router::StopAttempt{ticket, 0}));
  router::DispatchAttempt retry{ticket, 1, 8, now_ + 10s, {}, {}};
  retry.start_before = now_ + 900ms;
  execute(router::Command(retry));
  // The first engine does not respond: the deletion ends when the engine must have dropped the query.
  advance_to(now_ + 3s);
  EXPECT_TRUE(std::ranges::none_of(dialled_,
                                   [](auto& connection) { return connection->address.host == "127.0.0.8"; }));
  EXPECT_EQ(attempt_results(), (std::vector{AttemptResult::cancelled, AttemptResult::never_started}));
  const auto second_ticket = send_request(connect_client(), 2);
  router::DispatchAttempt late_dispatch{second_ticket, 0, 8, now_ + 10s, {}, {}};
  late_dispatch.start_before = now_ + 50ms;
  execute(router::Command(late_dispatch));
  now_ += 60ms;
  dialled_.back()->connect();
  EXPECT_TRUE(dialled_.back()->written.empty());
}

// The unread input may be a disconnect, and the query would run without a client.
TEST_F(Platform, ReadsClientInputBeforeStartingAttemptsAfterAStall) {
  const auto client = connect_client();
  const auto ticket = send_request(client, 1);
  now_ += 1s;
  expect_input_read_before_start(client, ticket);
}

TEST_F(Platform, ReadsClientInputBeforeStartingAttemptsAfterABusyPeriod) {
  const auto client = connect_client();
  const auto ticket = send_request(client, 1);
  advance_to(now_ + 120ms);
  expect_input_read_before_start(client, ticket);
}

TEST_F(Platform, ReadsClientInputBeforeStartingOnALateConnection) {
  const auto leaving = connect_client(), staying = connect_client();
  dispatch_attempt(send_request(leaving, 1), 0, 7);
  dispatch_attempt(send_request(staying, 2), 0, 8);
  ASSERT_EQ(dialled_.size(), 2U);
  leaving->has_unread_input = staying->has_unread_input = true;  // a disconnect, and a readiness query
  dialled_[0]->connect();
  dialled_[1]->connect();
  EXPECT_TRUE(dialled_[0]->written.empty() && dialled_[1]->written.empty());
  leaving->reset();
  staying->has_unread_input = false;
  staying->deliver(encode_frame(16, 0, std::string(1, '\0')));
  run_deferred();
  EXPECT_TRUE(dialled_[0]->written.empty());
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::never_started});
  ASSERT_EQ(dialled_.size(), 2U) << "expected the start on the connection that was established";
  EXPECT_TRUE(dialled_[1]->written.starts_with("POST")) << dialled_[1]->written;
  // A client that sends continuously delays its own request only once.
  const auto busy = connect_client();
  dispatch_attempt(send_request(busy, 3), 0, 8);
  busy->has_unread_input = true;
  dialled_[2]->connect();
  run_deferred();
  EXPECT_TRUE(dialled_[2]->written.starts_with("POST"));
}

// After a stall, a client's cancellation, or the end of its connection, is unread behind many other bytes. The
// query was started after two turns of the event loop, which read the first 32 KiB, and ran for nobody.
TEST_F(Platform, StartsNothingBeforeInputBehindManyBytesIsRead) {
  constexpr std::size_t kReadBytes = 16 << 10, kStatementBytes = 100'000;
  unsigned n = 0;
  for (const bool cancels : {true, false}) {
    dialled_.clear();
    published_events_.clear();
    const auto client = connect_client();
    const auto ticket = send_request(client, 2 * n + 1);
    auto unread = encode_large_request(2 * n + 2, request_id(2 * n + 2), kStatementBytes);
    if (cancels) unread += encode_frame(8, 2 * n + 1, "");
    client->has_unread_input = true;
    client->unread_byte_count = unread.size();
    std::vector<ShardCommand> commands;
    commands.emplace_back(router::Command(router::DispatchAttempt{ticket, 0, 7, now_ + 1400ms, {}, {}}));
    shard_.execute(commands);
    while (!unread.empty()) {
      for (int turn = 0; turn < 2; ++turn) run_one_deferred();
      ASSERT_TRUE(dialled_.empty()) << "expected no start while " << unread.size() << " bytes are unread";
      const auto piece = unread.substr(0, kReadBytes);
      unread.erase(0, piece.size());
      client->unread_byte_count = unread.size();
      client->deliver(piece);
    }
    run_one_deferred();
    if (!cancels) client->reset();
    run_deferred();
    EXPECT_TRUE(dialled_.empty());
    EXPECT_EQ(attempt_results(), std::vector{AttemptResult::never_started});
    ++n;
  }
}

// A client gets the answer of a request that must not run twice, leaves, comes again and sends the id once more.
// Only ids of clients that left before the answer were remembered, so the request ran a second time.
TEST_F(Platform, IdOfARequestThatRanIsNotRunAgainAfterItsClientHasLeft) {
  const auto first = connect_client();
  first->deliver(encode_request(1, request_id(1), "load"));
  const auto ticket = received_tickets().back();
  dispatch_attempt(ticket, 0, 7);
  dialled_[0]->connect();
  deliver_result(dialled_[0], kRows);
  execute(router::Command(router::DeliverResponse{ticket, 0}));
  EXPECT_EQ(read_responses(*first), (std::vector<std::pair<std::uint32_t, int>>{{1, 0}}));
  first->reset();
  const auto again = connect_client();
  again->deliver(encode_request(1, request_id(1), "load"));
  EXPECT_EQ(received_tickets().size(), 1U) << "expected the request not to be admitted";
  EXPECT_EQ(read_responses(*again), (std::vector<std::pair<std::uint32_t, int>>{{1, 2}}))
      << "expected `failed`: a rejection would say that nothing has run";
  advance_to(now_ + 2s);
  again->deliver(encode_request(2, request_id(1), "load"));
  EXPECT_EQ(received_tickets().size(), 2U) << "expected the id to be forgotten after its deadline";
}

// A rejected request never ran, so its id may come again.
TEST_F(Platform, IdOfARejectedRequestMayComeAgain) {
  const auto client = connect_client();
  client->deliver(encode_request(1, request_id(1), "load"));
  const auto ticket = received_tickets().back();
  dispatch_attempt(ticket, 0, 7);
  dialled_[0]->connect();
  dialled_[0]->deliver(http_response("503 Full\r\nX-No-Effect: 1\r\n"));
  router::FinishRequest rejection;
  rejection.ticket = ticket;
  rejection.status = router::FinalStatus::rejected;
  rejection.attempts = 1;
  execute(router::Command(rejection));
  EXPECT_EQ(read_responses(*client), (std::vector<std::pair<std::uint32_t, int>>{{1, 1}}));
  client->deliver(encode_request(2, request_id(1), "load"));
  EXPECT_EQ(received_tickets().size(), 2U);
}

// An engine may send a response twice; the duplicate may arrive after the next query has begun.
TEST_F(Platform, LateDuplicateResponseIsNotTakenForTheNextQuery) {
  dispatch_attempt(send_request(connect_client(), 1), 0, 7);
  dialled_[0]->connect();
  const auto response = single_page(kRows);
  deliver_result(dialled_[0], kRows);
  dispatch_attempt(send_request(connect_client(), 2), 0, 7);
  ASSERT_EQ(dialled_.size(), 2U) << "expected a new connection while a duplicate response may arrive";
  dialled_[0]->deliver(response);
  EXPECT_TRUE(dialled_[0]->closed);
  EXPECT_EQ(attempt_results().size(), 1U);
  dialled_[1]->connect();
  deliver_result(dialled_[1], kRows);
  advance_to(now_ + 51ms);
  dispatch_attempt(send_request(connect_client(), 3), 0, 7);
  EXPECT_EQ(dialled_.size(), 2U) << "expected reuse after the time in which duplicates may arrive";
}

TEST_F(Platform, DeletionsStayWithinTheirDescriptorLimitAndAllAreSent) {
  const auto client = connect_client();
  constexpr unsigned kQueries = 12;
  for (unsigned n = 1; n <= kQueries; ++n) {
    dispatch_attempt(send_request(client, n), 0, n % 2 == 0 ? 7 : 8);
    dialled_.back()->connect();
  }
  for (unsigned n = 1; n <= kQueries; ++n)
    execute(router::Command(router::StopAttempt{received_tickets()[n - 1], 0}));
  std::size_t deleted = 0;
  for (int round = 0; round < 100 && deleted < kQueries; ++round) {
    std::vector<FakeStreamPtr> open;
    for (std::size_t i = kQueries; i < dialled_.size(); ++i)
      if (!dialled_[i]->closed) open.push_back(dialled_[i]);
    EXPECT_LE(open.size(), 64U / 16);
    for (const auto& connection : open) {
      connection->connect();
      EXPECT_TRUE(connection->written.starts_with("DELETE"));
      connection->deliver("HTTP/1.1 204 No Content\r\n\r\n");
      ++deleted;
    }
    advance_to(now_ + 20ms);
  }
  EXPECT_EQ(deleted, kQueries);
}

TEST_F(Platform, NextAttemptWaitsUntilTheEngineHasDeletedTheFirst) {
  const auto ticket = send_request(connect_client(), 1);
  dispatch_attempt(ticket, 0, 7);
  dialled_[0]->connect();
  execute(router::Command(router::StopAttempt{ticket, 0}));
  EXPECT_TRUE(attempt_results().empty()) << "expected the attempt to be in flight until its engine has "
                                            "deleted the query: no other starts before";
  ASSERT_EQ(dialled_.size(), 2U) << "expected a connection for the deletion";
  dispatch_attempt(ticket, 1, 8);
  EXPECT_EQ(dialled_.size(), 2U) << "expected at most one attempt in flight, even if a second is commanded";
  dialled_[1]->connect();
  EXPECT_TRUE(dialled_[1]->written.starts_with("DELETE /x/" + request_id(1) + " HTTP/1.1\r\n"));
  EXPECT_EQ(dialled_.size(), 2U);
  dialled_[1]->deliver("HTTP/1.1 204 No Content\r\n\r\n");
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::cancelled});
  ASSERT_EQ(dialled_.size(), 3U);
  EXPECT_EQ(dialled_[2]->address.host, "127.0.0.8");
}

TEST_F(Platform, DeletionIsRetriedWithoutADescriptorAndEndsIfTheProcessIsGone) {
  const auto ticket = send_request(connect_client(), 1);
  dispatch_attempt(ticket, 0, 7);
  dialled_[0]->connect();
  execute(router::Command(router::StopAttempt{ticket, 0}));
  dispatch_attempt(ticket, 1, 8);
  dialled_[1]->fail(DialFailure::local);
  EXPECT_EQ(dialled_.size(), 2U) << "expected no new attempt: the first engine may still run the query";
  advance_to(now_ + 150ms);
  ASSERT_EQ(dialled_.size(), 3U) << "expected the deletion to be retried";
  dialled_[2]->fail(DialFailure::refused);
  ASSERT_EQ(dialled_.size(), 4U) << "expected the next attempt, as the process of the first engine is gone";
  EXPECT_EQ(dialled_[3]->address.host, "127.0.0.8");
}

// The engine never responds to the deletion, and the next attempt must still start.
TEST_F(Platform, DeletionEndsOnceTheEngineMustHaveDroppedTheQuery) {
  const auto ticket = send_request(connect_client(), 1);
  dispatch_attempt(ticket, 0, 7);
  dialled_[0]->connect();
  execute(router::Command(router::StopAttempt{ticket, 0}));
  execute(router::Command(router::DispatchAttempt{ticket, 1, 8, now_ + 10s, {}, {}}));
  const auto second_engine_not_dialled = [this] {
    return std::ranges::none_of(dialled_,
                                [](auto& connection) { return connection->address.host == "127.0.0.8"; });
  };
  advance_to(now_ + 1950ms);
  EXPECT_TRUE(second_engine_not_dialled());
  advance_to(now_ + 200ms);
  EXPECT_FALSE(second_engine_not_dialled());
}

// The query may still be running after the connection is lost, and a second start could run it twice.
TEST_F(Platform, PollsAgainAfterAResetWithoutRepeatingTheStart) {
  const auto ticket = send_request(connect_client(), 1);
  dispatch_attempt(ticket, 0, 7);
  dialled_[0]->connect();
  dialled_[0]->reset();
  EXPECT_TRUE(attempt_results().empty()) << "expected no result yet: the query may still be running";
  ASSERT_EQ(dialled_.size(), 2U);
  dialled_[1]->connect();
  EXPECT_TRUE(dialled_[1]->written.starts_with("GET /x/" + request_id(1) + "/0 HTTP/1.1\r\n"))
      << dialled_[1]->written;
  deliver_result(dialled_[1], kRows);
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::served});
}

TEST_F(Platform, PollsAgainAfterMalformedResponsesAndThenDeletesTheQuery) {
  const auto ticket = send_request(connect_client(), 1);
  dispatch_attempt(ticket, 0, 7);
  for (std::size_t i = 0; i < 5; ++i) {
    ASSERT_EQ(dialled_.size(), i + 1);
    dialled_[i]->connect();
    dialled_[i]->deliver(i % 2 == 0 ? http_response("200 OK\r\nX-Parts: 1\r\n", "1\t2")
                                    : "HTTP/1.1 \x01\r\n\r\n");
  }
  ASSERT_EQ(dialled_.size(), 6U) << "expected a connection for the deletion";
  dialled_[5]->connect();
  EXPECT_TRUE(dialled_[5]->written.starts_with("DELETE"));
  EXPECT_TRUE(attempt_results().empty()) << "expected no result before the deletion is confirmed";
  dialled_[5]->deliver("HTTP/1.1 204 No Content\r\n\r\n");
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::reset});
}

TEST_F(Platform, OversizedResponseClosesItsConnectionButKeepsTheQuery) {
  dispatch_attempt(send_request(connect_client(), 1), 0, 7);
  dialled_[0]->connect();
  dialled_[0]->deliver("HTTP/1.1 200 OK\r\n");
  std::size_t sent = 0;
  for (; !dialled_[0]->closed && sent < (1U << 20); sent += 100)
    dialled_[0]->deliver("X-A: " + std::string(93, 'b') + "\r\n");
  EXPECT_LT(sent, 16U << 10);
  ASSERT_EQ(dialled_.size(), 2U);
  dialled_[1]->connect();
  dialled_[1]->deliver("HTTP/1.1 200 OK\r\nX-Parts: 1\r\nContent-Length: 3000000000\r\n\r\n" + kRows);
  EXPECT_TRUE(dialled_[1]->closed);
  ASSERT_EQ(dialled_.size(), 3U);
  dialled_[2]->connect();
  deliver_result(dialled_[2], kRows);
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::served});
}

// A reset before the first byte says nothing about the engine; a refused connection proves that nothing ran.
TEST_F(Platform, ReconnectsAfterAResetBeforeTheStartButNotAfterARefusal) {
  const auto ticket = send_request(connect_client(), 1);
  dispatch_attempt(ticket, 0, 7);
  dialled_[0]->fail(DialFailure::unknown);
  ASSERT_EQ(dialled_.size(), 2U);
  dialled_[1]->connect();
  EXPECT_TRUE(dialled_[1]->written.starts_with("POST"));
  const auto second = send_request(connect_client(), 2);
  dispatch_attempt(second, 0, 8);
  dialled_[2]->fail(DialFailure::refused);
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::not_connected});
}

TEST_F(Platform, RepeatedlyResetHealthCheckIsReportedAsResetWithoutADeletion) {
  execute(router::Command(router::RunHealthCheck{7}));
  for (std::size_t i = 0; i < 5; ++i) {
    ASSERT_EQ(dialled_.size(), i + 1);
    dialled_[i]->connect();
    EXPECT_TRUE(dialled_[i]->written.starts_with("GET /busy HTTP/1.1\r\n"));
    dialled_[i]->reset();
  }
  EXPECT_EQ(dialled_.size(), 5U);
  EXPECT_EQ(std::get<HealthCheckFinished>(published_events_.back().event).result, AttemptResult::reset);
}

// An engine sends a Content-Length that is too small and ends behind a row. The rows up to there would pass for
// the whole result.
TEST_F(Platform, PageFollowedByBytesIsRequestedAgainOnANewConnection) {
  const std::string rows = "1\t2\t3\n4\t5\t6\n";
  const std::string whole = http_response("200 OK\r\nX-Parts: 1\r\n", rows);
  const auto cut_after = [&](std::size_t length) {
    return "HTTP/1.1 200 OK\r\nX-Parts: 1\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" + rows;
  };
  // The end of the first row, no row at all, noise behind a correct page, and a second copy of it.
  const std::vector<std::string> followed_by_bytes{cut_after(kRows.size()), cut_after(0),
                                                   whole + "HTTP/1.1 200", whole + whole};
  for (unsigned n = 1; n <= followed_by_bytes.size(); ++n) {
    dialled_.clear();
    published_events_.clear();
    const auto client = connect_client();
    const auto ticket = send_request(client, n);
    dispatch_attempt(ticket, 0, n % 2 == 0 ? 7 : 8);
    dialled_[0]->connect();
    dialled_[0]->deliver("HTTP/1.1 102 Processing\r\n\r\n" + followed_by_bytes[n - 1]);
    EXPECT_TRUE(attempt_results().empty()) << "expected no part of a result to be served: " << n;
    EXPECT_TRUE(dialled_[0]->closed);
    ASSERT_EQ(dialled_.size(), 2U) << "expected a new connection";
    dialled_[1]->connect();
    EXPECT_TRUE(dialled_[1]->written.starts_with("GET /x/" + request_id(n) + "/0 HTTP/1.1\r\n"));
    deliver_result(dialled_[1], rows);
    ASSERT_EQ(attempt_results(), std::vector{AttemptResult::served});
    execute(router::Command(router::DeliverResponse{ticket, 0}));
    EXPECT_EQ(read_responses(*client), (std::vector<std::pair<std::uint32_t, int>>{{n, 0}}));
    EXPECT_EQ(last_body_, rows);
    advance_to(now_ + 51ms);
    dispatch_attempt(send_request(connect_client(), 100 + n), 0, n % 2 == 0 ? 7 : 8);
    EXPECT_EQ(dialled_.size(), 2U)
        << "expected only the connection that carried no further bytes to be reused";
    dialled_[1]->reset();
    dialled_[2]->fail(DialFailure::refused);
  }
}

// The same for a further page, and where the rest of a page arrives only after the next page was requested.
TEST_F(Platform, FurtherPageWithATooSmallLengthIsRequestedAgain) {
  const auto page = [](unsigned number, const std::string& rows, std::size_t length) {
    return "HTTP/1.1 200 OK\r\n" + (number == 0 ? "X-Parts: 3" : "X-Part-No: " + std::to_string(number)) +
           "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" + rows;
  };
  const std::vector<std::string> rows{"a\tb\tc\nd\te\tf\n", "g\th\ti\nj\tk\tl\n", "m\tn\to\np\tq\tr\n"};
  const std::size_t row_bytes = rows[0].size() / 2;
  for (const unsigned cut_page : {0U, 1U, 2U}) {
    for (const bool rest_is_late : {false, true}) {
      dialled_.clear();
      published_events_.clear();
      const auto client = connect_client();
      const unsigned n = 1 + 2 * cut_page + (rest_is_late ? 1 : 0);
      const auto ticket = send_request(client, n);
      dispatch_attempt(ticket, 0, 7);
      dialled_[0]->connect();
      for (unsigned number = 0; number < cut_page; ++number)
        dialled_[0]->deliver(page(number, rows[number], rows[number].size()));
      const auto cut = page(cut_page, rows[cut_page], row_bytes);
      const auto late_bytes = rest_is_late ? row_bytes : 0;
      dialled_[0]->deliver(cut.substr(0, cut.size() - late_bytes));
      if (rest_is_late) dialled_[0]->deliver(cut.substr(cut.size() - late_bytes));
      ASSERT_TRUE(dialled_[0]->closed);
      ASSERT_EQ(dialled_.size(), 2U);
      dialled_[1]->connect();
      EXPECT_TRUE(
          dialled_[1]->written.starts_with("GET /x/" + request_id(n) + "/" + std::to_string(cut_page)))
          << "expected the page with the wrong length to be requested again: " << dialled_[1]->written;
      for (unsigned number = cut_page; number < rows.size(); ++number)
        dialled_[1]->deliver(page(number, rows[number], rows[number].size()));
      EXPECT_TRUE(attempt_results().empty()) << "expected the last page to be confirmed first";
      dialled_[1]->deliver(page(2, rows[2], rows[2].size()));
      ASSERT_EQ(attempt_results(), std::vector{AttemptResult::served});
      execute(router::Command(router::DeliverResponse{ticket, 0}));
      read_responses(*client);
      EXPECT_EQ(last_body_, rows[0] + rows[1] + rows[2]);
      dialled_[1]->reset();
    }
  }
}

// The last page of a result has a Content-Length that is too small, and the rest arrives after the page was taken.
// Without a second copy to compare, the rows up to there were served as the whole result.
TEST_F(Platform, LastPageWhoseSecondCopyDiffersIsNotServed) {
  const std::string rows = "1\t2\t3\n4\t5\t6\n";
  const std::vector<std::string> wrong_copies{kRows, "", "1\t2\t3\n4\t5\t7\n", rows + kRows};
  unsigned n = 0;
  for (const auto& wrong : wrong_copies) {
    for (const bool first_is_wrong : {true, false}) {
      dialled_.clear();
      published_events_.clear();
      const auto client = connect_client();
      const auto ticket = send_request(client, ++n);
      dispatch_attempt(ticket, 0, 7);
      dialled_[0]->connect();
      dialled_[0]->deliver(single_page(first_is_wrong ? wrong : rows));
      dialled_[0]->deliver(single_page(first_is_wrong ? rows : wrong));
      EXPECT_TRUE(attempt_results().empty()) << "expected neither copy to be served: " << wrong;
      EXPECT_TRUE(dialled_[0]->closed);
      ASSERT_EQ(dialled_.size(), 2U) << "expected a new connection";
      dialled_[1]->connect();
      EXPECT_TRUE(dialled_[1]->written.starts_with("GET /x/" + request_id(n) + "/0 HTTP/1.1\r\n"));
      deliver_result(dialled_[1], rows);
      ASSERT_EQ(attempt_results(), std::vector{AttemptResult::served});
      execute(router::Command(router::DeliverResponse{ticket, 0}));
      read_responses(*client);
      EXPECT_EQ(last_body_, rows);
      dialled_[1]->reset();
    }
  }
}

// The same where the connection ends, or falls silent, before the second copy: the copy is requested on another
// connection, and nothing is served before it.
TEST_F(Platform, LastPageIsConfirmedOnAnotherConnectionIfTheFirstIsLost) {
  unsigned n = 0;
  for (const bool lost : {true, false}) {
    for (const bool first_is_cut : {true, false}) {
      dialled_.clear();
      published_events_.clear();
      dispatch_attempt(send_request(connect_client(), ++n), 0, 7);
      dialled_[0]->connect();
      dialled_[0]->deliver(single_page(first_is_cut ? "" : kRows));
      if (lost)
        dialled_[0]->reset();
      else
        advance_to(now_ + 700ms);
      EXPECT_TRUE(attempt_results().empty());
      ASSERT_EQ(dialled_.size(), 2U);
      dialled_[1]->connect();
      dialled_[1]->deliver(single_page(kRows));
      EXPECT_EQ(attempt_results().empty(), first_is_cut);
      if (!first_is_cut) continue;
      ASSERT_EQ(dialled_.size(), 3U) << "expected the copies to differ";
      dialled_[2]->connect();
      deliver_result(dialled_[2], kRows);
      EXPECT_EQ(attempt_results(), std::vector{AttemptResult::served});
      dialled_[2]->reset();
    }
    dialled_[1]->reset();
  }
}

// An engine sends the first copy twice, so the second one is taken for the confirmation. The answer to the
// confirmation must not be taken for that of the next query.
TEST_F(Platform, AnswerBehindADuplicatedLastPageIsNotTakenForTheNextQuery) {
  dispatch_attempt(send_request(connect_client(), 1), 0, 7);
  dialled_[0]->connect();
  dialled_[0]->deliver(single_page(kRows));
  dialled_[0]->deliver(single_page(kRows));  // the duplicate
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::served});
  dispatch_attempt(send_request(connect_client(), 2), 0, 7);
  ASSERT_EQ(dialled_.size(), 2U)
      << "expected a new connection while the answer to the confirmation may arrive";
  dialled_[0]->deliver(single_page(kRows));
  EXPECT_TRUE(dialled_[0]->closed);
  EXPECT_EQ(attempt_results().size(), 1U);
}

// A result that its engine can't send again is not served: its last page may have been cut.
TEST_F(Platform, ResultThatIsLostBeforeItsConfirmationEndsAsAnError) {
  dispatch_attempt(send_request(connect_client(), 1), 0, 7);
  dialled_[0]->connect();
  dialled_[0]->deliver(single_page(kRows));
  dialled_[0]->deliver(http_response("500 Unknown\r\n"));
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::error});
}

// An engine that never sends its pages with the right length must not keep the attempt, and nothing of them is
// served.
TEST_F(Platform, QueryWhosePagesAreAlwaysFollowedByBytesIsDeleted) {
  dispatch_attempt(send_request(connect_client(), 1), 0, 7);
  for (std::size_t i = 0; i < 5; ++i) {
    ASSERT_EQ(dialled_.size(), i + 1);
    dialled_[i]->connect();
    dialled_[i]->deliver(http_response("200 OK\r\nX-Parts: 1\r\n", kRows) + kRows);
  }
  ASSERT_EQ(dialled_.size(), 6U) << "expected a connection for the deletion";
  dialled_[5]->connect();
  dialled_[5]->deliver("HTTP/1.1 204 No Content\r\n\r\n");
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::reset});
}

// Only a page has a body. An end without a page counts at once, whatever follows it.
TEST_F(Platform, BytesAfterARejectionOrAnErrorCloseTheConnectionButKeepTheResponse) {
  const std::vector<std::pair<std::string, AttemptResult>> ends{
      {"503 Service Unavailable\r\nX-No-Effect: 1\r\n", AttemptResult::rejected},
      {"500 Internal Server Error\r\n", AttemptResult::error}};
  for (const auto& [head, result] : ends) {
    dialled_.clear();
    published_events_.clear();
    dispatch_attempt(send_request(connect_client(), result == AttemptResult::error ? 1 : 2), 0, 7);
    dialled_[0]->connect();
    dialled_[0]->deliver(http_response(head) + "HTTP/1.1 200");
    EXPECT_EQ(attempt_results(), std::vector{result});
    EXPECT_TRUE(dialled_[0]->closed);
    EXPECT_EQ(dialled_.size(), 1U);
  }
}

// A lack of local descriptors must not count as a failure of the engine.
TEST_F(Platform, AttemptWithoutADescriptorWaitsAndIsNotReportedAsFailed) {
  const auto client = connect_client();
  const auto max_connections = config_.engines.connections;
  for (unsigned n = 1; n <= max_connections + 1; ++n)
    dispatch_attempt(send_request(n % 2 == 0 ? client : connect_client(), n), 0, n % 2 == 0 ? 7 : 8);
  EXPECT_EQ(dialled_.size(), max_connections);
  EXPECT_TRUE(attempt_results().empty());
  dialled_[0]->connect();
  deliver_result(dialled_[0], kRows);
  run_deferred();
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::served});
  const auto open_count =
      std::ranges::count_if(dialled_, [](auto& connection) { return !connection->closed; });
  EXPECT_EQ(static_cast<std::size_t>(open_count), max_connections);
  EXPECT_NE(dialled_.size() == max_connections, dialled_[0]->written.find("POST", 4) == std::string::npos)
      << "expected the waiting attempt on a free descriptor";
}

}  // namespace
}  // namespace heronwell::path
