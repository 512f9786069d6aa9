#include "rehearsal/fault_schedule.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <pcg_random.hpp>

namespace heronwell::rehearsal {
namespace {

using namespace std::chrono_literals;
constexpr Time kDrainToGone = 1500ms;  // from draining to gone in the list
constexpr Time kRemovalNotice = 2s;    // from draining to the kill, where capacity is taken away
constexpr Time kNoisePeriod = 300ms;   // after each, whether the noisy neighbour is busy is drawn anew
constexpr unsigned kAgingSteps = 12;   // of an engine that becomes slower

}  // namespace

std::multimap<Time, std::function<void()>> schedule(const Day& day, FaultTargets& processes) {
  std::multimap<Time, std::function<void()>> steps;
  for (const auto& fault : day.faults) {
    const auto begin = fault.at, end = fault.at + fault.length;
    const auto add_step = [&](Time when, std::function<void()> what) {
      steps.emplace(when, std::move(what));
    };
    const auto add_engine_fault = [&](const char* command, double normal_value) {
      for (const auto i : fault.targets) {
        add_step(begin, [&, i, line = fmt::format("{} {}", command, fault.size)] {
          processes.command_engine(i, line);
        });
        add_step(end, [&, i, line = fmt::format("{} {}", command, normal_value)] {
          processes.command_engine(i, line);
        });
      }
    };
    // Adds the begin and the end of the fault for each target.
    const auto add_steps = [&](void (FaultTargets::*begin_fault)(unsigned),
                               void (FaultTargets::*end_fault)(unsigned)) {
      for (const auto i : fault.targets) {
        add_step(begin, [&, i, begin_fault] { (processes.*begin_fault)(i); });
        add_step(end, [&, i, end_fault] { (processes.*end_fault)(i); });
      }
    };
    add_step(begin, [&] { processes.record_fault(fault.kind); });
    using enum FaultKind;
    switch (fault.kind) {
      case engine_slow:
        add_engine_fault("slow", 1);
        break;
      case engine_swallow:
        add_engine_fault("swallow", 0);
        break;
      case engine_fail:
        add_engine_fault("fail", 0);
        break;
      case engine_reset_before:
        add_engine_fault("reset_before", 0);
        break;
      case engine_reset_after:
        add_engine_fault("reset_after", 0);
        break;
      case engine_cut:
        add_engine_fault("cut", 0);
        break;
      case engine_turn_away:
        add_engine_fault("turn_away", 0);
        break;
      case loads_late:
        add_engine_fault("late_loads_ms", 0);
        break;
      case list_late:
        add_step(begin, [&] { processes.delay_list(Time(static_cast<std::int64_t>(fault.size * 1e6))); });
        add_step(end, [&] { processes.delay_list(Time::zero()); });
        break;
      case list_away:
        add_step(begin, [&] { processes.set_list_unavailable(true); });
        add_step(end, [&] { processes.set_list_unavailable(false); });
        break;
      case engine_kill:
        add_steps(&FaultTargets::kill_engine, &FaultTargets::start_engine);
        break;
      case engine_hang:
        add_steps(&FaultTargets::stop_engine, &FaultTargets::continue_engine);
        break;
      case engine_drain:
        for (const auto i : fault.targets) {
          add_step(begin, [&, i] { processes.mark_engine(i, EndpointState::draining); });
          if (begin + kDrainToGone < end)
            add_step(begin + kDrainToGone, [&, i] { processes.mark_engine(i, EndpointState::removed); });
          add_step(end, [&, i] { processes.mark_engine(i, EndpointState::ready); });
        }
        break;
      case engine_age:
        for (unsigned step = 1; step <= kAgingSteps; ++step)
          for (const auto i : fault.targets)
            add_step(begin + fault.length * (step - 1) / kAgingSteps,
                     [&, i, line = fmt::format("slow {:.3f}", 1 + (fault.size - 1) * step / kAgingSteps)] {
                       processes.command_engine(i, line);
                     });
        for (const auto i : fault.targets) add_step(end, [&, i] { processes.command_engine(i, "slow 1"); });
        break;
      case engine_noise:
        for (const auto i : fault.targets) {
          pcg64 random(day.seed, i + 1);
          for (auto when = begin; when < end; when += kNoisePeriod)
            add_step(when, [&, i, line = fmt::format("slow {}", random() % 2 == 0 ? fault.size : 1)] {
              processes.command_engine(i, line);
            });
          add_step(end, [&, i] { processes.command_engine(i, "slow 1"); });
        }
        break;
      case engine_taken: {
        const auto killed_at = begin + std::min(kRemovalNotice, fault.length / 2);
        for (const auto i : fault.targets) {
          add_step(begin, [&, i] { processes.mark_engine(i, EndpointState::draining); });
          add_step(killed_at,
                   [&, i] { processes.mark_engine(i, EndpointState::removed), processes.kill_engine(i); });
          add_step(end,
                   [&, i] { processes.start_engine(i), processes.mark_engine(i, EndpointState::ready); });
        }
        break;
      }
      case gateway_stop:
        add_steps(&FaultTargets::stop_gateway, &FaultTargets::continue_gateway);
        break;
      case gateway_kill:
        add_steps(&FaultTargets::kill_gateway, &FaultTargets::start_gateway);
        break;
      case clock_drift:
        for (std::size_t n = 0; n < fault.targets.size(); ++n) {
          const auto i = fault.targets[n];
          add_step(begin, [&, i, rate = 1 + (n % 2 == 0 ? 1e-6 : -1e-6) * fault.size] {
            processes.set_gateway_clock_rate(i, rate);
          });
          add_step(end, [&, i] { processes.set_gateway_clock_rate(i, 1); });
        }
        break;
      case clock_step:
        for (const auto i : fault.targets) {
          add_step(begin, [&, i] {
            processes.set_gateway_clock_offset(i, Time(static_cast<std::int64_t>(fault.size * 1e6)));
          });
          add_step(end, [&, i] { processes.set_gateway_clock_offset(i, Time::zero()); });
        }
        break;
      case groups_change:
        add_step(begin, [&] { processes.apply_group_plan(fault.plan); });
        add_step(end, [&] { processes.apply_group_plan(day.group_plans.front().first); });
        break;
      case burst:
      case flood:
      case hot_group:
      case busy_gateway:
      case heavy:
      case hang_ups:
        break;  // draw() applies them to the arrivals
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
