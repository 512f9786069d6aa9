// The sub-command `emulate` runs a day on virtual time (docs/emulator.md). The exit code is `failed` if
// routers still hold requests or other resources long after the last request; each of these is printed.
#include <fmt/format.h>
#include <sys/resource.h>

#include <iostream>
#include <memory>
#include <optional>

#include "cli/commands.hpp"
#include "emulator/play.hpp"
#include "rehearsal/day.hpp"

namespace heronwell::cli {
namespace {

struct EmulateOptions {
  std::string file;
  std::string folder;  // empty: no records are written
  std::optional<std::uint64_t> seed;
  bool fast = false;
  std::string delay;   // empty: as in the day file
  std::string jitter;  // empty: as in the day file
};

void print_cost(const emulator::Played& played, double seconds, std::size_t routers) {
  const auto virtual_seconds = milliseconds(played.virtual_time) / 1e3;
  std::cout << fmt::format(
      "{}\n{:.1f} s of virtual time in {:.2f} s ({:.1f} times), {} events ({:.0f} a second)\n",
      rehearsal::text_of(played.report), virtual_seconds, seconds, virtual_seconds / seconds, played.events,
      static_cast<double>(played.events) / seconds);
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  std::cout << fmt::format("{} MB at most, {:.2f} MB a router\n", usage.ru_maxrss >> 10,
                           static_cast<double>(usage.ru_maxrss) / 1024 / static_cast<double>(routers));
}

ExitCode emulate(const EmulateOptions& options) {
  auto day = rehearsal::read_day(options.file);
  if (!options.delay.empty()) day.wires.delay = parse_duration_option("delay", options.delay);
  if (!options.jitter.empty()) day.wires.jitter = parse_duration_option("jitter", options.jitter);
  if (options.seed) day.seed = *options.seed;
  const auto start = std::chrono::steady_clock::now();
  const auto played = emulator::play(day, options.fast, options.folder);
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
  print_cost(played, elapsed.count(), day.gateways);
  for (const auto& left : played.left) std::cout << left << "\n";
  if (!options.folder.empty())
    std::cout << "records in " << options.folder << "; heronwell audit " << options.folder << std::endl;
  return played.left.empty() ? ExitCode::done : ExitCode::failed;
}

}  // namespace

void add_emulate_command(CommandLine& line) {
  auto options = std::make_shared<EmulateOptions>();
  auto* command = line.add_command("emulate", "Run a day on virtual time (docs/emulator.md)",
                                   [options] { return emulate(*options); });
  command->add_option("file", options->file, "Day file")->required();
  command->add_option("--out", options->folder, "Folder for the records; without it no records are written");
  command->add_option("--seed", options->seed, "Random seed, in place of the day file's");
  command->add_option("--delay", options->delay, "One-way network delay of each message, such as 50us");
  command->add_option("--jitter", options->jitter, "Maximum random delay added to each message");
  command->add_flag("--fast", options->fast,
                    "Pass messages between processes without encoding them to bytes");
}

}  // namespace heronwell::cli
