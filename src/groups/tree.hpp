// Tree is the configured tree of resource groups; divide() distributes engine threads among its groups by
// demand. No I/O, no clock.
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

// How the children of a group share its threads: by weight; in the configured order; in order of arrival (for
// divide(): in proportion to demand).
enum class Policy { fair, strict, first_come };

struct Group {
  std::string name, path;     // path: names separated by dots, without the root's
  std::string previous_path;  // key `was`: path before a reload moved or renamed it; "": unchanged
  std::size_t parent = 0;
  std::vector<std::size_t> children;  // in the configured order
  unsigned depth = 0;                 // 0 for the root
  Policy policy = Policy::fair;
  double weight = 1;
  double min_threads = 0, max_threads = std::numeric_limits<double>::infinity();
  double max_memory_mb = std::numeric_limits<double>::infinity();
  std::size_t max_queued = std::numeric_limits<std::size_t>::max();
  std::optional<Time> longest_wait;
  // Limits of a single query. A query whose estimated work or memory exceeds its limit is rejected on
  // arrival, as it could never run; one that runs longer than query_time times out.
  std::optional<Time> query_work, query_time;
  double query_memory_mb = std::numeric_limits<double>::infinity();
};

class Tree {
 public:
  // Maximum number of levels below the root. Each start and end of a query visits all levels of its group.
  static constexpr unsigned kMaxDepth = 32;
  // Maximum number of groups, larger than any hand-written configuration. It bounds the memory and the
  // duration of a reload.
  static constexpr std::size_t kMaxGroups = 100'000;

  // Reads the key "groups" of a section. Throws yaml::Error for invalid names and ranges, for minima whose
  // sum exceeds their parent's ceiling, and for too many levels or groups.
  static Tree read(yaml::Section& section);
  Tree();

  // Adds a group with default settings by its path. Returns null if the name is invalid or taken, the parent
  // is missing, or a limit is reached.
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

// Divides `threads` among the leaves with demand. `wanted` and the result are indexed by group number; the
// result of an inner group is the sum over its children. The division is work-conserving: no thread is idle
// while a group below its ceiling wants it. A group that wants less than its minimum lends the rest. Minima
// are served first; if their sum exceeds the available threads, they are scaled down in proportion. The rest
// is divided by policy. The time is linear in the size of the tree, except for sorting siblings.
std::vector<double> divide(const Tree& tree, double threads, const std::vector<double>& wanted);

// Divides `amount` among siblings: each result is between floor and want, and in proportion to the weight
// where neither bound applies.
struct SiblingDemand {
  double weight = 1, floor = 0, want = 0;
};
std::vector<double> fill(double amount, const std::vector<SiblingDemand>& demands);

}  // namespace heronwell::groups
