#include "router/settings_reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace heronwell::router {
namespace {

using namespace std::chrono_literals;
// No duration of the settings is longer: what is, has a wrong unit.
constexpr Time kMaxDuration = 1h;
// The decision engine answers a request 45 ms before its deadline, in steps of 20 ms: a shorter timeout would
// leave no time to run anything.
constexpr Time kMinTimeout = 100ms;

// The names in YAML, in the order of the enumerators.

const std::vector<std::string> kIdempotencyNames{"safe", "keyed", "unsafe"};
const std::vector<std::string> kDeduplicationScopeNames{"all", "zone", "cell"};
const std::vector<std::string> kMemoryShortageNames{"wait", "shrink", "overcommit"};
const std::vector<std::string> kLoadFieldNames{"inflight", "queue",  "util",         "latency_ms",
                                               "served",   "failed", "memory_share", "disk_share"};

std::vector<std::uint16_t> indices_of(yaml::Section& section, const std::string& key,
                                      const std::vector<std::string>& names) {
  std::vector<std::uint16_t> found;
  for (const auto& name : section.strings(key)) {
    const auto at = std::ranges::find(names, name);
    if (at == names.end())
      section.fail(key, fmt::format("expected names among {}, not \"{}\"", fmt::join(names, ", "), name));
    found.push_back(static_cast<std::uint16_t>(at - names.begin()));
  }
  return found;
}

Time within(yaml::Section& section, const std::string& key, Time fallback, Time min, Time max) {
  const auto value = section.duration(key, fallback);
  if (value < min || value > max)
    section.fail(key, fmt::format("expected a duration from {} to {}", yaml::duration_text(min),
                                  yaml::duration_text(max)));
  return value;
}

ClassSettings read_class(const std::string& name, yaml::Section& section, const ConfiguredNames& names) {
  ClassSettings cls;
  cls.name = name;
  cls.latency_objective = section.duration("aim");
  if (cls.latency_objective < 1ms || cls.latency_objective > kMaxDuration)
    section.fail("aim", "expected a duration from 1ms to 1h");
  cls.latency_objective_per_work = section.number("aim_stretch", 0, 0, 100);
  cls.timeout = section.duration("give_up");
  if (cls.timeout < kMinTimeout || cls.timeout > kMaxDuration)
    section.fail("give_up", "expected a duration from 100ms to 1h");
  if (cls.timeout < cls.latency_objective) section.fail("give_up", "expected at least the aim");
  cls.priority_weight = section.number("worth", 1, 1e-6, 1e6);
  cls.late_weight_ratio = section.number("late_share", 0, 0, 1);
  cls.idempotency = static_cast<Idempotency>(section.choice("effect", kIdempotencyNames, 0));
  cls.deduplication_scope =
      static_cast<DeduplicationScope>(section.choice("repeat_group", kDeduplicationScopeNames, 0));
  cls.deduplication_window = within(section, "repeat_window", 5s, 0s, kMaxDuration);
  cls.ordered_by_key = section.boolean("in_order", false);
  if (section.has("zones")) cls.allowed_zones = indices_of(section, "zones", names.zones);
  if (section.has("kinds")) cls.allowed_machine_types = indices_of(section, "kinds", names.machine_types);
  cls.threads = static_cast<unsigned>(section.count("threads", 1, 1, 1024));
  cls.holds_data_group = section.boolean("holds_group", false);
  cls.waits_for_data_group = section.boolean("waits_for_group", false);
  section.close();
  return cls;
}

void read_router(yaml::Section& file, const ConfiguredNames& names, Settings& s) {
  auto section = file.section("gateway");
  s.router_count = static_cast<unsigned>(section.count("of", 1, 1, 100'000));
  s.router_index = static_cast<unsigned>(section.count("number", 0, 0, 100'000));
  if (s.router_index >= s.router_count) section.fail("number", "expected a number under gateway.of");
  if (section.has("zone")) {
    const auto found = std::ranges::find(names.zones, section.string("zone"));
    if (found == names.zones.end()) section.fail("zone", "expected one of the zones");
    s.zone = static_cast<std::uint16_t>(found - names.zones.begin());
  }
  s.zone_count = static_cast<unsigned>(names.zones.size());
}

void read_machine_types(yaml::Section& file, Settings& s) {
  for (auto& [name, section] : file.named("kinds")) {
    MachineTypeSettings machine_type{name, section.number("cores", 0.1, 100'000), 0};
    machine_type.memory_mb = static_cast<double>(section.size("memory", 0)) / (1 << 20);
    section.close();
    s.machine_types.push_back(machine_type);
  }
  if (s.machine_types.empty())
    file.fail("kinds", "missing; at least one kind of engine with its cores is needed");
}

void read_tenants(yaml::Section& file, Settings& s) {
  for (auto& [name, section] : file.named("tenants")) {
    s.tenants.push_back({name, section.number("share", 0, 0, 1), section.number("quota_per_s", 0, 0, 1e9)});
    section.close();
  }
}

void read_rules(yaml::Section& file, Settings& s) {
  auto rules = file.section("rules");
  s.drain_grace_period = within(rules, "drain_grace", 500ms, 0s, kMaxDuration);
  s.answer_grace_period = within(rules, "answer_grace", 20ms, 0s, kMaxDuration);
  s.slow_start_initial_capacity = rules.number("cold_from", 1, 0.01, 1);
  s.slow_start_duration = within(rules, "ramp_time", 0s, 0s, kMaxDuration);
  s.slow_start_overload_ratio = rules.number("tip_multiple", 0, 0, 1000);
  s.slow_start_overload_window = within(rules, "tip_window", 2s, 0s, kMaxDuration);
  s.ordering_quiet_period = within(rules, "order_rest", 0s, 0s, kMaxDuration);
  s.max_attempts = static_cast<unsigned>(rules.count("max_attempts", 3, 1, 100));
  if (rules.has("retry_budget")) {
    auto budget = rules.section("retry_budget");
    s.retry_budget = RetryBudget{within(budget, "span", 10s, 1ms, kMaxDuration),
                                 budget.number("free", 3, 0, 1e6), budget.number("ratio", 0.2, 0, 100)};
    budget.close();
  }
  rules.close();
}

void read_permissions(yaml::Section& file, Settings& s) {
  auto allow = file.section("allow");
  s.cancellation_enabled = allow.boolean("call_off", true);
  s.health_checks_enabled = allow.boolean("probe", true);
  s.gossip_enabled = allow.boolean("tell", false);
  s.hedging_enabled = allow.boolean("second_copies", false);
  s.retry_after_enabled = allow.boolean("retry_after", true);
  s.max_retry_after = within(allow, "max_retry_after", 1s, 0s, kMaxDuration);
  s.memory_grants_enabled = allow.boolean("grants", false);
  s.engine_priorities_enabled = allow.boolean("priorities", false);
  s.max_memory_grant_ratio = allow.number("max_grant_share", 1, 0.001, 1);
  s.max_open_requests = allow.count("max_open", 20'000, 1, 10'000'000);
  allow.close();
}

void read_load_reports(yaml::Section& file, Settings& s) {
  auto loads = file.section("loads");
  for (const auto& field : loads.strings("fields")) {
    const auto found = std::ranges::find(kLoadFieldNames, field);
    if (found == kLoadFieldNames.end())
      loads.fail("fields",
                 fmt::format("expected names among {}, not \"{}\"", fmt::join(kLoadFieldNames, ", "), field));
    s.load_fields.push_back(static_cast<LoadField>(found - kLoadFieldNames.begin()));
  }
  s.load_reports_in_responses = loads.boolean("in_answers", false);
  s.cost_reported = loads.boolean("tells_cost", false);
  s.progress_interval = within(loads, "progress_pace", 0s, 0s, kMaxDuration);
  s.memory_shortage_policy =
      static_cast<MemoryShortagePolicy>(loads.choice("memory_shortage", kMemoryShortageNames, 0));
  loads.close();
}

}  // namespace

ConfiguredNames read_names(yaml::Section& file) {
  ConfiguredNames names;
  names.zones = file.strings("zones");
  if (names.zones.empty()) names.zones.emplace_back();  // one zone without a name
  for (const auto& [name, section] : file.named("kinds")) names.machine_types.push_back(name);
  return names;
}

Settings read_settings(yaml::Section& file) {
  const auto names = read_names(file);
  Settings s;
  read_router(file, names, s);
  read_machine_types(file, s);
  for (auto& [name, section] : file.named("classes")) s.classes.push_back(read_class(name, section, names));
  if (s.classes.empty()) file.fail("classes", "missing; at least one class is needed");
  read_tenants(file, s);
  read_rules(file, s);
  read_permissions(file, s);
  read_load_reports(file, s);
  s.cross_zone_cost = file.number("cross_zone_price", 0, 0, 1);
  s.over_quota_weight = file.number("over_share_worth", 1, 0, 1);
  return s;
}

std::vector<std::string> class_names(const Settings& settings) {
  std::vector<std::string> names;
  for (const auto& cls : settings.classes) names.push_back(cls.name);
  return names;
}
std::vector<std::string> tenant_names(const Settings& settings) {
  std::vector<std::string> names;
  for (const auto& tenant : settings.tenants) names.push_back(tenant.name);
  return names;
}

namespace {

std::string name_at(const std::vector<std::string>& names, auto index) {
  return names[static_cast<std::size_t>(index)];
}

std::string list_of(const std::vector<std::uint16_t>& indices, const std::vector<std::string>& names) {
  std::vector<std::string> quoted;
  for (const auto index : indices) quoted.push_back('"' + names[index] + '"');
  return fmt::format("[{}]", fmt::join(quoted, ", "));
}

using Out = std::back_insert_iterator<std::string>;

void put_machine_types(Out out, const Settings& s) {
  fmt::format_to(out, "kinds:\n");
  for (const auto& one : s.machine_types)
    fmt::format_to(out, "  {}: {{cores: {}, memory: {}}}\n", one.name, one.cores,
                   yaml::size_text(static_cast<std::uint64_t>(one.memory_mb * (1 << 20))));
}

void put_class(Out out, const ClassSettings& cls, const ConfiguredNames& names) {
  fmt::format_to(
      out,
      "  {}:\n    aim: {}\n    aim_stretch: {}\n    give_up: {}\n    worth: {}\n    late_share: {}\n"
      "    effect: {}\n    repeat_group: {}\n    repeat_window: {}\n    in_order: {}\n    threads: {}\n"
      "    holds_group: {}\n    waits_for_group: {}\n",
      cls.name, yaml::duration_text(cls.latency_objective), cls.latency_objective_per_work,
      yaml::duration_text(cls.timeout), cls.priority_weight, cls.late_weight_ratio,
      name_at(kIdempotencyNames, cls.idempotency), name_at(kDeduplicationScopeNames, cls.deduplication_scope),
      yaml::duration_text(cls.deduplication_window), cls.ordered_by_key, cls.threads, cls.holds_data_group,
      cls.waits_for_data_group);
  if (cls.allowed_zones) fmt::format_to(out, "    zones: {}\n", list_of(*cls.allowed_zones, names.zones));
  if (cls.allowed_machine_types)
    fmt::format_to(out, "    kinds: {}\n", list_of(*cls.allowed_machine_types, names.machine_types));
}

void put_tenants(Out out, const Settings& s) {
  if (!s.tenants.empty()) fmt::format_to(out, "tenants:\n");
  for (const auto& tenant : s.tenants)
    fmt::format_to(out, "  {}: {{share: {}, quota_per_s: {}}}\n", tenant.name, tenant.quota_ratio,
                   tenant.quota_per_second);
}

void put_rules(Out out, const Settings& s) {
  fmt::format_to(
      out,
      "rules:\n  drain_grace: {}\n  answer_grace: {}\n  cold_from: {}\n  ramp_time: {}\n  tip_multiple: {}\n"
      "  tip_window: {}\n  order_rest: {}\n  max_attempts: {}\n",
      yaml::duration_text(s.drain_grace_period), yaml::duration_text(s.answer_grace_period),
      s.slow_start_initial_capacity, yaml::duration_text(s.slow_start_duration), s.slow_start_overload_ratio,
      yaml::duration_text(s.slow_start_overload_window), yaml::duration_text(s.ordering_quiet_period),
      s.max_attempts);
  if (s.retry_budget)
    fmt::format_to(out, "  retry_budget: {{span: {}, free: {}, ratio: {}}}\n",
                   yaml::duration_text(s.retry_budget->window), s.retry_budget->min_retries,
                   s.retry_budget->retries_per_request);
}

void put_permissions(Out out, const Settings& s) {
  fmt::format_to(
      out,
      "allow:\n  call_off: {}\n  probe: {}\n  tell: {}\n  second_copies: {}\n  retry_after: {}\n"
      "  max_retry_after: {}\n  grants: {}\n  priorities: {}\n  max_grant_share: {}\n  max_open: {}\n",
      s.cancellation_enabled, s.health_checks_enabled, s.gossip_enabled, s.hedging_enabled,
      s.retry_after_enabled, yaml::duration_text(s.max_retry_after), s.memory_grants_enabled,
      s.engine_priorities_enabled, s.max_memory_grant_ratio, s.max_open_requests);
}

void put_load_reports(Out out, const Settings& s) {
  std::vector<std::string> fields;
  for (const auto field : s.load_fields) fields.push_back(name_at(kLoadFieldNames, field));
  fmt::format_to(out,
                 "loads:\n  fields: [{}]\n  in_answers: {}\n  tells_cost: {}\n  progress_pace: {}\n  "
                 "memory_shortage: {}\n",
                 fmt::join(fields, ", "), s.load_reports_in_responses, s.cost_reported,
                 yaml::duration_text(s.progress_interval),
                 name_at(kMemoryShortageNames, s.memory_shortage_policy));
}

}  // namespace

std::string effective_settings_yaml(const Settings& s, const ConfiguredNames& names) {
  std::string out;
  const auto to = std::back_inserter(out);
  std::vector<std::uint16_t> all_zones(names.zones.size());
  for (std::size_t i = 0; i < all_zones.size(); ++i) all_zones[i] = static_cast<std::uint16_t>(i);
  fmt::format_to(to, "zones: {}\n", list_of(all_zones, names.zones));
  put_machine_types(to, s);
  fmt::format_to(to, "classes:\n");
  for (const auto& cls : s.classes) put_class(to, cls, names);
  put_tenants(to, s);
  put_rules(to, s);
  put_permissions(to, s);
  put_load_reports(to, s);
  fmt::format_to(to, "cross_zone_price: {}\nover_share_worth: {}\n", s.cross_zone_cost, s.over_quota_weight);
  return out;
}

}  // namespace heronwell::router
