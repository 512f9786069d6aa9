// Engine time used, from router to router, so that all hold back the same groups.
//
// Rule: a message carries running sums of engine time by group, those of groups that changed, not sent for
// longest first. A receiver charges the difference to the last sum of that sender; the first sum of a sender,
// or of one that restarted, charges nothing.
//
// Inputs: thread-seconds of groups; messages of at most kMaxMessageBytes. Output: messages; thread-seconds
// used elsewhere by group. On the wire: kFirstByte, 8 bytes that name the start of the sums, then for each
// group 6 bytes of its path's hash and 6 of its sum in thread-milliseconds. Failure: datagrams are lost, come
// twice or late; with differences in them, a group would stay undercharged or be charged twice on that router
// for good. Guard: sums, so that the next message makes good for a lost one.
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
  static constexpr std::size_t kMaxMessageBytes =
      256;                                 // a fraction of a datagram, beside the decision engine's
  static constexpr char kFirstByte = 'g';  // the decision engine's begin with others

  ShareGossip(const ShareContext& context, GroupNodes& nodes) : context_(context), nodes_(nodes) {}

  // The sums of this router begin at its first time; later calls change nothing.
  void begin(Time now);
  void add_group(GroupNumber group);
  void remove_group(GroupNumber group);
  void clear_groups();
  // The engine time used here by the leaf has changed.
  void changed(GroupNumber leaf) { changed_.insert({nodes_[leaf].last_gossip_message, leaf}); }

  std::vector<std::string> messages(std::size_t most);
  struct Used {
    GroupNumber leaf = kRootGroup;
    double thread_seconds = 0;
  };
  // What was used on the sender since its last message; nothing of one that is malformed.
  std::vector<Used> receive(std::uint32_t from, std::string_view bytes);
  // Routers that were heard from lately.
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
  std::set<std::pair<std::uint64_t, GroupNumber>> changed_;  // by the message that last carried the group
  std::map<std::uint32_t, Received> received_;               // by router
  std::uint64_t messages_sent_ = 0;
  std::uint64_t sums_epoch_ = 0;  // 0: not yet
};

}  // namespace heronwell::groups
