#include "base/yaml.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <numeric>

namespace heronwell::yaml {
namespace {

struct Unit {
  std::string_view name;
  std::uint64_t size;  // as a multiple of the smallest unit (1 ns, 1 byte)
};
constexpr std::array<Unit, 6> kTimeUnits{{{"h", 3'600'000'000'000},
                                          {"min", 60'000'000'000},
                                          {"s", 1'000'000'000},
                                          {"ms", 1'000'000},
                                          {"us", 1'000},
                                          {"ns", 1}}};
constexpr std::array<Unit, 4> kSizeUnits{
    {{"GiB", 1ULL << 30}, {"MiB", 1ULL << 20}, {"KiB", 1ULL << 10}, {"B", 1}}};

std::optional<std::uint64_t> parse_with_unit(std::string_view text, auto& units) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || !std::isfinite(value) || value < 0) return std::nullopt;
  const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
  for (const auto& known : units) {
    const double scaled = value * static_cast<double>(known.size);
    if (known.name == unit && scaled < 9e18) return static_cast<std::uint64_t>(std::llround(scaled));
  }
  return std::nullopt;
}

std::string format_with_unit(std::uint64_t value, auto& units) {
  for (const auto& unit : units)
    if (value >= unit.size && value % unit.size == 0)
      return fmt::format("{}{}", value / unit.size, unit.name);
  return fmt::format("0{}", units.back().name);
}

std::optional<double> parse_number(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}
std::optional<std::uint64_t> parse_count(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}
std::optional<std::string> parse_string(std::string_view text) { return std::string(text); }
std::optional<bool> parse_bool(std::string_view text) {
  if (text == "true") return true;
  if (text == "false") return false;
  return std::nullopt;
}

// The Levenshtein distance.
std::size_t edit_distance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const auto cost = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, cost});
    }
  }
  return row.back();
}

}  // namespace

std::optional<Time> parse_duration(std::string_view text) {
  const auto value = parse_with_unit(text, kTimeUnits);
  return value ? std::optional(Time(static_cast<std::int64_t>(*value))) : std::nullopt;
}
std::optional<std::uint64_t> parse_size(std::string_view text) { return parse_with_unit(text, kSizeUnits); }
std::string duration_text(Time time) {
  return format_with_unit(static_cast<std::uint64_t>(time.count()), kTimeUnits);
}
std::string size_text(std::uint64_t bytes) { return format_with_unit(bytes, kSizeUnits); }

std::string nearest(std::string_view word, const std::vector<std::string>& known) {
  const auto distance_to = [&](const std::string& other) { return edit_distance(word, other); };
  const auto best = std::ranges::min_element(known, {}, distance_to);
  return best != known.end() && distance_to(*best) <= std::max<std::size_t>(2, word.size() / 3) ? *best : "";
}

Section::Section(YAML::Node node, std::string file, std::string path)
    : node_(std::move(node)), file_(std::move(file)), path_(std::move(path)) {
  if (node_.IsDefined() && !node_.IsNull() && !node_.IsMap()) fail("", "expected a mapping");
}

Section Section::file(const std::string& path) {
  try {
    return {YAML::LoadFile(path), path, ""};
  } catch (const YAML::BadFile&) {
    throw Error(path + ":1:1: file: expected a readable file");
  } catch (const YAML::ParserException& error) {
    throw Error(fmt::format("{}:{}:{}: file: expected valid YAML ({})", path, error.mark.line + 1,
                            error.mark.column + 1, error.msg));
  }
}

Section Section::text(const std::string& yaml, const std::string& name) {
  try {
    return {YAML::Load(yaml), name, ""};
  } catch (const YAML::ParserException& error) {
    throw Error(fmt::format("{}:{}:{}: file: expected valid YAML ({})", name, error.mark.line + 1,
                            error.mark.column + 1, error.msg));
  }
}

void Section::fail(const std::string& key, const std::string& expected) const {
  YAML::Mark mark = node_.IsDefined() ? node_.Mark() : YAML::Mark();
  if (!key.empty() && node_.IsDefined() && node_.IsMap()) {
    const YAML::Node at = node_;
    if (at[key].IsDefined()) mark = at[key].Mark();
  }
  const auto field = key.empty() ? path_ : path_.empty() ? key : path_ + "." + key;
  throw Error(fmt::format("{}:{}:{}: {}: {}", file_, std::max(0, mark.line) + 1, std::max(0, mark.column) + 1,
                          field.empty() ? "file" : field, expected));
}

YAML::Node Section::get(const std::string& key) {
  read_keys_.push_back(key);
  if (!node_.IsDefined() || !node_.IsMap()) return YAML::Node(YAML::NodeType::Undefined);
  const YAML::Node at = node_;
  return at[key];
}

bool Section::has(const std::string& key) { return get(key).IsDefined(); }
Section::Shape Section::shape(const std::string& key) {
  const auto node = get(key);
  if (!node.IsDefined() || node.IsNull()) return Shape::none;
  return node.IsScalar() ? Shape::text : node.IsSequence() ? Shape::list : Shape::mapping;
}
std::vector<std::string> Section::keys() const {
  std::vector<std::string> all;
  if (node_.IsDefined() && node_.IsMap())
    for (const auto& entry : node_) all.push_back(entry.first.Scalar());
  return all;
}

