#include "http/message.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace heronwell::http {
namespace {

// Of a chunk's size line, including chunk extensions, which are ignored.
constexpr std::size_t kMaxChunkLineBytes = 256;

// Bytes that a parser keeps between messages. The head of a usual request fits.
constexpr std::size_t kMaxIdleBytes = 4 << 10;

bool is_token_char(char c) {
  constexpr std::string_view others = "!#$%&'*+-.^_`|~";
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
         others.find(c) != std::string_view::npos;
}
bool is_token(std::string_view text) { return !text.empty() && std::ranges::all_of(text, is_token_char); }
bool is_visible_char(char c) { return c > 0x20 && c < 0x7f; }
char to_lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }
std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}
// Calls `each` with each member of a comma-separated list, trimmed. Empty members are skipped.
void for_each_member(std::string_view list, auto each) {
  while (true) {
    const auto comma = list.find(',');
    const auto member = trim(list.substr(0, comma));
    if (!member.empty()) each(member);
    if (comma == std::string_view::npos) return;
    list.remove_prefix(comma + 1);
  }
}
std::optional<std::uint64_t> parse_digits(std::string_view text, int base) {
  std::uint64_t value = 0;
  if (text.empty() || text.size() > 18) return std::nullopt;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

}  // namespace

bool equals_ignoring_case(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return to_lower(x) == to_lower(y); });
}

std::optional<std::string_view> Parser::find(std::string_view name) const {
  for (const auto& field : fields_)
    if (equals_ignoring_case(field.name, name)) return field.value;
  return std::nullopt;
}

bool Parser::fail(int status, const char* reason) {
  state_ = State::failed;
  status_ = status;
  reason_ = reason;
  keep_alive_ = false;
  return false;
}

std::size_t Parser::buffered_bytes() const {
  return line_.capacity() + head_.capacity() + fields_.capacity() * sizeof(Field) +
         field_slices_.capacity() * sizeof(std::pair<Slice, Slice>);
}

void Parser::release() {
  std::string().swap(line_);
  std::string().swap(head_);
  std::vector<Field>().swap(fields_);
  std::vector<std::pair<Slice, Slice>>().swap(field_slices_);
  method_ = target_ = {};
}

void Parser::release_unused() {
  if (between_messages() && buffered_bytes() > kMaxIdleBytes) release();
}

void Parser::abandon() {
  release();
  state_ = State::failed;
}

void Parser::reset() {
  state_ = State::start_line;
  line_.clear();
  cr_read_ = empty_line_skipped_ = false;
  head_.clear();
  field_slices_.clear();
  fields_.clear();
  header_bytes_ = trailer_count_ = 0;
  is_http10_ = expects_continue_ = false;
  keep_alive_ = true;
  content_length_.reset();
  remaining_ = body_bytes_ = 0;
  status_ = 0;
}

// Reads one line into line_. Returns true if the line is complete, false if more input is needed or the line
// is invalid. Whether a byte is valid depends only on the bytes before it, so that the result does not depend
// on how the input is split. A line longer than `limit` bytes fails with the status `too_long_status`.
bool Parser::read_line(std::string_view in, std::size_t& used, std::size_t limit, int too_long_status) {
  while (used < in.size()) {
    const char c = in[used++];
    if (cr_read_) {
      if (c != '\n') return fail(400, "a CR without LF");
      cr_read_ = false;
      return true;
    }
    if (c == '\r') {
      cr_read_ = true;
      continue;
    }
    if (c == '\n') return fail(400, "an LF without CR");
    if ((c >= 0 && c < 0x20 && c != '\t') || c == 0x7f) return fail(400, "a control character");
    if (line_.size() >= limit) return fail(too_long_status, "a line over its limit");
    line_.push_back(c);
  }
  return false;
}

