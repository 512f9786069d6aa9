// Schedules change weights and thread limits of groups by local time. The caller passes the wall-clock time;
// the time zones come from the system's time zone database, which is read together with the configuration. No
// state is kept between two calls, so a step of the clock changes only which windows are active.
//
//   schedules:
//     - {name: nights, days: [mon, tue, wed, thu, fri], from: "22:00", to: "06:00", zone: Europe/Riga,
//        ramp: 10min, set: {reports: {weight: 8}}}
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
  // Reads the key "schedules" of a section. Throws yaml::Error for unknown groups, zones, days and times, for
  // a window that ends before it begins, and for a minimum above its ceiling.
  static Schedules read(yaml::Section& section, const Tree& tree);

  // Returns the overrides that are active at a wall-clock time, given as time since 1970 UTC. If two windows
  // set the same value, the later one in the configuration takes precedence.
  [[nodiscard]] std::vector<Shares::Override> overrides_at(Time unix) const;
  // Returns the names of the active windows for display: "nights" or, during a ramp, "nights 40%".
  [[nodiscard]] std::vector<std::string> active_names(Time unix) const;
  [[nodiscard]] bool empty() const { return windows_.empty(); }

 private:
  struct GroupChange {
    Shares::Override target;
    double weight = 1, min_threads = 0, max_threads = 0;  // the values in the tree
  };
  struct Window {
    std::string name;
    const date::time_zone* zone = nullptr;
    bool one_time = false;
    std::array<bool, 7> days{};  // days on which the window begins, from Sunday
    Time from{}, to{};           // local time: since midnight or, if one_time, since 1970
    Time ramp{};
    std::vector<GroupChange> changes;
  };
  static Window read_window(yaml::Section& section, const Tree& tree);
  static void read_zone(yaml::Section& section, Window& window);
  static void read_times(yaml::Section& section, Window& window);
  static void read_days(yaml::Section& section, Window& window);
  static GroupChange read_change(yaml::Section& changes, const std::string& path, const Tree& tree);
  [[nodiscard]] static double level(const Window& window, Time unix);  // 0 (inactive) to 1 (fully active)

  std::vector<Window> windows_;
};

}  // namespace heronwell::groups
