#include "experiment/plan.hpp"

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

namespace heronwell::experiment {
namespace {

constexpr std::size_t kMostRuns = 1'000'000;

Axis read_axis(yaml::Section& section) {
  Axis axis;
  axis.name = section.string("name");
  for (auto& point : section.sections("points")) {
    Point one;
    one.name = point.string("name");
    one.x = point.number("x", static_cast<double>(axis.points.size()), -1e12, 1e12);
    auto set = point.section("set");
    for (const auto& path : set.keys()) one.set.emplace_back(path, set.string(path));
    set.close();
    point.close();
    for (const auto& other : axis.points)
      if (other.name == one.name) point.fail("name", "expected a name that no other point of the axis has");
    axis.points.push_back(std::move(one));
  }
  if (axis.points.empty()) section.fail("points", "missing; at least one");
  section.close();
  return axis;
}

// Sets a.b.c of a tree of mappings; what is not there is made, and checked when the day is read.
void put(YAML::Node node, std::string_view path, const std::string& value) {
  const auto dot = path.find('.');
  const std::string key(path.substr(0, dot));
  if (dot == std::string_view::npos) {
    node[key] = YAML::Load(value);
    return;
  }
  if (!node[key].IsDefined()) node[key] = YAML::Node(YAML::NodeType::Map);
  put(node[key], path.substr(dot + 1), value);
}

}  // namespace

Plan read_plan(const std::string& path) {
  auto file = yaml::Section::file(path);
  Plan plan;
  plan.file = path;
  std::ifstream stream(path, std::ios::binary);
  plan.text = {std::istreambuf_iterator<char>(stream), {}};
  auto head = file.section("experiment");
  plan.name = head.string("name");
  plan.about = head.string("about", "");
  plan.fast = head.choice("fidelity", {"full", "fast"}, 1) == 1;
  plan.seeds = head.count("seeds", 1, 1, 10'000);
  plan.first_seed = head.count("first_seed", 1, 0, UINT32_MAX);
  head.close();
  const auto folder = std::filesystem::path(path).parent_path();
  for (auto& [name, section] : file.named("sites")) {
    plan.sites.push_back({name, (folder / section.string("day")).string()});
    section.close();
  }
  if (plan.sites.empty()) file.fail("sites", "missing; at least one");
  for (const auto& name : file.strings("policies")) {
    const auto policy = emulator::policy_of(name);
    if (!policy) file.fail("policies", "expected a policy, not \"" + name + "\"");
    plan.policies.push_back(*policy);
  }
  if (plan.policies.empty()) plan.policies.push_back(emulator::Policy::heronwell);
  for (auto& section : file.sections("axes")) plan.axes.push_back(read_axis(section));
  std::size_t runs = plan.sites.size() * plan.policies.size() * plan.seeds;
  for (const auto& axis : plan.axes) runs = std::min(kMostRuns + 1, runs * axis.points.size());
  if (runs > kMostRuns) file.fail("axes", fmt::format("expected {} runs at most", kMostRuns));
  file.close();
  for (const auto& run : runs_of(plan))
    if (run.seed == plan.first_seed && run.policy == plan.policies.front()) (void)day_of(plan, run);
  return plan;
}

std::vector<Run> runs_of(const Plan& plan) {
  std::vector<Run> runs;
  for (std::uint64_t seed = 0; seed < plan.seeds; ++seed)
    for (std::size_t site = 0; site < plan.sites.size(); ++site) {
      std::vector<std::size_t> points(plan.axes.size(), 0);
      for (bool more = true; more;) {
        for (const auto policy : plan.policies)
          runs.push_back({site, policy, points, plan.first_seed + seed});
        more = false;
        for (std::size_t a = plan.axes.size(); a-- > 0 && !more;) {
          more = ++points[a] < plan.axes[a].points.size();
          if (!more) points[a] = 0;
        }
      }
    }
  return runs;
}

std::string point_of(const Plan& plan, const Run& run) {
  std::string out;
  for (std::size_t a = 0; a < plan.axes.size(); ++a)
    out += fmt::format("{}{}={}", out.empty() ? "" : " ", plan.axes[a].name,
                       plan.axes[a].points[run.points[a]].name);
  return out;
}

double x_of(const Plan& plan, const Run& run) {
  return plan.axes.empty() ? 0 : plan.axes[0].points[run.points[0]].x;
}

rehearsal::Day day_of(const Plan& plan, const Run& run) {
  const auto& site = plan.sites[run.site];
  (void)yaml::Section::file(site.file);  // its errors have places
  auto yaml = YAML::LoadFile(site.file);
  for (std::size_t a = 0; a < plan.axes.size(); ++a)
    for (const auto& [path, value] : plan.axes[a].points[run.points[a]].set) put(yaml, path, value);
  yaml["day"]["seed"] = run.seed;
  const auto point = point_of(plan, run);
  return rehearsal::read_day_text(YAML::Dump(yaml), site.file + (point.empty() ? "" : " with " + point));
}

}  // namespace heronwell::experiment
