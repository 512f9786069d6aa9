// Schedules: weights and thread limits that change by local time. Wall-clock time is handed in; the zones
// come from the system's time zone database, which is read with the configuration. A clock that steps changes
// what is in force and nothing else, since nothing is remembered between two looks.
//
//   schedules:
//     - {name: nights, days: [mon, tue, wed, thu, fri], from: "22:00", to: "06:00", zone: Europe/Riga, ramp:
//     10min,
//        set: {reports: {weight: 8}}}
//     - {name: fair, from: "2026-12-24T18:00", to: "2026-12-27T00:00", zone: Europe/Riga,
//        set: {reports.daily: {max_threads: 4}}}
#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "base/yaml.hpp"
#include "groups/shares.hpp"

namespace date {
class time_zone;
}

namespace heronwell::groups {

class Schedules {
 public:
  // Reads "schedules" of a section. Throws yaml::Error: unknown groups, zones, days and times; a window that
  // ends before it begins; minima over ceilings.
  static Schedules read(yaml::Section& section, const Tree& tree);

  // What is in force at a moment of the wall clock, since 1970 UTC. Of two windows that set the same, the one
  // written later holds.
  [[nodiscard]] std::vector<Shares::Override> overrides_at(Time unix) const;
  // For people: the names of those in force, "nights" or, within a ramp, "nights 40%".
  [[nodiscard]] std::vector<std::string> active_names(Time unix) const;
  [[nodiscard]] bool empty() const { return windows_.empty(); }

 private:
  struct GroupChange {
    Shares::Override target;
    double weight = 1, min_threads = 0, max_threads = 0;  // as the tree has them
  };
  struct Window {
    std::string name;
    const date::time_zone* zone = nullptr;
    bool one_time = false;
    std::array<bool, 7> days{};  // from Sunday, on which it begins
    Time from{}, to{};           // local: of the day, or, once, since 1970
    Time ramp{};
    std::vector<GroupChange> changes;
  };
  static Window read_window(yaml::Section& section, const Tree& tree);
  static void read_zone(yaml::Section& section, Window& window);
  static void read_times(yaml::Section& section, Window& window);
  static void read_days(yaml::Section& section, Window& window);
  static GroupChange read_change(yaml::Section& changes, const std::string& path, const Tree& tree);
  [[nodiscard]] static double level(const Window& window, Time unix);  // 0 to 1

  std::vector<Window> windows_;
};

}  // namespace heronwell::groups
