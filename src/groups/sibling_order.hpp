// SiblingOrder keeps the order in which siblings wait, and the request queues of leaves.
//
// In each group and class, the children with queued requests are in a set ordered by SiblingKey: first the
// children that run fewer threads than their minimum (this router's equal part of it), then by policy:
// virtual time (fair), position in the configuration (strict), arrival of the oldest queued request (first
// come), then by number, so that the order is the same on every run. The requests of a leaf are in order of
// arrival.
//
// The inputs are queued requests, running threads and virtual times. The outputs are `waiting` and `key` of
// each group.
//
// A key that changed while it is in a set could not be found again, and its group would never be offered, or
// be offered without requests. The key is therefore stored in the group and changes only in `rekey`, which
// moves the set entries in the same step. `Shares::find_inconsistency` checks both directions.
#pragma once

#include "groups/group_node.hpp"

namespace heronwell::groups {

class SiblingOrder {
 public:
  SiblingOrder(const ShareContext& context, GroupNodes& nodes) : context_(context), nodes_(nodes) {}

  // Recomputes the group's key from its minimum, policy and use, and moves its set entries.
  void rekey(GroupNumber group);
  // Does the same if the parent's policy is first_come, and nothing otherwise.
  void rekey_if_first_come(GroupNumber group);

  // Adds a request to the queue of its leaf. The caller must then call count_queued on each level.
  void push(GroupNumber leaf, ClassIndex cls, std::uint64_t arrival, RequestId request);
  // Counts a queued request in the group. Returns true if it is the only one, so that the group starts to
  // wait.
  bool count_queued(GroupNumber group) { return ++nodes_[group].queue.queued == 1; }
  void count_queued(GroupNumber group, ClassIndex cls);
  // Removes a request from the queue of its leaf and from the counts on all levels.
  void remove(GroupNumber leaf, ClassIndex cls, std::uint64_t arrival, RequestId request);

 private:
  [[nodiscard]] SiblingKey key_of(GroupNumber group) const;
  [[nodiscard]] double oldest_arrival(GroupNumber group) const;

  const ShareContext& context_;
  GroupNodes& nodes_;
};

}  // namespace heronwell::groups
