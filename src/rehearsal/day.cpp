#include "rehearsal/day.hpp"

#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <thread>

#include "fleet/endpoint_registry.hpp"
#include "rehearsal/fault_schedule.hpp"
#include "rehearsal/process.hpp"

namespace heronwell::rehearsal {
namespace {

using namespace std::chrono_literals;
constexpr unsigned kMaxGateways = 64;
constexpr Time kStartTimeout = 10s;  // until a process must have written that it listens

std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Returns free UDP ports. Their sockets stay open until all are found, so that no port is returned twice.
std::vector<std::uint16_t> free_udp_ports(unsigned count) {
  std::vector<std::uint16_t> ports;
  std::vector<int> files;
  for (unsigned i = 0; i < count; ++i) {
    const int file = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    (void)::bind(file, reinterpret_cast<sockaddr*>(&address), size);
    ::getsockname(file, reinterpret_cast<sockaddr*>(&address), &size);
    ports.push_back(ntohs(address.sin_port));
    files.push_back(file);
  }
  for (const int file : files) ::close(file);
  return ports;
}

class DayRun final : FaultTargets {
 public:
  DayRun(const Day& day, std::string folder, std::string program)
      : day_(day),
        folder_(std::move(folder)),
        program_(std::move(program)),
        recorder_(folder_ + "/day.jsonl", "day", "day"),
        engines_(day.engines),
        entries_(day.engines),
        gateways_(day.gateways),
        ready_waiters_(day.gateways),
        ports_(day.gateways) {}

  DayRun(const DayRun&) = delete;
  DayRun& operator=(const DayRun&) = delete;
  ~DayRun() override {
    for (auto& gateway : gateways_) gateway.signal(SIGKILL);  // so that the waiting threads end
    join();
  }

  LoadReport run() {
    for (unsigned i = 0; i < day_.engines; ++i) start_engine(i, false);
    write_list();
    list_ = Process({program_, "list", folder_ + "/list.yaml", "--record", folder_ + "/list.jsonl"},
                    folder_ + "/list.log");
    list_port_ = port_of(list_.read_line(kStartTimeout));
    peers_ = free_udp_ports(day_.gateways);
    if (!day_.group_plans.empty()) write_groups(day_.group_plans.front().first);
    std::ofstream(folder_ + "/key") << "a day's key is no secret: 0123456789abcdef\n";
    for (unsigned i = 0; i < day_.gateways; ++i) start_gateway(i, 0);
    for (unsigned i = 0; i < day_.gateways; ++i) ports_[i] = port_of(gateways_[i].read_line(kStartTimeout));
    const auto steps = schedule(day_, *this);
    start_ = steady_clock_now() + 500ms;
    std::string targets;
    for (const auto port : ports_) targets += (targets.empty() ? "" : ",") + std::to_string(port);
    Process clients({program_, "load", day_.file, "--ports", targets, "--start",
                     std::to_string(start_.count()), "--record", folder_ + "/clients.jsonl"},
                    folder_ + "/clients.log");
    for (const auto& [at, step] : steps) {
      std::this_thread::sleep_until(std::chrono::steady_clock::time_point(start_ + at));
      step();
    }
    const auto report = read_report(clients.read_line(day_.length + day_.tail + 120s));
    if (clients.wait() != 0) throw std::runtime_error("the load generator failed: see clients.log");
    std::this_thread::sleep_for(day_.tail);
    join();
    for (auto& gateway : gateways_) end(gateway, "a router");
    end(list_, "the list");
    for (auto& engine : engines_) end(engine, "an engine");
    recorder_.write_end(steady_clock_now());
    return report;
  }

 private:
  void join() {
    for (auto& one : ready_waiters_)
      if (one.joinable()) one.join();
  }
  static std::uint16_t port_of(const std::string& line) {
    const auto colon = line.rfind(':');
    if (colon == std::string::npos)
      throw std::runtime_error("expected a process to write its port, but it wrote: " + line);
    return static_cast<std::uint16_t>(std::stoul(line.substr(colon + 1)));
  }
  static LoadReport read_report(const std::string& line) {
    LoadReport r;
    std::int64_t late = 0;
    std::sscanf(line.c_str(),
                "sent %lu served %lu refused %lu failed %lu other %lu broken %lu unconnected %lu hung_up %lu "
                "late_ns %ld resent %lu",
                &r.sent, &r.served, &r.refused, &r.failed, &r.other, &r.broken, &r.unconnected, &r.hung_up,
                &late, &r.resent);
    r.worst_lateness = Time(late);
    return r;
  }
  static void end(Process& process, const char* what) {
    process.signal(SIGCONT);
    process.signal(SIGTERM);
    if (!process.wait(15s)) throw std::runtime_error(std::string(what) + " did not end");
  }
  void record(std::string_view what, std::string_view whom, unsigned number) {
    recorder_.write(steady_clock_now(), what,
                    fmt::format(R"("{}":"{}{}")", whom, whom == "gw" ? "gw-" : "engine-", number));
  }

