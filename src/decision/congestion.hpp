// Congestion decides whether the fleet is past its peak throughput, and how far the limits on threads per
// core are lowered for it. Its inputs are the fleet's level (threads per core) and the answer times relative
// to the usual ones. Its outputs are whether the fleet is congested, and a factor from 0.5 to 1 for the
// limits of engine_selector. Past its peak, the throughput of an engine falls as its load rises, and queues
// and timeouts grow until few queries are served (congestion collapse). The load at the peak depends on the
// current mix of queries, so a fixed limit does not fit all mixes. Therefore the limits fall step by step
// once answers take twice their usual time, until answer times are back to usual.
#pragma once

#include "decision_context.hpp"
#include "engine_table.hpp"
#include "load_estimator.hpp"

namespace heronwell {

// Threads per core, of all routers, up to which engines still answer quickly. Above it the fleet counts as
// congested, and no router uses more than its own share of an engine.
constexpr double kCongestedThreadsPerCore = 1.5;

class Congestion {
 public:
  Congestion(const Settings& settings, const EngineTable& engines, const LoadEstimator& load)
      : settings_(settings), engines_(engines), load_(load) {}

  // Adapts the limit factor; called once per sampling period.
  void adapt();
  [[nodiscard]] double limit_factor() const { return limit_factor_; }
  [[nodiscard]] bool is_congested() const;

 private:
  const Settings& settings_;
  const EngineTable& engines_;
  const LoadEstimator& load_;
  double limit_factor_ = 1;
};

}  // namespace heronwell
