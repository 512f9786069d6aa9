// The limits of groups, and the names under which a request is rejected for one.
//
// Rule: on arrival, a request is rejected that could never run in its group (too many threads, too much work
// or memory by its estimate) or for which the group has no place in its queue; the limit nearest the leaf
// that is passed is named. A queued request may start while no group above it would pass its ceiling of
// threads or memory. Ceilings are the fleet's: each router has an even part of one, but for one query at
// least. A request that waits or runs longer than its groups allow is overdue.
//
// Inputs: threads, memory in MB, times of attempts that start and end. Outputs: Limit, requests that are
// overdue. Failure: a ceiling below the threads of one query on each router would let none of the group's
// run, though none was rejected; they wait until they time out. Guard: a group in which nothing runs is never
// at its ceiling.
#pragma once

#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "groups/group_node.hpp"

namespace heronwell::groups {

// Why a request was rejected on arrival, or timed out.
enum class Limit { none, unknown_group, made, queued, query_threads, query_work, query_memory, wait, run };
std::string_view name_of(Limit limit);  // for logs, metrics and clients

struct OverdueRequest {
  RequestId request = 0;
  Limit limit = Limit::wait;
};

class GroupLimits {
 public:
  GroupLimits(const ShareContext& context, GroupNodes& nodes) : context_(context), nodes_(nodes) {}

  // May a request come to the leaf? Else the limit that forbids it.
  [[nodiscard]] Limit check(GroupNumber leaf, const Query& query) const;
  void count_rejected(GroupNumber group, Limit limit) { ++nodes_[group].usage.rejected[limit]; }
  // A group that was `before` goes on; what runs in it is added again with its requests.
  void carry_over(GroupNumber group, const GroupNode& before) {
    nodes_[group].usage.rejected = before.usage.rejected;
  }

  // Would another query of the class pass the group's ceiling?
  [[nodiscard]] bool at_ceiling(GroupNumber group, ClassIndex cls) const;
  // Is there memory for the query in the leaf and all groups above it?
  [[nodiscard]] bool memory_fits(GroupNumber leaf, double memory_mb) const;

  // An attempt starts, or ends.
  void add_running(GroupNumber leaf, const Query& query);
  void remove_running(GroupNumber leaf, const Query& query);

  // When a request that comes to the leaf now, or starts there now, is overdue; Time::max(): never.
  [[nodiscard]] Time wait_deadline(GroupNumber leaf) const;
  [[nodiscard]] Time run_deadline(GroupNumber leaf) const;
  void watch_wait(RequestId request, Time deadline);
  void watch_run(RequestId request, Time deadline);
  void unwatch_wait(RequestId request, Time deadline) { wait_deadlines_.erase({deadline, request}); }
  void unwatch_run(RequestId request, Time deadline) { run_deadlines_.erase({deadline, request}); }
  // Those overdue by now, each once; the ones that wait first.
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
