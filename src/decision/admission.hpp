// Admission decides on arrival whether a request is rejected at once, although some engine might be able to
// run it (load shedding). It uses the tenant's quota (a ratio of this router's arrival rate, in requests per
// second), the request's time left and expected answer time (seconds), its relative size, and whether the
// fleet is congested. The result is `admitted` or the reason for the rejection. Admission prevents three
// failures:
//   1. A flood of requests from one tenant takes the capacity of all tenants. Requests beyond the quota are
//      rejected while other requests wait or the fleet is congested, and the arrival rate that the quota is a
//      part of follows a flood only slowly.
//   2. After a pause of the router process, a burst of requests arrives that can no longer be answered in
//      time. Their time left shows how long they have waited, and they are rejected or failed at once.
//   3. A congested fleet works for a few very large queries while many usual ones time out. The largest
//      admitted relative size falls as the fleet's level rises; a query of the usual size always passes this
//      check.
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
  // Decides on the request, and takes a token from its tenant's quota.
  AdmissionResult admit(const Request& request);
  // Adds the tokens of all tenants for the time since the last call.
  void refill_tokens(double elapsed_seconds);
  // Updates the arrival rate; called once per sampling period.
  void measure_arrival_rate(double elapsed_seconds);

  [[nodiscard]] double arrival_rate() const { return arrival_rate_; }  // requests per second at this router

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
  // By class: longest time left seen on arrival, that of a request without delay.
  std::vector<Time> longest_time_left_;
  std::vector<double> tokens_;  // by tenant; one token admits one request
  double arrival_rate_ = 0;
  double rate_age_seconds_ = 0;  // how long the rate has been measured, up to its averaging time
  double arrivals_in_period_ = 0;
};

}  // namespace heronwell
