// The sub-command `day run` runs a day with real processes and faults, and writes its records to a folder.
#include "rehearsal/day.hpp"

#include <fmt/format.h>

#include <filesystem>
#include <iostream>
#include <memory>

#include "cli/commands.hpp"

namespace heronwell::cli {
namespace {

struct DayOptions {
  std::string file;
  std::string folder;
};

ExitCode run_day(const DayOptions& options) {
  const auto day = rehearsal::read_day(options.file);
  const auto program =
      std::filesystem::read_symlink("/proc/self/exe");  // the day's processes run this same program
  const auto report = rehearsal::run_day(day, options.folder, program);
  std::cout << fmt::format("{}; generator late by {:.1f} ms at most\n", rehearsal::text_of(report),
                           milliseconds(report.worst_lateness));
  std::cout << "records in " << options.folder << "; heronwell audit " << options.folder << std::endl;
  return ExitCode::done;
}

}  // namespace

void add_day_commands(CommandLine& line) {
  auto* group = line.add_group("day", "Days with real processes and faults");
  auto options = std::make_shared<DayOptions>();
  auto* run = line.add_command_in(group, "run", "Run a day", [options] { return run_day(*options); });
  run->add_option("file", options->file, "Day file")->required();
  run->add_option("--out", options->folder, "Folder for the records")->required();
}

}  // namespace heronwell::cli