template <class T>
T Section::scalar(const std::string& key, std::optional<T> fallback, const char* expected,
                  std::optional<T> (*parse)(std::string_view)) {
  const auto node = get(key);
  if (!node.IsDefined()) {
    if (fallback) return *fallback;
    fail(key, std::string("missing; ") + expected + " is needed");
  }
  if (!node.IsScalar()) fail(key, std::string("expected ") + expected);
  const auto value = parse(node.Scalar());
  if (!value) fail(key, fmt::format("expected {}, not \"{}\"", expected, node.Scalar()));
  return *value;
}

std::string Section::string(const std::string& key) {
  return scalar<std::string>(key, std::nullopt, "text", parse_string);
}
std::string Section::string(const std::string& key, const std::string& fallback) {
  return scalar<std::string>(key, fallback, "text", parse_string);
}
bool Section::boolean(const std::string& key, bool fallback) {
  return scalar<bool>(key, fallback, "true or false", parse_bool);
}
double Section::number(const std::string& key, double least, double most) {
  const double value = scalar<double>(key, std::nullopt, "a number", parse_number);
  if (value < least || value > most) fail(key, fmt::format("expected a number from {} to {}", least, most));
  return value;
}
double Section::number(const std::string& key, double fallback, double least, double most) {
  return has(key) ? number(key, least, most) : fallback;
}
std::uint64_t Section::count(const std::string& key, std::uint64_t least, std::uint64_t most) {
  const auto value = scalar<std::uint64_t>(key, std::nullopt, "a whole number", parse_count);
  if (value < least || value > most)
    fail(key, fmt::format("expected a whole number from {} to {}", least, most));
  return value;
}
std::uint64_t Section::count(const std::string& key, std::uint64_t fallback, std::uint64_t least,
                             std::uint64_t most) {
  return has(key) ? count(key, least, most) : fallback;
}
Time Section::duration(const std::string& key) {
  return scalar<Time>(key, std::nullopt, "a duration with its unit, such as 800ms", parse_duration);
}
Time Section::duration(const std::string& key, Time fallback) {
  return scalar<Time>(key, fallback, "a duration with its unit, such as 800ms", parse_duration);
}
std::uint64_t Section::size(const std::string& key, std::uint64_t fallback) {
  return scalar<std::uint64_t>(key, fallback, "a size with its unit, such as 64MiB", parse_size);
}
std::size_t Section::choice(const std::string& key, const std::vector<std::string>& among,
                            std::size_t fallback) {
  const auto value = string(key, among[fallback]);
  const auto found = std::ranges::find(among, value);
  if (found == among.end())
    fail(key, fmt::format("expected one of {}, not \"{}\"", fmt::join(among, ", "), value));
  return static_cast<std::size_t>(found - among.begin());
}
std::vector<std::string> Section::strings(const std::string& key) {
  const auto node = get(key);
  std::vector<std::string> all;
  if (!node.IsDefined()) return all;
  if (!node.IsSequence()) fail(key, "expected a list");
  for (const auto& entry : node) {
    if (!entry.IsScalar()) fail(key, "expected a list of texts");
    all.push_back(entry.Scalar());
  }
  return all;
}
Section Section::section(const std::string& key) {
  return {get(key), file_, path_.empty() ? key : path_ + "." + key};
}
std::vector<Section> Section::sections(const std::string& key) {
  const auto node = get(key);
  std::vector<Section> all;
  if (!node.IsDefined()) return all;
  if (!node.IsSequence()) fail(key, "expected a list");
  for (std::size_t i = 0; i < node.size(); ++i)
    all.push_back({node[i], file_, fmt::format("{}{}[{}]", path_.empty() ? "" : path_ + ".", key, i)});
  return all;
}
std::vector<std::pair<std::string, Section>> Section::named(const std::string& key) {
  auto inner = section(key);
  std::vector<std::pair<std::string, Section>> all;
  if (!inner.node_.IsDefined() || !inner.node_.IsMap()) return all;
  for (const auto& entry : inner.node_) {
    const auto name = entry.first.Scalar();
    all.emplace_back(name, inner.section(name));
  }
  return all;
}

std::string Section::text() const {
  YAML::Emitter out;
  out.SetMapFormat(YAML::Flow);
  out.SetSeqFormat(YAML::Flow);
  out << node_;
  return out.c_str();
}

void Section::close() {
  if (!node_.IsDefined() || !node_.IsMap()) return;
  for (const auto& entry : node_) {
    const auto key = entry.first.Scalar();
    if (std::ranges::count(read_keys_, key) > 0) continue;
    const auto near = nearest(key, read_keys_);
    fail(key,
         near.empty() ? "unknown key" : fmt::format("unknown key; the nearest known one is \"{}\"", near));
  }
}

}  // namespace heronwell::yaml
