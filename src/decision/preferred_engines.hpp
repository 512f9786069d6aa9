// PreferredEngines chooses the engines that hold the data of each data group: the loads of the group run on them,
// so queries find its data in their caches. All routers choose alike, because the choice depends only on the
// group and on the ids of the ready engines.
//
// Choosing looks at each engine of the fleet, so the choices for the groups used last are kept. Their number is
// limited, because clients name the groups and a fleet may have several for each engine. Example: with 3,200
// ready engines a group has 640 preferred ones, and about 800 groups are kept.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "engine_table.hpp"

namespace heronwell {

class PreferredEngines {
 public:
  explicit PreferredEngines(const EngineTable& engines) : engines_(engines) {}

  // The preferred engines of the group, best first. The reference is valid until the next call for another
  // group and until clear().
  const std::vector<Engine*>& of(std::int64_t data_group);
  [[nodiscard]] bool contains(std::int64_t data_group, const Engine& engine);
  // The fleet has changed, so the engines of all groups are chosen again.
  void clear();

  // The bytes that the kept choices use.
  [[nodiscard]] std::size_t kept_bytes() const { return kept_bytes_; }
  // The limit on these bytes. The choice used last is kept even if it alone is larger.
  static constexpr std::size_t kMaxKeptBytes = 4 << 20;

 private:
  struct Choice {
    std::int64_t data_group = 0;
    std::vector<Engine*> engines;
  };
  using Choices = std::list<Choice>;

  [[nodiscard]] std::vector<Engine*> choose(std::int64_t data_group) const;
  [[nodiscard]] static std::size_t bytes_of(const Choice& choice);
  void drop(Choices::iterator choice);

  const EngineTable& engines_;
  Choices choices_;  // the most recently used first
  std::unordered_map<std::int64_t, Choices::iterator> by_group_;
  std::size_t kept_bytes_ = 0;
};

}  // namespace heronwell
