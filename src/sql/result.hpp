// What was seen of an attempt on its connection to an engine, and the result that it counts as. Getting a row
// wrong makes a statement that is not idempotent run twice, or blames a healthy engine, so it is one table in
// one place with a test for each row.
//
//   seen on the socket                                         result                  proven not to have run
//   not_connected                                              not_connected           yes
//   startup_error with 53300 or 57P03 (full, not ready yet)    rejected                yes
//   startup_error with another code                            not_connected           yes
//   pool_full                                                  rejected                yes
//   not_written                                                never_started           yes
//   broken                                                     reset                   no
//   statement_error 57014 after our cancel request             cancelled               no
//   statement_error with a code of `never_began`               rejected                yes
//   statement_error of the engine: 08, 53, 57, 58, F0, XX      error                   no
//   statement_error of the statement itself: any other code    served, with the error  -
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
  not_connected,    // refused, unreachable, connecting or start-up not done in time, or broken during it
  startup_error,    // the start-up was answered with an error; its code counts
  pool_full,        // as many connections to the engine as the configuration allows are busy
  not_written,      // no byte of the statement was written, and none will be: engine draining, request over
  broken,           // reset, closed or malformed once a byte of the statement was written
  statement_error,  // an error in answer to the statement; its code counts
  complete,         // the complete response came
  cancelled,        // ended after our cancel request, or by closing the connection after it
  deadline_passed,  // no response within the attempt's deadline
};

struct Classification {
  AttemptResult result = AttemptResult::never_started;
  // With `served`: the error is the statement's own; the client gets it, nothing is retried, the engine is
  // not blamed.
  bool client_gets_error = false;
};

// `code`: SQLSTATE, for the two errors; else ignored. `never_began`: codes by which the engine's
// documentation says that a statement so answered never began; no other code proves it. `cancel_sent`:
// whether this router asked to cancel it.
Classification classify(StatementResult seen, std::string_view code,
                        const std::vector<std::string>& never_began, bool cancel_sent);

}  // namespace heronwell::sql
