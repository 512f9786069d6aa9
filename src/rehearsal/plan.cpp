#include "rehearsal/plan.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <pcg_random.hpp>
#include <random>

#include "groups/plan.hpp"

namespace heronwell::rehearsal {
namespace {

using namespace std::chrono_literals;

const std::vector<std::string> kFaultKinds{"engine_kill",
                                           "engine_hang",
                                           "engine_slow",
                                           "engine_swallow",
                                           "engine_fail",
                                           "engine_reset_before",
                                           "engine_reset_after",
                                           "engine_cut",
                                           "engine_turn_away",
                                           "engine_drain",
                                           "engine_age",
                                           "engine_noise",
                                           "engine_taken",
                                           "loads_late",
                                           "list_late",
                                           "list_away",
                                           "gateway_stop",
                                           "gateway_kill",
                                           "burst",
                                           "flood",
                                           "hot_group",
                                           "busy_gateway",
                                           "clock_drift",
                                           "clock_step",
                                           "heavy",
                                           "hang_ups",
                                           "groups_change"};

double seconds(Time t) { return std::chrono::duration<double>(t).count(); }
bool targets_engines(FaultKind kind) { return kind <= FaultKind::loads_late; }
bool targets_gateways(FaultKind kind) {
  return kind == FaultKind::gateway_stop || kind == FaultKind::gateway_kill ||
         kind == FaultKind::busy_gateway || kind == FaultKind::clock_drift || kind == FaultKind::clock_step;
}

Fault read_fault(yaml::Section& section, const Day& day) {
  Fault fault;
  fault.kind = static_cast<FaultKind>(section.choice("kind", kFaultKinds, 0));
  fault.at = section.duration("at");
  fault.length = section.duration("for");
  fault.size = section.number("size", 1, 0, 1e6);
  fault.factor = section.number("factor", 10, 0, 1e6);
  fault.tenant = section.string("tenant", "");
  if (!fault.tenant.empty() &&
      std::ranges::none_of(day.settings.tenants, [&](const auto& one) { return one.name == fault.tenant; }))
    section.fail("tenant", "expected one of the router's tenants");
  fault.plan = section.string("plan", "");
  if (fault.kind == FaultKind::groups_change &&
      std::ranges::none_of(day.group_plans, [&](const auto& one) { return one.first == fault.plan; }))
    section.fail("plan", "expected the name of one of the day's plans of groups");
  const auto target_limit = targets_engines(fault.kind)    ? day.engines
                            : targets_gateways(fault.kind) ? day.gateways
                                                           : 0;
  for (const auto& text : section.strings("targets")) {
    if (text.ends_with('%') && text.find_first_not_of("0123456789") + 1 == text.size() && text.size() < 5) {
      const auto target_count = std::max(1U, static_cast<unsigned>(std::stoul(text)) * target_limit / 100);
      for (unsigned i = 0; i < std::min(target_count, target_limit); ++i)
        fault.targets.push_back(i * target_limit / target_count);
      continue;
    }
    const auto number = text.find_first_not_of("0123456789") == std::string::npos && text.size() < 6
                            ? std::stoul(text)
                            : target_limit;
    if (number >= target_limit)
      section.fail("targets", fmt::format("expected numbers under {}, or a part such as 25%", target_limit));
    fault.targets.push_back(static_cast<unsigned>(number));
  }
  if (target_limit > 0 && fault.targets.empty())
    section.fail("targets", "missing; expected the engines or gateways that the fault applies to");
  if (fault.at + fault.length > day.length) section.fail("for", "expected an end within the day's length");
  section.close();
  return fault;
}

ClassLoad read_load(const std::string& name, yaml::Section& section) {
  ClassLoad load;
  load.name = name;
  load.rate = section.number("rate", 0, 1e5);
  load.work_ms = section.number("work_ms", 10, 0, 1e6);
  load.io = section.number("io", 0.2, 0, 1);
  load.memory_mb = section.number("memory_mb", 20, 0, 1e6);
  load.rows = section.number("rows", 1, 0, 1e8);
  load.bytes = section.number("bytes", 20, 0, 1e6);
  load.estimates = section.number("estimates", 0, 0, 3);
  if (section.has("timeout")) load.timeout = section.duration("timeout");
  load.keys = section.count("keys", 0, 0, 1'000'000);
  load.fields = static_cast<unsigned>(section.count("graphql_fields", 0, 0, 100));
  section.close();
  return load;
}

}  // namespace

std::string_view name_of(FaultKind kind) { return kFaultKinds[static_cast<std::size_t>(kind)]; }

namespace {

void read_day_section(yaml::Section head, Day& day) {
  day.seed = head.count("seed", 1, 0, UINT64_MAX);
  day.length = head.duration("length");
  day.tail = head.duration("tail", 5s);
  head.close();
  if (day.length < 1s || day.length > 10min) head.fail("length", "expected a duration from 1s to 10min");
}

void read_gateways(yaml::Section gateways, Day& day) {
  day.gateways = static_cast<unsigned>(gateways.count("count", 1, 1, 1000));
  day.threads = static_cast<unsigned>(gateways.count("threads", 1, 1, 16));
  gateways.close();
}

void read_engines(yaml::Section engines, Day& day) {
  day.engines = static_cast<unsigned>(engines.count("count", 1, 1, 256));
  auto& traits = day.traits;
  traits.cores = engines.number("cores", 4, 0.1, 1e4);
  traits.disks = engines.number("disks", 4, 0.1, 1e4);
  traits.memory_mb = static_cast<double>(engines.size("memory", 4ULL << 30)) / (1 << 20);
  traits.sessions = engines.count("sessions", 64, 1, 100'000);
  traits.peak = engines.number("peak", 1.7, 0.1, 100);
  day.progress = engines.duration("progress", 0s);
  day.relay = {engines.number("relay_repeat", 0, 0, 1), engines.number("relay_claim", 0, 0, 1)};
  engines.close();
}

void read_network(yaml::Section network, Day& day) {
  if (network.has("delay")) day.wires.delay = network.duration("delay");
  if (network.has("jitter")) day.wires.jitter = network.duration("jitter");
  day.wires.refused = network.number("refused", 0, 0, 1);
  day.wires.lost = network.number("lost", 0, 0, 1);
  day.wires.cut = network.number("cut", 0, 0, 1);
  network.close();
}

// Reads the routers' configuration and fills in the number of routers.
void read_router(YAML::Node& root, const std::string& path, Day& day) {
  root["router"]["gateway"]["of"] = day.gateways;
  day.router = YAML::Dump(root["router"]);
  auto section = yaml::Section::text(day.router, path + " (router)");
  day.settings = router::read_settings(section);
  day.names = router::read_names(section);
  day.traits.cold_capacity_ratio = day.settings.slow_start_initial_capacity;
  day.traits.warm_up_duration = day.settings.slow_start_duration;
  day.traits.overload_ratio = day.settings.slow_start_overload_ratio;
  day.traits.overload_window = day.settings.slow_start_overload_window;
}

void read_clients(yaml::Section clients, Day& day) {
  day.groups = static_cast<unsigned>(clients.count("groups", 1, 1, 1'000'000));
  day.retries = static_cast<unsigned>(clients.count("retries", 0, 0, 10));
  day.loads.resize(day.settings.classes.size());
  for (auto& [name, section] : clients.named("classes")) {
    const auto names = router::class_names(day.settings);
    const auto at = std::ranges::find(names, name);
    if (at == names.end()) section.fail("", "expected one of the router's classes");
    day.loads[static_cast<std::size_t>(at - names.begin())] = read_load(name, section);
  }
  auto weights = clients.section("tenants");
  for (const auto& tenant : day.settings.tenants)
    day.tenants.push_back(weights.number(tenant.name, tenant.quota_ratio, 0, 1e6));
  weights.close();
  clients.close();
}

Day read(yaml::Section file, YAML::Node root, const std::string& path) {
  Day day;
  day.file = path;
  read_day_section(file.section("day"), day);
  read_gateways(file.section("gateways"), day);
  read_engines(file.section("engines"), day);
  read_network(file.section("network"), day);
  auto settings = file.section("router");
  read_router(root, path, day);
  read_clients(file.section("clients"), day);
  if (const auto schema = schema_of(day); !schema.empty()) {
    root["router"]["graphql"]["sdl"] = schema;
    day.router = YAML::Dump(root["router"]);
  }
  for (auto& [name, section] : file.named("groups")) {
    day.group_plans.emplace_back(name, section.text());
    (void)groups::Plan::read(section);
  }
  for (auto& section : file.sections("troubles")) day.faults.push_back(read_fault(section, day));
  file.close();
  return day;
}
}  // namespace

Day read_day(const std::string& path) {
  auto file = yaml::Section::file(path);  // its errors name line and column
  return read(std::move(file), YAML::LoadFile(path), path);
}

Day read_day_text(const std::string& text, const std::string& name) {
  auto file = yaml::Section::text(text, name);
  return read(std::move(file), YAML::Load(text), name);
}

std::uint16_t zone_of(const Day& day, unsigned engine) {
  return static_cast<std::uint16_t>(engine % day.names.zones.size());
}
std::uint16_t kind_of(const Day& day, unsigned engine) {
  return static_cast<std::uint16_t>(engine / day.names.zones.size() % day.names.machine_types.size());
}

namespace {

// Draws the requests of one class one after the other from its own random generator. The order of the draws
// must not change, so that the same seed gives the same requests.
class RequestSource {
 public:
  RequestSource(const Day& day, std::size_t cls)
      : day_(day), cls_(static_cast<ClassIndex>(cls)), load_(day.loads[cls]), random_(day.seed, cls + 1) {
    for (const auto& fault : day.faults)
      if (fault.kind == FaultKind::burst || fault.kind == FaultKind::flood) peak_factor_ += fault.size;
  }

