#include "groups/query_costs.hpp"

#include <algorithm>

namespace heronwell::groups {
namespace {

// Weight of one ended query in the mean of its class, which thus covers about twenty queries. The charges of
// a class that becomes slower follow within seconds, and one long report hardly changes the next charge.
constexpr double kMeanStepRatio = 0.05;

// Assumed duration of a query, in seconds, before any query of its class has ended. It is between the
// durations of a lookup and a report; the difference is corrected when the query ends.
constexpr double kInitialCostSeconds = 0.1;

// Largest engine time, as a multiple of the class mean, that is counted in full. It bounds the charge caused
// by a client's wrong estimate and the effect of one stuck query on the mean.
constexpr double kMaxSizeRatio = 40;

// Largest estimate, as a multiple of the mean estimate, that is counted in full. It is lower because clients
// supply the estimates.
constexpr double kMaxEstimateRatio = 3;

// Seconds of work as estimated by the client; 0 if there is no estimate.
double estimate_of(const Query& query) { return std::max(0.0, seconds(query.work.value_or(Time::zero()))); }

}  // namespace

double QueryCosts::expected(const Query& query) const {
  const double known = mean_[query.cls];
  const double mean = known > 0 ? known : kInitialCostSeconds * context_.classes[query.cls].threads;
  const double estimate = estimate_of(query);
  if (estimate <= 0 || mean_estimate_[query.cls] <= 0) return mean;
  return mean * std::min(estimate / mean_estimate_[query.cls], kMaxSizeRatio);
}

void QueryCosts::learn(const Query& query, double used) {
  auto& mean = mean_[query.cls];
  mean += mean > 0 ? kMeanStepRatio * (std::min(used, kMaxSizeRatio * mean) - mean) : used;
  const double estimate = estimate_of(query);
  if (estimate <= 0) return;
  auto& mean_estimate = mean_estimate_[query.cls];
  mean_estimate +=
      mean_estimate > 0
          ? kMeanStepRatio * (std::min(estimate, kMaxEstimateRatio * mean_estimate) - mean_estimate)
          : estimate;
}

}  // namespace heronwell::groups
