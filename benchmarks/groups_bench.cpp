// This benchmark measures the cost of resource groups per request on the decision thread: admission, choice,
// start and end of its attempt, and removal. The trees have 10 to 5,000 leaves at depths of one and ten, and
// requests wait in a few groups or in all of them.
#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include "groups/selector.hpp"
#include "groups/shares.hpp"
#include "release.hpp"

namespace {

using namespace heronwell;

std::string tree_of(std::size_t leaves, std::size_t depth) {
  std::string text = "groups: {";
  for (std::size_t i = 1; i < depth; ++i) text += fmt::format("level{}: {{groups: {{", i);
  for (std::size_t i = 0; i < leaves; ++i)
    text += fmt::format("{}leaf{}: {{weight: {}}}", i > 0 ? ", " : "", i, 1 + i % 5);
  for (std::size_t i = 1; i < depth; ++i) text += "}}";
  return text + "}";
}

// Arguments: number of leaves, depth, number of groups with waiting requests.
void request(benchmark::State& state) {
  const auto leaves = static_cast<std::size_t>(state.range(0)),
             depth = static_cast<std::size_t>(state.range(1)),
             waiting_groups = static_cast<std::size_t>(state.range(2));
  auto section = yaml::Section::text(tree_of(leaves, depth), "tree");
  groups::Shares shares(groups::Tree::read(section), {{1, false}, {4, false}}, {});
  std::string path_prefix;
  for (std::size_t i = 1; i < depth; ++i) path_prefix += fmt::format("level{}.", i);
  std::vector<std::string> paths;
  paths.reserve(waiting_groups);
  for (std::size_t i = 0; i < waiting_groups; ++i)
    paths.push_back(fmt::format("{}leaf{}", path_prefix, i * (leaves / waiting_groups)));
  Time now{1};
  RequestId last_id = 0;
  std::size_t next = 0;
  std::map<RequestId, std::size_t> const out;
  shares.advance_time(now, 64);
  for (std::size_t i = 0; i < 2 * waiting_groups; ++i)
    (void)shares.admit(++last_id, paths[i % waiting_groups], false, {0, 0, {}});
  std::vector<RequestId> running(32);
  for (auto _ : state) {
    now += std::chrono::microseconds(20);
    shares.advance_time(now, 64);
    (void)shares.admit(++last_id, paths[next++ % waiting_groups], false, {0, 0, {}});
    const auto& may_start = shares.next_requests(0);
    if (may_start.empty()) {
      state.SkipWithError("no request may start");
      break;
    }
    const auto id = may_start.front();
    shares.attempt_started(id);
    auto& previous = running[last_id % running.size()];
    if (previous != 0) {
      shares.attempt_ended(previous, 0, true);
      shares.request_finished(previous);
    }
    previous = id;
  }
}
BENCHMARK(request)
    ->Args({10, 1, 10})
    ->Args({500, 1, 10})
    ->Args({5000, 1, 10})
    ->Args({500, 1, 500})
    ->Args({5000, 1, 5000})
    ->Args({10, 10, 10})
    ->Args({500, 10, 10})
    ->Args({5000, 10, 10})
    ->Args({5000, 10, 5000});

// Measures the choice of a group with 1 selector, and with 50 of which only the last one, after 49
// patterns, matches.
void choose(benchmark::State& state) {
  std::string text = "selectors:\n";
  for (int i = 1; i < state.range(0); ++i)
    text += fmt::format("  - {{header: {{x-team: {{pattern: \"team{}-.*\"}}}}, group: g{}}}\n", i, i);
  text += "  - {class: lookup, group: g}\n";
  auto section = yaml::Section::text(text, "selectors");
  const auto selectors = groups::Selectors::read(section);
  groups::RequestAttributes described;
  described.cls = "lookup";
  described.header = [](std::string_view) { return std::optional<std::string>("other-thing"); };
  for (auto _ : state) benchmark::DoNotOptimize(selectors.choose(described));
}
BENCHMARK(choose)->Arg(1)->Arg(50);

}  // namespace

BENCHMARK_MAIN();
