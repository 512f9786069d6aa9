#include "groups/group_limits.hpp"

#include <algorithm>
#include <array>

namespace heronwell::groups {

std::string_view name_of(Limit limit) {
  constexpr std::array<std::string_view, 9> names{"none",         "unknown_group", "made",
                                                  "queued",       "query_threads", "query_work",
                                                  "query_memory", "wait",          "run"};
  return names[static_cast<std::size_t>(limit)];
}

Limit GroupLimits::check(GroupNumber leaf, const Query& query) const {
  const auto threads = context_.classes[query.cls].threads;
  for (auto group = leaf; group != kRootGroup; group = nodes_[group].parent) {
    const auto& node = nodes_[group];
    const auto& settings = node.settings;
    if (threads > settings.max_threads) return Limit::query_threads;
    if (query.work && settings.query_work && *query.work > *settings.query_work) return Limit::query_work;
    if (query.memory_mb > std::min(settings.query_memory_mb, settings.max_memory_mb))
      return Limit::query_memory;
    // A group with max_queued 0 still accepts a request that can start at once.
    const bool queue_full = node.queue.queued >= std::max<std::size_t>(1, settings.max_queued);
    if (queue_full || (settings.max_queued == 0 && at_ceiling(group, query.cls))) return Limit::queued;
  }
  return Limit::none;
}

bool GroupLimits::at_ceiling(GroupNumber group, ClassIndex cls) const {
  const auto& node = nodes_[group];
  if (node.usage.running == 0) return false;  // requests that could never run are not admitted
  return node.usage.running + context_.classes[cls].threads >
             node.settings.max_threads / context_.settings.gateways ||
         node.usage.memory_mb >= node.settings.max_memory_mb / context_.settings.gateways;
}

bool GroupLimits::memory_fits(GroupNumber leaf, double memory_mb) const {
  if (memory_mb <= 0) return true;
  for (auto group = leaf; group != kRootGroup; group = nodes_[group].parent) {
    const auto& node = nodes_[group];
    if (node.usage.running > 0 &&
        node.usage.memory_mb + memory_mb > node.settings.max_memory_mb / context_.settings.gateways)
      return false;
  }
  return true;
}

void GroupLimits::add_running(GroupNumber leaf, const Query& query) {
  for (auto group = leaf;; group = nodes_[group].parent) {
    auto& usage = nodes_[group].usage;
    usage.running += context_.classes[query.cls].threads;
    usage.memory_mb += query.memory_mb;
    if (group == kRootGroup) break;
  }
}

void GroupLimits::remove_running(GroupNumber leaf, const Query& query) {
  for (auto group = leaf;; group = nodes_[group].parent) {
    auto& usage = nodes_[group].usage;
    usage.running -= context_.classes[query.cls].threads;
    usage.memory_mb = std::max(0.0, usage.memory_mb - query.memory_mb);
    if (group == kRootGroup) break;
  }
}

Time GroupLimits::wait_deadline(GroupNumber leaf) const {
  auto deadline = Time::max();
  for (auto group = leaf; group != kRootGroup; group = nodes_[group].parent) {
    const auto& longest_wait = nodes_[group].settings.longest_wait;
    if (longest_wait) deadline = std::min(deadline, context_.now + *longest_wait);
  }
  return deadline;
}

Time GroupLimits::run_deadline(GroupNumber leaf) const {
  auto deadline = Time::max();
  for (auto group = leaf; group != kRootGroup; group = nodes_[group].parent) {
    const auto& query_time = nodes_[group].settings.query_time;
    if (query_time) deadline = std::min(deadline, context_.now + *query_time);
  }
  return deadline;
}

void GroupLimits::watch_wait(RequestId request, Time deadline) {
  if (deadline != Time::max()) wait_deadlines_.insert({deadline, request});
}

void GroupLimits::watch_run(RequestId request, Time deadline) {
  if (deadline != Time::max()) run_deadlines_.insert({deadline, request});
}

void GroupLimits::take_overdue(Deadlines& deadlines, Limit limit,
                               std::vector<OverdueRequest>& overdue) const {
  while (!deadlines.empty() && deadlines.begin()->first <= context_.now) {
    overdue.push_back({deadlines.begin()->second, limit});
    deadlines.erase(deadlines.begin());
  }
}

std::vector<OverdueRequest> GroupLimits::take_overdue() {
  std::vector<OverdueRequest> overdue;
  take_overdue(wait_deadlines_, Limit::wait, overdue);
  take_overdue(run_deadlines_, Limit::run, overdue);
  return overdue;
}

Time GroupLimits::next_deadline() const {
  const auto first = [](const Deadlines& deadlines) {
    return deadlines.empty() ? Time::max() : deadlines.begin()->first;
  };
  return std::min(first(wait_deadlines_), first(run_deadlines_));
}

void GroupLimits::clear_deadlines() {
  wait_deadlines_.clear();
  run_deadlines_.clear();
}

}  // namespace heronwell::groups
