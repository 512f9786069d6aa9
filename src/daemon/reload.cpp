#include "daemon/reload.hpp"

#include "daemon/log.hpp"
#include "daemon/read_file.hpp"

namespace heronwell::daemon {

void reload_platform_config(const config::Config& config, DecisionThread& decision_thread) {
  try {
    const auto& path = config.platform->file;
    const auto reloaded = config::read_platform(read_file(path), path);
    decision_thread.switch_event_bus(reloaded.platform->bus);
  } catch (const std::exception& error) {
    warn("reload_rejected", error.what());
  }
}

}  // namespace heronwell::daemon
