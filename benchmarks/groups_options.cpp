// How a tree of shares may meet the module: the options of docs/groups.md on the same virtual days, with the
// real host and module and the stand-ins' engine model. Virtual time: the same figures on any machine.
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
constexpr Time kStep = 1ms, kWarmUp = 10s, kLength = 40s;

enum class Option { alone, tenants, gate, limit, turns };
constexpr std::array<const char*, 5> kNames{"module alone", "tenants", "gate before", "thread limit",
                                            "turns"};

struct Stream {  // of requests, of one group
  std::string group;
  ClassIndex cls = 0;
  double per_s = 0;
  double work_s = 0;  // mean, of all threads
};

struct Figures {
  std::map<std::string, double> engine_s, in_time, asked, hold_s, released;
  double idle_s = 0, cores_s = 0;  // core-seconds unused while something waited; of all
};

groups::Tree tree() {
  auto section = yaml::Section::text("groups: {a: {weight: 5}, b: {weight: 3}, c: {weight: 2}}", "tree");
  return groups::Tree::read(section);
}
const std::vector<groups::Shares::ClassFacts> kFacts{{1, false}, {4, false}};

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

// Shares as a limit on the threads that a group has out: the pool divided anew whenever it is asked.
class Limits final : public DispatchOrder {
 public:
  Limits() : tree_(tree()) {}
  struct Held {
    std::size_t group = 0;
    ClassIndex cls = 0;
    unsigned out = 0;
    bool waiting = true;
  };
  const std::vector<RequestId>& next_requests(ClassIndex cls) override {
    std::vector<double> wanted(tree_.groups().size());
    for (const auto& [id, held] : requests)
      wanted[held.group] += (held.out + (held.waiting ? 1 : 0)) * kFacts[held.cls].threads;
    const auto given = groups::divide(tree_, pool, wanted);
    std::vector<double> out(given.size());
    for (const auto& [id, held] : requests) out[held.group] += held.out * kFacts[held.cls].threads;
    found_.clear();
    for (const auto& [id, held] : requests)
      if (held.waiting && held.cls == cls &&
          out[held.group] + kFacts[cls].threads <= given[held.group] + 1e-9) {
        found_.push_back(id);
        break;
      }
    return found_;
  }
  void attempt_started(RequestId id) override {
    auto& held = requests.at(id);
    held.waiting = false;
    ++held.out;
  }
  std::map<RequestId, Held> requests;
  double pool = 1;

 private:
  groups::Tree tree_;
  std::vector<RequestId> found_;
};

class Day {
 public:
  Day(Option option, std::vector<Stream> streams, std::uint64_t seed)
      : streams_(std::move(streams)), random_(seed) {
    auto shares = std::make_unique<groups::Shares>(tree(), kFacts, groups::ShareSettings{});
    if (option == Option::gate) gate_ = std::move(shares);
    if (option == Option::limit) {
      // The host's own books of attempts need no change for this option: the module alone hears of it.
      gateway_.emplace(settings(false), 1, &limits_);
    }
    host_ = std::make_unique<router::RequestRegistry>(settings(option == Option::tenants), 1, 1,
                                                      option == Option::turns ? std::move(shares) : nullptr);
    for (unsigned e = 0; e < kEngines; ++e)
      engines_.emplace_back(rehearsal::Traits{.cores = kCores, .disks = 8}, Time{}, true);
  }

  Figures run() {
    EndpointUpdate list;
    for (EngineId e = 1; e <= kEngines; ++e) list.endpoints.push_back({.engine = e});
    if (gateway_) direct_.emplace_back(list);
    host_->endpoints_updated(list);
    for (now_ = 1s; now_ < 1s + kWarmUp + kLength; now_ += kStep) {
      counts_ = now_ >= 1s + kWarmUp;
      arrive();
      engines();
      decide();
      watch();
    }
    return figures_;
  }

 private:
  struct Query {
    std::size_t stream = 0;
    Time came{}, deadline{};
    double work_s = 0;
    EngineId engine = 0;
    unsigned attempts = 0;
    bool waiting = true;
    bool counts = false;
  };

