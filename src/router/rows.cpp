#include "router/rows.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace heronwell::router {
namespace {

// Bytes of the well-formed UTF-8 sequence at the front (Unicode, table 3-7); 0: none.
std::size_t sequence(std::string_view text) {
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

bool number_type(std::uint32_t type) {
  return type == 20 || type == 21 || type == 23 || type == 26 || type == 700 || type == 701;
}
bool json_number(std::string_view text) {  // the grammar of RFC 8259, section 6
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

}  // namespace

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
    const auto size = sequence(text);
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

void JsonRows::open(std::string& out) {
  if (!any_)
    out += "{";
  else
    out += more_ ? ",{" : ",\"more\":[{";
  more_ = any_;
  any_ = set_open_ = true;
}

void JsonRows::columns(std::string& out, const std::vector<sql::Column>& columns) {
  open(out);
  types_.clear();
  out += "\"columns\":[";
  for (const auto& column : columns) {
    if (!types_.empty()) out.push_back(',');
    put_json_text(out, column.name);
    types_.push_back(column.type);
  }
  out += "],\"rows\":[";
  between_rows_ = "";
}

bool JsonRows::row(std::string& out, sql::RowReader row) {
  if (row.columns() != types_.size()) return false;
  out += between_rows_;
  between_rows_ = ",";
  out.push_back('[');
  sql::Value value;
  for (std::size_t i = 0; row.next(value); ++i) {
    if (i > 0) out.push_back(',');
    if (!value)
      out += "null";
    else if (types_[i] == 16 && (*value == "t" || *value == "f"))
      out += *value == "t" ? "true" : "false";
    else if (number_type(types_[i]) && json_number(*value))
      out += *value;
    else
      put_json_text(out, *value);
  }
  out.push_back(']');
  return row.ok();
}

void JsonRows::complete(std::string& out, std::string_view tag) {
  if (!set_open_) {  // no rows: an UPDATE, say
    open(out);
    out += "\"columns\":[],\"rows\":[";
  }
  out += "],\"command\":";
  put_json_text(out, tag);
  if (more_) out.push_back('}');
  set_open_ = false;
}

void JsonRows::finish(std::string& out) {
  if (!any_) complete(out, "");
  out += more_ ? "]}" : "}";
}

}  // namespace heronwell::router
