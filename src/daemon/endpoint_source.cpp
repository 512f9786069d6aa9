#include "daemon/endpoint_source.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "daemon/consul_source.hpp"
#include "daemon/endpoint_file_source.hpp"
#include "daemon/event_bus_source.hpp"

namespace heronwell::daemon {

EndpointSource::EndpointSource(Executor executor, const config::Config& config, Publish publish)
    : executor_(executor), config_(config), publish_(std::move(publish)), poller_(executor, config.name) {}

void EndpointSource::start() {
  asio::co_spawn(
      executor_, [this] { return watch(); }, asio::detached);
}

void EndpointSource::stop() {
  stopped_ = true;
  poller_.interrupt();
}

std::unique_ptr<EndpointSource> create_endpoint_source(Executor executor, const config::Config& config,
                                                       EndpointSource::Publish publish) {
  if (config.platform) return std::make_unique<EventBusSource>(executor, config, std::move(publish));
  if (config.endpoint_list.file.empty())
    return std::make_unique<ConsulSource>(executor, config, std::move(publish));
  return std::make_unique<EndpointFileSource>(executor, config, std::move(publish));
}

}  // namespace heronwell::daemon
