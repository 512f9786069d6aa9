// GroupViews describes each group for operators: its settings, its configured and actual share of engine
// time, and its limits.
//
// The configured share follows from the weights alone, over all levels. The actual share is the part of the
// engine time recently used on this router and on those that send gossip. The difference is lent to other
// groups or, if negative, borrowed from them. Describing a tree of thousands of groups at once would delay
// the decision thread, and answers would be late whenever an operator looks; `scan` therefore describes a few
// groups per call.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "groups/group_node.hpp"

namespace heronwell::groups {

struct GroupView {
  std::string path;
  unsigned depth = 0;
  bool made = false;
  double weight = 1, min_threads = 0, max_threads = 0;
  double share_set = 0;  // share of the engines by weights alone, 0 to 1
  double share_got = 0;  // share of the engine time recently used on this router and those that send gossip
  double lent = 0;       // part of share_set that other groups use; negative: borrowed
  double used_s = 0;     // engine time on this router, thread-seconds since the start
  double used_elsewhere_s = 0;  // engine time on other routers, from their gossip
  std::size_t queued = 0;
  unsigned running = 0;                          // threads
  std::map<std::string, std::uint64_t> refused;  // rejected, by limit
};

class GroupViews {
 public:
  GroupViews(const ShareContext& context, const GroupNodes& nodes) : context_(context), nodes_(nodes) {}

  // Appends up to `max_count` groups starting at `next`, parents before children, siblings in the configured
  // order, and sets `next` to the following group. Returns false after the last group. If the group `next`
  // was removed meanwhile, sets `next` to 0, so that the scan starts over, and returns true.
  bool scan(GroupNumber& next, std::size_t max_count, std::vector<GroupView>& views) const;

 private:
  [[nodiscard]] std::optional<GroupNumber> after(GroupNumber group) const;
  [[nodiscard]] GroupView view(GroupNumber group, double total_recent) const;

  const ShareContext& context_;
  const GroupNodes& nodes_;
};

}  // namespace heronwell::groups
