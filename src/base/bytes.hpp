// Writes and reads big-endian integers and NUL-terminated strings, as binary network protocols encode them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace heronwell {

inline void put_u8(std::string& out, unsigned value) { out.push_back(static_cast<char>(value)); }
inline void put_u16(std::string& out, unsigned value) {
  put_u8(out, value >> 8);
  put_u8(out, value);
}
inline void put_u32(std::string& out, std::uint32_t value) {
  put_u16(out, value >> 16);
  put_u16(out, value & 0xffff);
}
inline void put_u64(std::string& out, std::uint64_t value) {
  put_u32(out, static_cast<std::uint32_t>(value >> 32));
  put_u32(out, static_cast<std::uint32_t>(value));
}
// Appends `text` and a terminating NUL byte. `text` must not contain a NUL byte.
inline void put_nul_terminated(std::string& out, std::string_view text) {
  out.append(text);
  out.push_back('\0');
}

// Reads values from the front of a byte string and never past its end. After a read that needs more bytes
// than are left, the reader stays failed and each further read returns zero or an empty string, so that the
// caller needs to check ok() or done() only once, after the last read. Returned views refer to the input.
class ByteReader {
 public:
  explicit ByteReader(std::string_view bytes) : rest_(bytes) {}

  // Reads an unsigned integer that is `bytes` long, 1 to 8.
  std::uint64_t number(std::size_t bytes) {
    if (rest_.size() < bytes) return fail();
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < bytes; ++i) value = value << 8 | static_cast<unsigned char>(rest_[i]);
    rest_.remove_prefix(bytes);
    return value;
  }
  std::uint8_t u8() { return static_cast<std::uint8_t>(number(1)); }
  std::uint16_t u16() { return static_cast<std::uint16_t>(number(2)); }
  std::uint32_t u32() { return static_cast<std::uint32_t>(number(4)); }
  std::uint64_t u64() { return number(8); }
  std::string_view take(std::size_t bytes) {
    if (rest_.size() < bytes) return fail(), std::string_view{};
    const auto front = rest_.substr(0, bytes);
    rest_.remove_prefix(bytes);
    return front;
  }
  // Reads up to the next NUL byte, which is consumed but not returned.
  std::string_view nul_terminated() {
    const auto end = rest_.find('\0');
    if (end == std::string_view::npos) return fail(), std::string_view{};
    const auto front = rest_.substr(0, end);
    rest_.remove_prefix(end + 1);
    return front;
  }
  [[nodiscard]] bool ok() const { return ok_; }
  // Whether the whole input was read and no read failed.
  [[nodiscard]] bool done() const { return ok_ && rest_.empty(); }
  [[nodiscard]] std::string_view rest() const { return rest_; }

 private:
  std::uint64_t fail() {
    ok_ = false;
    rest_ = {};
    return 0;
  }
  std::string_view rest_;
  bool ok_ = true;
};

}  // namespace heronwell
