#include "groups/selector.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <re2/re2.h>

#include <algorithm>
#include <charconv>
#include <cstring>

namespace heronwell::groups {
namespace {

// Memory limit of one compiled pattern, on each router. RE2 rejects a larger pattern when the configuration
// is read.
constexpr std::int64_t kMaxPatternBytes = 1 << 20;

// Maximum length of one name in a group's path, so that paths stay readable in metrics and logs.
constexpr std::size_t kMaxNameBytes = 64;

const std::vector<std::string> kAttributes{"class",     "tenant",  "operation", "field",
                                           "statement", "subject", "tag"};

bool is_name_char(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_' || c == '-';
}

// Returns the names within ${...}, or nullopt if a "${" is not closed.
std::optional<std::vector<std::string>> placeholders(std::string_view path) {
  std::vector<std::string> names;
  for (auto at = path.find("${"); at != std::string_view::npos; at = path.find("${", at)) {
    const auto end = path.find('}', at);
    if (end == std::string_view::npos) return std::nullopt;
    names.emplace_back(path.substr(at + 2, end - at - 2));
    at = end;
  }
  return names;
}

// Whether the text is a group's path: names of letters, digits, _ and -, separated by dots.
bool is_valid_path(std::string_view path) {
  std::size_t length = 0;
  for (const char c : path) {
    if (c == '.') {
      if (std::exchange(length, 0) == 0) return false;
    } else if (!is_name_char(c) || ++length > kMaxNameBytes) {
      return false;
    }
  }
  return length > 0;
}

// Returns all values that the request has for an attribute.
std::vector<std::string_view> values(const RequestAttributes& r, std::string_view attribute) {
  const auto one = [](const std::string& text) {
    return text.empty() ? std::vector<std::string_view>{} : std::vector<std::string_view>{text};
  };
  if (attribute == "class") return one(r.cls);
  if (attribute == "tenant") return one(r.tenant);
  if (attribute == "operation") return one(r.operation);
  if (attribute == "statement") return one(r.statement);
  if (attribute == "subject") return one(r.subject);
  if (attribute == "field") return {r.root_fields.begin(), r.root_fields.end()};
  return {r.tags.begin(), r.tags.end()};
}

}  // namespace

// ---- matching of texts and networks --------------------------------------------------------------------
struct TextMatcher::Pattern {
  explicit Pattern(const std::string& text, const RE2::Options& options) : re(text, options) {}
  RE2 re;
};

TextMatcher TextMatcher::read(yaml::Section& section, const std::string& key) {
  TextMatcher match;
  using Shape = yaml::Section::Shape;
  switch (section.shape(key)) {
    case Shape::text:
      match.any_.insert(section.string(key));
      return match;
    case Shape::list:
      for (auto& text : section.strings(key)) match.any_.insert(std::move(text));
      if (match.any_.empty()) section.fail(key, "expected at least one string");
      return match;
    case Shape::mapping: {
      auto inner = section.section(key);
      RE2::Options options;
      options.set_log_errors(false);
      options.set_max_mem(kMaxPatternBytes);
      const auto text = inner.string("pattern");
      match.pattern_ = std::make_shared<const Pattern>(text, options);
      if (!match.pattern_->re.ok())
        inner.fail("pattern", "expected an RE2 pattern: " + match.pattern_->re.error());
      inner.close();
      return match;
    }
    case Shape::none:
      break;
  }
  section.fail(key, "expected a string, a list of strings, or {pattern: ...}");
}

bool TextMatcher::matches(std::string_view text, std::map<std::string, std::string>& captured) const {
  if (!pattern_) return any_.contains(text);
  const auto& re = pattern_->re;
  std::vector<re2::StringPiece> found(static_cast<std::size_t>(re.NumberOfCapturingGroups()) + 1);
  if (!re.Match({text.data(), text.size()}, 0, text.size(), RE2::ANCHOR_BOTH, found.data(),
                static_cast<int>(found.size())))
    return false;
  for (const auto& [name, at] : re.NamedCapturingGroups()) {
    const auto& piece = found[static_cast<std::size_t>(at)];
    captured[name] = std::string(piece.data() == nullptr ? "" : piece.data(), piece.size());
  }
  return true;
}

std::string TextMatcher::description() const {
  if (pattern_) return "/" + pattern_->re.pattern() + "/";
  return fmt::format("{}", fmt::join(any_, " or "));
}

std::vector<std::string> TextMatcher::capture_names() const {
  std::vector<std::string> all;
  if (pattern_)
    for (const auto& [name, at] : pattern_->re.NamedCapturingGroups()) all.push_back(name);
  return all;
}

std::optional<Network> Network::read(std::string_view text) {
  Network network;
  const auto slash = text.find('/');
  const std::string address(text.substr(0, slash));
  network.v6 = address.find(':') != std::string::npos;
  if (inet_pton(network.v6 ? AF_INET6 : AF_INET, address.c_str(), network.bytes.data()) != 1)
    return std::nullopt;
  const unsigned max_bits = network.v6 ? 128 : 32;
  network.bits = max_bits;
  if (slash == std::string_view::npos) return network;
  const auto digits = text.substr(slash + 1);
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), network.bits);
  if (error != std::errc{} || end != digits.data() + digits.size() || network.bits > max_bits)
    return std::nullopt;
  // Bits set after the prefix are most likely a typing error.
  for (unsigned bit = network.bits; bit < max_bits; ++bit)
    if ((network.bytes[bit / 8] >> (7 - bit % 8) & 1) != 0) return std::nullopt;
  return network;
}

