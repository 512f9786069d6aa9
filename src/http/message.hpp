// HTTP/1.1 messages (RFC 9110, RFC 9112), both directions, without sockets: bytes in, events out. A body is
// handed on as views of the input, never copied. The result is the same however the bytes are split.
//
// What could be read in two ways is an error, as RFC 9112 asks of those who pass messages on: a bare CR or
// LF, Content-Length beside Transfer-Encoding, Content-Lengths that differ, a folded header, a space before
// the colon, any coding but chunked. The connection is closed after an error.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heronwell::http {

enum class Role { request, response };  // what the parser reads

struct Limits {
  std::size_t start_line = 8 << 10;     // bytes; longer request lines: 414
  std::size_t header_bytes = 32 << 10;  // bytes of all header lines: 431
  std::size_t header_count = 100;       // 431
  std::uint64_t body = 16 << 20;        // bytes after chunked decoding: 413
};

// Views are valid until the parser reads the next message.
struct Field {
  std::string_view name, value;
};

class Parser {
 public:
  explicit Parser(Role role, Limits limits = {}) : role_(role), limits_(limits) {}

  enum class Event {
    need_more,  // all input is consumed and no event is complete
    head,       // start line and fields are there
    body,       // `body` is the next piece
    end,        // the message is over; the next call begins another
    error,      // status() and reason() tell why; nothing more is read
  };
  struct Step {
    Event event = Event::need_more;
    std::size_t consumed = 0;  // bytes of the input to drop
    std::string_view body;
  };

  // Reads on. `in` begins at the first byte not yet consumed.
  Step next(std::string_view in);
  // The sender closed: completes a response that its end delimits, else an error unless between messages.
  Step close();
  // Response role: the next message answers HEAD, or CONNECT's like, and has no body.
  void no_body_follows() { no_body_ = true; }

  [[nodiscard]] bool between_messages() const { return at_ == At::start_line && line_.empty() && !skipped_; }
  [[nodiscard]] bool in_head() const { return at_ == At::start_line || at_ == At::fields; }
  [[nodiscard]] std::string_view method() const { return view(method_); }
  [[nodiscard]] std::string_view target() const { return view(target_); }
  [[nodiscard]] int status() const {
    return status_;
  }  // response's; after an error of a request: to answer with
  [[nodiscard]] std::string_view reason() const { return reason_; }  // of an error
  [[nodiscard]] const std::vector<Field>& fields() const { return fields_; }
  [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const;  // the first of that name
  [[nodiscard]] bool keep_alive() const { return keep_alive_; }
  [[nodiscard]] bool expects_continue() const { return expects_continue_; }
  [[nodiscard]] std::optional<std::uint64_t> content_length() const { return length_; }

 private:
  enum class At {
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
    std::size_t from = 0, size = 0;
  };

  bool take_line(std::string_view in, std::size_t& used, std::size_t limit, int too_long);
  bool fail(int status, const char* reason);
  bool start_line();
  bool request_line(std::string_view line);
  bool status_line(std::string_view line);
  bool field_line();
  bool finish_head();
  bool chunk_size();
  void begin();
  [[nodiscard]] std::string_view view(Slice slice) const {
    return std::string_view(head_).substr(slice.from, slice.size);
  }

  Role role_;
  Limits limits_;
  At at_ = At::start_line;
  std::string line_;      // the line being read, without its end
  bool cr_ = false;       // its CR has come
  bool skipped_ = false;  // one empty line before the start line is let pass
  std::string head_;      // start line and fields, that views refer to
  Slice method_, target_;
  std::vector<std::pair<Slice, Slice>> slices_;
  std::vector<Field> fields_;
  std::size_t header_bytes_ = 0, trailer_count_ = 0;
  bool http10_ = false, keep_alive_ = true, expects_continue_ = false, no_body_ = false;
  std::optional<std::uint64_t> length_;
  std::uint64_t left_ = 0, body_ = 0;
  int status_ = 0;
  std::string_view reason_;
};

bool same_name(std::string_view a, std::string_view b);  // field names, without regard to case
std::string_view reason_phrase(int status);

// Appends a response's head. Without a length: chunked. Fields' values hold no CR or LF.
void put_response(std::string& out, int status, std::string_view content_type,
                  std::optional<std::uint64_t> length, bool keep_alive, const std::vector<Field>& more = {});
void put_request(std::string& out, std::string_view method, std::string_view target, std::string_view host,
                 std::string_view body, const std::vector<Field>& more = {});
// A chunk is prefix, bytes, CRLF; the last is "0\r\n\r\n". Never for no bytes.
void put_chunk_prefix(std::string& out, std::size_t bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace heronwell::http
