// ClassStatistics estimates how long queries of each class take and what they cost, from past answers. Its
// inputs are the estimates that requests carry, answer times (seconds), and work (core-seconds) and memory
// (MB) where answers report them. Its outputs are the expected answer time and work of a request; admission,
// hedging, slow start and outlier detection use them. Estimates are wrong by a factor that differs from class
// to class, so an estimate is compared only with other estimates of its class. Every limit that depends on a
// query's length is measured in answer times of its own class, so that no limit fits only one mix of queries.
#pragma once

#include <vector>

#include "decision_context.hpp"
#include "request_table.hpp"

namespace heronwell {

// Statistics of one class. All means are moving averages over recent answers.
struct AnswerStatistics {
  double mean_answer_seconds = 0;
  double baseline_answer_seconds = 0;  // answer time while engines run at their usual speed
  double median_answer_seconds = 0;    // median answer time of a query of relative size 1
  double mean_estimate_seconds = 0;    // mean of the requests' work estimates, in seconds
  double block_seconds = 0;            // sum of the answer times that are not yet part of the baseline
  double block_answers = 0;            // number of the answers that are not yet part of the baseline
  double work = 0;                     // core-seconds of a query of relative size 1
  double memory_mb = 0;                // memory that queries needed, where answers report it
  double estimated_memory_mb = 0;      // memory that the same queries were estimated to need
};

class ClassStatistics {
 public:
  explicit ClassStatistics(const Settings& settings);

  // Returns the estimated work divided by the class's mean estimate, clamped to 0.2 to 40; 1 without an
  // estimate. Updates the mean estimate.
  double learn_relative_size(const RequestArrived& arrival);
  // Updates the statistics with a served answer. Returns its latency ratio: the answer time divided by the
  // usual answer time of such a query.
  double learn_answer(const Request& request, const AttemptFinished& outcome);

  [[nodiscard]] const AnswerStatistics& of(ClassIndex cls) const { return classes_[cls]; }
  [[nodiscard]] const AnswerStatistics& of(const Request& request) const {
    return classes_[request.arrival.class_index];
  }
  // Expected work of the request, in core-seconds.
  [[nodiscard]] double work(const Request& request) const { return of(request).work * request.relative_size; }
  // Median answer time of queries like this request, in seconds.
  [[nodiscard]] double expected_answer_seconds(const Request& request) const {
    return of(request).median_answer_seconds * request.relative_size;
  }
  // Work of the class with the largest mean work, in core-seconds.
  [[nodiscard]] double heaviest_work() const;
  // Latency objective, in seconds, of a query of the class with its usual work.
  [[nodiscard]] double latency_objective_seconds(ClassIndex cls) const;

 private:
  const Settings& settings_;
  std::vector<AnswerStatistics> classes_;
};

}  // namespace heronwell
