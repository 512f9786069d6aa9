// Reads the decision engine's settings from the YAML file that operators write, and writes them back. Values
// have units. The names of the YAML keys are mapped to the members of Settings only in settings_reader.cpp,
// by the functions read_* and put_*. The functions here throw yaml::Error with the line, column and field and
// what was expected. The constructor of the decision engine checks whether the values are consistent.
#pragma once

#include <string>
#include <vector>

#include "base/yaml.hpp"
#include "heronwell/decision_engine.hpp"

namespace heronwell::router {

// Reads the keys gateway, zones, kinds, classes, tenants, rules, allow, loads, cross_zone_price and
// over_share_worth of the file. The caller reads the other keys.
Settings read_settings(yaml::Section& file);

std::vector<std::string> class_names(const Settings& settings);
std::vector<std::string> tenant_names(const Settings& settings);

// Names of the configured zones and machine types. The index of a name is the number of its zone or type.
struct ConfiguredNames {
  std::vector<std::string> zones, machine_types;
};
ConfiguredNames read_names(yaml::Section& file);

// Returns the settings in effect, as YAML from which read_settings() reads the same values.
std::string effective_settings_yaml(const Settings& settings, const ConfiguredNames& names);

}  // namespace heronwell::router
