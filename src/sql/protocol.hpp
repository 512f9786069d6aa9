// Encodes and decodes the messages of the PostgreSQL frontend/backend protocol 3.0 (chapter "Message Formats"
// of the PostgreSQL manual), for both sides and without sockets. The length of a message is checked against
// the limit before the message is buffered. Views refer to the caller's buffer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace heronwell::sql {

inline constexpr std::uint32_t kProtocolVersion = 3 << 16;
inline constexpr std::uint32_t kCancelCode = 80877102, kSslCode = 80877103, kGssCode = 80877104;
inline constexpr std::size_t kMaxStartupBytes = 10'000;  // length of a start-up packet, as in PostgreSQL

struct Message {
  char type = 0;  // 0 for a start-up packet, which has no type
  std::string_view payload;
};

// The result of looking for one message at the front of the input.
struct Frame {
  enum class State { complete, need_more, malformed } state = State::need_more;
  // The size in bytes of the whole message, which the caller drops once it is complete; 0 if not yet known.
  std::size_t size = 0;
  Message message;
};
// Look for one message or start-up packet at the front of `in`. One that is longer than `max_bytes`, or
// kMaxStartupBytes, is malformed.
Frame next_message(std::string_view in, std::size_t max_bytes);
Frame next_startup(std::string_view in);

// ---- messages that the router sends ---------------------------------------------------------------------
void put_startup(std::string& out, const std::vector<std::pair<std::string, std::string>>& parameters);
void put_cancel(std::string& out, std::uint32_t process, std::uint32_t secret);
void put_query(std::string& out, std::string_view statement);  // must not contain a NUL byte
// The extended query protocol with the unnamed statement and portal; all values are in text format.
void put_parse(std::string& out, std::string_view statement);
void put_bind(std::string& out, const std::vector<std::optional<std::string>>& parameters);  // nullopt: NULL
void put_describe(std::string& out);
void put_execute(std::string& out);
void put_sync(std::string& out);
void put_terminate(std::string& out);

// ---- messages that an engine sends ----------------------------------------------------------------------
// The fields of an ErrorResponse or NoticeResponse that are used; `code` is the SQLSTATE.
struct ErrorText {
  std::string_view severity, code, message;
};
struct Column {
  std::string name;
  std::uint32_t type = 25;  // object id of the data type; 25 is text
};
// Whether the type is int8, int2, int4, oid, float4 or float8. The text of such a value is a JSON number,
// except for NaN and infinities.
inline bool is_number_type(std::uint32_t type) {
  return type == 20 || type == 21 || type == 23 || type == 26 || type == 700 || type == 701;
}
using Value = std::optional<std::string_view>;  // nullopt: NULL
void put_authentication_ok(std::string& out);
void put_parameter(std::string& out, std::string_view name, std::string_view value);
void put_key(std::string& out, std::uint32_t process, std::uint32_t secret);
void put_ready(std::string& out, char status = 'I');
void put_columns(std::string& out, const std::vector<Column>& columns);
void put_row(std::string& out, const std::vector<Value>& values);
void put_complete(std::string& out, std::string_view tag);
void put_parse_complete(std::string& out);
void put_bind_complete(std::string& out);
void put_no_data(std::string& out);  // the response to Describe for a statement that returns no rows
void put_empty_query(std::string& out);
void put_error(std::string& out, const ErrorText& error);
void put_notice(std::string& out, const ErrorText& notice);

// ---- reading payloads; these functions return nullopt if the payload is malformed ------------------------
std::optional<ErrorText> read_error(std::string_view payload);  // ErrorResponse or NoticeResponse
std::optional<std::pair<std::string_view, std::string_view>> read_parameter(std::string_view payload);
std::optional<std::pair<std::uint32_t, std::uint32_t>> read_key(std::string_view payload);
std::optional<std::vector<Column>> read_columns(std::string_view payload);
std::optional<std::string_view> read_text(std::string_view payload);   // Query or CommandComplete
std::optional<std::string_view> read_parse(std::string_view payload);  // the text of the statement
// The parameters, nullopt for NULL; a parameter that is not in text format is malformed.
std::optional<std::vector<std::optional<std::string>>> read_bind(std::string_view payload);

// Reads the values of a DataRow one by one, without copying them.
class RowReader {
 public:
  explicit RowReader(std::string_view payload);
  [[nodiscard]] std::size_t columns() const { return remaining_columns_; }  // columns not yet read
  bool next(Value& value);  // false at the end or if malformed
  [[nodiscard]] bool ok() const { return ok_ && (remaining_columns_ > 0 || rest_.empty()); }

 private:
  std::string_view rest_;
  std::size_t remaining_columns_ = 0;
  bool ok_ = true;
};

// A start-up packet: a start of a session, or a request to cancel, for TLS or for GSSAPI encryption.
struct Startup {
  std::uint32_t code = 0;  // kProtocolVersion, kCancelCode, kSslCode, kGssCode or another version
  std::uint32_t process = 0, secret = 0;  // only with kCancelCode
  std::vector<std::pair<std::string, std::string>> parameters;
};
std::optional<Startup> read_startup(std::string_view payload);

}  // namespace heronwell::sql
