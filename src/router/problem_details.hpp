// Converts final responses without a result to problem details (RFC 9457), which tell the client how its
// request ended and whether it is safe to retry it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "router/commands.hpp"

namespace heronwell::router {

// How a request ended, as reported to its client.
enum class ProblemOutcome {
  bad_request,     // the request is invalid and was never submitted to the registry
  rejected,        // the decision engine or a limit rejected it; repeating it does no harm
  failed,          // it may or may not have taken effect
  statement_error  // the engine ran the statement, and the statement itself failed
};
// Returns the name of the outcome in the HTTP interface: "rejected", "refused", "failed" or "served", in the
// order above.
[[nodiscard]] std::string_view text_of(ProblemOutcome outcome);

struct Problem {
  int status = 400;    // HTTP status
  std::string field;   // the invalid field of the input; empty if there is none
  std::string detail;  // human-readable: what was expected, or what happened
  ProblemOutcome outcome = ProblemOutcome::bad_request;
  std::string sqlstate;            // SQLSTATE of a statement error; else empty
  bool retry_is_safe = true;       // whether repeating the request does no harm
  bool provably_never_ran = true;  // whether no attempt can have run
  unsigned attempts = 0;           // number of attempts
  Time retry_after{};              // duration after which a retry is worthwhile; zero: no advice
};

// Returns the problem to report for a request that the registry finished without a result.
Problem problem_of(const FinishRequest& command);
// Returns the response body, of media type application/problem+json.
std::string problem_body(const Problem& problem);
// Returns the value of the Retry-After header: whole seconds, rounded up.
std::int64_t retry_after_seconds(Time retry_after);

}  // namespace heronwell::router
