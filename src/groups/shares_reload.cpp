// Implements configuration changes of Shares: replacing the tree, and setting weights and limits by schedule.
//
// A reload builds all groups anew and then finds the new place of each old group: by its path, by the path
// that the new group names under `was`, or, for a group created on demand, by creating it again under the new
// place of its parent. The used engine time, the offset from the floor and the rejection counts are copied,
// and the requests are queued again in order of arrival. Requests of groups without a new place go to the
// group "removed".
//
// A reload under load must not reject or lose queued requests, nor reset a group's debt. Such a fault shows
// as timeouts and as a share that jumps after each change. shares_test checks that `find_inconsistency` finds
// nothing after each reload.
#include <algorithm>
#include <numeric>
#include <utility>

#include "groups/shares.hpp"

namespace heronwell::groups {

void Shares::reload(Tree tree) {
  const auto old = std::exchange(nodes_, {});
  const auto requests = std::exchange(requests_, {});
  tree_ = std::move(tree);
  running_.clear();
  limits_.clear_deadlines();
  directory_.build(tree_);

  std::vector<GroupNumber> by_depth(old.size());
  std::iota(by_depth.begin(), by_depth.end(), kRootGroup);
  std::ranges::stable_sort(by_depth, {}, [&](GroupNumber group) { return old[group].settings.depth; });
  const auto places = find_places(old, by_depth);
  carry_over(old, by_depth, places);
  remember_leaves(old, by_depth, places);
  carry_over(requests, places);
  for (GroupNumber group = 1; group < nodes_.size(); ++group) order_.rekey(group);
  const auto overrides = std::exchange(overrides_, {});
  set_overrides(overrides);
}

// Returns the new numbers of the old groups; nullopt: removed. Parents come before children, because a group
// created on demand follows its parent.
Shares::Places Shares::find_places(const GroupNodes& old, const std::vector<GroupNumber>& by_depth) {
  std::map<std::string, GroupNumber, std::less<>> by_old_path;
  for (GroupNumber group = 1; group < nodes_.size(); ++group) {
    const auto& settings = nodes_[group].settings;
    by_old_path[settings.previous_path.empty() ? settings.path : settings.previous_path] = group;
  }
  Places places(old.size());
  places[kRootGroup] = kRootGroup;
  for (const auto group : by_depth) {
    const auto& before = old[group];
    if (group == kRootGroup || !before.live) continue;
    const auto found = by_old_path.find(before.settings.path);
    const auto& parent_place = places[before.parent];
    if (found != by_old_path.end()) {
      places[group] = found->second;
    } else if (before.on_demand && before.settings.path != kRemovedGroup && parent_place) {
      auto path = nodes_[*parent_place].settings.path;
      if (!path.empty()) path += '.';
      path += before.settings.name;
      const auto again = directory_.place(path, true);
      if (again.limit == Limit::none) places[group] = again.group;
    }
  }
  return places;
}

void Shares::carry_over(const GroupNodes& old, const std::vector<GroupNumber>& by_depth,
                        const Places& places) {
  for (const auto group : by_depth) {
    const auto& place = places[group];
    if (!place) continue;
    const auto& before = old[group];
    shares_.carry_over(*place, before, old[before.parent]);
    limits_.carry_over(*place, before);
    order_.rekey(*place);
  }
}

void Shares::remember_leaves(const GroupNodes& old, const std::vector<GroupNumber>& by_depth,
                             const Places& places) {
  std::map<std::string, std::string, std::less<>> leaves;
  for (const auto group : by_depth) {
    if (group == kRootGroup || !old[group].live || !old[group].leaf()) continue;
    const auto& place = places[group];
    leaves[old[group].settings.path] = place ? nodes_[*place].settings.path : std::string(kRemovedGroup);
  }
  directory_.set_former_leaves(std::move(leaves));
}

void Shares::carry_over(const GroupRequests& old, const Places& places) {
  std::vector<std::pair<std::uint64_t, RequestId>> by_arrival;
  by_arrival.reserve(old.size());
  for (const auto& [id, request] : old) by_arrival.emplace_back(request.arrival, id);
  std::ranges::sort(by_arrival);
  for (const auto& [arrival, id] : by_arrival) {
    const auto& request = old.at(id);
    const auto& place = places[request.node];
    if (place && nodes_[*place].leaf()) {
      resume(id, request, *place);
    } else {
      resume(id, request, directory_.removed_group());
    }
  }
}

void Shares::resume(RequestId id, const GroupRequest& before, GroupNumber leaf) {
  auto& request = requests_[id] = before;
  request.node = leaf;
  request.waiting = false;
  shares_.count_request(leaf);
  if (!request.finished) limits_.watch_run(id, request.run_deadline);
  if (request.running()) running_.insert(id);
  for (const auto& attempt : request.in_flight)
    if (!attempt.ended) limits_.add_running(leaf, request.query);
  if (before.waiting) enqueue(id, request);
}

void Shares::set_shares(GroupNumber group, double weight, double min_threads, double max_threads) {
  shares_.set_weight(group, weight);
  nodes_[group].settings.min_threads = min_threads;
  nodes_[group].settings.max_threads = max_threads;
  order_.rekey(group);
}

void Shares::apply(const Override& change) {
  const auto* written = tree_.find(change.path);
  const auto* group = directory_.find(change.path);
  if (written == nullptr || group == nullptr) return;
  set_shares(*group, change.weight.value_or(written->weight),
             change.min_threads.value_or(written->min_threads),
             change.max_threads.value_or(written->max_threads));
}

void Shares::revert(const Override& change) {
  apply({.path = change.path, .weight = {}, .min_threads = {}, .max_threads = {}});
}

void Shares::set_overrides(const std::vector<Override>& overrides) {
  if (overrides == overrides_) return;
  for (const auto& change : overrides_) revert(change);
  overrides_ = overrides;
  for (const auto& change : overrides_) apply(change);
}

}  // namespace heronwell::groups
