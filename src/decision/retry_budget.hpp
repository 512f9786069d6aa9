// The retry budget: how many retries and hedges this router may start, against the requests it received.
// Inputs: the moments of requests and of further attempts within the settings' window. Output: one more
// allowed or not. Failure: when many engines fail at once, retries multiply the load on the rest, which then
// fail as well. Guard: within the window further attempts stay at or under
// floor(min_retries + retries_per_request x requests that arrived, rejected ones included); min_retries are
// allowed even with no requests. Without a budget in the settings all are allowed.
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
  // Bounds memory only: what is older than the window never counts.
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
  std::deque<Time> requests_, further_attempts_;  // moments, the oldest first
};

}  // namespace heronwell
