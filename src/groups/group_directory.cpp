#include "groups/group_directory.hpp"

#include <algorithm>
#include <chrono>

namespace heronwell::groups {
namespace {

using namespace std::chrono_literals;

// Interval between searches for idle groups that were created on demand. It is far below any practical
// `made_idle`.
constexpr Time kSweepInterval = 1s;

// Groups removed in one sweep. Each removal updates the positions of the following siblings, so the number is
// small to keep decisions from waiting.
constexpr std::size_t kRemovedPerSweep = 32;

}  // namespace

GroupNumber GroupDirectory::append(Group group, GroupNumber parent) {
  GroupNumber number = 0;
  if (free_.empty()) {
    number = static_cast<GroupNumber>(nodes_.size());
    nodes_.emplace_back();
  } else {
    number = free_.back();
    free_.pop_back();
    nodes_[number] = {};
  }
  auto& node = nodes_[number];
  node.settings = std::move(group);
  node.parent = parent;
  node.queue.queued_by_class.assign(context_.classes.size(), 0);
  node.share.idle_since = context_.now;
  if (number == kRootGroup) return number;
  auto& parent_node = nodes_[parent];
  if (parent_node.queue.waiting.empty()) parent_node.queue.waiting.resize(context_.classes.size());
  node.position = parent_node.children.size();
  node.share.virtual_time = parent_node.share.floor;
  parent_node.children.push_back(number);
  parent_node.share.child_weight += node.settings.weight;
  by_path_[node.settings.path] = number;
  gossip_.add_group(number);
  order_.rekey(number);
  return number;
}

void GroupDirectory::build(const Tree& tree) {
  nodes_.clear();
  free_.clear();
  by_path_.clear();
  gossip_.clear_groups();
  on_demand_count_ = 0;
  const auto& groups = tree.groups();
  std::vector<GroupNumber> numbers(groups.size());
  for (std::size_t i = 0; i < groups.size(); ++i) {
    auto group = groups[i];
    group.children.clear();
    numbers[i] = append(std::move(group), i == 0 ? kRootGroup : numbers[groups[i].parent]);
  }
}

const GroupNumber* GroupDirectory::find(std::string_view path) const {
  const auto found = by_path_.find(path);
  return found == by_path_.end() ? nullptr : &found->second;
}

GroupDirectory::Place GroupDirectory::place(std::string_view path, bool from_template) {
  if (const auto* found = find(path))
    return {*found, nodes_[*found].leaf() ? Limit::none : Limit::unknown_group};
  return from_template ? create(path) : find_by_former_path(path);
}

// Resolves a path that was chosen by selectors which a reload has just replaced.
GroupDirectory::Place GroupDirectory::find_by_former_path(std::string_view path) const {
  const auto former = former_leaves_.find(path);
  const auto* found = former == former_leaves_.end() ? nullptr : find(former->second);
  if (found == nullptr || !nodes_[*found].leaf()) return {kRootGroup, Limit::unknown_group};
  return {*found, Limit::none};
}

GroupDirectory::Place GroupDirectory::create(std::string_view path) {
  const auto dot = path.rfind('.');
  const bool under_root = dot == std::string_view::npos;
  const auto* found = under_root ? &kRootGroup : find(path.substr(0, dot));
  if (found == nullptr) return {kRootGroup, Limit::unknown_group};
  const auto parent = *found;
  if (nodes_[parent].share.requests > 0 && nodes_[parent].leaf()) return {kRootGroup, Limit::unknown_group};
  if (on_demand_count_ >= context_.settings.most_made) remove_idle();
  if (on_demand_count_ >= context_.settings.most_made) return {kRootGroup, Limit::made};
  Group group;
  group.path = path;
  group.name = under_root ? path : path.substr(dot + 1);
  group.depth = nodes_[parent].settings.depth + 1;
  const auto number = append(std::move(group), parent);
  nodes_[number].on_demand = true;
  nodes_[number].created_at = context_.now;
  ++on_demand_count_;
  return {number, Limit::none};
}

GroupNumber GroupDirectory::removed_group() {
  const auto existing = place(kRemovedGroup, false);
  if (existing.limit == Limit::none) return existing.group;
  Group group;
  group.name = group.path = kRemovedGroup;
  group.depth = 1;
  const auto number = append(std::move(group), kRootGroup);
  nodes_[number].on_demand = true;
  ++on_demand_count_;
  return number;
}

void GroupDirectory::remove(GroupNumber group) {
  auto& node = nodes_[group];
  nodes_[node.parent].share.child_weight -= node.settings.weight;
  auto& siblings = nodes_[node.parent].children;
  siblings.erase(siblings.begin() + static_cast<std::ptrdiff_t>(node.position));
  for (auto i = node.position; i < siblings.size(); ++i) {
    nodes_[siblings[i]].position = i;
    order_.rekey(siblings[i]);
  }
  by_path_.erase(node.settings.path);
  gossip_.remove_group(group);
  if (node.on_demand) --on_demand_count_;
  node.live = false;
  free_.push_back(group);
}

void GroupDirectory::remove_if_unused(GroupNumber leaf) {
  const auto& node = nodes_[leaf];
  if (node.settings.path == kRemovedGroup && node.on_demand && node.share.requests == 0) remove(leaf);
}

void GroupDirectory::sweep() {
  if (on_demand_count_ > 0 && context_.now >= last_sweep_ + kSweepInterval) remove_idle();
}

void GroupDirectory::remove_idle() {
  last_sweep_ = context_.now;
  std::size_t left = kRemovedPerSweep;
  for (GroupNumber group = 1; group < nodes_.size() && left > 0; ++group) {
    const auto& node = nodes_[group];
    const bool idle = node.live && node.on_demand && node.leaf() && node.share.requests == 0;
    const auto since = std::max(node.share.idle_since, node.created_at);
    if (!idle || context_.now < since + context_.settings.made_idle) continue;
    remove(group);
    --left;
  }
}

}  // namespace heronwell::groups
