#include "groups/shares.hpp"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

namespace heronwell::groups {
namespace {

using namespace std::chrono_literals;

// Interval at which attempts that run longer than charged are charged again. It is short compared with the
// slack, so that a group with a long report is charged before its siblings have waited for it.
constexpr Time kChargeInterval = 50ms;

// Longest gap between two calls that is not treated as a pause of this router. It is several ticks of the
// decision engine and less than the default `patience`, so that no group is skipped because the router itself
// was suspended.
constexpr Time kMaxCallGap = 200ms;

ShareContext context_of(ShareSettings settings, std::vector<ClassFacts> classes) {
  ShareContext context;
  context.settings = settings;
  context.classes = std::move(classes);
  for (const auto& cls : context.classes)
    context.max_query_threads = std::max(context.max_query_threads, cls.threads);
  return context;
}

}  // namespace

Shares::Shares(Tree tree, std::vector<ClassFacts> classes, ShareSettings settings)
    : context_(context_of(settings, std::move(classes))), tree_(std::move(tree)), costs_(context_) {
  directory_.build(tree_);
}

// ---- time and charges ------------------------------------------------------------------------------------
void Shares::advance_time(Time now, double pool) {
  if (now > context_.now + kMaxCallGap && context_.now > Time::zero())
    dispatch_.exclude_pause(now - context_.now);
  context_.now = std::max(now, context_.now);
  context_.pool_threads = pool;
  context_.fleet_threads = std::max(1.0, pool) * static_cast<double>(1 + gossip_.live_routers());
  gossip_.start_sums(now);
  if (context_.now >= last_charge_ + kChargeInterval) charge_running();
}

// Charges the attempts that run longer than they were charged for.
void Shares::charge_running() {
  last_charge_ = context_.now;
  directory_.sweep();
  for (const auto id : running_) {
    auto& request = requests_.at(id);
    const auto threads = context_.classes[request.query.cls].threads;
    for (auto& attempt : request.in_flight) {
      if (attempt.ended) continue;
      const double more = seconds(context_.now - attempt.sent) * threads - attempt.charged;
      if (more <= 0) continue;
      attempt.charged += more;
      charge(request.node, more, UsedBy::this_router);
    }
  }
}

void Shares::charge(GroupNumber leaf, double amount, UsedBy used_by) {
  if (amount == 0) return;
  shares_.charge(leaf, amount, used_by);
  if (used_by == UsedBy::this_router) gossip_.mark_changed(leaf);
}

void Shares::receive_gossip(std::uint32_t from, std::string_view bytes) {
  for (const auto& used : gossip_.receive(from, bytes))
    charge(used.leaf, used.thread_seconds, UsedBy::other_router);
}

// ---- requests --------------------------------------------------------------------------------------------
Limit Shares::admit(RequestId id, std::string_view path, bool from_template, const Query& query) {
  const auto place = directory_.place(path, from_template);
  const auto limit = place.limit == Limit::none ? limits_.check(place.group, query) : place.limit;
  if (limit != Limit::none) {
    limits_.count_rejected(place.group, limit);
    return limit;
  }
  auto& request = requests_[id];
  request.node = place.group;
  request.query = query;
  request.arrival = ++arrivals_;
  request.wait_deadline = std::min(request.wait_deadline, limits_.wait_deadline(place.group));
  shares_.count_request(place.group);
  enqueue(id, request);
  return Limit::none;
}

void Shares::enqueue(RequestId id, GroupRequest& request) {
  request.waiting = true;
  limits_.watch_wait(id, request.wait_deadline);
  order_.push(request.node, request.query.cls, request.arrival, id);
  for (auto group = request.node;; group = nodes_[group].parent) {
    const bool begins = order_.count_queued(group);
    if (group == kRootGroup) break;
    if (begins) begin_to_wait(group);
    order_.count_queued(group, request.query.cls);
    order_.rekey_if_first_come(group);
  }
}

void Shares::begin_to_wait(GroupNumber group) {
  dispatch_.begin_to_wait(group);
  const auto parent = nodes_[group].parent;
  if (nodes_[parent].settings.policy != Policy::fair) return;
  shares_.begin_to_wait(group, dispatch_.first_in_order(parent));
}

void Shares::dequeue(RequestId id, GroupRequest& request) {
  if (!std::exchange(request.waiting, false)) return;
  limits_.unwatch_wait(id, request.wait_deadline);
  order_.remove(request.node, request.query.cls, request.arrival, id);
  for (auto group = request.node; group != kRootGroup; group = nodes_[group].parent)
    if (nodes_[group].queue.queued == 0) shares_.note_idle(group);
}

void Shares::attempt_started(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  auto& request = found->second;
  const bool waited = request.waiting;
  dequeue(id, request);
  const double cost = costs_.expected(request.query);
  request.in_flight.push_back({context_.now, cost});
  running_.insert(id);
  limits_.add_running(request.node, request.query);
  if (waited) {
    dispatch_.started(request.node);
    request.run_deadline = std::min(request.run_deadline, limits_.run_deadline(request.node));
  }
  limits_.watch_run(id, request.run_deadline);
  charge(request.node, cost, UsedBy::this_router);
}

void Shares::attempt_ended(RequestId id, std::size_t attempt, bool ran) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || attempt >= found->second.in_flight.size()) return;
  auto& request = found->second;
  auto& ended = request.in_flight[attempt];
  if (std::exchange(ended.ended, true)) return;
  const auto threads = context_.classes[request.query.cls].threads;
  limits_.remove_running(request.node, request.query);
  for (auto group = request.node; group != kRootGroup; group = nodes_[group].parent) order_.rekey(group);
  context_.freed_threads += threads;
  // An attempt that provably never ran costs nothing.
  const double used = ran ? seconds(context_.now - ended.sent) * threads : 0;
  charge(request.node, used - ended.charged, UsedBy::this_router);
  if (ran) costs_.learn(request.query, used);
  if (request.running()) return;
  running_.erase(id);
  limits_.unwatch_run(id, request.run_deadline);
  request.run_deadline = Time::max();
  if (request.finished) erase_request(id);
}

void Shares::request_requeued(RequestId id) {
  const auto found = requests_.find(id);
  if (found != requests_.end() && !found->second.waiting && !found->second.finished)
    enqueue(id, found->second);
}

void Shares::request_finished(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  auto& request = found->second;
  request.finished = true;
  dequeue(id, request);
  limits_.unwatch_run(id, request.run_deadline);
  if (!request.running()) erase_request(id);
}

void Shares::erase_request(RequestId id) {
  const auto leaf = requests_.at(id).node;
  requests_.erase(id);
  shares_.uncount_request(leaf);
  directory_.remove_if_unused(leaf);
}

std::vector<OverdueRequest> Shares::take_overdue() {
  auto overdue = limits_.take_overdue();
  for (const auto& one : overdue) limits_.count_rejected(requests_.at(one.request).node, one.limit);
  return overdue;
}

// ---- views -----------------------------------------------------------------------------------------------
std::vector<GroupView> Shares::view() const {
  std::vector<GroupView> views;
  GroupNumber next = kRootGroup;
  views_.scan(next, std::numeric_limits<std::size_t>::max(), views);
  return views;
}

}  // namespace heronwell::groups
