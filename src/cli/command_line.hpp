// CommandLine parses the program's arguments and runs a sub-command. Sub-commands register with their options
// and an action; run() executes the action of the selected sub-command and maps its exceptions to exit codes
// and messages:
//
//   yaml::Error, experiment::StoreError     wrong_use        text
//   std::invalid_argument                   wrong_use        CONFIG:1:1: text
//   boost or std system_error               could_not_start  heronwell: could not start: text
//   any other std::exception                failed           heronwell: text
//
// `text` is the exception's what(). Each error is written to standard error as one line.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <map>
#include <string>

#include "base/time.hpp"
#include "cli/exit_code.hpp"

namespace heronwell::cli {

class CommandLine {
 public:
  CommandLine();
  CommandLine(const CommandLine&) = delete;
  CommandLine& operator=(const CommandLine&) = delete;

  using Action = std::function<ExitCode()>;

  // Adds a sub-command with an action. The help text lists the sub-commands in the order of registration.
  // `help` is a single line.
  CLI::App* add_command(const std::string& name, const std::string& help, Action action);
  // Adds a sub-command that only groups further sub-commands, which are added with add_command_in().
  CLI::App* add_group(const std::string& name, const std::string& help);
  CLI::App* add_command_in(CLI::App* group, const std::string& name, const std::string& help, Action action);

  // Path of the configuration file, set by the sub-commands that read one and empty for the others. Error
  // messages about settings start with it.
  std::string config_file;

  // Parses the arguments, runs the selected sub-command and returns the exit code of the process.
  ExitCode run(int argc, char** argv);

 private:
  [[nodiscard]] ExitCode run_named_command() const;

  CLI::App app_;
  std::map<const CLI::App*, Action> actions_;
};

// Parses the value `text` of a duration option. `option` is the option's name without leading dashes. Throws
// yaml::Error, whose text contains that name, if `text` is not a duration.
Time parse_duration_option(const std::string& option, const std::string& text);

}  // namespace heronwell::cli
