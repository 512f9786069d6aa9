#include "groups/tree.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>

namespace heronwell::groups {
namespace {

// More threads than any fleet has; a larger value is most likely a typing error.
constexpr double kMaxThreads = 1e7;
// A ratio of a billion to one allows finer shares than engines can provide.
constexpr double kMinWeight = 1e-3, kMaxWeight = 1e6;
// Maximum length of a group's name, so that paths stay readable in metrics and logs.
constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxQueued = 1'000'000'000;  // requests: more than any router has memory for
constexpr double kBytesPerMb = 1 << 20;

const std::vector<std::string> kPolicies{"fair", "strict", "first_come"};

bool valid_name(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameBytes && std::ranges::all_of(name, [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_' || c == '-';
  });
}

}  // namespace

Tree::Tree() : groups_(1) {}

std::size_t Tree::append(std::size_t parent, const std::string& name) {
  Group group;
  group.name = name;
  group.path = parent == 0 ? name : groups_[parent].path + "." + name;
  group.parent = parent;
  group.depth = groups_[parent].depth + 1;
  const auto number = groups_.size();
  by_path_.emplace(group.path, number);
  groups_[parent].children.push_back(number);
  groups_.push_back(std::move(group));
  return number;
}

const Group* Tree::find(std::string_view path) const {
  const auto found = by_path_.find(path);
  return found == by_path_.end() ? nullptr : &groups_[found->second];
}

const Group* Tree::add(std::string_view path) {
  const auto dot = path.rfind('.');
  const auto name = dot == std::string_view::npos ? path : path.substr(dot + 1);
  std::size_t parent = 0;
  if (dot != std::string_view::npos) {
    const auto* found = find(path.substr(0, dot));
    if (found == nullptr) return nullptr;
    parent = index(*found);
  }
  if (!valid_name(name) || find(path) != nullptr || groups_.size() >= kMaxGroups ||
      groups_[parent].depth + 1 > kMaxDepth)
    return nullptr;
  return &groups_[append(parent, std::string(name))];
}

Tree Tree::read(yaml::Section& section) {
  Tree tree;
  tree.groups_[0].policy = static_cast<Policy>(section.choice("policy", kPolicies, 0));
  tree.read_children(section, 0);
  return tree;
}

void Tree::read_children(yaml::Section& section, std::size_t parent) {
  double minima = 0;
  for (auto& [name, one] : section.named("groups")) {
    if (!valid_name(name)) one.fail("", "expected a name of at most 64 letters, digits, _ and -");
    if (groups_[parent].depth + 1 > kMaxDepth)
      one.fail("", fmt::format("expected at most {} levels", kMaxDepth));
    if (groups_.size() >= kMaxGroups) one.fail("", fmt::format("expected at most {} groups", kMaxGroups));
    const auto number = append(parent, name);
    auto& group = groups_[number];
    group.policy = static_cast<Policy>(one.choice("policy", kPolicies, 0));
    group.previous_path = one.string("was", "");
    group.weight = one.number("weight", 1, kMinWeight, kMaxWeight);
    group.min_threads = one.number("min_threads", 0, 0, kMaxThreads);
    if (one.has("max_threads")) group.max_threads = one.number("max_threads", 0, kMaxThreads);
    if (group.min_threads > group.max_threads) one.fail("min_threads", "expected at most max_threads");
    if (one.has("max_memory"))
      group.max_memory_mb = static_cast<double>(one.size("max_memory", 0)) / kBytesPerMb;
    if (one.has("max_queued")) group.max_queued = one.count("max_queued", 0, kMaxQueued);
    if (one.has("longest_wait")) group.longest_wait = one.duration("longest_wait");
    if (one.has("query_work")) group.query_work = one.duration("query_work");
    if (one.has("query_time")) group.query_time = one.duration("query_time");
    if (one.has("query_memory"))
      group.query_memory_mb = static_cast<double>(one.size("query_memory", 0)) / kBytesPerMb;
    minima += group.min_threads;
    if (minima > groups_[parent].max_threads)
      one.fail(
          "min_threads",
          fmt::format("the minima of these groups sum to {}, more than the max_threads {} of their parent",
                      minima, groups_[parent].max_threads));
    read_children(one, number);
    one.close();
  }
}

// Each result is clamp(weight x level, floor, want), with the level at which the results sum to `amount`. The
// level is found by a sweep over the points at which a result starts or stops to grow with it.
std::vector<double> fill(double amount, const std::vector<SiblingDemand>& demands) {
  std::vector<double> given(demands.size());
  double floors = 0, wants = 0;
  for (const auto& c : demands) {
    floors += std::min(c.floor, c.want);
    wants += c.want;
  }
  if (wants <= amount) {
    for (std::size_t i = 0; i < demands.size(); ++i) given[i] = demands[i].want;
    return given;
  }
  if (floors >= amount) {
    for (std::size_t i = 0; i < demands.size(); ++i)
      given[i] = floors > 0 ? std::min(demands[i].floor, demands[i].want) * amount / floors : 0;
    return given;
  }
  struct Point {
    double level, weight;  // weight whose growth starts there or, if negative, stops there
  };
  std::vector<Point> points;
  for (const auto& c : demands) {
    const auto floor = std::min(c.floor, c.want);
    if (c.want <= floor) continue;
    points.push_back({floor / c.weight, c.weight});
    points.push_back({c.want / c.weight, -c.weight});
  }
  std::ranges::sort(points, [](const Point& a, const Point& b) { return a.level < b.level; });
  double level = 0, sum = floors, growing = 0;
  for (const auto& point : points) {
    const double more = growing * (point.level - level);
    if (sum + more >= amount) break;
    sum += more;
    level = point.level;
    growing += point.weight;
  }
  if (growing > 0) level += (amount - sum) / growing;
  for (std::size_t i = 0; i < demands.size(); ++i)
    given[i] =
        std::clamp(demands[i].weight * level, std::min(demands[i].floor, demands[i].want), demands[i].want);
  return given;
}

namespace {

// Serves the floors first, then each demand in the configured order.
std::vector<double> fill_in_order(double amount, const std::vector<SiblingDemand>& demands) {
  std::vector<double> given(demands.size());
  double left = amount;
  const double floors =
      std::accumulate(demands.begin(), demands.end(), 0.0,
                      [](double sum, const SiblingDemand& demand) { return sum + demand.floor; });
  const double scale = floors > left ? left / floors : 1;
  left -= floors * scale;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    const double floor = demands[i].floor * scale;
    const double more = std::max(0.0, std::min(left, demands[i].want - floor));
    given[i] = floor + more;
    left -= more;
  }
  return given;
}

}  // namespace

