// What may be said of a mean of few runs: the bootstrap, with chance from a fixed seed.
#pragma once

#include <cstdint>
#include <vector>

namespace heronwell::experiment {

struct Estimate {
  double mean = 0, low = 0, high = 0;                                 // 95 percent: from low to high
  [[nodiscard]] bool differs() const { return low > 0 || high < 0; }  // from nothing
};
// Percentile bootstrap of the mean. One value, or none: an interval without width.
Estimate bootstrap(const std::vector<double>& values, std::uint64_t seed = 1);

}  // namespace heronwell::experiment
