// ConsulSource reads the endpoint list from Consul's health API with blocking queries
// (/v1/health/service/NAME?index=N&wait=T).
//
// Each response carries an index. The server holds the next query until its index exceeds that value or until
// list.wait is over. The router gives up a query after list.timeout plus the wait plus the sixteenth of it
// by which Consul may prolong a wait.
//
// After a failed query the source waits for a backoff and then queries the next address of list.consul,
// without an index. The backoff starts at list.retry_least and doubles with each further failure, up to
// list.retry_most. A server without support for blocking queries (index 0) is polled every list.retry_most.
#pragma once

#include <cstdint>

#include "daemon/endpoint_source.hpp"

namespace heronwell::daemon {

class ConsulSource final : public EndpointSource {
 public:
  ConsulSource(Executor executor, const config::Config& config, Publish publish)
      : EndpointSource(executor, config, std::move(publish)) {}

 private:
  asio::awaitable<void, Executor> watch() override;
  // Sends one query and publishes the list in its response. Throws on any failure.
  asio::awaitable<void, Executor> query(config::Address server);

  std::uint64_t index_ = 0;  // of the current list; 0: none, the server answers the next query at once
};

}  // namespace heronwell::daemon
