// The sub-command `node` runs a router under the operators' platform. It takes no options; its settings come
// from environment variables and one JSON file (docs/operators/platform.md):
//
//   ROUTER_CONFIG   path of the JSON file
//   ROUTER_NAME     name of the router, which must equal the name in the file
//   ROUTER_LISTEN   address:port to listen on, which must equal the address in the file
#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include "cli/commands.hpp"
#include "cli/process_log.hpp"
#include "daemon/server.hpp"

namespace heronwell::cli {
namespace {

std::string environment_variable(const char* name) {
  const char* value = std::getenv(name);
  if (value == nullptr) throw std::invalid_argument(fmt::format("{}: environment variable is not set", name));
  return value;
}

config::Config read_config_from_environment() {
  const auto file = environment_variable("ROUTER_CONFIG");
  std::ifstream stream(file, std::ios::binary);
  if (!stream) throw std::invalid_argument(fmt::format("ROUTER_CONFIG: cannot read {}", file));
  const std::string json{std::istreambuf_iterator<char>(stream), {}};
  auto config = config::read_platform(json, file);
  // A router with the name or the address of another router would receive that router's requests.
  if (environment_variable("ROUTER_NAME") != config.name)
    throw std::invalid_argument("ROUTER_NAME: does not match the configuration file; expected " +
                                config.name);
  const auto address = fmt::format("{}:{}", config.listen.at.host, config.listen.at.port);
  if (environment_variable("ROUTER_LISTEN") != address)
    throw std::invalid_argument("ROUTER_LISTEN: does not match the configuration file; expected " + address);
  return config;
}

ExitCode run_node() {
  const auto config = read_config_from_environment();
  open_log(config.log);
  daemon::Server server(config);
  Time longest_timeout{};
  for (const auto& request_class : config.module.classes)
    longest_timeout = std::max(longest_timeout, request_class.timeout);
  server.run([] {}, longest_timeout);
  spdlog::shutdown();
  return ExitCode::done;
}

}  // namespace

void add_node_command(CommandLine& line) {
  line.add_command("node", "Run a router under the operators' platform", run_node);
}

}  // namespace heronwell::cli
