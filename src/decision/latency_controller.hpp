// LatencyController is a PI control loop that sets how many threads each class may use at once, from its
// queueing delay. Its inputs in each period of 2 s are the seconds that the requests of a class waited at
// this router, including those still queued, and the threads of the pool. Its output is a thread budget per
// class; threads are allocated in order of rank until none are left.
//
// It implements the absolute delay guarantees of the paper on feedback control architecture, section III.D,
// equation (1):
//   U(m) = U(m-1) + K (E(m) - r E(m-1)),
// where E is the error of the delay relative to its objective; after saturation, the actual budget replaces
// U(m-1). It departs from the paper in four ways. The period is 2 s instead of the paper's 30 s, which is
// longer than most latency objectives. The error is relative to the objective, and bounded, so that one
// sample cannot move a budget across the whole pool. The gain is relative to the pool, so that it fits fleets
// of any size. The measured delay includes requests that are still queued, so that the delay of a class that
// gets no threads is visible.
//
// Without budgets, long queries would fill all engines and short ones would wait behind them. The first
// classes in rank therefore get their threads first, as many as their measured delay requires; every class
// gets at least the threads of one query.
#pragma once

#include <vector>

#include "class_ranking.hpp"
#include "decision_context.hpp"
#include "engine_table.hpp"
#include "request_table.hpp"

namespace heronwell {

// Time between two samples of the queueing delay: a few answer times of the fastest classes.
constexpr Time kSamplingPeriod = std::chrono::seconds(2);

class LatencyController {
 public:
  LatencyController(const Settings& settings, const Clock& clock, const ClassRanking& ranking,
                    const RequestTable& requests, const EngineTable& engines);

  // Records that a request left its queue for an engine after this delay.
  void record_delay(ClassIndex cls, double seconds);
  // Computes the control input of each class from the delays since the last call; called once per sampling
  // period.
  void sample();
  // Allocates the pool's threads to the classes in order of rank.
  void allocate_budgets();

  [[nodiscard]] double budget_threads(ClassIndex cls) const { return classes_.at(cls).budget; }
  [[nodiscard]] bool is_under_budget(ClassIndex cls) const {
    return requests_.queue(cls).running_threads < classes_[cls].budget;
  }

 private:
  struct ClassControl {
    double control_input = 0;   // U(m), threads
    double budget = 0;          // threads; U(m), limited to what classes of higher rank leave
    double previous_error = 0;  // E(m-1), in delay objectives
    double delay_seconds = 0;   // sum over the requests counted in `requests`, in this period
    double requests = 0;        // requests that left the queue in this period
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
