#include "emulator/play.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <utility>

#include "base/yaml.hpp"
#include "emulator/clients.hpp"
#include "emulator/emulated_router.hpp"
#include "emulator/engine.hpp"
#include "emulator/list.hpp"
#include "rehearsal/fault_schedule.hpp"

namespace heronwell::emulator {
namespace {

using namespace std::chrono_literals;
constexpr Time kBegin = 1000s;                         // of the loop
constexpr Time kUnixOffset = 1'700'000'000s - kBegin;  // any will do that is the same in each run
constexpr Time kBeforeDay = 500ms;                     // for routers to read the list
constexpr Time kLongestEnd = 120s;                     // after the day, for its last requests
constexpr Time kLongestLeft = 60s;                     // for routers to forget what was called off
constexpr std::size_t kLookedAt = 8;                   // routers: more cost too much
constexpr std::uint16_t kEnginePorts = 10'000, kGatewayPorts = 30'000;

class Stage final : rehearsal::FaultTargets {
 public:
  Stage(const rehearsal::Day& day, bool messages, std::string folder, Policy policy)
      : day_(day),
        policy_(policy),
        folder_(std::move(folder)),
        network_(loop_, {.wires = day.wires, .messages = messages}, day.seed),
        recorder_(file("day"), "day", "day", kBegin),
        list_recorder_(file("list"), "list", "list", kBegin),
        client_recorder_(file("clients"), "load", "clients", kBegin),
        list_(network_, list_recorder_, day.seed + 1),
        entries_(day.engines) {}

  Stage(const Stage&) = delete;
  Stage& operator=(const Stage&) = delete;
  ~Stage() override {
    loop_.end();
    for (auto& gateway : gateways_) gateway->kill();
  }

  Played run() {
    for (unsigned i = 0; i < day_.engines; ++i) add_engine(i);
    list_.set(entries_);
    until(kBegin + 1ms);
    for (unsigned i = 0; i < day_.gateways; ++i) add_gateway(i);
    const auto start = loop_.now() + kBeforeDay;
    for (auto& [at, step] : rehearsal::schedule(day_, *this)) loop_.at(start + at, step);
    std::vector<std::uint16_t> ports;
    ports.reserve(day_.gateways);
    for (unsigned i = 0; i < day_.gateways; ++i) ports.push_back(port_of(i));
    Clients clients(network_, day_, ports, gateways_, start, client_recorder_);
    clients.begin();
    const auto longest = start + day_.length + kLongestEnd;
    while (!(clients.done() && loop_.now() >= start + day_.length) && loop_.now() < longest && loop_.step())
      look();
    until(loop_.now() + day_.tail);
    const auto forget = loop_.now() + kLongestLeft;
    while (left_over().size() > (disagreement_.empty() ? 0U : 1U) && loop_.now() < forget && loop_.step()) {
    }
    client_recorder_.write_end(loop_.now());
    list_recorder_.write_end(loop_.now());
    for (auto& engine : engines_) engine->end();
    recorder_.write_end(loop_.now());
    Played played{clients.report(), loop_.now() - kBegin, loop_.events(),
                  left_over(),      clients.asks(),       clients.fates()};
    loop_.end();
    for (auto& gateway : gateways_) gateway->kill();
    return played;
  }

 private:
  [[nodiscard]] std::vector<std::string> left_over() const {
    std::vector<std::string> left;
    if (!disagreement_.empty()) left.push_back(disagreement_);
    for (const auto& gateway : gateways_) {
      if (gateway->remembered() + gateway->open() == 0) continue;
      left.push_back(fmt::format("{} still remembers {} requests, and has {} in its shards",
                                 gateway->config().name, gateway->remembered(), gateway->open()));
    }
    return left;
  }
  // After each event, of few routers: the first disagreement of their books is kept.
  void look() {
    if (gateways_.size() > kLookedAt || !disagreement_.empty()) return;
    for (const auto& gateway : gateways_)
      if (disagreement_.empty()) disagreement_ = gateway->disagreement();
    if (!disagreement_.empty())
      disagreement_ += fmt::format(", at {:.6f} s", milliseconds(loop_.now() - kBegin) / 1e3);
  }
  void until(Time moment) {
    loop_.at(moment, [] {});
    while (loop_.now() < moment && loop_.step()) {
    }
  }
  static std::uint16_t port_of(unsigned gateway) {
    return static_cast<std::uint16_t>(kGatewayPorts + gateway);
  }
  [[nodiscard]] std::string file(const std::string& name) const {
    return folder_.empty() ? "" : folder_ + "/" + name + ".jsonl";
  }
  void record(std::string_view what, std::string_view whom, unsigned number) {
    recorder_.write(loop_.now(), what,
                    fmt::format(R"("{}":"{}{}")", whom, whom == "gw" ? "gw-" : "engine-", number));
  }

  void add_engine(unsigned i) {
    rehearsal::EngineOptions options;
    options.name = fmt::format("engine-{}", i);
    options.port = static_cast<std::uint16_t>(kEnginePorts + i);
    options.traits = day_.traits;
    options.seed = day_.seed + i;
    options.progress_interval = day_.progress;
    auto& entry = entries_[i];
    entry.name = options.name;
    entry.host = "127.0.0.1";
    entry.port = options.port;
    entry.zone = day_.names.zones[rehearsal::zone_of(day_, i)];
    entry.machine_type = day_.names.machine_types[rehearsal::kind_of(day_, i)];
    engines_.push_back(std::make_unique<Engine>(network_, options, folder_));
    record("engine_started", "engine", i);
    engines_[i]->begin(true);
  }

