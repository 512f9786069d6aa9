// The sub-command `serve` runs a router.
#include "cli/serve.hpp"

#include <spdlog/spdlog.h>

#include <iostream>

#include "cli/commands.hpp"
#include "cli/process_log.hpp"
#include "daemon/server.hpp"

namespace heronwell::cli {
namespace {

// Maximum wait for open requests after SIGTERM. It is below the ten seconds or more that process managers
// usually allow before they send SIGKILL.
constexpr Time kMaxShutdownDuration = std::chrono::seconds(5);

}  // namespace

ExitCode serve(const config::Config& config) {
  open_log(config.log);
  daemon::Server server(config);
  const auto port = server.port();
  server.run([&] { std::cout << "listening http://" << config.listen.at.host << ":" << port << std::endl; },
             kMaxShutdownDuration);
  spdlog::shutdown();
  return ExitCode::done;
}

void add_serve_command(CommandLine& line) {
  auto* command = line.add_command("serve", "Run a router", [&line] {
    return serve(config::read_config(yaml::Section::file(line.config_file)));
  });
  command->add_option("--config", line.config_file, "Configuration file, YAML")->required();
}

}  // namespace heronwell::cli
