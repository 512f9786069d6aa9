// The order in which siblings wait, and the queues of leaves.
//
// Rule: in each group and class, children with queued requests stand in a set ordered by SiblingKey: first
// those that run fewer threads than their minimum (this router's even part of it); then by policy: virtual
// time (fair), place in the configuration (strict), arrival of the oldest queued request (first come); then
// by number, so that the order is the same on every run. A leaf's requests stand in order of arrival.
//
// Inputs: queued requests, running threads, virtual times. Output: `waiting` and `key` of each group.
// Failure: a key that changes while it stands in a set is not found again, and its group is never offered or
// offered without requests. Guard: the key is kept in the group and changes only in `rekey`, which moves its
// entries in the same step; `Shares::find_inconsistency` checks both ways.
#pragma once

#include "groups/group_node.hpp"

namespace heronwell::groups {

class SiblingOrder {
 public:
  SiblingOrder(const ShareContext& context, GroupNodes& nodes) : context_(context), nodes_(nodes) {}

  // Gives the group the place that its minimum, policy and use call for now.
  void rekey(GroupNumber group);
  // The same where siblings go by the arrival of their oldest request.
  void rekey_if_first_come(GroupNumber group);

  // A request is queued: in its leaf's queue, then counted on each level up to the root.
  void push(GroupNumber leaf, ClassIndex cls, std::uint64_t arrival, RequestId request);
  // True: it is the only one queued in the group, which begins to wait.
  bool count_queued(GroupNumber group) { return ++nodes_[group].queue.queued == 1; }
  void count_queued(GroupNumber group, ClassIndex cls);
  // A request is no longer queued, on all levels.
  void remove(GroupNumber leaf, ClassIndex cls, std::uint64_t arrival, RequestId request);

 private:
  [[nodiscard]] SiblingKey key_of(GroupNumber group) const;
  [[nodiscard]] double oldest_arrival(GroupNumber group) const;

  const ShareContext& context_;
  GroupNodes& nodes_;
};

}  // namespace heronwell::groups
