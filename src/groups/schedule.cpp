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

std::optional<int> digits(std::string_view text) {
  int value = 0;
  for (const char c : text) {
    if (c < '0' || c > '9') return std::nullopt;
    value = 10 * value + (c - '0');
  }
  return text.empty() ? std::nullopt : std::optional(value);
}

// "22:00", of a day; "24:00" is its end.
std::optional<Time> clock_time(std::string_view text) {
  if (text.size() != 5 || text[2] != ':') return std::nullopt;
  const auto hour = digits(text.substr(0, 2)), minute = digits(text.substr(3));
  if (!hour || !minute || *minute > 59 || *hour * 60 + *minute > 24 * 60) return std::nullopt;
  return std::chrono::hours(*hour) + std::chrono::minutes(*minute);
}

// "2026-12-24T18:00", local, since 1970.
std::optional<Time> moment(std::string_view text) {
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

// A local time that a change of clocks skips is the moment of the change; one that comes twice, the first.
Time unix_of(const date::time_zone& zone, Time local) {
  const date::local_time<Time> at{local};
  return zone.to_sys(at, date::choose::earliest).time_since_epoch();
}

double between(double written, double set, double level) {
  if (level >= 1) return set;
  if (level <= 0) return written;
  return std::isfinite(written) && std::isfinite(set) ? written + level * (set - written) : set;
}

}  // namespace

Schedules Schedules::read(yaml::Section& section, const Tree& tree) {
  Schedules all;
  for (auto& one : section.sections("schedules")) {
    Window window;
    window.name = one.string("name");
    const auto zone = one.string("zone", "Etc/UTC");
    try {
      window.zone = date::locate_zone(zone);
      (void)unix_of(*window.zone, Time::zero());  // read now, not when it is first needed
    } catch (const std::exception&) {
      one.fail("zone", fmt::format("expected a time zone such as Europe/Riga, not \"{}\"", zone));
    }
    const auto from = one.string("from"), to = one.string("to");
    window.once = from.size() > 5;
    const auto first = window.once ? moment(from) : clock_time(from);
    const auto last = window.once ? moment(to) : clock_time(to);
    if (!first) one.fail("from", "expected a time such as \"22:00\" or \"2026-12-24T18:00\"");
    if (!last)
      one.fail("to", window.once ? "expected a moment such as \"2026-12-27T00:00\""
                                 : "expected a time such as \"06:00\"");
    window.from = *first;
    window.to = *last;
    if (window.once && window.to <= window.from) one.fail("to", "expected a moment after from");
    if (!window.once && window.to <= window.from) window.to += kDay;
    if (window.once && one.has("days")) one.fail("days", "expected none beside moments");
    window.days.fill(!one.has("days"));
    for (const auto& day : window.once ? std::vector<std::string>() : one.strings("days")) {
      const auto found = std::ranges::find(kDays, day);
      if (found == kDays.end())
        one.fail("days", fmt::format("expected days among {}, not \"{}\"", fmt::join(kDays, ", "), day));
      window.days[static_cast<std::size_t>(found - kDays.begin())] = true;
    }
    window.ramp = one.duration("ramp", 0s);
    if (window.ramp > kDay) one.fail("ramp", "expected at most 24h");
    auto sets = one.section("set");
    if (sets.keys().empty()) one.fail("set", "expected groups with what they get");
    for (const auto& path : sets.keys()) {
      const auto* group = tree.find(path);
      if (group == nullptr) sets.fail(path, "expected the path of a group");
      auto what = sets.section(path);
      Set set{{path, std::nullopt, std::nullopt, std::nullopt},
              group->weight,
              group->min_threads,
              group->max_threads};
      if (what.has("weight")) set.to.weight = what.number("weight", 1e-3, 1e6);
      if (what.has("min_threads")) set.to.min_threads = what.number("min_threads", 0, 1e7);
      if (what.has("max_threads")) set.to.max_threads = what.number("max_threads", 0, 1e7);
      if (!set.to.weight && !set.to.min_threads && !set.to.max_threads)
        sets.fail(path, "expected weight, min_threads or max_threads");
      if (set.to.min_threads.value_or(set.min_threads) > set.to.max_threads.value_or(set.max_threads))
        what.fail("min_threads", "expected at most max_threads");
      what.close();
      window.sets.push_back(std::move(set));
    }
    sets.close();
    one.close();
    all.windows_.push_back(std::move(window));
  }
  return all;
}

// Rises over the ramp after the window's begin, and falls over it after the end.
double Schedules::level(const Window& window, Time unix) {
  const auto within = [&](Time from, Time to) {
    if (unix < from || unix >= to + window.ramp) return 0.0;
    const auto part = [&](Time since) {
      return window.ramp > Time::zero() ? std::min(1.0, std::chrono::duration<double>(since) / window.ramp)
                                        : 1.0;
    };
    const double reached = part(std::min(unix, to) - from);
    return unix < to ? reached : reached * (1 - part(unix - to));
  };
  if (window.once) return within(unix_of(*window.zone, window.from), unix_of(*window.zone, window.to));
  const auto local = window.zone->to_local(date::sys_time<Time>(unix)).time_since_epoch();
  const auto today = date::floor<date::days>(local);
  double most = 0;
  for (int back = -1; back <= 3; ++back) {  // a window of nearly two days and a ramp of one may still act
    const auto day = today - date::days(back);
    const date::weekday week{date::local_days(day)};
    if (!window.days[week.c_encoding()]) continue;
    most = std::max(most,
                    within(unix_of(*window.zone, day + window.from), unix_of(*window.zone, day + window.to)));
  }
  return most;
}

std::vector<Shares::Override> Schedules::at(Time unix) const {
  std::map<std::string, Shares::Override> by_path;
  for (const auto& window : windows_) {
    const double part = level(window, unix);
    if (part <= 0) continue;
    for (const auto& set : window.sets) {
      auto& one = by_path[set.to.path];
      one.path = set.to.path;
      if (set.to.weight) one.weight = between(one.weight.value_or(set.weight), *set.to.weight, part);
      if (set.to.min_threads)
        one.min_threads = between(one.min_threads.value_or(set.min_threads), *set.to.min_threads, part);
      if (set.to.max_threads)
        one.max_threads = between(one.max_threads.value_or(set.max_threads), *set.to.max_threads, part);
    }
  }
  std::vector<Shares::Override> all;
  for (auto& [path, one] : by_path) all.push_back(std::move(one));
  return all;
}

std::vector<std::string> Schedules::in_force(Time unix) const {
  std::vector<std::string> names;
  for (const auto& window : windows_) {
    const double part = level(window, unix);
    if (part >= 1) names.push_back(window.name);
    if (part > 0 && part < 1) names.push_back(fmt::format("{} {:.0f}%", window.name, 100 * part));
  }
  return names;
}

}  // namespace heronwell::groups
