#include "groups/group_dispatch.hpp"

#include <algorithm>
#include <chrono>
#include <limits>

namespace heronwell::groups {
namespace {

using namespace std::chrono_literals;

// Longest time for which a group that starts nothing is skipped. It bounds how long a group waits after its
// engines return. In each such period, threads idle for at most one `patience`.
constexpr Time kMaxSkipTime = 8s;

// A group has had enough offers when this many times the threads of its smallest query became free. The value
// exceeds 1 because the decision engine may need some of the threads for a class of higher rank.
constexpr std::uint64_t kUnusedOffers = 4;

// A group that has had enough offers may still start a query for this time before it is skipped: one tick of
// the decision engine.
constexpr Time kOfferGrace = 20ms;

// Number of children of one group that can have a hold started at once, in sibling order, and the interval of
// these checks. The bound keeps the cost of an offer independent of the number of waiting groups.
constexpr std::size_t kHoldsPerParent = 16;
constexpr Time kHoldsInterval = 50ms;

// Number of leaves whose first requests are offered at once. The decision engine starts one request and calls
// again; it can take the second if the first finds no engine.
constexpr std::size_t kOfferedLeaves = 2;

// Number of requests per leaf, and of leaves, that are offered in a class with ordering keys, where the first
// requests may have to wait for their key.
constexpr std::size_t kOfferedPerOrderedLeaf = 8;
constexpr std::size_t kOfferedOrderedLeaves = 8;

// Shortest skip time, used if `patience` is 0: a time of zero would not grow by doubling.
constexpr Time kMinSkipTime = 1ms;

}  // namespace

void GroupDispatch::begin_to_wait(GroupNumber group) {
  auto& node = nodes_[group];
  // After a short idle time the hold continues: the requests that could not start have timed out, and new
  // ones replaced them.
  if (context_.now > node.share.idle_since + kMaxSkipTime) node.hold = {};
}

void GroupDispatch::started(GroupNumber leaf) {
  for (auto group = leaf;; group = nodes_[group].parent) {
    nodes_[group].hold = {};
    if (group == kRootGroup) break;
  }
}

void GroupDispatch::exclude_pause(Time duration) {
  for (auto& node : nodes_)
    if (node.hold.since > Time::zero()) node.hold.since += duration;
}

void GroupDispatch::start_hold(GroupNode& node) const {
  if (node.hold.since != Time::zero()) return;
  node.hold.since = context_.now;
  node.hold.freed_before = context_.freed_threads;
}

void GroupDispatch::start_holds(GroupNode& parent, ClassIndex cls) {
  if (context_.now < parent.holds_started_at + kHoldsInterval) return;
  parent.holds_started_at = context_.now;
  std::size_t left = kHoldsPerParent;
  for (const auto& key : parent.queue.waiting[cls]) {
    if (left-- == 0) break;
    start_hold(nodes_[key.node]);
  }
}

unsigned GroupDispatch::min_queued_query_threads(const GroupNode& node) const {
  unsigned min_threads_needed = context_.max_query_threads;
  for (std::size_t cls = 0; cls < context_.classes.size(); ++cls)
    if (node.queue.queued_by_class[cls] > 0)
      min_threads_needed = std::min(min_threads_needed, context_.classes[cls].threads);
  return min_threads_needed;
}

// Returns whether the group is skipped now. Starts a new skip period if the group did not use its offers.
bool GroupDispatch::update_skipping(GroupNode& node) const {
  const auto now = context_.now;
  auto& hold = node.hold;
  if (hold.since == Time::zero()) return false;
  if (now < hold.skip_until) return true;
  if (hold.skip_until > hold.since) {  // the skip period has ended, so the hold starts again
    hold.since = now;
    hold.freed_before = context_.freed_threads;
    hold.enough_freed_at = {};
  }
  const auto min_threads_needed = min_queued_query_threads(node);
  if (hold.enough_freed_at == Time::zero() &&
      context_.freed_threads >= hold.freed_before + kUnusedOffers * min_threads_needed)
    hold.enough_freed_at = now;
  const bool offers_unused = hold.enough_freed_at > Time::zero() && now >= hold.enough_freed_at + kOfferGrace;
  const auto running = nodes_[kRootGroup].usage.running;
  const bool spare_threads = running + min_threads_needed <= context_.pool_threads || running == 0;
  const bool patience_expired = spare_threads && now >= hold.since + context_.settings.patience;
  if (!offers_unused && !patience_expired) return false;
  const auto shortest = std::max(context_.settings.patience, kMinSkipTime);
  hold.skip_time = std::min(std::max(2 * hold.skip_time, shortest), kMaxSkipTime);
  hold.skip_until = now + hold.skip_time;
  return true;
}

std::optional<SiblingKey> GroupDispatch::first_in_order(GroupNumber parent) {
  std::optional<SiblingKey> first;
  const auto& waiting = nodes_[parent].queue.waiting;
  for (std::size_t cls = 0; cls < waiting.size(); ++cls) {
    for (const auto& key : waiting[cls]) {
      if (first && *first < key) break;
      if (limits_.at_ceiling(key.node, static_cast<ClassIndex>(cls)) || update_skipping(nodes_[key.node]))
        continue;
      first = key;
      break;
    }
  }
  return first;
}

// Returns the largest order with which a sibling may start requests beside the first child.
double GroupDispatch::max_concurrent_order(const GroupNode& parent, const SiblingKey& first,
                                           double rate) const {
  switch (parent.settings.policy) {
    case Policy::fair:
      return first.order + seconds(context_.settings.slack) * rate;
    case Policy::strict:
      return first.order;
    case Policy::first_come:
      break;
  }
  return std::numeric_limits<double>::infinity();
}

void GroupDispatch::offer_leaf(GroupNumber leaf, ClassIndex cls) {
  const auto& requests = nodes_[leaf].queue.requests;
  if (requests.empty()) return;
  std::size_t left = context_.classes[cls].in_order ? kOfferedPerOrderedLeaf : 1;
  for (const auto& [arrival, id] : requests[cls]) {
    if (left-- == 0 || !limits_.memory_fits(leaf, requests_.at(id).query.memory_mb)) break;
    offered_.push_back(id);
  }
}

void GroupDispatch::offer_group(GroupNumber group, ClassIndex cls, double share) {
  if (nodes_[group].leaf()) {
    offer_leaf(group, cls);
  } else {
    offer_children(group, cls, share);
  }
}

// `share` is the number of threads of the fleet to which the parent is entitled by the weights.
void GroupDispatch::offer_children(GroupNumber parent, ClassIndex cls, double share) {
  auto& node = nodes_[parent];
  const auto& waiting = node.queue.waiting;
  if (waiting.empty() || waiting[cls].empty()) return;
  start_holds(node, cls);
  const auto first = first_in_order(parent);
  if (first) start_hold(nodes_[first->node]);
  const double rate = node.share.active_weight > 0 ? share / node.share.active_weight : share;
  if (first && first->after_minima && node.settings.policy == Policy::fair)
    shares_.raise_floor(parent, first->order);
  const double max_order = first ? max_concurrent_order(node, *first, rate) : 0;
  const std::size_t max_offered =
      context_.classes[cls].in_order ? kOfferedPerOrderedLeaf * kOfferedOrderedLeaves : kOfferedLeaves;
  for (const auto& key : waiting[cls]) {
    if (offered_.size() >= max_offered) return;
    if (first && key.after_minima && (!first->after_minima || key.order > max_order)) break;
    if (!limits_.at_ceiling(key.node, cls))
      offer_group(key.node, cls, rate * nodes_[key.node].settings.weight);
  }
}

const std::vector<RequestId>& GroupDispatch::next_requests(ClassIndex cls) {
  offered_.clear();
  if (cls < context_.classes.size()) offer_children(kRootGroup, cls, context_.fleet_threads);
  return offered_;
}

}  // namespace heronwell::groups