  void arrive() {
    for (std::size_t s = 0; s < streams_.size(); ++s) {
      std::poisson_distribution<int> draw(streams_[s].per_s * std::chrono::duration<double>(kStep).count());
      for (int n = draw(random_); n > 0; --n) {
        const auto ticket = ++tickets_;
        auto& query = queries_[ticket];
        query.stream = s;
        query.came = now_;
        query.deadline = now_ + settings(false).classes[streams_[s].cls].timeout;
        query.work_s = streams_[s].work_s * std::exponential_distribution<double>(1)(random_);
        query.counts = counts_;
        if (counts_) figures_.asked[streams_[s].group] += 1;
        gate_ ? enter_gate(ticket) : hand_over(ticket);
      }
    }
  }

  void enter_gate(router::Ticket ticket) {
    gate_->advance_time(now_, host_->decision_engine().pool_threads());
    (void)gate_->admit(static_cast<RequestId>(ticket), streams_[queries_[ticket].stream].group, false,
                       {streams_[queries_[ticket].stream].cls, 0, {}});
  }

  void hand_over(router::Ticket ticket) {
    const auto& query = queries_[ticket];
    const auto& stream = streams_[query.stream];
    if (gateway_) {
      const auto id = static_cast<RequestId>(ticket);
      RequestArrived asked;
      asked.request = id;
      asked.class_index = stream.cls;
      asked.time_left = query.deadline - now_;
      direct_.emplace_back(asked);
      limits_.requests[id] = {static_cast<std::size_t>(stream.group[0] - 'a' + 1), stream.cls, 0, true};
      return;
    }
    router::RequestSpec ask;
    ask.ticket = ticket;
    ask.request.class_index = stream.cls;
    ask.request.tenant = static_cast<std::uint32_t>(stream.group[0] - 'a');
    ask.request.time_left = query.deadline - now_;
    ask.group = stream.group;
    host_->add_request(now_, ask);
  }

  void engines() {
    for (unsigned e = 0; e < kEngines; ++e) {
      std::vector<std::uint64_t> done;
      engines_[e].advance(now_, done);
      for (const auto ticket : done) {
        auto& query = queries_.at(ticket);
        const auto& stream = streams_[query.stream];
        if (query.counts && now_ <= query.deadline) {
          const auto& cls = settings(false).classes[stream.cls];
          const auto aim =
              cls.latency_objective + Time(static_cast<std::int64_t>(cls.latency_objective_per_work *
                                                                     query.work_s / cls.threads * 1e9));
          if (now_ - query.came <= aim) figures_.in_time[stream.group] += 1;
        }
        ended(ticket, AttemptResult::served, static_cast<double>(engines_[e].running()));
      }
    }
  }

  void ended(router::Ticket ticket, AttemptResult result, double load) {
    auto& query = queries_.at(ticket);
    const auto n = static_cast<AttemptIndex>(query.attempts - 1);
    if (gate_) {
      gate_->advance_time(now_, host_->decision_engine().pool_threads());
      gate_->attempt_ended(static_cast<RequestId>(ticket), 0, true);
    }
    if (gateway_) {
      AttemptFinished outcome;
      outcome.request = static_cast<RequestId>(ticket);
      outcome.attempt = n;
      outcome.engine = query.engine;
      outcome.result = result;
      outcome.latency = now_ - query.came;
      outcome.request_finished = true;
      outcome.load = {load};
      direct_.emplace_back(outcome);
      limits_.requests.erase(static_cast<RequestId>(ticket));
      over(ticket);
      return;
    }
    router::AttemptEnd end;
    end.ticket = ticket;
    end.attempt = n;
    end.result = result;
    end.at = now_;
    end.load = {load};
    host_->attempt_finished(now_, end);
  }

