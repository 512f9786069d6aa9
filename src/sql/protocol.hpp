// The PostgreSQL frontend/backend protocol 3.0 ("Message Formats" of the PostgreSQL manual): one codec for
// both sides, no sockets. Lengths are checked before anything is kept: a reader never asks for more than its
// limit, and views point into the caller's buffer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace heronwell::sql {

inline constexpr std::uint32_t kProtocol = 3 << 16;
inline constexpr std::uint32_t kCancelCode = 80877102, kSslCode = 80877103, kGssCode = 80877104;
inline constexpr std::size_t kMostStartup = 10'000;  // bytes of a start-up packet, as PostgreSQL has it

struct Message {
  char type = 0;  // 0: a start-up packet, which has none
  std::string_view payload;
};

struct Frame {
  enum class State { complete, need_more, malformed } state = State::need_more;
  std::size_t size = 0;  // complete: bytes to drop; need_more: bytes that the whole takes, 0 if not yet known
  Message message;
};
// Looks for one message at the front of `in`; longer ones than `most` bytes are malformed.
Frame next_message(std::string_view in, std::size_t most);
Frame next_startup(std::string_view in);

// ---- what the router's side sends ----------------------------------------------------------------------
void put_startup(std::string& out, const std::vector<std::pair<std::string, std::string>>& parameters);
void put_cancel(std::string& out, std::uint32_t process, std::uint32_t secret);
void put_query(std::string& out, std::string_view statement);  // without NUL bytes
// The extended query protocol, with the unnamed statement and portal and all values as texts.
void put_parse(std::string& out, std::string_view statement);
void put_bind(std::string& out, const std::vector<std::optional<std::string>>& parameters);  // none: NULL
void put_describe(std::string& out);
void put_execute(std::string& out);
void put_sync(std::string& out);
void put_terminate(std::string& out);

// ---- what an engine's side sends -----------------------------------------------------------------------
struct ErrorText {
  std::string_view severity, code, message;
};
struct Column {
  std::string name;
  std::uint32_t type = 25;  // object id of its data type; 25: text
};
// int8, int2, int4, oid, float4, float8: their text is a JSON number, but for NaN and infinities.
inline bool is_number_type(std::uint32_t type) {
  return type == 20 || type == 21 || type == 23 || type == 26 || type == 700 || type == 701;
}
using Value = std::optional<std::string_view>;  // none: NULL
void put_authentication_ok(std::string& out);
void put_parameter(std::string& out, std::string_view name, std::string_view value);
void put_key(std::string& out, std::uint32_t process, std::uint32_t secret);
void put_ready(std::string& out, char status = 'I');
void put_columns(std::string& out, const std::vector<Column>& columns);
void put_row(std::string& out, const std::vector<Value>& values);
void put_complete(std::string& out, std::string_view tag);
void put_parse_complete(std::string& out);
void put_bind_complete(std::string& out);
void put_no_data(std::string& out);  // in answer to Describe, of a statement without rows
void put_empty_query(std::string& out);
void put_error(std::string& out, const ErrorText& error);
void put_notice(std::string& out, const ErrorText& notice);

// ---- reading payloads; empty: malformed -----------------------------------------------------------------
std::optional<ErrorText> read_error(std::string_view payload);  // of ErrorResponse and NoticeResponse
std::optional<std::pair<std::string_view, std::string_view>> read_parameter(std::string_view payload);
std::optional<std::pair<std::uint32_t, std::uint32_t>> read_key(std::string_view payload);
std::optional<std::vector<Column>> read_columns(std::string_view payload);
std::optional<std::string_view> read_text(std::string_view payload);   // a query, or a command tag
std::optional<std::string_view> read_parse(std::string_view payload);  // the statement's text
std::optional<std::vector<std::optional<std::string>>> read_bind(std::string_view payload);  // texts only

// Values of a DataRow, one by one, without copies.
class RowReader {
 public:
  explicit RowReader(std::string_view payload);
  [[nodiscard]] std::size_t columns() const { return left_; }  // still to come
  bool next(Value& value);                                     // false: over, or malformed
  [[nodiscard]] bool ok() const { return ok_ && (left_ > 0 || rest_.empty()); }

 private:
  std::string_view rest_;
  std::size_t left_ = 0;
  bool ok_ = true;
};

struct Startup {
  std::uint32_t code = 0;  // kProtocol, kCancelCode, kSslCode, kGssCode or another version
  std::uint32_t process = 0, secret = 0;
  std::vector<std::pair<std::string, std::string>> parameters;
};
std::optional<Startup> read_startup(std::string_view payload);

}  // namespace heronwell::sql
