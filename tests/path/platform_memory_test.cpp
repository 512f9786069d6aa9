// Tests that the memory of a shard in platform mode stays within its limit. They measure the heap, not the
// shard's own account of its buffers.
#include <random>

#include "../support/heap_counter.hpp"
#include "platform_fixture.hpp"

namespace heronwell::path {
namespace {

// The configuration gives the router 16 MB. A quarter of it is for buffers.
constexpr std::size_t kBufferLimitBytes = (16U << 20) / 4;
// What may come on top of the limit: the pieces that are being read and copied when the limit is checked, and the
// test's own records.
constexpr std::size_t kSlackBytes = 1U << 20;
constexpr std::size_t kPieceBytes = 16U << 10;  // read from a socket at once

class PlatformMemory : public Platform {
 protected:
  // The fake streams record what was written to them, which is not the shard's memory.
  void forget_written() {
    for (const auto& stream : dialled_) std::string().swap(stream->written);
  }
};

// Clients send large requests and take each back. The buffer of each connection grows, and the next request begins
// in the bytes that end the one before, so it is never empty. Its capacity counts, not what it holds.
TEST_F(PlatformMemory, StaysWithinTheLimitWhileClientsSendLargeRequestsAndTakeThemBack) {
  constexpr std::size_t kClients = 20;
  constexpr unsigned kRequests = 40;
  std::minstd_rand random(20261204);
  std::vector<FakeStreamPtr> clients;
  for (std::size_t i = 0; i < kClients; ++i) clients.push_back(connect_client());
  std::vector<std::string> input(kClients);
  std::vector<unsigned> sent(kClients, 0);
  const auto before = test::heap_bytes();
  std::size_t most = 0, tested = 0;
  while (std::ranges::any_of(sent, [](unsigned n) { return n < kRequests; })) {
    std::size_t own = 0;
    for (std::size_t i = 0; i < kClients; ++i) {
      if (input[i].size() < kPieceBytes && sent[i] < kRequests) {
        const auto stream = ++sent[i];
        const auto spaces = std::uniform_int_distribution<std::size_t>(20'000, 260'000)(random);
        input[i] += encode_large_request(stream, request_id(100 * static_cast<unsigned>(i) + stream), spaces);
        input[i] += encode_frame(8, stream, "");
        input[i].shrink_to_fit();
      }
      clients[i]->deliver(input[i].substr(0, std::min(kPieceBytes, input[i].size())));
      input[i].erase(0, kPieceBytes);
      std::string().swap(clients[i]->written);
      own += input[i].capacity();
    }
    published_events_.clear();
    published_events_.shrink_to_fit();
    most = std::max(most, test::heap_bytes() - before - own);
    ++tested;
    advance_to(now_ + 5ms);
  }
  EXPECT_GT(tested, 100U);
  EXPECT_LT(most, kBufferLimitBytes + kSlackBytes);
  EXPECT_FALSE(clients[0]->closed);
}

// Large starts leave no memory behind: neither in the buffers of the engine connections that carried them, nor in
// the requests that are over while their queries are still being deleted.
TEST_F(PlatformMemory, IsReleasedAfterLargeStartsAndWhileTheirQueriesAreDeleted) {
  constexpr unsigned kQueries = 12;
  const auto client = connect_client();
  const auto before = test::heap_bytes();
  for (unsigned n = 1; n <= kQueries; ++n) {
    client->deliver(encode_large_request(n, request_id(n), 200'000));
    dispatch_attempt(received_tickets().back(), 0, n % 2 == 0 ? 7 : 8);
    dialled_.back()->connect();
  }
  forget_written();
  // Each statement is kept once, for a retry.
  EXPECT_LT(test::heap_bytes() - before, kQueries * 200'000 + kSlackBytes);
  for (unsigned n = 1; n <= kQueries; ++n) client->deliver(encode_frame(8, n, ""));
  for (const auto ticket : received_tickets()) execute(router::Command(router::StopAttempt{ticket, 0}));
  ASSERT_GT(dialled_.size(), kQueries) << "expected connections that delete the queries";
  EXPECT_LT(test::heap_bytes() - before, kSlackBytes) << "expected no statement to be kept for a deletion";
}

TEST_F(PlatformMemory, RejectionsAtTheLimitAreLoggedOnceAMinute) {
  auto reject_one = [&, n = 0U]() mutable {
    std::vector<FakeStreamPtr> clients;
    for (unsigned i = 0; i < 18; ++i) {
      clients.push_back(connect_client());
      clients.back()->deliver(encode_large_request(1, request_id(++n), 261'000).substr(0, 250'000));
    }
    for (const auto& client : clients) client->reset();
  };
  reject_one();
  EXPECT_TRUE(logged_.empty());
  advance_to(now_ + 300ms);
  ASSERT_EQ(logged_.size(), 1U);
  EXPECT_TRUE(logged_[0].starts_with(
      R"({"event":"buffer_limit_exceeded","router":"n0","rejected":2,"limit_bytes":4194304,)"))
      << logged_[0];
  reject_one();
  advance_to(now_ + 59s);
  EXPECT_EQ(logged_.size(), 1U);
  advance_to(now_ + 2s);
  EXPECT_EQ(logged_.size(), 2U);
  advance_to(now_ + 120s);
  EXPECT_EQ(logged_.size(), 2U) << "expected no line without a rejection";
}

// The request that alone fills the limit is served.
TEST_F(PlatformMemory, LargestFrameIsServedAlone) {
  const auto client = connect_client();
  const auto frame = encode_large_request(1, request_id(1), 262'144 - 100, "load");
  for (std::size_t at = 0; at < frame.size(); at += kPieceBytes)
    client->deliver(frame.substr(at, kPieceBytes));
  ASSERT_EQ(received_tickets().size(), 1U);
  dispatch_attempt(received_tickets()[0], 0, 7);
  dialled_[0]->connect();
  EXPECT_GT(dialled_[0]->written.size(), 262'000U);
  deliver_result(dialled_[0], kRows);
  EXPECT_EQ(attempt_results(), std::vector{AttemptResult::served});
}

}  // namespace
}  // namespace heronwell::path
