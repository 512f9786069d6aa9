#include "path/engine_notices.hpp"

#include <array>
#include <charconv>

namespace heronwell::path {
namespace {

// AttemptProgress::amount of a statement that is waiting for memory, or for its data group to be loaded.
constexpr double kWaitsForMemory = 1.0, kWaitsForLoad = 2.0;
constexpr double kNanosecondsPerMillisecond = 1e6;

double number_in(std::string_view text) {
  double value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

// Calls `visit` with the key and the value of each "key=value" pair; pairs are separated by single spaces.
void for_each_pair(std::string_view text, auto visit) {
  while (!text.empty()) {
    const auto space = text.find(' ');
    const auto word = text.substr(0, space);
    const auto equals = word.find('=');
    if (equals != std::string_view::npos) visit(word.substr(0, equals), word.substr(equals + 1));
    if (space == std::string_view::npos) return;
    text.remove_prefix(space + 1);
  }
}

std::string_view load_field_name(LoadField field) {
  constexpr std::array<std::string_view, 8> kNames{"inflight", "queue",  "util",         "latency_ms",
                                                   "served",   "failed", "memory_share", "disk_share"};
  const auto index = static_cast<std::size_t>(field);
  return index < kNames.size() ? kNames[index] : "";
}

CostNotice read_cost(std::string_view text) {
  CostNotice cost;
  for_each_pair(text, [&cost](std::string_view key, std::string_view value) {
    if (key == "work_ms")
      cost.work = Time(static_cast<std::int64_t>(number_in(value) * kNanosecondsPerMillisecond));
    if (key == "memory_mb") cost.memory_mb = number_in(value);
  });
  return cost;
}

}  // namespace

EngineNotice read_notice(const sql::ErrorText& notice) {
  if (notice.code == "01H01") return ProgressNotice{ProgressKind::progress, number_in(notice.message)};
  if (notice.code == "01H02") return ProgressNotice{ProgressKind::spill, number_in(notice.message)};
  if (notice.code == "01H03")
    return ProgressNotice{ProgressKind::waiting, notice.message == "load" ? kWaitsForLoad : kWaitsForMemory};
  if (notice.code == "01H04") return read_cost(notice.message);
  return {};
}

std::vector<double> read_load_parameter(std::string_view value, const std::vector<LoadField>& fields) {
  std::vector<double> load(fields.size(), 0);
  for_each_pair(value, [&](std::string_view key, std::string_view figure) {
    for (std::size_t i = 0; i < fields.size(); ++i)
      if (load_field_name(fields[i]) == key) load[i] = number_in(figure);
  });
  return load;
}

}  // namespace heronwell::path
