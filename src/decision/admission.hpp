// Load shedding on arrival: is the request rejected at once, though some engine might run it. Inputs: the
// tenant's quota (a ratio of this router's arrival rate, requests a second), the request's time left and
// expected answer time (seconds), its relative size, and whether the fleet is congested. Output: admitted, or
// the reason why not. Failure 1: one tenant's flood takes the capacity of all. Guard: beyond its quota it is
// rejected while requests wait, and the rate that the quota is a part of follows a flood slowly. Failure 2:
// after the router itself had not run, a burst of requests arrives that cannot be in time any more. Guard:
// how long they have waited shows in their time left; those are settled at once. Failure 3: congested, the
// fleet works for a few huge queries while many usual ones time out. Guard: the largest relative size
// admitted falls with the fleet's level; a usual query always passes.
#pragma once

#include <vector>

#include "class_ranking.hpp"
#include "class_statistics.hpp"
#include "congestion.hpp"
#include "decision_context.hpp"
#include "load_estimator.hpp"
#include "request_table.hpp"

namespace heronwell {

enum class AdmissionResult { admitted, over_quota, too_late, too_large };

class Admission {
 public:
  struct Parts {
    const RequestTable& requests;
    const ClassStatistics& statistics;
    const LoadEstimator& load;
    const Congestion& congestion;
  };
  Admission(const Settings& settings, const Clock& clock, const ClassRanking& ranking, Parts parts);

  void record_arrival() { ++arrivals_in_period_; }
  // Takes a token of the tenant.
  AdmissionResult admit(const Request& request);
  // Tokens of all tenants, for the time since the last call.
  void refill_tokens(double elapsed_seconds);
  // The arrival rate, once a sampling period.
  void measure_arrival_rate(double elapsed_seconds);

  [[nodiscard]] double arrival_rate() const { return arrival_rate_; }  // requests a second, at this router

 private:
  bool is_over_quota(const RequestArrived& arrival);
  bool is_too_late(const RequestArrived& arrival);
  [[nodiscard]] bool is_too_large(const Request& request) const;
  [[nodiscard]] double work_per_priority(ClassIndex cls) const;
  [[nodiscard]] double quota_rate(std::size_t tenant) const;

  const Settings& settings_;
  const Clock& clock_;
  const ClassRanking& ranking_;
  Parts parts_;
  std::vector<Time> longest_time_left_;  // by class: what a request had when it came without delay
  std::vector<double> tokens_;           // by tenant: requests
  double arrival_rate_ = 0;
  double rate_age_seconds_ = 0;  // how long the rate has been measured, up to its memory
  double arrivals_in_period_ = 0;
};

}  // namespace heronwell
