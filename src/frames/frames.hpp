// Decodes and writes the binary frames of the platform's client protocol, without sockets. The decoded frames
// do not depend on how the input is split. docs/platform.md compares the design options.
//
//   frame  = length:4 type:1 stream:4 payload     big-endian; length is the bytes after it, 5 to 262,144
//   fields = count:1, then for each field: size:1 name size:2 value
//
// Names of the fields of requests and responses on the wire, and the members that hold them:
//
//   c   Request::class_name
//   i   Request::id
//   t   Request::tenant
//   d   Request::timeout_ms
//   k   Request::idempotency_key
//   w   (response only) time in milliseconds after which the client may retry
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heronwell::frames {

inline constexpr std::size_t kLengthBytes = 4, kMinFrameBytes = 5, kMaxFrameBytes = 262'144;

enum class FrameType : std::uint8_t {
  request = 2,           // payload: fields, then the statement
  response = 4,          // payload: code:1, fields, body; on stream 0: an error not tied to a request
  cancel = 8,            // no fields: the client cancels the request on this stream
  readiness_query = 16,  // payload: fields
  readiness = 32,        // payload: code:1, fields
  go_away = 64           // no payload: the router accepts no new request on this connection
};
enum class ResponseCode : std::uint8_t { served = 0, rejected = 1, failed = 2 };

struct Field {
  std::string_view name, value;
};
struct Frame {
  FrameType type{};
  std::uint32_t stream = 0;
  std::vector<Field> fields;  // empty except in a request or readiness query
  std::string_view body;      // the payload after the fields
};

// Why the input is not a valid frame. After such an error the connection cannot be decoded any further.
enum class FrameError {
  length,  // the length is out of range
  type,    // not a type that a client sends
  stream,  // a request on stream 0, which denotes the connection itself
  fields   // the fields extend past the end of the frame
};
// Returns the error message for the client, which says what was expected.
[[nodiscard]] std::string_view text_of(FrameError error);

// The first frame of the input if it is complete. Views refer to the input.
struct DecodeResult {
  enum class Status { frame, need_more, error };
  Status status = Status::need_more;
  std::size_t consumed_bytes = 0;  // size of a complete frame, otherwise 0
  Frame frame;
  FrameError error = FrameError::length;  // only valid with Status::error
};
[[nodiscard]] DecodeResult decode(std::string_view bytes);

// The front of a frame that has not arrived completely.
struct IncompleteFrame {
  std::size_t frame_bytes = 0;   // size of the complete frame
  bool fields_complete = false;  // all fields of a request have arrived
  Frame frame;  // without fields if these are not complete; the body as far as it has arrived
};
// Reads the front of a frame for which decode() needs more bytes. Returns nullopt if its type and stream have
// not arrived yet.
[[nodiscard]] std::optional<IncompleteFrame> decode_incomplete(std::string_view bytes);

// Returns the value of the first field named `name`; nullopt if there is none.
[[nodiscard]] std::optional<std::string_view> find(const Frame& frame, std::string_view name);

// Each function appends one frame to `out`.
void put_response(std::string& out, std::uint32_t stream, ResponseCode code, const std::vector<Field>& fields,
                  std::string_view body);
void put_readiness(std::string& out, std::uint32_t stream, bool ready);
void put_go_away(std::string& out);

// The contents of a request's fields. Views refer to the same input as those of the frame.
struct Request {
  std::string_view class_name, id, tenant;
  std::string_view idempotency_key;  // engines use it to drop duplicates; empty if the client sent none
  std::uint64_t timeout_ms = 0;
};

// Why a request is invalid. The connection stays usable.
enum class RequestError { duplicate_field, id, timeout, idempotency_key, empty_statement };
// Returns the error message for the client, which says what was expected.
[[nodiscard]] std::string_view text_of(RequestError error);

// Reads and checks the fields of a request into `out`. Returns nullopt on success. Whether the class and the
// tenant exist in the settings is not checked here.
[[nodiscard]] std::optional<RequestError> read_request(const Frame& frame, Request& out);

}  // namespace heronwell::frames
