#include "site/settings.hpp"

#include <concepts>
#include <limits>
#include <nlohmann/json.hpp>

namespace heronwell::site {
namespace {

using nlohmann::json;

// ---- access to JSON values with checks of their types -------------------------------------------------

[[noreturn]] void fail(const std::string& field, const char* what) {
  throw Malformed("settings: " + field + " " + what);
}

const json& required(const json& in, const char* key) {
  if (!in.is_object()) fail(key, "cannot be read because its parent is not an object");
  const auto found = in.find(key);
  if (found == in.end() || found->is_null()) fail(key, "is missing");
  return *found;
}

const json* find_member(const json& in, const char* key) {
  const auto found = in.find(key);
  return found == in.end() || found->is_null() ? nullptr : &*found;
}

double as_number(const json& value, const char* key) {
  if (!value.is_number()) fail(key, "is not a number");
  return value.get<double>();
}

double number_or(const json& in, const char* key, double fallback) {
  const json* value = find_member(in, key);
  return value == nullptr ? fallback : as_number(*value, key);
}

template <std::integral T>
T as_integer(const json& value, const char* key) {
  if (value.is_number_unsigned()) {
    const auto v = value.get<std::uint64_t>();
    if (v <= static_cast<std::uint64_t>(std::numeric_limits<T>::max())) return static_cast<T>(v);
  } else if (value.is_number_float()) {
    const double v = value.get<double>();
    if (v >= 0 && v <= static_cast<double>(std::numeric_limits<T>::max()) / 2) return static_cast<T>(v);
  }
  fail(key, "is not a whole number in range");
}

template <std::integral T>
T integer_or(const json& in, const char* key, T fallback) {
  const json* value = find_member(in, key);
  return value == nullptr ? fallback : as_integer<T>(*value, key);
}

Time as_time(const json& value, const char* key) { return Time(as_integer<std::int64_t>(value, key)); }

Time time_or(const json& in, const char* key, Time fallback) {
  const json* value = find_member(in, key);
  return value == nullptr ? fallback : as_time(*value, key);
}

bool boolean_or(const json& in, const char* key, bool fallback) {
  const json* value = find_member(in, key);
  if (value == nullptr) return fallback;
  if (!value->is_boolean()) fail(key, "is not true or false");
  return value->get<bool>();
}

std::string string_or(const json& in, const char* key, const char* fallback) {
  const json* value = find_member(in, key);
  if (value == nullptr) return fallback;
  if (!value->is_string()) fail(key, "is not a string");
  return value->get<std::string>();
}

const json& as_array(const json& value, const char* key) {
  if (!value.is_array()) fail(key, "is not a list");
  return value;  // NOLINT(bugprone-return-const-ref-from-parameter): part of the document, which outlives it
}

// ---- one function for each part of the settings, which maps external names to members -----------------
template <class T>
struct NamedValue {
  const char* text;
  T value;
};

template <class T, std::size_t N>
T value_with_name(const std::string& text, const NamedValue<T> (&names)[N], const char* key) {
  for (const auto& name : names) {
    if (text == name.text) return name.value;
  }
  fail(key, "has an unknown value");
}

constexpr NamedValue<Idempotency> kIdempotencies[] = {{"safe", Idempotency::idempotent},
                                                      {"keyed", Idempotency::idempotency_key},
                                                      {"unsafe", Idempotency::not_idempotent}};
constexpr NamedValue<DeduplicationScope> kDeduplicationScopes[] = {
    {"all", DeduplicationScope::all}, {"zone", DeduplicationScope::zone}, {"cell", DeduplicationScope::cell}};
constexpr NamedValue<MemoryShortagePolicy> kMemoryShortagePolicies[] = {
    {"line_up", MemoryShortagePolicy::wait},
    {"cut", MemoryShortagePolicy::shrink},
    {"overcommit", MemoryShortagePolicy::overcommit}};
constexpr NamedValue<LoadField> kLoadFields[] = {
    {"busy_reqs", LoadField::in_flight},   {"pending", LoadField::queue},
    {"cpu_share", LoadField::utilization}, {"svc_ms", LoadField::latency_ms},
    {"served_ps", LoadField::served},      {"failed_ps", LoadField::failed},
    {"x0", LoadField::memory_share},       {"x1", LoadField::disk_share}};

std::optional<std::vector<std::uint16_t>> index_list(const json& in, const char* key) {
  const json* value = find_member(in, key);
  if (value == nullptr) return std::nullopt;
  std::vector<std::uint16_t> out;
  for (const json& item : as_array(*value, key)) out.push_back(as_integer<std::uint16_t>(item, key));
  return out;
}

ClassSettings parse_class(const json& in) {
  ClassSettings out;
  out.name = string_or(in, "name", "");
  out.latency_objective = as_time(required(in, "aim"), "classes[].aim");
  out.latency_objective_per_work = number_or(in, "aim-stretch", 0);
  out.timeout = as_time(required(in, "give-up"), "classes[].give-up");
  out.priority_weight = number_or(in, "credit", 1);
  out.late_weight_ratio = number_or(in, "late-share", 0);
  out.idempotency =
      value_with_name(string_or(in, "semantics", "unsafe"), kIdempotencies, "classes[].semantics");
  out.deduplication_scope =
      value_with_name(string_or(in, "group", "all"), kDeduplicationScopes, "classes[].group");
  out.deduplication_window = time_or(in, "window", Time::zero());
  out.ordered_by_key = boolean_or(in, "in-order", false);
  out.allowed_zones = index_list(in, "zones-allowed");
  out.allowed_machine_types = index_list(in, "bound-to");
  return out;
}

template <class Set>
void for_each_item(const json* values, std::size_t count, const char* key, Set set) {
  if (values == nullptr) return;
  as_array(*values, key);
  for (std::size_t i = 0; i < count && i < values->size(); ++i) set(i, (*values)[i]);
}

void parse_resources(const json& in, Settings& out) {
  const auto classes = out.classes.size();
  const auto machine_types = out.machine_types.size();
  for_each_item(find_member(in, "width-by-class"), classes, "width-by-class",
                [&](std::size_t i, const json& v) {
                  out.classes[i].threads = as_integer<unsigned>(v, "width-by-class");
                });
  const auto boolean = [](const json& v, const char* key) {
    if (!v.is_boolean()) fail(key, "is not true or false");
    return v.get<bool>();
  };
  for_each_item(find_member(in, "loads"), classes, "loads",
                [&](std::size_t i, const json& v) { out.classes[i].holds_data_group = boolean(v, "loads"); });
  for_each_item(find_member(in, "class-waits"), classes, "class-waits", [&](std::size_t i, const json& v) {
    out.classes[i].waits_for_data_group = boolean(v, "class-waits");
  });
  for_each_item(
      find_member(in, "cpu-of-kind"), machine_types, "cpu-of-kind",
      [&](std::size_t i, const json& v) { out.machine_types[i].cores = as_number(v, "cpu-of-kind"); });
  for_each_item(
      find_member(in, "ram-of-kind-mb"), machine_types, "ram-of-kind-mb",
      [&](std::size_t i, const json& v) { out.machine_types[i].memory_mb = as_number(v, "ram-of-kind-mb"); });
  out.memory_grants_enabled = boolean_or(in, "grants", false);
  out.engine_priorities_enabled = boolean_or(in, "takes-priority", false);
  out.cost_reported = boolean_or(in, "tells-cost", false);
  out.max_memory_grant_ratio = number_or(in, "max-grant-share", 1);
  out.progress_interval = time_or(in, "progress-pace", Time::zero());
  out.memory_shortage_policy =
      value_with_name(string_or(in, "out-of-memory", "line_up"), kMemoryShortagePolicies, "out-of-memory");
}

void parse_limits(const json& in, Settings& out) {
  out.max_attempts = integer_or<unsigned>(in, "max-attempts", 1);
  out.max_open_requests = integer_or<std::size_t>(in, "most-held", 0);
  out.cancellation_enabled = boolean_or(in, "cancel", false);
  out.health_checks_enabled = boolean_or(in, "probing", false);
  out.gossip_enabled = boolean_or(in, "may-tell", false);
  out.hedging_enabled = boolean_or(in, "second-copies", false);
  out.retry_after_enabled = boolean_or(in, "retry-after", false);
  out.max_retry_after = time_or(in, "max-retry-after", Time::zero());
}

void parse_timing_rules(const json& in, Settings& out) {
  out.drain_grace_period = time_or(in, "drain-grace", Time::zero());
  out.answer_grace_period = time_or(in, "grace-to-answer", Time::zero());
  out.slow_start_initial_capacity = number_or(in, "cold-from", 1);
  out.slow_start_duration = time_or(in, "ramp-time", Time::zero());
  out.slow_start_overload_ratio = number_or(in, "tip-multiple", 0);
  out.slow_start_overload_window = time_or(in, "fall", Time::zero());
  out.ordering_quiet_period = time_or(in, "turn-gap", Time::zero());
  out.endpoint_poll_deadline = time_or(in, "ask-within", Time::zero());
  if (find_member(in, "resend-span") != nullptr) {
    out.retry_budget = RetryBudget{time_or(in, "resend-span", Time::zero()), number_or(in, "free-resends", 0),
                                   number_or(in, "further-ratio", 0)};
  }
}

void parse_load_reports(const json& in, Settings& out) {
  const std::string how = string_or(in, "how", "silent");
  out.load_reports_in_responses = how == "piggyback";
  if (how == "silent") return;
  const json* fields = find_member(in, "fields");
  if (fields == nullptr) return;
  for (const json& field : as_array(*fields, "report.fields")) {
    if (!field.is_string()) fail("report.fields", "is not a list of strings");
    LoadField value = LoadField::unknown;
    for (const auto& name : kLoadFields) {
      if (field.get<std::string>() == name.text) value = name.value;
    }
    out.load_fields.push_back(value);
  }
}

}  // namespace

Settings parse_settings(std::string_view text) {
  const json in = json::parse(text, nullptr, false);
  if (in.is_discarded() || !in.is_object()) throw Malformed("settings: not a JSON object");
  Settings out;
  out.router_count = as_integer<unsigned>(required(in, "balancers"), "balancers");
  out.router_index = integer_or<unsigned>(in, "me", 0);
  out.zone = integer_or<std::uint16_t>(in, "az", 0);
  out.min_call_interval = time_or(in, "step", out.min_call_interval);
  for (const json& item : as_array(required(in, "classes"), "classes"))
    out.classes.push_back(parse_class(item));
  for (const json& item : as_array(required(in, "kinds"), "kinds")) {
    if (!item.is_string()) fail("kinds", "contains an element that is not a string");
    out.machine_types.push_back({item.get<std::string>(), 1, 0});
  }
  if (const json* tenants = find_member(in, "tenants"); tenants != nullptr) {
    for (const json& item : as_array(*tenants, "tenants")) {
      if (!item.is_object()) fail("tenants", "contains an element that is not an object");
      out.tenants.push_back(
          {string_or(item, "name", ""), number_or(item, "portion", 0), number_or(item, "quota-rps", 0)});
    }
  }
  if (const json* zones = find_member(in, "zones"); zones != nullptr)
    out.zone_count = static_cast<unsigned>(as_array(*zones, "zones").size());
  out.over_quota_weight = number_or(in, "over-share-worth", 1);
  if (const json* prices = find_member(in, "prices"); prices != nullptr)
    out.cross_zone_cost = number_or(*prices, "cross-zone", 0);
  out.poll_endpoints = string_or(in, "membership-mode", "pushed") == "on_request";
  parse_limits(required(in, "ceilings"), out);
  parse_timing_rules(required(in, "safety"), out);
  parse_resources(required(in, "family-info"), out);
  if (const json* report = find_member(in, "report"); report != nullptr) parse_load_reports(*report, out);
  return out;
}

}  // namespace heronwell::site
