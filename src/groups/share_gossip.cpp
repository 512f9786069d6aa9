#include "groups/share_gossip.hpp"

#include <xxhash.h>

#include <algorithm>
#include <chrono>

#include "base/bytes.hpp"

namespace heronwell::groups {
namespace {

using namespace std::chrono_literals;

// A router that sent no message for this time is not counted in the fleet's threads. The time covers many
// messages, so that lost ones do not change the shares, but is short enough for an operator to see a dead
// router's threads leave the sum soon.
constexpr Time kRouterTimeout = 60s;

// Bytes of a hash and of a sum in thread-milliseconds, which does not overflow them in practice.
constexpr std::size_t kNumberBytes = 6;
constexpr std::size_t kHeaderBytes = 1 + 8;
constexpr std::size_t kEntryBytes = kNumberBytes + kNumberBytes;
constexpr double kMillisecondsPerSecond = 1000;

std::uint64_t hash_of(std::string_view path) { return XXH3_64bits(path.data(), path.size()) >> 16; }

void put_number(std::string& text, std::uint64_t number) {
  put_u16(text, static_cast<unsigned>(number >> 32));
  put_u32(text, static_cast<std::uint32_t>(number));
}

bool well_formed(std::string_view bytes) {
  return bytes.size() >= kHeaderBytes && bytes.size() <= ShareGossip::kMaxMessageBytes &&
         (bytes.size() - kHeaderBytes) % kEntryBytes == 0 && bytes[0] == ShareGossip::kFirstByte;
}

}  // namespace

void ShareGossip::start_sums(Time now) {
  if (sums_epoch_ == 0) sums_epoch_ = static_cast<std::uint64_t>(now.count()) | 1;
}

void ShareGossip::add_group(GroupNumber group) {
  by_hash_.emplace(hash_of(nodes_[group].settings.path), group);
}

void ShareGossip::remove_group(GroupNumber group) {
  const auto& node = nodes_[group];
  by_hash_.erase(hash_of(node.settings.path));
  changed_.erase({node.last_gossip_message, group});
}

void ShareGossip::clear_groups() {
  by_hash_.clear();
  changed_.clear();
}

std::size_t ShareGossip::live_routers() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      received_, [this](const auto& one) { return context_.now <= one.second.last + kRouterTimeout; }));
}

std::string ShareGossip::next_message() {
  std::string text(1, kFirstByte);
  put_u64(text, sums_epoch_);
  ++messages_sent_;
  while (!changed_.empty() && text.size() + kEntryBytes <= kMaxMessageBytes) {
    const auto group = changed_.begin()->second;
    changed_.erase(changed_.begin());
    auto& node = nodes_[group];
    node.last_gossip_message = messages_sent_;
    put_number(text, hash_of(node.settings.path));
    put_number(text,
               static_cast<std::uint64_t>(std::max(0.0, node.share.used_here) * kMillisecondsPerSecond));
  }
  return text;
}

std::vector<std::string> ShareGossip::messages(std::size_t max_count) {
  std::vector<std::string> all;
  while (!changed_.empty() && all.size() < max_count) all.push_back(next_message());
  return all;
}

std::vector<ShareGossip::Used> ShareGossip::receive(std::uint32_t from, std::string_view bytes) {
  std::vector<Used> used;
  if (!well_formed(bytes)) return used;
  ByteReader in(bytes.substr(1));
  const auto epoch = in.u64();
  auto& sender = received_[from];
  if (sender.epoch != epoch) sender = {epoch, {}, {}};
  sender.last = context_.now;
  while (!in.done()) {
    const auto hash = in.number(kNumberBytes);
    const auto sum = in.number(kNumberBytes);
    const auto before = sender.sums.find(hash);
    const auto group = by_hash_.find(hash);
    if (before != sender.sums.end() && group != by_hash_.end() && nodes_[group->second].leaf()) {
      // The difference is signed: a message that arrives after a newer one refunds what the newer one
      // charged.
      const auto difference = static_cast<std::int64_t>(sum - before->second);
      used.push_back({group->second, static_cast<double>(difference) / kMillisecondsPerSecond});
    }
    sender.sums[hash] = sum;
  }
  return used;
}

}  // namespace heronwell::groups
