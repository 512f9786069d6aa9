#include "groups/sibling_order.hpp"

#include <limits>

namespace heronwell::groups {

double SiblingOrder::oldest_arrival(GroupNumber group) const {
  const auto& queue = nodes_[group].queue;
  double least = std::numeric_limits<double>::infinity();
  for (const auto& requests : queue.requests)
    if (!requests.empty()) least = std::min(least, static_cast<double>(requests.begin()->first));
  for (const auto& waiting : queue.waiting)
    for (const auto& key : waiting) least = std::min(least, oldest_arrival(key.node));
  return least;
}

SiblingKey SiblingOrder::key_of(GroupNumber group) const {
  const auto& node = nodes_[group];
  double order = 0;
  switch (nodes_[node.parent].settings.policy) {
    case Policy::fair:
      order = node.share.virtual_time;
      break;
    case Policy::strict:
      order = static_cast<double>(node.position);
      break;
    case Policy::first_come:
      order = oldest_arrival(group);
      break;
  }
  return {node.usage.running >= node.settings.min_threads / context_.settings.gateways, order, group};
}

void SiblingOrder::rekey(GroupNumber group) {
  if (group == kRootGroup) return;
  auto& queue = nodes_[group].queue;
  const auto key = key_of(group);
  if (key == queue.key) return;
  if (queue.queued > 0) {
    for (std::size_t cls = 0; cls < context_.classes.size(); ++cls) {
      if (queue.queued_by_class[cls] == 0) continue;
      auto& waiting = nodes_[nodes_[group].parent].queue.waiting[cls];
      auto extracted = waiting.extract(queue.key);  // reuses the memory of the set node
      if (extracted.empty()) continue;              // count_queued() will insert it
      extracted.value() = key;
      waiting.insert(std::move(extracted));
    }
  }
  queue.key = key;
}

void SiblingOrder::rekey_if_first_come(GroupNumber group) {
  if (nodes_[nodes_[group].parent].settings.policy == Policy::first_come) rekey(group);
}

void SiblingOrder::push(GroupNumber leaf, ClassIndex cls, std::uint64_t arrival, RequestId request) {
  auto& requests = nodes_[leaf].queue.requests;
  if (requests.empty()) requests.resize(context_.classes.size());
  requests[cls].insert({arrival, request});
}

void SiblingOrder::count_queued(GroupNumber group, ClassIndex cls) {
  auto& node = nodes_[group];
  if (node.queue.queued_by_class[cls]++ != 0) return;
  rekey(group);
  nodes_[node.parent].queue.waiting[cls].insert(node.queue.key);
}

void SiblingOrder::remove(GroupNumber leaf, ClassIndex cls, std::uint64_t arrival, RequestId request) {
  nodes_[leaf].queue.requests[cls].erase({arrival, request});
  for (auto group = leaf;; group = nodes_[group].parent) {
    auto& node = nodes_[group];
    --node.queue.queued;
    if (group == kRootGroup) break;
    if (--node.queue.queued_by_class[cls] == 0) nodes_[node.parent].queue.waiting[cls].erase(node.queue.key);
    rekey_if_first_come(group);
  }
}

}  // namespace heronwell::groups
