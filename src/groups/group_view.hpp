// What operators see of each group: its settings, its share of engine time as set and as used, and its
// limits.
//
// Rule: the share set is by weights alone, over all levels; the share used is of the engine time lately used
// on this router and those that gossip. The difference is lent to others, or borrowed from them. Failure: a
// tree of thousands of groups, described at once, holds up the decision thread; it shows as answers that are
// late whenever somebody looks. Guard: `scan` describes a few groups in each call.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "groups/group_node.hpp"

namespace heronwell::groups {

struct GroupView {  // of one group
  std::string path;
  unsigned depth = 0;
  bool made = false;
  double weight = 1, min_threads = 0, max_threads = 0;
  double share_set = 0;         // of the engines, by weights alone; 0 to 1
  double share_got = 0;         // of the engine time used lately on this router and those that gossip
  double lent = 0;              // of share_set, used by others for want of queries; negative: borrowed
  double used_s = 0;            // engine time on this router, thread-seconds since the start
  double used_elsewhere_s = 0;  // on others, from their gossip
  std::size_t queued = 0;
  unsigned running = 0;                          // threads
  std::map<std::string, std::uint64_t> refused;  // rejected, by limit
};

class GroupViews {
 public:
  GroupViews(const ShareContext& context, const GroupNodes& nodes) : context_(context), nodes_(nodes) {}

  // Appends up to `most` groups from `next` on, parents before children, siblings in the order written, and
  // sets `next` to the following one. False: that was the last. Where the next one was removed meanwhile, it
  // begins anew (`next` 0).
  bool scan(GroupNumber& next, std::size_t most, std::vector<GroupView>& views) const;

 private:
  [[nodiscard]] std::optional<GroupNumber> after(GroupNumber group) const;
  [[nodiscard]] GroupView view(GroupNumber group, double recent_of_all) const;

  const ShareContext& context_;
  const GroupNodes& nodes_;
};

}  // namespace heronwell::groups