Parser::Step Parser::next(std::string_view in) {
  Step step;
  auto& used = step.consumed;
  const auto event = [&](Event reached) {
    step.event = reached;
    return step;
  };
  if (state_ == State::end) reset();
  while (true) {
    switch (state_) {
      case State::start_line:
        if (!read_line(in, used, limits_.start_line, 414)) break;
        if (line_.empty() && !empty_line_skipped_ && role_ == Role::request) {
          empty_line_skipped_ = true;
          continue;
        }
        if (parse_start_line()) state_ = State::fields;
        break;
      case State::fields:
        if (!read_line(in, used, limits_.header_bytes, 431)) break;
        if (!line_.empty()) {
          if (parse_field_line()) continue;
          break;
        }
        if (finish_head()) return event(Event::head);
        break;
      case State::body:
      case State::chunk: {
        if (remaining_ == 0) {
          state_ = state_ == State::body ? State::end : State::chunk_end;
          if (state_ == State::end) return event(Event::end);
          continue;
        }
        const auto size = static_cast<std::size_t>(std::min<std::uint64_t>(remaining_, in.size() - used));
        if (size == 0) return event(Event::need_more);
        step.body = in.substr(used, size);
        used += size;
        remaining_ -= size;
        return event(Event::body);
      }
      case State::until_close:
        if (used == in.size()) return event(Event::need_more);
        step.body = in.substr(used);
        body_bytes_ += step.body.size();
        used = in.size();
        if (body_bytes_ > limits_.body) {
          fail(413, "a body over its limit");
          break;
        }
        return event(Event::body);
      case State::chunk_size:
        if (!read_line(in, used, kMaxChunkLineBytes, 400) || !parse_chunk_size()) break;
        continue;
      case State::chunk_end:
        if (!read_line(in, used, 0, 400)) break;
        state_ = State::chunk_size;
        continue;
      case State::trailers:
        if (!read_line(in, used, limits_.header_bytes, 431)) break;
        if (line_.empty()) {
          state_ = State::end;
          return event(Event::end);
        }
        header_bytes_ += line_.size();
        if (header_bytes_ > limits_.header_bytes || ++trailer_count_ > limits_.header_count)
          fail(431, "trailers over their limit");
        else if (line_.find(':') == std::string::npos || !is_token(line_.substr(0, line_.find(':'))))
          fail(400, "a malformed trailer");
        line_.clear();
        break;
      case State::end:
      case State::failed:
        break;
    }
    if (state_ == State::failed) return event(Event::error);
    if (used == in.size()) return event(Event::need_more);
  }
}

Parser::Step Parser::close() {
  if (state_ == State::until_close) {
    state_ = State::end;
    return {Event::end, 0, {}};
  }
  if (state_ == State::end || between_messages()) return {Event::need_more, 0, {}};
  if (state_ != State::failed) fail(400, "closed in the middle of a message");
  return {Event::error, 0, {}};
}

bool Parser::parse_start_line() {
  head_ = line_;
  line_.clear();
  return role_ == Role::request ? parse_request_line(head_) : parse_status_line(head_);
}

bool Parser::parse_request_line(std::string_view line) {
  const auto first = line.find(' ');
  const auto second = first == std::string_view::npos ? first : line.find(' ', first + 1);
  if (second == std::string_view::npos) return fail(400, "a malformed request line");
  method_ = {0, first};
  target_ = {first + 1, second - first - 1};
  const auto version = line.substr(second + 1);
  if (!is_token(view(method_))) return fail(400, "a malformed method");
  if (target_.size == 0 || !std::ranges::all_of(view(target_), is_visible_char))
    return fail(400, "a malformed target");
  if (version.size() != 8 || !version.starts_with("HTTP/")) return fail(400, "a malformed version");
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return fail(505, "a version that is not spoken here");
  is_http10_ = version == "HTTP/1.0";
  return true;
}

bool Parser::parse_status_line(std::string_view line) {
  if (!line.starts_with("HTTP/1.") || line.size() < 12 || line[8] != ' ' ||
      (line[7] != '0' && line[7] != '1'))
    return fail(400, "a malformed status line");
  is_http10_ = line[7] == '0';
  const auto code = parse_digits(line.substr(9, 3), 10);
  if (!code || *code < 100 || *code > 599 || (line.size() > 12 && line[12] != ' '))
    return fail(400, "a malformed status line");
  status_ = static_cast<int>(*code);
  return true;
}

bool Parser::parse_field_line() {
  header_bytes_ += line_.size() + 2;
  if (header_bytes_ > limits_.header_bytes) return fail(431, "header bytes over their limit");
  if (field_slices_.size() >= limits_.header_count) return fail(431, "header fields over their limit");
  if (line_.front() == ' ' || line_.front() == '\t') return fail(400, "a folded header");
  const auto colon = line_.find(':');
  if (colon == std::string::npos || !is_token(std::string_view(line_).substr(0, colon)))
    return fail(400, "a malformed field name");
  const auto value = trim(std::string_view(line_).substr(colon + 1));
  const Slice name{head_.size(), colon};
  const Slice text{head_.size() + static_cast<std::size_t>(value.data() - line_.data()), value.size()};
  field_slices_.emplace_back(name, text);
  head_ += line_;
  line_.clear();
  return true;
}

