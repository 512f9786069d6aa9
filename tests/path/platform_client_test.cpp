// Tests the client connections of a shard in platform mode.
#include "platform_fixture.hpp"

namespace heronwell::path {
namespace {

// A rejection would tell the client that a retry is safe, and the request could take effect twice.
TEST_F(Platform, ReusedIdOfANonIdempotentRequestThatMayHaveRunFails) {
  const auto first = connect_client();
  first->deliver(encode_request(1, request_id(1), "load"));
  const auto ticket = received_tickets().back();
  const auto second = connect_client();
  second->deliver(encode_request(1, request_id(1), "load"));
  EXPECT_EQ(read_responses(*second), (std::vector<std::pair<std::uint32_t, int>>{{1, 2}}))
      << "expected code 2 (failed) for an id that is open";
  dispatch_attempt(ticket, 0, 7);
  dialled_[0]->connect();
  first->deliver(encode_frame(8, 1, ""));
  execute(router::Command(router::StopAttempt{ticket, 0}));
  second->deliver(encode_request(2, request_id(1), "load"));
  EXPECT_EQ(read_responses(*second), (std::vector<std::pair<std::uint32_t, int>>{{1, 2}, {2, 2}}))
      << "expected code 2 (failed) for an id whose request was cancelled";
  EXPECT_EQ(received_tickets().size(), 1U);
  advance_to(now_ + 2s);
  second->deliver(encode_request(3, request_id(1), "load"));
  EXPECT_EQ(received_tickets().size(), 2U)
      << "expected the id to be usable after the deadline of its request";
}

TEST_F(Platform, ClosesAClientThatSendsAFrameTooSlowly) {
  const auto client = connect_client(), slow = connect_client();
  const auto frame = encode_request(1, request_id(1));
  const auto started_at = now_;
  for (std::size_t i = 0; !client->writing_shut_down && now_ < started_at + 10s; ++i) {
    client->deliver(frame.substr(i, 1));
    advance_to(now_ + 100ms);
  }
  EXPECT_LT(now_ - started_at, 2700ms) << "expected a slow client to be closed within 3 s of its connection";
  EXPECT_EQ(read_responses(*client), (std::vector<std::pair<std::uint32_t, int>>{{0, 2}}));
  // The same after a request that was answered. A client that is slow but within the limit is served.
  const auto other = connect_client();
  execute(
      router::Command(router::FinishRequest{send_request(other, 2), router::FinalStatus::rejected, 500ms}));
  const auto second_started_at = now_;
  for (std::size_t i = 0; !other->writing_shut_down && now_ < second_started_at + 10s; ++i) {
    other->deliver(encode_request(3, request_id(3)).substr(i, 1));
    advance_to(now_ + 100ms);
  }
  EXPECT_LT(now_ - second_started_at, 2700ms);
  const auto third = connect_client();
  for (std::size_t i = 0; i < frame.size(); i += 8) {
    third->deliver(frame.substr(i, 8));
    advance_to(now_ + 100ms);
  }
  EXPECT_EQ(received_tickets().size(), 2U);
}

TEST_F(Platform, LimitsTheMemoryOfIncompleteFramesAndOpenRequests) {
  // Incomplete frames, on as many connections as possible.
  const std::size_t memory_limit = 16U << 20;
  const std::string incomplete_frame = encode_large_request(1, request_id(999), 262'000).substr(0, 250'000);
  std::vector<FakeStreamPtr> clients;
  std::size_t buffered_bytes = 0;
  for (std::size_t i = 0; i < 200; ++i) {
    const auto client = connect_client();
    client->deliver(incomplete_frame);
    clients.push_back(client);
  }
  const auto go_away = encode_frame(64, 0, "");
  for (const auto& client : clients) {
    if (client->written.empty()) {
      EXPECT_FALSE(client->writing_shut_down || client->closed);
      buffered_bytes += incomplete_frame.size();
      continue;
    }
    // Rejected at the memory limit, or closed at the descriptor limit, or both.
    EXPECT_EQ(client->writing_shut_down, client->written.ends_with(go_away));
    if (client->writing_shut_down) client->written.resize(client->written.size() - go_away.size());
    if (client->written.empty()) continue;
    EXPECT_EQ(read_responses(*client), (std::vector<std::pair<std::uint32_t, int>>{{1, 1}}));
  }
  EXPECT_LT(buffered_bytes, memory_limit / 2);
  EXPECT_GT(buffered_bytes, memory_limit / 8) << "expected no frame to be rejected while memory is left";
  connect_client()->deliver(encode_request(1, request_id(1)));
  EXPECT_EQ(received_tickets().size(), 1U) << "expected a complete frame to be accepted at the limit";
  for (const auto& client : clients) client->reset();
  // Complete requests with large statements: those beyond the memory limit are rejected.
  std::size_t sent = 0;
  std::vector<FakeStreamPtr> large_clients;
  for (unsigned c = 0; c < 8; ++c) {
    const auto client = large_clients.emplace_back(connect_client());
    for (unsigned n = 1; n <= 32; ++n) {
      client->deliver(encode_large_request(n, request_id(1000 + 32 * c + n), 200'000));
      ++sent;
    }
  }
  EXPECT_LT(received_tickets().size() * 200'000, memory_limit / 2);
  EXPECT_GT(received_tickets().size(), 16U);
  std::size_t rejected = 0;
  for (const auto& client : large_clients) {
    for (const auto& [stream, code] : read_responses(*client)) rejected += code == 1 ? 1 : 0;
    EXPECT_FALSE(client->writing_shut_down);
  }
  EXPECT_EQ(last_body_, std::string("\x01w\0\x03", 4) + "700") << "expected a retry-after of 700 ms";
  EXPECT_EQ(received_tickets().size() - 1 + rejected, sent)
      << "expected an immediate response to each rejected request";
}

// Clients fill the buffers with incomplete frames. A client that has a request open sends a large one on the same
// connection. Its first request must get its answer, and its frame comes before those of clients that wait for
// nothing.
TEST_F(Platform, IncompleteFramesOfClientsWithoutOpenRequestsAreRejectedFirst) {
  const auto client = connect_client();
  const auto ticket = send_request(client, 1);
  std::vector<FakeStreamPtr> others;
  for (unsigned n = 0; n < 16; ++n) {
    others.push_back(connect_client());
    others.back()->deliver(encode_large_request(1, request_id(100 + n), 261'000).substr(0, 250'000));
    advance_to(now_ + 1ms);
    EXPECT_TRUE(others.back()->written.empty()) << "expected no rejection while memory is left";
  }
  const auto large = encode_large_request(2, request_id(2), 250'000);
  client->deliver(large.substr(0, 100'000));
  client->deliver(large.substr(100'000, 140'000));
  EXPECT_EQ(read_responses(*others[0]), (std::vector<std::pair<std::uint32_t, int>>{{1, 1}}))
      << "expected the frame that began first to be rejected, with code 1: it never ran";
  EXPECT_EQ(last_body_, std::string("\x01w\0\x03", 4) + "700") << "expected a retry-after of 700 ms";
  EXPECT_TRUE(others[1]->written.empty()) << "expected only as many rejections as needed";
  client->deliver(large.substr(240'000));
  ASSERT_EQ(received_tickets().size(), 2U);
  execute(router::Command(router::FinishRequest{ticket, router::FinalStatus::failed, 500ms}));
  EXPECT_EQ(read_responses(*client), (std::vector<std::pair<std::uint32_t, int>>{{1, 2}}));
  EXPECT_FALSE(client->writing_shut_down);
  // The rejected frame is discarded as it arrives, also where the next frame follows in the same bytes.
  const auto rejected = encode_large_request(1, request_id(100), 261'000);
  others[0]->deliver(rejected.substr(250'000, 5'000));
  others[0]->deliver(rejected.substr(255'000) + encode_request(2, request_id(3)));
  EXPECT_EQ(received_tickets().size(), 3U);
  // A frame that was rejected and never ends is closed like any other incomplete frame.
  others[1]->written.clear();
  advance_to(now_ + 3s);
  EXPECT_TRUE(others[1]->writing_shut_down);
}

// All buffered bytes belong to clients that wait for an answer. Then the frame that began first is rejected by
// itself, and no open request is forgotten.
TEST_F(Platform, IncompleteFrameOfAClientWithOpenRequestsIsRejectedAlone) {
  std::vector<FakeStreamPtr> clients;
  for (unsigned n = 1; n <= 5; ++n) {
    clients.push_back(connect_client());
    for (unsigned stream = 1; stream <= 4; ++stream)
      clients.back()->deliver(encode_large_request(stream, request_id(10 * n + stream), 200'000));
  }
  ASSERT_EQ(received_tickets().size(), 20U);
  const auto client = clients.front();
  const auto large = encode_large_request(5, request_id(5), 250'000);
  client->deliver(large.substr(0, 100'000));
  EXPECT_TRUE(client->written.empty());
  client->deliver(large.substr(100'000, 120'000));
  EXPECT_EQ(read_responses(*client), (std::vector<std::pair<std::uint32_t, int>>{{5, 1}}));
  EXPECT_EQ(last_body_, std::string("\x01w\0\x03", 4) + "700");
  client->deliver(large.substr(220'000));
  const auto tickets = received_tickets();
  EXPECT_EQ(tickets.size(), 20U) << "expected the rejected request not to be submitted";
  for (const auto ticket : tickets)
    execute(router::Command(router::FinishRequest{ticket, router::FinalStatus::failed, 500ms}));
  for (const auto& each : clients) EXPECT_EQ(read_responses(*each).size(), each == client ? 5U : 4U);
  client->deliver(encode_request(6, request_id(6)));
  EXPECT_EQ(received_tickets().size(), 21U)
      << "expected the connection to be usable after the rejected frame";
}

// A rejection promises that a retry does no harm. An incomplete frame may repeat a request that may have run.
TEST_F(Platform, IncompleteFrameOfARequestThatMayHaveRunFails) {
  const auto open = connect_client();
  open->deliver(encode_request(1, request_id(1), "load"));
  dispatch_attempt(received_tickets().back(), 0, 7);
  const auto client = connect_client();
  const auto fill = [&](const std::string& frame) {
    client->written.clear();
    std::vector<FakeStreamPtr> others;
    client->deliver(frame.substr(0, 240'000));
    for (unsigned n = 0; n < 20 && client->written.empty(); ++n) {
      advance_to(now_ + 1ms);
      others.push_back(connect_client());
      others.back()->deliver(encode_large_request(1, request_id(100 + n), 261'000).substr(0, 250'000));
    }
    for (const auto& other : others) other->reset();
    client->deliver(frame.substr(240'000));
    return read_responses(*client);
  };
  using Responses = std::vector<std::pair<std::uint32_t, int>>;
  EXPECT_EQ(fill(encode_large_request(1, request_id(1), 250'000, "load")), (Responses{{1, 2}}));
  EXPECT_EQ(fill(encode_large_request(2, request_id(2), 250'000, "load")), (Responses{{2, 1}}));
  // Fields that have not all arrived: the id is unknown.
  std::string fields(1, 1);
  for (int n = 0; n < 5; ++n) fields += "\x01z" + std::string("\xff\xff", 2) + std::string(65'535, 'z');
  fields[0] = 5;
  EXPECT_EQ(fill(encode_frame(2, 3, fields.substr(0, 262'000))), (Responses{{3, 2}}));
  EXPECT_FALSE(client->writing_shut_down);
}

TEST_F(Platform, ClosesAClientThatNeverReadsBeforeItsResponsesFillTheMemory) {
  const auto client = connect_client();
  client->write_blocked = true;
  std::string readiness_queries;
  for (int i = 0; i < 1000; ++i) readiness_queries += encode_frame(16, 0, std::string(1, '\0'));
  std::size_t sent = 0;
  for (; !client->closed && sent < (8U << 20); sent += readiness_queries.size())
    client->deliver(readiness_queries);
  EXPECT_LT(sent, 8U << 20);
}

TEST_F(Platform, AcceptsNoClientAtTheDescriptorLimitUntilAnotherHasClosed) {
  std::vector<FakeStreamPtr> busy;
  while (shard_.can_accept_client()) {
    busy.push_back(connect_client());
    send_request(busy.back(), static_cast<unsigned>(busy.size()));
    ASSERT_LE(busy.size(), 64U) << "expected at most 64 clients, the number of all descriptors";
  }
  // Of the 64 descriptors, those for engines, for deletions and for the process itself stay available.
  EXPECT_LE(busy.size() + config_.engines.connections + config_.platform->removals + 16, 64U);
  EXPECT_FALSE(shard_.can_accept_client());
  execute(router::Command(
      router::FinishRequest{received_tickets().front(), router::FinalStatus::rejected, 500ms}));
  EXPECT_FALSE(shard_.can_accept_client()) << "expected the idle client to be closing gracefully first";
  EXPECT_TRUE(busy.front()->writing_shut_down);
  busy.front()->reset();
  EXPECT_TRUE(shard_.can_accept_client());
}

// A request that the client sends while its idle connection is being closed must not run.
TEST_F(Platform, ClosesAnIdleClientGracefullyAndIgnoresItsLaterRequests) {
  const auto client = connect_client();
  client->deliver(encode_frame(16, 0, std::string(1, '\0')));
  client->written.clear();
  advance_to(now_ + config_.listen.idle_time + 300ms);
  EXPECT_EQ(client->written, encode_frame(64, 0, "")) << "expected a go-away frame";
  EXPECT_TRUE(client->writing_shut_down);
  EXPECT_FALSE(client->closed)
      << "expected a graceful close: unread bytes at a close would reset the connection";
  client->deliver(encode_request(1, request_id(1)));
  EXPECT_TRUE(received_tickets().empty());
  advance_to(now_ + 600ms);
  EXPECT_TRUE(client->closed);
}

TEST_F(Platform, ShutdownClosesEachClientGracefully) {
  const auto idle = connect_client(), other = connect_client();
  idle->deliver(encode_frame(16, 0, std::string(1, '\0')));
  shard_.stop_serving();
  const auto ticket = send_request(other, 1);  // requests are still accepted
  execute(router::Command(router::FinishRequest{ticket, router::FinalStatus::rejected, 500ms}));
  advance_to(now_ + 600ms);
  EXPECT_FALSE(other->writing_shut_down);
  shard_.begin_shutdown();
  EXPECT_TRUE(idle->writing_shut_down && other->writing_shut_down);
  EXPECT_TRUE(other->written.ends_with(encode_frame(64, 0, "")));
  other->deliver(encode_request(2, request_id(2)));
  EXPECT_EQ(received_tickets().size(), 1U);
  EXPECT_FALSE(shard_.shutdown_complete());
  idle->reset();
  other->reset();
  EXPECT_TRUE(shard_.shutdown_complete());
}

TEST_F(Platform, ShutdownAnswersOpenRequestsBeforeClosingTheirConnection) {
  const auto client = connect_client();
  const auto ticket = send_request(client, 1);
  shard_.stop_serving();
  shard_.begin_shutdown();
  EXPECT_FALSE(client->writing_shut_down);
  client->deliver(encode_request(2, request_id(2)));
  EXPECT_EQ(received_tickets().size(), 1U) << "expected no further request to be accepted";
  EXPECT_FALSE(shard_.shutdown_complete());
  execute(router::Command(router::FinishRequest{ticket, router::FinalStatus::rejected, 500ms}));
  EXPECT_TRUE(client->writing_shut_down);
  ASSERT_TRUE(client->written.ends_with(encode_frame(64, 0, "")));
  client->written.resize(client->written.size() - 9);
  EXPECT_EQ(read_responses(*client), (std::vector<std::pair<std::uint32_t, int>>{{1, 1}}));
}

// During the shutdown a client goes on to send large requests while it waits for an answer. They are discarded; a
// close would take the answer with it.
TEST_F(Platform, ShutdownAnswersOpenRequestsOfAClientThatGoesOnSending) {
  const auto client = connect_client();
  const auto ticket = send_request(client, 1);
  shard_.stop_serving();
  shard_.begin_shutdown();
  for (unsigned n = 2; n <= 4; ++n) client->deliver(encode_large_request(n, request_id(n), 200'000));
  EXPECT_FALSE(client->closed);
  EXPECT_EQ(received_tickets().size(), 1U);
  execute(router::Command(router::FinishRequest{ticket, router::FinalStatus::failed, 500ms}));
  EXPECT_TRUE(client->writing_shut_down);
  ASSERT_TRUE(client->written.ends_with(encode_frame(64, 0, "")));
  client->written.resize(client->written.size() - 9);
  EXPECT_EQ(read_responses(*client), (std::vector<std::pair<std::uint32_t, int>>{{1, 2}}));
  // Once nothing is owed, a client that ignores the go-away frame is disconnected.
  client->deliver(encode_large_request(5, request_id(5), 200'000));
  EXPECT_FALSE(client->closed);
  client->deliver(encode_large_request(6, request_id(6), 200'000));
  EXPECT_TRUE(client->closed);
}

TEST_F(Platform, ClosesAClientThatOnlyCancelsUnknownStreams) {
  const auto client = connect_client();
  client->deliver(encode_frame(8, 3, ""));
  advance_to(now_ + 2300ms);
  EXPECT_EQ(read_responses(*client), (std::vector<std::pair<std::uint32_t, int>>{{0, 2}}));
  EXPECT_TRUE(client->writing_shut_down);
}

TEST_F(Platform, LimitsClosingConnectionsIfManyClientsSendNothing) {
  std::vector<FakeStreamPtr> clients;
  for (std::size_t i = 0; i < 4 * config_.listen.connections; ++i) clients.push_back(connect_client());
  const auto open_count = std::ranges::count_if(clients, [](const auto& client) { return !client->closed; });
  EXPECT_LE(static_cast<std::size_t>(open_count), config_.listen.connections + 64 / 32);
}

TEST_F(Platform, MalformedFrameClosesOnlyItsOwnConnection) {
  const auto valid = connect_client(), invalid = connect_client();
  const auto ticket = send_request(valid, 1);
  invalid->deliver(encode_request(1, request_id(2)));
  std::string oversized_length;
  put_u32(oversized_length, 60'000'000);
  invalid->deliver(oversized_length);
  EXPECT_EQ(read_responses(*invalid), (std::vector<std::pair<std::uint32_t, int>>{{0, 2}}));
  EXPECT_TRUE(invalid->writing_shut_down);
  EXPECT_TRUE(std::holds_alternative<ClientDisconnected>(published_events_.back().event))
      << "expected the open request to be reported as disconnected";
  for (int i = 0; i < 100 && !invalid->closed; ++i) invalid->deliver(std::string(16 << 10, 'x'));
  EXPECT_TRUE(invalid->closed) << "expected a close after the limit of discarded bytes";
  execute(router::Command(router::FinishRequest{ticket, router::FinalStatus::rejected, 500ms}));
  EXPECT_EQ(read_responses(*valid), (std::vector<std::pair<std::uint32_t, int>>{{1, 1}}));
}

TEST_F(Platform, InvalidRequestsAreRejectedOnceAndNeverSubmitted) {
  const auto client = connect_client();
  client->deliver(encode_request(1, request_id(1), "gossip") +
                  encode_request(2, request_id(2), "lookup", "nobody") + encode_request(3, "xyz") +
                  encode_request(4, request_id(4), "lookup", "acme", "0"));
  EXPECT_EQ(read_responses(*client),
            (std::vector<std::pair<std::uint32_t, int>>{{1, 1}, {2, 1}, {3, 1}, {4, 1}}));
  EXPECT_TRUE(received_tickets().empty());
  client->deliver(encode_request(5, request_id(5)));
  EXPECT_EQ(received_tickets().size(), 1U) << "expected the connection to stay usable";
  connect_client()->deliver(encode_request(1, request_id(5)));
  EXPECT_EQ(received_tickets().size(), 1U) << "expected the id of an open request to be rejected";
  for (unsigned n = 6; n <= 40; ++n) client->deliver(encode_request(n, request_id(n)));
  EXPECT_EQ(received_tickets().size(), 32U) << "expected at most 32 open requests";
}

TEST_F(Platform, ReusedStreamNumberClosesTheConnection) {
  const auto client = connect_client();
  client->deliver(encode_request(1, request_id(1)) + encode_request(1, request_id(2)));
  EXPECT_EQ(read_responses(*client), (std::vector<std::pair<std::uint32_t, int>>{{0, 2}}));
  EXPECT_TRUE(std::holds_alternative<ClientDisconnected>(published_events_.back().event));
}

TEST_F(Platform, CancelledStreamGetsNoResponse) {
  const auto client = connect_client();
  const auto ticket = send_request(client, 1);
  client->deliver(encode_frame(8, 1, "") + encode_frame(8, 9, ""));
  EXPECT_TRUE(std::holds_alternative<ClientDisconnected>(published_events_.back().event));
  execute(router::Command(router::FinishRequest{ticket, router::FinalStatus::rejected, 500ms}));
  EXPECT_TRUE(client->written.empty());
}

TEST_F(Platform, ConnectionsWithoutACompleteFrameTimeOutAndAreEvictedFirst) {
  const auto silent = connect_client(), incomplete = connect_client(), idle = connect_client();
  incomplete->deliver(encode_request(1, request_id(1)).substr(0, 20));
  idle->deliver(encode_frame(16, 0, std::string(1, '\0')));
  advance_to(now_ + 2300ms);
  EXPECT_TRUE(silent->writing_shut_down);
  EXPECT_TRUE(incomplete->writing_shut_down);
  EXPECT_FALSE(idle->writing_shut_down || idle->closed);
  std::vector<FakeStreamPtr> later_clients{connect_client()};
  advance_to(now_ + 160ms);
  for (std::size_t i = 1; i < config_.listen.connections; ++i) later_clients.push_back(connect_client());
  EXPECT_FALSE(idle->writing_shut_down || idle->closed);
  EXPECT_TRUE(later_clients.front()->writing_shut_down)
      << "expected the client that has sent no frame to be evicted before the idle one";
}

// The first request of a client that has just connected may be in transit.
TEST_F(Platform, JustConnectedClientIsEvictedLast) {
  const auto idle = connect_client();
  idle->deliver(encode_frame(16, 0, std::string(1, '\0')));
  std::vector<FakeStreamPtr> later_clients;
  for (std::size_t i = 0; i < config_.listen.connections; ++i) {
    ASSERT_TRUE(shard_.can_accept_client());
    later_clients.push_back(connect_client());
  }
  EXPECT_TRUE(idle->writing_shut_down);
  for (const auto& client : later_clients) {
    EXPECT_FALSE(client->writing_shut_down);
    client->deliver(encode_request(1, request_id(static_cast<unsigned>(received_tickets().size()) + 1)));
  }
  EXPECT_EQ(received_tickets().size(), later_clients.size());
}

}  // namespace
}  // namespace heronwell::path
