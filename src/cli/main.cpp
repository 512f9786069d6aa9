// The program's entry point registers the sub-commands (commands.hpp) in the order of the help text and runs
// the selected one.
#include <csignal>
#include <iostream>

#include "cli/commands.hpp"

namespace heronwell::cli {
namespace {

ExitCode print_version() {
  std::cout << "heronwell " << HERONWELL_VERSION << std::endl;
  return ExitCode::done;
}

void add_commands(CommandLine& line) {
  add_node_command(line);
  add_serve_command(line);
  add_demo_command(line);
  add_engine_command(line);
  add_config_commands(line);
  add_schema_commands(line);
  add_list_command(line);
  add_load_command(line);
  add_day_commands(line);
  add_emulate_command(line);
  add_experiment_commands(line);
  add_swarm_command(line);
  add_audit_command(line);
  add_follow_command(line);
  add_groups_commands(line);
  add_explore_commands(line);
  line.add_command("version", "Print the version", print_version);
}

}  // namespace
}  // namespace heronwell::cli

int main(int argc, char** argv) {
  // A write to a connection that the peer has reset raises SIGPIPE, which would end the whole process. With
  // the signal ignored, the write fails with EPIPE, which affects that connection only.
  std::signal(SIGPIPE, SIG_IGN);
  heronwell::cli::CommandLine line;
  heronwell::cli::add_commands(line);
  return static_cast<int>(line.run(argc, argv));
}
