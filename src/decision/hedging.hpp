// Hedged requests, where the settings allow them: a second attempt beside one that is far overdue. Inputs:
// the time since an attempt started, in expected answer times of such a query; the work earned for hedges
// (core-seconds). Output: an attempt at another engine, or the overdue one is given up. Failure: an answer is
// lost on the way, a plan is bad or an engine stands still, and the client waits until its deadline; a lost
// attempt also counts as running, and lifts the level that all routers go by. Guard: after four expected
// answer times another attempt starts; after six, one that gave no progress is given up. Hedges cost at most
// a fifth of the work asked for and none start while the fleet is congested, where most answers are slow and
// hedges would make it worse.
#pragma once

#include "class_statistics.hpp"
#include "congestion.hpp"
#include "decision_context.hpp"
#include "dispatcher.hpp"
#include "engine_selector.hpp"
#include "request_completion.hpp"
#include "request_table.hpp"
#include "retry_policy.hpp"

namespace heronwell {

class Hedging {
 public:
  struct Parts {
    const ClassStatistics& statistics;
    const Congestion& congestion;
    EngineSelector& selector;
    Dispatcher& dispatcher;
    RetryPolicy& retry_policy;
    RequestCompletion& completion;
  };
  Hedging(const Settings& settings, const Clock& clock, Parts parts)
      : settings_(settings), clock_(clock), parts_(parts) {}

  // A request of the class arrived: hedges may cost a part of its usual work.
  void add_budget(ClassIndex cls);
  void check_attempt(Request& request, AttemptIndex index);

 private:
  const Settings& settings_;
  const Clock& clock_;
  Parts parts_;
  double budget_work_ = 0;  // core-seconds that hedges may still cost
};

}  // namespace heronwell
