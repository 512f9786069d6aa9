// Writes lines to the log of the process (spdlog). The functions may be called from any thread.
#pragma once

#include <string>

#include "path/environment.hpp"

namespace heronwell::daemon {

// `line` must be a complete JSON object.
void write_log(path::Level level, const std::string& line);

// Logs a warning of the form {"event":EVENT,"detail":DETAIL}. `event` must not need escaping in JSON, while
// `detail` may be any text.
void warn(const char* event, const std::string& detail);

}  // namespace heronwell::daemon
