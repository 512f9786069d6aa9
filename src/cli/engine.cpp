// The sub-command `engine` runs a stand-in SQL engine on loopback. It reads faults to inject from standard
// input, one per line.
#include "rehearsal/engine.hpp"

#include <boost/asio/io_context.hpp>
#include <iostream>
#include <memory>
#include <optional>

#include "cli/commands.hpp"
#include "cli/stand_in_process.hpp"
#include "rehearsal/relay.hpp"

namespace heronwell::cli {
namespace {

struct EngineCommandOptions {
  rehearsal::EngineOptions engine;
  rehearsal::RelayFaults relay;
  std::string record;
  std::string ramp = "0s";
  std::string tip_window = "2s";
  std::string progress = "0s";
  bool cold = false;
};

ExitCode run_engine(rehearsal::EngineOptions options, const rehearsal::RelayFaults& faults,
                    const std::string& record) {
  boost::asio::io_context context(1);
  rehearsal::Recorder recorder(record, "engine", options.name);
  const auto port = options.port;
  // With a relay, clients connect to the relay at `port`, and the engine listens on another, free port, to
  // which the relay connects.
  const bool relayed = faults.repeat > 0 || faults.claim > 0;
  if (relayed) options.port = 0;
  rehearsal::Engine engine(context, options, recorder);
  std::optional<rehearsal::Relay> relay;
  if (relayed) relay.emplace(context, port, engine.port(), faults, options.seed);
  StandInProcess process(context, [&engine](const std::string& command) {
    if (const auto error = engine.command(command); !error.empty())
      std::cerr << "engine: " << error << std::endl;
  });
  process.start();
  std::cout << "listening 127.0.0.1:" << (relay ? relay->port() : engine.port()) << std::endl;
  context.run();
  recorder.write_end(rehearsal::steady_clock_now());
  return ExitCode::done;
}

ExitCode run_engine_command(const EngineCommandOptions& options) {
  auto engine = options.engine;
  engine.traits.warm_up_duration = parse_duration_option("ramp", options.ramp);
  engine.traits.overload_window = parse_duration_option("tip-window", options.tip_window);
  engine.progress_interval = parse_duration_option("progress", options.progress);
  engine.warm = !options.cold;
  return run_engine(engine, options.relay, options.record);
}

void add_traits(CLI::App& command, EngineCommandOptions& options) {
  auto& traits = options.engine.traits;
  command.add_option("--cores", traits.cores)->check(CLI::Range(0.1, 1e4))->capture_default_str();
  command.add_option("--disks", traits.disks)->check(CLI::Range(0.1, 1e4))->capture_default_str();
  command.add_option("--memory-mb", traits.memory_mb)->check(CLI::Range(1.0, 1e8))->capture_default_str();
  command.add_option("--sessions", traits.sessions)->check(CLI::Range(1, 1000000))->capture_default_str();
  command.add_option("--cold-from", traits.cold_capacity_ratio)
      ->check(CLI::Range(0.01, 1.0))
      ->capture_default_str();
  command.add_option("--ramp", options.ramp, "Time until the engine is warm, such as 10s")
      ->capture_default_str();
  command.add_option("--tip-multiple", traits.overload_ratio)
      ->check(CLI::Range(0.0, 1e3))
      ->capture_default_str();
  command.add_option("--tip-window", options.tip_window)->capture_default_str();
}

}  // namespace

void add_engine_command(CommandLine& line) {
  auto options = std::make_shared<EngineCommandOptions>();
  auto* command = line.add_command("engine", "Run a stand-in engine, which reads faults from standard input",
                                   [options] { return run_engine_command(*options); });
  command->add_option("--name", options->engine.name, "Name of the engine")->capture_default_str();
  command->add_option("--port", options->engine.port, "Port on 127.0.0.1; 0: any free port")
      ->capture_default_str();
  add_traits(*command, *options);
  command->add_option("--progress", options->progress, "Interval between progress notices; 0s: none")
      ->capture_default_str();
  command->add_option("--seed", options->engine.seed)->capture_default_str();
  command->add_option("--record", options->record, "File to record socket events in");
  command->add_option("--relay-repeat", options->relay.repeat,
                      "Probability that a relay in front of the engine sends a statement twice");
  command->add_option("--relay-claim", options->relay.claim,
                      "Probability that the relay answers in place of the engine");
  command->add_flag("--cold", options->cold, "Start the engine cold");
}

}  // namespace heronwell::cli
