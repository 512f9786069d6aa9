#include "groups/share_gossip.hpp"

#include <xxhash.h>

#include <algorithm>
#include <chrono>

#include "base/bytes.hpp"

namespace heronwell::groups {
namespace {

using namespace std::chrono_literals;

// A router unheard of for so long counts no more in the fleet's threads. Many messages, so that lost ones
// don't change the shares; no longer than an operator waits to see a dead router's threads taken from the
// sum.
constexpr Time kRouterLifetime = 60s;

constexpr std::size_t kNumberBytes = 6;  // of a hash, and of a sum: of thread-milliseconds, enough for good
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

void ShareGossip::begin(Time now) {
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
      received_, [this](const auto& one) { return context_.now <= one.second.last + kRouterLifetime; }));
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

std::vector<std::string> ShareGossip::messages(std::size_t most) {
  std::vector<std::string> all;
  while (!changed_.empty() && all.size() < most) all.push_back(next_message());
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
      // Signed: a message that was overtaken gives back what the one after it charged.
      const auto more = static_cast<std::int64_t>(sum - before->second);
      used.push_back({group->second, static_cast<double>(more) / kMillisecondsPerSecond});
    }
    sender.sums[hash] = sum;
  }
  return used;
}

}  // namespace heronwell::groups
