#include "router/problem_details.hpp"

#include <fmt/format.h>

#include <chrono>
#include <string_view>

#include "base/json.hpp"

namespace heronwell::router {

namespace {

struct Explanation {
  int status = 0;  // HTTP status
  std::string_view detail;
};

// Returns the HTTP status and text that follow from the final status of the request.
Explanation explanation_of_status(const FinishRequest& command) {
  if (command.status == FinalStatus::rejected) return {503, "not run; the engines are busy or out of reach"};
  const bool timed_out =
      command.status == FinalStatus::deadline_exceeded || command.last_result == AttemptResult::timed_out;
  const int status = timed_out ? 504 : 502;
  if (command.provably_never_ran) return {status, "no answer in time; it has not run"};
  return {status, timed_out ? "no answer in time; it may have run"
                            : "the engine was lost or failed; it may have run"};
}

// Returns the HTTP status and text for a request that a limit of its resource group ended. `fallback` is
// returned if no limit applies, and its HTTP status is used for limits that have no status of their own.
Explanation explanation_of_limit(groups::Limit limit, Explanation fallback) {
  using groups::Limit;
  switch (limit) {
    case Limit::none:
      return fallback;
    case Limit::unknown_group:
      return {403, "there is no such group"};
    case Limit::made:
      return {fallback.status, "there are as many groups on demand as may be"};
    case Limit::queued:
      return {fallback.status, "as many queries wait as may"};
    case Limit::wait:
      return {fallback.status, "it has waited as long as queries may"};
    case Limit::query_threads:
      return {422, "the class needs more threads than the ceiling"};
    case Limit::query_work:
      return {422, "its estimate of work passes what one query may take"};
    case Limit::query_memory:
      return {422, "its estimate of memory passes what one query may take"};
    case Limit::run:
      return {504, "it ran longer than queries may"};
  }
  return fallback;
}

}  // namespace

std::string_view text_of(ProblemOutcome outcome) {
  switch (outcome) {
    case ProblemOutcome::bad_request:
      return "rejected";
    case ProblemOutcome::rejected:
      return "refused";
    case ProblemOutcome::failed:
      return "failed";
    case ProblemOutcome::statement_error:
      return "served";
  }
  return "";
}

Problem problem_of(const FinishRequest& command) {
  const auto explanation = explanation_of_limit(command.limit, explanation_of_status(command));
  const bool rejected = command.status == FinalStatus::rejected;
  Problem problem;
  problem.status = explanation.status;
  problem.detail = explanation.detail;
  problem.outcome = rejected ? ProblemOutcome::rejected : ProblemOutcome::failed;
  problem.retry_is_safe = rejected || command.provably_never_ran;
  problem.provably_never_ran = command.provably_never_ran;
  problem.attempts = command.attempts;
  problem.retry_after = command.retry_after;
  return problem;
}

std::string problem_body(const Problem& problem) {
  std::string out = fmt::format(R"({{"type":"about:blank","status":{},"outcome":"{}","retry_harmless":{})",
                                problem.status, text_of(problem.outcome), problem.retry_is_safe);
  if (!problem.field.empty()) {
    out += ",\"field\":";
    put_json_text(out, problem.field);
  }
  if (!problem.sqlstate.empty()) {
    out += ",\"sqlstate\":";
    put_json_text(out, problem.sqlstate);
  }
  if (problem.attempts > 0) out += fmt::format(",\"attempts\":{}", problem.attempts);
  if (problem.retry_after > Time::zero())
    out += fmt::format(",\"retry_after_ms\":{}", problem.retry_after / std::chrono::milliseconds(1));
  out += ",\"detail\":";
  put_json_text(out, problem.detail);
  out.push_back('}');
  return out;
}

std::int64_t retry_after_seconds(Time retry_after) {
  return std::chrono::ceil<std::chrono::seconds>(retry_after).count();
}

}  // namespace heronwell::router
