// The groups by path: those of the tree, those that templates make on demand, and where the groups of the
// tree before the last reload are now.
//
// Rule: a request goes to a leaf, by its path. A path that a template named is made under a parent of the
// tree, at most `most_made` at once; one without requests for `made_idle` is removed. A path that a reload
// moved leads to the group's new place, for requests whose selectors were read before the reload.
//
// Inputs: paths. Output: the group's number, or the limit for which the request is rejected.
// Failure: clients choose part of a made group's name, so the number of groups would follow what they send;
// it shows as memory that grows. Guard: the bound, and removal when idle.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "groups/group_limits.hpp"
#include "groups/share_gossip.hpp"
#include "groups/sibling_order.hpp"

namespace heronwell::groups {

// Where requests of removed groups wait and run to their end; gone after the last of them.
inline constexpr std::string_view kRemovedGroup = "removed";

class GroupDirectory {
 public:
  GroupDirectory(const ShareContext& context, GroupNodes& nodes, SiblingOrder& order, ShareGossip& gossip)
      : context_(context), nodes_(nodes), order_(order), gossip_(gossip) {}

  // Makes all nodes anew, from the tree.
  void build(const Tree& tree);
  // Where the leaves before a reload are now, by their old path.
  void set_former_leaves(std::map<std::string, std::string, std::less<>> leaves) {
    former_leaves_ = std::move(leaves);
  }

  [[nodiscard]] const GroupNumber* find(std::string_view path) const;  // null: no such group
  struct Place {
    GroupNumber group = kRootGroup;
    Limit limit = Limit::none;  // else the request is rejected; counted in `group`
  };
  // The leaf for a request; `made`: a template named the path, which may be made.
  Place place(std::string_view path, bool from_template);
  GroupNumber removed_group();
  void remove_if_unused(GroupNumber leaf);  // one for requests of removed groups
  void sweep();                             // removes made groups that are idle for long, now and then

 private:
  GroupNumber append(Group group, GroupNumber parent);
  Place create(std::string_view path);
  [[nodiscard]] Place find_by_former_path(std::string_view path) const;
  void remove(GroupNumber group);
  void remove_idle();

  const ShareContext& context_;
  GroupNodes& nodes_;
  SiblingOrder& order_;
  ShareGossip& gossip_;
  std::vector<GroupNumber> free_;  // numbers of removed groups
  std::map<std::string, GroupNumber, std::less<>> by_path_;
  std::map<std::string, std::string, std::less<>> former_leaves_;
  std::size_t on_demand_count_ = 0;
  Time last_sweep_{};
};

}  // namespace heronwell::groups
