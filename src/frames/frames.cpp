#include "frames/frames.hpp"

#include <algorithm>
#include <charconv>

#include "base/bytes.hpp"

namespace heronwell::frames {
namespace {

constexpr std::size_t kRequestIdDigits = 16;
constexpr std::uint64_t kMaxTimeoutMs = 3'600'000;  // an hour, the maximum of the protocol

void put_frame_header(std::string& out, FrameType type, std::uint32_t stream, std::size_t payload) {
  put_u32(out, static_cast<std::uint32_t>(kMinFrameBytes + payload));
  put_u8(out, static_cast<unsigned>(type));
  put_u32(out, stream);
}

bool read_fields(ByteReader& reader, std::vector<Field>& out) {
  const auto count = reader.u8();
  for (unsigned i = 0; i < count && reader.ok(); ++i) {
    const auto name = reader.take(reader.u8());
    const auto value = reader.take(reader.u16());
    out.push_back({name, value});
  }
  return reader.ok();
}

bool is_client_type(unsigned type) {
  const auto is = [type](FrameType expected) { return type == static_cast<unsigned>(expected); };
  return is(FrameType::request) || is(FrameType::cancel) || is(FrameType::readiness_query);
}

DecodeResult decode_error(FrameError error) {
  DecodeResult result;
  result.status = DecodeResult::Status::error;
  result.error = error;
  return result;
}

bool is_request_id(std::string_view text) {
  const auto is_hex = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
  return text.size() == kRequestIdDigits && std::ranges::all_of(text, is_hex);
}

std::optional<std::uint64_t> read_timeout(std::string_view text) {
  std::uint64_t ms = 0;
  const auto* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, ms);
  if (text.empty() || read.ec != std::errc() || read.ptr != end || ms == 0 || ms > kMaxTimeoutMs)
    return std::nullopt;
  return ms;
}

bool has_duplicate_names(const std::vector<Field>& fields) {
  for (std::size_t i = 0; i < fields.size(); ++i)
    for (std::size_t j = 0; j < i; ++j)
      if (fields[i].name == fields[j].name) return true;
  return false;
}

}  // namespace

std::string_view text_of(FrameError error) {
  switch (error) {
    case FrameError::length:
      return "length: expected 5 to 262144";
    case FrameError::type:
      return "type: expected 2, 8 or 16";
    case FrameError::stream:
      return "stream: expected 1 up";
    case FrameError::fields:
      return "fields: they run past their frame";
  }
  return "";
}

std::string_view text_of(RequestError error) {
  switch (error) {
    case RequestError::duplicate_field:
      return "a field: expected once";
    case RequestError::id:
      return "i: expected 16 hex digits";
    case RequestError::timeout:
      return "d: expected milliseconds, 1 to 3600000";
    case RequestError::idempotency_key:
      return "k: expected printable characters";
    case RequestError::empty_statement:
      return "body: expected a statement";
  }
  return "";
}

DecodeResult decode(std::string_view bytes) {
  DecodeResult result;
  if (bytes.size() < kLengthBytes) return result;
  const auto length = ByteReader(bytes).u32();
  if (length < kMinFrameBytes || length > kMaxFrameBytes) return decode_error(FrameError::length);
  // The type is checked before the frame is complete, so that an invalid frame is rejected at once and the
  // connection does not wait for the rest of it.
  if (bytes.size() > kLengthBytes && !is_client_type(static_cast<unsigned char>(bytes[kLengthBytes])))
    return decode_error(FrameError::type);
  const std::size_t frame_bytes = kLengthBytes + length;
  if (bytes.size() < frame_bytes) return result;
  ByteReader reader(bytes.substr(kLengthBytes, length));
  auto& frame = result.frame;
  frame.type = static_cast<FrameType>(reader.u8());
  frame.stream = reader.u32();
  if (frame.type == FrameType::request && frame.stream == 0) return decode_error(FrameError::stream);
  if (frame.type != FrameType::cancel && !read_fields(reader, frame.fields))
    return decode_error(FrameError::fields);
  frame.body = reader.rest();
  result.consumed_bytes = frame_bytes;
  result.status = DecodeResult::Status::frame;
  return result;
}

std::optional<IncompleteFrame> decode_incomplete(std::string_view bytes) {
  ByteReader reader(bytes);
  IncompleteFrame incomplete;
  incomplete.frame_bytes = kLengthBytes + reader.u32();
  incomplete.frame.type = static_cast<FrameType>(reader.u8());
  incomplete.frame.stream = reader.u32();
  if (!reader.ok()) return std::nullopt;
  if (incomplete.frame.type != FrameType::request) return incomplete;
  incomplete.fields_complete = read_fields(reader, incomplete.frame.fields);
  if (!incomplete.fields_complete) incomplete.frame.fields.clear();
  incomplete.frame.body = reader.rest();
  return incomplete;
}

std::optional<std::string_view> find(const Frame& frame, std::string_view name) {
  const auto found = std::ranges::find(frame.fields, name, &Field::name);
  if (found == frame.fields.end()) return std::nullopt;
  return found->value;
}

void put_response(std::string& out, std::uint32_t stream, ResponseCode code, const std::vector<Field>& fields,
                  std::string_view body) {
  std::size_t payload = 2 + body.size();
  for (const auto& field : fields) payload += 3 + field.name.size() + field.value.size();
  out.reserve(out.size() + kLengthBytes + kMinFrameBytes + payload);
  put_frame_header(out, FrameType::response, stream, payload);
  put_u8(out, static_cast<unsigned>(code));
  put_u8(out, static_cast<unsigned>(fields.size()));
  for (const auto& field : fields) {
    put_u8(out, static_cast<unsigned>(field.name.size()));
    out.append(field.name);
    put_u16(out, static_cast<unsigned>(field.value.size()));
    out.append(field.value);
  }
  out.append(body);
}

void put_readiness(std::string& out, std::uint32_t stream, bool ready) {
  put_frame_header(out, FrameType::readiness, stream, 2);
  put_u8(out, ready ? 0 : 1);
  put_u8(out, 0);
}

void put_go_away(std::string& out) { put_frame_header(out, FrameType::go_away, 0, 0); }

std::optional<RequestError> read_request(const Frame& frame, Request& out) {
  const auto value_of = [&frame](std::string_view name) { return find(frame, name).value_or(""); };
  if (has_duplicate_names(frame.fields)) return RequestError::duplicate_field;
  out.class_name = value_of("c");
  out.tenant = value_of("t");
  out.id = value_of("i");
  if (!is_request_id(out.id)) return RequestError::id;
  const auto timeout = read_timeout(value_of("d"));
  if (!timeout) return RequestError::timeout;
  out.timeout_ms = *timeout;
  out.idempotency_key = value_of("k");
  // The router sends the idempotency key to engines as the value of a header field, which a line feed or a
  // space would corrupt. Only visible ASCII characters are accepted.
  if (!std::ranges::all_of(out.idempotency_key, [](char c) { return c > ' ' && c < '\x7f'; }))
    return RequestError::idempotency_key;
  if (frame.body.empty()) return RequestError::empty_statement;
  return std::nullopt;
}

}  // namespace heronwell::frames
