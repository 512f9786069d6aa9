// Set-up of the process-wide log (spdlog) from the `log` section of the configuration.
#pragma once

#include "config/config.hpp"

namespace heronwell::cli {

// Opens the log. Standard error is flushed after each line of level info or above, a file once a second. Each
// line is a JSON object {"ts":..., "level":..., "data":{...}}. To be called at most once per process. Throws
// spdlog::spdlog_ex if the file cannot be opened.
void open_log(const config::Config::Log& log);

}  // namespace heronwell::cli
