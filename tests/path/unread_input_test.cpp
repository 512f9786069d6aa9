#include "path/unread_input.hpp"

#include <gtest/gtest.h>

namespace heronwell::path {
namespace {

using namespace std::chrono_literals;

constexpr Time kNow = 100s;
constexpr std::size_t kReadBytes = 16 << 10;

// Number of turns until the wait ends while `read` of the unread bytes are read in each turn and nothing more arrives.
unsigned turns_until_start(UnreadInputWait& wait, std::size_t unread, std::size_t read) {
  std::uint64_t done = 0;
  unsigned turns = 0;
  while (wait.continues(unread > 0 ? std::optional(UnreadInput{done, unread}) : std::nullopt, kNow)) {
    const auto bytes = std::min(unread, read);
    done += bytes;
    unread -= bytes;
    if (++turns > 10'000) break;
  }
  return turns;
}

TEST(UnreadInputWait, EndsAtOnceIfNothingIsUnread) {
  UnreadInputWait wait;
  EXPECT_FALSE(wait.continues(std::nullopt, kNow));
}

TEST(UnreadInputWait, LastsUntilAllInputIsReadThatHadArrived) {
  for (const std::size_t unread : {std::size_t{1}, kReadBytes, 10 * kReadBytes + 1, 400 * kReadBytes}) {
    UnreadInputWait wait;
    EXPECT_EQ(turns_until_start(wait, unread, kReadBytes), (unread + kReadBytes - 1) / kReadBytes);
  }
}

TEST(UnreadInputWait, AllowsATurnWithoutInputBetweenTwoReads) {
  UnreadInputWait wait;
  std::uint64_t read = 0;
  constexpr std::uint64_t kAll = 5 * kReadBytes;
  for (unsigned turn = 0; read < kAll; ++turn) {
    ASSERT_TRUE(wait.continues(UnreadInput{read, kAll - read}, kNow)) << turn;
    if (turn % 2 == 1) read += kReadBytes;
  }
  EXPECT_FALSE(wait.continues(std::nullopt, kNow));
}

// The end of the connection is unread behind the last byte, and takes turns of its own to be read.
TEST(UnreadInputWait, LastsUntilTheEndBehindTheLastByteCanBeRead) {
  UnreadInputWait wait;
  ASSERT_TRUE(wait.continues(UnreadInput{0, 100}, kNow));
  EXPECT_TRUE(wait.continues(UnreadInput{100, 0}, kNow)) << "expected a turn that detects the end";
  EXPECT_FALSE(wait.continues(std::nullopt, kNow)) << "expected the start, as the end was read";
}

TEST(UnreadInputWait, DoesNotCoverWhatAClientSendsMeanwhile) {
  UnreadInputWait wait;
  std::uint64_t read = 0;
  unsigned turns = 0;
  while (wait.continues(UnreadInput{read, kReadBytes}, kNow) && ++turns < 100) read += kReadBytes;
  EXPECT_LT(turns, 5U);
}

// If reading takes long, the client may have left meanwhile.
TEST(UnreadInputWait, BeginsAgainIfReadingTookLong) {
  UnreadInputWait wait;
  ASSERT_TRUE(wait.continues(UnreadInput{0, 100}, kNow));
  const auto later = kNow + 60ms;
  for (int turn = 0; turn < 2; ++turn) ASSERT_TRUE(wait.continues(UnreadInput{100, 200}, later));
  EXPECT_TRUE(wait.continues(UnreadInput{200, 100}, later)) << "expected the wait to cover the newer input";
  EXPECT_FALSE(wait.continues(std::nullopt, later));
}

// On a slow thread each turn takes longer than the greatest age of input. A client that sends often would wait forever.
TEST(UnreadInputWait, EndsOnASlowThreadAlthoughTheClientGoesOnSending) {
  UnreadInputWait wait;
  auto now = kNow;
  std::uint64_t read = 0;
  unsigned turns = 0;
  while (wait.continues(UnreadInput{read, 100}, now) && turns < 100) {
    ++turns;
    read += 100;
    now += 60ms;
  }
  EXPECT_LT(turns, 10U);
  EXPECT_GT(turns, 3U) << "expected the wait to begin again at least once";
}

TEST(UnreadInputWait, EndsIfNothingIsReadAnyMore) {
  UnreadInputWait wait;
  unsigned turns = 0;
  while (wait.continues(UnreadInput{0, 100}, kNow) && turns < 100) ++turns;
  EXPECT_LT(turns, 10U);
}

}  // namespace
}  // namespace heronwell::path
