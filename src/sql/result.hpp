// Maps what the router observed of an attempt on its connection to an engine to the result of the attempt. A
// wrong row makes a statement that is not idempotent run twice, or counts an error against a healthy engine.
// For this reason the mapping is one table with a test for each row. The last column says whether the
// observation proves that the statement has not run.
//
//   observed                                                   result                  proves not run
//   not_connected                                              not_connected           yes
//   startup_error with 53300 or 57P03 (full, not yet ready)    rejected                yes
//   startup_error with another code                            not_connected           yes
//   pool_full                                                  rejected                yes
//   not_written                                                never_started           yes
//   broken                                                     reset                   no
//   statement_error 57014 after the router's cancel request    cancelled               no
//   statement_error with one of `never_began_codes`            rejected                yes
//   statement_error of class 08, 53, 57, 58, F0, XX: engine's  error                   no
//   statement_error with any other code: the statement's own   served, with the error  -
//   complete                                                   served                  -
//   cancelled                                                  cancelled               no
//   deadline_passed                                            timed_out               no
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "heronwell/decision_engine.hpp"

namespace heronwell::sql {

enum class StatementResult {
  not_connected,    // refused, unreachable, timed out or broken while connecting or in start-up
  startup_error,    // the engine rejected the start-up with an error; its code decides
  pool_full,        // all connections to the engine that the configuration allows are busy
  not_written,      // no byte of the statement was or will be written: engine draining, request ended
  broken,           // reset, closed or malformed after a byte of the statement was written
  statement_error,  // the engine responded to the statement with an error; its code decides
  complete,         // the complete response was received
  cancelled,        // ended after the router's cancel request, or by closing the connection after it
  deadline_passed,  // no response before the attempt's deadline
};

struct Classification {
  AttemptResult result = AttemptResult::never_started;
  // Only with `served`: the statement itself caused the error. The error is sent to the client, the statement
  // is not retried, and the error does not count against the engine.
  bool client_gets_error = false;
};

// Classifies `observed` as in the table above. `code` is the SQLSTATE of a startup_error or statement_error,
// and is ignored otherwise. `never_began_codes` are the SQLSTATEs for which the engine's documentation
// guarantees that the statement never began; no other code proves that. `cancel_sent` says whether this
// router sent a cancel request.
Classification classify(StatementResult observed, std::string_view code,
                        const std::vector<std::string>& never_began_codes, bool cancel_sent);

}  // namespace heronwell::sql
