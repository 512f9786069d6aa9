#include "engine_selector.hpp"

#include <algorithm>
#include <ranges>

namespace heronwell {
namespace {
// Threads per core, of all routers, above which no router sends to an engine: beyond this, throughput falls
// as the load rises.
constexpr double kMaxThreadsPerCore = 2.2;

// Part of the limits that classes after the first in rank may use in a small pool. The rest is reserved for
// the first class, because thread budgets cannot reserve it there.
constexpr double kLaterClassLimitRatio = 0.7;

// Latency ratio up to which an engine counts as running at its usual speed, and the largest factor by which a
// slow fleet raises this limit.
constexpr double kUsualLatencyRatio = 1.5;
constexpr double kMaxFleetLatencyRatio = 1.2;

// Engines drawn at random for each comparison in a large fleet, so that engines without recent reports are
// considered too.
constexpr std::size_t kRandomCandidates = 2;

// Weight, in an engine's score, of the load extrapolated from this router's own threads on it; the rest is
// the reported load. Reports are delayed, and all routers read the same ones.
constexpr double kOwnLoadRatio = 0.25;

// Largest number of routers to which this router's own threads are extrapolated: with more routers, one own
// thread says little about the others.
constexpr double kMaxExtrapolatedRouters = 6;

// Penalty, in threads per core, on engines of another zone, for a cross-zone cost of 1.
constexpr double kCrossZoneThreadsPerCore = 20;

// Penalty, in threads per core, on an engine that already had an attempt of the request: it may be the reason
// why that attempt failed.
constexpr double kSameEngineThreadsPerCore = 3.0;

// Bonus, in threads per core, for a group's preferred engines, which have its data in their caches.
constexpr double kCachedDataThreadsPerCore = 0.3;

// Penalty, in threads per core, that keeps queries that wait for loads of a data group away from the engines
// on which these loads run.
constexpr double kLoadAvoidanceThreadsPerCore = 6.0;

// Amplitude of the random noise on scores, in threads per core. The first value always applies, so that equal
// engines share the load; the second is added in proportion to the unreliability of the reports.
constexpr double kMinScoreNoise = 0.01;
constexpr double kUnreliableScoreNoise = 4.0;
}  // namespace

EngineSelector::EngineSelector(const Settings& settings, const Clock& clock, const ClassRanking& ranking,
                               RandomSource& random, Parts parts)
    : settings_(settings),
      clock_(clock),
      ranking_(ranking),
      random_(random),
      parts_(parts),
      some_class_waits_for_loads_(
          std::ranges::any_of(settings.classes, &ClassSettings::waits_for_data_group)),
      preferred_(parts.engines) {}

Engine* EngineSelector::select(Request& request) {
  const auto& engines = candidates(request);
  if (parts_.health_checker.check_for(request, engines)) return nullptr;
  Engine* best = nullptr;
  double best_score = 0;
  for (auto* engine : engines) {
    if (!may_take(request, *engine)) continue;
    const double noise = kMinScoreNoise + kUnreliableScoreNoise * (1 - parts_.load.report_reliability());
    const double noisy_score = score(request, *engine) + noise * random_.fraction();
    if (best == nullptr || noisy_score < best_score) {
      best = engine;
      best_score = noisy_score;
    }
  }
  return best;
}

bool EngineSelector::may_take(const Request& request, Engine& engine) {
  const auto is_awaited_there = [&](const Attempt& attempt) {
    return attempt.is_awaited() && attempt.engine == engine.id();
  };
  return parts_.outliers.admits(request, engine) && has_capacity(engine, request.arrival.class_index) &&
         parts_.rules.may_start(request, engine) && !std::ranges::any_of(request.attempts, is_awaited_there);
}

void EngineSelector::add_candidate(Engine* engine) {
  if (*engine->comparison != comparison_ && engine->is_ready()) compared_.push_back(engine);
  engine->comparison.edit() = comparison_;
}

const std::vector<Engine*>& EngineSelector::candidates(const Request& request) {
  const auto data_group = request.arrival.data_group;
  if (some_class_waits_for_loads_ && parts_.requests.settings_of(request).holds_data_group)
    return preferred_.of(data_group);
  const auto& ready = parts_.engines.ready();
  if (ready.size() <= kMaxComparedEngines) return ready;
  compared_.clear();
  ++comparison_;
  for (auto* engine : parts_.slow_start.admitting_engines()) add_candidate(engine);
  for (std::size_t i = 0; i < kRandomCandidates; ++i) add_candidate(ready[random_.below(ready.size())]);
  if (!some_class_waits_for_loads_) {
    const auto& preferred = preferred_.of(data_group);
    if (!preferred.empty()) add_candidate(preferred[random_.below(preferred.size())]);
  }
  for (const auto& report : parts_.load.recent_reports()) {
    if (clock_.now < report.reported_at + kReportLifetime) add_candidate(report.engine);
  }
  return compared_;
}

bool EngineSelector::has_capacity(const Engine& engine, ClassIndex cls) const {
  if (parts_.slow_start.is_warming_up(engine)) return true;  // slow start admits less than the capacity
  const unsigned threads = settings_.classes[cls].threads;
  const double class_ratio = cls == ranking_.front()          ? 1
                             : parts_.engines.is_pool_small() ? kLaterClassLimitRatio
                                                              : 1;
  const double limit_factor = parts_.congestion.limit_factor() * class_ratio;
  const double cores = parts_.engines.cores(engine) * parts_.slow_start.capacity_ratio(engine);
  const auto all_threads = parts_.load.threads_on(engine);
  // Half of the query's threads are counted, so that a limit is exceeded, or not reached, by at most half a
  // query.
  const double own_threads = engine.usage->threads + 0.5 * threads;
  if (all_threads && *all_threads + 0.5 * threads > kMaxThreadsPerCore * limit_factor * cores) return false;
  if (own_threads <= kThreadsPerCore * cores / settings_.router_count || engine.usage->threads == 0)
    return true;
  if (own_threads > kThreadsPerCore * cores) return false;
  if (all_threads) return *all_threads + 0.5 * threads <= kCongestedThreadsPerCore * limit_factor * cores;
  const double fleet_ratio =
      std::max(1.0, std::min(parts_.load.fleet_latency_ratio(), kMaxFleetLatencyRatio));
  return engine.load->latency_ratio <= kUsualLatencyRatio * fleet_ratio;
}

double EngineSelector::score(const Request& request, const Engine& engine) {
  const auto& cls = parts_.requests.settings_of(request);
  const auto data_group = request.arrival.data_group;
  const double own_load =
      engine.usage->threads * std::min<double>(settings_.router_count, kMaxExtrapolatedRouters);
  const double total_load =
      kOwnLoadRatio * own_load + (1 - kOwnLoadRatio) * parts_.load.threads_on(engine).value_or(own_load);
  double score =
      (total_load + cls.threads) / (parts_.engines.cores(engine) * parts_.slow_start.capacity_ratio(engine));
  if (engine.endpoint->zone != settings_.zone) score += kCrossZoneThreadsPerCore * settings_.cross_zone_cost;
  if (!some_class_waits_for_loads_ && preferred_.contains(data_group, engine))
    score -= kCachedDataThreadsPerCore;
  if (cls.waits_for_data_group && preferred_.contains(data_group, engine))
    score += kLoadAvoidanceThreadsPerCore;
  const auto ran_there = [&](const Attempt& attempt) { return attempt.engine == engine.id(); };
  return std::ranges::any_of(request.attempts, ran_there) ? score + kSameEngineThreadsPerCore : score;
}

}  // namespace heronwell
