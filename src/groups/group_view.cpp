#include "groups/group_view.hpp"

#include <algorithm>

#include "groups/fair_shares.hpp"
#include "groups/group_limits.hpp"

namespace heronwell::groups {
namespace {

// Lower bound of the recent use of all groups, in thread-seconds. It prevents a division by zero before the
// first query; all shares are then 0.
constexpr double kMinRecentUse = 1e-9;

}  // namespace

std::optional<GroupNumber> GroupViews::after(GroupNumber group) const {
  if (!nodes_[group].children.empty()) return nodes_[group].children.front();
  for (; group != kRootGroup; group = nodes_[group].parent) {
    const auto& siblings = nodes_[nodes_[group].parent].children;
    const auto next = nodes_[group].position + 1;
    if (next < siblings.size()) return siblings[next];
  }
  return std::nullopt;
}

GroupView GroupViews::view(GroupNumber group, double total_recent) const {
  const auto& node = nodes_[group];
  GroupView view;
  view.path = node.settings.path;
  view.depth = node.settings.depth;
  view.made = node.on_demand;
  view.weight = node.settings.weight;
  view.min_threads = node.settings.min_threads;
  view.max_threads = node.settings.max_threads;
  view.share_set = 1;
  for (auto ancestor = group; ancestor != kRootGroup; ancestor = nodes_[ancestor].parent)
    view.share_set *= nodes_[ancestor].settings.weight / nodes_[nodes_[ancestor].parent].share.child_weight;
  view.share_got = FairShares::recent(node, context_.now) / total_recent;
  view.lent = view.share_set - view.share_got;
  view.used_s = node.share.used_here;
  view.used_elsewhere_s = node.share.used_elsewhere;
  view.queued = node.queue.queued;
  view.running = node.usage.running;
  for (const auto& [limit, count] : node.usage.rejected) view.refused[std::string(name_of(limit))] = count;
  return view;
}

bool GroupViews::scan(GroupNumber& next, std::size_t max_count, std::vector<GroupView>& views) const {
  const double total_recent = std::max(kMinRecentUse, FairShares::recent(nodes_[kRootGroup], context_.now));
  for (std::optional<GroupNumber> group = next; group; group = after(*group)) {
    next = *group;
    if (*group >= nodes_.size() || !nodes_[*group].live) {
      next = kRootGroup;
      return true;
    }
    if (max_count-- == 0) return true;
    views.push_back(view(*group, total_recent));
  }
  return false;
}

}  // namespace heronwell::groups
