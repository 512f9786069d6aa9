// Which queued requests of a class may go now: the dispatch order over the whole tree.
//
// Rule: from the root down, the first eligible child in sibling order goes, and with it those that are ahead
// of it by no more than the slack (fair), those of its own place (strict) or all (first come); a child below
// its minimum goes before all others. Children at their ceiling are passed over.
//
// The first in order holds back those that are too far ahead, so that threads become free for it. It holds
// them back only while it can use what becomes free. Failure: the first group waits for something else than
// threads (an engine of its machine type, its ordering key) and all others wait behind it; it shows as idle
// threads beside full queues. Guard: a group that started nothing although enough threads became free, or
// threads stayed free for its patience, is passed by for a while, each time twice as long up to kMaxPassTime.
//
// Inputs: sibling order, ceilings, threads that became free. Output: request ids, in order, few at a time.
#pragma once

#include <optional>
#include <vector>

#include "groups/fair_shares.hpp"
#include "groups/group_limits.hpp"
#include "groups/group_request.hpp"

namespace heronwell::groups {

class GroupDispatch {
 public:
  GroupDispatch(const ShareContext& context, GroupNodes& nodes, const GroupRequests& requests,
                const GroupLimits& limits, FairShares& shares)
      : context_(context), nodes_(nodes), requests_(requests), limits_(limits), shares_(shares) {}

  // Valid until the next call.
  const std::vector<RequestId>& next_requests(ClassIndex cls);
  // The child that goes before its siblings now, in any class; none: no child waits that may go.
  std::optional<SiblingKey> first_in_order(GroupNumber parent);

  // The group begins to wait again.
  void begin_to_wait(GroupNumber group);
  // A queued request of the leaf has started: its groups hold nobody back until they are first again.
  void started(GroupNumber leaf);
  // This router stood still for so long: nobody's patience has run, since nothing was offered.
  void exclude_pause(Time duration);

 private:
  void start_hold(GroupNode& node) const;
  void start_holds(GroupNode& parent, ClassIndex cls);
  [[nodiscard]] unsigned min_queued_query_threads(const GroupNode& node) const;
  [[nodiscard]] bool update_skipping(GroupNode& node) const;
  void offer_group(GroupNumber group, ClassIndex cls, double share);
  void offer_children(GroupNumber parent, ClassIndex cls, double share);
  void offer_leaf(GroupNumber leaf, ClassIndex cls);
  [[nodiscard]] double max_concurrent_order(const GroupNode& parent, const SiblingKey& first,
                                            double rate) const;

  const ShareContext& context_;
  GroupNodes& nodes_;
  const GroupRequests& requests_;
  const GroupLimits& limits_;
  FairShares& shares_;
  std::vector<RequestId> offered_;
};

}  // namespace heronwell::groups
