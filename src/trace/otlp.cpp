#include "trace/otlp.hpp"

#include <fmt/format.h>

#include <iterator>
#include <utility>

#include "base/json.hpp"

namespace heronwell::trace {
namespace {

// OTLP encodes 64-bit integers as JSON strings because many parsers read JSON numbers as doubles and lose
// digits.
void put_value(std::string& out, const Value& value) {
  auto to = std::back_inserter(out);
  if (const auto* integer = std::get_if<std::int64_t>(&value)) {
    fmt::format_to(to, R"({{"intValue":"{}"}})", *integer);
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

void put_attributes(std::string& out, const Span& span) {
  std::string_view separator;
  for (const auto& [key, value] : span.attributes) {
    out += std::exchange(separator, ",");
    fmt::format_to(std::back_inserter(out), R"({{"key":"{}","value":)", key);
    put_value(out, value);
    out += "}";
  }
}

void put_span(std::string& out, const Span& span, const std::string& trace_id, Time unix_offset) {
  auto to = std::back_inserter(out);
  fmt::format_to(to, R"({{"traceId":"{}","spanId":"{}",)", trace_id, hex(span.id));
  if (span.parent != 0) fmt::format_to(to, R"("parentSpanId":"{}",)", hex(span.parent));
  out += "\"name\":";
  put_json_text(out, span.detail.empty() ? std::string(span.name) : span.name + (" " + span.detail));
  fmt::format_to(to, R"(,"kind":{},"startTimeUnixNano":"{}","endTimeUnixNano":"{}","attributes":[)",
                 static_cast<int>(span.kind), (span.start + unix_offset).count(),
                 (span.end + unix_offset).count());
  put_attributes(out, span);
  out += span.error ? R"(],"status":{"code":2}})" : R"(],"status":{}})";
}

}  // namespace

std::string otlp_line(const Trail& trail, std::string_view router, std::string_view version,
                      Time unix_offset) {
  std::string out =
      R"({"resourceSpans":[{"resource":{"attributes":[{"key":"service.name","value":{"stringValue":"heronwell"}},)"
      R"({"key":"service.instance.id","value":{"stringValue":)";
  put_json_text(out, router);
  out += R"(}}]},"scopeSpans":[{"scope":{"name":"heronwell","version":)";
  put_json_text(out, version);
  out += R"(},"spans":[)";
  const auto trace_id = trail.context.trace.hex();
  std::string_view separator;
  for (const auto& span : trail.spans) {
    out += std::exchange(separator, ",");
    put_span(out, span, trace_id, unix_offset);
  }
  return out + "]}]}]}\n";
}

}  // namespace heronwell::trace
