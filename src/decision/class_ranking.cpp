#include "class_ranking.hpp"

#include <algorithm>

namespace heronwell {

ClassRanking rank_classes(const Settings& settings) {
  ClassRanking ranking;
  for (std::size_t c = 0; c < settings.classes.size(); ++c) ranking.push_back(static_cast<ClassIndex>(c));
  std::ranges::stable_sort(ranking, [&](ClassIndex first, ClassIndex second) {
    const auto& a = settings.classes[first];
    const auto& b = settings.classes[second];
    return a.latency_objective != b.latency_objective ? a.latency_objective < b.latency_objective
                                                      : a.priority_weight > b.priority_weight;
  });
  return ranking;
}

}  // namespace heronwell