  void over(router::Ticket ticket) {
    const auto found = queries_.find(ticket);
    if (found == queries_.end()) return;
    if (gate_) gate_->request_finished(static_cast<RequestId>(ticket));
    if (found->second.engine != 0) engines_[found->second.engine - 1].remove(now_, ticket);
    queries_.erase(found);
  }

  void send(router::Ticket ticket, EngineId engine) {
    auto& query = queries_.at(ticket);
    const auto& stream = streams_[query.stream];
    query.engine = engine;
    ++query.attempts;
    query.waiting = false;
    if (query.counts)
      figures_.hold_s[stream.group] += std::chrono::duration<double>(now_ - query.came).count();
    if (query.counts) figures_.released[stream.group] += 1;
    rehearsal::Job job;
    job.id = ticket;
    job.work = query.work_s;
    job.threads = kFacts[stream.cls].threads;
    engines_[engine - 1].add(now_, job);
  }

  void decide() {
    if (gate_) {
      // As many as may be out, and one query's threads more, so that the module always has a choice.
      gate_->advance_time(now_, host_->decision_engine().pool_threads());
      std::vector<router::Ticket> late;
      for (const auto& [ticket, query] : queries_)
        if (query.waiting && !in_module_.contains(ticket) && now_ >= query.deadline - 45ms)
          late.push_back(ticket);
      for (const auto ticket : late) over(ticket);
      for (ClassIndex c = 0; c < 2; ++c)
        while (inside_ + kFacts[c].threads <= host_->decision_engine().pool_threads() + 4) {
          const auto& ids = gate_->next_requests(c);
          if (ids.empty()) break;
          const auto ticket = ids.front();
          gate_->attempt_started(ticket);
          inside_ += kFacts[c].threads;
          in_module_.insert(ticket);
          hand_over(ticket);
        }
    }
    if (gateway_) return decide_direct();
    if (host_->next_due() > now_) return;
    do {
      commands_.clear();
      host_->run(now_, commands_);
      for (const auto& command : commands_) carry_out(command);
    } while (host_->next_due() <= Time::zero());
  }

  void decide_direct() {
    std::erase_if(wakes_, [this](Time at) {
      if (at <= now_) direct_.emplace_back(TimerFired{});
      return at <= now_;
    });
    if (direct_.empty()) return;
    std::vector<Action> actions;
    limits_.pool = std::max(1.0, gateway_->pool_threads());
    gateway_->handle(now_, std::exchange(direct_, {}), actions);
    for (const auto& action : actions) {
      if (const auto* wake = std::get_if<SetTimer>(&action)) wakes_.push_back(now_ + wake->delay);
      if (const auto* go = std::get_if<StartAttempt>(&action)) send(go->request, go->engine);
      const auto end = [&](RequestId id) {
        limits_.requests.erase(id);
        const auto query = queries_.find(id);
        if (query != queries_.end() && query->second.attempts > 0) {
          AttemptFinished outcome;
          outcome.request = id;
          outcome.engine = query->second.engine;
          outcome.result = AttemptResult::cancelled;
          outcome.request_finished = true;
          direct_.emplace_back(outcome);
        }
        over(id);
      };
      if (const auto* refuse = std::get_if<Reject>(&action)) end(refuse->request);
      if (const auto* fail = std::get_if<FailRequest>(&action)) end(fail->request);
    }
  }

  void left_module(router::Ticket ticket) {
    if (!gate_ || in_module_.erase(ticket) == 0) return;
    inside_ -= kFacts[streams_[queries_.at(ticket).stream].cls].threads;
  }

  void carry_out(const router::Command& command) {
    if (const auto* start = std::get_if<router::DispatchAttempt>(&command))
      return send(start->ticket, start->engine);
    if (const auto* stop = std::get_if<router::StopAttempt>(&command)) {
      const auto query = queries_.find(stop->ticket);
      if (query == queries_.end() || query->second.engine == 0) return;
      engines_[query->second.engine - 1].remove(now_, stop->ticket);
      return ended(stop->ticket, AttemptResult::cancelled, 0);
    }
    if (const auto* deliver = std::get_if<router::DeliverResponse>(&command)) {
      left_module(deliver->ticket);
      over(deliver->ticket);
    }
    if (const auto* answer = std::get_if<router::FinishRequest>(&command)) {
      left_module(answer->ticket);
      const auto query = queries_.find(answer->ticket);
      // Its attempt may still be out: the host asks to stop it.
      if (query != queries_.end() && query->second.attempts == 0) over(answer->ticket);
    }
  }

