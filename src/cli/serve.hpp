// Runs one router; shared by the sub-commands `serve` and `demo`.
#pragma once

#include "cli/exit_code.hpp"
#include "config/config.hpp"

namespace heronwell::cli {

// Runs a router until SIGINT or SIGTERM. Prints `listening http://HOST:PORT` to standard output once it
// accepts queries.
ExitCode serve(const config::Config& config);

}  // namespace heronwell::cli
