// This program compares the ways to combine a tree of resource group shares with the decision engine,
// which docs/groups.md describes, on the same simulated load. It uses the real request registry, the
// real decision engine and the engine model of the stand-ins. It runs on virtual time, so that the
// results are the same on any machine.
//
//   heronwell_groups_options [seed]
#include <fmt/format.h>

#include <cmath>
#include <cstdlib>
#include <functional>
#include <pcg_random.hpp>
#include <random>

#include "groups/shares.hpp"
#include "rehearsal/model.hpp"
#include "release.hpp"
#include "router/request_registry.hpp"

namespace {

using namespace heronwell;
using namespace std::chrono_literals;

constexpr unsigned kEngines = 4;
constexpr double kCores = 4;
constexpr Time kTimeStep = 1ms, kWarmUp = 10s, kMeasuredTime = 40s;

// The compared options: the decision engine without shares; shares as tenant quotas; a queue by shares
// in front of the request registry; shares as limits on threads; shares as the dispatch order of the
// request registry.
enum class Option { decision_engine_only, tenants, front_queue, thread_limit, dispatch_order };
constexpr std::array<const char*, 5> kNames{"module alone", "tenants", "gate before", "thread limit",
                                            "turns"};

// A stream of requests of one resource group.
struct Stream {
  std::string group;
  ClassIndex cls = 0;
  double requests_per_s = 0;
  double work_s = 0;  // mean core-seconds of a request, over all its threads
};

// Sums over the measured time; the maps are by resource group.
struct Results {
  std::map<std::string, double> engine_s, in_time, requests, hold_s, started;
  double idle_core_s = 0, total_core_s = 0;  // core-seconds unused while requests waited; all core-seconds
};

groups::Tree tree() {
  auto section = yaml::Section::text("groups: {a: {weight: 5}, b: {weight: 3}, c: {weight: 2}}", "tree");
  return groups::Tree::read(section);
}
const std::vector<groups::Shares::ClassFacts> kClassFacts{{1, false}, {4, false}};

Settings settings(bool tenants) {
  Settings s;
  s.classes.resize(2);
  s.classes[0] = {.name = "lookup", .latency_objective = 500ms, .timeout = 3s, .priority_weight = 1};
  s.classes[0].threads = 1;
  s.classes[1] = {.name = "report",
                  .latency_objective = 4s,
                  .latency_objective_per_work = 1,
                  .timeout = 15s,
                  .priority_weight = 6};
  s.classes[1].threads = 4;
  s.machine_types = {{.name = "small", .cores = kCores}};
  s.max_attempts = 3;
  s.cancellation_enabled = true;
  s.retry_after_enabled = true;
  s.max_retry_after = 1s;
  s.drain_grace_period = 500ms;
  s.load_reports_in_responses = true;
  s.load_fields = {LoadField::in_flight};
  if (tenants) {
    s.tenants = {{"a", 0.5, 0}, {"b", 0.3, 0}, {"c", 0.2, 0}};
    s.over_quota_weight = 0.1;
  }
  return s;
}

// Applies shares as a limit on the running threads of each group. Each call of next_requests() divides the
// pool anew by the threads that the groups want.
class ThreadLimitOrder final : public DispatchOrder {
 public:
  ThreadLimitOrder() : tree_(tree()) {}
  struct HeldRequest {
    std::size_t group = 0;
    ClassIndex cls = 0;
    unsigned attempts_in_flight = 0;
    bool waiting = true;
  };
  const std::vector<RequestId>& next_requests(ClassIndex cls) override {
    std::vector<double> wanted_threads(tree_.groups().size());
    for (const auto& [id, held] : requests)
      wanted_threads[held.group] +=
          (held.attempts_in_flight + (held.waiting ? 1 : 0)) * kClassFacts[held.cls].threads;
    const auto granted_threads = groups::divide(tree_, pool, wanted_threads);
    std::vector<double> running_threads(granted_threads.size());
    for (const auto& [id, held] : requests)
      running_threads[held.group] += held.attempts_in_flight * kClassFacts[held.cls].threads;
    next_.clear();
    for (const auto& [id, held] : requests)
      if (held.waiting && held.cls == cls &&
          running_threads[held.group] + kClassFacts[cls].threads <= granted_threads[held.group] + 1e-9) {
        next_.push_back(id);
        break;
      }
    return next_;
  }
  void attempt_started(RequestId id) override {
    auto& held = requests.at(id);
    held.waiting = false;
    ++held.attempts_in_flight;
  }
  std::map<RequestId, HeldRequest> requests;
  double pool = 1;

