#include "daemon/consul_source.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "daemon/log.hpp"

namespace heronwell::daemon {
namespace {

// Consul prolongs a blocking query by up to wait/16, so that the queries of many watchers do not all return
// at the same time (see "Blocking Queries" in the documentation of Consul).
constexpr int kConsulWaitSpread = 16;

}  // namespace

asio::awaitable<void, Executor> ConsulSource::watch() {
  const auto& list = config().endpoint_list;
  std::size_t next_server = 0;
  Time backoff = list.min_backoff;
  while (!stopped()) {
    const auto& server = list.consul_servers[next_server];
    std::string failure;  // set in the catch block, in which co_await is not allowed
    try {
      co_await query(server);
    } catch (const std::exception& error) {
      failure = error.what();
    }
    if (stopped()) break;
    if (failure.empty()) {
      backoff = list.min_backoff;
      // Index 0 means that the server does not support blocking queries.
      if (index_ == 0) co_await poller().sleep(list.max_backoff);
      continue;
    }
    index_ = 0;
    warn("endpoint_list_failed", fmt::format("{}:{}: {}", server.host, server.port, failure));
    publish_failure();
    next_server = (next_server + 1) % list.consul_servers.size();
    co_await poller().sleep(backoff);
    backoff = std::min(backoff * 2, list.max_backoff);
  }
}

asio::awaitable<void, Executor> ConsulSource::query(config::Address server) {
  const auto& list = config().endpoint_list;
  const auto previous = index_;
  auto target = fmt::format("/v1/health/service/{}", list.service);
  Time limit = list.poll_timeout;
  if (previous > 0) {
    target += fmt::format("?index={}&wait={}ms", previous, list.poll_wait / std::chrono::milliseconds(1));
    limit += list.poll_wait + list.poll_wait / kConsulWaitSpread;
  }
  const auto response = co_await poller().get(server, target, limit);
  index_ = response.consul_index;
  // The server has reset its index if the index decreases. The next query must then be sent without an index,
  // as the documentation of Consul requires.
  if (index_ < previous) index_ = 0;
  if (index_ != previous || previous == 0) publish(fleet::read_consul(response.body));
}

}  // namespace heronwell::daemon
