// This benchmark compares a small query over GraphQL with the same statement over /v1/query, and with
// tracing at several sampling ratios, in one run. It measures the CPU time of the router's thread per
// request and the latency at a constant request rate. The variants run in alternating rounds, and the
// medians over the rounds are printed.
//
//   heronwell_graphql_http_bench PROGRAM [requests per second] [seconds per round] [rounds]
#include <spdlog/spdlog.h>

#include <filesystem>
#include <fstream>
#include <future>

#include "daemon/server.hpp"
#include "http/message.hpp"
#include "load_generator.hpp"
#include "rehearsal/process.hpp"
#include "release.hpp"

namespace {

using namespace heronwell;
using namespace heronwell::benchmarks;

struct Variant {
  const char* name = "";
  bool graphql = false;
  const char* trace = "";          // YAML settings; empty: no tracing
  unsigned groups = 0, depth = 1;  // leaves and depth of the tree of resource groups; 0: no groups
};
constexpr std::array<Variant, 8> kVariants{{{"/v1/query", false, ""},
                                            {"/v1/query, 10 groups", false, "", 10},
                                            {"/v1/query, 5,000 groups, ten deep", false, "", 5000, 10},
                                            {"GraphQL", true, ""},
                                            {"GraphQL, traced 0%", true, "sample: 0, keep_trouble: false"},
                                            {"GraphQL, traced 0%, trouble kept", true, "sample: 0"},
                                            {"GraphQL, traced 1%, trouble kept", true, "sample: 0.01"},
                                            {"GraphQL, traced 100%", true, "sample: 1"}}};

std::string request(bool graphql) {
  std::string out;
  if (graphql)
    http::put_request(out, "POST", "/graphql", "a",
                      R"({"query":"query Q($id:ID!){one(id:$id)}","variables":{"id":"7"}})",
                      {{"content-type", "application/json"}});
  else
    http::put_request(out, "POST", "/v1/query", "a", R"({"statement":"select 1","class":"lookup"})");
  return out;
}

std::string groups_yaml(const Variant& variant) {
  if (variant.groups == 0) return "";
  std::string text = "groups: {", path;
  for (unsigned i = 1; i < variant.depth; ++i) {
    text += fmt::format("groups: {{level{}: {{", i);
    path += fmt::format("level{}.", i);
  }
  text += "groups: {";
  for (unsigned i = 0; i < variant.groups; ++i) text += fmt::format("{}leaf{}: {{}}", i > 0 ? ", " : "", i);
  text += "}";
  for (unsigned i = 1; i < variant.depth; ++i) text += "}}";
  return text + fmt::format(", default: {}leaf7}}\n", path);
}

double median(std::vector<double> values) {
  std::ranges::sort(values);
  return values[values.size() / 2];
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2)
    return fmt::print(
               stderr,
               "heronwell_graphql_http_bench PROGRAM [requests per second] [seconds per round] [rounds]\n"),
           2;
  const std::string program = argv[1];
  const double requests_per_second = argc > 2 ? std::stod(argv[2]) : 10'000;
  const auto round_length = std::chrono::seconds(argc > 3 ? std::stoul(argv[3]) : 1);
  const auto rounds = argc > 4 ? std::stoul(argv[4]) : 5;
  spdlog::set_level(spdlog::level::off);
  const auto folder = std::filesystem::temp_directory_path() / fmt::format("heronwell-bench-{}", getpid());
  std::filesystem::create_directories(folder);
  std::vector<rehearsal::Process> engines;
  std::ofstream list(folder / "list.yaml");
  list << "engines:\n";
  for (unsigned i = 0; i < 2; ++i) {
    engines.emplace_back(
        std::vector<std::string>{program, "engine", "--name", fmt::format("e{}", i), "--sessions", "2000"},
        "");
    list << fmt::format("  - {{name: e{}, port: {}, kind: k}}\n", i,
                        parse_port(engines.back().read_line(5s)));
  }
  list.close();

  struct RunningRouter {
    std::unique_ptr<daemon::Server> server;
    std::thread thread;
    std::unique_ptr<LoadGenerator> load;
    std::vector<double> cpu, p50, p99;
  };
  std::vector<RunningRouter> routers(kVariants.size());
  for (std::size_t i = 0; i < routers.size(); ++i) {
    const std::string trace = kVariants[i].trace;
    const auto yaml = fmt::format(
        "listen: {{port: 0}}\nlist: {{file: {}/list.yaml}}\nkinds: {{k: {{cores: 64}}}}\nclasses: {{lookup: "
        "{{aim: 500ms, "
        "give_up: 5s}}}}\nengines: {{connections: 200}}\nlog: {{requests: none, level: \"off\"}}\n"
        "graphql: {{sdl: 'type Query {{one(id: ID!): Int @sql(statement: \"select 1, :id\", class: "
        "\"lookup\")}}'}}\n{}{}",
        folder.string(), groups_yaml(kVariants[i]),
        trace.empty() ? ""
                      : fmt::format("trace: {{file: {}/trace-{}.jsonl, {}}}\n", folder.string(), i, trace));
    routers[i].server =
        std::make_unique<daemon::Server>(config::read_config(yaml::Section::text(yaml, "bench")));
    auto ready = std::make_shared<std::promise<void>>();
    routers[i].thread = std::thread(
        [&router = routers[i], ready] { router.server->run([ready] { ready->set_value(); }, 100ms); });
    ready->get_future().wait();
    routers[i].load = std::make_unique<LoadGenerator>(std::vector{routers[i].server->port()}, false,
                                                      request(kVariants[i].graphql));
    routers[i].load->run_at_capacity(500ms);  // warm-up
  }
  for (std::size_t round = 0; round < rounds; ++round)
    for (auto& router : routers) {
      const double cpu_before = thread_cpu_seconds(router.thread.native_handle());
      const auto latencies = router.load->run_at_rate(requests_per_second, round_length);
      router.cpu.push_back((thread_cpu_seconds(router.thread.native_handle()) - cpu_before) /
                           static_cast<double>(latencies.size()) * 1e6);
      router.p50.push_back(quantile_us(latencies, 0.5));
      router.p99.push_back(quantile_us(latencies, 0.99));
    }
  fmt::print("at {:.0f} requests a second, medians of {} rounds\n{:<36}{:>10}{:>12}{:>10}{:>10}\n",
             requests_per_second, rounds, "", "CPU, us", "against v1", "p50, us", "p99, us");
  for (std::size_t i = 0; i < routers.size(); ++i)
    fmt::print("{:<36}{:>10.1f}{:>12.2f}{:>10.1f}{:>10.1f}\n", kVariants[i].name, median(routers[i].cpu),
               median(routers[i].cpu) / median(routers[0].cpu), median(routers[i].p50),
               median(routers[i].p99));
  for (auto& router : routers) {
    router.server->stop(0s);
    router.thread.join();
  }
  std::filesystem::remove_all(folder);
  return 0;
}
