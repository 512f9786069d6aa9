// Registration functions of the sub-commands, each of which has its own source file. A function adds its
// command or group of commands, with options and actions, to `line`. `line` must stay alive until the action
// has returned.
#pragma once

#include "cli/command_line.hpp"

namespace heronwell::cli {

// Run routers.
void add_node_command(CommandLine& line);
void add_serve_command(CommandLine& line);
void add_demo_command(CommandLine& line);

// Check configuration and schema files.
void add_config_commands(CommandLine& line);
void add_schema_commands(CommandLine& line);

// Run stand-ins for engines, endpoint lists and clients, and run and audit days of real processes.
void add_engine_command(CommandLine& line);
void add_list_command(CommandLine& line);
void add_load_command(CommandLine& line);
void add_day_commands(CommandLine& line);
void add_audit_command(CommandLine& line);

// Run days on virtual time, and model checking.
void add_emulate_command(CommandLine& line);
void add_experiment_commands(CommandLine& line);
void add_swarm_command(CommandLine& line);
void add_explore_commands(CommandLine& line);

// Inspect requests and resource groups of running routers.
void add_follow_command(CommandLine& line);
void add_groups_commands(CommandLine& line);

}  // namespace heronwell::cli
