// GroupDispatch decides which queued requests of a class may start now: the dispatch order over the whole
// tree.
//
// From the root down, the first eligible child in sibling order may start a request. Its siblings may start
// requests beside it as their parent's policy allows: with `fair` those that are ahead by no more than the
// slack, with `strict` none that follow it, with `first_come` all. A child that runs fewer threads
// than its minimum precedes all others. A child at its ceiling is skipped.
//
// The first child in order holds back siblings that are too far ahead, so that threads become free for it. It
// does so only while it can use the threads that become free. A group may wait for something other than
// threads (an engine of its machine type, its ordering key), and all other groups would wait behind it; this
// shows as idle threads beside full queues. Therefore a group is skipped for some time if it started nothing
// although enough threads became free, or although threads were free for the duration of `patience`. The time
// doubles with each repetition, up to kMaxSkipTime.
//
// The inputs are the sibling order, the ceilings, and the number of threads that became free. The output is a
// short list of request ids, in order.
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

  // Returns the requests of the class that may start now, in order. The list is valid until the next call.
  const std::vector<RequestId>& next_requests(ClassIndex cls);
  // Returns the child that precedes its siblings now, in any class; none if no waiting child may start.
  std::optional<SiblingKey> first_in_order(GroupNumber parent);

  // Must be called when a group starts to wait. Clears its hold unless it was idle only briefly.
  void begin_to_wait(GroupNumber group);
  // Must be called when a queued request of the leaf has started. Clears the holds of the leaf and of all
  // groups above it until they are first again.
  void started(GroupNumber leaf);
  // Excludes the duration of a pause of this router from all holds, since no request was offered meanwhile.
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
