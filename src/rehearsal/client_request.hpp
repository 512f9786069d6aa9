// What a client of a day says and how it understands the answer; no sockets and no clock. The clients on
// loopback and the emulator's say the same bytes and write the same records.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "rehearsal/plan.hpp"

namespace heronwell::rehearsal {

inline constexpr Time kGiveUpDelay = std::chrono::seconds(5);  // past its deadline, before a client gives up

struct LoadReport {
  std::uint64_t sent = 0, served = 0, refused = 0, failed = 0, other = 0, broken = 0, unconnected = 0,
                hung_up = 0, resent = 0;
  Time worst_lateness{};  // of the generator
};
std::string text_of(const LoadReport& report);  // for people, but for the lateness

// A request as it goes out.
struct ClientRequest {
  std::vector<std::string> ids;  // of its statements, one each
  std::string bytes;
  std::string body, timeout;  // of `bytes`; timeout: of its heronwell-timeout-ms, empty: none
  std::string record;         // the fields of its "sent"
  Time time_limit{};          // after sending, before the client hangs up or gives up
  bool hangs_up = false;
};
ClientRequest client_request_of(const Day& day, const Ask& ask, unsigned retry);

// What a whole answer says.
struct ParsedAnswer {
  struct One {
    int status = 0;
    std::string outcome;
  };
  std::vector<One> statements;  // as Talk::ids
  bool may_retry = false;       // the client may try once more, after
  Time pause{};
  bool unknown = false;  // by GraphQL: a statement may have run
};
// The same of an answer to one statement that came as a message; `pause`: zero: none told.
ParsedAnswer parsed_answer_of(const Day& day, const Ask& ask, int status, const std::string& outcome,
                              Time pause);
ParsedAnswer parse_answer(const Day& day, const Ask& ask, std::size_t statements, int status,
                          const std::string& body);
// What became of an arrival, over its client's tries.
struct RequestOutcome {
  std::optional<Time> took;  // until it was served, since it was first sent
  bool refused = false, failed = false;
};
// The part of a query's worth that an answer earns which took so long; nullopt: none came.
double share_of_worth(const ClassSettings& cls, double work_ms, std::optional<Time> took);
void count(const ParsedAnswer& heard, LoadReport& report);
// The fields of an "answer".
std::string answer_record(const ParsedAnswer::One& one, Time took, std::uint64_t bytes);

}  // namespace heronwell::rehearsal
