#include "base/json.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace heronwell {
namespace {

// Length in bytes of the well-formed UTF-8 sequence at the front (Unicode, table 3-7); 0: there is none.
std::size_t utf8_sequence_length(std::string_view text) {
  const auto byte = [&](std::size_t i) { return i < text.size() ? static_cast<unsigned char>(text[i]) : 0U; };
  const auto tail = [&](std::size_t i) { return (byte(i) & 0xc0) == 0x80; };
  const unsigned a = byte(0), b = byte(1);
  if (a < 0x80) return 1;
  if (a >= 0xc2 && a <= 0xdf) return tail(1) ? 2 : 0;
  if (a >= 0xe0 && a <= 0xef) {
    const bool good = tail(1) && tail(2) && !(a == 0xe0 && b < 0xa0) && !(a == 0xed && b > 0x9f);
    return good ? 3 : 0;
  }
  if (a >= 0xf0 && a <= 0xf4) {
    const bool good = tail(1) && tail(2) && tail(3) && !(a == 0xf0 && b < 0x90) && !(a == 0xf4 && b > 0x8f);
    return good ? 4 : 0;
  }
  return 0;
}

}  // namespace

bool is_json_number(std::string_view text) {
  std::size_t at = 0;
  const auto digits = [&] {
    const auto from = at;
    while (at < text.size() && text[at] >= '0' && text[at] <= '9') ++at;
    return at - from;
  };
  if (at < text.size() && text[at] == '-') ++at;
  const auto first = at;
  const auto whole = digits();
  if (whole == 0 || (whole > 1 && text[first] == '0')) return false;
  if (at < text.size() && text[at] == '.' && (++at, digits() == 0)) return false;
  if (at < text.size() && (text[at] == 'e' || text[at] == 'E')) {
    ++at;
    if (at < text.size() && (text[at] == '+' || text[at] == '-')) ++at;
    if (digits() == 0) return false;
  }
  return at == text.size();
}

void put_json_text(std::string& out, std::string_view text) {
  out.push_back('"');
  while (!text.empty()) {
    const auto plain = std::ranges::find_if(text, [](char c) {
      return static_cast<unsigned char>(c) < 0x20 || c == '"' || c == '\\' ||
             static_cast<unsigned char>(c) >= 0x80;
    });
    const auto run = static_cast<std::size_t>(plain - text.begin());
    out.append(text.substr(0, run));
    text.remove_prefix(run);
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
