// DecisionEngine owns the parts of the decision engine, dispatches events to them and fixes the order in
// which they run; it makes no decisions itself. Each rule is in its own file in this directory.
// forwarding_rules decides whether an attempt may start and whether a request may be rejected.
#include "heronwell/decision_engine.hpp"

#include <set>
#include <utility>

#include "admission.hpp"
#include "class_ranking.hpp"
#include "class_statistics.hpp"
#include "congestion.hpp"
#include "decision_context.hpp"
#include "dispatcher.hpp"
#include "endpoint_watch.hpp"
#include "engine_selector.hpp"
#include "engine_table.hpp"
#include "forwarding_rules.hpp"
#include "gossip.hpp"
#include "health_checker.hpp"
#include "hedging.hpp"
#include "latency_controller.hpp"
#include "load_estimator.hpp"
#include "outlier_detector.hpp"
#include "request_completion.hpp"
#include "request_table.hpp"
#include "resource_grants.hpp"
#include "retry_budget.hpp"
#include "retry_policy.hpp"
#include "settings_check.hpp"
#include "slow_start.hpp"

namespace heronwell {
namespace {
using namespace std::chrono_literals;

// Time without a call after which this router process counts as paused: ten ticks.
constexpr Time kMinPause = 200ms;

Settings checked(Settings settings) {
  check(settings);
  return settings;
}
}  // namespace

class DecisionEngine::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed, DispatchOrder* order)
      : settings_(checked(std::move(settings))),
        random_(seed),
        dispatcher_(settings_, clock_, ranking_, actions_, order,
                    {requests_, engines_, statistics_, rules_, grants_, selector_, controller_, outliers_,
                     completion_, retry_budget_, slow_start_}) {}

  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions) {
    actions_.append_to(actions);
    advance_clock(now);
    if (!is_started_) start();
    exclude_pause();
    for (const auto& event : events) std::visit([this](const auto& e) { on(e); }, event);
    if (engines_.is_changed()) refresh_fleet();
    controller_.allocate_budgets();
    dispatcher_.dispatch();
  }

  [[nodiscard]] ClassView class_view(ClassIndex cls) const {
    const auto& queue = requests_.queue(cls);
    return {queue.requests.size(), queue.running_threads, controller_.budget_threads(cls)};
  }

  [[nodiscard]] double pool_threads() const { return engines_.pool_threads(); }

 private:
  void advance_clock(Time now) {
    const Time last_call = is_started_ ? clock_.now : now;
    clock_.pause = now > last_call + kMinPause ? now - last_call : Time::zero();
    clock_.now = now;
  }

  void start() {
    is_started_ = true;
    sampled_at_ = clock_.now;
    ticked_at_ = clock_.now;
    gossip_.start();
    endpoint_watch_.start();
    actions_.append(SetTimer{kTickInterval});
  }

  // Excludes a pause of this router from the silence of engines and attempts. Without this, a router that was
  // paused would attribute its own silence to the engines and eject all of them.
  void exclude_pause() {
    for (const auto id : engines_.busy()) {
      auto& engine = engines_.at(id);
      outliers_.exclude_pause(engine);
      for (const auto& [request, attempt] : engine.usage->in_flight)
        requests_.exclude_pause(request, attempt, clock_.pause);
    }
  }

  // The parts that hold pointers to engines drop those of gone engines before the table removes the engines.
  void refresh_fleet() {
    load_.remove_gone_engines();
    slow_start_.remove_gone_engines();
    selector_.clear_preferred_engines();
    engines_.refresh();
  }

  void on(const EndpointUpdate& update) {
    endpoint_watch_.record_update(update.kind);
    if (update.kind == UpdateKind::snapshot || update.kind == UpdateKind::cached) engines_.begin_snapshot();
    for (const auto& endpoint : update.endpoints) {
      auto& engine = engines_.find_or_add(endpoint.engine);
      if (endpoint.last_started > engine.endpoint->last_started) {
        slow_start_.restart(engine, endpoint.last_started);
        outliers_.reset(engine);
        load_.reset_latency_ratio(engine);
      }
      engines_.set_endpoint(engine, endpoint);
    }
    engines_.mark_changed();
  }

  void on(const RequestArrived& arrival) {
    retry_budget_.record_request();
    admission_.record_arrival();
    gossip_.add_budget();
    health_checker_.add_budget();
    auto& request = requests_.add(arrival, clock_.now);
    if (!requests_.has_known_class(request)) return completion_.reject_or_fail(request);
    requests_.add_to_key_order(request);
    requests_.set_relative_size(request, statistics_.learn_relative_size(arrival));
    hedging_.add_budget(arrival.class_index);
    if (admission_.admit(request) != AdmissionResult::admitted) return completion_.reject_or_fail(request);
    requests_.enqueue(request, RequestTable::QueueEnd::back, clock_.now);
  }

  void on(const AttemptProgress& progress) {
    auto* engine = engines_.find(progress.engine);
    auto* request = requests_.find(progress.request);
    if (engine != nullptr) outliers_.record_progress(*engine);
    if (request == nullptr || progress.attempt >= request->attempts.size()) return;
    requests_.record_progress(*request, progress.attempt, clock_.now);
    retry_policy_.check_progress(*request, progress);
  }

  void on(const AttemptFinished& outcome) {
    auto* request = requests_.find(outcome.request);
    auto* engine = engines_.find(outcome.engine);
    if (request == nullptr || outcome.attempt >= request->attempts.size() || engine == nullptr) return;
    if (!request->attempts[outcome.attempt].in_flight) return;
    engines_.finish_attempt(*engine, outcome.request, outcome.attempt,
                            requests_.settings_of(*request).threads);
    requests_.finish_attempt(*request, outcome.attempt, outcome.result);
    requests_.start_quiet_period_after(*request, outcome.result, clock_.now);
    load_.record_load_fields(*engine, outcome.load);
    outliers_.record_result(*engine, *request, outcome.result);
    if (outcome.result == AttemptResult::served)
      load_.record_latency_ratio(*engine, statistics_.learn_answer(*request, outcome));
    if (outcome.request_finished && request->is_open) return completion_.close(*request);
    if (request->has_in_flight() || request->is_queued) return;  // another attempt is in flight or will start
    if (!request->is_open) return requests_.remove(*request);
    retry_policy_.retry_or_finish(*request);
  }

  void on(const ClientDisconnected& event) {
    auto* request = requests_.find(event.request);
    if (request != nullptr && request->is_open) completion_.close(*request);
  }

  void on(const ShutdownRequested&) {
    for (const auto& [deadline, id] : std::set(requests_.answer_deadlines()))
      completion_.reject_or_fail(requests_.at(id));
  }

  void on(const HealthCheckResult& check) {
    auto* engine = engines_.find(check.engine);
    if (engine == nullptr) return;
    if (check.result != AttemptResult::served) return outliers_.record_failed_health_check(*engine);
    slow_start_.record_liveness(*engine, clock_.now);
    load_.record_load_fields(*engine, check.load);
  }

  void on(const GossipReceived& message) { gossip_.receive(message); }

  void on(const TimerFired&) {
    if (clock_.now < ticked_at_ + kTickInterval) return;
    const double elapsed_seconds = to_seconds(clock_.now - ticked_at_);
    ticked_at_ = clock_.now;
    actions_.append(SetTimer{kTickInterval});
    endpoint_watch_.retry_if_due();
    admission_.refill_tokens(elapsed_seconds);
    load_.average_own_load(elapsed_seconds);
    finish_due_requests();
    dispatcher_.drop_overdue();
    for (const auto id : std::vector(engines_.busy().begin(), engines_.busy().end()))
      check_attempts_of(engines_.at(id));
    health_checker_.check_stale_engines();
    slow_start_.draw_admissions(elapsed_seconds);
    gossip_.send_if_due();
    if (clock_.now >= sampled_at_ + kSamplingPeriod) sample();
    retry_budget_.remove_expired();
    requests_.remove_ended_quiet_periods(clock_.now);
  }

  void finish_due_requests() {
    const auto& deadlines = requests_.answer_deadlines();
    while (!deadlines.empty() && deadlines.begin()->first <= clock_.now)
      completion_.reject_or_fail(requests_.at(deadlines.begin()->second));
  }

  void check_attempts_of(Engine& engine) {
    const Time silence = clock_.now - engine.health->last_progress;
    double overdue_answers = 0;
    const auto& in_flight = engine.usage->in_flight;
    for (const auto& [id, attempt] : std::vector(in_flight.begin(), in_flight.end())) {
      auto& request = requests_.at(id);
      hedging_.check_attempt(request, attempt);
      overdue_answers += outliers_.check_attempt(engine, request, attempt, silence);
    }
    outliers_.check_silence(engine, silence, overdue_answers);
  }

  void sample() {
    admission_.measure_arrival_rate(to_seconds(clock_.now - sampled_at_));
    sampled_at_ = clock_.now;
    congestion_.adapt();
    controller_.sample();
  }

  const Settings settings_;
  Clock clock_;
  RandomSource random_;
  ActionList actions_;
  bool is_started_ = false;
  Time sampled_at_{}, ticked_at_{};

  // Each part is declared after the parts that it refers to.
  const ClassRanking ranking_ = rank_classes(settings_);
  RequestTable requests_{settings_};
  EngineTable engines_{settings_};
  ClassStatistics statistics_{settings_};
  RetryBudgetWindow retry_budget_{settings_, clock_};
  EndpointWatch endpoint_watch_{settings_, clock_, actions_};
  SlowStart slow_start_{settings_, clock_, engines_, statistics_, random_};
  LoadEstimator load_{settings_, clock_, engines_, requests_, slow_start_};
  Congestion congestion_{settings_, engines_, load_};
  ForwardingRules rules_{settings_, clock_, requests_, retry_budget_, slow_start_};
  RequestCompletion completion_{settings_, rules_, requests_, actions_};
  RetryPolicy retry_policy_{clock_, engines_, statistics_, rules_, completion_, requests_};
  HealthChecker health_checker_{settings_, clock_, engines_, statistics_, actions_};
  OutlierDetector outliers_{
      settings_,
      clock_,
      random_,
      actions_,
      {engines_, requests_, statistics_, slow_start_, load_, retry_policy_, health_checker_}};
  EngineSelector selector_{
      settings_,
      clock_,
      ranking_,
      random_,
      {engines_, requests_, load_, congestion_, rules_, slow_start_, outliers_, health_checker_}};
  LatencyController controller_{settings_, clock_, ranking_, requests_, engines_};
  ResourceGrants grants_{statistics_, ranking_};
  Dispatcher dispatcher_;
  Hedging hedging_{
      settings_, clock_, {statistics_, congestion_, selector_, dispatcher_, retry_policy_, completion_}};
  Admission admission_{settings_, clock_, ranking_, {requests_, statistics_, load_, congestion_}};
  Gossip gossip_{settings_, clock_, random_, actions_, {engines_, requests_, admission_, slow_start_, load_}};
};

DecisionEngine::DecisionEngine(Settings settings, std::uint64_t seed, DispatchOrder* order)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, order)) {}
DecisionEngine::~DecisionEngine() = default;
DecisionEngine::DecisionEngine(DecisionEngine&&) noexcept = default;
DecisionEngine& DecisionEngine::operator=(DecisionEngine&&) noexcept = default;
void DecisionEngine::handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions) {
  impl_->handle(now, events, actions);
}
ClassView DecisionEngine::class_view(ClassIndex cls) const { return impl_->class_view(cls); }
double DecisionEngine::pool_threads() const { return impl_->pool_threads(); }

}  // namespace heronwell