 private:
  groups::Tree tree_;
  std::vector<RequestId> next_;
};

class Day {
 public:
  Day(Option option, std::vector<Stream> streams, std::uint64_t seed)
      : streams_(std::move(streams)), random_(seed) {
    auto shares = std::make_unique<groups::Shares>(tree(), kClassFacts, groups::ShareSettings{});
    if (option == Option::front_queue) front_queue_ = std::move(shares);
    if (option == Option::thread_limit) {
      // This option needs no change of the request registry, so the decision engine is used directly.
      decision_engine_.emplace(settings(false), 1, &thread_limit_order_);
    }
    registry_ = std::make_unique<router::RequestRegistry>(
        settings(option == Option::tenants), 1, 1,
        option == Option::dispatch_order ? std::move(shares) : nullptr);
    for (unsigned e = 0; e < kEngines; ++e)
      engines_.emplace_back(rehearsal::Traits{.cores = kCores, .disks = 8}, Time{}, true);
  }

  Results run() {
    EndpointUpdate list;
    for (EngineId e = 1; e <= kEngines; ++e) list.endpoints.push_back({.engine = e});
    if (decision_engine_) pending_events_.emplace_back(list);
    registry_->endpoints_updated(list);
    for (now_ = 1s; now_ < 1s + kWarmUp + kMeasuredTime; now_ += kTimeStep) {
      is_measuring_ = now_ >= 1s + kWarmUp;
      generate_arrivals();
      advance_engines();
      run_decisions();
      measure();
    }
    return results_;
  }

 private:
  struct Query {
    std::size_t stream = 0;
    Time arrived_at{}, deadline{};
    double work_s = 0;
    EngineId engine = 0;
    unsigned attempts = 0;
    bool waiting = true;
    bool is_measured = false;
  };

  void generate_arrivals() {
    for (std::size_t s = 0; s < streams_.size(); ++s) {
      std::poisson_distribution<int> draw(streams_[s].requests_per_s *
                                          std::chrono::duration<double>(kTimeStep).count());
      for (int n = draw(random_); n > 0; --n) {
        const auto ticket = ++last_ticket_;
        auto& query = queries_[ticket];
        query.stream = s;
        query.arrived_at = now_;
        query.deadline = now_ + settings(false).classes[streams_[s].cls].timeout;
        query.work_s = streams_[s].work_s * std::exponential_distribution<double>(1)(random_);
        query.is_measured = is_measuring_;
        if (is_measuring_) results_.requests[streams_[s].group] += 1;
        front_queue_ ? enter_front_queue(ticket) : submit(ticket);
      }
    }
  }

  void enter_front_queue(router::Ticket ticket) {
    front_queue_->advance_time(now_, registry_->decision_engine().pool_threads());
    (void)front_queue_->admit(static_cast<RequestId>(ticket), streams_[queries_[ticket].stream].group, false,
                              {streams_[queries_[ticket].stream].cls, 0, {}});
  }

  void submit(router::Ticket ticket) {
    const auto& query = queries_[ticket];
    const auto& stream = streams_[query.stream];
    if (decision_engine_) {
      const auto id = static_cast<RequestId>(ticket);
      RequestArrived arrival;
      arrival.request = id;
      arrival.class_index = stream.cls;
      arrival.time_left = query.deadline - now_;
      pending_events_.emplace_back(arrival);
      thread_limit_order_.requests[id] = {static_cast<std::size_t>(stream.group[0] - 'a' + 1), stream.cls, 0,
                                          true};
      return;
    }
    router::RequestSpec spec;
    spec.ticket = ticket;
    spec.request.class_index = stream.cls;
    spec.request.tenant = static_cast<std::uint32_t>(stream.group[0] - 'a');
    spec.request.time_left = query.deadline - now_;
    spec.group = stream.group;
    registry_->add_request(now_, spec);
  }

  void advance_engines() {
    for (unsigned e = 0; e < kEngines; ++e) {
      std::vector<std::uint64_t> done;
      engines_[e].advance(now_, done);
      for (const auto ticket : done) {
        auto& query = queries_.at(ticket);
        const auto& stream = streams_[query.stream];
        if (query.is_measured && now_ <= query.deadline) {
          const auto& cls = settings(false).classes[stream.cls];
          const auto aim =
              cls.latency_objective + Time(static_cast<std::int64_t>(cls.latency_objective_per_work *
                                                                     query.work_s / cls.threads * 1e9));
          if (now_ - query.arrived_at <= aim) results_.in_time[stream.group] += 1;
        }
        finish_attempt(ticket, AttemptResult::served, static_cast<double>(engines_[e].running()));
      }
    }
  }

