// The platform's calls to engines, on http: requests out, what came back checked. One table says which result
// what was seen is, and whether it proves that nothing ran. No sockets.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "heronwell/gateway.hpp"
#include "http/message.hpp"

namespace heronwell::calls {

// Of one page, of all pages of a result, and how many there may be at most.
inline constexpr std::size_t kPageBytes = 6'000, kResultBytes = 48'000, kMostPages = 64;

struct Query {
  std::string_view id, cls, key;  // as the client named them; key: empty where it gave none
};

void put_start(std::string& out, std::string_view host, const Query& query, std::int64_t budget_ms,
               double memory_mb, std::string_view statement);
void put_news(std::string& out, std::string_view host, std::string_view id);  // the end, or a note
void put_page(std::string& out, std::string_view host, std::string_view id, unsigned page);
void put_delete(std::string& out, std::string_view host, std::string_view id);
void put_probe(std::string& out, std::string_view host, bool with_load);

enum class Seen {
  not_dialled,  // refused, unreachable, or no connection in time
  not_written,  // no byte of the call that starts it went out, and none will
  broken,       // reset, closed or unreadable after a byte went out, and asking again brought nothing
  full,         // 503 with X-No-Effect
  too_late,     // 504 with X-No-Effect
  error,        // 500, or any other answer that proves nothing
  complete,     // the whole result came, and is sound
  stopped       // given up from here
};
[[nodiscard]] Result judge(Seen seen);

// What an answer to a start or to a question for news says.
struct News {
  enum class What { pending, whole, end, spoilt } what = What::spoilt;
  Seen seen = Seen::error;  // end: how
  unsigned pages = 0;       // whole: of the result, this one included
  std::optional<NoteKind> note;
  double amount = 0;
};
[[nodiscard]] News read_news(const http::Parser& answer, std::string_view body);
// Whether this is that page, whole.
[[nodiscard]] bool is_page(const http::Parser& answer, std::string_view body, unsigned page);
// Whole rows of three columns, each closed by a line feed, and no more bytes than a page holds.
[[nodiscard]] bool sound_rows(std::string_view body);

// The figures of X-Report in the order of the settings' fields; empty: there is none.
[[nodiscard]] std::vector<double> read_report(const http::Parser& answer,
                                              const std::vector<LoadField>& fields);

}  // namespace heronwell::calls
