#include "emulator/policy.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <pcg_random.hpp>
#include <set>
#include <utility>

namespace heronwell::emulator {
namespace {

using namespace std::chrono_literals;
using path::Ticket;

constexpr std::array<std::string_view, 7> kNames{"heronwell",         "random",       "round_robin",
                                                 "least_outstanding", "power_of_two", "static_limit",
                                                 "adaptive_limit"};
constexpr unsigned kMostAttempts = 3;
constexpr double kPeak = 1.7;  // threads a core that an engine runs without loss
// Of the adaptive limit, as Netflix' Gradient2 has them.
constexpr double kTolerance = 1.5, kSmoothing = 0.2, kLongWeight = 1.0 / 600, kShortWeight = 1.0 / 10;

class HeronwellPolicy final : public PolicyUnderTest {
 public:
  HeronwellPolicy(path::DecisionEnvironment& world, const config::Config& config, path::Metrics& metrics,
                  std::uint64_t seed, std::size_t shards)
      : strand_(world, config, metrics, seed, shards) {}
  void receive(const std::vector<path::TimedEvent>& told) override { strand_.receive(told); }
  void run() override { strand_.run(); }
  [[nodiscard]] Time next_due() const override { return strand_.next_due(); }
  void on_ready(std::function<void()> then) override { strand_.on_ready(std::move(then)); }
  void update_metrics() override { strand_.update_metrics(); }
  void reload_groups(const std::string& text) override { strand_.reload_groups(text); }
  [[nodiscard]] std::size_t open_count() const override { return strand_.registry().open_count(); }
  [[nodiscard]] std::size_t remembered_count() const override {
    return strand_.registry().remembered_count();
  }

 private:
  path::DecisionLoop strand_;
};

class Textbook final : public PolicyUnderTest {
 public:
  Textbook(Policy policy, path::DecisionEnvironment& world, const config::Config& config, std::uint64_t seed,
           std::size_t shards)
      : policy_(policy),
        world_(world),
        settings_(config.module),
        book_(config.names.zones, config.names.machine_types, world.unix_offset()),
        random_(seed),
        orders_(shards) {}

  void receive(const std::vector<path::TimedEvent>& told) override {
    for (const auto& one : told) on(one);
    run();
  }
  void run() override {
    const auto now = world_.now();
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
      const auto ticket = deadlines_.begin()->second;
      answer(ticket, router::FinalStatus::deadline_exceeded);
    }
    while (!queue_.empty() && (!limited() || running_ < std::max(1.0, limit()))) {
      const auto ticket = queue_.front();
      queue_.pop_front();
      if (open_.contains(ticket)) send(ticket);
    }
    for (std::size_t i = 0; i < orders_.size(); ++i)
      if (!orders_[i].empty()) world_.deliver(i, orders_[i]);
  }
  [[nodiscard]] Time next_due() const override {
    return deadlines_.empty() ? Time::max() : deadlines_.begin()->first;
  }
  void on_ready(std::function<void()> then) override { ready_ = std::move(then); }
  void update_metrics() override {}
  void reload_groups(const std::string&) override {}
  [[nodiscard]] std::size_t open_count() const override { return open_.size(); }
  [[nodiscard]] std::size_t remembered_count() const override { return open_.size() + out_.size(); }

 private:
  struct Request {
    ClassIndex cls = 0;
    Time deadline{};
    unsigned attempts = 0;
    EngineId engine = 0;
    bool out = false;
  };
  struct Out {
    EngineId engine = 0;
    unsigned threads = 0;
    Time sent{};
  };

