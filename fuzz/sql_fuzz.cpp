// This target tests both sides of the PostgreSQL protocol. It checks that nothing crashes, and that a session
// consumes no bytes past the end of its input, whether the input arrives at once or byte by byte.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "router/json_rows.hpp"
#include "sql/session.hpp"

namespace {

using namespace heronwell;

struct EventLog : sql::SessionEvents {
  void on_columns(const std::vector<sql::Column>& columns) override { rows.columns(text, columns); }
  void on_row(sql::RowReader row) override { text += rows.row(text, row) ? "+" : "-"; }
  void on_complete(std::string_view tag) override { rows.complete(text, tag); }
  void on_error(const sql::ErrorText& error) override {
    text.append("E").append(error.code).append(error.message);
  }
  void on_notice(const sql::ErrorText& notice) override { text.append("N").append(notice.code); }
  void on_parameter(std::string_view name, std::string_view value) override {
    text.append(name).append("=").append(value);
  }
  void on_statement_end() override { text += "Z"; }
  std::string text;
  router::JsonRows rows;
};

std::string run_session(std::string_view bytes, std::size_t chunk_size) {
  EventLog log;
  sql::Session session(4096);
  const bool never = false;
  std::string rest, sent;
  for (std::size_t offset = 0; offset < bytes.size(); offset += chunk_size) {
    rest += bytes.substr(offset, chunk_size);
    while (true) {
      const auto used = session.feed(rest, log, never);
      if (used > rest.size() || session.next_message_bytes() > 4096) std::abort();
      rest.erase(0, used);
      // Sends a query as soon as the session allows one; the input already contains the answer.
      if (session.reusable() && !rest.empty())
        session.query(sent, {{"work_mem", "1MB"}}, {"select $1", bytes.size() % 2 == 0, {"1"}});
      else
        break;
    }
  }
  return log.text + std::to_string(static_cast<int>(session.state()));
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  (void)run_session(bytes, std::max<std::size_t>(size, 1));
  (void)run_session(bytes, 1);
  const auto startup = sql::next_startup(bytes);
  if (startup.state == sql::Frame::State::complete) (void)sql::read_startup(startup.message.payload);
  (void)sql::read_error(bytes);
  (void)sql::read_columns(bytes);
  (void)sql::read_parameter(bytes);
  sql::RowReader row(bytes);
  sql::Value value;
  std::size_t values = 0;
  while (row.next(value)) ++values;
  if (values > size) std::abort();
  return 0;
}
