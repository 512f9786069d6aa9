#include "daemon/event_bus_source.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "daemon/log.hpp"

namespace heronwell::daemon {
namespace {

using namespace std::chrono_literals;

// The longest time for which the bus may hold a poll without events. The bus answers a poll as soon as there
// is an event, so this value delays no event; it limits the time until a bus that does not answer any more is
// detected.
constexpr Time kPollHold = 1s;
// A poll fails if it gets no response within kPollHold plus this time, which allows for delays in the bus and
// for a busy machine.
constexpr Time kPollSlack = 700ms;
// Backoff after a failed poll. The minimum is short enough to reconnect to a restarted bus within one latency
// objective; the maximum is short enough to get a current list soon after a longer outage.
constexpr Time kMinBackoff = 50ms;
constexpr Time kMaxBackoff = 500ms;
// Number of values between which the jitter chooses.
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
    std::string failure;  // set in the catch block, in which co_await is not allowed
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
    if (bus != *bus_) continue;  // switch_event_bus() interrupted the poll: poll the new address at once
    warn("event_bus_failed", fmt::format("{}:{}: {}", bus.host, bus.port, failure));
    co_await poller().sleep(with_jitter(backoff));
    backoff = std::min(backoff * 2, kMaxBackoff);
  }
}

// If the events cannot be parsed, the router starts nevertheless: the first poll requests all events from the
// bus.
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

// When the bus restarts, the polls of all routers fail at the same time. Without jitter, the routers would
// also reconnect at the same time, again and again. Therefore each router waits for a random time between
// half and one and a half of its backoff, chosen anew after each failure.
Time EventBusSource::with_jitter(Time backoff) {
  return backoff / 2 + backoff * (random_() % kJitterSteps) / kJitterSteps;
}

void EventBusSource::switch_event_bus(config::Address bus) {
  if (bus_ == bus) return;
  bus_ = std::move(bus);
  poller().interrupt();
}

}  // namespace heronwell::daemon
