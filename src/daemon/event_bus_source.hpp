// EventBusSource reads the endpoint list from the platform's event bus with long polls
// (/bus/read?from=OFFSET&hold=MS).
//
// The platform's configuration contains the events up to the router's start, so that the router has its first
// list before the bus answers. After that, each poll requests the events after the last one that was applied;
// the bus holds its response until there is an event, for kPollHold at most. A poll that fails, or has no
// response after kPollHold plus kPollSlack, is repeated on a new connection after a backoff.
//
// A reload (SIGHUP, reload.hpp) may change the address of the bus: the poll in progress is aborted, and the
// new address is polled at once from the same offset, because offsets do not depend on the address of the
// bus.
#pragma once

#include <optional>
#include <random>

#include "bus/endpoint_event_reader.hpp"
#include "daemon/endpoint_source.hpp"

namespace heronwell::daemon {

class EventBusSource final : public EndpointSource {
 public:
  EventBusSource(Executor executor, const config::Config& config, Publish publish);
  void switch_event_bus(config::Address bus) override;

 private:
  asio::awaitable<void, Executor> watch() override;
  void apply_events_up_to_start();
  asio::awaitable<void, Executor> poll(config::Address bus);
  // Returns a random time from half of `backoff` to one and a half of it.
  [[nodiscard]] Time with_jitter(Time backoff);

  bus::EndpointEventReader events_;
  std::optional<config::Address> bus_;  // set when watch() starts
  std::minstd_rand random_;             // for the jitter
};

}  // namespace heronwell::daemon