  void finish_attempt(router::Ticket ticket, AttemptResult result, double load) {
    auto& query = queries_.at(ticket);
    const auto n = static_cast<AttemptIndex>(query.attempts - 1);
    if (front_queue_) {
      front_queue_->advance_time(now_, registry_->decision_engine().pool_threads());
      front_queue_->attempt_ended(static_cast<RequestId>(ticket), 0, true);
    }
    if (decision_engine_) {
      AttemptFinished outcome;
      outcome.request = static_cast<RequestId>(ticket);
      outcome.attempt = n;
      outcome.engine = query.engine;
      outcome.result = result;
      outcome.latency = now_ - query.arrived_at;
      outcome.request_finished = true;
      outcome.load = {load};
      pending_events_.emplace_back(outcome);
      thread_limit_order_.requests.erase(static_cast<RequestId>(ticket));
      remove_query(ticket);
      return;
    }
    router::AttemptEnd end;
    end.ticket = ticket;
    end.attempt = n;
    end.result = result;
    end.at = now_;
    end.load = {load};
    registry_->attempt_finished(now_, end);
  }

  void remove_query(router::Ticket ticket) {
    const auto found = queries_.find(ticket);
    if (found == queries_.end()) return;
    if (front_queue_) front_queue_->request_finished(static_cast<RequestId>(ticket));
    if (found->second.engine != 0) engines_[found->second.engine - 1].remove(now_, ticket);
    queries_.erase(found);
  }

  void start_attempt(router::Ticket ticket, EngineId engine) {
    auto& query = queries_.at(ticket);
    const auto& stream = streams_[query.stream];
    query.engine = engine;
    ++query.attempts;
    query.waiting = false;
    if (query.is_measured)
      results_.hold_s[stream.group] += std::chrono::duration<double>(now_ - query.arrived_at).count();
    if (query.is_measured) results_.started[stream.group] += 1;
    rehearsal::Job job;
    job.id = ticket;
    job.work = query.work_s;
    job.threads = kClassFacts[stream.cls].threads;
    engines_[engine - 1].add(now_, job);
  }

  void run_decisions() {
    if (front_queue_) {
      // Submits the threads of the pool and those of one more query, so that the decision engine always
      // has a choice.
      front_queue_->advance_time(now_, registry_->decision_engine().pool_threads());
      std::vector<router::Ticket> late;
      for (const auto& [ticket, query] : queries_)
        if (query.waiting && !submitted_.contains(ticket) && now_ >= query.deadline - 45ms)
          late.push_back(ticket);
      for (const auto ticket : late) remove_query(ticket);
      for (ClassIndex c = 0; c < 2; ++c)
        while (submitted_threads_ + kClassFacts[c].threads <=
               registry_->decision_engine().pool_threads() + 4) {
          const auto& ids = front_queue_->next_requests(c);
          if (ids.empty()) break;
          const auto ticket = ids.front();
          front_queue_->attempt_started(ticket);
          submitted_threads_ += kClassFacts[c].threads;
          submitted_.insert(ticket);
          submit(ticket);
        }
    }
    if (decision_engine_) return run_decision_engine();
    if (registry_->next_due() > now_) return;
    do {
      commands_.clear();
      registry_->run(now_, commands_);
      for (const auto& command : commands_) execute(command);
    } while (registry_->next_due() <= Time::zero());
  }

  void run_decision_engine() {
    std::erase_if(timers_, [this](Time at) {
      if (at <= now_) pending_events_.emplace_back(TimerFired{});
      return at <= now_;
    });
    if (pending_events_.empty()) return;
    std::vector<Action> actions;
    thread_limit_order_.pool = std::max(1.0, decision_engine_->pool_threads());
    decision_engine_->handle(now_, std::exchange(pending_events_, {}), actions);
    for (const auto& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) timers_.push_back(now_ + timer->delay);
      if (const auto* start = std::get_if<StartAttempt>(&action))
        start_attempt(start->request, start->engine);
      const auto finish_query = [&](RequestId id) {
        thread_limit_order_.requests.erase(id);
        const auto query = queries_.find(id);
        if (query != queries_.end() && query->second.attempts > 0) {
          AttemptFinished outcome;
          outcome.request = id;
          outcome.engine = query->second.engine;
          outcome.result = AttemptResult::cancelled;
          outcome.request_finished = true;
          pending_events_.emplace_back(outcome);
        }
        remove_query(id);
      };
      if (const auto* reject = std::get_if<Reject>(&action)) finish_query(reject->request);
      if (const auto* fail = std::get_if<FailRequest>(&action)) finish_query(fail->request);
    }
  }

  void leave_registry(router::Ticket ticket) {
    if (!front_queue_ || submitted_.erase(ticket) == 0) return;
    submitted_threads_ -= kClassFacts[streams_[queries_.at(ticket).stream].cls].threads;
  }

