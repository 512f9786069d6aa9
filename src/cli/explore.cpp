// The sub-commands of `explore` model-check event orders (docs/explore.md): `run` searches the named models,
// `replay` replays a counter-example, `worlds` lists the models, `tables` prints the state tables.
#include <fmt/format.h>
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <memory>
#include <thread>

#include "base/yaml.hpp"
#include "cli/commands.hpp"
#include "explore/search.hpp"

namespace heronwell::cli {
namespace {

struct SearchOptions {
  std::vector<std::string> models;  // empty: all
  explore::Bounds bounds;
  double max_seconds = 0;  // per model, approximate; 0: no limit
  double max_mib = 0;      // of the whole process, approximate; 0: no limit
  bool no_fair = false;
  bool print_pairs = false;
  std::string counter_example_folder;  // empty: counter-examples are only printed
};

double peak_memory_mib() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_maxrss) / 1024;
}

std::vector<explore::ModelPlan> find_plans(const std::vector<std::string>& names) {
  if (names.empty()) return explore::worlds();
  std::vector<explore::ModelPlan> plans;
  for (const auto& name : names) {
    const auto* plan = explore::world_named(name);
    if (plan == nullptr)
      throw yaml::Error("command line:1:1: world: expected a name listed by 'explore worlds', not \"" + name +
                        "\"");
    plans.push_back(*plan);
  }
  return plans;
}

void print_heading() {
  std::cout << fmt::format("{:10} {:>9} {:>9} {:>9} {:>6} {:>8} {:>10} {:>9} {:>9}\n", "world", "states",
                           "events", "left out", "depth", "seconds", "states/s", "left over", "peak MiB");
}

void print_result(const std::string& name, const explore::Found& found, double seconds) {
  std::cout << fmt::format("{:10} {:9} {:9} {:9} {:6} {:8.2f} {:10.0f} {:9} {:9.0f}\n", name, found.states,
                           found.edges, found.asleep, found.depth, seconds,
                           static_cast<double>(found.states) / seconds, found.unexplored, peak_memory_mib())
            << std::flush;
}

explore::Found search_model(const explore::ModelPlan& plan, const SearchOptions& options) {
  const auto start = std::chrono::steady_clock::now();
  const auto elapsed = [start] {
    const std::chrono::duration<double> duration = std::chrono::steady_clock::now() - start;
    return duration.count();
  };
  auto bounds = options.bounds;
  bounds.fair = !options.no_fair;
  bounds.enough = [&] {
    return (options.max_seconds > 0 && elapsed() > options.max_seconds) ||
           (options.max_mib > 0 && peak_memory_mib() > options.max_mib);
  };
  auto found = explore::search(plan, bounds);
  print_result(plan.name, found, elapsed());
  return found;
}

void print_counter_example(const explore::ModelPlan& plan, const explore::Trace& counter_example,
                           const std::string& folder) {
  std::vector<std::string> lines;
  (void)explore::replay(plan, counter_example.choices, lines);
  std::cout << fmt::format("  broken: {}\n  {}\n", counter_example.broken.property,
                           counter_example.broken.detail);
  for (const auto& line : lines) std::cout << "  " << line << "\n";
  if (folder.empty()) return;
  std::filesystem::create_directories(folder);
  std::ofstream(folder + "/" + plan.name + ".yaml") << explore::write_story(counter_example, plan);
}

void print_pairs(const std::map<explore::Pair, explore::Met>& met) {
  for (const auto& [pair, one] : met)
    std::cout << fmt::format("{:8} {:12} {:14} {:12} {:12}\n", std::get<0>(pair), std::get<1>(pair),
                             std::get<2>(pair), one.to.empty() ? "(none)" : one.to, one.times);
}

// Returns `failed` if a property is violated in one of the models.
ExitCode run_search(const SearchOptions& options) {
  bool broken = false;
  std::map<explore::Pair, explore::Met> met;
  const auto plans = find_plans(options.models);
  print_heading();
  for (const auto& plan : plans) {
    const auto found = search_model(plan, options);
    for (const auto& [pair, one] : found.met) {
      met[pair].times += one.times;
      met[pair].to = one.to;
    }
    if (options.print_pairs)
      for (const auto& outcome : found.outcomes) std::cout << "  in the end: " << outcome << "\n";
    if (!found.story) continue;
    broken = true;
    print_counter_example(plan, *found.story, options.counter_example_folder);
  }
  if (options.print_pairs) print_pairs(met);
  return broken ? ExitCode::failed : ExitCode::done;
}

// Returns `failed` if the counter-example still violates a property.
ExitCode replay_counter_example(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(stream), {}};
  if (!stream) throw yaml::Error(file + ":1:1: cannot read the file");
  const auto counter_example = explore::read_story(text, file);
  const auto* plan = explore::world_named(counter_example.world);
  if (plan == nullptr)
    throw yaml::Error(file + ":1:1: world: unknown model \"" + counter_example.world + "\"");
  std::vector<std::string> lines;
  const auto broken = explore::replay(*plan, counter_example.choices, lines);
  for (const auto& line : lines) std::cout << line << "\n";
  std::cout << (broken ? "broken: " + broken->property + ": " + broken->detail : "nothing is broken")
            << std::endl;
  return broken ? ExitCode::failed : ExitCode::done;
}

ExitCode list_models() {
  for (const auto& plan : explore::worlds()) std::cout << fmt::format("{:10} {}\n", plan.name, plan.about);
  return ExitCode::done;
}

ExitCode print_state_tables() {
  std::cout << explore::tables();
  return ExitCode::done;
}

void add_run(CommandLine& line, CLI::App* group) {
  auto options = std::make_shared<SearchOptions>();
  auto& bounds = options->bounds;
  bounds.threads = std::max(1U, std::thread::hardware_concurrency());
  auto* run = line.add_command_in(group, "run", "Search the named models, or all",
                                  [options] { return run_search(*options); });
  run->add_option("world", options->models, "Names of models, as listed by 'explore worlds'");
  run->add_option("--states", bounds.states, "Approximate maximum number of states to visit")
      ->capture_default_str();
  run->add_option("--depth", bounds.depth, "Maximum number of events from the initial state")
      ->capture_default_str();
  run->add_option("--seconds", options->max_seconds, "Approximate time limit for each model; 0: no limit");
  run->add_option("--memory", options->max_mib,
                  "Approximate memory limit of this process in MiB; 0: no limit");
  run->add_option("--threads", bounds.threads, "Number of search threads");
  run->add_flag("--exact", bounds.exact, "Merge no equal states: search the full tree");
  run->add_flag("!--no-reduction", bounds.reduce, "Try both orders of independent steps");
  run->add_flag("--no-fair", options->no_fair, "Skip the check that every state is left eventually");
  run->add_flag("--pairs", options->print_pairs, "Print the (state, event) pairs that occurred");
  run->add_option("--stories", options->counter_example_folder, "Folder to write counter-examples to");
}

}  // namespace

void add_explore_commands(CommandLine& line) {
  auto* group =
      line.add_group("explore", "Model-check every order of events in small models (docs/explore.md)");
  add_run(line, group);
  auto file = std::make_shared<std::string>();
  auto* replay = line.add_command_in(group, "replay", "Replay a counter-example",
                                     [file] { return replay_counter_example(*file); });
  replay->add_option("file", *file)->required();
  line.add_command_in(group, "worlds", "List the models", list_models);
  line.add_command_in(group, "tables", "Print the state tables, in the form of docs/path.md",
                      print_state_tables);
}

}  // namespace heronwell::cli
