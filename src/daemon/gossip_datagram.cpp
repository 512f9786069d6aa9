#include "daemon/gossip_datagram.hpp"

#include <sodium.h>

#include <stdexcept>

#include "base/bytes.hpp"

namespace heronwell::daemon {
namespace {

constexpr std::string_view kMagic = "hwp1";
constexpr std::size_t kHeaderBytes = 4 + 4 + 8 + 8;  // magic, sender, epoch, sequence
constexpr std::size_t kMacBytes = crypto_auth_BYTES;
constexpr std::size_t kMinKeyBytes = 32;         // the length of the MAC; a shorter key would weaken it
constexpr std::uint64_t kReplayWindowSize = 64;  // sequence numbers; one bit each in ReplayWindow::received

const unsigned char* as_bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

std::string_view without_trailing_space(std::string_view text) {
  const auto last = text.find_last_not_of(" \t\r\n");
  return text.substr(0, last == std::string_view::npos ? 0 : last + 1);
}

}  // namespace

GossipDatagramCodec::GossipDatagramCodec(std::string_view key, std::uint32_t router_index,
                                         std::uint64_t epoch)
    : router_index_(router_index), epoch_(epoch) {
  if (sodium_init() < 0) throw std::runtime_error("libsodium: initialization failed");
  key = without_trailing_space(key);
  if (key.size() < kMinKeyBytes) throw std::invalid_argument("peers.key_file: expected at least 32 bytes");
  crypto_generichash(key_.data(), key_.size(), as_bytes(key), key.size(), nullptr, 0);
}

std::string GossipDatagramCodec::seal(std::string_view payload) {
  std::string datagram(kMagic);
  put_u32(datagram, router_index_);
  put_u64(datagram, epoch_);
  put_u64(datagram, ++last_sequence_);
  datagram += payload;
  std::array<unsigned char, kMacBytes> mac{};
  crypto_auth(mac.data(), as_bytes(datagram), datagram.size(), key_.data());
  datagram.append(reinterpret_cast<const char*>(mac.data()), mac.size());
  return datagram;
}

GossipDatagramCodec::Opened GossipDatagramCodec::open(std::string_view datagram) {
  Opened opened;
  if (datagram.size() < kHeaderBytes + kMacBytes ||
      datagram.size() > kHeaderBytes + kMacBytes + kMaxGossipPayloadBytes || !datagram.starts_with(kMagic)) {
    opened.fault = DatagramFault::malformed;
    return opened;
  }
  const auto signed_part = datagram.substr(0, datagram.size() - kMacBytes);
  const auto mac = datagram.substr(signed_part.size());
  if (crypto_auth_verify(as_bytes(mac), as_bytes(signed_part), signed_part.size(), key_.data()) != 0) {
    opened.fault = DatagramFault::forged;
    return opened;
  }
  ByteReader reader(signed_part.substr(kMagic.size()));
  opened.from = reader.u32();
  const auto epoch = reader.u64();
  const auto sequence = reader.u64();
  opened.payload = reader.rest();
  if (opened.from == router_index_) {
    opened.fault = DatagramFault::own;
  } else if (!accept(windows_[opened.from], epoch, sequence)) {
    opened.fault = DatagramFault::replayed;
  }
  return opened;
}

bool GossipDatagramCodec::accept(ReplayWindow& window, std::uint64_t epoch, std::uint64_t sequence) {
  if (epoch < window.epoch) return false;
  if (epoch > window.epoch) {
    window = {epoch, sequence, 1};
    return true;
  }
  if (sequence > window.highest) {
    const auto advance = sequence - window.highest;
    window.received = (advance >= kReplayWindowSize ? 0 : window.received << advance) | 1;
    window.highest = sequence;
    return true;
  }
  const auto age = window.highest - sequence;
  if (age >= kReplayWindowSize || (window.received >> age & 1) != 0) return false;
  window.received |= 1ULL << age;
  return true;
}

}  // namespace heronwell::daemon
