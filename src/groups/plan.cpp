#include "groups/plan.hpp"

namespace heronwell::groups {

Plan Plan::read(yaml::Section& section) {
  if (section.has("file")) {
    auto plan = from_file(section.string("file"));
    section.close();
    return plan;
  }
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

Plan Plan::from_file(const std::string& path) {
  auto section = yaml::Section::file(path);
  if (section.has("file")) section.fail("file", "expected none within this file");
  auto plan = read(section);
  plan.file = path;
  return plan;
}

}  // namespace heronwell::groups
