// FairShares divides engine time among sibling groups by weight: start-time fair queueing on each level of
// the tree.
//
// Engine time is the number of threads multiplied by the seconds for which queries are in flight. The virtual
// time of a group is its used engine time divided by its weight. Among waiting siblings, the group with the
// smallest virtual time starts its request first. The floor of a parent is the smallest virtual time among
// its waiting children; it never decreases. When a group starts to wait again, its virtual time is the floor
// plus its earlier offset from the floor. That offset decays while the group is idle and is bounded by the
// settings `credit` (below the floor) and `debt` (above it).
//
// The inputs are thread-seconds used on this router or, as gossip reports, on other routers, the weights, and
// the number of threads of the fleet. The outputs are virtual times and floors, in thread-seconds per unit of
// weight, and the sums that operators see.
//
// The bounds and the decay prevent starvation. Without them, a group that was idle for hours would return
// with all its unused time and occupy the engines alone, and a group that borrowed for hours would never be
// served again. Such a fault shows as a group whose share is 0 or 1 while its siblings wait.
#pragma once

#include <optional>

#include "groups/sibling_order.hpp"

namespace heronwell::groups {

enum class UsedBy { this_router, other_router };

class FairShares {
 public:
  FairShares(const ShareContext& context, GroupNodes& nodes, SiblingOrder& order)
      : context_(context), nodes_(nodes), order_(order) {}

  // Charges `amount` thread-seconds to the leaf and all groups above it. A negative amount is a refund.
  void charge(GroupNumber leaf, double amount, UsedBy used_by);
  // Sets the virtual time of a group that starts to wait. Its parent must have the fair policy. `first` is
  // the first of the siblings that already wait, if any.
  void begin_to_wait(GroupNumber group, const std::optional<SiblingKey>& first);
  // Raises the floor to the virtual time of the first waiting child. The floor is never lowered.
  void raise_floor(GroupNumber parent, double virtual_time);
  void note_idle(GroupNumber group) { nodes_[group].share.idle_since = context_.now; }

  // Count a request that enters or leaves the leaf. Only groups with requests share the engine time.
  void count_request(GroupNumber leaf);
  void uncount_request(GroupNumber leaf);
  void set_weight(GroupNumber group, double weight);

  // Copies the use and the offset from the floor of a group to its new node after a reload. `before` and
  // `parent_before` are its old node and that of its old parent. A group that moved to another parent keeps
  // the same offset from the new parent's floor.
  void carry_over(GroupNumber group, const GroupNode& before, const GroupNode& parent_before);

  // Recently used thread-seconds, on this router and on others, decayed to `now`.
  static double recent(const GroupNode& node, Time now);

 private:
  [[nodiscard]] double rate(GroupNumber parent) const;
  void add_use(GroupNode& node, double amount, UsedBy used_by) const;

  const ShareContext& context_;
  GroupNodes& nodes_;
  SiblingOrder& order_;
};

}  // namespace heronwell::groups