  void watch() {
    if (!counts_) return;
    const double step = std::chrono::duration<double>(kStep).count();
    bool waits = false;
    for (const auto& [ticket, query] : queries_) {
      waits = waits || query.waiting;
      if (!query.waiting && query.engine != 0)
        figures_.engine_s[streams_[query.stream].group] += step * kFacts[streams_[query.stream].cls].threads;
    }
    for (const auto& engine : engines_) {
      figures_.cores_s += step * kCores;
      if (waits) figures_.idle_s += step * kCores * (1 - engine.busy());
    }
  }

  std::vector<Stream> streams_;
  pcg64 random_;
  std::unique_ptr<groups::Shares> gate_;
  Limits limits_;
  std::optional<DecisionEngine> gateway_;
  std::unique_ptr<router::RequestRegistry> host_;
  std::vector<rehearsal::EngineModel> engines_;
  std::map<router::Ticket, Query> queries_;
  std::set<router::Ticket> in_module_;
  double inside_ = 0;
  std::vector<Event> direct_;
  std::vector<Time> wakes_;
  std::vector<router::Command> commands_;
  router::Ticket tickets_ = 0;
  Time now_{};
  bool counts_ = false;
  Figures figures_;
};

void table(const char* title, const std::vector<Stream>& streams, std::uint64_t seed) {
  fmt::print("\n{}\n", title);
  for (const auto& s : streams)
    fmt::print("  group {}: {:.0f} {} a second of {:.0f} ms\n", s.group, s.per_s,
               s.cls == 0 ? "lookups" : "reports", 1000 * s.work_s);
  fmt::print("{:<14} {:>23} {:>23} {:>23} {:>7}\n", "", "engine time a/b/c, %", "in time a/b/c, %",
             "mean hold a/b/c, ms", "idle %");
  for (const auto option : {Option::alone, Option::tenants, Option::gate, Option::limit, Option::turns}) {
    auto f = Day(option, streams, seed).run();
    double all = 0;
    for (const auto& [group, s] : f.engine_s) all += s;
    std::string shares, worth, hold;
    for (const auto* group : {"a", "b", "c"}) {
      shares += fmt::format(" {:>6.1f}", 100 * f.engine_s[group] / all);
      worth += fmt::format(" {:>6.1f}", 100 * f.in_time[group] / std::max(1.0, f.asked[group]));
      hold += fmt::format(" {:>6.0f}", 1000 * f.hold_s[group] / std::max(1.0, f.released[group]));
    }
    fmt::print("{:<14} {:>23} {:>23} {:>23} {:>7.1f}\n", kNames[static_cast<std::size_t>(option)], shares,
               worth, hold, 100 * f.idle_s / f.cores_s);
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  fmt::print("{} engines of {:.0f} cores, one gateway; weights a 5, b 3, c 2; {} s after {} s\n", kEngines,
             kCores, kLength / 1s, kWarmUp / 1s);
  table("all three past their share, one class",
        {{"a", 0, 400, 0.04}, {"b", 0, 400, 0.04}, {"c", 0, 400, 0.04}}, seed);
  table("c floods with thirty times its share",
        {{"a", 0, 100, 0.04}, {"b", 0, 60, 0.04}, {"c", 0, 2400, 0.04}}, seed);
  table("b sends reports only, past its share", {{"a", 0, 150, 0.04}, {"b", 1, 10, 1.6}, {"c", 0, 200, 0.04}},
        seed);
  table("nobody past the whole", {{"a", 0, 60, 0.04}, {"b", 1, 2, 1.6}, {"c", 0, 60, 0.04}}, seed);
  return 0;
}
