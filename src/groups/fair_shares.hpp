// Weighted fair shares of engine time: start-time fair queueing on each level of the tree.
//
// Rule: engine time is threads x seconds that queries are in flight. Each group counts what it used over its
// weight, its virtual time; the waiting sibling with the least goes first. The floor of a group is the
// virtual time of the waiting child that has used least, and never falls. A group that begins to wait again
// stands at the floor plus what it is owed or owes, which has faded while it was idle and is bounded by
// credit and debt.
//
// Inputs: thread-seconds used here or, by gossip, elsewhere; weights; threads of the fleet. Output: virtual
// times and floors, in thread-seconds over weight, and the sums that operators see. Failure: a group that was
// idle for hours comes back with all the time it did not use, and alone has the engines; or one that borrowed
// for hours is never served again. It shows as a group with 0 or 1 of the share while siblings wait. Guard:
// credit and debt are bounded in seconds of the engines' time, and fade.
#pragma once

#include <optional>

#include "groups/sibling_order.hpp"

namespace heronwell::groups {

enum class UsedBy { this_router, other_router };

class FairShares {
 public:
  FairShares(const ShareContext& context, GroupNodes& nodes, SiblingOrder& order)
      : context_(context), nodes_(nodes), order_(order) {}

  // Charges the leaf and all groups above it; `amount` in thread-seconds, negative: given back.
  void charge(GroupNumber leaf, double amount, UsedBy used_by);
  // The group, whose siblings go by weight, begins to wait; `first`: of the waiting siblings, the one whose
  // turn it is.
  void begin_to_wait(GroupNumber group, const std::optional<SiblingKey>& first);
  // The first of the waiting children is at this virtual time.
  void raise_floor(GroupNumber parent, double virtual_time);
  void note_idle(GroupNumber group) { nodes_[group].share.idle_since = context_.now; }

  // A request comes to the leaf, or leaves it: groups with requests are those that share.
  void count_request(GroupNumber leaf);
  void uncount_request(GroupNumber leaf);
  void set_weight(GroupNumber group, double weight);

  // A group that was `before`, under a parent that was `parent_before`, goes on: what it owes its siblings,
  // or they owe it, stays; a group that moved owes them as much.
  void carry_over(GroupNumber group, const GroupNode& before, const GroupNode& parent_before);

  // Thread-seconds used lately, here and elsewhere, faded to now.
  static double recent(const GroupNode& node, Time now);

 private:
  [[nodiscard]] double rate(GroupNumber parent) const;
  void add_use(GroupNode& node, double amount, UsedBy used_by) const;

  const ShareContext& context_;
  GroupNodes& nodes_;
  SiblingOrder& order_;
};

}  // namespace heronwell::groups