  void execute(const router::Command& command) {
    if (const auto* start = std::get_if<router::DispatchAttempt>(&command))
      return start_attempt(start->ticket, start->engine);
    if (const auto* stop = std::get_if<router::StopAttempt>(&command)) {
      const auto query = queries_.find(stop->ticket);
      if (query == queries_.end() || query->second.engine == 0) return;
      engines_[query->second.engine - 1].remove(now_, stop->ticket);
      return finish_attempt(stop->ticket, AttemptResult::cancelled, 0);
    }
    if (const auto* deliver = std::get_if<router::DeliverResponse>(&command)) {
      leave_registry(deliver->ticket);
      remove_query(deliver->ticket);
    }
    if (const auto* answer = std::get_if<router::FinishRequest>(&command)) {
      leave_registry(answer->ticket);
      const auto query = queries_.find(answer->ticket);
      // If an attempt is still in flight, the registry sends a command to stop it.
      if (query != queries_.end() && query->second.attempts == 0) remove_query(answer->ticket);
    }
  }

  void measure() {
    if (!is_measuring_) return;
    const double step = std::chrono::duration<double>(kTimeStep).count();
    bool waits = false;
    for (const auto& [ticket, query] : queries_) {
      waits = waits || query.waiting;
      if (!query.waiting && query.engine != 0)
        results_.engine_s[streams_[query.stream].group] +=
            step * kClassFacts[streams_[query.stream].cls].threads;
    }
    for (const auto& engine : engines_) {
      results_.total_core_s += step * kCores;
      if (waits) results_.idle_core_s += step * kCores * (1 - engine.busy());
    }
  }

  std::vector<Stream> streams_;
  pcg64 random_;
  std::unique_ptr<groups::Shares> front_queue_;
  ThreadLimitOrder thread_limit_order_;
  std::optional<DecisionEngine> decision_engine_;
  std::unique_ptr<router::RequestRegistry> registry_;
  std::vector<rehearsal::EngineModel> engines_;
  std::map<router::Ticket, Query> queries_;
  std::set<router::Ticket> submitted_;
  double submitted_threads_ = 0;
  std::vector<Event> pending_events_;
  std::vector<Time> timers_;
  std::vector<router::Command> commands_;
  router::Ticket last_ticket_ = 0;
  Time now_{};
  bool is_measuring_ = false;
  Results results_;
};

void print_table(const char* title, const std::vector<Stream>& streams, std::uint64_t seed) {
  fmt::print("\n{}\n", title);
  for (const auto& s : streams)
    fmt::print("  group {}: {:.0f} {} a second of {:.0f} ms\n", s.group, s.requests_per_s,
               s.cls == 0 ? "lookups" : "reports", 1000 * s.work_s);
  fmt::print("{:<14} {:>23} {:>23} {:>23} {:>7}\n", "", "engine time a/b/c, %", "in time a/b/c, %",
             "mean hold a/b/c, ms", "idle %");
  for (const auto option : {Option::decision_engine_only, Option::tenants, Option::front_queue,
                            Option::thread_limit, Option::dispatch_order}) {
    auto results = Day(option, streams, seed).run();
    double total_engine_s = 0;
    for (const auto& [group, s] : results.engine_s) total_engine_s += s;
    std::string shares, in_time, hold;
    for (const auto* group : {"a", "b", "c"}) {
      shares += fmt::format(" {:>6.1f}", 100 * results.engine_s[group] / total_engine_s);
      in_time +=
          fmt::format(" {:>6.1f}", 100 * results.in_time[group] / std::max(1.0, results.requests[group]));
      hold += fmt::format(" {:>6.0f}", 1000 * results.hold_s[group] / std::max(1.0, results.started[group]));
    }
    fmt::print("{:<14} {:>23} {:>23} {:>23} {:>7.1f}\n", kNames[static_cast<std::size_t>(option)], shares,
               in_time, hold, 100 * results.idle_core_s / results.total_core_s);
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  fmt::print("{} engines of {:.0f} cores, one gateway; weights a 5, b 3, c 2; {} s after {} s\n", kEngines,
             kCores, kMeasuredTime / 1s, kWarmUp / 1s);
  print_table("all three past their share, one class",
              {{"a", 0, 400, 0.04}, {"b", 0, 400, 0.04}, {"c", 0, 400, 0.04}}, seed);
  print_table("c floods with thirty times its share",
              {{"a", 0, 100, 0.04}, {"b", 0, 60, 0.04}, {"c", 0, 2400, 0.04}}, seed);
  print_table("b sends reports only, past its share",
              {{"a", 0, 150, 0.04}, {"b", 1, 10, 1.6}, {"c", 0, 200, 0.04}}, seed);
  print_table("nobody past the whole", {{"a", 0, 60, 0.04}, {"b", 1, 2, 1.6}, {"c", 0, 60, 0.04}}, seed);
  return 0;
}
