// EnginePools holds the connections of one shard to its engines, with one EnginePool for each engine.
//
// A connection is opened for an attempt. When its statement or call is finished, it returns to its pool. The
// most recently used idle connection is reused first, so that the others stay idle long enough to be closed.
//
// Each pool records the address of its engine and whether the engine accepts work. When the engine stops
// accepting work or moves, its idle connections are closed at once; a busy connection checks both values
// before it returns to the pool. Without these checks, queries would run on a process that is draining and
// about to exit, or on another engine that now uses the old address.
//
// The number of connections is limited by DescriptorBudget (descriptor_budget.hpp). The time that a
// connection may stay idle is `engines.idle_close` of the configuration.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "path/client_request.hpp"
#include "path/protocols.hpp"

namespace heronwell::path {

using EngineConnectionPtr = std::shared_ptr<EngineProtocol>;

// The connections of one shard to one engine.
struct EnginePool {
  EngineId id = 0;
  config::Address address;
  bool accepts_work = true;                          // the endpoint is ready: neither draining nor removed
  std::vector<EngineConnectionPtr> idle;             // oldest first
  std::map<std::uint64_t, EngineConnectionPtr> all;  // idle, busy and connecting, by connection number

  // Removes from `idle` the most recently used connection that is reusable at `now`, and returns it. Returns
  // null if there is none.
  EngineConnectionPtr take_idle(Time now);
  // Removes a connection that has been closed.
  void remove(std::uint64_t number, const EngineConnectionPtr& connection);
};

// The pools of one shard, by engine. All calls are made on the thread of the shard.
class EnginePools {
 public:
  // Returns null if the engine was never in the endpoint list, or was removed from it and has no connection
  // left.
  EnginePool* find(EngineId id);
  // Applies a snapshot of the endpoint list. Engines that are missing from it no longer accept work.
  void update_endpoints(const EndpointMap& endpoints);
  // Closes connections that have been idle for longer than `max_idle`.
  void close_idle_connections(Time now, Time max_idle);
  // Erases the pools of engines that accept no work and have no connection left.
  void erase_removed_engines();
  // Closes all connections without ending the attempts on them. Used when the shard is destroyed.
  void close_all();

  [[nodiscard]] bool any_accepts_work() const;
  [[nodiscard]] std::size_t connection_count() const;
  [[nodiscard]] std::size_t idle_connection_count() const;
  // Returns the connection that has been idle longest, over all engines, or null if none is idle.
  [[nodiscard]] EngineConnectionPtr longest_idle() const;

 private:
  std::map<EngineId, EnginePool> pools_;
};

}  // namespace heronwell::path
