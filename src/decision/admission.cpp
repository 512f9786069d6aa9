#include "admission.hpp"

#include <algorithm>
#include <cmath>

namespace heronwell {
namespace {
// Factor on a tenant's quota while the fleet is not congested: requests beyond the quota then harm no other
// tenant.
constexpr double kUncongestedQuotaFactor = 1.3;

// A tenant may save up its quota for kBurstSeconds, and kBurstRequests in addition, because requests arrive
// in bursts at a router with little traffic.
constexpr double kBurstSeconds = 2.0;
constexpr double kBurstRequests = 3;

// Averaging time of the arrival rate: longer than it takes to detect a flood, shorter than the time in which
// the daily load changes.
constexpr double kRateAveragingSeconds = 20.0;

// Bound on the rate of one period, as a multiple of the average rate, so that a flood does not raise its own
// quota.
constexpr double kMaxRateGrowth = 1.3;

// Periods after which the average rate is known well enough to apply kMaxRateGrowth.
constexpr double kPeriodsBeforeBound = 3;

// Fleet level, in threads per core, at which a query of the usual size is the largest that is admitted, and
// the exponent of the limit below this level: at half the level, queries of eight times the usual size are
// admitted.
constexpr double kUsualSizeThreadsPerCore = 1.5;
constexpr double kSizeExponent = 3;

// Lower bound on the level, in threads per core, for which the limit is computed: an empty fleet admits
// queries of any size.
constexpr double kMinLevel = 0.1;

// Threads per core that are assumed at usual answer times, where the fleet's level is unknown.
constexpr double kThreadsPerCoreAtUsualLatency = 0.9;
}  // namespace

Admission::Admission(const Settings& settings, const Clock& clock, const ClassRanking& ranking, Parts parts)
    : settings_(settings), clock_(clock), ranking_(ranking), parts_(parts) {
  longest_time_left_.resize(settings.classes.size());
  double quota = 0;
  for (const auto& tenant : settings.tenants) quota += tenant.quota_per_second;
  arrival_rate_ = quota / settings.router_count;
  for (std::size_t t = 0; t < settings.tenants.size(); ++t) tokens_.push_back(quota_rate(t) * kBurstSeconds);
}

AdmissionResult Admission::admit(const Request& request) {
  const auto& arrival = request.arrival;
  const bool requests_wait = !parts_.requests.queue(arrival.class_index).requests.empty();
  if (is_over_quota(arrival) && (requests_wait || parts_.congestion.is_congested()))
    return AdmissionResult::over_quota;
  if (is_too_late(arrival)) return AdmissionResult::too_late;
  if (is_too_large(request)) return AdmissionResult::too_large;
  if (parts_.statistics.expected_answer_seconds(request) > to_seconds(arrival.time_left))
    return AdmissionResult::too_late;
  return AdmissionResult::admitted;
}

bool Admission::is_over_quota(const RequestArrived& arrival) {
  if (settings_.over_quota_weight >= 1 || arrival.tenant >= tokens_.size()) return false;
  if (tokens_[arrival.tenant] < 1) return true;
  tokens_[arrival.tenant] -= 1;
  return false;
}

bool Admission::is_too_late(const RequestArrived& arrival) {
  const auto c = arrival.class_index;
  auto& longest = longest_time_left_[c];
  if (clock_.pause == Time::zero()) longest = std::max(longest, arrival.time_left);
  const double waited = to_seconds(std::clamp(longest - arrival.time_left, Time::zero(), clock_.pause));
  return waited > 0 && waited + parts_.statistics.of(c).mean_answer_seconds >
                           parts_.statistics.latency_objective_seconds(c);
}

double Admission::work_per_priority(ClassIndex cls) const {
  return parts_.statistics.of(cls).work / settings_.classes[cls].priority_weight;
}

// A class with a higher priority weight per unit of work than the last class in rank has a limit that is
// higher by that ratio.
bool Admission::is_too_large(const Request& request) const {
  const auto known_level = parts_.load.fleet_level();
  const double level =
      known_level ? *known_level : parts_.load.fleet_latency_ratio() * kThreadsPerCoreAtUsualLatency;
  const double max_size =
      std::max(1.0, std::pow(kUsualSizeThreadsPerCore / std::max(kMinLevel, level), kSizeExponent));
  const double priority_ratio =
      work_per_priority(request.arrival.class_index) / work_per_priority(ranking_.back());
  return request.relative_size * std::min(1.0, priority_ratio) > max_size;
}

double Admission::quota_rate(std::size_t tenant) const {
  return (parts_.congestion.is_congested() ? 1 : kUncongestedQuotaFactor) *
         settings_.tenants[tenant].quota_ratio * arrival_rate_;
}

void Admission::refill_tokens(double elapsed_seconds) {
  for (std::size_t t = 0; t < tokens_.size(); ++t)
    tokens_[t] = std::min(tokens_[t] + quota_rate(t) * elapsed_seconds,
                          quota_rate(t) * kBurstSeconds + kBurstRequests);
}

void Admission::measure_arrival_rate(double elapsed_seconds) {
  const double rate = arrivals_in_period_ / elapsed_seconds;
  rate_age_seconds_ = std::min(rate_age_seconds_ + elapsed_seconds, kRateAveragingSeconds);
  const double max_rate =
      parts_.congestion.is_congested() ? arrival_rate_ : kMaxRateGrowth * arrival_rate_ + 1 / elapsed_seconds;
  const bool is_known = kPeriodsBeforeBound * elapsed_seconds < rate_age_seconds_;
  const double counted_rate = is_known ? std::min(rate, max_rate) : rate;
  arrival_rate_ += elapsed_seconds / rate_age_seconds_ * (counted_rate - arrival_rate_);
  arrivals_in_period_ = 0;
}

}  // namespace heronwell
