#include "experiment/statistics.hpp"

#include <algorithm>
#include <numeric>
#include <pcg_random.hpp>

namespace heronwell::experiment {
namespace {

constexpr std::size_t kDraws = 4000;

}  // namespace

Estimate bootstrap(const std::vector<double>& values, std::uint64_t seed) {
  if (values.empty()) return {};
  const auto size = static_cast<double>(values.size());
  const double mean = std::accumulate(values.begin(), values.end(), 0.0) / size;
  if (values.size() == 1) return {mean, mean, mean};
  pcg64 random(seed);
  std::vector<double> means(kDraws);
  for (auto& one : means) {
    double sum = 0;
    for (std::size_t i = 0; i < values.size(); ++i) sum += values[random(values.size())];
    one = sum / size;
  }
  std::ranges::sort(means);
  return {mean, means[kDraws / 40], means[kDraws - 1 - kDraws / 40]};
}

}  // namespace heronwell::experiment
