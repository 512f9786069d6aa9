// Big-endian integers in byte strings, as network protocols have them. Readers never look past the end: a
// short input makes the reader fail and stay failed, which its user checks once, at the end.
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
inline void put_text(std::string& out, std::string_view text) {  // closed by a NUL byte
  out.append(text);
  out.push_back('\0');
}

class ByteReader {
 public:
  explicit ByteReader(std::string_view bytes) : rest_(bytes) {}

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
    const auto taken = rest_.substr(0, bytes);
    rest_.remove_prefix(bytes);
    return taken;
  }
  std::string_view text() {  // up to a NUL byte, which is taken too
    const auto end = rest_.find('\0');
    if (end == std::string_view::npos) return fail(), std::string_view{};
    const auto taken = rest_.substr(0, end);
    rest_.remove_prefix(end + 1);
    return taken;
  }
  [[nodiscard]] bool ok() const { return ok_; }
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