std::vector<double> divide(const Tree& tree, double threads, const std::vector<double>& wanted) {
  const auto& groups = tree.groups();
  // Sums the demand from the leaves up, limited by each ceiling. Children have higher numbers than their
  // parents.
  std::vector<double> want(groups.size()), given(groups.size());
  for (auto i = groups.size(); i-- > 0;) {
    const auto& group = groups[i];
    if (group.children.empty() && i < wanted.size()) want[i] = std::max(0.0, wanted[i]);
    want[i] = std::min(want[i], group.max_threads);
    if (i > 0) want[group.parent] += want[i];
  }
  given[0] = std::min(std::max(0.0, threads), want[0]);
  std::vector<SiblingDemand> demands;
  for (std::size_t i = 0; i < groups.size(); ++i) {
    const auto& group = groups[i];
    if (group.children.empty()) continue;
    demands.clear();
    for (const auto child : group.children) {
      const auto& c = groups[child];
      const double weight = group.policy == Policy::first_come ? std::max(want[child], 1e-9) : c.weight;
      demands.push_back({weight, std::min(c.min_threads, want[child]), want[child]});
    }
    const auto parts =
        group.policy == Policy::strict ? fill_in_order(given[i], demands) : fill(given[i], demands);
    for (std::size_t n = 0; n < parts.size(); ++n) given[group.children[n]] = parts[n];
  }
  return given;
}

}  // namespace heronwell::groups