  void start_engine(unsigned i, bool cold) {
    const auto& t = day_.traits;
    const auto name = fmt::format("engine-{}", i);
    std::vector<std::string> arguments{program_,         "engine",
                                       "--name",         name,
                                       "--port",         std::to_string(entries_[i].port),
                                       "--cores",        fmt::format("{}", t.cores),
                                       "--disks",        fmt::format("{}", t.disks),
                                       "--memory-mb",    fmt::format("{}", t.memory_mb),
                                       "--sessions",     std::to_string(t.sessions),
                                       "--cold-from",    fmt::format("{}", t.cold_capacity_ratio),
                                       "--ramp",         fmt::format("{}ns", t.warm_up_duration.count()),
                                       "--tip-multiple", fmt::format("{}", t.overload_ratio),
                                       "--tip-window",   fmt::format("{}ns", t.overload_window.count()),
                                       "--progress",     fmt::format("{}ns", day_.progress.count()),
                                       "--seed",         std::to_string(day_.seed + i),
                                       "--record",       folder_ + "/" + name + ".jsonl"};
    if (day_.relay.repeat > 0 || day_.relay.claim > 0)
      arguments.insert(arguments.end(), {"--relay-repeat", fmt::format("{}", day_.relay.repeat),
                                         "--relay-claim", fmt::format("{}", day_.relay.claim)});
    if (cold) arguments.emplace_back("--cold");
    record(cold ? "engine_started_cold" : "engine_started", "engine", i);
    engines_[i] = Process(arguments, folder_ + "/" + name + ".log");
    auto& entry = entries_[i];
    entry.name = name;
    entry.host = "127.0.0.1";
    entry.port = port_of(engines_[i].read_line(kStartTimeout));
    entry.zone = day_.names.zones[zone_of(day_, i)];
    entry.machine_type = day_.names.machine_types[kind_of(day_, i)];
    entry.started_ms = cold ? unix_ms() : 0;
  }

  void start_gateway(unsigned i, std::uint16_t port) {
    const auto file = fmt::format("{}/gw-{}.yaml", folder_, i);
    auto config = router_config_of(day_, i);
    config["listen"]["port"] = port;
    YAML::Node at;
    at["port"] = list_port_;
    config["list"]["consul"].push_back(at);
    if (!day_.group_plans.empty()) config["groups"]["file"] = folder_ + "/groups.yaml";
    if (day_.settings.gossip_enabled) {
      config["peers"]["port"] = peers_[i];
      config["peers"]["key_file"] = folder_ + "/key";
      for (unsigned n = 0; n < day_.gateways; ++n) {
        YAML::Node member;
        member["number"] = n;
        member["port"] = peers_[n];
        config["peers"]["members"].push_back(member);
      }
    }
    std::ofstream(file) << YAML::Dump(config) << "\n";
    record("gateway_started", "gw", i);
    gateways_[i] = Process({program_, "serve", "--config", file}, fmt::format("{}/gw-{}.log", folder_, i));
  }

  void write_list() {
    YAML::Node list;
    list["engines"] = YAML::Node(YAML::NodeType::Sequence);
    for (const auto& entry : entries_) {
      YAML::Node node;
      node["name"] = entry.name;
      node["port"] = entry.port;
      node["zone"] = entry.zone;
      node["kind"] = entry.machine_type;
      node["state"] = std::array{"draining", "ready", "gone"}[static_cast<std::size_t>(entry.state)];
      node["started_ms"] = entry.started_ms;
      list["engines"].push_back(node);
    }
    std::ofstream(folder_ + "/list.yaml.new") << YAML::Dump(list) << "\n";
    std::filesystem::rename(folder_ + "/list.yaml.new", folder_ + "/list.yaml");
  }

