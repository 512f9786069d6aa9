#include "rehearsal/fault_schedule.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <pcg_random.hpp>

namespace heronwell::rehearsal {
namespace {

using namespace std::chrono_literals;
constexpr Time kDrainToGone = 1500ms;  // from draining to gone in the list
constexpr Time kNotice = 2s;           // from draining to dead, where capacity is taken away
constexpr Time kNoise = 300ms;         // how long a noisy neighbour works or rests, drawn anew each time
constexpr unsigned kAges = 12;         // steps of growing old

}  // namespace

std::multimap<Time, std::function<void()>> schedule(const Day& day, FaultTargets& actors) {
  std::multimap<Time, std::function<void()>> steps;
  for (const auto& t : day.faults) {
    const auto begin = t.at, over = t.at + t.length;
    const auto at = [&](Time when, std::function<void()> what) { steps.emplace(when, std::move(what)); };
    const auto fault = [&](const char* word, double off) {
      for (const auto i : t.targets) {
        at(begin, [&, i, line = fmt::format("{} {}", word, t.size)] { actors.command_engine(i, line); });
        at(over, [&, i, line = fmt::format("{} {}", word, off)] { actors.command_engine(i, line); });
      }
    };
    // For each target: what begins and what ends it.
    const auto strike = [&](void (FaultTargets::*on)(unsigned), void (FaultTargets::*off)(unsigned)) {
      for (const auto i : t.targets) {
        at(begin, [&, i, on] { (actors.*on)(i); });
        at(over, [&, i, off] { (actors.*off)(i); });
      }
    };
    at(begin, [&] { actors.record_fault(t.kind); });
    using enum FaultKind;
    switch (t.kind) {
      case engine_slow:
        fault("slow", 1);
        break;
      case engine_swallow:
        fault("swallow", 0);
        break;
      case engine_fail:
        fault("fail", 0);
        break;
      case engine_reset_before:
        fault("reset_before", 0);
        break;
      case engine_reset_after:
        fault("reset_after", 0);
        break;
      case engine_cut:
        fault("cut", 0);
        break;
      case engine_turn_away:
        fault("turn_away", 0);
        break;
      case loads_late:
        fault("late_loads_ms", 0);
        break;
      case list_late:
        at(begin, [&] { actors.delay_list(Time(static_cast<std::int64_t>(t.size * 1e6))); });
        at(over, [&] { actors.delay_list(Time::zero()); });
        break;
      case list_away:
        at(begin, [&] { actors.set_list_unavailable(true); });
        at(over, [&] { actors.set_list_unavailable(false); });
        break;
      case engine_kill:
        strike(&FaultTargets::kill_engine, &FaultTargets::start_engine);
        break;
      case engine_hang:
        strike(&FaultTargets::stop_engine, &FaultTargets::continue_engine);
        break;
      case engine_drain:
        for (const auto i : t.targets) {
          at(begin, [&, i] { actors.mark_engine(i, EndpointState::draining); });
          if (begin + kDrainToGone < over)
            at(begin + kDrainToGone, [&, i] { actors.mark_engine(i, EndpointState::removed); });
          at(over, [&, i] { actors.mark_engine(i, EndpointState::ready); });
        }
        break;
      case engine_age:
        for (unsigned step = 1; step <= kAges; ++step)
          for (const auto i : t.targets)
            at(begin + t.length * (step - 1) / kAges,
               [&, i, line = fmt::format("slow {:.3f}", 1 + (t.size - 1) * step / kAges)] {
                 actors.command_engine(i, line);
               });
        for (const auto i : t.targets) at(over, [&, i] { actors.command_engine(i, "slow 1"); });
        break;
      case engine_noise:
        for (const auto i : t.targets) {
          pcg64 random(day.seed, i + 1);
          for (auto when = begin; when < over; when += kNoise)
            at(when, [&, i, line = fmt::format("slow {}", random() % 2 == 0 ? t.size : 1)] {
              actors.command_engine(i, line);
            });
          at(over, [&, i] { actors.command_engine(i, "slow 1"); });
        }
        break;
      case engine_taken: {
        const auto dead = begin + std::min(kNotice, t.length / 2);
        for (const auto i : t.targets) {
          at(begin, [&, i] { actors.mark_engine(i, EndpointState::draining); });
          at(dead, [&, i] { actors.mark_engine(i, EndpointState::removed), actors.kill_engine(i); });
          at(over, [&, i] { actors.start_engine(i), actors.mark_engine(i, EndpointState::ready); });
        }
        break;
      }
      case gateway_stop:
        strike(&FaultTargets::stop_gateway, &FaultTargets::continue_gateway);
        break;
      case gateway_kill:
        strike(&FaultTargets::kill_gateway, &FaultTargets::start_gateway);
        break;
      case clock_drift:
        for (std::size_t n = 0; n < t.targets.size(); ++n) {
          const auto i = t.targets[n];
          at(begin, [&, i, rate = 1 + (n % 2 == 0 ? 1e-6 : -1e-6) * t.size] {
            actors.set_gateway_clock_rate(i, rate);
          });
          at(over, [&, i] { actors.set_gateway_clock_rate(i, 1); });
        }
        break;
      case clock_step:
        for (const auto i : t.targets) {
          at(begin,
             [&, i] { actors.set_gateway_clock_offset(i, Time(static_cast<std::int64_t>(t.size * 1e6))); });
          at(over, [&, i] { actors.set_gateway_clock_offset(i, Time::zero()); });
        }
        break;
      case groups_change:
        at(begin, [&] { actors.apply_group_plan(t.plan); });
        at(over, [&] { actors.apply_group_plan(day.group_plans.front().first); });
        break;
      case burst:
      case flood:
      case hot_group:
      case busy_gateway:
      case heavy:
      case hang_ups:
        break;  // the clients' own
    }
  }
  return steps;
}

YAML::Node router_config_of(const Day& day, unsigned gateway) {
  YAML::Node config = YAML::Load(day.router);
  config["gateway"]["name"] = fmt::format("gw-{}", gateway);
  config["gateway"]["number"] = gateway;
  config["gateway"]["threads"] = day.threads;
  config["gateway"]["seed"] = day.seed * 1000 + gateway;
  config["gateway"]["zone"] = day.names.zones[gateway % day.names.zones.size()];
  return config;
}

}  // namespace heronwell::rehearsal