  void append_to(std::vector<Ask>& asks) {
    const auto next_gap = [this] { return gap_(random_) / (load_.rate * peak_factor_); };
    for (double at = next_gap(); at < seconds(day_.length); at += next_gap()) {
      Ask ask;
      ask.at = Time(static_cast<std::int64_t>(at * 1e9));
      if (draw_request(ask)) asks.push_back(ask);
    }
  }

 private:
  // The effects of the current faults on the requests.
  struct FaultEffects {
    double rate_factor = 1;
    double hot_group_ratio = 0, hang_up_ratio = 0;
    std::optional<std::uint32_t> flooding_tenant;
  };

  [[nodiscard]] static bool in_force(const Fault& fault, Time at) {
    return at >= fault.at && at < fault.at + fault.length;
  }
  double uniform() { return uniform_(random_); }

  [[nodiscard]] std::optional<std::uint32_t> tenant_named(const std::string& name) const {
    std::optional<std::uint32_t> found;
    for (std::uint32_t n = 0; n < day_.settings.tenants.size(); ++n)
      if (day_.settings.tenants[n].name == name) found = n;
    return found;
  }

  FaultEffects fault_effects(Time at) {
    FaultEffects fault_effects;
    for (const auto& fault : day_.faults) {
      if (!in_force(fault, at)) continue;
      if (fault.kind == FaultKind::burst) fault_effects.rate_factor += fault.size;
      if (fault.kind == FaultKind::hot_group) fault_effects.hot_group_ratio = fault.size;
      if (fault.kind == FaultKind::hang_ups) fault_effects.hang_up_ratio = fault.size;
      if (fault.kind != FaultKind::flood) continue;
      if (uniform() < fault.size / (fault_effects.rate_factor + fault.size))
        if (const auto tenant = tenant_named(fault.tenant)) fault_effects.flooding_tenant = tenant;
      fault_effects.rate_factor += fault.size;
    }
    return fault_effects;
  }

