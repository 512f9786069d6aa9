#include "daemon/event_bus_source.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "daemon/log.hpp"

namespace heronwell::daemon {
namespace {

using namespace std::chrono_literals;

// How long the bus may hold a poll without events. A change ends the poll at once, so this does not delay
// news; it bounds how long a bus that has gone silent is believed to have none.
constexpr Time kPollHold = 1s;
// Past kPollHold until a poll counts as silent: the bus's own delay and a busy machine.
constexpr Time kPollSlack = 700ms;
// Between polls that fail. The least lets a bus that restarts be found within one latency objective; the most
// keeps the list fresh once a longer outage is over.
constexpr Time kMinBackoff = 50ms;
constexpr Time kMaxBackoff = 500ms;
// Steps of the jitter.
constexpr int kJitterSteps = 1000;

}  // namespace

EventBusSource::EventBusSource(Executor executor, const config::Config& config, Publish publish)
    : EndpointSource(executor, config, std::move(publish)),
      random_(config.seed ? static_cast<unsigned>(*config.seed) : std::random_device()()) {}

asio::awaitable<void, Executor> EventBusSource::watch() {
  bus_ = config().platform->bus;
  Time backoff = kMinBackoff;
  apply_events_up_to_start();
  while (!stopped()) {
    const auto bus = *bus_;
    std::string failure;  // co_await is not allowed in a handler
    try {
      co_await poll(bus);
    } catch (const std::exception& error) {
      failure = error.what();
    }
    if (stopped()) break;
    if (failure.empty()) {
      backoff = kMinBackoff;
      continue;
    }
    if (bus != *bus_) continue;  // it has moved: the new address is asked at once
    warn("event_bus_failed", fmt::format("{}:{}: {}", bus.host, bus.port, failure));
    co_await poller().sleep(with_jitter(backoff));
    backoff = std::min(backoff * 2, kMaxBackoff);
  }
}

// Events that cannot be read are no reason to end: the first poll asks the bus for all of them.
void EventBusSource::apply_events_up_to_start() {
  try {
    if (events_.apply(config().platform->initial_events)) publish(events_.entries());
  } catch (const std::exception& error) {
    warn("event_snapshot_unreadable", error.what());
  }
}

asio::awaitable<void, Executor> EventBusSource::poll(config::Address bus) {
  const auto target = fmt::format("/bus/read?from={}&hold={}", events_.offset(), kPollHold / 1ms);
  const auto response = co_await poller().get(bus, target, kPollHold + kPollSlack);
  if (events_.apply(response.body)) publish(events_.entries());
}

// Failure: when a bus restarts, all its routers lose their polls in the same moment and would come back in
// the same moment, again and again. Guard: each waits half to one and a half of its backoff, drawn anew.
Time EventBusSource::with_jitter(Time backoff) {
  return backoff / 2 + backoff * (random_() % kJitterSteps) / kJitterSteps;
}

void EventBusSource::switch_event_bus(config::Address bus) {
  if (bus_ == bus) return;
  bus_ = std::move(bus);
  poller().interrupt();
}

}  // namespace heronwell::daemon