  void write_groups(const std::string& name) {
    const auto found = std::ranges::find(day_.group_plans, name, &std::pair<std::string, std::string>::first);
    std::ofstream(folder_ + "/groups.yaml.new") << found->second << "\n";
    std::filesystem::rename(folder_ + "/groups.yaml.new", folder_ + "/groups.yaml");
    recorder_.write(steady_clock_now(), "groups", fmt::format(R"("plan":"{}")", name));
  }

  // ---- faults ---------------------------------------------------------------------------------------------
  void record_fault(FaultKind kind) override {
    recorder_.write(steady_clock_now(), "trouble", fmt::format(R"("kind":"{}")", name_of(kind)));
  }
  void command_engine(unsigned i, const std::string& line) override { engines_[i].write_line(line); }
  void kill_engine(unsigned i) override {
    engines_[i].signal(SIGKILL);
    engines_[i].wait();
    record("engine_killed", "engine", i);
  }
  void start_engine(unsigned i) override {
    start_engine(i, true);
    write_list();
  }
  void stop_engine(unsigned i) override {
    record("engine_stopped", "engine", i);
    engines_[i].signal(SIGSTOP);
  }
  void continue_engine(unsigned i) override {
    engines_[i].signal(SIGCONT);
    record("engine_continued", "engine", i);
  }
  void mark_engine(unsigned i, EndpointState state) override {
    entries_[i].state = state;
    write_list();
  }
  void delay_list(Time by) override { list_.write_line(fmt::format("late_ms {}", milliseconds(by))); }
  void set_list_unavailable(bool unavailable) override {
    list_.write_line(unavailable ? "away 1" : "away 0");
  }
  void stop_gateway(unsigned i) override {
    record("gateway_stopped", "gw", i);
    gateways_[i].signal(SIGSTOP);
  }
  void continue_gateway(unsigned i) override {
    gateways_[i].signal(SIGCONT);
    record("gateway_continued", "gw", i);
  }
  void kill_gateway(unsigned i) override {
    record("gateway_killed", "gw", i);
    gateways_[i].signal(SIGKILL);
    if (ready_waiters_[i].joinable()) ready_waiters_[i].join();
    gateways_[i].wait();
  }
  void start_gateway(unsigned i) override {
    start_gateway(i, ports_[i]);
    wait_until_ready(i);
  }
  void apply_group_plan(const std::string& plan) override { write_groups(plan); }

  // Records when a restarted router is ready, or that it never is. It waits on its own thread, so that other
  // faults go on meanwhile.
  void wait_until_ready(unsigned i) {
    const auto longest = std::max<Time>(kStartTimeout, start_ + day_.length - steady_clock_now());
    ready_waiters_[i] = std::thread([this, i, longest] {
      try {
        (void)gateways_[i].read_line(longest);
        record("gateway_ready", "gw", i);
      } catch (const std::exception& error) {
        recorder_.write(steady_clock_now(), "gateway_not_ready",
                        fmt::format(R"("gw":"gw-{}","why":"{}")", i, error.what()));
      }
    });
  }

  const Day& day_;
  std::string folder_, program_;
  Recorder recorder_;
  std::vector<Process> engines_;
  std::vector<fleet::EndpointEntry> entries_;
  std::vector<Process> gateways_;
  std::vector<std::thread> ready_waiters_;  // by router: each waits until its router is ready
  std::vector<std::uint16_t> ports_, peers_;
  Process list_;
  std::uint16_t list_port_ = 0;
  Time start_{};
};

}  // namespace

LoadReport run_day(const Day& day, const std::string& folder, const std::string& program) {
  if (day.gateways > kMaxGateways)
    throw yaml::Error(
        fmt::format("{}:1:1: gateways.count: at most {} as real processes; more can be emulated", day.file,
                    kMaxGateways));
  for (const auto& fault : day.faults)
    if (fault.kind == FaultKind::clock_drift || fault.kind == FaultKind::clock_step)
      throw yaml::Error(
          fmt::format("{}:1:1: troubles: {}: the machine's clocks are not set; it can be emulated", day.file,
                      name_of(fault.kind)));
  std::filesystem::create_directories(folder);
  for (const auto& old : std::filesystem::directory_iterator(folder))
    if (old.path().extension() == ".jsonl") std::filesystem::remove(old.path());  // from an earlier run
  std::filesystem::copy_file(day.file, folder + "/day.yaml",
                             std::filesystem::copy_options::overwrite_existing);
  return DayRun(day, folder, program).run();
}

}  // namespace heronwell::rehearsal
