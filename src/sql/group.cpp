#include "sql/group.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <string>

namespace heronwell::sql {
namespace {

bool starts_name(char c) { return std::isalpha(static_cast<unsigned char>(c)) != 0 || c == '_'; }
bool in_name(char c) { return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' || c == '$'; }

// Past what is no part of a statement's names: the end of a string, of a comment (these nest, as PostgreSQL
// has them) or of blanks; `at` itself where none of them begins there.
std::size_t past(std::string_view in, std::size_t at) {
  const auto rest = in.substr(at);
  if (rest.starts_with("--")) {
    const auto end = in.find('\n', at);
    return end == std::string_view::npos ? in.size() : end + 1;
  }
  if (rest.starts_with("/*")) {
    std::size_t depth = 0;
    while (at < in.size()) {
      if (in.substr(at).starts_with("/*")) {
        ++depth;
        at += 2;
      } else if (in.substr(at).starts_with("*/")) {
        at += 2;
        if (--depth == 0) return at;
      } else {
        ++at;
      }
    }
    return in.size();
  }
  if (in[at] == '\'') {
    const bool escapes =
        at > 0 && (in[at - 1] == 'e' || in[at - 1] == 'E') && (at < 2 || !in_name(in[at - 2]));
    for (++at; at < in.size(); ++at) {
      if (escapes && in[at] == '\\') {
        ++at;
      } else if (in[at] == '\'') {
        if (at + 1 >= in.size() || in[at + 1] != '\'') return at + 1;
        ++at;
      }
    }
    return in.size();
  }
  if (in[at] == '$' && (at == 0 || !in_name(in[at - 1]))) {  // $tag$ ... $tag$
    auto end = at + 1;
    while (end < in.size() && in_name(in[end]) && in[end] != '$') ++end;
    if (end < in.size() && in[end] == '$' &&
        !(end > at + 1 && std::isdigit(static_cast<unsigned char>(in[at + 1])))) {
      const auto tag = in.substr(at, end + 1 - at);
      const auto close = in.find(tag, end + 1);
      return close == std::string_view::npos ? in.size() : close + tag.size();
    }
  }
  return std::isspace(static_cast<unsigned char>(in[at])) != 0 ? at + 1 : at;
}

std::size_t past_all(std::string_view in, std::size_t at) {
  while (at < in.size()) {
    const auto next = past(in, at);
    if (next == at) break;
    at = next;
  }
  return at;
}

std::optional<std::int64_t> group_of(std::string_view schema) {
  const auto line = schema.rfind('_');
  if (line == std::string_view::npos || line + 1 == schema.size()) return std::nullopt;
  std::int64_t value = 0;
  const auto* end = schema.data() + schema.size();
  const auto read = std::from_chars(schema.data() + line + 1, end, value);
  if (read.ec != std::errc() || read.ptr != end || value < 0) return std::nullopt;
  return value;
}

}  // namespace

std::optional<std::int64_t> find_data_group(std::string_view in) {
  std::size_t at = 0;
  while ((at = past_all(in, at)) < in.size()) {
    std::string name;
    if (in[at] == '"') {
      for (++at; at < in.size(); ++at) {
        if (in[at] == '"' && (at + 1 >= in.size() || in[at + 1] != '"')) break;
        if (in[at] == '"') ++at;
        name.push_back(in[at]);
      }
      at = std::min(at + 1, in.size());
    } else if (starts_name(in[at])) {
      const auto from = at;
      while (at < in.size() && in_name(in[at])) ++at;
      name = in.substr(from, at - from);
    } else {
      // a number takes its letters with it: 1e_5 names nothing
      if (std::isdigit(static_cast<unsigned char>(in[at])) != 0)
        while (at < in.size() && in_name(in[at])) ++at;
      else
        ++at;
      continue;
    }
    const auto dot = past_all(in, at);
    if (dot < in.size() && in[dot] == '.')
      if (const auto group = group_of(name)) return group;
  }
  return std::nullopt;
}

}  // namespace heronwell::sql
