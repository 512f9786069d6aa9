// ShareGossip exchanges the used engine time of groups between routers, so that all routers hold back the
// same groups.
//
// A message carries running sums of engine time by group. It contains only groups whose sum changed; the ones
// that were not sent for the longest time come first. The receiver charges the difference from the previous
// sum of the same sender. The first sum of a sender, or of a restarted sender, charges nothing.
//
// The input is thread-seconds by group and messages of at most kMaxMessageBytes; the output is messages and
// the thread-seconds used elsewhere by group. The format on the wire: kFirstByte, 8 bytes with the time at
// which the sender started its sums (they differ after a restart), then for each group 6 bytes of the hash of
// its path and 6 bytes of its sum in thread-milliseconds.
//
// Datagrams can be lost, duplicated or delayed. With differences in the messages, a group would remain
// undercharged or overcharged on that router forever; with sums, the next message corrects the error.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "groups/group_node.hpp"

namespace heronwell::groups {

class ShareGossip {
 public:
  // A fraction of a datagram; the messages are sent in addition to those of the decision engine.
  static constexpr std::size_t kMaxMessageBytes = 256;
  static constexpr char kFirstByte = 'g';  // differs from the first bytes of the decision engine's messages

  ShareGossip(const ShareContext& context, GroupNodes& nodes) : context_(context), nodes_(nodes) {}

  // Sets the identifier that each message of this router carries, so that the receivers notice a restart of
  // its sums. The identifier is the time of the first call; later calls have no effect.
  void start_sums(Time now);
  void add_group(GroupNumber group);
  void remove_group(GroupNumber group);
  void clear_groups();
  // Must be called when the engine time used by the leaf on this router has changed.
  void mark_changed(GroupNumber leaf) { changed_.insert({nodes_[leaf].last_gossip_message, leaf}); }

  // Returns up to `max_count` messages about changed groups.
  std::vector<std::string> messages(std::size_t max_count);
  struct Used {
    GroupNumber leaf = kRootGroup;
    double thread_seconds = 0;
  };
  // Returns the engine time used on the sender since its last message. A malformed message is ignored.
  std::vector<Used> receive(std::uint32_t from, std::string_view bytes);
  // Number of other routers from which a message was received recently.
  [[nodiscard]] std::size_t live_routers() const;

 private:
  struct Received {
    std::uint64_t epoch = 0;
    Time last{};
    std::map<std::uint64_t, std::uint64_t> sums;  // by the hash of a path, thread-milliseconds
  };
  std::string next_message();

  const ShareContext& context_;
  GroupNodes& nodes_;
  std::map<std::uint64_t, GroupNumber> by_hash_;
  // Ordered by the number of the message that last carried the group.
  std::set<std::pair<std::uint64_t, GroupNumber>> changed_;
  std::map<std::uint32_t, Received> received_;  // by router
  std::uint64_t messages_sent_ = 0;
  std::uint64_t sums_epoch_ = 0;  // 0: not set yet
};

}  // namespace heronwell::groups