bool Network::contains(std::string_view address) const {
  std::string text(address);
  if (!v6 && text.starts_with("::ffff:") && text.find('.') != std::string::npos)
    text.erase(0, 7);  // IPv4 address mapped into IPv6
  std::array<std::uint8_t, 16> other{};
  if (inet_pton(v6 ? AF_INET6 : AF_INET, text.c_str(), other.data()) != 1) return false;
  const auto complete_bytes = bits / 8;
  if (std::memcmp(other.data(), bytes.data(), complete_bytes) != 0) return false;
  return bits % 8 == 0 || ((other[complete_bytes] ^ bytes[complete_bytes]) >> (8 - bits % 8)) == 0;
}

std::string first_word(std::string_view statement) {
  while (!statement.empty()) {
    if (statement.starts_with("--")) {
      const auto end = statement.find('\n');
      statement.remove_prefix(end == std::string_view::npos ? statement.size() : end + 1);
    } else if (statement.starts_with("/*")) {
      const auto end = statement.find("*/", 2);
      statement.remove_prefix(end == std::string_view::npos ? statement.size() : end + 2);
    } else if (std::string_view(" \t\r\n;(").find(statement.front()) != std::string_view::npos) {
      statement.remove_prefix(1);
    } else {
      break;
    }
  }
  std::string word;
  for (const char c : statement) {
    const bool upper = c >= 'A' && c <= 'Z';
    if ((!upper && (c < 'a' || c > 'z')) || word.size() >= kMaxNameBytes) break;
    word.push_back(upper ? static_cast<char>(c + 32) : c);
  }
  return word;
}

