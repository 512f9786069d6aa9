#include "sql/protocol.hpp"

#include <algorithm>

#include "base/bytes.hpp"

namespace heronwell::sql {
namespace {

// Appends a message: its type (0: none), its length and the payload, which `append_payload` appends.
void put_message(std::string& out, char type, auto append_payload) {
  if (type != 0) out.push_back(type);
  const auto length_position = out.size();
  put_u32(out, 0);
  append_payload();
  const auto length = static_cast<std::uint32_t>(out.size() - length_position);
  for (std::size_t i = 0; i < 4; ++i) out[length_position + i] = static_cast<char>(length >> (8 * (3 - i)));
}

void put_error_fields(std::string& out, char type, const ErrorText& text) {
  put_message(out, type, [&] {
    for (const auto& [key, value] : {std::pair{'S', text.severity}, std::pair{'V', text.severity},
                                     std::pair{'C', text.code}, std::pair{'M', text.message}}) {
      out.push_back(key);
      put_nul_terminated(out, value);
    }
    out.push_back('\0');
  });
}

Frame read_frame(std::string_view in, std::size_t type_bytes, char type, std::size_t max_bytes) {
  Frame found;
  if (in.size() < type_bytes + 4) return found;
  const std::size_t length = ByteReader(in.substr(type_bytes)).u32();
  if (length < 4 || type_bytes + length > max_bytes) {
    found.state = Frame::State::malformed;
    return found;
  }
  found.size = type_bytes + length;
  if (in.size() < found.size) return found;
  found.state = Frame::State::complete;
  found.message = {type, in.substr(type_bytes + 4, length - 4)};
  return found;
}

}  // namespace

Frame next_message(std::string_view in, std::size_t max_bytes) {
  if (in.empty()) return {};
  const char type = in.front();
  if ((type < 'A' || type > 'Z') && (type < 'a' || type > 'z') && (type < '0' || type > '9'))
    return {Frame::State::malformed, 0, {}};
  return read_frame(in, 1, type, max_bytes);
}
Frame next_startup(std::string_view in) { return read_frame(in, 0, 0, kMaxStartupBytes); }

void put_startup(std::string& out, const std::vector<std::pair<std::string, std::string>>& parameters) {
  put_message(out, 0, [&] {
    put_u32(out, kProtocolVersion);
    for (const auto& [name, value] : parameters) {
      put_nul_terminated(out, name);
      put_nul_terminated(out, value);
    }
    out.push_back('\0');
  });
}
void put_cancel(std::string& out, std::uint32_t process, std::uint32_t secret) {
  put_message(out, 0, [&] {
    put_u32(out, kCancelCode);
    put_u32(out, process);
    put_u32(out, secret);
  });
}
void put_query(std::string& out, std::string_view statement) {
  put_message(out, 'Q', [&] { put_nul_terminated(out, statement); });
}
void put_parse(std::string& out, std::string_view statement) {
  put_message(out, 'P', [&] {
    put_nul_terminated(out, "");
    put_nul_terminated(out, statement);
    put_u16(out, 0);  // no parameter types: the engine infers them
  });
}
void put_bind(std::string& out, const std::vector<std::optional<std::string>>& parameters) {
  put_message(out, 'B', [&] {
    put_nul_terminated(out, "");
    put_nul_terminated(out, "");
    put_u16(out, 0);  // parameter formats: all text
    put_u16(out, static_cast<unsigned>(parameters.size()));
    for (const auto& parameter : parameters) {
      put_u32(out, parameter ? static_cast<std::uint32_t>(parameter->size()) : 0xffffffff);
      if (parameter) out.append(*parameter);
    }
    put_u16(out, 0);  // result formats: all text
  });
}
void put_describe(std::string& out) {
  put_message(out, 'D', [&] {
    out.push_back('P');
    put_nul_terminated(out, "");
  });
}
void put_execute(std::string& out) {
  put_message(out, 'E', [&] {
    put_nul_terminated(out, "");
    put_u32(out, 0);  // no row limit
  });
}
void put_sync(std::string& out) {
  put_message(out, 'S', [] {});
}
void put_terminate(std::string& out) {
  put_message(out, 'X', [] {});
}
void put_authentication_ok(std::string& out) {
  put_message(out, 'R', [&] { put_u32(out, 0); });
}
void put_parameter(std::string& out, std::string_view name, std::string_view value) {
  put_message(out, 'S', [&] {
    put_nul_terminated(out, name);
    put_nul_terminated(out, value);
  });
}
void put_key(std::string& out, std::uint32_t process, std::uint32_t secret) {
  put_message(out, 'K', [&] {
    put_u32(out, process);
    put_u32(out, secret);
  });
}
void put_ready(std::string& out, char status) {
  put_message(out, 'Z', [&] { out.push_back(status); });
}
void put_columns(std::string& out, const std::vector<Column>& columns) {
  put_message(out, 'T', [&] {
    put_u16(out, static_cast<unsigned>(columns.size()));
    for (const auto& column : columns) {
      put_nul_terminated(out, column.name);
      put_u32(out, 0);  // not a column of a table
      put_u16(out, 0);
      put_u32(out, column.type);
      put_u16(out, 0xffff);  // variable size
      put_u32(out, 0xffffffff);
      put_u16(out, 0);  // text format
    }
  });
}
void put_row(std::string& out, const std::vector<Value>& values) {
  put_message(out, 'D', [&] {
    put_u16(out, static_cast<unsigned>(values.size()));
    for (const auto& value : values) {
      put_u32(out, value ? static_cast<std::uint32_t>(value->size()) : 0xffffffff);
      if (value) out.append(*value);
    }
  });
}
void put_complete(std::string& out, std::string_view tag) {
  put_message(out, 'C', [&] { put_nul_terminated(out, tag); });
}
void put_parse_complete(std::string& out) {
  put_message(out, '1', [] {});
}
void put_bind_complete(std::string& out) {
  put_message(out, '2', [] {});
}
void put_no_data(std::string& out) {
  put_message(out, 'n', [] {});
}
void put_empty_query(std::string& out) {
  put_message(out, 'I', [] {});
}
void put_error(std::string& out, const ErrorText& error) { put_error_fields(out, 'E', error); }
void put_notice(std::string& out, const ErrorText& notice) { put_error_fields(out, 'N', notice); }

std::optional<ErrorText> read_error(std::string_view payload) {
  ByteReader in(payload);
  ErrorText text;
  while (const char key = static_cast<char>(in.u8())) {
    const auto value = in.nul_terminated();
    if (key == 'S') text.severity = value;
    if (key == 'C') text.code = value;
    if (key == 'M') text.message = value;
  }
  if (!in.done() || text.code.size() != 5) return std::nullopt;
  return text;
}
std::optional<std::pair<std::string_view, std::string_view>> read_parameter(std::string_view payload) {
  ByteReader in(payload);
  const auto name = in.nul_terminated();
  const auto value = in.nul_terminated();
  if (!in.done()) return std::nullopt;
  return std::pair{name, value};
}
std::optional<std::pair<std::uint32_t, std::uint32_t>> read_key(std::string_view payload) {
  ByteReader in(payload);
  const auto process = in.u32();
  const auto secret = in.u32();
  if (!in.done()) return std::nullopt;
  return std::pair{process, secret};
}
std::optional<std::vector<Column>> read_columns(std::string_view payload) {
  ByteReader in(payload);
  std::vector<Column> columns(std::min<std::size_t>(in.u16(), payload.size() / 19));
  for (auto& column : columns) {
    column.name = std::string(in.nul_terminated());
    in.take(6);
    column.type = in.u32();
    in.take(8);
  }
  if (!in.done()) return std::nullopt;
  return columns;
}
std::optional<std::string_view> read_text(std::string_view payload) {
  ByteReader in(payload);
  const auto text = in.nul_terminated();
  if (!in.done()) return std::nullopt;
  return text;
}

std::optional<std::string_view> read_parse(std::string_view payload) {
  ByteReader in(payload);
  in.nul_terminated();
  const auto text = in.nul_terminated();
  in.take(std::size_t{4} * in.u16());
  if (!in.done()) return std::nullopt;
  return text;
}
std::optional<std::vector<std::optional<std::string>>> read_bind(std::string_view payload) {
  ByteReader in(payload);
  in.nul_terminated();
  in.nul_terminated();
  for (auto formats = in.u16(); formats > 0 && in.ok(); --formats)
    if (in.u16() != 0) return std::nullopt;
  std::vector<std::optional<std::string>> out;
  for (auto count = in.u16(); count > 0 && in.ok(); --count) {
    const auto size = in.u32();
    if (size == 0xffffffff)
      out.emplace_back();
    else
      out.emplace_back(in.take(size));
  }
  in.take(std::size_t{2} * in.u16());
  if (!in.done()) return std::nullopt;
  return out;
}

RowReader::RowReader(std::string_view payload) {
  ByteReader in(payload);
  remaining_columns_ = in.u16();
  ok_ = in.ok();
  rest_ = in.rest();
}
bool RowReader::next(Value& value) {
  if (!ok_ || remaining_columns_ == 0) return false;
  ByteReader in(rest_);
  const auto size = in.u32();
  value = size == 0xffffffff ? Value{} : Value{in.take(size)};
  ok_ = in.ok();
  rest_ = in.rest();
  --remaining_columns_;
  return ok_;
}

std::optional<Startup> read_startup(std::string_view payload) {
  ByteReader in(payload);
  Startup found;
  found.code = in.u32();
  if (found.code == kCancelCode) {
    found.process = in.u32();
    found.secret = in.u32();
  } else if (found.code != kSslCode && found.code != kGssCode) {
    while (true) {
      const auto name = in.nul_terminated();
      if (name.empty()) break;
      const auto value = in.nul_terminated();
      found.parameters.emplace_back(std::string(name), std::string(value));
    }
  }
  if (!in.done()) return std::nullopt;
  return found;
}

}  // namespace heronwell::sql
