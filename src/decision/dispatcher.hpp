// Dispatcher decides which queued request starts next and how long a request may wait, and is the only place
// that starts attempts. Its inputs are the queues, the thread budgets of the classes, and the engine that
// engine_selector chooses. It emits StartAttempt, preceded by SetResources where grants or priorities are
// enabled, and gives requests that waited too long their final answer. Classes under their budget go first,
// in order of rank, and then the others, so that no thread is idle while requests are queued. Under overload,
// every request would otherwise wait until its answer is late, and all work would be wasted. A request is
// therefore given up once its answer would miss its latency objective, so that newer requests are answered in
// time.
#pragma once

#include "class_ranking.hpp"
#include "class_statistics.hpp"
#include "decision_context.hpp"
#include "engine_selector.hpp"
#include "engine_table.hpp"
#include "forwarding_rules.hpp"
#include "latency_controller.hpp"
#include "outlier_detector.hpp"
#include "request_completion.hpp"
#include "request_table.hpp"
#include "resource_grants.hpp"
#include "retry_budget.hpp"
#include "slow_start.hpp"

namespace heronwell {

class Dispatcher {
 public:
  struct Parts {
    RequestTable& requests;
    EngineTable& engines;
    const ClassStatistics& statistics;
    const ForwardingRules& rules;
    const ResourceGrants& grants;
    EngineSelector& selector;
    LatencyController& controller;
    OutlierDetector& outliers;
    RequestCompletion& completion;
    RetryBudgetWindow& retry_budget;
    SlowStart& slow_start;
  };
  // `order` chooses the requests that may start where resource groups divide a class; null: each class is one
  // queue.
  Dispatcher(const Settings& settings, const Clock& clock, const ClassRanking& ranking, ActionList& actions,
             DispatchOrder* order, Parts parts)
      : settings_(settings),
        clock_(clock),
        ranking_(ranking),
        actions_(actions),
        order_(order),
        parts_(parts) {}

  // Starts attempts for queued requests until no further one may start.
  void dispatch();
  // Starts an attempt if the rules allow it. First attempts, retries and hedges are all started here.
  bool start_attempt(Request& request, Engine& engine);
  // Rejects or fails queued requests whose answers would be too late.
  void drop_overdue();

 private:
  enum class BudgetState { under, spent };

  bool dispatch_one(BudgetState budget);
  bool dispatch_first(const auto& requests);
  [[nodiscard]] Time max_queueing_time(const Request& request) const;

  const Settings& settings_;
  const Clock& clock_;
  const ClassRanking& ranking_;
  ActionList& actions_;
  DispatchOrder* order_;
  Parts parts_;
};

}  // namespace heronwell
