#include "engine_table.hpp"

#include <algorithm>
#include <functional>
#include <numeric>

namespace heronwell {
namespace {
// A pool is small if it has threads for fewer queries than this of the class with the most threads per query.
// One query more or less is then a large part of a budget, so budgets cannot keep the classes apart.
constexpr double kSmallPoolQueries = 4;
}  // namespace

EngineTable::EngineTable(const Settings& settings) : settings_(settings) {
  for (const auto& cls : settings.classes) max_query_threads_ = std::max(max_query_threads_, cls.threads);
}

void EngineTable::begin_snapshot() {
  for (auto& [id, engine] : engines_) engine.is_listed_ready.edit() = false;
}

void EngineTable::set_endpoint(Engine& engine, const Endpoint& endpoint) {
  engine.endpoint.edit() = endpoint;
  engine.is_listed_ready.edit() =
      endpoint.state == EndpointState::ready && endpoint.machine_type < settings_.machine_types.size();
}

void EngineTable::refresh() {
  is_changed_ = false;
  ready_.clear();
  pool_threads_ = cores_ = 0;
  std::erase_if(engines_, [](const auto& entry) { return entry.second.is_gone(); });
  for (auto& [id, engine] : engines_) {
    if (!engine.is_ready()) continue;
    ready_.push_back(&engine);
    cores_ += cores(engine);
    if (!engine.is_ejected()) pool_threads_ += kThreadsPerCore * cores(engine) / settings_.router_count;
  }
  is_pool_small_ = pool_threads_ < kSmallPoolQueries * max_query_threads_;
}

void EngineTable::start_attempt(Engine& engine, RequestId request, AttemptIndex attempt, unsigned threads) {
  auto& usage = engine.usage.edit();
  usage.in_flight.insert({request, attempt});
  usage.threads += threads;
  ++usage.queries;
  busy_.insert(engine.id());
}

void EngineTable::finish_attempt(Engine& engine, RequestId request, AttemptIndex attempt, unsigned threads) {
  auto& usage = engine.usage.edit();
  usage.in_flight.erase({request, attempt});
  usage.threads -= threads;
  if (--usage.queries == 0) busy_.erase(engine.id());
}

Engine* EngineTable::find(EngineId engine) {
  const auto found = engines_.find(engine);
  return found == engines_.end() ? nullptr : &found->second;
}

unsigned EngineTable::queries_in_flight() const {
  return std::transform_reduce(busy_.begin(), busy_.end(), 0U, std::plus<>(),
                               [this](EngineId id) { return engines_.at(id).usage->queries; });
}

}  // namespace heronwell
