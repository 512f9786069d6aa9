// Parses and writes HTTP/1.1 requests and responses (RFC 9110, RFC 9112), without sockets. The parser turns
// bytes into events, which do not depend on how the input is split. Bodies are passed on as views of the
// input and never copied.
//
// Ambiguous messages are errors, as RFC 9112 requires of intermediaries, since two recipients could read them
// differently (request smuggling): a bare CR or LF, Content-Length together with Transfer-Encoding, differing
// Content-Lengths, a folded header line, a space before the colon, any transfer coding other than chunked.
// The owner closes the connection after an error.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heronwell::http {

enum class Role { request, response };  // the kind of message that a parser reads

// Limits on a message. Exceeding one is an error with the given status.
struct Limits {
  std::size_t start_line = 8 << 10;     // bytes of the start line: 414
  std::size_t header_bytes = 32 << 10;  // bytes of all header and trailer fields together: 431
  std::size_t header_count = 100;       // of header fields, and separately of trailer fields: 431
  std::uint64_t body = 16 << 20;        // bytes of the body after decoding the chunks: 413
};

// A header field. The views are valid until the parser begins to read the next message.
struct Field {
  std::string_view name, value;
};

class Parser {
 public:
  explicit Parser(Role role, Limits limits = {}) : role_(role), limits_(limits) {}

  enum class Event {
    need_more,  // the whole input is consumed and no further event is complete
    head,       // the start line and the header fields are complete
    body,       // `Step::body` is the next part of the body
    end,        // the message is complete; the next call reads another message
    error,      // status() and reason() give the cause; the parser reads nothing more
  };
  struct Step {
    Event event = Event::need_more;
    std::size_t consumed = 0;  // bytes at the front of the input that the caller must drop
    std::string_view body;
  };

  // Reads `in` up to the next event and returns it; need_more if `in` ends before one is complete. `in` must
  // begin with the first byte that earlier calls have not consumed.
  Step next(std::string_view in);
  // Tells the parser that the peer closed the connection. Completes a response whose body is delimited by the
  // close. Any other incomplete message is an error; between messages it returns need_more.
  Step close();
  // The bytes that the parser holds, by capacity.
  [[nodiscard]] std::size_t buffered_bytes() const;
  // Releases the memory of the last message if the parser is between messages.
  void release_unused();
  // Ends the parser while a message is incomplete, and releases its memory. It reads nothing more.
  void abandon();
  // For Role::response: the next response has no body whatever its fields say, as in response to HEAD or
  // CONNECT.
  void no_body_follows() { no_body_ = true; }

  [[nodiscard]] bool between_messages() const {
    return state_ == State::start_line && line_.empty() && !empty_line_skipped_;
  }
  [[nodiscard]] bool in_head() const { return state_ == State::start_line || state_ == State::fields; }
  [[nodiscard]] std::string_view method() const { return view(method_); }
  [[nodiscard]] std::string_view target() const { return view(target_); }
  // The status of a response; after an error in a request, the status to respond with.
  [[nodiscard]] int status() const { return status_; }
  // A description of the error, which is sent to the client.
  [[nodiscard]] std::string_view reason() const { return reason_; }
  [[nodiscard]] const std::vector<Field>& fields() const { return fields_; }
  // Returns the value of the first field named `name`, ignoring case; nullopt if there is none.
  [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const;
  [[nodiscard]] bool keep_alive() const { return keep_alive_; }
  [[nodiscard]] bool expects_continue() const { return expects_continue_; }
  [[nodiscard]] std::optional<std::uint64_t> content_length() const { return content_length_; }

 private:
  enum class State {
    start_line,
    fields,
    body,
    chunk_size,
    chunk,
    chunk_end,
    trailers,
    until_close,
    end,
    failed
  };
  struct Slice {
    std::size_t offset = 0, size = 0;
  };

  bool read_line(std::string_view in, std::size_t& used, std::size_t limit, int too_long_status);
  bool fail(int status, const char* reason);
  bool parse_start_line();
  bool parse_request_line(std::string_view line);
  bool parse_status_line(std::string_view line);
  bool parse_field_line();
  bool finish_head();
  bool parse_chunk_size();
  void reset();
  void release();
  [[nodiscard]] std::string_view view(Slice slice) const {
    return std::string_view(head_).substr(slice.offset, slice.size);
  }

  Role role_;
  Limits limits_;
  State state_ = State::start_line;
  std::string line_;                 // the line being read, without its line end
  bool cr_read_ = false;             // whether the CR of that line was read
  bool empty_line_skipped_ = false;  // whether the one permitted empty line before a request was skipped
  std::string head_;  // start line and fields; the views of method, target and fields refer to it
  Slice method_, target_;
  std::vector<std::pair<Slice, Slice>> field_slices_;
  std::vector<Field> fields_;
  std::size_t header_bytes_ = 0, trailer_count_ = 0;
  bool is_http10_ = false, keep_alive_ = true, expects_continue_ = false, no_body_ = false;
  std::optional<std::uint64_t> content_length_;
  std::uint64_t remaining_ = 0, body_bytes_ = 0;
  int status_ = 0;
  std::string_view reason_;
};

// Compares field names and tokens, ignoring the case of ASCII letters.
bool equals_ignoring_case(std::string_view a, std::string_view b);
std::string_view reason_phrase(int status);

// Appends the head of a response. Without a length the response announces a chunked body. The values of
// `more` must not contain CR or LF.
void put_response(std::string& out, int status, std::string_view content_type,
                  std::optional<std::uint64_t> length, bool keep_alive, const std::vector<Field>& more = {});
// Appends a request with its body, which is JSON. The values of `more` must not contain CR or LF.
void put_request(std::string& out, std::string_view method, std::string_view target, std::string_view host,
                 std::string_view body, const std::vector<Field>& more = {});
// Appends the size line of a chunk; the caller appends the bytes and CRLF after it, and kLastChunk at the end
// of the body. `bytes` must not be 0, since an empty chunk ends the body.
void put_chunk_prefix(std::string& out, std::size_t bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace heronwell::http
