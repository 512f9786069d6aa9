// A request as the shares know it, from its admission to its final answer and the end of its last attempt.
#pragma once

#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "groups/group_node.hpp"

namespace heronwell::groups {

struct InFlightAttempt {
  Time sent{};
  double charged = 0;  // thread-seconds, so far
  bool ended = false;
};

struct GroupRequest {
  GroupNumber node = kRootGroup;  // the leaf
  Query query;
  std::uint64_t arrival = 0;  // order among all requests
  bool waiting = false;       // queued
  bool finished = false;      // has its final answer
  std::vector<InFlightAttempt> in_flight;
  Time wait_deadline = Time::max(), run_deadline = Time::max();  // longest wait and run time of its groups
  [[nodiscard]] bool running() const {
    return std::ranges::any_of(in_flight, [](const InFlightAttempt& one) { return !one.ended; });
  }
};

using GroupRequests = std::unordered_map<RequestId, GroupRequest>;

}  // namespace heronwell::groups
