// DescriptorBudget decides which connections of a shard may use the file descriptors of the process:
// connections to engines, attempts that wait for such a connection, and client connections.
//
// On the platform the process has few descriptors (`limits.sockets` of its deploy file). They are divided in
// advance among the endpoint list and gossip, clients, clients that are closing, engines, and deletions of
// queries (query_deletions.hpp). This class manages the shares of the engines and of the clients.
//
// It guards against these failures:
// - An attempt that finds no descriptor fails as if its engine were unreachable, and a healthy engine is
//   ejected. Instead, the attempt closes the engine connection that has been idle longest, whichever engine
//   it belongs to, or waits in a queue.
// - Idle clients occupy all descriptors, and a new client can't connect. The client that has been idle
//   longest is closed gracefully. If clients arrive faster than graceful closing frees descriptors, a
//   connection that is already closing is aborted.
//
// Limits, in connections: `engines.connections` of the configuration, divided by the number of shards, limits
// the connections of a shard to one engine, or on the platform to all engines together. Clients are limited
// to `listen.connections`, plus `ending` clients that are closing on the platform. Off the platform, only the
// limit on connections to one engine applies.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "path/engine_pool.hpp"
#include "path/metrics.hpp"

namespace heronwell::path {

// Client connections of a shard, by connection number.

class DescriptorBudget {
 public:
  // `resume` is called for a waiting attempt when it may try to get a connection again; it may call wait()
  // again. `pools` and `clients` belong to the shard and must outlive this object; their maps are only read.
  DescriptorBudget(ShardEnvironment& environment, const Config& config, Metrics& metrics,
                   unsigned shard_count, const EnginePools& pools, const ClientMap& clients,
                   std::function<void(const AttemptPtr&)> resume);

  // ---- connections to engines
  [[nodiscard]] std::size_t max_engine_connections() const { return max_engine_connections_; }
  [[nodiscard]] bool can_open_engine_connection() const {
    return pools_.connection_count() < max_engine_connections_;
  }
  // Makes room for one more connection to an engine, if necessary by closing the connection that has been
  // idle longest. Returns false if all connections are in use.
  bool evict_idle_connection();
  // Appends the attempt to the queue of attempts that wait for a descriptor.
  void wait(const AttemptPtr& attempt);
  // Removes the attempt from the queue. Returns false if it was not in the queue.
  bool stop_waiting(const AttemptPtr& attempt) { return std::erase(waiting_, attempt) > 0; }
  // Must be called when a connection to an engine has become idle or is closed. Schedules the waiting
  // attempts to be resumed in their order.
  void descriptor_freed();

  // ---- clients
  // Returns whether one more client may be accepted. At the limit, first tries to free the descriptor of
  // another client.
  bool can_accept_client();
  // Frees a descriptor for a new client: aborts a connection that is closing or, if there is none, starts to
  // close an idle one.
  void free_client_descriptor();
  // Must be called when one more client is about to be served. At the limit, starts to close an idle client
  // gracefully; its descriptor is freed later.
  void close_idle_client_at_cap();

 private:
  void resume_waiting();
  void close_idle_client();
  bool abort_closing_client();

  ShardEnvironment& environment_;
  const Config& config_;
  Metrics& metrics_;
  const EnginePools& pools_;
  const ClientMap& clients_;
  std::function<void(const AttemptPtr&)> resume_;
  std::size_t max_engine_connections_;
  std::size_t max_closing_clients_;
  std::deque<AttemptPtr> waiting_;
  bool resume_scheduled_ = false;
};

}  // namespace heronwell::path
