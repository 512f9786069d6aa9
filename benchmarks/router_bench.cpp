// This benchmark compares requests through the router with requests sent directly to the same stand-in
// engines, in one run. It measures requests per second, latency at a constant rate (from the time at which
// each request was due, so that waiting counts), CPU time and allocations of the router's thread per request,
// and memory per idle connection and over a long run. It prints a table that docs/performance.md quotes.
//
//   heronwell_router_bench PROGRAM [requests per second] [seconds] [requests of the long run]
#include <fmt/format.h>
#include <pthread.h>
#include <spdlog/spdlog.h>
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <future>
#include <new>
#include <thread>

#include "daemon/server.hpp"
#include "http/message.hpp"
#include "load_generator.hpp"
#include "rehearsal/process.hpp"
#include "release.hpp"
#include "sql/protocol.hpp"

namespace {
thread_local std::uint64_t allocations = 0;
std::atomic<std::uint64_t*> router_allocations = nullptr;
}  // namespace

void* operator new(std::size_t size) {
  ++allocations;
  if (void* memory = std::malloc(size)) return memory;
  throw std::bad_alloc();
}
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

namespace {

using namespace heronwell;
using namespace heronwell::benchmarks;
constexpr unsigned kEngines = 2;

std::string http_request() {
  std::string out;
  http::put_request(out, "POST", "/v1/query", "a", R"({"statement":"select 1","class":"lookup"})");
  return out;
}
std::string sql_request() {
  std::string out;
  sql::put_query(out, "select 1");
  return out;
}

std::size_t resident_bytes(pid_t process) {
  std::ifstream file(fmt::format("/proc/{}/statm", process));
  std::size_t total_pages = 0, resident_pages = 0;
  file >> total_pages >> resident_pages;
  return resident_pages * 4096;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2)
    return fmt::print(
               stderr,
               "heronwell_router_bench PROGRAM [requests per second] [seconds] [requests of the long run]\n"),
           2;
  const std::string program = argv[1];
  const double requests_per_second = argc > 2 ? std::stod(argv[2]) : 20'000;
  const auto length = std::chrono::seconds(argc > 3 ? std::stoul(argv[3]) : 5);
  const auto long_run_requests = argc > 4 ? std::stoull(argv[4]) : 500'000ULL;
  spdlog::set_level(spdlog::level::off);
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);

  const auto folder = std::filesystem::temp_directory_path() / fmt::format("heronwell-bench-{}", getpid());
  std::filesystem::create_directories(folder);
  std::vector<rehearsal::Process> engines;
  std::vector<std::uint16_t> ports;
  std::ofstream list(folder / "list.yaml");
  list << "engines:\n";
  for (unsigned i = 0; i < kEngines; ++i) {
    engines.emplace_back(
        std::vector<std::string>{program, "engine", "--name", fmt::format("e{}", i), "--sessions", "1000"},
        "");
    ports.push_back(parse_port(engines.back().read_line(5s)));
    list << fmt::format("  - {{name: e{}, port: {}, kind: k}}\n", i, ports.back());
  }
  list.close();
  const auto yaml = fmt::format(
      "listen: {{port: 0}}\nlist: {{file: {}/list.yaml}}\nkinds: {{k: {{cores: 64}}}}\nclasses: {{lookup: "
      "{{aim: 500ms, give_up: 5s}}}}\n"
      "engines: {{connections: 200}}\nlog: {{requests: none, level: \"off\"}}\n",
      folder.string());
  std::ofstream(folder / "router.yaml") << yaml;

  daemon::Server server(config::read_config(yaml::Section::text(yaml, "bench")));
  std::promise<void> ready;
  std::thread router([&] {
    router_allocations = &allocations;
    server.run([&] { ready.set_value(); }, 100ms);
  });
  ready.get_future().wait();

  fmt::print("{:<34}{:>14}{:>14}\n", "", "through", "straight");
  LoadGenerator via_router({server.port()}, false, http_request()), direct(ports, true, sql_request());
  via_router.run_at_capacity(1s);
  direct.run_at_capacity(1s);  // warm-up
  const double via_router_rate = via_router.run_at_capacity(length),
               direct_rate = direct.run_at_capacity(length);
  fmt::print("{:<34}{:>14.0f}{:>14.0f}\n", "requests a second at most", via_router_rate, direct_rate);
  const double cpu_before = thread_cpu_seconds(router.native_handle());
  const auto allocations_before = *router_allocations.load();
  const auto via_router_latencies = via_router.run_at_rate(requests_per_second, length);
  const double cpu_seconds = thread_cpu_seconds(router.native_handle()) - cpu_before;
  const auto allocations_made = *router_allocations.load() - allocations_before;
  const auto direct_latencies = direct.run_at_rate(requests_per_second, length);
  fmt::print("at {:.0f} requests a second\n", requests_per_second);
  for (const auto& [name, quantile] :
       {std::pair{"  p50, us", 0.5}, {"  p99, us", 0.99}, {"  p99.9, us", 0.999}})
    fmt::print("{:<34}{:>14.1f}{:>14.1f}   added {:.1f}\n", name, quantile_us(via_router_latencies, quantile),
               quantile_us(direct_latencies, quantile),
               quantile_us(via_router_latencies, quantile) - quantile_us(direct_latencies, quantile));
  fmt::print("{:<34}{:>14.2f}\n", "  router CPU a request, us",
             cpu_seconds / static_cast<double>(via_router_latencies.size()) * 1e6);
  fmt::print("{:<34}{:>14.1f}\n", "  allocations a request",
             static_cast<double>(allocations_made) / static_cast<double>(via_router_latencies.size()));
  server.stop(0s);
  router.join();

  rehearsal::Process router_process({program, "serve", "--config", (folder / "router.yaml").string()}, "");
  const auto port = parse_port(router_process.read_line(5s));
  std::this_thread::sleep_for(300ms);
  const auto idle_connections = std::min<std::size_t>(10'000, limit.rlim_cur - 200);
  {
    const auto resident_before = resident_bytes(router_process.id());
    asio::io_context context;
    std::vector<asio::ip::tcp::socket> sockets;
    for (std::size_t i = 0; i < idle_connections; ++i) {
      sockets.emplace_back(context);
      sockets.back().connect({asio::ip::make_address("127.0.0.1"), port});
    }
    std::this_thread::sleep_for(500ms);
    fmt::print("{:<34}{:>14.2f}   of {} connections\n", "KiB an idle connection",
               static_cast<double>(resident_bytes(router_process.id()) - resident_before) / 1024.0 /
                   static_cast<double>(idle_connections),
               idle_connections);
  }
  std::this_thread::sleep_for(500ms);
  LoadGenerator long_run({port}, false, http_request());
  std::uint64_t sent = 0;
  std::size_t first_resident = 0;
  while (sent < long_run_requests) {
    long_run.run_at_capacity(1s);
    sent += long_run.completed();
    if (first_resident == 0) first_resident = resident_bytes(router_process.id());
  }
  fmt::print("{:<34}{:>14.1f}{:>14.1f}   over {} requests\n", "MiB resident, first and last",
             static_cast<double>(first_resident) / (1 << 20),
             static_cast<double>(resident_bytes(router_process.id())) / (1 << 20), sent);
  std::filesystem::remove_all(folder);
  return 0;
}
