// EndpointWatch decides when to request the endpoint list, for lists that send changes only on demand. Its
// input is the kind of the last update. It emits WatchEndpoints at the start, and again one second after a
// failed update, so that a router does not use an old list forever after one failed call.
#pragma once

#include "decision_context.hpp"

namespace heronwell {

class EndpointWatch {
 public:
  EndpointWatch(const Settings& settings, const Clock& clock, ActionList& actions)
      : settings_(settings), clock_(clock), actions_(actions) {}

  void start() {
    if (settings_.poll_endpoints) actions_.append(WatchEndpoints{true});
  }
  void record_update(UpdateKind kind) {
    if (kind == UpdateKind::failed) retry_at_ = clock_.now + kRetryDelay;
  }
  void retry_if_due() {
    if (!settings_.poll_endpoints || retry_at_ == Time::zero() || clock_.now < retry_at_) return;
    retry_at_ = Time::zero();
    actions_.append(WatchEndpoints{true});
  }

 private:
  // Short compared with the time for which a list may be out of date, and long enough for the list service to
  // restart.
  static constexpr Time kRetryDelay = std::chrono::seconds(1);

  const Settings& settings_;
  const Clock& clock_;
  ActionList& actions_;
  Time retry_at_{};  // 0: no retry is due
};

}  // namespace heronwell
