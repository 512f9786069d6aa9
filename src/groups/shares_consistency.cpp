// Implements Shares::find_inconsistency, which compares every stored sum with the requests and groups from
// which it is computed. Tests call it after each step. A wrong sum shows as a group whose requests are never
// offered, or that never stops.
#include <cmath>

#include "groups/shares.hpp"

namespace heronwell::groups {
namespace {

// Relative rounding error allowed in sums of weights, which are updated by additions and subtractions.
constexpr double kWeightTolerance = 1e-6;

}  // namespace

std::string Shares::find_inconsistency() const {
  Sums sums;
  sums.queued.resize(nodes_.size());
  sums.requests.resize(nodes_.size());
  sums.running.resize(nodes_.size());
  for (const auto& [id, request] : requests_)
    if (auto difference = add_request(id, request, sums); !difference.empty()) return difference;
  for (GroupNumber group = 0; group < nodes_.size(); ++group) {
    if (!nodes_[group].live) continue;
    auto difference = check_sums(group, sums);
    if (difference.empty()) difference = check_order(group);
    if (!difference.empty()) return "group \"" + nodes_[group].settings.path + "\": " + difference;
  }
  return "";
}

std::string Shares::add_request(RequestId id, const GroupRequest& request, Sums& sums) const {
  const auto cls = request.query.cls;
  unsigned threads = 0;
  for (const auto& attempt : request.in_flight) threads += attempt.ended ? 0 : context_.classes[cls].threads;
  if (request.running() != running_.contains(id))
    return "the set of running requests does not agree with the attempts of a request";
  if (request.waiting && !nodes_[request.node].queue.requests[cls].contains({request.arrival, id}))
    return "a waiting request is in no queue";
  for (auto group = request.node;; group = nodes_[group].parent) {
    sums.queued[group] += request.waiting ? 1 : 0;
    sums.requests[group] += 1;
    sums.running[group] += threads;
    if (group == kRootGroup) break;
  }
  return "";
}

std::string Shares::check_sums(GroupNumber group, const Sums& sums) const {
  const auto& node = nodes_[group];
  if (node.queue.queued != sums.queued[group]) return "wrong number of queued requests";
  if (node.share.requests != sums.requests[group]) return "wrong number of requests queued or in flight";
  if (node.usage.running != sums.running[group]) return "wrong number of running threads";
  double weight = 0;
  for (const auto child : node.children)
    weight += nodes_[child].share.requests > 0 ? nodes_[child].settings.weight : 0;
  if (std::abs(weight - node.share.active_weight) > kWeightTolerance * (1 + weight))
    return "wrong sum of the weights of active children";
  return "";
}

std::string Shares::check_order(GroupNumber group) const {
  const auto& node = nodes_[group];
  for (std::size_t cls = 0; cls < node.queue.waiting.size(); ++cls) {
    std::size_t waiting = 0;
    for (const auto child : node.children) {
      if (nodes_[child].queue.queued_by_class[cls] == 0) continue;
      ++waiting;
      if (!node.queue.waiting[cls].contains(nodes_[child].queue.key))
        return "a waiting child is missing in the sibling order";
    }
    if (waiting != node.queue.waiting[cls].size())
      return "the sibling order contains children that do not wait";
  }
  return "";
}

}  // namespace heronwell::groups
