// The sub-command `config check` validates a configuration file and prints the effective settings, defaults
// included.
#include <iostream>

#include "cli/commands.hpp"
#include "config/config.hpp"
#include "daemon/load_schema.hpp"
#include "heronwell/decision_engine.hpp"

namespace heronwell::cli {
namespace {

ExitCode check_config(const std::string& file) {
  const auto config = config::read_config(yaml::Section::file(file));
  const DecisionEngine engine(config.module, 1);  // the constructor validates its settings and throws
  if (config.graphql.served()) (void)daemon::load_schema(config);
  std::cout << config::effective(config);
  return ExitCode::done;
}

}  // namespace

void add_config_commands(CommandLine& line) {
  auto* group = line.add_group("config", "Configuration");
  auto* check = line.add_command_in(group, "check", "Check a file and print the effective settings",
                                    [&line] { return check_config(line.config_file); });
  check->add_option("file", line.config_file, "YAML file")->required();
}

}  // namespace heronwell::cli
