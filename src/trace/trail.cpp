#include "trace/trail.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace heronwell::trace {
namespace {

// The SplitMix64 generator.
std::uint64_t next_random(std::uint64_t& state) {
  state += 0x9e3779b97f4a7c15ULL;
  auto z = state;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

// Accepts lower-case hex digits only, as W3C Trace Context requires.
std::optional<std::uint64_t> parse_hex(std::string_view text) {
  std::uint64_t value = 0;
  for (const char c : text) {
    const bool digit = c >= '0' && c <= '9', letter = c >= 'a' && c <= 'f';
    if (!digit && !letter) return std::nullopt;
    value = value << 4 | static_cast<std::uint64_t>(digit ? c - '0' : c - 'a' + 10);
  }
  return value;
}

}  // namespace

std::string TraceId::hex() const { return fmt::format("{:016x}{:016x}", high, low); }
std::string hex(SpanId id) { return fmt::format("{:016x}", id); }

std::optional<Context> read_traceparent(std::string_view field) {
  if (field.size() < 55 || field[2] != '-' || field[35] != '-' || field[52] != '-') return std::nullopt;
  const auto version = parse_hex(field.substr(0, 2));
  const auto high = parse_hex(field.substr(3, 16)), low = parse_hex(field.substr(19, 16));
  const auto parent = parse_hex(field.substr(36, 16));
  const auto flags = parse_hex(field.substr(53, 2));
  if (!version || !high || !low || !parent || !flags || *version == 0xff) return std::nullopt;
  if (*version == 0 ? field.size() != 55 : field.size() > 55 && field[55] != '-') return std::nullopt;
  if ((*high == 0 && *low == 0) || *parent == 0) return std::nullopt;
  return Context{{*high, *low}, *parent, (*flags & 1) != 0};
}

std::string traceparent(const TraceId& trace, SpanId span, bool sampled) {
  return fmt::format("00-{}-{}-{}", trace.hex(), hex(span), sampled ? "01" : "00");
}

bool head_samples(const TraceId& trace, double fraction) {
  // The last 56 bits of a trace id are random (Trace Context, level 2), so that all routers that compare them
  // with the same threshold make the same decision.
  return static_cast<double>(trace.low & ((1ULL << 56) - 1)) < fraction * static_cast<double>(1ULL << 56);
}

SpanId Trail::fresh() {
  auto id = next_random(random_);
  while (id == 0) id = next_random(random_);
  return id;
}

Span* Trail::add(const char* name, SpanId parent, Time from, Time to) {
  if (spans.size() >= kMaxSpans) {
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

}  // namespace heronwell::trace
