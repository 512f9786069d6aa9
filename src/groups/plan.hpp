// Plan is the operator's configuration of resource groups: the tree, the selectors, the schedules and the
// settings of the shares. It is read and validated as a whole. docs/operators/groups.md explains each key.
#pragma once

#include <string>

#include "groups/schedule.hpp"
#include "groups/selector.hpp"
#include "groups/shares.hpp"
#include "groups/tree.hpp"

namespace heronwell::groups {

struct Plan {
  Tree tree;
  Selectors selectors;
  Schedules schedules;
  ShareSettings settings;
  std::string text;  // the configuration text, in one line of YAML
  std::string file;  // its own file, re-read on change; "": part of the router configuration

  // Throws yaml::Error.
  static Plan read(yaml::Section& section);
};

}  // namespace heronwell::groups
