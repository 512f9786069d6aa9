// The sub-command `demo` runs stand-in engines, an endpoint list and one router, all on loopback.
#include "rehearsal/demo.hpp"

#include <memory>

#include "cli/commands.hpp"
#include "cli/serve.hpp"

namespace heronwell::cli {
namespace {

struct DemoOptions {
  std::uint16_t port = 8080;
  unsigned engines = 3;
};

ExitCode run_demo(const DemoOptions& options) {
  const rehearsal::Demo stand_ins(options.engines);  // the destructor ends their processes
  return serve(config::read_config(yaml::Section::text(stand_ins.config(options.port), "demo")));
}

}  // namespace

void add_demo_command(CommandLine& line) {
  auto options = std::make_shared<DemoOptions>();
  auto* command =
      line.add_command("demo", "Run stand-in engines, an endpoint list and one router on loopback",
                       [options] { return run_demo(*options); });
  command->add_option("--port", options->port, "Port to listen on; 0: any free port")->capture_default_str();
  command->add_option("--engines", options->engines, "Number of stand-in engines")
      ->check(CLI::Range(1, 64))
      ->capture_default_str();
}

}  // namespace heronwell::cli