  void on(const path::TimedEvent& told) {
    if (const auto* took = std::get_if<path::RequestReceived>(&told.event)) {
      const auto& asked = took->spec.request;
      const auto deadline = told.at + std::min(asked.time_left, settings_.classes[asked.class_index].timeout);
      open_[took->spec.ticket] = {asked.class_index, deadline, 0, 0, false};
      deadlines_.emplace(deadline, took->spec.ticket);
      queue_.push_back(took->spec.ticket);
    } else if (const auto* left = std::get_if<path::ClientDisconnected>(&told.event)) {
      forget(left->ticket);
    } else if (const auto* end = std::get_if<router::AttemptEnd>(&told.event)) {
      ended(*end);
    } else if (const auto* grown = std::get_if<path::ResponseOverflowed>(&told.event)) {
      order(grown->ticket, router::BeginStream{grown->ticket, grown->attempt});
    } else if (const auto* listed = std::get_if<path::EndpointsChanged>(&told.event)) {
      list(*listed);
    }
  }

  void list(const path::EndpointsChanged& listed) {
    if (listed.failed) return;
    auto change = book_.apply(listed.entries, world_.now());
    if (!change.changed) return;
    const auto fleet = std::make_shared<const path::EndpointMap>(book_.engines());
    for (auto& orders : orders_) orders.emplace_back(fleet);
    engines_.clear();
    for (const auto& engine : change.update.endpoints)
      if (engine.state == EndpointState::ready) engines_.push_back(engine);
    std::ranges::sort(engines_, {}, &Endpoint::engine);
    if (!engines_.empty() && ready_) std::exchange(ready_, nullptr)();
  }

  [[nodiscard]] bool limited() const {
    return engines_.empty() || policy_ == Policy::static_limit || policy_ == Policy::adaptive_limit;
  }
  [[nodiscard]] double limit() const {
    if (engines_.empty()) return 0;
    double threads = 0;
    for (const auto& engine : engines_) threads += settings_.machine_types[engine.machine_type].cores * kPeak;
    const double even = threads / std::max(1U, settings_.router_count);
    return policy_ == Policy::static_limit ? even : adaptive_ > 0 ? adaptive_ : even;
  }
  // By what a query of its class took, against what it takes as a rule.
  void adapt(ClassIndex cls, Time took) {
    const double ms = std::max(0.01, milliseconds(took));
    auto& [usual, lately] = latency_[cls];
    if (usual == 0) usual = lately = ms;
    usual += kLongWeight * (ms - usual);
    lately += kShortWeight * (ms - lately);
    if (usual > 2 * lately) usual *= 0.95;  // it has recovered
    const double now = limit(), gradient = std::clamp(kTolerance * usual / lately, 0.5, 1.0);
    if (running_ < now / 2) return;  // it does not bind
    adaptive_ = std::clamp((1 - kSmoothing) * now + kSmoothing * (now * gradient + std::sqrt(now)), 1.0, 1e5);
  }

  const Endpoint* choose(const Request& request) {
    const auto& cls = settings_.classes[request.cls];
    const auto among = [](const std::optional<std::vector<std::uint16_t>>& allowed, std::uint16_t one) {
      return !allowed || std::ranges::find(*allowed, one) != allowed->end();
    };
    std::vector<const Endpoint*> fit;
    for (const auto& engine : engines_)
      if (among(cls.allowed_zones, engine.zone) && among(cls.allowed_machine_types, engine.machine_type))
        fit.push_back(&engine);
    if (request.attempts > 0 && fit.size() > 1)
      std::erase_if(fit, [&](const Endpoint* one) { return one->engine == request.engine; });
    if (fit.empty()) return nullptr;
    const auto any = [&] { return fit[random_(static_cast<std::uint32_t>(fit.size()))]; };
    const auto less = [&](const Endpoint* a, const Endpoint* b) {
      return threads_[a->engine] < threads_[b->engine];
    };
    switch (policy_) {
      case Policy::random:
        return any();
      case Policy::round_robin:
        return fit[turn_++ % fit.size()];
      case Policy::power_of_two: {
        const auto *one = any(), *other = any();
        return less(other, one) ? other : one;
      }
      default:
        std::ranges::rotate(fit, std::ranges::find(fit, any()));  // ties fall anywhere
        return *std::ranges::min_element(fit, less);
    }
  }

