// The PI control loop: how many threads each class may use at once, from the queueing delay it had. Inputs,
// each period of 2 s: seconds that the requests of a class waited here, those still queued included; the
// threads of the pool. Output: a budget of threads per class; budgets are given in order of rank until none
// is left.
//
// It follows the absolute delay guarantees of the paper on feedback control architecture, section III.D,
// equation (1):
//   U(m) = U(m-1) + K (E(m) - r E(m-1)),
// where E is the error of the delay against its objective, and after saturation the actual budget stands for
// U(m-1). It departs from the paper in four things. The period is 2 s instead of the paper's 30 s, which is
// longer than most latency objectives. The error is relative to the objective, and bounded, so that one
// sample cannot move a budget across the pool. The gain is a part of the pool, so that it fits fleets of any
// size. The measure includes requests still queued, so that a class that gets nothing shows its delay.
//
// Failure: long queries fill all engines, and short ones wait behind them. Guard: the first classes in rank
// get their threads first, as many as their measured delay needs; at least those of one query each.
#pragma once

#include <vector>

#include "class_ranking.hpp"
#include "decision_context.hpp"
#include "engine_table.hpp"
#include "request_table.hpp"

namespace heronwell {

// Between two samples of the queueing delay: a few answers of the quickest classes.
constexpr Time kSamplingPeriod = std::chrono::seconds(2);

class LatencyController {
 public:
  LatencyController(const Settings& settings, const Clock& clock, const ClassRanking& ranking,
                    const RequestTable& requests, const EngineTable& engines);

  // A request left its queue for an engine after this delay.
  void record_delay(ClassIndex cls, double seconds);
  // Once a sampling period: computes each class's control input from the delays since the last call.
  void sample();
  // Gives the pool's threads to the classes in order of rank.
  void allocate_budgets();

  [[nodiscard]] double budget_threads(ClassIndex cls) const { return classes_.at(cls).budget; }
  [[nodiscard]] bool is_under_budget(ClassIndex cls) const {
    return requests_.queue(cls).running_threads < classes_[cls].budget;
  }

 private:
  struct ClassControl {
    double control_input = 0;   // U(m), threads
    double budget = 0;          // threads, what the classes before it in rank left of U(m)
    double previous_error = 0;  // E(m-1), in delay objectives
    double delay_seconds = 0;   // of the requests below, in this period
    double requests = 0;
  };

  [[nodiscard]] double mean_delay_seconds(ClassIndex cls) const;

  const Settings& settings_;
  const Clock& clock_;
  const ClassRanking& ranking_;
  const RequestTable& requests_;
  const EngineTable& engines_;
  std::vector<ClassControl> classes_;
};

}  // namespace heronwell
