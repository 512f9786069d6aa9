#include "path/engine_pool.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace heronwell::path {

EngineConnectionPtr EnginePool::take_idle(Time now) {
  const auto reusable = std::ranges::find_if(idle.rbegin(), idle.rend(),
                                             [now](const auto& one) { return one->reusable_at() <= now; });
  if (reusable == idle.rend()) return nullptr;
  auto connection = *reusable;
  idle.erase(std::next(reusable).base());
  return connection;
}

void EnginePool::remove(std::uint64_t number, const EngineConnectionPtr& connection) {
  all.erase(number);
  std::erase(idle, connection);
}

EnginePool* EnginePools::find(EngineId id) {
  const auto found = pools_.find(id);
  return found == pools_.end() ? nullptr : &found->second;
}

void EnginePools::update_endpoints(const EndpointMap& endpoints) {
  for (const auto& [id, known] : endpoints) {
    auto& pool = pools_[id];
    config::Address address{known.entry.host, known.entry.port};
    const bool ready = known.entry.state == EndpointState::ready;
    const bool moved = pool.address != address;
    pool.id = id;
    pool.accepts_work = ready;
    pool.address = std::move(address);
    if (ready && !moved) continue;
    // Iterates over a copy, because a connection removes itself from the pool when it closes.
    for (const auto& connection : std::vector(pool.idle)) connection->close_unused();
  }
  for (auto& [id, pool] : pools_)
    if (!endpoints.contains(id)) pool.accepts_work = false;
}

void EnginePools::close_idle_connections(Time now, Time max_idle) {
  for (auto& [id, pool] : pools_)
    for (const auto& connection : std::vector(pool.idle))
      if (now > connection->idle_since() + max_idle) connection->close_unused();
}

void EnginePools::erase_removed_engines() {
  std::erase_if(pools_, [](const auto& one) { return !one.second.accepts_work && one.second.all.empty(); });
}

void EnginePools::close_all() {
  for (auto& [id, pool] : pools_)
    for (const auto& [number, connection] : std::map(pool.all)) connection->close_unused();
}

bool EnginePools::any_accepts_work() const {
  return std::ranges::any_of(pools_, [](const auto& one) { return one.second.accepts_work; });
}

std::size_t EnginePools::connection_count() const {
  std::size_t count = 0;
  for (const auto& [id, pool] : pools_) count += pool.all.size();
  return count;
}

std::size_t EnginePools::idle_connection_count() const {
  std::size_t count = 0;
  for (const auto& [id, pool] : pools_) count += pool.idle.size();
  return count;
}

EngineConnectionPtr EnginePools::longest_idle() const {
  EngineConnectionPtr longest;
  for (const auto& [id, pool] : pools_)
    for (const auto& connection : pool.idle)
      if (!longest || connection->idle_since() < longest->idle_since()) longest = connection;
  return longest;
}

}  // namespace heronwell::path
