#include "router/settings_reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace heronwell::router {
namespace {

using namespace std::chrono_literals;
// Upper limit of every duration in the settings; a longer one most likely has the wrong unit.
constexpr Time kMaxDuration = 1h;
// The decision engine ends a request 45 ms before its deadline and runs in steps of 20 ms, so that a shorter
// timeout would leave no time to run a query.
constexpr Time kMinTimeout = 100ms;

// Names of the enumerators in YAML, in the order of the enumerators.

const std::vector<std::string> kIdempotencyNames{"safe", "keyed", "unsafe"};
const std::vector<std::string> kDeduplicationScopeNames{"all", "zone", "cell"};
const std::vector<std::string> kMemoryShortageNames{"wait", "shrink", "overcommit"};
const std::vector<std::string> kLoadFieldNames{"inflight", "queue",  "util",         "latency_ms",
                                               "served",   "failed", "memory_share", "disk_share"};

std::vector<std::uint16_t> read_indices(yaml::Section& section, const std::string& key,
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

Time read_duration(yaml::Section& section, const std::string& key, Time fallback, Time min, Time max) {
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
  if (cls.timeout < cls.latency_objective) section.fail("give_up", "expected a duration of at least the aim");
  cls.priority_weight = section.number("worth", 1, 1e-6, 1e6);
  cls.late_weight_ratio = section.number("late_share", 0, 0, 1);
  cls.idempotency = static_cast<Idempotency>(section.choice("effect", kIdempotencyNames, 0));
  cls.deduplication_scope =
      static_cast<DeduplicationScope>(section.choice("repeat_group", kDeduplicationScopeNames, 0));
  cls.deduplication_window = read_duration(section, "repeat_window", 5s, 0s, kMaxDuration);
  cls.ordered_by_key = section.boolean("in_order", false);
  if (section.has("zones")) cls.allowed_zones = read_indices(section, "zones", names.zones);
  if (section.has("kinds")) cls.allowed_machine_types = read_indices(section, "kinds", names.machine_types);
  cls.threads = static_cast<unsigned>(section.count("threads", 1, 1, 1024));
  cls.holds_data_group = section.boolean("holds_group", false);
  cls.waits_for_data_group = section.boolean("waits_for_group", false);
  section.close();
  return cls;
}

void read_router(yaml::Section& file, const ConfiguredNames& names, Settings& settings) {
  auto section = file.section("gateway");
  settings.router_count = static_cast<unsigned>(section.count("of", 1, 1, 100'000));
  settings.router_index = static_cast<unsigned>(section.count("number", 0, 0, 100'000));
  if (settings.router_index >= settings.router_count)
    section.fail("number", "expected a number less than gateway.of");
  if (section.has("zone")) {
    const auto found = std::ranges::find(names.zones, section.string("zone"));
    if (found == names.zones.end()) section.fail("zone", "expected one of the configured zones");
    settings.zone = static_cast<std::uint16_t>(found - names.zones.begin());
  }
  settings.zone_count = static_cast<unsigned>(names.zones.size());
}

void read_machine_types(yaml::Section& file, Settings& settings) {
  for (auto& [name, section] : file.named("kinds")) {
    MachineTypeSettings machine_type{name, section.number("cores", 0.1, 100'000), 0};
    machine_type.memory_mb = static_cast<double>(section.size("memory", 0)) / (1 << 20);
    section.close();
    settings.machine_types.push_back(machine_type);
  }
  if (settings.machine_types.empty())
    file.fail("kinds", "missing; at least one kind of engine with its cores is needed");
}

void read_tenants(yaml::Section& file, Settings& settings) {
  for (auto& [name, section] : file.named("tenants")) {
    settings.tenants.push_back(
        {name, section.number("share", 0, 0, 1), section.number("quota_per_s", 0, 0, 1e9)});
    section.close();
  }
}

void read_rules(yaml::Section& file, Settings& settings) {
  auto rules = file.section("rules");
  settings.drain_grace_period = read_duration(rules, "drain_grace", 500ms, 0s, kMaxDuration);
  settings.answer_grace_period = read_duration(rules, "answer_grace", 20ms, 0s, kMaxDuration);
  settings.slow_start_initial_capacity = rules.number("cold_from", 1, 0.01, 1);
  settings.slow_start_duration = read_duration(rules, "ramp_time", 0s, 0s, kMaxDuration);
  settings.slow_start_overload_ratio = rules.number("tip_multiple", 0, 0, 1000);
  settings.slow_start_overload_window = read_duration(rules, "tip_window", 2s, 0s, kMaxDuration);
  settings.ordering_quiet_period = read_duration(rules, "order_rest", 0s, 0s, kMaxDuration);
  settings.max_attempts = static_cast<unsigned>(rules.count("max_attempts", 3, 1, 100));
  if (rules.has("retry_budget")) {
    auto budget = rules.section("retry_budget");
    settings.retry_budget =
        RetryBudget{read_duration(budget, "span", 10s, 1ms, kMaxDuration), budget.number("free", 3, 0, 1e6),
                    budget.number("ratio", 0.2, 0, 100)};
    budget.close();
  }
  rules.close();
}

void read_permissions(yaml::Section& file, Settings& settings) {
  auto allow = file.section("allow");
  settings.cancellation_enabled = allow.boolean("call_off", true);
  settings.health_checks_enabled = allow.boolean("probe", true);
  settings.gossip_enabled = allow.boolean("tell", false);
  settings.hedging_enabled = allow.boolean("second_copies", false);
  settings.retry_after_enabled = allow.boolean("retry_after", true);
  settings.max_retry_after = read_duration(allow, "max_retry_after", 1s, 0s, kMaxDuration);
  settings.memory_grants_enabled = allow.boolean("grants", false);
  settings.engine_priorities_enabled = allow.boolean("priorities", false);
  settings.max_memory_grant_ratio = allow.number("max_grant_share", 1, 0.001, 1);
  settings.max_open_requests = allow.count("max_open", 20'000, 1, 10'000'000);
  allow.close();
}

void read_load_reports(yaml::Section& file, Settings& settings) {
  auto loads = file.section("loads");
  for (const auto& field : loads.strings("fields")) {
    const auto found = std::ranges::find(kLoadFieldNames, field);
    if (found == kLoadFieldNames.end())
      loads.fail("fields",
                 fmt::format("expected names among {}, not \"{}\"", fmt::join(kLoadFieldNames, ", "), field));
    settings.load_fields.push_back(static_cast<LoadField>(found - kLoadFieldNames.begin()));
  }
  settings.load_reports_in_responses = loads.boolean("in_answers", false);
  settings.cost_reported = loads.boolean("tells_cost", false);
  settings.progress_interval = read_duration(loads, "progress_pace", 0s, 0s, kMaxDuration);
  settings.memory_shortage_policy =
      static_cast<MemoryShortagePolicy>(loads.choice("memory_shortage", kMemoryShortageNames, 0));
  loads.close();
}

}  // namespace

ConfiguredNames read_names(yaml::Section& file) {
  ConfiguredNames names;
  names.zones = file.strings("zones");
  if (names.zones.empty()) names.zones.emplace_back();  // a single zone with an empty name
  for (const auto& [name, section] : file.named("kinds")) names.machine_types.push_back(name);
  return names;
}

Settings read_settings(yaml::Section& file) {
  const auto names = read_names(file);
  Settings settings;
  read_router(file, names, settings);
  read_machine_types(file, settings);
  for (auto& [name, section] : file.named("classes"))
    settings.classes.push_back(read_class(name, section, names));
  if (settings.classes.empty()) file.fail("classes", "missing; at least one class is needed");
  read_tenants(file, settings);
  read_rules(file, settings);
  read_permissions(file, settings);
  read_load_reports(file, settings);
  settings.cross_zone_cost = file.number("cross_zone_price", 0, 0, 1);
  settings.over_quota_weight = file.number("over_share_worth", 1, 0, 1);
  return settings;
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

std::string quoted_list(const std::vector<std::uint16_t>& indices, const std::vector<std::string>& names) {
  std::vector<std::string> quoted;
  for (const auto index : indices) quoted.push_back('"' + names[index] + '"');
  return fmt::format("[{}]", fmt::join(quoted, ", "));
}

using Out = std::back_insert_iterator<std::string>;

void put_machine_types(Out out, const Settings& settings) {
  fmt::format_to(out, "kinds:\n");
  for (const auto& machine_type : settings.machine_types)
    fmt::format_to(out, "  {}: {{cores: {}, memory: {}}}\n", machine_type.name, machine_type.cores,
                   yaml::size_text(static_cast<std::uint64_t>(machine_type.memory_mb * (1 << 20))));
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
  if (cls.allowed_zones) fmt::format_to(out, "    zones: {}\n", quoted_list(*cls.allowed_zones, names.zones));
  if (cls.allowed_machine_types)
    fmt::format_to(out, "    kinds: {}\n", quoted_list(*cls.allowed_machine_types, names.machine_types));
}

void put_tenants(Out out, const Settings& settings) {
  if (!settings.tenants.empty()) fmt::format_to(out, "tenants:\n");
  for (const auto& tenant : settings.tenants)
    fmt::format_to(out, "  {}: {{share: {}, quota_per_s: {}}}\n", tenant.name, tenant.quota_ratio,
                   tenant.quota_per_second);
}

void put_rules(Out out, const Settings& settings) {
  fmt::format_to(
      out,
      "rules:\n  drain_grace: {}\n  answer_grace: {}\n  cold_from: {}\n  ramp_time: {}\n  tip_multiple: {}\n"
      "  tip_window: {}\n  order_rest: {}\n  max_attempts: {}\n",
      yaml::duration_text(settings.drain_grace_period), yaml::duration_text(settings.answer_grace_period),
      settings.slow_start_initial_capacity, yaml::duration_text(settings.slow_start_duration),
      settings.slow_start_overload_ratio, yaml::duration_text(settings.slow_start_overload_window),
      yaml::duration_text(settings.ordering_quiet_period), settings.max_attempts);
  if (settings.retry_budget)
    fmt::format_to(out, "  retry_budget: {{span: {}, free: {}, ratio: {}}}\n",
                   yaml::duration_text(settings.retry_budget->window), settings.retry_budget->min_retries,
                   settings.retry_budget->retries_per_request);
}

void put_permissions(Out out, const Settings& settings) {
  fmt::format_to(
      out,
      "allow:\n  call_off: {}\n  probe: {}\n  tell: {}\n  second_copies: {}\n  retry_after: {}\n"
      "  max_retry_after: {}\n  grants: {}\n  priorities: {}\n  max_grant_share: {}\n  max_open: {}\n",
      settings.cancellation_enabled, settings.health_checks_enabled, settings.gossip_enabled,
      settings.hedging_enabled, settings.retry_after_enabled, yaml::duration_text(settings.max_retry_after),
      settings.memory_grants_enabled, settings.engine_priorities_enabled, settings.max_memory_grant_ratio,
      settings.max_open_requests);
}

void put_load_reports(Out out, const Settings& settings) {
  std::vector<std::string> fields;
  for (const auto field : settings.load_fields) fields.push_back(name_at(kLoadFieldNames, field));
  fmt::format_to(out,
                 "loads:\n  fields: [{}]\n  in_answers: {}\n  tells_cost: {}\n  progress_pace: {}\n  "
                 "memory_shortage: {}\n",
                 fmt::join(fields, ", "), settings.load_reports_in_responses, settings.cost_reported,
                 yaml::duration_text(settings.progress_interval),
                 name_at(kMemoryShortageNames, settings.memory_shortage_policy));
}

}  // namespace

std::string effective_settings_yaml(const Settings& settings, const ConfiguredNames& names) {
  std::string out;
  const auto to = std::back_inserter(out);
  std::vector<std::uint16_t> all_zones(names.zones.size());
  for (std::size_t i = 0; i < all_zones.size(); ++i) all_zones[i] = static_cast<std::uint16_t>(i);
  fmt::format_to(to, "zones: {}\n", quoted_list(all_zones, names.zones));
  put_machine_types(to, settings);
  fmt::format_to(to, "classes:\n");
  for (const auto& cls : settings.classes) put_class(to, cls, names);
  put_tenants(to, settings);
  put_rules(to, settings);
  put_permissions(to, settings);
  put_load_reports(to, settings);
  fmt::format_to(to, "cross_zone_price: {}\nover_share_worth: {}\n", settings.cross_zone_cost,
                 settings.over_quota_weight);
  return out;
}

}  // namespace heronwell::router
