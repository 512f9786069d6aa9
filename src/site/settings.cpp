#include "site/settings.hpp"

#include <concepts>
#include <limits>
#include <nlohmann/json.hpp>

namespace heronwell::site {
namespace {

using nlohmann::json;

// ---- settings -----------------------------------------------------------------------------------------

[[noreturn]] void bad(const std::string& field, const char* what) {
  throw Malformed("settings: " + field + " " + what);
}

const json& need(const json& in, const char* key) {
  if (!in.is_object()) bad(key, "is looked for in something that is no object");
  const auto found = in.find(key);
  if (found == in.end() || found->is_null()) bad(key, "is missing");
  return *found;
}

const json* find(const json& in, const char* key) {
  const auto found = in.find(key);
  return found == in.end() || found->is_null() ? nullptr : &*found;
}

double number(const json& value, const char* key) {
  if (!value.is_number()) bad(key, "is not a number");
  return value.get<double>();
}

double number_or(const json& in, const char* key, double otherwise) {
  const json* value = find(in, key);
  return value == nullptr ? otherwise : number(*value, key);
}

template <std::integral T>
T whole(const json& value, const char* key) {
  if (value.is_number_unsigned()) {
    const auto v = value.get<std::uint64_t>();
    if (v <= static_cast<std::uint64_t>(std::numeric_limits<T>::max())) return static_cast<T>(v);
  } else if (value.is_number_float()) {
    const double v = value.get<double>();
    if (v >= 0 && v <= static_cast<double>(std::numeric_limits<T>::max()) / 2) return static_cast<T>(v);
  }
  bad(key, "is not a whole number in range");
}

template <std::integral T>
T whole_or(const json& in, const char* key, T otherwise) {
  const json* value = find(in, key);
  return value == nullptr ? otherwise : whole<T>(*value, key);
}

Time time(const json& value, const char* key) { return Time(whole<std::int64_t>(value, key)); }

Time time_or(const json& in, const char* key, Time otherwise) {
  const json* value = find(in, key);
  return value == nullptr ? otherwise : time(*value, key);
}

bool flag_or(const json& in, const char* key, bool otherwise) {
  const json* value = find(in, key);
  if (value == nullptr) return otherwise;
  if (!value->is_boolean()) bad(key, "is not true or false");
  return value->get<bool>();
}

std::string text_or(const json& in, const char* key, const char* otherwise) {
  const json* value = find(in, key);
  if (value == nullptr) return otherwise;
  if (!value->is_string()) bad(key, "is not a text");
  return value->get<std::string>();
}

const json& list(const json& value, const char* key) {
  if (!value.is_array()) bad(key, "is not a list");
  return value;
}

template <class T>
struct Word {
  const char* text;
  T value;
};

template <class T, std::size_t N>
T one_of(const std::string& text, const Word<T> (&words)[N], const char* key) {
  for (const auto& word : words) {
    if (text == word.text) return word.value;
  }
  bad(key, "holds an unknown word");
}

constexpr Word<Effect> kEffects[] = {
    {"safe", Effect::safe}, {"keyed", Effect::keyed}, {"unsafe", Effect::unsafe}};
constexpr Word<RepeatGroup> kGroups[] = {
    {"all", RepeatGroup::all}, {"zone", RepeatGroup::zone}, {"cell", RepeatGroup::cell}};
constexpr Word<Shortage> kShortages[] = {
    {"line_up", Shortage::wait}, {"cut", Shortage::shrink}, {"overcommit", Shortage::overcommit}};
constexpr Word<LoadField> kFields[] = {{"busy_reqs", LoadField::inflight}, {"pending", LoadField::queue},
                                       {"cpu_share", LoadField::util},     {"svc_ms", LoadField::latency_ms},
                                       {"served_ps", LoadField::served},   {"failed_ps", LoadField::failed},
                                       {"x0", LoadField::memory_share},    {"x1", LoadField::disk_share}};

std::optional<std::vector<std::uint16_t>> only(const json& in, const char* key) {
  const json* value = find(in, key);
  if (value == nullptr) return std::nullopt;
  std::vector<std::uint16_t> out;
  for (const json& item : list(*value, key)) out.push_back(whole<std::uint16_t>(item, key));
  return out;
}

ClassSettings parse_class(const json& in) {
  ClassSettings out;
  out.name = text_or(in, "name", "");
  out.aim = time(need(in, "aim"), "classes[].aim");
  out.aim_stretch = number_or(in, "aim-stretch", 0);
  out.give_up = time(need(in, "give-up"), "classes[].give-up");
  out.worth = number_or(in, "credit", 1);
  out.late_share = number_or(in, "late-share", 0);
  out.effect = one_of(text_or(in, "semantics", "unsafe"), kEffects, "classes[].semantics");
  out.group = one_of(text_or(in, "group", "all"), kGroups, "classes[].group");
  out.window = time_or(in, "window", Time::zero());
  out.in_order = flag_or(in, "in-order", false);
  out.zones = only(in, "zones-allowed");
  out.kinds = only(in, "bound-to");
  return out;
}

template <class Set>
void each(const json* values, std::size_t count, const char* key, Set set) {
  if (values == nullptr) return;
  list(*values, key);
  for (std::size_t i = 0; i < count && i < values->size(); ++i) set(i, (*values)[i]);
}

void parse_family(const json& in, Settings& out) {
  const auto classes = out.classes.size();
  const auto kinds = out.kinds.size();
  each(find(in, "width-by-class"), classes, "width-by-class",
       [&](std::size_t i, const json& v) { out.classes[i].threads = whole<unsigned>(v, "width-by-class"); });
  const auto truth = [](const json& v, const char* key) {
    if (!v.is_boolean()) bad(key, "is not true or false");
    return v.get<bool>();
  };
  each(find(in, "loads"), classes, "loads",
       [&](std::size_t i, const json& v) { out.classes[i].holds_group = truth(v, "loads"); });
  each(find(in, "class-waits"), classes, "class-waits",
       [&](std::size_t i, const json& v) { out.classes[i].waits_for_group = truth(v, "class-waits"); });
  each(find(in, "cpu-of-kind"), kinds, "cpu-of-kind",
       [&](std::size_t i, const json& v) { out.kinds[i].cores = number(v, "cpu-of-kind"); });
  each(find(in, "ram-of-kind-mb"), kinds, "ram-of-kind-mb",
       [&](std::size_t i, const json& v) { out.kinds[i].memory_mb = number(v, "ram-of-kind-mb"); });
  out.grants = flag_or(in, "grants", false);
  out.priorities = flag_or(in, "takes-priority", false);
  out.tells_cost = flag_or(in, "tells-cost", false);
  out.max_grant_share = number_or(in, "max-grant-share", 1);
  out.progress_pace = time_or(in, "progress-pace", Time::zero());
  out.shortage = one_of(text_or(in, "out-of-memory", "line_up"), kShortages, "out-of-memory");
}

void parse_ceilings(const json& in, Settings& out) {
  out.max_attempts = whole_or<unsigned>(in, "max-attempts", 1);
  out.max_open = whole_or<std::size_t>(in, "most-held", 0);
  out.may_call_off = flag_or(in, "cancel", false);
  out.may_probe = flag_or(in, "probing", false);
  out.may_tell = flag_or(in, "may-tell", false);
  out.second_copies = flag_or(in, "second-copies", false);
  out.retry_after = flag_or(in, "retry-after", false);
  out.max_retry_after = time_or(in, "max-retry-after", Time::zero());
}

void parse_safety(const json& in, Settings& out) {
  out.drain_grace = time_or(in, "drain-grace", Time::zero());
  out.answer_grace = time_or(in, "grace-to-answer", Time::zero());
  out.cold_from = number_or(in, "cold-from", 1);
  out.ramp_time = time_or(in, "ramp-time", Time::zero());
  out.tip_multiple = number_or(in, "tip-multiple", 0);
  out.tip_window = time_or(in, "fall", Time::zero());
  out.order_rest = time_or(in, "turn-gap", Time::zero());
  out.ask_within = time_or(in, "ask-within", Time::zero());
  if (find(in, "resend-span") != nullptr) {
    out.retry_budget = RetryBudget{time_or(in, "resend-span", Time::zero()), number_or(in, "free-resends", 0),
                                   number_or(in, "further-ratio", 0)};
  }
}

void parse_report(const json& in, Settings& out) {
  const std::string how = text_or(in, "how", "silent");
  out.load_in_answers = how == "piggyback";
  if (how == "silent") return;
  const json* fields = find(in, "fields");
  if (fields == nullptr) return;
  for (const json& field : list(*fields, "report.fields")) {
    if (!field.is_string()) bad("report.fields", "is not a list of texts");
    LoadField value = LoadField::unknown;
    for (const auto& word : kFields) {
      if (field.get<std::string>() == word.text) value = word.value;
    }
    out.load_fields.push_back(value);
  }
}

}  // namespace

Settings parse_settings(std::string_view text) {
  const json in = json::parse(text, nullptr, false);
  if (in.is_discarded() || !in.is_object()) throw Malformed("settings: not a JSON object");
  Settings out;
  out.gateways = whole<unsigned>(need(in, "balancers"), "balancers");
  out.me = whole_or<unsigned>(in, "me", 0);
  out.zone = whole_or<std::uint16_t>(in, "az", 0);
  out.step = time_or(in, "step", out.step);
  for (const json& item : list(need(in, "classes"), "classes")) out.classes.push_back(parse_class(item));
  for (const json& item : list(need(in, "kinds"), "kinds")) {
    if (!item.is_string()) bad("kinds", "holds something that is no text");
    out.kinds.push_back({item.get<std::string>(), 1, 0});
  }
  if (const json* tenants = find(in, "tenants"); tenants != nullptr) {
    for (const json& item : list(*tenants, "tenants")) {
      if (!item.is_object()) bad("tenants", "holds something that is no object");
      out.tenants.push_back(
          {text_or(item, "name", ""), number_or(item, "portion", 0), number_or(item, "quota-rps", 0)});
    }
  }
  if (const json* zones = find(in, "zones"); zones != nullptr)
    out.zones = static_cast<unsigned>(list(*zones, "zones").size());
  out.over_share_worth = number_or(in, "over-share-worth", 1);
  if (const json* prices = find(in, "prices"); prices != nullptr)
    out.price_cross_zone = number_or(*prices, "cross-zone", 0);
  out.ask_for_list = text_or(in, "membership-mode", "pushed") == "on_request";
  parse_ceilings(need(in, "ceilings"), out);
  parse_safety(need(in, "safety"), out);
  parse_family(need(in, "family-info"), out);
  if (const json* report = find(in, "report"); report != nullptr) parse_report(*report, out);
  return out;
}

}  // namespace heronwell::site
