#include "trace/timeline.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace heronwell::trace {
namespace {

using Json = nlohmann::json;

constexpr int kStatusError = 2;  // OTLP's STATUS_CODE_ERROR
constexpr double kNanosecondsPerMillisecond = 1e6;

// A span as read from a file.
struct FileSpan {
  std::string id, parent, name, router, attributes;
  std::int64_t start = 0, end = 0;  // Unix time, ns
  bool error = false;
};

// Formats an OTLP attribute value, an object such as {"stringValue": ...}, as text.
std::string value_text(const Json& value) {
  for (const auto& [type, inner] : value.items())
    return inner.is_string() ? inner.get<std::string>() : inner.dump();
  return "";
}

std::string router_of(const Json& resource) {
  std::string router;
  for (const auto& attribute : resource.at("resource").at("attributes"))
    if (attribute.at("key") == "service.instance.id") router = value_text(attribute.at("value"));
  return router;
}

FileSpan read_span(const Json& json, const std::string& router) {
  FileSpan span;
  span.id = json.at("spanId").get<std::string>();
  span.parent = json.value("parentSpanId", "");
  span.name = json.at("name").get<std::string>();
  span.router = router;
  span.start = std::stoll(json.at("startTimeUnixNano").get<std::string>());
  span.end = std::stoll(json.at("endTimeUnixNano").get<std::string>());
  span.error = json.contains("status") && json["status"].value("code", 0) == kStatusError;
  for (const auto& attribute : json.at("attributes"))
    span.attributes +=
        fmt::format("  {}={}", attribute.at("key").get<std::string>(), value_text(attribute.at("value")));
  return span;
}

// Appends the spans of trace `trace_id` in one line to `spans`. Throws if the line is not valid OTLP; spans
// read before the error remain in `spans`.
void read_line(const std::string& line, std::string_view trace_id, std::vector<FileSpan>& spans) {
  const auto json = Json::parse(line, nullptr, false);
  for (const auto& resource : json.at("resourceSpans")) {
    const auto router = router_of(resource);
    for (const auto& scope : resource.at("scopeSpans"))
      for (const auto& span : scope.at("spans"))
        if (span.at("traceId") == trace_id) spans.push_back(read_span(span, router));
  }
}

// Spans by the id of their parent; the key is "" for spans whose parent is in none of the files.
using Children = std::map<std::string, std::vector<const FileSpan*>>;

Children group_by_parent(const std::vector<FileSpan>& spans) {
  std::map<std::string, const FileSpan*> by_id;
  for (const auto& span : spans) by_id[span.id] = &span;
  Children children;
  for (const auto& span : spans) children[by_id.contains(span.parent) ? span.parent : ""].push_back(&span);
  return children;
}

void print_span(std::string& out, const FileSpan& span, std::size_t depth, std::int64_t origin) {
  fmt::format_to(std::back_inserter(out), "{:>11.3f} {:>11.3f}  {:{}}{}{}{}{}\n",
                 static_cast<double>(span.start - origin) / kNanosecondsPerMillisecond,
                 static_cast<double>(span.end - span.start) / kNanosecondsPerMillisecond, "", 2 * depth,
                 span.name, span.error ? " !" : "", depth == 0 ? "  on " + span.router : "", span.attributes);
}

// Prints the spans depth first. It is iterative and prints the children of a parent once, because the parent
// ids in a file may form a cycle.
void print_tree(std::string& out, Children children, std::int64_t origin) {
  // A stack of spans with their depths.
  std::vector<std::pair<const FileSpan*, std::size_t>> pending;
  const auto push_children = [&](const std::string& parent, std::size_t depth) {
    const auto found = children.find(parent);
    if (found == children.end()) return;
    for (auto child = found->second.rbegin(); child != found->second.rend(); ++child)
      pending.emplace_back(*child, depth);
    children.erase(found);
  };
  push_children("", 0);
  while (!pending.empty()) {
    const auto [span, depth] = pending.back();
    pending.pop_back();
    print_span(out, *span, depth, origin);
    push_children(span->id, depth + 1);
  }
}

}  // namespace

std::string timeline(const std::vector<std::string>& lines, std::string_view trace_id,
                     std::size_t& malformed) {
  std::vector<FileSpan> spans;
  for (const auto& line : lines) {
    if (line.find(trace_id) == std::string::npos) continue;
    try {
      read_line(line, trace_id, spans);
    } catch (const std::exception&) {
      ++malformed;
    }
  }
  if (spans.empty()) return "";
  std::ranges::stable_sort(spans, {}, &FileSpan::start);
  std::string out = fmt::format("trace {}, {} spans\n{:>11} {:>11}  {}\n", trace_id, spans.size(), "from ms",
                                "took ms", "what");
  print_tree(out, group_by_parent(spans), spans.front().start);
  return out;
}

}  // namespace heronwell::trace
