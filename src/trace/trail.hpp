// A trail holds the spans of one request in a router and its W3C Trace Context. The code here does no I/O and
// reads no clock. Spans hold times of the monotonic clock, which are converted to Unix time when they are
// written.
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
  [[nodiscard]] std::string hex() const;  // 32 digits, lower case
  bool operator==(const TraceId&) const = default;
};
using SpanId = std::uint64_t;  // 0: none
std::string hex(SpanId id);    // 16 digits, lower case

// The content of the header field "traceparent" (W3C Trace Context, section 3.2).
struct Context {
  TraceId trace;
  SpanId parent = 0;
  bool sampled = false;
};
// Returns nullopt if `field` is not valid; the standard requires it to be ignored then.
std::optional<Context> read_traceparent(std::string_view field);
// Formats a traceparent field of version 00.
std::string traceparent(const TraceId& trace, SpanId span, bool sampled);

using Value = std::variant<std::int64_t, double, bool, std::string>;
enum class Kind { internal = 1, server = 2, client = 3 };  // values of OTLP's SpanKind

struct Span {
  const char* name = "";
  std::string detail;  // appended to the name when written, such as a GraphQL field
  SpanId id = 0, parent = 0;
  Kind kind = Kind::internal;
  Time start{}, end{};
  bool error = false;
  std::vector<std::pair<const char*, Value>> attributes;
};

// Maximum number of spans of one request. A GraphQL request may run a statement for each of many parents.
// Spans beyond the limit are only counted, which keeps the trail of one request below a megabyte.
constexpr std::size_t kMaxSpans = 1000;

// The spans of one request. Not synchronised: only the request's thread may use it until Tracer::finish().
class Trail {
 public:
  // `seed` initialises the generator of span ids, which must be unique within a trace only.
  Trail(Context given, std::uint64_t seed) : context(given), random_(seed) {
    root =
        fresh();  // NOLINT(cppcoreguidelines-prefer-member-initializer): from random_, which is declared later
  }

  // Adds a span, or counts it in `left_out` and returns null if there are already kMaxSpans. The caller may
  // fill in further fields. The pointer is valid until the next add().
  Span* add(const char* name, SpanId parent, Time from, Time to);
  // Returns a new span id, which is never 0.
  SpanId fresh();

  Context context;       // `sampled` comes from the caller or from head sampling
  SpanId root = 0;       // id of the span of the whole request
  bool trouble = false;  // rejected, failed, late or retried (trace.keep_trouble)
  std::vector<Span> spans;
  std::size_t left_out = 0;  // number of spans beyond kMaxSpans

 private:
  std::uint64_t random_;
};
using TrailPtr = std::shared_ptr<Trail>;

// Head sampling: decides at the start of a trace whether it is sampled. The decision depends on the trace id
// only, so that all routers decide alike. `fraction` of all traces are sampled, 0 to 1.
bool head_samples(const TraceId& trace, double fraction);

}  // namespace heronwell::trace
