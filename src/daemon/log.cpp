#include "daemon/log.hpp"

#include <spdlog/spdlog.h>

#include "path/client_request.hpp"

namespace heronwell::daemon {

void write_log(path::Level level, const std::string& line) {
  spdlog::log(level == path::Level::warn ? spdlog::level::warn : spdlog::level::info, line);
}

void warn(const char* event, const std::string& detail) {
  spdlog::warn(R"({{"event":"{}","detail":{}}})", event, path::quoted(detail));
}

}  // namespace heronwell::daemon
