// GroupRequest is the state of a request in the resource groups, from its admission until it has its final
// answer and its last attempt has ended.
#pragma once

#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "groups/group_node.hpp"

namespace heronwell::groups {

struct InFlightAttempt {
  Time sent{};
  double charged = 0;  // thread-seconds, until now
  bool ended = false;
};

struct GroupRequest {
  GroupNumber node = kRootGroup;  // the leaf
  Query query;
  std::uint64_t arrival = 0;  // position in the order of arrival of all requests
  bool waiting = false;       // queued
  bool finished = false;      // has its final answer
  std::vector<InFlightAttempt> in_flight;
  // From the wait and run time limits of its groups.
  Time wait_deadline = Time::max(), run_deadline = Time::max();
  [[nodiscard]] bool running() const {
    return std::ranges::any_of(in_flight, [](const InFlightAttempt& one) { return !one.ended; });
  }
};

using GroupRequests = std::unordered_map<RequestId, GroupRequest>;

}  // namespace heronwell::groups
