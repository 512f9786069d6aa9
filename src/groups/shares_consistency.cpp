// Every sum that the parts keep, against the requests and groups that it is the sum of. For tests and the
// model checker, after each step: a sum that drifts shows as a group that is never offered, or never stops.
#include <cmath>

#include "groups/shares.hpp"

namespace heronwell::groups {
namespace {

// Sums of weights are kept by adding and taking away; more than this of them is no rounding.
constexpr double kWeightTolerance = 1e-6;

}  // namespace

std::string Shares::find_inconsistency() const {
  Sums sums;
  sums.queued.resize(nodes_.size());
  sums.requests.resize(nodes_.size());
  sums.running.resize(nodes_.size());
  for (const auto& [id, request] : requests_)
    if (auto wrong = add_request(id, request, sums); !wrong.empty()) return wrong;
  for (GroupNumber group = 0; group < nodes_.size(); ++group) {
    if (!nodes_[group].live) continue;
    auto wrong = check_sums(group, sums);
    if (wrong.empty()) wrong = check_order(group);
    if (!wrong.empty()) return "group \"" + nodes_[group].settings.path + "\": " + wrong;
  }
  return "";
}

std::string Shares::add_request(RequestId id, const GroupRequest& request, Sums& sums) const {
  const auto cls = request.query.cls;
  unsigned threads = 0;
  for (const auto& attempt : request.in_flight) threads += attempt.ended ? 0 : context_.classes[cls].threads;
  if (request.running() != running_.contains(id)) return "running set and attempts of a request";
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
  if (node.queue.queued != sums.queued[group]) return "queued";
  if (node.share.requests != sums.requests[group]) return "requests";
  if (node.usage.running != sums.running[group]) return "running";
  double weight = 0;
  for (const auto child : node.children)
    weight += nodes_[child].share.requests > 0 ? nodes_[child].settings.weight : 0;
  if (std::abs(weight - node.share.active_weight) > kWeightTolerance * (1 + weight))
    return "weight of active children";
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
        return "a waiting child is not in order";
    }
    if (waiting != node.queue.waiting[cls].size()) return "children in order that do not wait";
  }
  return "";
}

}  // namespace heronwell::groups
