// Class ranking: the order in which classes are served. The class with the shorter latency objective comes
// first, then the one with the higher priority weight, then the one listed first in the settings. Threads are
// allocated to classes in this order, as in the absolute delay guarantees of the paper (section III.D:
// "allocates these budgets to classes in priority order").
#pragma once

#include <vector>

#include "heronwell/decision_engine.hpp"

namespace heronwell {

using ClassRanking = std::vector<ClassIndex>;  // in descending rank; never empty

[[nodiscard]] ClassRanking rank_classes(const Settings& settings);

}  // namespace heronwell
