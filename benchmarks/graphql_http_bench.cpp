// A small look-up by GraphQL against the same statement by /v1/query, and by GraphQL with tracing at several
// parts, in one run: CPU of the router's thread a request and latency at a steady pace, rounds in turn,
// medians.
//
//   heronwell_graphql_http_bench PROGRAM [pace a second] [seconds a round] [rounds]
#include <spdlog/spdlog.h>

#include <filesystem>
#include <fstream>
#include <future>

#include "daemon/server.hpp"
#include "http/message.hpp"
#include "lines.hpp"
#include "rehearsal/process.hpp"
#include "release.hpp"

namespace {

using namespace heronwell;
using namespace heronwell::benchmarks;

struct Variant {
  const char* name = "";
  bool graphql = false;
  const char* trace = "";          // YAML; empty: off
  unsigned groups = 0, depth = 1;  // leaves of the tree of resource groups; 0: none
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

std::string groups_of(const Variant& v) {
  if (v.groups == 0) return "";
  std::string text = "groups: {", path;
  for (unsigned i = 1; i < v.depth; ++i) {
    text += fmt::format("groups: {{level{}: {{", i);
    path += fmt::format("level{}.", i);
  }
  text += "groups: {";
  for (unsigned i = 0; i < v.groups; ++i) text += fmt::format("{}leaf{}: {{}}", i > 0 ? ", " : "", i);
  text += "}";
  for (unsigned i = 1; i < v.depth; ++i) text += "}}";
  return text + fmt::format(", default: {}leaf7}}\n", path);
}

double median(std::vector<double> all) {
  std::ranges::sort(all);
  return all[all.size() / 2];
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2)
    return fmt::print(stderr, "heronwell_graphql_http_bench PROGRAM [pace] [seconds] [rounds]\n"), 2;
  const std::string program = argv[1];
  const double pace = argc > 2 ? std::stod(argv[2]) : 10'000;
  const auto length = std::chrono::seconds(argc > 3 ? std::stoul(argv[3]) : 1);
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
    list << fmt::format("  - {{name: e{}, port: {}, kind: k}}\n", i, port_of(engines.back().read_line(5s)));
  }
  list.close();

  struct Running {
    std::unique_ptr<daemon::Server> server;
    std::thread thread;
    std::unique_ptr<Load> load;
    std::vector<double> cpu, p50, p99;
  };
  std::vector<Running> all(kVariants.size());
  for (std::size_t i = 0; i < all.size(); ++i) {
    const std::string trace = kVariants[i].trace;
    const auto yaml = fmt::format(
        "listen: {{port: 0}}\nlist: {{file: {}/list.yaml}}\nkinds: {{k: {{cores: 64}}}}\nclasses: {{lookup: "
        "{{aim: 500ms, "
        "give_up: 5s}}}}\nengines: {{connections: 200}}\nlog: {{requests: none, level: \"off\"}}\n"
        "graphql: {{sdl: 'type Query {{one(id: ID!): Int @sql(statement: \"select 1, :id\", class: "
        "\"lookup\")}}'}}\n{}{}",
        folder.string(), groups_of(kVariants[i]),
        trace.empty() ? ""
                      : fmt::format("trace: {{file: {}/trace-{}.jsonl, {}}}\n", folder.string(), i, trace));
    all[i].server = std::make_unique<daemon::Server>(config::read_config(yaml::Section::text(yaml, "bench")));
    auto ready = std::make_shared<std::promise<void>>();
    all[i].thread =
        std::thread([&one = all[i], ready] { one.server->run([ready] { ready->set_value(); }, 100ms); });
    ready->get_future().wait();
    all[i].load =
        std::make_unique<Load>(std::vector{all[i].server->port()}, false, request(kVariants[i].graphql));
    all[i].load->capacity(500ms);  // warm
  }
  for (std::size_t round = 0; round < rounds; ++round)
    for (auto& one : all) {
      const double before = thread_cpu(one.thread.native_handle());
      const auto took = one.load->pace(pace, length);
      one.cpu.push_back((thread_cpu(one.thread.native_handle()) - before) / static_cast<double>(took.size()) *
                        1e6);
      one.p50.push_back(at(took, 0.5));
      one.p99.push_back(at(took, 0.99));
    }
  fmt::print("at {:.0f} requests a second, medians of {} rounds\n{:<36}{:>10}{:>12}{:>10}{:>10}\n", pace,
             rounds, "", "CPU, us", "against v1", "p50, us", "p99, us");
  for (std::size_t i = 0; i < all.size(); ++i)
    fmt::print("{:<36}{:>10.1f}{:>12.2f}{:>10.1f}{:>10.1f}\n", kVariants[i].name, median(all[i].cpu),
               median(all[i].cpu) / median(all[0].cpu), median(all[i].p50), median(all[i].p99));
  for (auto& one : all) {
    one.server->stop(0s);
    one.thread.join();
  }
  std::filesystem::remove_all(folder);
  return 0;
}
