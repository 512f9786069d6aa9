// The sub-commands of `experiment` compare policies and parameters on many emulated days
// (docs/operators/experiments.md).
#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <thread>

#include "base/yaml.hpp"
#include "cli/commands.hpp"
#include "experiment/report.hpp"
#include "experiment/run.hpp"

namespace heronwell::cli {
namespace {

struct RunOptions {
  std::string plan_file;
  std::string results_file;
  unsigned threads = std::max(1U, std::thread::hardware_concurrency());
  std::size_t max_runs = SIZE_MAX;
};

// Identifies the build by version and a hash of the executable, so that results of different builds are not
// compared as if only the policy differed.
std::string build_id() {
  std::ifstream program("/proc/self/exe", std::ios::binary);
  const std::string bytes{std::istreambuf_iterator<char>(program), {}};
  return fmt::format("{} {:016x}", HERONWELL_VERSION, XXH3_64bits(bytes.data(), bytes.size()));
}

double steady_seconds() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

ExitCode run_experiment(const RunOptions& options) {
  const auto plan = experiment::read_plan(options.plan_file);
  const double start = steady_seconds();
  const auto print_progress = [start](const experiment::Progress& progress) {
    const auto earlier = progress.before > 0 ? fmt::format(", {} done before", progress.before) : "";
    std::cout << fmt::format("{}/{} in {:.0f} s{}: {}\n", progress.done, progress.of,
                             steady_seconds() - start, earlier, progress.last)
              << std::flush;
  };
  const auto runs = experiment::run(plan, options.results_file, build_id(), options.threads, options.max_runs,
                                    steady_seconds, print_progress);
  std::cout << fmt::format("{} runs done; heronwell experiment report {} --out FILE.html\n", runs,
                           options.results_file);
  return ExitCode::done;
}

ExitCode report_experiment(const std::string& results_file, const std::string& html_file) {
  const experiment::Store store(results_file);
  std::cout << experiment::table_of(experiment::lines_of(store.rows(), store.policies()));
  if (html_file.empty()) return ExitCode::done;
  const auto html = experiment::html_of(store);
  std::ofstream stream(html_file);
  stream << html;
  stream.flush();
  if (!stream) throw yaml::Error(html_file + ":1:1: report: cannot write the file");
  return ExitCode::done;
}

ExitCode compare_experiments(const std::string& first_file, const std::string& second_file) {
  const experiment::Store first(first_file);
  const experiment::Store second(second_file);
  std::cout << experiment::text_of(experiment::compare(first.rows(), second.rows()));
  return ExitCode::done;
}

void add_run(CommandLine& line, CLI::App* group) {
  auto options = std::make_shared<RunOptions>();
  auto* run =
      line.add_command_in(group, "run", "Run those runs of a plan that a results file does not contain yet",
                          [options] { return run_experiment(*options); });
  run->add_option("plan", options->plan_file, "Plan, YAML (docs/operators/experiments.md)")->required();
  run->add_option("--out", options->results_file, "Results, SQLite; an interrupted run is continued")
      ->required();
  run->add_option("--threads", options->threads);
  run->add_option("--most", options->max_runs, "Maximum number of runs in this invocation");
}

void add_report(CommandLine& line, CLI::App* group) {
  auto results_file = std::make_shared<std::string>();
  auto html_file = std::make_shared<std::string>();
  auto* report =
      line.add_command_in(group, "report", "Print a table, and write one HTML file with charts",
                          [results_file, html_file] { return report_experiment(*results_file, *html_file); });
  report->add_option("results", *results_file)->required();
  report->add_option("--out", *html_file, "HTML file");
}

void add_compare(CommandLine& line, CLI::App* group) {
  auto first_file = std::make_shared<std::string>();
  auto second_file = std::make_shared<std::string>();
  auto* compare = line.add_command_in(
      group, "compare", "Print the changes from results A to B that exceed noise",
      [first_file, second_file] { return compare_experiments(*first_file, *second_file); });
  compare->add_option("a", *first_file)->required();
  compare->add_option("b", *second_file)->required();
}

}  // namespace

void add_experiment_commands(CommandLine& line) {
  auto* group = line.add_group("experiment", "Compare policies and parameters on many emulated days");
  add_run(line, group);
  add_report(line, group);
  add_compare(line, group);
}

}  // namespace heronwell::cli
