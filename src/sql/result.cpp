#include "sql/result.hpp"

#include <algorithm>

namespace heronwell::sql {
namespace {

// Whether the SQLSTATE belongs to a class of errors that the engine causes, not the statement: connection
// (08), insufficient resources (53), operator intervention (57), system (58), configuration file (F0),
// internal (XX).
bool is_engine_error(std::string_view code) {
  const auto in_class = [code](std::string_view name) { return code.starts_with(name); };
  return in_class("08") || in_class("53") || in_class("57") || in_class("58") || in_class("F0") ||
         in_class("XX");
}

}  // namespace

Classification classify(StatementResult observed, std::string_view code,
                        const std::vector<std::string>& never_began_codes, bool cancel_sent) {
  switch (observed) {
    case StatementResult::not_connected:
      return {AttemptResult::not_connected};
    case StatementResult::startup_error:  // no statement was sent, whatever the code is
      return {code == "53300" || code == "57P03" ? AttemptResult::rejected : AttemptResult::not_connected};
    case StatementResult::pool_full:
      return {AttemptResult::rejected};
    case StatementResult::not_written:
      return {AttemptResult::never_started};
    case StatementResult::broken:
      return {AttemptResult::reset};
    case StatementResult::statement_error:
      if (cancel_sent && code == "57014") return {AttemptResult::cancelled};
      if (std::ranges::find(never_began_codes, code) != never_began_codes.end())
        return {AttemptResult::rejected};
      if (is_engine_error(code)) return {AttemptResult::error};
      return {AttemptResult::served, true};
    case StatementResult::complete:
      return {AttemptResult::served};
    case StatementResult::cancelled:
      return {AttemptResult::cancelled};
    case StatementResult::deadline_passed:
      return {AttemptResult::timed_out};
  }
  return {AttemptResult::reset};
}

}  // namespace heronwell::sql
