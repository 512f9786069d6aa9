#include "admission.hpp"

#include <algorithm>
#include <cmath>

namespace heronwell {
namespace {
// Requests beyond its quota that a tenant may send while the fleet is not congested: nobody is hurt by them.
constexpr double kUncongestedQuotaFactor = 1.3;

// Seconds of its quota that a tenant may save up, and requests on top: at a quiet router requests come in
// clumps.
constexpr double kBurstSeconds = 2.0;
constexpr double kBurstRequests = 3;

// Seconds of memory of the arrival rate: longer than a flood takes to show, shorter than the load of the day
// changes.
constexpr double kRateAveragingSeconds = 20.0;

// One period counts for at most this many times the usual rate, so that a flood does not raise its own quota.
constexpr double kMaxRateGrowth = 1.3;

// Periods after which the rate is known well enough for that bound.
constexpr double kPeriodsBeforeBound = 3;

// Threads a core at which a usual query is the largest that is admitted, and how steeply larger ones are let
// in below it: at half that level eight times the usual size.
constexpr double kUsualSizeThreadsPerCore = 1.5;
constexpr double kSizeExponent = 3;

// Least level, in threads a core, that the limit is computed for: an empty fleet admits any size.
constexpr double kMinLevel = 0.1;

// Threads a core that the usual answer times stand for, where nothing tells the fleet's level.
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

// A class with a higher priority for its work than the last in rank has a higher limit by that much.
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
