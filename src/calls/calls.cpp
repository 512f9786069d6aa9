#include "calls/calls.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <utility>

namespace heronwell::calls {
namespace {

// The header fields of an engine's responses; calls.hpp describes them.
constexpr std::string_view kPageCountField = "x-parts", kPageNumberField = "x-part-no",
                           kProgressKindField = "x-tell", kProgressAmountField = "x-amount",
                           kNeverRanField = "x-no-effect", kLoadReportField = "x-report";

// The largest plausible value in a load report or progress report. Larger values are ignored as corrupted.
constexpr double kMaxReportedValue = 1e12;

std::optional<double> read_number(std::string_view text) {
  double value = 0;
  const auto* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, value);
  if (text.empty() || read.ec != std::errc() || read.ptr != end || !(value >= 0) || value > kMaxReportedValue)
    return std::nullopt;
  return value;
}

std::optional<unsigned> read_count(const http::Parser& response, std::string_view name) {
  const auto field = response.find(name);
  if (!field) return std::nullopt;
  unsigned value = 0;
  const auto* end = field->data() + field->size();
  const auto read = std::from_chars(field->data(), end, value);
  if (field->empty() || read.ec != std::errc() || read.ptr != end) return std::nullopt;
  return value;
}

bool proves_never_ran(const http::Parser& response) {
  return response.find(kNeverRanField).value_or("") == "1";
}

// Maps the names of load fields to LoadField. Most fields have two names, as load reports may use other names
// than the settings.
std::optional<LoadField> find_load_field(std::string_view name) {
  struct FieldName {
    std::string_view text;
    LoadField field;
  };
  using enum LoadField;
  constexpr std::array field_names{FieldName{"inflight", in_flight},
                                   FieldName{"busy_reqs", in_flight},
                                   FieldName{"queue", queue},
                                   FieldName{"pending", queue},
                                   FieldName{"util", utilization},
                                   FieldName{"cpu_share", utilization},
                                   FieldName{"latency_ms", latency_ms},
                                   FieldName{"svc_ms", latency_ms},
                                   FieldName{"qps", served},
                                   FieldName{"served_ps", served},
                                   FieldName{"eps", failed},
                                   FieldName{"failed_ps", failed},
                                   FieldName{"x0", memory_share},
                                   FieldName{"x1", disk_share}};
  const auto* const found = std::ranges::find(field_names, name, &FieldName::text);
  if (found == field_names.end()) return std::nullopt;
  return found->field;
}

void put_query_call(std::string& out, std::string_view method, std::string_view host, std::string_view id,
                    std::string_view path) {
  fmt::format_to(std::back_inserter(out), "{} /x/{}{} HTTP/1.1\r\nHost: {}\r\n\r\n", method, id, path, host);
}

}  // namespace

void put_start(std::string& out, std::string_view host, const Query& query, std::int64_t budget_ms,
               double memory_mb, std::string_view statement) {
  auto to = std::back_inserter(out);
  fmt::format_to(to, "POST /x HTTP/1.1\r\nHost: {}\r\nX-Hop-Id: {}\r\nX-Sort: {}\r\nX-Budget: {}\r\n", host,
                 query.id, query.class_name, budget_ms);
  if (!query.idempotency_key.empty()) fmt::format_to(to, "X-Replay-Key: {}\r\n", query.idempotency_key);
  if (memory_mb > 0)
    fmt::format_to(to, "X-Mem-Limit: {}\r\n",
                   // NOLINTNEXTLINE(bugprone-incorrect-roundings): positive, rounded to the nearest MB
                   std::max<std::int64_t>(1, static_cast<std::int64_t>(memory_mb + 0.5)));
  fmt::format_to(to, "Content-Length: {}\r\n\r\n", statement.size());
  out.append(statement);
}

void put_poll(std::string& out, std::string_view host, std::string_view id) {
  put_query_call(out, "GET", host, id, "/0");
}

void put_page(std::string& out, std::string_view host, std::string_view id, unsigned page) {
  put_query_call(out, "GET", host, id, fmt::format("/{}", page));
}

void put_delete(std::string& out, std::string_view host, std::string_view id) {
  put_query_call(out, "DELETE", host, id, "");
}

