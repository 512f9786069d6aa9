#include "explore/digest.hpp"

#include <xxhash.h>

#include <array>
#include <cstring>

namespace heronwell::explore {

void put(std::string& out, std::uint64_t value) {
  std::array<char, sizeof value> bytes{};
  std::memcpy(bytes.data(), &value, sizeof value);
  out.append(bytes.data(), bytes.size());
}
void put(std::string& out, std::string_view text) {
  put(out, text.size());
  out += text;
}
void put(std::string& out, Time time) { put(out, static_cast<std::uint64_t>(time.count())); }
void put(std::string& out, const Hash& hash) {
  put(out, hash.high);
  put(out, hash.low);
}

Hash hash_of(std::string_view bytes) {
  const auto h = XXH3_128bits(bytes.data(), bytes.size());
  return {h.high64, h.low64};
}
void mix(Hash& hash, std::string_view bytes) {
  std::string all;
  put(all, hash);
  all += bytes;
  hash = hash_of(all);
}

}  // namespace heronwell::explore
