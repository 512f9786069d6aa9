#include "congestion.hpp"

#include <algorithm>

namespace heronwell {
namespace {
// Answer time relative to the usual one above which the fleet counts as past its peak. A ratio of 1.5 already
// occurs with queries that wait for loads, on engines that have capacity left.
constexpr double kCongestedLatencyRatio = 2.0;

// Lower bound on the limit factor: with a smaller one, cores would be idle.
constexpr double kMinLimitFactor = 0.5;

// Change of the factor in one sampling period. It falls within seconds, because a collapse accelerates
// itself, and rises slowly.
constexpr double kLimitDecrease = 0.85;
constexpr double kLimitIncrease = 0.05;
}  // namespace

// The factor is not adapted where engine priorities keep short classes fast, nor in small pools, where a
// router receives too few answers to judge the fleet.
void Congestion::adapt() {
  if (settings_.engine_priorities_enabled || engines_.is_pool_small()) return;
  limit_factor_ = load_.fleet_latency_ratio() > kCongestedLatencyRatio
                      ? std::max(kMinLimitFactor, limit_factor_ * kLimitDecrease)
                      : std::min(1.0, limit_factor_ + kLimitIncrease);
}

bool Congestion::is_congested() const {
  const auto level = load_.fleet_level();
  return level ? *level > kCongestedThreadsPerCore * limit_factor_
               : load_.fleet_latency_ratio() > kCongestedLatencyRatio;
}

}  // namespace heronwell
