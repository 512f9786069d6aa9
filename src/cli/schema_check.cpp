// The sub-command `schema check` validates a GraphQL schema with its statements, and prints which fields are
// bound to which statements.
#include <iostream>
#include <memory>

#include "cli/commands.hpp"
#include "config/config.hpp"
#include "daemon/load_schema.hpp"

namespace heronwell::cli {
namespace {

// `schema_file` replaces the schema of the configuration unless it is empty.
ExitCode check_schema(const std::string& config_file, const std::string& schema_file) {
  auto config = config::read_config(yaml::Section::file(config_file));
  if (!schema_file.empty()) {
    config.graphql.schema = schema_file;
    config.graphql.sdl.clear();
  }
  if (!config.graphql.served()) throw yaml::Error(config_file + ":1:1: graphql.schema: missing");
  std::cout << daemon::load_schema(config)->summary();
  return ExitCode::done;
}

}  // namespace

void add_schema_commands(CommandLine& line) {
  auto* group = line.add_group("schema", "GraphQL schemas");
  auto schema_file = std::make_shared<std::string>();
  auto* check =
      line.add_command_in(group, "check", "Check a schema with its statements, and print the bindings",
                          [&line, schema_file] { return check_schema(line.config_file, *schema_file); });
  check->add_option("file", *schema_file, "Schema file; default: the one in the configuration");
  check->add_option("--config", line.config_file, "Configuration file, YAML, with the names of the classes")
      ->required();
}

}  // namespace heronwell::cli