bool Parser::finish_head() {
  for (const auto& [name, value] : field_slices_) fields_.push_back({view(name), view(value)});
  keep_alive_ = !is_http10_;
  bool has_transfer_encoding = false, chunked = false;
  int hosts = 0;
  for (const auto& field : fields_) {
    if (equals_ignoring_case(field.name, "host")) ++hosts;
    if (equals_ignoring_case(field.name, "connection"))
      for_each_member(field.value, [&](std::string_view option) {
        if (equals_ignoring_case(option, "close")) keep_alive_ = false;
        if (equals_ignoring_case(option, "keep-alive") && is_http10_) keep_alive_ = true;
      });
    if (equals_ignoring_case(field.name, "expect"))
      expects_continue_ = equals_ignoring_case(field.value, "100-continue");
    if (equals_ignoring_case(field.name, "transfer-encoding")) {
      if (has_transfer_encoding) return fail(400, "two Transfer-Encodings");
      has_transfer_encoding = true;
      chunked = equals_ignoring_case(field.value, "chunked");
    }
    if (equals_ignoring_case(field.name, "content-length")) {
      const auto length = parse_digits(field.value, 10);
      if (!length) return fail(400, "a malformed Content-Length");
      if (content_length_ && *content_length_ != *length) return fail(400, "Content-Lengths that differ");
      content_length_ = length;
    }
  }
  if (role_ == Role::request && hosts != 1 && !(is_http10_ && hosts == 0)) return fail(400, "not one Host");
  if (has_transfer_encoding && content_length_) return fail(400, "Content-Length beside Transfer-Encoding");
  if (has_transfer_encoding && (!chunked || is_http10_)) return fail(400, "a coding that is not understood");
  const bool has_no_body =
      role_ == Role::response && (no_body_ || status_ < 200 || status_ == 204 || status_ == 304);
  if (status_ >= 200 || status_ == 0) no_body_ = false;
  if (content_length_ && *content_length_ > limits_.body && !has_no_body)
    return fail(413, "a body over its limit");
  remaining_ = has_no_body ? 0 : content_length_.value_or(0);
  state_ = has_no_body ? State::body : chunked ? State::chunk_size : State::body;
  if (role_ == Role::response && !has_no_body && !chunked && !content_length_) {
    state_ = State::until_close;
    keep_alive_ = false;
  }
  line_.clear();
  return true;
}

bool Parser::parse_chunk_size() {
  const auto text = std::string_view(line_).substr(0, line_.find(';'));
  const auto size = parse_digits(trim(text), 16);
  if (!size || trim(text).size() != text.size()) return fail(400, "a malformed chunk size");
  body_bytes_ += *size;
  if (body_bytes_ > limits_.body) return fail(413, "a body over its limit");
  line_.clear();
  remaining_ = *size;
  state_ = remaining_ == 0 ? State::trailers : State::chunk;
  return true;
}

std::string_view reason_phrase(int status) {
  switch (status) {
    case 100:
      return "Continue";
    case 200:
      return "OK";
    case 202:
      return "Accepted";
    case 204:
      return "No Content";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 406:
      return "Not Acceptable";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 414:
      return "URI Too Long";
    case 415:
      return "Unsupported Media Type";
    case 417:
      return "Expectation Failed";
    case 422:
      return "Unprocessable Content";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Unknown";
  }
}

void put_response(std::string& out, int status, std::string_view content_type,
                  std::optional<std::uint64_t> length, bool keep_alive, const std::vector<Field>& more) {
  auto to = std::back_inserter(out);
  fmt::format_to(to, "HTTP/1.1 {} {}\r\n", status, reason_phrase(status));
  if (!content_type.empty()) fmt::format_to(to, "content-type: {}\r\n", content_type);
  if (length)
    fmt::format_to(to, "content-length: {}\r\n", *length);
  else
    out += "transfer-encoding: chunked\r\n";
  if (!keep_alive) out += "connection: close\r\n";
  for (const auto& field : more) fmt::format_to(to, "{}: {}\r\n", field.name, field.value);
  out += "\r\n";
}

void put_request(std::string& out, std::string_view method, std::string_view target, std::string_view host,
                 std::string_view body, const std::vector<Field>& more) {
  auto to = std::back_inserter(out);
  fmt::format_to(to, "{} {} HTTP/1.1\r\nhost: {}\r\n", method, target, host);
  if (!body.empty() || method == "POST")
    fmt::format_to(to, "content-type: application/json\r\ncontent-length: {}\r\n", body.size());
  for (const auto& field : more) fmt::format_to(to, "{}: {}\r\n", field.name, field.value);
  out += "\r\n";
  out += body;
}

void put_chunk_prefix(std::string& out, std::size_t bytes) {
  fmt::format_to(std::back_inserter(out), "{:x}\r\n", bytes);
}

}  // namespace heronwell::http
