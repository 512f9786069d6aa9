// GroupLimits checks the limits of groups and names the limit for which a request is rejected.
//
// A request is rejected on arrival if it could never run in its group (too many threads, or too much work or
// memory by its estimate), or if the group's queue is full. The reported limit is the one nearest to the
// leaf. A queued request may start while no group above it would exceed its ceiling of threads or memory.
// Ceilings are for the whole fleet: each router has an equal part of a ceiling, but may always run one query.
// A request that waits or runs longer than its groups allow is overdue.
//
// The inputs are threads, memory in MB, and the times at which attempts start and end. The outputs are a
// Limit and the overdue requests.
//
// A router's part of a ceiling can be smaller than the threads of one query. A group in which nothing runs is
// therefore never at its ceiling; otherwise its admitted requests would all wait until they time out.
#pragma once

#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "groups/group_node.hpp"

namespace heronwell::groups {

// The reason why a request was rejected on arrival or timed out.
enum class Limit { none, unknown_group, made, queued, query_threads, query_work, query_memory, wait, run };
std::string_view name_of(Limit limit);  // for logs, metrics and clients

struct OverdueRequest {
  RequestId request = 0;
  Limit limit = Limit::wait;
};

class GroupLimits {
 public:
  GroupLimits(const ShareContext& context, GroupNodes& nodes) : context_(context), nodes_(nodes) {}

  // Returns the limit for which the leaf rejects the request, or `none`.
  [[nodiscard]] Limit check(GroupNumber leaf, const Query& query) const;
  void count_rejected(GroupNumber group, Limit limit) { ++nodes_[group].usage.rejected[limit]; }
  // Copies the rejection counts of a group's old node after a reload. Running threads and memory are added
  // again with the group's requests.
  void carry_over(GroupNumber group, const GroupNode& before) {
    nodes_[group].usage.rejected = before.usage.rejected;
  }

  // Whether another query of the class would exceed this router's part of the group's ceiling of threads, or
  // the router's part of its ceiling of memory is used up. False while nothing runs in the group.
  [[nodiscard]] bool at_ceiling(GroupNumber group, ClassIndex cls) const;
  // Whether the leaf and all groups above it have memory left for the query.
  [[nodiscard]] bool memory_fits(GroupNumber leaf, double memory_mb) const;

  // Count an attempt that starts or ends.
  void add_running(GroupNumber leaf, const Query& query);
  void remove_running(GroupNumber leaf, const Query& query);

  // Deadline of a request that enters the leaf now, or starts there now. Time::max(): none.
  [[nodiscard]] Time wait_deadline(GroupNumber leaf) const;
  [[nodiscard]] Time run_deadline(GroupNumber leaf) const;
  void watch_wait(RequestId request, Time deadline);
  void watch_run(RequestId request, Time deadline);
  void unwatch_wait(RequestId request, Time deadline) { wait_deadlines_.erase({deadline, request}); }
  void unwatch_run(RequestId request, Time deadline) { run_deadlines_.erase({deadline, request}); }
  // Returns the requests that are overdue now, each once, waiting ones first.
  std::vector<OverdueRequest> take_overdue();
  [[nodiscard]] Time next_deadline() const;  // Time::max(): none
  void clear_deadlines();

 private:
  using Deadlines = std::set<std::pair<Time, RequestId>>;
  void take_overdue(Deadlines& deadlines, Limit limit, std::vector<OverdueRequest>& overdue) const;

  const ShareContext& context_;
  GroupNodes& nodes_;
  Deadlines wait_deadlines_, run_deadlines_;
};

}  // namespace heronwell::groups
