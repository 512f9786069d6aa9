#include "cli/command_line.hpp"

#include <boost/system/system_error.hpp>
#include <iostream>
#include <stdexcept>
#include <system_error>

#include "base/yaml.hpp"
#include "experiment/store.hpp"

namespace heronwell::cli {
namespace {

ExitCode report(ExitCode code, const std::string& text) {
  std::cerr << text << std::endl;
  return code;
}

}  // namespace

CommandLine::CommandLine() : app_("heronwell, a workload manager for SQL engines", "heronwell") {
  app_.require_subcommand(1);
}

CLI::App* CommandLine::add_command(const std::string& name, const std::string& help, Action action) {
  return add_command_in(&app_, name, help, std::move(action));
}

CLI::App* CommandLine::add_group(const std::string& name, const std::string& help) {
  auto* group = app_.add_subcommand(name, help);
  group->require_subcommand(1);
  return group;
}

CLI::App* CommandLine::add_command_in(CLI::App* group, const std::string& name, const std::string& help,
                                      Action action) {
  auto* command = group->add_subcommand(name, help);
  actions_[command] = std::move(action);
  return command;
}

// Runs the innermost sub-command on the command line: for `groups explain` that is `explain`, not `groups`.
ExitCode CommandLine::run_named_command() const {
  const CLI::App* command = &app_;
  while (!command->get_subcommands().empty()) command = command->get_subcommands().front();
  return actions_.at(command)();
}

ExitCode CommandLine::run(int argc, char** argv) {
  try {
    app_.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app_.exit(error) == 0 ? ExitCode::done : ExitCode::wrong_use;  // 0 after --help
  }
  try {
    return run_named_command();
  } catch (const yaml::Error& error) {
    return report(ExitCode::wrong_use, error.what());
  } catch (const experiment::StoreError& error) {
    return report(ExitCode::wrong_use, error.what());
  } catch (const std::invalid_argument& error) {
    return report(ExitCode::wrong_use, config_file + ":1:1: " + error.what());
  } catch (const boost::system::system_error& error) {
    return report(ExitCode::could_not_start, std::string("heronwell: could not start: ") + error.what());
  } catch (const std::system_error& error) {
    return report(ExitCode::could_not_start, std::string("heronwell: could not start: ") + error.what());
  } catch (const std::exception& error) {
    return report(ExitCode::failed, std::string("heronwell: ") + error.what());
  }
}

Time parse_duration_option(const std::string& option, const std::string& text) {
  const auto value = yaml::parse_duration(text);
  if (!value)
    throw yaml::Error("command line:1:1: --" + option + ": expected a duration such as 800ms, not \"" + text +
                      "\"");
  return *value;
}

}  // namespace heronwell::cli
