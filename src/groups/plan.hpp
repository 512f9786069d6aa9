// What an operator writes about groups, read and checked whole: the tree, who belongs where, schedules, and
// how shares are kept. docs/operators/groups.md explains each key.
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
  std::string text;  // as written, in one line of YAML
  std::string file;  // where it stands by itself, to be read again when it changes; "": in the configuration

  // Throws yaml::Error.
  static Plan read(yaml::Section& section);
};

}  // namespace heronwell::groups
