// The decision engine's settings as operators write them: YAML, with units. The names of its keys are mapped
// to the members of Settings in settings_reader.cpp and nowhere else: the functions read_* and put_* have a
// key beside its member. Errors are yaml::Error with line, column, field and what was expected; what the
// decision engine itself finds to make no sense is reported by its constructor.
#pragma once

#include <string>
#include <vector>

#include "base/yaml.hpp"
#include "heronwell/decision_engine.hpp"

namespace heronwell::router {

// Reads the keys gateway, zones, kinds, classes, tenants, rules, allow, loads, cross_zone_price and
// over_share_worth of the file; leaves the others to the caller.
Settings read_settings(yaml::Section& file);

std::vector<std::string> class_names(const Settings& settings);
std::vector<std::string> tenant_names(const Settings& settings);

// Names of zones and machine types in the order of their numbers.
struct ConfiguredNames {
  std::vector<std::string> zones, machine_types;
};
ConfiguredNames read_names(yaml::Section& file);

// All settings in force, as YAML that read_settings() reads to the same.
std::string effective_settings_yaml(const Settings& settings, const ConfiguredNames& names);

}  // namespace heronwell::router
