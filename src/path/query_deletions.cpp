#include "path/query_deletions.hpp"

#include <algorithm>
#include <utility>

#include "path/query_deletion.hpp"

namespace heronwell::path {
namespace {

// Maximum number of request ids that are recorded as possibly run. Each stands for an attempt of a request that is
// not idempotent, and engines run far fewer of these for one router within one deadline. Further ids
// are not recorded, and their reuse is not rejected.
constexpr std::size_t kMaxPossiblyRanIds = 4096;

}  // namespace

QueryDeletions::QueryDeletions(std::size_t max_connections) : max_connections_(max_connections) {}

QueryDeletions::~QueryDeletions() = default;

bool QueryDeletions::can_open_connection() const {
  const auto has_connection = [](const auto& one) { return one.second->dialled(); };
  return static_cast<std::size_t>(std::ranges::count_if(deletions_, has_connection)) < max_connections_;
}

void QueryDeletions::add(std::uint64_t number, const std::string& request_id,
                         std::shared_ptr<QueryDeletion> deletion) {
  ++pending_[request_id].attempts;
  deletions_.emplace(number, std::move(deletion));
}

void QueryDeletions::remove(std::uint64_t number) { deletions_.erase(number); }

AttemptPtr QueryDeletions::confirm(const std::string& request_id) {
  const auto found = pending_.find(request_id);
  if (found == pending_.end() || --found->second.attempts > 0) return nullptr;
  auto waiting = std::move(found->second.waiting);
  pending_.erase(found);
  return waiting;
}

void QueryDeletions::abandon_all() {
  for (const auto& [number, deletion] : std::map(deletions_)) deletion->abandon();
}

bool QueryDeletions::wait(const AttemptPtr& attempt) {
  const auto found = pending_.find(attempt->request->client_request_id);
  if (found == pending_.end()) return false;
  found->second.waiting = attempt;
  return true;
}

bool QueryDeletions::stop_waiting(const AttemptPtr& attempt) {
  if (!attempt->request) return false;
  const auto found = pending_.find(attempt->request->client_request_id);
  if (found == pending_.end() || found->second.waiting != attempt) return false;
  found->second.waiting = nullptr;
  return true;
}

AttemptPtr QueryDeletions::take_waiting(const std::string& request_id) {
  const auto found = pending_.find(request_id);
  return found == pending_.end() ? nullptr : std::exchange(found->second.waiting, nullptr);
}

void QueryDeletions::remember_possibly_ran(const std::string& request_id, Time until) {
  if (possibly_ran_until_.size() < kMaxPossiblyRanIds) possibly_ran_until_[request_id] = until;
}

void QueryDeletions::forget_expired(Time now) {
  std::erase_if(possibly_ran_until_, [now](const auto& one) { return one.second <= now; });
}

}  // namespace heronwell::path
