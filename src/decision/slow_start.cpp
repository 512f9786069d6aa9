#include "slow_start.hpp"

#include <algorithm>

namespace heronwell {
namespace {
using namespace std::chrono_literals;

// All routers together send at most this part of the work that overloads a warming engine. The rest is a
// margin for admissions that happen to fall together.
constexpr double kAdmittedRatio = 0.8;

// How long an admission may be used. About as long as a router waits for its next request of a heavy class.
constexpr Time kAdmissionLifetime = 1s;

// Longest time that one draw stands for, in seconds. A router that had not run gets no admissions for that
// time: all routers of a machine would come back with theirs at once.
constexpr double kMaxDrawSeconds = 0.1;

// Core-seconds a second that a core does at most: what "capacity" in the overload ratio stands for.
constexpr double kFullCapacityPerCore = 0.85;

// Heard within this time of a broken connection, it was the network: no process ends and starts in less.
constexpr Time kMinRestartTime = 500ms;
}  // namespace

void SlowStart::restart(Engine& engine, Time started_at) {
  auto& state = engine.slow_start.edit();
  state.started_at = started_at;
  state.connection_broken_at = Time::zero();
}

void SlowStart::record_connection_failure(Engine& engine, ConnectionFailure failure) {
  auto& state = engine.slow_start.edit();
  if (state.connection_broken_at == Time::zero()) state.started_before_break = state.started_at;
  state.started_at = clock_.now;
  state.connection_broken_at = failure == ConnectionFailure::reset ? clock_.now : Time::zero();
}

void SlowStart::record_liveness(Engine& engine, Time at) {
  auto& state = engine.slow_start.edit();
  if (state.connection_broken_at == Time::zero() || at <= state.connection_broken_at) return;
  if (at <= state.connection_broken_at + kMinRestartTime) state.started_at = state.started_before_break;
  state.connection_broken_at = Time::zero();
}

void SlowStart::draw_admissions(double elapsed_seconds) {
  for (auto* engine : engines_.ready()) {
    if (settings_.slow_start_overload_ratio <= 0 || !is_warming_up(*engine)) continue;
    const double rate = kAdmittedRatio * settings_.slow_start_overload_ratio *
                        capacity_ratio(*engine, settings_.slow_start_overload_window) * kFullCapacityPerCore *
                        engines_.cores(*engine) / settings_.router_count;  // core-seconds a second
    const double work = std::max(statistics_.heaviest_work(), rate * to_seconds(kAdmissionLifetime));
    if (random_.fraction() >= std::min(elapsed_seconds, kMaxDrawSeconds) * rate / work) continue;
    engine->slow_start.edit().admission_until = clock_.now + kAdmissionLifetime;
    engine->slow_start.edit().admitted_work = work;
    admitting_.push_back(engine);
  }
}

const std::vector<Engine*>& SlowStart::admitting_engines() {
  std::erase_if(admitting_,
                [this](const Engine* engine) { return clock_.now >= engine->slow_start->admission_until; });
  return admitting_;
}

void SlowStart::remove_gone_engines() { std::erase_if(admitting_, &Engine::is_gone); }

double SlowStart::capacity_ratio(const Engine& engine, Time window) const {
  if (!is_warming_up(engine)) return 1;
  const double age = std::max(0.0, to_seconds(clock_.now - engine.slow_start->started_at - window)) /
                     to_seconds(settings_.slow_start_duration);
  return settings_.slow_start_initial_capacity +
         (1 - settings_.slow_start_initial_capacity) * std::min(1.0, age);
}

bool SlowStart::admits(const Engine& engine, const Request& request) const {
  if (settings_.slow_start_overload_ratio <= 0 || !is_warming_up(engine)) return true;
  return clock_.now < engine.slow_start->admission_until &&
         charged_work(request) <= engine.slow_start->admitted_work;
}

// A query smaller than usual is charged its class's usual work: caches are filled by queries, however small.
double SlowStart::charged_work(const Request& request) const {
  return statistics_.work(request) * std::max(1.0, 1 / request.relative_size);
}

}  // namespace heronwell
