// EndpointSource is the base class of the sources of the endpoint list. The configuration selects one of
// three:
//
//   a YAML file that is polled                 endpoint_file_source.hpp   list.file
//   Consul's health API, by blocking queries   consul_source.hpp          list.consul
//   the platform's event bus, by long polls    event_bus_source.hpp       the sub-command `node`
//
// A source publishes a complete list whenever the list differs from the one before. If a list is late,
// unreachable or cannot be parsed, the last list stays in effect, and the source logs the failure and retries
// with a backoff. The use of a list for routing and its maximum age are implemented elsewhere (fleet,
// decision).
//
// Thread: the decision thread. A source is an Asio coroutine there, which ends after stop().
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

#include "daemon/clock.hpp"
#include "daemon/http_poller.hpp"
#include "path/client_request.hpp"

namespace heronwell::daemon {

class EndpointSource {
 public:
  using Publish = std::function<void(path::EndpointsChanged)>;

  virtual ~EndpointSource() = default;
  EndpointSource(const EndpointSource&) = delete;
  EndpointSource& operator=(const EndpointSource&) = delete;

  void start();
  // After this call, nothing is published any more.
  void stop();
  // Switches to the address of the event bus that a reload has set. The other sources ignore it.
  virtual void switch_event_bus(config::Address) {}

 protected:
  EndpointSource(Executor executor, const config::Config& config, Publish publish);

  // Runs until stopped().
  virtual asio::awaitable<void, Executor> watch() = 0;

  [[nodiscard]] bool stopped() const { return stopped_; }
  [[nodiscard]] const config::Config& config() const { return config_; }
  HttpPoller& poller() { return poller_; }
  void publish(std::vector<fleet::EndpointEntry> entries) { publish_({false, std::move(entries)}); }
  // Reports a failure of the source, which is counted. The last list stays in effect.
  void publish_failure() { publish_({true, {}}); }

 private:
  Executor executor_;
  const config::Config& config_;
  Publish publish_;
  HttpPoller poller_;
  bool stopped_ = false;
};

// Creates the source that the configuration selects. After start(), `publish` is called on `executor`.
std::unique_ptr<EndpointSource> create_endpoint_source(Executor executor, const config::Config& config,
                                                       EndpointSource::Publish publish);

}  // namespace heronwell::daemon
