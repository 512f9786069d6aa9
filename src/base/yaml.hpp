// Reads typed settings from YAML. Each error names the file, line, column, field and what was expected. Units
// are part of a value ("800ms", "64MiB"). A key that was not read is an error that names the most similar
// known key, so that a misspelt setting is never silently ignored.
#pragma once

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"

namespace heronwell::yaml {

// An error in a setting. Its message is one line, "FILE:LINE:COLUMN: FIELD: what was expected".
struct Error : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Parses a duration with its unit, such as "250us", "800ms", "2s", "5min" or "1h". Returns nullopt if `text`
// is not a duration. A sign or a missing unit is not accepted.
std::optional<Time> parse_duration(std::string_view text);
// Parses a size in bytes with its unit, such as "512B", "64KiB", "16MiB" or "2GiB". Returns nullopt if `text`
// is not a size.
std::optional<std::uint64_t> parse_size(std::string_view text);
// Write the value in the largest unit that divides it, so that parse_duration() and parse_size() return the
// same value again.
std::string duration_text(Time time);
std::string size_text(std::uint64_t bytes);
// Returns the known word that `word` is most likely a misspelling of, by edit distance; an empty string if no
// known word is similar enough.
std::string nearest(std::string_view word, const std::vector<std::string>& known);

// A YAML mapping whose keys are read one by one; close() rejects keys that were not read. A getter of a
// single value without a `fallback` throws Error if the key is missing. Each getter throws Error if the value
// has another type or is out of range.
class Section {
 public:
  // Reads the document in a file. Throws Error if the file cannot be read or is not a YAML mapping.
  // An empty document is an empty mapping.
  static Section file(const std::string& path);
  // Reads the document in the string `yaml`; error messages give `name` as the name of the file.
  static Section text(const std::string& yaml, const std::string& name);

  // Whether the key is present. Also marks it as read.
  [[nodiscard]] bool has(const std::string& key);
  // The kind of value that the key has; `none` if the key is missing or its value is null. Marks it as read.
  enum class Shape { none, text, list, mapping };
  [[nodiscard]] Shape shape(const std::string& key);
  [[nodiscard]] std::vector<std::string> keys() const;  // in the order in which the file has them
  // `number` and `count` accept values from `least` to `most`, both included.
  std::string string(const std::string& key);
  std::string string(const std::string& key, const std::string& fallback);
  bool boolean(const std::string& key, bool fallback);
  double number(const std::string& key, double least, double most);
  double number(const std::string& key, double fallback, double least, double most);
  std::uint64_t count(const std::string& key, std::uint64_t least, std::uint64_t most);
  std::uint64_t count(const std::string& key, std::uint64_t fallback, std::uint64_t least,
                      std::uint64_t most);
  Time duration(const std::string& key);
  Time duration(const std::string& key, Time fallback);
  std::uint64_t size(const std::string& key, std::uint64_t fallback);
  // Returns the index of the value in `among`; throws Error if the value is not one of them.
  std::size_t choice(const std::string& key, const std::vector<std::string>& among, std::size_t fallback);
  std::vector<std::string> strings(const std::string& key);
  Section section(const std::string& key);                // empty if the key is missing
  std::vector<Section> sections(const std::string& key);  // a list of mappings; empty if missing
  // A mapping of names to mappings; empty if the key is missing.
  std::vector<std::pair<std::string, Section>> named(const std::string& key);

  [[nodiscard]] std::string text() const;  // the section as YAML in flow style, on one line
  // Throws Error for the first key that was not read.
  void close();
  // Throws Error with the line and column of `key`, or of the section itself if `key` is empty.
  [[noreturn]] void fail(const std::string& key, const std::string& expected) const;
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  Section(YAML::Node node, std::string file, std::string path);
  YAML::Node get(const std::string& key);
  template <class T>
  T scalar(const std::string& key, std::optional<T> fallback, const char* expected,
           std::optional<T> (*parse)(std::string_view));

  YAML::Node node_;
  std::string file_, path_;
  std::vector<std::string> read_keys_;
};

}  // namespace heronwell::yaml
