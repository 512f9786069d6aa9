#include "sql/group.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <string>

namespace heronwell::sql {
namespace {

bool is_name_start(char c) { return std::isalpha(static_cast<unsigned char>(c)) != 0 || c == '_'; }
bool is_name_char(char c) { return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' || c == '$'; }

// If a string, a comment or white space begins at `at`, returns the position after it (for white space, after
// one character); otherwise returns `at`. Block comments nest, as in PostgreSQL. Unterminated strings and
// comments extend to the end of the input.
std::size_t skip_non_name(std::string_view in, std::size_t at) {
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
    const bool has_escapes =
        at > 0 && (in[at - 1] == 'e' || in[at - 1] == 'E') && (at < 2 || !is_name_char(in[at - 2]));
    for (++at; at < in.size(); ++at) {
      if (has_escapes && in[at] == '\\') {
        ++at;
      } else if (in[at] == '\'') {
        if (at + 1 >= in.size() || in[at + 1] != '\'') return at + 1;
        ++at;
      }
    }
    return in.size();
  }
  if (in[at] == '$' && (at == 0 || !is_name_char(in[at - 1]))) {  // dollar-quoted string: $tag$ ... $tag$
    auto end = at + 1;
    while (end < in.size() && is_name_char(in[end]) && in[end] != '$') ++end;
    if (end < in.size() && in[end] == '$' &&
        !(end > at + 1 && std::isdigit(static_cast<unsigned char>(in[at + 1])))) {
      const auto tag = in.substr(at, end + 1 - at);
      const auto closing = in.find(tag, end + 1);
      return closing == std::string_view::npos ? in.size() : closing + tag.size();
    }
  }
  return std::isspace(static_cast<unsigned char>(in[at])) != 0 ? at + 1 : at;
}

std::size_t skip_all_non_names(std::string_view in, std::size_t at) {
  while (at < in.size()) {
    const auto next = skip_non_name(in, at);
    if (next == at) break;
    at = next;
  }
  return at;
}

std::optional<std::int64_t> data_group_of_schema(std::string_view schema) {
  const auto underscore = schema.rfind('_');
  if (underscore == std::string_view::npos || underscore + 1 == schema.size()) return std::nullopt;
  std::int64_t value = 0;
  const auto* end = schema.data() + schema.size();
  const auto read = std::from_chars(schema.data() + underscore + 1, end, value);
  if (read.ec != std::errc() || read.ptr != end || value < 0) return std::nullopt;
  return value;
}

}  // namespace

std::optional<std::int64_t> find_data_group(std::string_view in) {
  std::size_t at = 0;
  while ((at = skip_all_non_names(in, at)) < in.size()) {
    std::string name;
    if (in[at] == '"') {
      for (++at; at < in.size(); ++at) {
        if (in[at] == '"' && (at + 1 >= in.size() || in[at + 1] != '"')) break;
        if (in[at] == '"') ++at;
        name.push_back(in[at]);
      }
      at = std::min(at + 1, in.size());
    } else if (is_name_start(in[at])) {
      const auto from = at;
      while (at < in.size() && is_name_char(in[at])) ++at;
      name = in.substr(from, at - from);
    } else {
      // Letters directly after a number belong to it: 1e_5 is not a name.
      if (std::isdigit(static_cast<unsigned char>(in[at])) != 0)
        while (at < in.size() && is_name_char(in[at])) ++at;
      else
        ++at;
      continue;
    }
    const auto dot = skip_all_non_names(in, at);
    if (dot < in.size() && in[dot] == '.')
      if (const auto group = data_group_of_schema(name)) return group;
  }
  return std::nullopt;
}

}  // namespace heronwell::sql
