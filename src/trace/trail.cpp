#include "trace/trail.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>

#include "base/json.hpp"

namespace heronwell::trace {
namespace {

// SplitMix64: ids need to differ, no more.
std::uint64_t mixed(std::uint64_t& state) {
  state += 0x9e3779b97f4a7c15ULL;
  auto z = state;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

// Lower-case hex digits only, as the standard asks.
std::optional<std::uint64_t> hex_number(std::string_view text) {
  std::uint64_t value = 0;
  for (const char c : text) {
    const bool digit = c >= '0' && c <= '9', letter = c >= 'a' && c <= 'f';
    if (!digit && !letter) return std::nullopt;
    value = value << 4 | static_cast<std::uint64_t>(digit ? c - '0' : c - 'a' + 10);
  }
  return value;
}

void put_value(std::string& out, const Value& value) {
  auto to = std::back_inserter(out);
  if (const auto* number = std::get_if<std::int64_t>(&value)) {
    fmt::format_to(to, R"({{"intValue":"{}"}})", *number);
  } else if (const auto* real = std::get_if<double>(&value)) {
    fmt::format_to(to, R"({{"doubleValue":{}}})", *real);
  } else if (const auto* flag = std::get_if<bool>(&value)) {
    fmt::format_to(to, R"({{"boolValue":{}}})", *flag);
  } else {
    out += "{\"stringValue\":";
    put_json_text(out, std::get<std::string>(value));
    out += "}";
  }
}

using Json = nlohmann::json;

struct Found {
  std::string id, parent, name, gateway, attributes;
  std::int64_t start = 0, end = 0;
  bool error = false;
};

std::string shown(const Json& value) {
  for (const auto& [kind, inner] : value.items())
    return inner.is_string() ? inner.get<std::string>() : inner.dump();
  return "";
}

}  // namespace

std::string TraceId::hex() const { return fmt::format("{:016x}{:016x}", high, low); }
std::string hex(SpanId id) { return fmt::format("{:016x}", id); }

std::optional<Context> read_traceparent(std::string_view field) {
  if (field.size() < 55 || field[2] != '-' || field[35] != '-' || field[52] != '-') return std::nullopt;
  const auto version = hex_number(field.substr(0, 2));
  const auto high = hex_number(field.substr(3, 16)), low = hex_number(field.substr(19, 16));
  const auto parent = hex_number(field.substr(36, 16));
  const auto flags = hex_number(field.substr(53, 2));
  if (!version || !high || !low || !parent || !flags || *version == 0xff) return std::nullopt;
  if (*version == 0 ? field.size() != 55 : field.size() > 55 && field[55] != '-') return std::nullopt;
  if ((*high == 0 && *low == 0) || *parent == 0) return std::nullopt;
  return Context{{*high, *low}, *parent, (*flags & 1) != 0};
}

std::string traceparent(const TraceId& trace, SpanId span, bool sampled) {
  return fmt::format("00-{}-{}-{}", trace.hex(), hex(span), sampled ? "01" : "00");
}

bool head_keeps(const TraceId& trace, double part) {
  // The trace id's last 56 bits are random (Trace Context, level 2): a threshold on them is alike everywhere.
  return static_cast<double>(trace.low & ((1ULL << 56) - 1)) < part * static_cast<double>(1ULL << 56);
}

SpanId Trail::fresh() {
  auto id = mixed(random_);
  while (id == 0) id = mixed(random_);
  return id;
}

Span* Trail::add(const char* name, SpanId parent, Time from, Time to) {
  if (spans.size() >= kMostSpans) {
    ++left_out;
    return nullptr;
  }
  auto& span = spans.emplace_back();
  span.name = name;
  span.id = fresh();
  span.parent = parent;
  span.start = from;
  span.end = std::max(from, to);
  return &span;
}

std::string otlp_line(const Trail& trail, std::string_view gateway, std::string_view version, Time offset) {
  std::string out =
      R"({"resourceSpans":[{"resource":{"attributes":[{"key":"service.name","value":{"stringValue":"heronwell"}},)"
      R"({"key":"service.instance.id","value":{"stringValue":)";
  put_json_text(out, gateway);
  out += R"(}}]},"scopeSpans":[{"scope":{"name":"heronwell","version":)";
  put_json_text(out, version);
  out += R"(},"spans":[)";
  const auto trace = trail.context.trace.hex();
  std::string_view between;
  for (const auto& span : trail.spans) {
    out += std::exchange(between, ",");
    fmt::format_to(std::back_inserter(out), R"({{"traceId":"{}","spanId":"{}",)", trace, hex(span.id));
    if (span.parent != 0)
      fmt::format_to(std::back_inserter(out), R"("parentSpanId":"{}",)", hex(span.parent));
    out += "\"name\":";
    put_json_text(out, span.detail.empty() ? std::string(span.name) : span.name + (" " + span.detail));
    fmt::format_to(std::back_inserter(out),
                   R"(,"kind":{},"startTimeUnixNano":"{}","endTimeUnixNano":"{}","attributes":[)",
                   static_cast<int>(span.kind), (span.start + offset).count(), (span.end + offset).count());
    std::string_view comma;
    for (const auto& [key, value] : span.attributes) {
      out += std::exchange(comma, ",");
      fmt::format_to(std::back_inserter(out), R"({{"key":"{}","value":)", key);
      put_value(out, value);
      out += "}";
    }
    out += span.error ? R"(],"status":{"code":2}})" : R"(],"status":{}})";
  }
  return out + "]}]}]}\n";
}

std::string timeline(const std::vector<std::string>& lines, std::string_view trace_id,
                     std::size_t& malformed) {
  std::vector<Found> spans;
  for (const auto& line : lines) {
    if (line.find(trace_id) == std::string::npos) continue;
    const auto json = Json::parse(line, nullptr, false);
    try {
      for (const auto& resource : json.at("resourceSpans")) {
        std::string gateway;
        for (const auto& attribute : resource.at("resource").at("attributes"))
          if (attribute.at("key") == "service.instance.id") gateway = shown(attribute.at("value"));
        for (const auto& scope : resource.at("scopeSpans"))
          for (const auto& span : scope.at("spans")) {
            if (span.at("traceId") != trace_id) continue;
            Found found;
            found.id = span.at("spanId").get<std::string>();
            found.parent = span.value("parentSpanId", "");
            found.name = span.at("name").get<std::string>();
            found.gateway = gateway;
            found.start = std::stoll(span.at("startTimeUnixNano").get<std::string>());
            found.end = std::stoll(span.at("endTimeUnixNano").get<std::string>());
            found.error = span.contains("status") && span["status"].value("code", 0) == 2;
            for (const auto& attribute : span.at("attributes"))
              found.attributes += fmt::format("  {}={}", attribute.at("key").get<std::string>(),
                                              shown(attribute.at("value")));
            spans.push_back(std::move(found));
          }
      }
    } catch (const std::exception&) {
      ++malformed;
    }
  }
  if (spans.empty()) return "";
  std::ranges::stable_sort(spans, {}, &Found::start);
  std::map<std::string, std::vector<const Found*>> below;
  std::map<std::string, const Found*> by_id;
  for (const auto& span : spans) by_id[span.id] = &span;
  for (const auto& span : spans) below[by_id.contains(span.parent) ? span.parent : ""].push_back(&span);
  std::string out = fmt::format("trace {}, {} spans\n{:>11} {:>11}  {}\n", trace_id, spans.size(), "from ms",
                                "took ms", "what");
  const auto first = spans.front().start;
  // Depth first, without recursion: what a file says may go in a circle.
  std::vector<std::pair<const Found*, std::size_t>> open;
  const auto push = [&](const std::string& parent, std::size_t depth) {
    const auto found = below.find(parent);
    if (found == below.end()) return;
    for (auto at = found->second.rbegin(); at != found->second.rend(); ++at) open.emplace_back(*at, depth);
    below.erase(found);
  };
  push("", 0);
  while (!open.empty()) {
    const auto [span, depth] = open.back();
    open.pop_back();
    fmt::format_to(std::back_inserter(out), "{:>11.3f} {:>11.3f}  {:{}}{}{}{}{}\n",
                   static_cast<double>(span->start - first) / 1e6,
                   static_cast<double>(span->end - span->start) / 1e6, "", 2 * depth, span->name,
                   span->error ? " !" : "", depth == 0 ? "  on " + span->gateway : "", span->attributes);
    push(span->id, depth + 1);
  }
  return out;
}

}  // namespace heronwell::trace
