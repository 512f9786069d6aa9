// Writes the query calls of the platform's protocol between router and engines (HTTP/1.1) and reads and
// checks the responses to them, without sockets. Only this package maps the protocol's names to the names
// used in the rest of the program:
//
//   call                        path            fields
//   start a query               POST /x         X-Hop-Id: Query::id, X-Sort: class_name,
//                                               X-Replay-Key: idempotency_key, X-Budget: time left in ms,
//                                               X-Mem-Limit: memory grant in MB
//   poll the query's status     GET /x/ID/0
//   get a further page          GET /x/ID/N
//   cancel, delete the query    DELETE /x/ID
//   check health                GET /ping, or GET /busy for a load report
//
//   response field              meaning
//   X-Parts                     QueryStatus::page_count, number of pages of the result (on the first page)
//   X-Part-No                   number of a further page
//   X-Tell, X-Amount            progress: "progress" (fraction done), "spill_mb" (MB),
//                               "blocked" (1: waits for memory, 2: waits for a data group)
//   X-No-Effect: 1              with 503 or 504: the engine guarantees that the query has not run
//   X-Report                    load report, "name:value;name:value"
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "heronwell/decision_engine.hpp"
#include "http/message.hpp"

namespace heronwell::calls {

// The status code of a response whose body is a page of the result. The body of other responses is empty.
inline constexpr int kPageStatus = 200;
// The status code of a response to a request for a page that the engine no longer has.
inline constexpr int kPageLostStatus = 500;

// The protocol's limits for a result: bytes of one page, bytes of all pages, and number of pages.
inline constexpr std::size_t kMaxPageBytes = 6'000, kMaxResultBytes = 48'000, kMaxPages = 64;

struct Query {
  std::string_view id, class_name;   // as sent by the client
  std::string_view idempotency_key;  // empty if the client sent none
};

// Each function appends one HTTP request to `out`. `host` is the engine's address and port, `budget_ms` the
// time that remains until the attempt's deadline. `memory_mb` is the memory grant; it is sent rounded to
// whole MB, at least 1. With 0 no limit is sent and the engine chooses one.
void put_start(std::string& out, std::string_view host, const Query& query, std::int64_t budget_ms,
               double memory_mb, std::string_view statement);
void put_poll(std::string& out, std::string_view host, std::string_view id);
void put_page(std::string& out, std::string_view host, std::string_view id, unsigned page);
void put_delete(std::string& out, std::string_view host, std::string_view id);
void put_health_check(std::string& out, std::string_view host, bool with_load);

// What the router observed of a query call on its connection. attempt_result_of() maps it to the attempt's
// result as in this table, which also says whether the observation proves that the query has not run. A wrong
// row makes a query that is not idempotent run twice, or counts an error against a healthy engine.
//
//                      observed                                        result          proves not run
//   not_connected      refused, unreachable, or not connected in time  not_connected   yes
//   not_written        no byte was written, and none will be           never_started   yes
//   broken             reset, closed or malformed after a byte was     reset           no
//                      written, and polling again got no result
//   rejected_full      503 with X-No-Effect                            rejected        yes
//   rejected_too_late  504 with X-No-Effect: no time budget left       never_started   yes
//   error              500, or another response without a proof        error           no
//   complete           complete, well-formed result received           served          no
//   cancelled          cancelled by this router                        cancelled       no
enum class CallResult {
  not_connected,
  not_written,
  broken,
  rejected_full,
  rejected_too_late,
  error,
  complete,
  cancelled
};
[[nodiscard]] AttemptResult attempt_result_of(CallResult result);

// The status of a query as reported in the response to a start or poll call.
struct QueryStatus {
  enum class State {
    pending,   // the query is running; poll again
    complete,  // the result is available; this response is its first page
    finished,  // the query ended without a result; `result` says how
    malformed  // the response cannot be used; the query may still be running
  };
  State state = State::malformed;
  CallResult result = CallResult::error;
  unsigned page_count = 0;               // if complete: pages of the result, including this one
  std::optional<ProgressKind> progress;  // if pending: unset if the response has no or an unknown kind
  double amount = 0;                     // has the meaning and unit of AttemptProgress::amount
};
[[nodiscard]] QueryStatus read_status(const http::Parser& response, std::string_view body);
// Whether the response is page `page` of the result, complete and well-formed.
[[nodiscard]] bool is_complete_page(const http::Parser& response, std::string_view body, unsigned page);
// Whether `body` consists of complete rows with three tab-separated columns, each row ended by a line feed,
// and is not longer than kMaxPageBytes.
[[nodiscard]] bool rows_well_formed(std::string_view body);

// Returns the values of a load report in the order of `fields`, with 0 for each value that is missing.
// Returns an empty list if there is no load report or if it has none of the `fields`.
[[nodiscard]] std::vector<double> read_load_report(const http::Parser& response,
                                                   const std::vector<LoadField>& fields);

}  // namespace heronwell::calls
