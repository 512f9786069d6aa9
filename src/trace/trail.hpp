// What is known of one request's way: W3C Trace Context, spans in memory, and the choice which requests are
// kept. No I/O and no clock; spans carry moments of the monotonic clock.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/time.hpp"

namespace heronwell::trace {

struct TraceId {
  std::uint64_t high = 0, low = 0;
  [[nodiscard]] std::string hex() const;
  bool operator==(const TraceId&) const = default;
};
using SpanId = std::uint64_t;  // 0: none
std::string hex(SpanId id);

// "traceparent" (W3C Trace Context, section 3.2).
struct Context {
  TraceId trace;
  SpanId parent = 0;
  bool sampled = false;
};
std::optional<Context> read_traceparent(
    std::string_view field);  // empty: to be ignored, as the standard asks
std::string traceparent(const TraceId& trace, SpanId span, bool sampled);

using Value = std::variant<std::int64_t, double, bool, std::string>;
enum class Kind { internal = 1, server = 2, client = 3 };  // OTLP's numbers

struct Span {
  const char* name = "";
  std::string detail;  // after the name: a field, say
  SpanId id = 0, parent = 0;
  Kind kind = Kind::internal;
  Time start{}, end{};
  bool error = false;
  std::vector<std::pair<const char*, Value>> attributes;
};

constexpr std::size_t kMostSpans = 1000;  // of one request; more are counted

class Trail {
 public:
  Trail(Context given, std::uint64_t seed) : context(given), random_(seed) { root = fresh(); }

  // The span may be completed until the trail is handed over; null once there are too many.
  Span* add(const char* name, SpanId parent, Time from, Time to);
  SpanId fresh();

  Context context;  // sampled: by whoever called, or by the head
  SpanId root = 0;
  bool trouble = false;  // refused, failed, late or retried: kept whatever the head chose
  std::vector<Span> spans;
  std::size_t left_out = 0;

 private:
  std::uint64_t random_;
};
using TrailPtr = std::shared_ptr<Trail>;

// Whether the head keeps a trace: the same for the same trace on every router.
bool head_keeps(const TraceId& trace, double part);

// One line of an OTLP file (the "OTLP File Exporter" format: TracesData as JSON). `offset`: what makes a
// moment of the monotonic clock a Unix time.
std::string otlp_line(const Trail& trail, std::string_view gateway, std::string_view version, Time offset);

// Reads OTLP files' lines and prints one trace as a timeline; empty: not found there. Lines that are no OTLP
// are counted in `malformed`.
std::string timeline(const std::vector<std::string>& lines, std::string_view trace_id,
                     std::size_t& malformed);

}  // namespace heronwell::trace