// ---- reading rules -------------------------------------------------------------------------------------
namespace {

// Checks that a group named by a rule or as the default is a leaf of the tree, and that the parent of a
// template exists there. Without a tree, nothing is checked.
void check_in_tree(yaml::Section& at, const std::string& key, const std::string& path, const Tree* tree) {
  if (tree == nullptr) return;
  const auto placeholder = path.find("${");
  const bool is_template = placeholder != std::string::npos;
  const auto dot = is_template ? path.rfind('.', placeholder) : path.size();
  if (is_template && path.find('.', placeholder) != std::string::npos)
    at.fail(key, "expected ${...} in the last name of the path only");
  const auto fixed = dot == std::string::npos ? std::string() : path.substr(0, dot);
  if (fixed.empty() && is_template) return;  // the group is created under the root
  const auto* group = tree->find(fixed);
  if (group == nullptr) at.fail(key, fmt::format("the tree has no group \"{}\"", fixed));
  if (!is_template && !group->children.empty())
    at.fail(key, fmt::format("\"{}\" has children; queries can be assigned only to groups without children",
                             fixed));
}

// Reads the rule's conditions on attributes. Adds the attributes and the captures of their patterns to
// `known`.
void read_attributes(yaml::Section& section, Rule& rule, std::set<std::string>& known) {
  for (const auto& attribute : kAttributes) {
    if (!section.has(attribute)) continue;
    known.insert(attribute);
    rule.attributes.emplace_back(attribute, TextMatcher::read(section, attribute));
    for (auto& name : rule.attributes.back().second.capture_names()) known.insert(std::move(name));
  }
}

void read_headers(yaml::Section& section, Rule& rule, std::set<std::string>& known) {
  if (!section.has("header")) return;
  auto headers = section.section("header");
  if (headers.keys().empty()) section.fail("header", "expected names of header fields with their conditions");
  for (const auto& key : headers.keys()) {
    auto name = key;
    std::ranges::transform(name, name.begin(),
                           [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; });
    rule.headers.emplace_back(name, TextMatcher::read(headers, key));
    for (auto& captured : rule.headers.back().second.capture_names()) known.insert(std::move(captured));
  }
}

void read_networks(yaml::Section& section, Rule& rule) {
  if (!section.has("network")) return;
  const bool list = section.shape("network") == yaml::Section::Shape::list;
  for (const auto& text : list ? section.strings("network") : std::vector{section.string("network")}) {
    const auto network = Network::read(text);
    if (!network)
      section.fail("network", fmt::format("expected networks such as 10.0.0.0/8, not \"{}\"", text));
    rule.networks.push_back(*network);
  }
  if (rule.networks.empty()) section.fail("network", "expected at least one network");
}

// Checks that each placeholder in the group's path is known and that the path is valid once they are filled
// in.
void check_path(yaml::Section& section, Rule& rule, const std::set<std::string>& known) {
  const auto names = placeholders(rule.group);
  if (!names) section.fail("group", R"("${" without a closing "}")");
  auto filled = rule.group;
  for (const auto& name : *names) {
    if (!known.contains(name))
      section.fail(
          "group",
          fmt::format(
              "\"${{{}}}\" is neither an attribute in a condition of this rule nor a capture of its patterns",
              name));
    const auto placeholder = "${" + name + "}";
    filled.replace(filled.find(placeholder), placeholder.size(), "x");
  }
  if (!is_valid_path(filled))
    section.fail("group", "expected names of letters, digits, _ and -, separated by dots");
  rule.creates_group = !names->empty();
}

Rule read_rule(yaml::Section& section, unsigned number, const Tree* tree) {
  Rule rule;
  rule.number = number;
  rule.group = section.string("group");
  std::set<std::string> known;
  read_attributes(section, rule, known);
  read_headers(section, rule, known);
  read_networks(section, rule);
  check_path(section, rule, known);
  check_in_tree(section, "group", rule.group, tree);
  section.close();
  return rule;
}

}  // namespace

Selectors Selectors::read(yaml::Section& section, const Tree* tree) {
  Selectors all;
  unsigned number = 0;
  for (auto& one : section.sections("selectors")) all.rules_.push_back(read_rule(one, ++number, tree));
  all.default_ = section.string("default", "");
  if (all.default_.empty()) return all;
  if (!is_valid_path(all.default_))
    section.fail("default", "expected names of letters, digits, _ and -, separated by dots");
  check_in_tree(section, "default", all.default_, tree);
  return all;
}

// ---- choosing ------------------------------------------------------------------------------------------
// Describes the first condition that is not met; empty if the rule matches.
std::string Selectors::mismatch(const Rule& rule, const RequestAttributes& request,
                                std::map<std::string, std::string>& captured) const {
  const auto shown = [](std::string_view text) {
    return text.empty() ? std::string("not known") : fmt::format("\"{}\"", text);
  };
  const auto has_condition_on = [&rule](std::string_view attribute) {
    return std::ranges::any_of(rule.attributes, [&](const auto& one) { return one.first == attribute; });
  };
  if (!request.subject.empty() && !has_condition_on("subject") &&
      (!rule.headers.empty() || has_condition_on("tag")))
    return fmt::format(
        "subject is \"{}\"; a header or tag does not count unless the rule also tests the subject",
        request.subject);
  for (const auto& [attribute, match] : rule.attributes) {
    const auto all = values(request, attribute);
    const auto found =
        std::ranges::find_if(all, [&](std::string_view text) { return match.matches(text, captured); });
    if (found == all.end())
      return fmt::format("{} is {}, not {}", attribute,
                         all.empty() ? "not known" : fmt::format("\"{}\"", fmt::join(all, "\", \"")),
                         match.description());
    captured.emplace(attribute, *found);
  }
  for (const auto& [name, match] : rule.headers) {
    const auto text = request.header ? request.header(name) : std::nullopt;
    if (!text || !match.matches(*text, captured))
      return fmt::format("header {} is {}, not {}", name, shown(text.value_or("")), match.description());
  }
  if (!rule.networks.empty() && std::ranges::none_of(rule.networks, [&](const Network& network) {
        return network.contains(request.address);
      }))
    return fmt::format("address {} is in none of its networks", shown(request.address));
  return "";
}

