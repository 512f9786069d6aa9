// QueryCosts estimates the engine time of a query, which is charged to its group when the query starts.
//
// The estimate is the mean engine time of the ended queries of its class. If the query has an estimate of its
// work, the mean is scaled by the ratio of that estimate to the mean estimate of the class. The actual engine
// time is charged while the query runs and when it ends. All values are in thread-seconds.
//
// Charging at the start prevents bursts by one group: otherwise a group that starts many queries at once
// would not be charged before the first one ends, and would start more than its share.
#pragma once

#include <vector>

#include "groups/share_context.hpp"

namespace heronwell::groups {

class QueryCosts {
 public:
  explicit QueryCosts(const ShareContext& context)
      : context_(context), mean_(context.classes.size()), mean_estimate_(context.classes.size()) {}

  [[nodiscard]] double expected(const Query& query) const;  // thread-seconds
  // Updates the means with an ended query that used `used` thread-seconds.
  void learn(const Query& query, double used);

 private:
  const ShareContext& context_;
  std::vector<double> mean_, mean_estimate_;  // by class, thread-seconds; 0: no query has ended yet
};

}  // namespace heronwell::groups
