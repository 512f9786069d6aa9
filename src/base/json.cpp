#include "base/json.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace heronwell {
namespace {

// Returns the length in bytes of the well-formed UTF-8 sequence at the front of `text` (Unicode, table 3-7),
// or 0 if there is none.
std::size_t utf8_sequence_length(std::string_view text) {
  const auto byte = [&](std::size_t i) { return i < text.size() ? static_cast<unsigned char>(text[i]) : 0U; };
  const auto is_continuation = [&](std::size_t i) { return (byte(i) & 0xc0) == 0x80; };
  const unsigned a = byte(0), b = byte(1);
  if (a < 0x80) return 1;
  if (a >= 0xc2 && a <= 0xdf) return is_continuation(1) ? 2 : 0;
  if (a >= 0xe0 && a <= 0xef) {
    const bool valid =
        is_continuation(1) && is_continuation(2) && !(a == 0xe0 && b < 0xa0) && !(a == 0xed && b > 0x9f);
    return valid ? 3 : 0;
  }
  if (a >= 0xf0 && a <= 0xf4) {
    const bool valid = is_continuation(1) && is_continuation(2) && is_continuation(3) &&
                       !(a == 0xf0 && b < 0x90) && !(a == 0xf4 && b > 0x8f);
    return valid ? 4 : 0;
  }
  return 0;
}

}  // namespace

bool is_json_number(std::string_view text) {
  std::size_t position = 0;
  const auto skip_digits = [&] {
    const auto start = position;
    while (position < text.size() && text[position] >= '0' && text[position] <= '9') ++position;
    return position - start;
  };
  if (position < text.size() && text[position] == '-') ++position;
  const auto integer_start = position;
  const auto integer_digits = skip_digits();
  if (integer_digits == 0 || (integer_digits > 1 && text[integer_start] == '0')) return false;
  if (position < text.size() && text[position] == '.' && (++position, skip_digits() == 0)) return false;
  if (position < text.size() && (text[position] == 'e' || text[position] == 'E')) {
    ++position;
    if (position < text.size() && (text[position] == '+' || text[position] == '-')) ++position;
    if (skip_digits() == 0) return false;
  }
  return position == text.size();
}

void put_json_text(std::string& out, std::string_view text) {
  out.push_back('"');
  while (!text.empty()) {
    const auto special = std::ranges::find_if(text, [](char c) {
      return static_cast<unsigned char>(c) < 0x20 || c == '"' || c == '\\' ||
             static_cast<unsigned char>(c) >= 0x80;
    });
    const auto plain_bytes = static_cast<std::size_t>(special - text.begin());
    out.append(text.substr(0, plain_bytes));
    text.remove_prefix(plain_bytes);
    if (text.empty()) break;
    const char c = text.front();
    const auto size = utf8_sequence_length(text);
    if (c == '"' || c == '\\') {
      out.push_back('\\');
      out.push_back(c);
    } else if (size == 0) {
      out += "\xef\xbf\xbd";
    } else if (size > 1) {
      out.append(text.substr(0, size));
    } else if (c == '\n') {
      out += "\\n";
    } else if (c == '\t') {
      out += "\\t";
    } else {
      fmt::format_to(std::back_inserter(out), "\\u{:04x}", static_cast<unsigned>(c));
    }
    text.remove_prefix(std::max<std::size_t>(size, 1));
  }
  out.push_back('"');
}

}  // namespace heronwell
