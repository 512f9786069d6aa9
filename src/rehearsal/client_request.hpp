// The requests of a day's clients and the parsing of their answers, without sockets and clock. The clients on
// loopback and those of the emulator send the same bytes and write the same records.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "rehearsal/plan.hpp"

namespace heronwell::rehearsal {

inline constexpr Time kGiveUpDelay = std::chrono::seconds(5);  // after the deadline, until a client gives up

struct LoadReport {
  std::uint64_t sent = 0, served = 0, refused = 0, failed = 0, other = 0, broken = 0, unconnected = 0,
                hung_up = 0, resent = 0;
  Time worst_lateness{};  // of the load generator
};
std::string text_of(const LoadReport& report);  // one line for people, without the lateness

// A request as the client sends it.
struct ClientRequest {
  std::vector<std::string> ids;  // one for each statement
  std::string bytes;
  std::string body, timeout;  // the body in `bytes` and the value of heronwell-timeout-ms; empty: none
  std::string record;         // the fields of its "sent" record
  Time time_limit{};          // after sending, before the client hangs up or gives up
  bool hangs_up = false;
};
ClientRequest client_request_of(const Day& day, const Ask& ask, unsigned retry);

// The content of a complete answer.
struct ParsedAnswer {
  struct StatementAnswer {
    int status = 0;
    std::string outcome;
  };
  std::vector<StatementAnswer> statements;  // in the order of ClientRequest::ids
  bool may_retry = false;                   // the client may retry after `pause`
  Time pause{};
  bool outcome_unknown = false;  // GraphQL only: a statement may have run
};
// Returns the content of an answer to one statement that arrived as a message. `pause` is zero if the answer
// names none.
ParsedAnswer parsed_answer_of(const Day& day, const Ask& ask, int status, const std::string& outcome,
                              Time pause);
ParsedAnswer parse_answer(const Day& day, const Ask& ask, std::size_t statements, int status,
                          const std::string& body);
// How a request ended, over all tries of its client.
struct RequestOutcome {
  std::optional<Time> took;  // from the first try until it was served
  bool refused = false, failed = false;
};
// Returns the share of a query's priority weight that an answer after `took` earns; nullopt: no answer.
double share_of_worth(const ClassSettings& cls, double work_ms, std::optional<Time> took);
void count(const ParsedAnswer& parsed, LoadReport& report);
// Returns the fields of an "answer" record.
std::string answer_record(const ParsedAnswer::StatementAnswer& one, Time took, std::uint64_t bytes);

}  // namespace heronwell::rehearsal
