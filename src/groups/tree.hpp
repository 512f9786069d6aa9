// The tree of resource groups and the division of engine threads among those who want some. No I/O, no clock.
//
//   groups:
//     reports: {weight: 2, max_threads: 40, policy: strict, groups: {daily: {}, adhoc: {max_queued: 20}}}
//     lookups: {weight: 5, min_threads: 16}
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"
#include "base/yaml.hpp"

namespace heronwell::groups {

enum class Policy { fair, strict, first_come };  // among children: by weight; in the order written; by demand

struct Group {
  std::string name, path;     // path: names between dots, without the root's
  std::string previous_path;  // its path before a reload moved or renamed it; "": the same
  std::size_t parent = 0;
  std::vector<std::size_t> children;  // in the order written
  unsigned depth = 0;                 // of the root 0
  Policy policy = Policy::fair;
  double weight = 1;
  double min_threads = 0, max_threads = std::numeric_limits<double>::infinity();
  double max_memory_mb = std::numeric_limits<double>::infinity();
  std::size_t max_queued = std::numeric_limits<std::size_t>::max();
  std::optional<Time> longest_wait;
  // Of one query; a longer one is rejected at once, as it could never run.
  std::optional<Time> query_work, query_time;
  double query_memory_mb = std::numeric_limits<double>::infinity();
};

class Tree {
 public:
  // Levels below the root. Each start and end of a query visits all levels of its group.
  static constexpr unsigned kMaxDepth = 32;
  // Groups. Beyond what people write; bounds the memory and the time of a reload.
  static constexpr std::size_t kMaxGroups = 100'000;

  // Reads "groups" of a section. Throws yaml::Error: names, ranges, minima that sum to more than their
  // parent's ceiling, too deep, too many.
  static Tree read(yaml::Section& section);
  Tree();

  // Adds a group by its path, with its parents' defaults; null: the name is taken, a parent is missing or not
  // fit.
  const Group* add(std::string_view path);

  [[nodiscard]] const std::vector<Group>& groups() const { return groups_; }  // parents before children
  [[nodiscard]] const Group* find(std::string_view path) const;
  [[nodiscard]] std::size_t index(const Group& group) const {
    return static_cast<std::size_t>(&group - groups_.data());
  }

 private:
  void read_children(yaml::Section& section, std::size_t parent);
  std::size_t append(std::size_t parent, const std::string& name);

  std::vector<Group> groups_;
  std::map<std::string, std::size_t, std::less<>> by_path_;
};

// Divides `threads` among the leaves that want some: `wanted` and the result by the groups' numbers; an inner
// group's figure is its children's sum. Work-conserving: no thread idles while a group below its ceiling
// wants it. A group that wants less than its minimum lends the rest. Minima go first; if they are more than
// there is, each gets its part of them. What is left goes by policy. Linear in the tree but for sorting
// siblings.
std::vector<double> divide(const Tree& tree, double threads, const std::vector<double>& wanted);

// One level of it: amounts between floor and want, in proportion to weight where neither binds.
struct SiblingDemand {
  double weight = 1, floor = 0, want = 0;
};
std::vector<double> fill(double amount, const std::vector<SiblingDemand>& demands);

}  // namespace heronwell::groups