  // Moves the request to a busy router, if one is drawn, and returns the factor on its work and memory.
  double apply_faults_of_tenant(Ask& ask) {
    double work_factor = 1;
    for (const auto& fault : day_.faults) {
      if (!in_force(fault, ask.at)) continue;
      const bool tenant_matches =
          fault.tenant.empty() || fault.tenant == day_.settings.tenants[ask.tenant].name;
      if (fault.kind == FaultKind::busy_gateway && tenant_matches && uniform() < fault.size)
        ask.gateway = fault.targets[random_() % fault.targets.size()];
      if (fault.kind == FaultKind::heavy && tenant_matches && uniform() < fault.size)
        work_factor *= fault.factor;
    }
    return work_factor;
  }

  // Returns false if the request is dropped: gaps are drawn for the peak rate, and the current rate is lower.
  bool draw_request(Ask& ask) {
    const auto fault_effects = this->fault_effects(ask.at);
    if (uniform() * peak_factor_ >= fault_effects.rate_factor) return false;
    ask.cls = cls_;
    ask.gateway = static_cast<unsigned>(random_() % day_.gateways);
    if (!day_.tenants.empty())
      ask.tenant = static_cast<std::uint32_t>(
          std::discrete_distribution<int>(day_.tenants.begin(), day_.tenants.end())(random_));
    if (fault_effects.flooding_tenant) ask.tenant = *fault_effects.flooding_tenant;
    const double work_factor = apply_faults_of_tenant(ask);
    ask.group = uniform() < fault_effects.hot_group_ratio
                    ? 0
                    : static_cast<std::uint64_t>(std::pow(uniform(), 2) * day_.groups);
    if (load_.keys > 0) ask.key = 1 + random_() % load_.keys;
    const double size = size_(random_) * work_factor;
    ask.work_ms = load_.work_ms * size;
    ask.memory_mb = load_.memory_mb * size;
    if (load_.estimates > 0)
      ask.estimate_ms = ask.work_ms * std::exp(std::normal_distribution<double>(0, load_.estimates)(random_));
    if (uniform() < fault_effects.hang_up_ratio)
      ask.hang_up = Time(static_cast<std::int64_t>(uniform() * 0.2e9));
    return true;
  }