std::vector<std::string> Selectors::headers() const {
  std::set<std::string> names;
  for (const auto& rule : rules_)
    for (const auto& [name, match] : rule.headers) names.insert(name);
  return {names.begin(), names.end()};
}

GroupSelection Selectors::fill_in(const Rule& rule,
                                  const std::map<std::string, std::string>& captured) const {
  GroupSelection chosen{rule.group, rule.number, rule.creates_group, ""};
  const auto names =
      placeholders(rule.group).value_or(std::vector<std::string>());  // checked when the rule was read
  for (const auto& name : names) {
    const auto placeholder = "${" + name + "}";
    const auto& text = captured.at(name);
    // A value may fill only one name of the path. A value with dots would let a client choose any group of
    // the tree.
    if (text.empty() || text.size() > kMaxNameBytes || !std::ranges::all_of(text, is_name_char)) {
      chosen.reason = fmt::format("selector {}: ${{{}}} is \"{}\", which can't be part of a group's name",
                                  rule.number, name, text.substr(0, kMaxNameBytes));
      chosen.group.clear();
      return chosen;
    }
    chosen.group.replace(chosen.group.find(placeholder), placeholder.size(), text);
  }
  if (!is_valid_path(chosen.group))
    return {"", rule.number, false, fmt::format("selector {}: the group's name is too long", rule.number)};
  return chosen;
}

GroupSelection Selectors::choose(const RequestAttributes& request) const {
  for (const auto& rule : rules_) {
    std::map<std::string, std::string> captured;
    if (mismatch(rule, request, captured).empty()) return fill_in(rule, captured);
  }
  if (default_.empty()) return {"", 0, false, "no selector matches, and there is no default group"};
  return {default_, 0, false, ""};
}

std::string Selectors::explain(const RequestAttributes& request) const {
  std::string out;
  for (const auto& rule : rules_) {
    std::map<std::string, std::string> captured;
    const auto failed_condition = mismatch(rule, request, captured);
    if (!failed_condition.empty()) {
      out += fmt::format("selector {}: {}\n", rule.number, failed_condition);
      continue;
    }
    const auto chosen = fill_in(rule, captured);
    return out + (chosen.group.empty()
                      ? chosen.reason + "\nrefused\n"
                      : fmt::format("selector {}: all fits\ngroup {}\n", rule.number, chosen.group));
  }
  const auto chosen = choose(request);
  return out + (chosen.group.empty()
                    ? chosen.reason + "\nrefused\n"
                    : fmt::format("no selector matches: the default\ngroup {}\n", chosen.group));
}

// ---- groups created on demand ------------------------------------------------------------------------
bool OnDemandGroups::enter(Time now, const std::string& group) {
  const auto found = groups_.find(group);
  if (found == groups_.end()) {
    if (groups_.size() >= max_groups_) (void)sweep(now);
    if (groups_.size() >= max_groups_) return false;
    groups_[group].requests = 1;
    return true;
  }
  if (found->second.requests++ == 0) idle_since_.erase({found->second.since, group});
  return true;
}

void OnDemandGroups::leave(Time now, const std::string& group) {
  const auto found = groups_.find(group);
  if (found == groups_.end() || found->second.requests == 0) return;
  --found->second.requests;
  if (found->second.requests > 0) return;
  found->second.since = now;
  idle_since_.emplace(now, group);
}

std::vector<std::string> OnDemandGroups::sweep(Time now) {
  std::vector<std::string> removed;
  while (!idle_since_.empty() && idle_since_.begin()->first + idle_ <= now) {
    removed.push_back(idle_since_.begin()->second);
    groups_.erase(removed.back());
    idle_since_.erase(idle_since_.begin());
  }
  return removed;
}

}  // namespace heronwell::groups
