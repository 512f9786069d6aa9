// Fixture with a request registry that has one query class and a clock that the test advances.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "router/request_registry.hpp"

namespace heronwell::router {

class RequestRegistryFixture : public testing::Test {
 protected:
  static Settings one_class(Idempotency idempotency) {
    using namespace std::chrono_literals;
    Settings settings;
    settings.classes = {
        {.name = "lookup", .latency_objective = 500ms, .timeout = 2s, .idempotency = idempotency}};
    settings.machine_types = {{.name = "small", .cores = 4}};
    settings.max_attempts = 3;
    settings.cancellation_enabled = true;
    settings.drain_grace_period = 500ms;
    return settings;
  }
  void set_engine_count(unsigned engines) {
    EndpointUpdate update;
    for (EngineId id = 1; id <= engines; ++id) update.endpoints.push_back({.engine = id});
    registry->endpoints_updated(update);
  }
  void add_request(Ticket ticket, Time time_left = std::chrono::seconds(2), const std::string& group = "") {
    RequestSpec spec;
    spec.ticket = ticket;
    spec.request.time_left = time_left;
    spec.group = group;
    registry->add_request(now, spec);
  }
  void finish_attempt(Ticket ticket, AttemptIndex attempt, AttemptResult result) {
    registry->attempt_finished(now, {.ticket = ticket, .attempt = attempt, .result = result, .at = now});
  }
  void run_until_idle() {
    do registry->run(now, commands);
    while (registry->next_due() <= Time::zero());
  }
  // Advances the clock and runs the registry whenever it is due, as the daemon does.
  void advance_time(Time duration) {
    const auto until = now + duration;
    while (true) {
      const auto due = registry->next_due();
      now = std::max(now, std::min(due, until));
      registry->run(now, commands);
      if (due > until) return;
    }
  }
  template <class CommandType>
  std::vector<CommandType> commands_of() const {
    std::vector<CommandType> found;
    for (const auto& command : commands)
      if (const auto* matching = std::get_if<CommandType>(&command)) found.push_back(*matching);
    return found;
  }

  std::optional<RequestRegistry> registry;
  std::vector<Command> commands;  // all commands so far
  Time now = std::chrono::seconds(100);
};

}  // namespace heronwell::router
