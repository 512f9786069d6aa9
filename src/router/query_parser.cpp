#include "router/query_parser.hpp"

#include <fmt/format.h>
#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cmath>

#include "base/yaml.hpp"
#include "router/settings_reader.hpp"

namespace heronwell::router {
namespace {

// Upper limits of a client's estimates for one query: one hour of work and ten terabytes of memory.
constexpr double kMaxWorkMs = 3.6e6, kMaxMemoryMb = 1e7;

using Json = rapidjson::Value;
using OptionalProblem = std::optional<Problem>;

Problem invalid_field(std::string field, std::string detail) {
  Problem problem;
  problem.field = std::move(field);
  problem.detail = std::move(detail);
  return problem;
}

std::string_view text(const Json& value) { return {value.GetString(), value.GetStringLength()}; }

// Maps a string or an integer to one integer key. The key of a string is its hash.
std::optional<std::uint64_t> to_integer_key(const Json& value) {
  if (value.IsUint64()) return value.GetUint64();
  if (value.IsInt64()) return static_cast<std::uint64_t>(value.GetInt64());
  if (!value.IsString()) return std::nullopt;
  return XXH64(value.GetString(), value.GetStringLength(), 0);
}

Problem unknown_name_problem(const std::string& field, std::string_view name,
                             const std::vector<std::string>& known) {
  const auto nearest = yaml::nearest(name, known);
  return invalid_field(field, nearest.empty()
                                  ? fmt::format("expected one of {}", fmt::join(known, ", "))
                                  : fmt::format("unknown; the nearest known one is \"{}\"", nearest));
}

OptionalProblem read_estimates(const Json& value, RequestArrived& request) {
  if (!value.IsObject()) return invalid_field("estimates", "expected an object");
  for (const auto& [key, number] : value.GetObject()) {
    const auto name = text(key);
    const bool work = name == "work_ms";
    if (!work && name != "memory_mb") return invalid_field("estimates." + std::string(name), "unknown field");
    const double max = work ? kMaxWorkMs : kMaxMemoryMb;
    if (!number.IsNumber() || number.GetDouble() < 0 || number.GetDouble() > max)
      return invalid_field("estimates." + std::string(name),
                           fmt::format("expected a number from 0 to {}", max));
    if (work)
      request.estimated_work = Time(static_cast<std::int64_t>(number.GetDouble() * 1e6));
    else
      request.estimated_memory_mb = number.GetDouble();
  }
  return std::nullopt;
}

OptionalProblem read_statement(const Json& value, std::string& statement) {
  if (!value.IsString() || value.GetStringLength() == 0)
    return invalid_field("statement", "expected a text that is not empty");
  // Strings end with NUL in PostgreSQL's protocol, so the part of the statement after a NUL would be lost.
  if (text(value).find('\0') != std::string_view::npos)
    return invalid_field("statement", "expected a text without NUL");
  statement = text(value);
  return std::nullopt;
}

// Reads one of the configured names and passes its index among them to `set`.
template <class Set>
OptionalProblem read_name(std::string_view field, const Json& value, const std::vector<std::string>& names,
                          Set set) {
  if (!value.IsString()) return invalid_field(std::string(field), "expected a text");
  const auto found = std::ranges::find(names, text(value));
  if (found == names.end()) return unknown_name_problem(std::string(field), text(value), names);
  set(static_cast<std::size_t>(found - names.begin()));
  return std::nullopt;
}

// Applies the value of the header heronwell-timeout-ms, which may shorten the class's timeout but not extend
// it.
OptionalProblem apply_timeout(std::string_view header, Time class_timeout, RequestArrived& request) {
  std::int64_t ms = 0;
  const auto* end = header.data() + header.size();
  const auto result = std::from_chars(header.data(), end, ms);
  if (result.ec != std::errc{} || result.ptr != end || ms < 1)
    return invalid_field("heronwell-timeout-ms", "expected a whole number of milliseconds from 1");
  if (ms < class_timeout / std::chrono::milliseconds(1)) request.time_left = std::chrono::milliseconds(ms);
  return std::nullopt;
}

struct KnownNames {
  const std::vector<std::string>&classes, &tenants;
};

// A query while its fields are being read.
struct PartialQuery {
  ParsedQuery query;
  std::optional<std::size_t> class_index;
};

// Reads one member of the JSON object into `partial`. Returns the problem if the member is invalid.
OptionalProblem read_field(std::string_view name, const Json& value, const KnownNames& known,
                           PartialQuery& partial) {
  auto& request = partial.query.spec.request;
  if (name == "statement") return read_statement(value, partial.query.statement);
  if (name == "class")
    return read_name(name, value, known.classes, [&](std::size_t at) { partial.class_index = at; });
  if (name == "tenant")
    return read_name(name, value, known.tenants,
                     [&](std::size_t at) { request.tenant = static_cast<std::uint32_t>(at); });
  if (name == "data_group" || name == "key") {
    const auto number = to_integer_key(value);
    if (!number) return invalid_field(std::string(name), "expected a text or a whole number");
    if (name == "key")
      request.order_key = std::max<std::uint64_t>(1, *number);  // 0 means that the request has no key
    else
      request.data_group = static_cast<std::int64_t>(*number);
    return std::nullopt;
  }
  if (name == "estimates") return read_estimates(value, request);
  if (name == "repeat") {
    if (!value.IsBool()) return invalid_field(std::string(name), "expected true or false");
    request.client_retry = value.GetBool();
    return std::nullopt;
  }
  return unknown_name_problem(std::string(name), name,
                              {"statement", "class", "tenant", "data_group", "key", "estimates", "repeat"});
}

}  // namespace

QueryParser::QueryParser(const Settings& settings)
    : classes_(class_names(settings)), tenants_(tenant_names(settings)) {
  for (const auto& cls : settings.classes) timeouts_.push_back(cls.timeout);
}

std::variant<ParsedQuery, Problem> QueryParser::parse(std::string_view body,
                                                      std::optional<std::string_view> timeout) const {
  rapidjson::Document json;
  json.Parse<rapidjson::kParseValidateEncodingFlag | rapidjson::kParseIterativeFlag>(body.data(),
                                                                                     body.size());
  if (json.HasParseError())
    return invalid_field("", fmt::format("JSON, at byte {}: {}", json.GetErrorOffset(),
                                         rapidjson::GetParseError_En(json.GetParseError())));
  if (!json.IsObject()) return invalid_field("", "expected a JSON object");
  PartialQuery partial;
  for (const auto& [key, value] : json.GetObject())
    if (auto problem = read_field(text(key), value, {classes_, tenants_}, partial))
      return *std::move(problem);
  auto& query = partial.query;
  if (query.statement.empty()) return invalid_field("statement", "missing");
  if (!partial.class_index) return invalid_field("class", "missing");
  auto& request = query.spec.request;
  request.class_index = static_cast<ClassIndex>(*partial.class_index);
  request.time_left = timeouts_[*partial.class_index];
  if (timeout)
    if (auto problem = apply_timeout(*timeout, request.time_left, request)) return *std::move(problem);
  return std::move(query);
}

}  // namespace heronwell::router
