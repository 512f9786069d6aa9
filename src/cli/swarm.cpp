// The sub-command `swarm` runs and audits many emulated days with random faults. The exit code is `failed` if
// a day violates a rule.
#include "emulator/swarm.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <memory>
#include <thread>

#include "cli/commands.hpp"

namespace heronwell::cli {
namespace {

ExitCode run_swarm(const emulator::SwarmPlan& plan) {
  const auto start = std::chrono::steady_clock::now();
  const auto result = emulator::swarm(plan);
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
  for (const auto& found : result.findings)
    std::cout << fmt::format("day {}: {}\n  {} of {} troubles left; heronwell emulate {} --out FOLDER\n",
                             found.seed, found.what, found.left, found.troubles, found.file);
  std::string kinds;
  for (const auto& [kind, times] : result.troubles) kinds += fmt::format(" {} {}", kind, times);
  const auto drawn = result.troubles.size();
  std::cout << fmt::format("troubles:{}\n{} of the {} pairs of these kinds were at work together\n", kinds,
                           result.pairs.size(), drawn * (drawn + 1) / 2);
  std::cout << fmt::format(
      "{} days, {:.0f} s of virtual time, {} events in {:.1f} s ({:.0f} days a minute); {} cases checked, {} "
      "days broke something\n",
      result.days, milliseconds(result.virtual_time) / 1e3, result.events, elapsed.count(),
      static_cast<double>(result.days) / elapsed.count() * 60, result.cases, result.findings.size());
  return result.findings.empty() ? ExitCode::done : ExitCode::failed;
}

}  // namespace

void add_swarm_command(CommandLine& line) {
  auto plan = std::make_shared<emulator::SwarmPlan>();
  plan->threads = std::max(1U, std::thread::hardware_concurrency());
  auto* command = line.add_command("swarm", "Run and audit emulated days with random faults",
                                   [plan] { return run_swarm(*plan); });
  command->add_option("file", plan->base, "Day file with clients, classes and rules")->required();
  command->add_option("--out", plan->folder, "Folder for day files that violate a rule")->required();
  command->add_option("--days", plan->days)->capture_default_str();
  command->add_option("--seed", plan->seed, "Seed of the first day")->capture_default_str();
  command->add_option("--threads", plan->threads);
  command->add_flag("--fast", plan->fast, "Pass messages between processes without encoding them to bytes");
}

}  // namespace heronwell::cli
