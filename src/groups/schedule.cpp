#include "groups/schedule.hpp"

#include <date/tz.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <optional>

namespace heronwell::groups {
namespace {

using namespace std::chrono_literals;
const std::vector<std::string> kDays{"sun", "mon", "tue", "wed", "thu", "fri", "sat"};
constexpr Time kDay = 24h;
constexpr std::size_t kClockTimeLength = 5;  // length of "22:00"; a longer text is a date and time

// The same ranges as in tree.cpp.
constexpr double kMinWeight = 1e-3, kMaxWeight = 1e6;
constexpr double kMaxThreads = 1e7;

std::optional<int> digits(std::string_view text) {
  int value = 0;
  for (const char c : text) {
    if (c < '0' || c > '9') return std::nullopt;
    value = 10 * value + (c - '0');
  }
  return text.empty() ? std::nullopt : std::optional(value);
}

// Reads a time of day such as "22:00"; "24:00" is the end of the day.
std::optional<Time> clock_time(std::string_view text) {
  if (text.size() != 5 || text[2] != ':') return std::nullopt;
  const auto hour = digits(text.substr(0, 2)), minute = digits(text.substr(3));
  if (!hour || !minute || *minute > 59 || *hour * 60 + *minute > 24 * 60) return std::nullopt;
  return std::chrono::hours(*hour) + std::chrono::minutes(*minute);
}

// Reads a local date and time such as "2026-12-24T18:00", as time since 1970.
std::optional<Time> local_date_time(std::string_view text) {
  if (text.size() != 16 || text[4] != '-' || text[7] != '-' || text[10] != 'T') return std::nullopt;
  const auto year = digits(text.substr(0, 4)), month = digits(text.substr(5, 2)),
             day = digits(text.substr(8, 2));
  const auto time = clock_time(text.substr(11));
  if (!year || !month || !day || !time) return std::nullopt;
  const date::year_month_day found{date::year(*year), date::month(static_cast<unsigned>(*month)),
                                   date::day(static_cast<unsigned>(*day))};
  if (!found.ok()) return std::nullopt;
  return date::sys_days(found).time_since_epoch() + *time;
}

// Converts local time to UTC. A local time that a clock change skips becomes the time of the change; of a
// local time that occurs twice, the first one is used.
Time unix_of(const date::time_zone& zone, Time local) {
  const date::local_time<Time> at{local};
  return zone.to_sys(at, date::choose::earliest).time_since_epoch();
}

double interpolate(double from, double to, double level) {
  if (level >= 1) return to;
  if (level <= 0) return from;
  return std::isfinite(from) && std::isfinite(to) ? from + level * (to - from) : to;
}

}  // namespace

void Schedules::read_zone(yaml::Section& section, Window& window) {
  const auto zone = section.string("zone", "Etc/UTC");
  try {
    window.zone = date::locate_zone(zone);
    (void)unix_of(*window.zone, Time::zero());  // reads the zone data now rather than on first use
  } catch (const std::exception&) {
    section.fail("zone", fmt::format("expected a time zone such as Europe/Riga, not \"{}\"", zone));
  }
}

// Reads a daily window such as "22:00" to "06:00", or a single one between two dates.
void Schedules::read_times(yaml::Section& section, Window& window) {
  const auto from = section.string("from");
  const auto to = section.string("to");
  window.one_time = from.size() > kClockTimeLength;
  const auto first = window.one_time ? local_date_time(from) : clock_time(from);
  const auto last = window.one_time ? local_date_time(to) : clock_time(to);
  if (!first) section.fail("from", R"(expected a time such as "22:00" or "2026-12-24T18:00")");
  if (!last)
    section.fail("to", window.one_time ? "expected a date and time such as \"2026-12-27T00:00\""
                                       : "expected a time such as \"06:00\"");
  window.from = *first;
  window.to = *last;
  if (window.one_time && window.to <= window.from) section.fail("to", "expected a date and time after from");
  if (!window.one_time && window.to <= window.from) window.to += kDay;
}

void Schedules::read_days(yaml::Section& section, Window& window) {
  if (window.one_time && section.has("days"))
    section.fail("days", "expected none where from and to are dates");
  window.days.fill(!section.has("days"));
  if (window.one_time) return;
  for (const auto& day : section.strings("days")) {
    const auto found = std::ranges::find(kDays, day);
    if (found == kDays.end())
      section.fail("days", fmt::format("expected days among {}, not \"{}\"", fmt::join(kDays, ", "), day));
    window.days[static_cast<std::size_t>(found - kDays.begin())] = true;
  }
}

// Reads the values of one group while the window is active.
Schedules::GroupChange Schedules::read_change(yaml::Section& changes, const std::string& path,
                                              const Tree& tree) {
  const auto* group = tree.find(path);
  if (group == nullptr) changes.fail(path, "expected the path of a group");
  auto values = changes.section(path);
  GroupChange change{.target = {.path = path, .weight = {}, .min_threads = {}, .max_threads = {}},
                     .weight = group->weight,
                     .min_threads = group->min_threads,
                     .max_threads = group->max_threads};
  if (values.has("weight")) change.target.weight = values.number("weight", kMinWeight, kMaxWeight);
  if (values.has("min_threads")) change.target.min_threads = values.number("min_threads", 0, kMaxThreads);
  if (values.has("max_threads")) change.target.max_threads = values.number("max_threads", 0, kMaxThreads);
  if (!change.target.weight && !change.target.min_threads && !change.target.max_threads)
    changes.fail(path, "expected weight, min_threads or max_threads");
  if (change.target.min_threads.value_or(change.min_threads) >
      change.target.max_threads.value_or(change.max_threads))
    values.fail("min_threads", "expected at most max_threads");
  values.close();
  return change;
}

Schedules::Window Schedules::read_window(yaml::Section& section, const Tree& tree) {
  Window window;
  window.name = section.string("name");
  read_zone(section, window);
  read_times(section, window);
  read_days(section, window);
  window.ramp = section.duration("ramp", 0s);
  if (window.ramp > kDay) section.fail("ramp", "expected at most 24h");
  auto sets = section.section("set");
  if (sets.keys().empty()) section.fail("set", "expected groups with their settings");
  for (const auto& path : sets.keys()) window.changes.push_back(read_change(sets, path, tree));
  sets.close();
  section.close();
  return window;
}

Schedules Schedules::read(yaml::Section& section, const Tree& tree) {
  Schedules all;
  for (auto& one : section.sections("schedules")) all.windows_.push_back(read_window(one, tree));
  return all;
}

// Returns how far the window is active: it rises from 0 to 1 over the ramp after the begin, and falls over
// the ramp after the end.
double Schedules::level(const Window& window, Time unix) {
  const auto within = [&](Time from, Time to) {
    if (unix < from || unix >= to + window.ramp) return 0.0;
    const auto ramp_ratio = [&](Time since) {
      return window.ramp > Time::zero() ? std::min(1.0, std::chrono::duration<double>(since) / window.ramp)
                                        : 1.0;
    };
    const double reached = ramp_ratio(std::min(unix, to) - from);
    return unix < to ? reached : reached * (1 - ramp_ratio(unix - to));
  };
  if (window.one_time) return within(unix_of(*window.zone, window.from), unix_of(*window.zone, window.to));
  const auto local = window.zone->to_local(date::sys_time<Time>(unix)).time_since_epoch();
  const auto today = date::floor<date::days>(local);
  double max_level = 0;
  // A window of almost two days with a ramp of one day may still be active, and the local date may be a day
  // ahead.
  for (int back = -1; back <= 3; ++back) {
    const auto day = today - date::days(back);
    const date::weekday week{date::local_days(day)};
    if (!window.days[week.c_encoding()]) continue;
    max_level = std::max(
        max_level, within(unix_of(*window.zone, day + window.from), unix_of(*window.zone, day + window.to)));
  }
  return max_level;
}

std::vector<Shares::Override> Schedules::overrides_at(Time unix) const {
  std::map<std::string, Shares::Override> by_path;
  for (const auto& window : windows_) {
    const double active_level = level(window, unix);
    if (active_level <= 0) continue;
    for (const auto& change : window.changes) {
      auto& one = by_path[change.target.path];
      one.path = change.target.path;
      if (change.target.weight)
        one.weight = interpolate(one.weight.value_or(change.weight), *change.target.weight, active_level);
      if (change.target.min_threads)
        one.min_threads = interpolate(one.min_threads.value_or(change.min_threads),
                                      *change.target.min_threads, active_level);
      if (change.target.max_threads)
        one.max_threads = interpolate(one.max_threads.value_or(change.max_threads),
                                      *change.target.max_threads, active_level);
    }
  }
  std::vector<Shares::Override> all;
  all.reserve(by_path.size());
  for (auto& [path, one] : by_path) all.push_back(std::move(one));
  return all;
}

std::vector<std::string> Schedules::active_names(Time unix) const {
  std::vector<std::string> names;
  for (const auto& window : windows_) {
    const double active_level = level(window, unix);
    if (active_level >= 1) names.push_back(window.name);
    if (active_level > 0 && active_level < 1)
      names.push_back(fmt::format("{} {:.0f}%", window.name, 100 * active_level));
  }
  return names;
}

}  // namespace heronwell::groups
