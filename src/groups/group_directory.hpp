// GroupDirectory finds the group of a path: groups of the tree, groups that are created on demand from
// templates, and the new places of groups of the tree before the last reload.
//
// A request enters a leaf by its path. A path that a template produced is created under a parent in the tree.
// At most `most_made` such groups exist at once; a group without requests for `made_idle` is removed. A path
// that a reload moved leads to the group's new place, because a request may have been matched by the
// selectors before the reload. The result is the group's number, or the limit for which the request is
// rejected.
//
// Clients choose a part of the name of a group created on demand. The bound and the removal of idle groups
// keep the memory from growing with the names that clients send.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "groups/group_limits.hpp"
#include "groups/share_gossip.hpp"
#include "groups/sibling_order.hpp"

namespace heronwell::groups {

// Name of the group in which requests of removed groups wait and run until they end. It is removed after the
// last of them.
inline constexpr std::string_view kRemovedGroup = "removed";

class GroupDirectory {
 public:
  GroupDirectory(const ShareContext& context, GroupNodes& nodes, SiblingOrder& order, ShareGossip& gossip)
      : context_(context), nodes_(nodes), order_(order), gossip_(gossip) {}

  // Replaces all nodes with new ones for the groups of the tree.
  void build(const Tree& tree);
  // Sets, for each leaf that existed before the last reload, its present path; the key is its old path. The
  // present path of a removed leaf is kRemovedGroup.
  void set_former_leaves(std::map<std::string, std::string, std::less<>> leaves) {
    former_leaves_ = std::move(leaves);
  }

  [[nodiscard]] const GroupNumber* find(std::string_view path) const;  // null: there is no such group
  struct Place {
    GroupNumber group = kRootGroup;
    Limit limit = Limit::none;  // if not `none`, the request is rejected and counted in `group`
  };
  // Returns the leaf for a request. `from_template`: a template produced the path, so the group may be
  // created.
  Place place(std::string_view path, bool from_template);
  GroupNumber removed_group();  // the group for requests of removed groups; creates it if needed
  // Removes the leaf if it is the group for requests of removed groups and has none left.
  void remove_if_unused(GroupNumber leaf);
  // Removes groups created on demand that have been idle for `made_idle`. Does nothing if the last sweep is
  // recent.
  void sweep();

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
  std::vector<GroupNumber> free_;  // numbers of removed groups, to be reused
  std::map<std::string, GroupNumber, std::less<>> by_path_;
  std::map<std::string, std::string, std::less<>> former_leaves_;
  std::size_t on_demand_count_ = 0;
  Time last_sweep_{};
};

}  // namespace heronwell::groups
