#include "groups/fair_shares.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>

namespace heronwell::groups {
namespace {

using namespace std::chrono_literals;

// Time constant with which recent use decays (to 1/e). It covers a few queries of a report class, so that
// operators see a share rather than single queries, and see a change of weights soon.
constexpr double kRecentSeconds = 10;

// Smallest time step in which recent use is decayed, so that a burst of small charges does not compute an
// exponential for each charge. A thousandth of kRecentSeconds is too small to be visible.
constexpr Time kRecentResolution = 10ms;

// Lower bound of the decay time constant, in seconds. It prevents a division by zero; a `fade` of 0 means an
// immediate decay.
constexpr double kMinDecaySeconds = 1e-3;

// The groups from the leaf up to, but not including, the root.
struct Ancestors {
  Ancestors(const GroupNodes& nodes, GroupNumber leaf) {
    for (auto group = leaf; group != kRootGroup; group = nodes[group].parent) groups[count++] = group;
  }
  std::array<GroupNumber, Tree::kMaxDepth + 2> groups{};
  std::size_t count = 0;
};

}  // namespace

// Growth of the children's virtual time per second while all groups with requests share the fleet.
double FairShares::rate(GroupNumber parent) const {
  const Ancestors ancestors(nodes_, parent);
  double share = context_.fleet_threads;
  const auto* parent_node = &nodes_[kRootGroup];
  for (auto depth = ancestors.count; depth-- > 0;) {
    const auto& node = nodes_[ancestors.groups[depth]];
    share *= node.settings.weight / std::max(parent_node->share.active_weight, node.settings.weight);
    parent_node = &node;
  }
  return parent_node->share.active_weight > 0 ? share / parent_node->share.active_weight : share;
}

double FairShares::recent(const GroupNode& node, Time now) {
  return node.share.recent * std::exp(-seconds(now - node.share.recent_at) / kRecentSeconds);
}

void FairShares::add_use(GroupNode& node, double amount, UsedBy used_by) const {
  auto& share = node.share;
  if (used_by == UsedBy::this_router) {
    share.used_here += amount;
  } else {
    share.used_elsewhere += amount;
  }
  if (context_.now > share.recent_at + kRecentResolution) {
    share.recent = recent(node, context_.now);
    share.recent_at = context_.now;
  }
  share.recent = std::max(0.0, share.recent + amount);
}

void FairShares::charge(GroupNumber leaf, double amount, UsedBy used_by) {
  const Ancestors ancestors(nodes_, leaf);
  auto* parent_node = &nodes_[kRootGroup];
  double share = context_.fleet_threads;
  add_use(*parent_node, amount, used_by);
  for (auto depth = ancestors.count; depth-- > 0;) {
    const auto group = ancestors.groups[depth];
    auto& node = nodes_[group];
    const double weight = node.settings.weight;
    auto& virtual_time = node.share.virtual_time;
    add_use(node, amount, used_by);
    // Growth of the siblings' virtual time per second. The siblings with requests may weigh less than the
    // group itself, because a group without requests here is charged for its use on other routers; then its
    // own weight is the divisor.
    const double rate = share / std::max(parent_node->share.active_weight, weight);
    virtual_time += amount / weight;
    if (parent_node->settings.policy == Policy::fair) {
      const double most_debt = parent_node->share.floor + seconds(context_.settings.debt) * rate;
      virtual_time = std::min(virtual_time, std::max(most_debt, virtual_time - amount / weight));
    }
    order_.rekey(group);
    share = rate * weight;
    parent_node = &node;
  }
}

void FairShares::begin_to_wait(GroupNumber group, const std::optional<SiblingKey>& first) {
  auto& node = nodes_[group];
  auto& floor = nodes_[node.parent].share.floor;
  if (first && first->after_minima) raise_floor(node.parent, first->order);
  const double per_second = rate(node.parent);
  const double idle_seconds = seconds(context_.now - node.share.idle_since);
  const double decay = std::exp(-idle_seconds / std::max(kMinDecaySeconds, seconds(context_.settings.fade)));
  const double offset = (node.share.virtual_time - floor) * decay;
  node.share.virtual_time = floor + std::clamp(offset, -seconds(context_.settings.credit) * per_second,
                                               seconds(context_.settings.debt) * per_second);
  order_.rekey(group);
}

void FairShares::raise_floor(GroupNumber parent, double virtual_time) {
  auto& floor = nodes_[parent].share.floor;
  floor = std::max(floor, virtual_time);
}

void FairShares::count_request(GroupNumber leaf) {
  for (auto group = leaf;; group = nodes_[group].parent) {
    auto& node = nodes_[group];
    const bool first = node.share.requests++ == 0;
    if (group == kRootGroup) break;
    if (first) nodes_[node.parent].share.active_weight += node.settings.weight;
  }
}

void FairShares::uncount_request(GroupNumber leaf) {
  for (auto group = leaf;; group = nodes_[group].parent) {
    auto& node = nodes_[group];
    const bool last = --node.share.requests == 0;
    if (group == kRootGroup) break;
    if (!last) continue;
    auto& active_weight = nodes_[node.parent].share.active_weight;
    active_weight = std::max(0.0, active_weight - node.settings.weight);
    note_idle(group);
  }
}

void FairShares::set_weight(GroupNumber group, double weight) {
  auto& node = nodes_[group];
  auto& parent = nodes_[node.parent].share;
  parent.child_weight += weight - node.settings.weight;
  if (node.share.requests > 0) parent.active_weight += weight - node.settings.weight;
  node.settings.weight = weight;
}

void FairShares::carry_over(GroupNumber group, const GroupNode& before, const GroupNode& parent_before) {
  auto& node = nodes_[group];
  node.share.used_here = before.share.used_here;
  node.share.used_elsewhere = before.share.used_elsewhere;
  node.share.recent = before.share.recent;
  node.share.recent_at = before.share.recent_at;
  node.share.idle_since = before.share.idle_since;
  if (group != kRootGroup)
    node.share.virtual_time =
        nodes_[node.parent].share.floor + (before.share.virtual_time - parent_before.share.floor);
}

}  // namespace heronwell::groups
