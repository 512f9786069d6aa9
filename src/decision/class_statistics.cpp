#include "class_statistics.hpp"

#include <algorithm>

namespace heronwell {
namespace {
// Assumed answer time of a class before its first answer, as a part of its latency objective. It is one half,
// because an objective that leaves no time for waiting would make no sense. With an assumed answer time of 0,
// the class would be admitted without a limit.
constexpr double kInitialAnswerTimeRatio = 0.5;

// Weight of one answer in a class's moving averages. They cover about the last twenty answers, as the mix of
// queries changes within minutes.
constexpr double kAnswerWeight = 0.05;

// Relative step by which one answer moves the median estimate up or down. At the median, steps up and down
// are equally frequent, independent of the tail of the distribution.
constexpr double kMedianStepRatio = 0.1;

// Bound on one estimate, as a multiple of its class's mean, so that one very wrong estimate does not make all
// other queries look small.
constexpr double kMaxEstimateRatio = 3;

// Bounds of relative sizes. A query with an estimate near 0 still costs the fixed work of a query, and above
// the upper bound an estimate says no more than that the query is very large.
constexpr double kMinRelativeSize = 0.2;
constexpr double kMaxRelativeSize = 40;

// Lower bound on the work per thread, in seconds, in a latency ratio: below this, network and clock
// resolution dominate the answer time.
constexpr double kMinWorkSeconds = 0.02;

// The baseline is updated with the mean of blocks of this many answers, as single answer times vary by a
// factor of ten.
constexpr double kBaselineBlockAnswers = 10;

// The baseline falls quickly and rises slowly, so that the answer times of a congested fleet do not soon
// become the baseline.
constexpr double kBaselineFallWeight = 0.5;
constexpr double kBaselineRiseWeight = 0.05;

void learn_baseline(AnswerStatistics& cls, double answer_seconds) {
  cls.block_seconds += answer_seconds;
  if (++cls.block_answers < kBaselineBlockAnswers) return;
  const double mean = cls.block_seconds / cls.block_answers;
  const double weight = mean < cls.baseline_answer_seconds ? kBaselineFallWeight : kBaselineRiseWeight;
  cls.baseline_answer_seconds += weight * (mean - cls.baseline_answer_seconds);
  cls.block_seconds = 0;
  cls.block_answers = 0;
}

void learn_memory(AnswerStatistics& cls, double needed_mb, double estimated_mb) {
  cls.memory_mb += (cls.memory_mb > 0 ? kAnswerWeight : 1) * (needed_mb - cls.memory_mb);
  if (estimated_mb > 0)
    cls.estimated_memory_mb +=
        (cls.estimated_memory_mb > 0 ? kAnswerWeight : 1) * (estimated_mb - cls.estimated_memory_mb);
}
}  // namespace

ClassStatistics::ClassStatistics(const Settings& settings) : settings_(settings) {
  for (const auto& cls : settings.classes) {
    AnswerStatistics initial;
    initial.mean_answer_seconds = to_seconds(cls.latency_objective) * kInitialAnswerTimeRatio;
    initial.baseline_answer_seconds = initial.mean_answer_seconds;
    initial.median_answer_seconds = initial.mean_answer_seconds;
    initial.work = to_seconds(cls.latency_objective) * kInitialAnswerTimeRatio * cls.threads;
    classes_.push_back(initial);
  }
}

double ClassStatistics::learn_relative_size(const RequestArrived& arrival) {
  if (!arrival.estimated_work || *arrival.estimated_work <= Time::zero()) return 1;
  auto& mean = classes_[arrival.class_index].mean_estimate_seconds;
  const double estimate = to_seconds(*arrival.estimated_work);
  mean += mean > 0 ? kAnswerWeight * (std::min(estimate, kMaxEstimateRatio * mean) - mean) : estimate;
  return std::clamp(estimate / mean, kMinRelativeSize, kMaxRelativeSize);
}

double ClassStatistics::learn_answer(const Request& request, const AttemptFinished& outcome) {
  const ClassIndex index = request.arrival.class_index;
  auto& cls = classes_[index];
  const double answer_seconds = to_seconds(outcome.latency);
  const double threads = settings_.classes[index].threads;
  cls.mean_answer_seconds += kAnswerWeight * (answer_seconds - cls.mean_answer_seconds);
  const bool is_slower = answer_seconds > expected_answer_seconds(request);
  cls.median_answer_seconds *= is_slower ? 1 + kMedianStepRatio : 1 - kMedianStepRatio;
  if (settings_.memory_grants_enabled && outcome.work)
    learn_memory(cls, outcome.memory_mb, request.arrival.estimated_memory_mb);
  const double work = outcome.work ? to_seconds(*outcome.work) : answer_seconds * threads;
  // Divided by the relative size, so that the mean represents all requests even if the large ones are
  // rejected.
  cls.work += kAnswerWeight * (work / request.relative_size - cls.work);
  // Where answers report their work, the usual time follows from it, so that a long query does not make its
  // engine look slow.
  const double usual_seconds =
      outcome.work ? std::max(kMinWorkSeconds, work / threads) : cls.baseline_answer_seconds;
  const double latency_ratio = answer_seconds / usual_seconds;
  learn_baseline(cls, answer_seconds);
  return latency_ratio;
}

double ClassStatistics::heaviest_work() const {
  return std::ranges::max_element(classes_, {}, &AnswerStatistics::work)->work;
}

double ClassStatistics::latency_objective_seconds(ClassIndex cls) const {
  return to_seconds(settings_.classes[cls].latency_objective) +
         settings_.classes[cls].latency_objective_per_work * classes_[cls].baseline_answer_seconds;
}

}  // namespace heronwell