  const Day& day_;
  ClassIndex cls_;
  const ClassLoad& load_;
  pcg64 random_;
  std::exponential_distribution<double> gap_{1};
  std::lognormal_distribution<double> size_{-0.32, 0.8};  // mean 1
  std::uniform_real_distribution<double> uniform_{0, 1};
  double peak_factor_ = 1;  // the highest rate as a multiple of the normal rate
};

}  // namespace

std::vector<Ask> draw(const Day& day) {
  std::vector<Ask> asks;
  for (std::size_t c = 0; c < day.loads.size(); ++c)
    if (day.loads[c].rate > 0) RequestSource(day, c).append_to(asks);
  std::ranges::stable_sort(asks, {}, &Ask::at);
  for (std::size_t i = 0; i < asks.size(); ++i) asks[i].number = i;
  return asks;
}

std::string body_of(const Day& day, const Ask& ask, const std::string& id, bool repeat) {
  const auto& cls = day.settings.classes[ask.cls];
  const auto& load = day.loads[ask.cls];
  auto body = fmt::format(
      R"({{"statement":"select {} /*hw id={} work_ms={:.3f} threads={} io={} need_mb={:.1f} group={} holds={} waits={} rows={} bytes={}*/","class":"{}","data_group":{})",
      cls.name, id, ask.work_ms, cls.threads, load.io, ask.memory_mb, ask.group, cls.holds_data_group ? 1 : 0,
      cls.waits_for_data_group ? 1 : 0, load.rows, load.bytes, cls.name, ask.group);
  if (!day.settings.tenants.empty())
    body += fmt::format(R"(,"tenant":"{}")", day.settings.tenants[ask.tenant].name);
  if (ask.key != 0) body += fmt::format(R"(,"key":{})", ask.key);
  if (ask.estimate_ms > 0)
    body += fmt::format(R"(,"estimates":{{"work_ms":{:.2f},"memory_mb":{:.1f}}})", ask.estimate_ms,
                        ask.memory_mb);
  if (repeat) body += R"(,"repeat":true)";
  return body + "}";
}

std::string schema_of(const Day& day) {
  std::string query, mutation;
  for (std::size_t c = 0; c < day.loads.size(); ++c) {
    const auto& load = day.loads[c];
    const auto& cls = day.settings.classes[c];
    if (load.fields == 0) continue;
    auto name = cls.name;
    std::ranges::replace(name, '-', '_');
    const std::string tenant = day.settings.tenants.empty() ? "" : " tenant: \"header x-tenant\"";
    (cls.idempotency == Idempotency::idempotent ? query : mutation) += fmt::format(
        "  {}(id: ID!, work: Float!, need: Float!, group: Int!, key: Int!): String @sql(statement: \"select "
        ":id, :work, :need, :group, :key, :idempotency_key /*hw id=$1 work_ms=$2 need_mb=$3 group=$4 "
        "threads={} io={} "
        "holds={} waits={} rows={} bytes={}*/\" class: \"{}\" group: \"group\"{}{})\n",
        name, cls.threads, load.io, cls.holds_data_group ? 1 : 0, cls.waits_for_data_group ? 1 : 0, load.rows,
        load.bytes, cls.name, load.keys > 0 ? " key: \"key\"" : "", tenant);
  }
  if (query.empty() && mutation.empty()) return "";
  if (query.empty())
    query = "  none: Int @sql(statement: \"select 1\" class: \"" + day.settings.classes[0].name + "\")\n";
  return "type Query {\n" + query + "}\n" + (mutation.empty() ? "" : "type Mutation {\n" + mutation + "}\n");
}

std::string graphql_body_of(const Day& day, const Ask& ask, const std::vector<std::string>& ids) {
  const auto& cls = day.settings.classes[ask.cls];
  auto name = cls.name;
  std::ranges::replace(name, '-', '_');
  std::string declared, fields, variables;
  for (std::size_t i = 0; i < ids.size(); ++i) {
    declared += fmt::format("$i{}:ID!", i);
    fields += fmt::format(" f{0}:{1}(id:$i{0} work:$w need:$n group:$g key:$k)", i, name);
    variables += fmt::format(R"("i{}":"{}",)", i, ids[i]);
  }
  return fmt::format(
      R"({{"query":"{} A({}$w:Float!$n:Float!$g:Int!$k:Int!){{{}}}","variables":{{{}"w":{:.3f},"n":{:.1f},"g":{},"k":{}}}}})",
      cls.idempotency == Idempotency::idempotent ? "query" : "mutation", declared, fields, variables,
      ask.work_ms, ask.memory_mb, ask.group, ask.key);
}

}  // namespace heronwell::rehearsal