  void send(Ticket ticket) {
    auto& request = open_.at(ticket);
    const auto* engine = choose(request);
    if (engine == nullptr) return answer(ticket, router::FinalStatus::failed);
    const auto threads = settings_.classes[request.cls].threads;
    const auto number = static_cast<AttemptIndex>(request.attempts++);
    request.engine = engine->engine;
    request.out = true;
    out_[{ticket, number}] = {engine->engine, threads, world_.now()};
    threads_[engine->engine] += threads;
    running_ += threads;
    order(ticket, router::DispatchAttempt{ticket, number, engine->engine, request.deadline, {}, {}});
  }

  void ended(const router::AttemptEnd& end) {
    const auto found = out_.find({end.ticket, end.attempt});
    if (found == out_.end()) return;
    const auto out = found->second;
    out_.erase(found);
    threads_[out.engine] -= out.threads;
    running_ -= out.threads;
    const auto open = open_.find(end.ticket);
    if (open == open_.end()) return;  // answered before
    auto& request = open->second;
    request.out = false;
    if (end.result == AttemptResult::served) {
      if (policy_ == Policy::adaptive_limit) adapt(request.cls, end.at - out.sent);
      order(end.ticket, router::DeliverResponse{end.ticket, end.attempt});
      return forget(end.ticket);
    }
    const bool safe = settings_.classes[request.cls].idempotency == Idempotency::idempotent;
    if (safe && request.attempts < kMostAttempts) return send(end.ticket);
    answer(end.ticket, router::FinalStatus::failed);
  }

  void answer(Ticket ticket, router::FinalStatus ending) {
    router::FinishRequest answer;
    answer.ticket = ticket;
    answer.status = ending;
    answer.attempts = open_.at(ticket).attempts;
    answer.provably_never_ran = answer.attempts == 0;
    order(ticket, answer);
    forget(ticket);
  }

  // An attempt that is still out is stopped; its end is told all the same.
  void forget(Ticket ticket) {
    const auto found = open_.find(ticket);
    if (found == open_.end()) return;
    const auto& request = found->second;
    if (request.out)
      order(ticket, router::StopAttempt{ticket, static_cast<AttemptIndex>(request.attempts - 1)});
    deadlines_.erase({request.deadline, ticket});
    open_.erase(found);
  }

  template <class Command>
  void order(Ticket ticket, const Command& command) {
    orders_[path::shard_of(ticket)].emplace_back(std::in_place_type<router::Command>,
                                                 std::in_place_type<Command>, command);
  }

  Policy policy_;
  path::DecisionEnvironment& world_;
  const Settings& settings_;
  fleet::EndpointRegistry book_;
  pcg64 random_;
  std::vector<std::vector<path::ShardCommand>> orders_;
  std::vector<Endpoint> engines_;  // ready
  std::map<Ticket, Request> open_;
  std::map<std::pair<Ticket, AttemptIndex>, Out> out_;
  std::map<EngineId, double> threads_;  // out, of this gateway
  std::deque<Ticket> queue_;
  std::set<std::pair<Time, Ticket>> deadlines_;
  std::map<ClassIndex, std::pair<double, double>> latency_;  // ms: as a rule, lately
  double running_ = 0, adaptive_ = 0;                        // threads
  std::size_t turn_ = 0;
  std::function<void()> ready_;
};

}  // namespace

std::string_view name_of(Policy policy) { return kNames[static_cast<std::size_t>(policy)]; }

std::optional<Policy> policy_of(std::string_view name) {
  const auto* found = std::ranges::find(kNames, name);
  if (found == kNames.end()) return std::nullopt;
  return static_cast<Policy>(found - kNames.begin());
}

std::unique_ptr<PolicyUnderTest> policy_under_test(Policy policy, path::DecisionEnvironment& world,
                                                   const config::Config& config, path::Metrics& metrics,
                                                   std::uint64_t seed, std::size_t shards) {
  if (policy == Policy::heronwell)
    return std::make_unique<HeronwellPolicy>(world, config, metrics, seed, shards);
  return std::make_unique<Textbook>(policy, world, config, seed, shards);
}

}  // namespace heronwell::emulator
