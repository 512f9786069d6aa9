#include "rehearsal/client_request.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "http/message.hpp"

namespace heronwell::rehearsal {
namespace {

using namespace std::chrono_literals;
constexpr Time kDefaultRetryDelay = 200ms;  // before a retry if the answer names no delay

std::string outcome_of(const nlohmann::json& json, const std::string& field) {
  if (!json.is_object()) return "?";
  if (json.contains("data") && json["data"].is_object() &&
      json["data"].value(field, nlohmann::json()).is_string())
    return "served";
  for (const auto& error : json.value("errors", nlohmann::json::array())) {
    const auto path = error.value("path", nlohmann::json::array());
    if (!path.empty() && path[0] != field) continue;
    const auto extensions = error.value("extensions", nlohmann::json::object());
    const auto code = extensions.value("code", "");
    if (code == "NOT_STARTED" || code == "STATEMENT_REFUSED") return "refused";
    return extensions.value("outcome", "?");
  }
  return "?";
}

}  // namespace

std::string text_of(const LoadReport& r) {
  return fmt::format(
      "sent {}, served {}, refused {}, failed {}, other {}, broken {}, unconnected {}, hung up {}, repeated "
      "by key {}",
      r.sent, r.served, r.refused, r.failed, r.other, r.broken, r.unconnected, r.hung_up, r.resent);
}

ClientRequest client_request_of(const Day& day, const Ask& ask, unsigned retry) {
  const auto& cls = day.settings.classes[ask.cls];
  const auto& load = day.loads[ask.cls];
  const auto id = retry == 0 ? fmt::format("q{}", ask.number) : fmt::format("q{}.{}", ask.number, retry);
  ClientRequest request;
  // A GraphQL request consists of several statements, each with its own id in the records.
  request.ids = {id};
  for (unsigned i = 1; i < load.fields; ++i) request.ids.push_back(fmt::format("{}~{}", id, i));
  const auto deadline = std::min(load.timeout.value_or(cls.timeout), cls.timeout);
  const bool graphql = load.fields > 0;
  const auto body = graphql ? graphql_body_of(day, ask, request.ids) : body_of(day, ask, id, retry > 0);
  const auto timeout = std::to_string(deadline / 1ms);
  std::vector<http::Field> headers;
  if (load.timeout) headers.push_back({"heronwell-timeout-ms", timeout});
  const auto idempotency = "\"" + id + "\"";
  if (graphql) {
    headers.push_back({"accept", "application/graphql-response+json"});
    if (!load.timeout) headers.push_back({"heronwell-timeout-ms", timeout});
    if (!day.settings.tenants.empty()) headers.push_back({"x-tenant", day.settings.tenants[ask.tenant].name});
    if (cls.idempotency != Idempotency::idempotent) headers.push_back({"idempotency-key", idempotency});
  }
  http::put_request(request.bytes, "POST", graphql ? "/graphql" : "/v1/query", "127.0.0.1", body, headers);
  request.body = body;
  if (load.timeout || graphql) request.timeout = timeout;
  request.record = fmt::format(
      R"("gw":"gw-{}","cls":"{}","tenant":{},"key":{},"group":{},"deadline_ms":{},"work_ms":{:.3f},"first":"q{}")",
      ask.gateway, cls.name, ask.tenant, ask.key, ask.group, timeout, ask.work_ms, ask.number);
  request.hangs_up = ask.hang_up.has_value();
  request.time_limit = ask.hang_up && retry == 0 ? *ask.hang_up : deadline + kGiveUpDelay;
  return request;
}

ParsedAnswer parsed_answer_of(const Day& day, const Ask& ask, int status, const std::string& outcome,
                              Time pause) {
  ParsedAnswer parsed;
  parsed.statements.push_back({status, outcome});
  parsed.may_retry =
      outcome == "refused" ||
      (outcome == "failed" && day.settings.classes[ask.cls].idempotency == Idempotency::idempotent);
  parsed.pause = pause > Time::zero() ? pause : kDefaultRetryDelay;
  return parsed;
}

ParsedAnswer parse_answer(const Day& day, const Ask& ask, std::size_t statements, int status,
                          const std::string& body) {
  const bool graphql = day.loads[ask.cls].fields > 0;
  ParsedAnswer parsed;
  const auto json =
      status == 200 && !graphql ? nlohmann::json() : nlohmann::json::parse(body, nullptr, false);
  if (graphql) {
    for (std::size_t i = 0; i < statements; ++i) {
      const auto what = outcome_of(json, fmt::format("f{}", i));
      parsed.outcome_unknown = parsed.outcome_unknown || what == "failed";
      parsed.statements.push_back({what == "served" ? 200 : status == 200 ? 502 : status, what});
    }
    return parsed;
  }
  const auto outcome = status == 200 ? "served" : json.is_object() ? json.value("outcome", "?") : "?";
  return parsed_answer_of(
      day, ask, status, outcome,
      json.is_object() ? json.value("retry_after_ms", std::int64_t{0}) * 1ms : Time::zero());
}

double share_of_worth(const ClassSettings& cls, double work_ms, std::optional<Time> took) {
  if (!took) return 0;
  const Time objective =
      cls.latency_objective +
      Time(static_cast<std::int64_t>(cls.latency_objective_per_work * work_ms * 1e6 / cls.threads));
  return *took <= objective ? 1 : cls.late_weight_ratio;
}

void count(const ParsedAnswer& parsed, LoadReport& report) {
  for (const auto& one : parsed.statements)
    ++(one.outcome == "served"    ? report.served
       : one.outcome == "refused" ? report.refused
       : one.outcome == "failed"  ? report.failed
                                  : report.other);
}

std::string answer_record(const ParsedAnswer::StatementAnswer& one, Time took, std::uint64_t bytes) {
  return fmt::format(R"("status":{},"outcome":"{}","ms":{:.3f},"bytes":{})", one.status, one.outcome,
                     milliseconds(took), bytes);
}

}  // namespace heronwell::rehearsal
