// The sub-command `load` runs clients that send a day's arrivals to running routers.
#include "rehearsal/load.hpp"

#include <fmt/format.h>

#include <iostream>
#include <memory>
#include <sstream>

#include "base/yaml.hpp"
#include "cli/commands.hpp"
#include "rehearsal/day.hpp"

namespace heronwell::cli {
namespace {

struct LoadOptions {
  std::string day_file;
  std::string ports;          // of the routers, separated by commas
  std::int64_t start_ns = 0;  // start time on the monotonic clock, ns; 0: now
  std::string record;
};

std::vector<std::uint16_t> parse_ports(const std::string& text, std::size_t expected) {
  std::vector<std::uint16_t> ports;
  std::istringstream words(text);
  for (std::string word; std::getline(words, word, ',');)
    ports.push_back(static_cast<std::uint16_t>(std::stoul(word)));
  if (ports.size() != expected)
    throw yaml::Error(fmt::format("command line:1:1: --ports: expected {} ports", expected));
  return ports;
}

ExitCode run_load(const LoadOptions& options) {
  const auto day = rehearsal::read_day(options.day_file);
  const auto ports = parse_ports(options.ports, day.gateways);
  rehearsal::Recorder recorder(options.record, "clients", "clients");
  const auto start = options.start_ns > 0 ? Time(options.start_ns) : rehearsal::steady_clock_now();
  const auto result = rehearsal::play(day, ports, start, recorder);
  recorder.write_end(rehearsal::steady_clock_now());
  std::cout << fmt::format(
                   "sent {} served {} refused {} failed {} other {} broken {} unconnected {} hung_up {} "
                   "late_ns {} resent {}",
                   result.sent, result.served, result.refused, result.failed, result.other, result.broken,
                   result.unconnected, result.hung_up, result.worst_lateness.count(), result.resent)
            << std::endl;
  return ExitCode::done;
}

}  // namespace

void add_load_command(CommandLine& line) {
  auto options = std::make_shared<LoadOptions>();
  auto* command = line.add_command("load", "Run clients that send a day's arrivals to running routers",
                                   [options] { return run_load(*options); });
  command->add_option("day", options->day_file, "Day file")->required();
  command->add_option("--ports", options->ports, "Ports of the routers on 127.0.0.1, separated by commas")
      ->required();
  command->add_option("--start", options->start_ns, "Start time in ns of the monotonic clock; 0: now");
  command->add_option("--record", options->record, "File to record socket events in");
}

}  // namespace heronwell::cli