  void add_gateway(unsigned i) {
    auto yaml = rehearsal::router_config_of(day_, i);
    yaml["listen"]["port"] = port_of(i);
    YAML::Node at;
    at["port"] = 1;  // the emulated list has no address
    yaml["list"]["consul"].push_back(at);
    if (!day_.group_plans.empty()) yaml["groups"] = YAML::Load(day_.group_plans.front().second);
    if (day_.settings.gossip_enabled) {
      yaml["peers"]["port"] = 1;
      yaml["peers"]["key_file"] = "none";
    }
    auto config = config::read_config(yaml::Section::text(YAML::Dump(yaml), fmt::format("gw-{}", i)));
    if (config.graphql.served() && !schema_)
      schema_ = path::bind_schema(config, config.graphql.sdl, "graphql.sdl");
    gateways_.push_back(std::make_unique<EmulatedRouter>(
        EmulatedRouter::Surroundings{
            network_, list_, gateways_, kUnixOffset,
            [this](std::uint16_t port) { return engines_[port - kEnginePorts].get(); }, policy_},
        std::move(config), schema_, port_of(i)));
    record("gateway_started", "gw", i);
    gateways_[i]->begin();
  }

  // ---- what goes wrong ------------------------------------------------------------------------------------
  void record_fault(rehearsal::FaultKind kind) override {
    recorder_.write(loop_.now(), "trouble", fmt::format(R"("kind":"{}")", rehearsal::name_of(kind)));
  }
  void command_engine(unsigned i, const std::string& line) override {
    engines_[i]->process().run([engine = engines_[i].get(), line] { engine->command(line); });
  }
  void kill_engine(unsigned i) override {
    engines_[i]->kill();
    record("engine_killed", "engine", i);
  }
  void start_engine(unsigned i) override {
    record("engine_started_cold", "engine", i);
    engines_[i]->kill();  // it may have tipped over meanwhile
    engines_[i]->begin(false);
    entries_[i].started_ms = (loop_.now() + kUnixOffset) / 1ms;
    list_.set(entries_);
  }
  void stop_engine(unsigned i) override {
    record("engine_stopped", "engine", i);
    engines_[i]->process().stop();
  }
  void continue_engine(unsigned i) override {
    engines_[i]->process().go_on();
    record("engine_continued", "engine", i);
  }
  void mark_engine(unsigned i, EndpointState state) override {
    entries_[i].state = state;
    list_.set(entries_);
  }
  void delay_list(Time by) override { list_.late(by); }
  void set_list_unavailable(bool is) override { list_.away(is); }
  void stop_gateway(unsigned i) override {
    record("gateway_stopped", "gw", i);
    gateways_[i]->process().stop();
  }
  void continue_gateway(unsigned i) override {
    gateways_[i]->process().go_on();
    record("gateway_continued", "gw", i);
  }
  void kill_gateway(unsigned i) override {
    record("gateway_killed", "gw", i);
    gateways_[i]->kill();
  }
  void start_gateway(unsigned i) override {
    record("gateway_started", "gw", i);
    gateways_[i]->on_ready([this, i] { record("gateway_ready", "gw", i); });
    gateways_[i]->begin();
  }
  void set_gateway_clock_rate(unsigned i, double rate) override {
    gateways_[i]->clocks().run(rate);
    recorder_.write(loop_.now(), "clock_runs", fmt::format(R"("gw":"gw-{}","rate":{})", i, rate));
  }
  void set_gateway_clock_offset(unsigned i, Time ahead) override {
    gateways_[i]->clocks().stepped = ahead;
    recorder_.write(loop_.now(), "clock_stepped",
                    fmt::format(R"("gw":"gw-{}","ms":{})", i, milliseconds(ahead)));
  }
  void apply_group_plan(const std::string& plan) override {
    for (const auto& [name, text] : day_.group_plans)
      if (name == plan)
        for (auto& gateway : gateways_) gateway->reload_groups(text);
    recorder_.write(loop_.now(), "groups", fmt::format(R"("plan":"{}")", plan));
  }

  const rehearsal::Day& day_;
  Policy policy_;
  std::string folder_;
  Loop loop_{kBegin};
  Network network_;
  rehearsal::Recorder recorder_, list_recorder_, client_recorder_;
  ListServer list_;
  std::vector<fleet::EndpointEntry> entries_;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::shared_ptr<const graphql::Bound> schema_;
  std::vector<std::unique_ptr<EmulatedRouter>> gateways_;
  std::string disagreement_;
};

}  // namespace

Played play(const rehearsal::Day& day, bool messages, const std::string& folder, Policy policy) {
  if (day.relay.repeat > 0 || day.relay.claim > 0)
    throw yaml::Error(day.file + ":1:1: engines.relay_repeat, engines.relay_claim: relays are not emulated");
  if (messages && std::ranges::any_of(day.loads, [](const auto& load) { return load.fields > 0; }))
    throw yaml::Error(day.file +
                      ":1:1: clients.classes: graphql_fields need the bytes, and the fast fidelity has none");
  if (!folder.empty()) {
    std::filesystem::create_directories(folder);
    for (const auto& old : std::filesystem::directory_iterator(folder))
      if (old.path().extension() == ".jsonl") std::filesystem::remove(old.path());  // of an earlier run
    std::filesystem::copy_file(day.file, folder + "/day.yaml",
                               std::filesystem::copy_options::overwrite_existing);
  }
  return Stage(day, messages, folder, policy).run();
}

}  // namespace heronwell::emulator
