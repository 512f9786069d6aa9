#include "sql/result.hpp"

#include <algorithm>

namespace heronwell::sql {
namespace {

// Errors that tell of the engine, not of the statement: resources, shutdown, system, internal, connection.
bool engines_own(std::string_view code) {
  const auto within = [code](std::string_view start) { return code.starts_with(start); };
  return within("53") || within("58") || within("XX") || within("08") || within("57") || within("F0");
}

}  // namespace

Verdict judge(Seen seen, std::string_view code, const std::vector<std::string>& never_began,
              bool cancel_sent) {
  switch (seen) {
    case Seen::not_dialled:
      return {Result::not_connected};
    case Seen::startup_error:  // no statement was sent, whatever the code; these two say "full" and "not yet"
      return {code == "53300" || code == "57P03" ? Result::turned_away : Result::not_connected};
    case Seen::pool_full:
      return {Result::turned_away};
    case Seen::not_written:
      return {Result::moot};
    case Seen::broken:
      return {Result::reset};
    case Seen::statement_error:
      if (cancel_sent && code == "57014") return {Result::called_off};
      if (std::ranges::find(never_began, code) != never_began.end()) return {Result::turned_away};
      if (engines_own(code)) return {Result::error};
      return {Result::served, true};
    case Seen::complete:
      return {Result::served};
    case Seen::cancelled:
      return {Result::called_off};
    case Seen::until_passed:
      return {Result::timed_out};
  }
  return {Result::reset};
}

}  // namespace heronwell::sql
