#include "groups/plan.hpp"

namespace heronwell::groups {

Plan Plan::read(yaml::Section& section) {
  Plan plan;
  plan.text = section.text();
  plan.tree = Tree::read(section);
  if (plan.tree.groups().size() < 2) section.fail("groups", "missing; at least one group is needed");
  plan.selectors = Selectors::read(section, &plan.tree);
  plan.schedules = Schedules::read(section, plan.tree);
  plan.settings = ShareSettings::read(section);
  section.close();
  return plan;
}

}  // namespace heronwell::groups
