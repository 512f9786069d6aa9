// Hashes of states: values are put into a text, texts into a hash of 128 bits (XXH3).
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.hpp"

namespace heronwell::explore {

struct Hash {
  std::uint64_t high = 0, low = 0;
  auto operator<=>(const Hash&) const = default;
};

void put(std::string& out, std::uint64_t value);
void put(std::string& out, std::string_view text);
void put(std::string& out, Time time);
void put(std::string& out, const Hash& hash);
Hash hash_of(std::string_view bytes);
void mix(Hash& hash, std::string_view bytes);  // goes on with `bytes`

}  // namespace heronwell::explore