void put_health_check(std::string& out, std::string_view host, bool with_load) {
  fmt::format_to(std::back_inserter(out), "GET /{} HTTP/1.1\r\nHost: {}\r\n\r\n", with_load ? "busy" : "ping",
                 host);
}

AttemptResult attempt_result_of(CallResult result) {
  switch (result) {
    case CallResult::not_connected:
      return AttemptResult::not_connected;
    case CallResult::not_written:
      return AttemptResult::never_started;
    case CallResult::broken:
      return AttemptResult::reset;
    case CallResult::rejected_full:
      return AttemptResult::rejected;
    case CallResult::rejected_too_late:
      return AttemptResult::never_started;
    case CallResult::error:
      return AttemptResult::error;
    case CallResult::complete:
      return AttemptResult::served;
    case CallResult::cancelled:
      return AttemptResult::cancelled;
  }
  return AttemptResult::reset;
}

namespace {

std::optional<ProgressKind> find_progress_kind(std::string_view name) {
  if (name == "progress") return ProgressKind::progress;
  if (name == "spill_mb") return ProgressKind::spill;
  if (name == "blocked") return ProgressKind::waiting;
  return std::nullopt;
}

// Reads the first page of a result (status 200).
QueryStatus read_first_page(const http::Parser& response, std::string_view body) {
  QueryStatus status;
  const auto pages = read_count(response, kPageCountField);
  if (!pages || *pages < 1 || *pages > kMaxPages || response.find(kPageNumberField) ||
      !response.content_length() || !rows_well_formed(body))
    return status;
  status.state = QueryStatus::State::complete;
  status.page_count = *pages;
  return status;
}

// Reads the status of a running query (status 202), which may report its progress.
QueryStatus read_progress(const http::Parser& response) {
  QueryStatus status;
  status.state = QueryStatus::State::pending;
  const auto kind = response.find(kProgressKindField);
  const auto amount = read_number(response.find(kProgressAmountField).value_or(""));
  if (!kind || !amount) return status;
  status.progress = find_progress_kind(*kind);
  status.amount = *amount;
  return status;
}

}  // namespace

QueryStatus read_status(const http::Parser& response, std::string_view body) {
  QueryStatus status;
  switch (response.status()) {
    case kPageStatus:
      return read_first_page(response, body);
    case 202:
      return read_progress(response);
    case 500:
      status.state = QueryStatus::State::finished;
      return status;
    case 503:
      status.state = QueryStatus::State::finished;
      if (proves_never_ran(response)) status.result = CallResult::rejected_full;
      return status;
    case 504:
      status.state = QueryStatus::State::finished;
      if (proves_never_ran(response)) status.result = CallResult::rejected_too_late;
      return status;
    default:
      return status;
  }
}

bool is_complete_page(const http::Parser& response, std::string_view body, unsigned page) {
  return response.status() == kPageStatus && read_count(response, kPageNumberField) == page &&
         response.content_length() && rows_well_formed(body);
}

bool rows_well_formed(std::string_view body) {
  if (body.size() > kMaxPageBytes || (!body.empty() && body.back() != '\n')) return false;
  unsigned tabs = 0;
  for (const char c : body) {
    if (c == '\t') ++tabs;
    if (c == '\n' && std::exchange(tabs, 0) != 2) return false;
  }
  return true;
}

std::vector<double> read_load_report(const http::Parser& response, const std::vector<LoadField>& fields) {
  const auto report = response.find(kLoadReportField);
  if (!report || fields.empty()) return {};
  std::vector<double> values(fields.size(), 0);
  bool has_requested_field = false;
  for (auto rest = *report; !rest.empty();) {
    const auto end = rest.find(';');
    const auto pair = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    const auto colon = pair.find(':');
    if (colon == std::string_view::npos) continue;
    const auto field = find_load_field(pair.substr(0, colon));
    const auto value = read_number(pair.substr(colon + 1));
    if (!field || !value) continue;
    for (std::size_t i = 0; i < fields.size(); ++i) {
      if (fields[i] != *field) continue;
      values[i] = *value;
      has_requested_field = true;
    }
  }
  if (!has_requested_field) values.clear();
  return values;
}

}  // namespace heronwell::calls
