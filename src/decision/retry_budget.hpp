// RetryBudgetWindow limits the number of retries and hedges of this router relative to the requests it
// received. Its inputs are the times of requests and of further attempts within the settings' window; its
// output is whether one more attempt is allowed. If many engines fail at once, retries multiply the load on
// the other engines, which then fail too. Therefore the number of further attempts in the window is at most
// floor(min_retries + retries_per_request x requests that arrived, rejected ones included). min_retries are
// allowed even without requests. Without a budget in the settings, all further attempts are allowed.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>

#include "decision_context.hpp"

namespace heronwell {

class RetryBudgetWindow {
 public:
  RetryBudgetWindow(const Settings& settings, const Clock& clock) : settings_(settings), clock_(clock) {}

  void record_request() { requests_.push_back(clock_.now); }
  void record_further_attempt() { further_attempts_.push_back(clock_.now); }
  // Removes times that are older than the window. They are not counted in any case; this only limits memory
  // use.
  void remove_expired() {
    const Time start = window_start();
    while (!requests_.empty() && requests_.front() <= start) requests_.pop_front();
    while (!further_attempts_.empty() && further_attempts_.front() < start) further_attempts_.pop_front();
  }
  [[nodiscard]] bool allows_one_more() const {
    if (!settings_.retry_budget) return true;
    const auto& budget = *settings_.retry_budget;
    const auto requests = std::ranges::upper_bound(requests_, window_start());
    const auto attempts = std::ranges::lower_bound(further_attempts_, window_start());
    return static_cast<double>(further_attempts_.end() - attempts + 1) <=
           std::floor(budget.min_retries +
                      budget.retries_per_request * static_cast<double>(requests_.end() - requests));
  }

 private:
  [[nodiscard]] Time window_start() const {
    return clock_.now - (settings_.retry_budget ? settings_.retry_budget->window : Time::zero());
  }

  const Settings& settings_;
  const Clock& clock_;
  std::deque<Time> requests_, further_attempts_;  // times in ascending order
};

}  // namespace heronwell
