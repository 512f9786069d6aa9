#include "path/descriptor_budget.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace heronwell::path {

DescriptorBudget::DescriptorBudget(ShardEnvironment& environment, const Config& config, Metrics& metrics,
                                   unsigned shard_count, const EnginePools& pools, const ClientMap& clients,
                                   std::function<void(const AttemptPtr&)> resume)
    : environment_(environment),
      config_(config),
      metrics_(metrics),
      pools_(pools),
      clients_(clients),
      resume_(std::move(resume)),
      max_engine_connections_(std::max<std::size_t>(1, config.engines.connections / shard_count)),
      max_closing_clients_(config.platform ? config.platform->ending : 1) {}

bool DescriptorBudget::evict_idle_connection() {
  if (can_open_engine_connection()) return true;
  const auto longest_idle = pools_.longest_idle();
  if (!longest_idle) return false;
  longest_idle->close_unused();
  return true;
}

void DescriptorBudget::wait(const AttemptPtr& attempt) {
  metrics_.descriptor_waits->Increment();
  waiting_.push_back(attempt);
}

void DescriptorBudget::descriptor_freed() {
  if (waiting_.empty() || resume_scheduled_) return;
  resume_scheduled_ = true;
  // Deferred, because the caller may be a connection that is about to close.
  environment_.defer([this] { resume_waiting(); });
}

void DescriptorBudget::resume_waiting() {
  resume_scheduled_ = false;
  auto resumed = std::exchange(waiting_, {});
  while (!resumed.empty()) {
    const auto attempt = std::move(resumed.front());
    resumed.pop_front();
    resume_(attempt);
    if (waiting_.empty()) continue;
    // The attempt found no descriptor and is at the front of the queue again. The others follow in their
    // order.
    waiting_.insert(waiting_.end(), resumed.begin(), resumed.end());
    return;
  }
}

bool DescriptorBudget::can_accept_client() {
  const auto full = [this] { return clients_.size() >= config_.listen.connections + max_closing_clients_; };
  if (full()) free_client_descriptor();
  return !full();
}

void DescriptorBudget::free_client_descriptor() {
  if (!abort_closing_client()) close_idle_client();
}

void DescriptorBudget::close_idle_client_at_cap() {
  if (can_accept_client() && clients_.size() >= config_.listen.connections) close_idle_client();
}

void DescriptorBudget::close_idle_client() {
  std::optional<ClientProtocol::IdleState> first_idle;
  std::shared_ptr<ClientProtocol> first;
  for (const auto& [number, client] : clients_) {
    const auto idle = client->idle_state();
    if (!idle || idle->ending) continue;
    if (first_idle && *first_idle <= *idle) continue;
    first_idle = idle;
    first = client;
  }
  if (first) first->close_when_idle();
}

// Aborts the oldest of the connections that are closing: a second close_when_idle() closes one at once.
bool DescriptorBudget::abort_closing_client() {
  const auto closing = [](const auto& one) {
    const auto idle = one.second->idle_state();
    return idle && idle->ending;
  };
  const auto found = std::ranges::find_if(clients_, closing);
  if (found == clients_.end()) return false;
  const auto client = found->second;
  client->close_when_idle();
  return true;
}

}  // namespace heronwell::path
