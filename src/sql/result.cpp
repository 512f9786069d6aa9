#include "sql/result.hpp"

#include <algorithm>

namespace heronwell::sql {
namespace {

// Classes of SQLSTATE that are about the engine, not the statement: connection, resources, operator
// intervention, system, configuration file, internal.
bool is_engine_error(std::string_view code) {
  const auto in_class = [code](std::string_view name) { return code.starts_with(name); };
  return in_class("08") || in_class("53") || in_class("57") || in_class("58") || in_class("F0") ||
         in_class("XX");
}

}  // namespace

Classification classify(StatementResult seen, std::string_view code,
                        const std::vector<std::string>& never_began, bool cancel_sent) {
  switch (seen) {
    case StatementResult::not_connected:
      return {AttemptResult::not_connected};
    case StatementResult::startup_error:  // no statement was sent, whatever the code
      return {code == "53300" || code == "57P03" ? AttemptResult::rejected : AttemptResult::not_connected};
    case StatementResult::pool_full:
      return {AttemptResult::rejected};
    case StatementResult::not_written:
      return {AttemptResult::never_started};
    case StatementResult::broken:
      return {AttemptResult::reset};
    case StatementResult::statement_error:
      if (cancel_sent && code == "57014") return {AttemptResult::cancelled};
      if (std::ranges::find(never_began, code) != never_began.end()) return {AttemptResult::rejected};
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
