// GossipDatagramCodec authenticates the datagrams between routers and rejects replayed ones. It seals and
// opens datagrams and has no socket (see gossip_socket.hpp). The decision engine defines the payload
// (decision/gossip_codec.hpp).
//
// Layout of a datagram, with big-endian integers:
//
//     magic "hwp1" | sender u32 | epoch u64 | sequence u64 | payload (0 to 256 bytes) | MAC, 32 bytes
//
// The MAC (libsodium crypto_auth, HMAC-SHA-512-256) covers all bytes before it. `epoch` identifies a start of
// the sender and increases with each restart. A restarted router begins its sequence at 1 again; without the
// epoch, its datagrams would be rejected as replays of those before the restart.
//
// A receiver accepts each (sender, epoch, sequence) at most once. Because datagrams may arrive out of order,
// it remembers which of the 64 latest sequence numbers it has accepted. It rejects older ones, because it
// cannot distinguish them from a replay, and datagrams of an earlier epoch than the latest it has accepted.
//
// A codec must be used by one thread only.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace heronwell::daemon {

// The maximum payload of a datagram. With its header and MAC, such a datagram is far below the smallest MTU
// of IPv6 (1280 bytes), so that no datagram is fragmented.
inline constexpr std::size_t kMaxGossipPayloadBytes = 256;

// The reason why a datagram is rejected.
enum class DatagramFault {
  none,       // accepted
  malformed,  // wrong length or magic
  forged,     // the MAC does not match: the sender has another key, or bytes were changed
  replayed,   // accepted before, older than the replay window, or of an earlier epoch of the sender
  own         // sent by this router
};

class GossipDatagramCodec {
 public:
  // `key` contains the bytes of the key file; white space at its end is removed. Throws std::invalid_argument
  // if less than 32 bytes are left. `router_index` is the sender in sealed datagrams. `epoch` must increase
  // with each start of this router.
  GossipDatagramCodec(std::string_view key, std::uint32_t router_index, std::uint64_t epoch);

  // Returns a datagram with `payload` and the next sequence number. The payload must not exceed
  // kMaxGossipPayloadBytes, because other routers reject a longer datagram as malformed.
  [[nodiscard]] std::string seal(std::string_view payload);

  struct Opened {
    DatagramFault fault = DatagramFault::none;
    std::uint32_t from = 0;    // the sender; set and authentic only if `fault` is none, replayed or own
    std::string_view payload;  // refers to the bytes of the datagram
  };
  // Verifies `datagram`. An accepted one is entered in the replay window of its sender.
  [[nodiscard]] Opened open(std::string_view datagram);

 private:
  // The sequence numbers that were accepted from one sender.
  struct ReplayWindow {
    std::uint64_t epoch = 0;
    std::uint64_t highest = 0;   // sequence number
    std::uint64_t received = 0;  // bit i: highest - i was accepted
  };
  // Returns whether (epoch, sequence) is new, and enters it in `window` if it is.
  static bool accept(ReplayWindow& window, std::uint64_t epoch, std::uint64_t sequence);

  std::array<unsigned char, 32> key_{};
  std::uint32_t router_index_;
  std::uint64_t epoch_;
  std::uint64_t last_sequence_ = 0;                // of the last datagram that was sealed
  std::map<std::uint32_t, ReplayWindow> windows_;  // by sender
};

}  // namespace heronwell::daemon
