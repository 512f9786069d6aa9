#include "slow_start.hpp"

#include <algorithm>

namespace heronwell {
namespace {
using namespace std::chrono_literals;

// Part of the overload limit of a warming engine that all routers together may send. The rest is a margin for
// admissions that coincide by chance.
constexpr double kAdmittedRatio = 0.8;

// Time in which an admission may be used: about as long as a router waits for its next request of a heavy
// class.
constexpr Time kAdmissionLifetime = 1s;

// Bound, in seconds, on the time that one draw covers. A router gets no admissions for a pause of its
// process; otherwise all paused routers of a machine would resume with their admissions at the same time.
constexpr double kMaxDrawSeconds = 0.1;

// Core-seconds per second that one core provides at most; the overload ratio is relative to this capacity.
constexpr double kFullCapacityPerCore = 0.85;

// Shortest time in which a process can end and start again. If an engine responds within this time after its
// connection broke, the cause was the network.
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
                        engines_.cores(*engine) / settings_.router_count;  // core-seconds per second
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

// A query that is smaller than usual is charged the usual work of its class, because a query fills caches
// independent of its size.
double SlowStart::charged_work(const Request& request) const {
  return statistics_.work(request) * std::max(1.0, 1 / request.relative_size);
}

}  // namespace heronwell
