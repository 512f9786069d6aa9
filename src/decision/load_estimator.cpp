#include "load_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace heronwell {
namespace {
using namespace std::chrono_literals;

// Without any report for this long, the fleet's level counts as unknown. This is twice the lifetime of a
// report.
constexpr Time kLevelLifetime = 5s;

// Time constant, in seconds, with which the weight of a report on an engine decays in favour of the fleet's
// level: the load of an engine changes in about this time.
constexpr double kReportDecaySeconds = 1.5;

// Weight of one load report in the moving average of the fleet's level: the average covers about the last ten
// reports.
constexpr double kLevelReportWeight = 0.1;

// Weight of one answer in the moving average of the latency ratio of the fleet and of an engine. An engine
// has fewer answers, so each has a higher weight.
constexpr double kFleetAnswerWeight = 0.04;
constexpr double kEngineAnswerWeight = 0.1;

// Bounds on one answer's latency ratio, so that a single answer does not dominate the average.
constexpr double kMinLatencyRatio = 0.2;
constexpr double kMaxLatencyRatio = 8.0;

// Lower bound on the weight of one peer message in the average level, so that the level follows a restart
// within seconds.
constexpr double kMinPeerWeight = 0.1;

// Number of messages from peers that are required before the fleet's level is computed from them: fewer
// messages may come from a part of the routers that does not represent the rest.
constexpr unsigned kMinPeerMessages = 10;

// Lower bound on the requests per second of a peer, so that the message of an idle peer does not outweigh all
// others.
constexpr double kMinPeerRequestsPerSecond = 0.2;

// Lower bound on the weight of a report's difference from the fleet's level, so that engines whose load
// really differs still get different estimates.
constexpr double kMinReliability = 0.25;

// Variance divided by the mean of the queries reported for an engine, while load is well balanced. It is 1
// for a Poisson process; the rest is a margin for engines that differ.
constexpr double kNormalDispersion = 1.5;

// Bound on the contribution of one report to the dispersion, and its weight, so that one failed engine does
// not make all reports unreliable.
constexpr double kMaxReportDispersion = 30;
constexpr double kDispersionWeight = 0.05;

// Averaging time of this router's own load, in seconds. It is longer than the delay of late reports, so that
// the average still reflects the load before they were sent.
constexpr double kOwnLoadAveragingSeconds = 5.0;

// Threads per core that are assumed for an engine that rejected a query: above any level at which an engine
// is chosen.
constexpr double kThreadsPerCoreAtRejection = 4;

// Threads per core at a utilization of 1: all cores are busy while some threads wait for disk and network as
// usual.
constexpr double kThreadsPerCoreAtFullUtilization = 1.6;

// Load of an engine in slow start, as a part of the fleet's level: slow start admits queries up to about this
// load, well below what overloads the engine.
constexpr double kWarmingLevelRatio = 0.5;
}  // namespace

LoadEstimator::LoadEstimator(const Settings& settings, const Clock& clock, const EngineTable& engines,
                             const RequestTable& requests, const SlowStart& slow_start)
    : settings_(settings), clock_(clock), engines_(engines), requests_(requests), slow_start_(slow_start) {
  for (const auto& cls : settings.classes)
    mean_class_threads_ += cls.threads / static_cast<double>(settings.classes.size());
}

void LoadEstimator::record_load_fields(Engine& engine, const std::vector<double>& fields) {
  if (fields.empty() || fields.size() > settings_.load_fields.size()) return;
  std::optional<double> threads;
  for (std::size_t i = 0; i < fields.size(); ++i) {
    if (settings_.load_fields[i] == LoadField::in_flight)
      threads =
          std::max(0.0, fields[i] - engine.usage->queries) * threads_per_query() + engine.usage->threads;
    if (settings_.load_fields[i] == LoadField::utilization && threads.value_or(-1) < 0)
      threads = fields[i] * kThreadsPerCoreAtFullUtilization * engines_.cores(engine);
  }
  // Messages that are read after a pause of this router may have been sent at the beginning of the pause.
  if (threads && *threads >= 0)
    record_report(engine, *threads, std::max(engine.load->reported_at, clock_.now - clock_.pause));
}

void LoadEstimator::record_report(Engine& engine, double threads, Time at) {
  store_report(engine, threads, at);
  const double level = threads / engines_.cores(engine);
  const bool level_is_known = fleet_level().has_value();
  if (level_is_known) {
    const double expected = std::max(1.0, report_level_ * engines_.cores(engine) / mean_class_threads_);
    const double dispersion = std::pow(threads / mean_class_threads_ - expected, 2) / expected;
    report_dispersion_ +=
        kDispersionWeight * (std::min(dispersion, kMaxReportDispersion) - report_dispersion_);
  }
  report_level_ = !level_is_known ? level : report_level_ + kLevelReportWeight * (level - report_level_);
  level_updated_at_ = clock_.now;
}

void LoadEstimator::record_overload(Engine& engine) {
  store_report(engine, kThreadsPerCoreAtRejection * engines_.cores(engine), clock_.now);
}

void LoadEstimator::store_report(Engine& engine, double threads, Time at) {
  engine.load.edit().reported_at = at;
  engine.load.edit().other_threads = std::max(0.0, threads - engine.usage->threads);
  recent_.push_front({at, &engine});
  if (recent_.size() > kMaxComparedEngines) recent_.pop_back();
}

void LoadEstimator::record_peer_threads(std::uint32_t router, const std::vector<GossipEntry>& engines) {
  auto& peer = peers_[router];
  peer = {clock_.now, {}};
  for (const auto& entry : engines) peer.threads[entry.engine] = entry.value;
}

// Busy routers send more messages, so each message is weighted by its sender's time between two requests.
void LoadEstimator::record_peer_rate(double threads, double requests_per_second) {
  const double interval = 1 / std::max(kMinPeerRequestsPerSecond, requests_per_second);
  const double weight = std::max(kMinPeerWeight, 1.0 / ++peer_messages_);
  mean_peer_interval_seconds_ += weight * (interval - mean_peer_interval_seconds_);
  mean_peer_threads_ += weight * (interval * threads - mean_peer_threads_);
  level_updated_at_ = clock_.now;
  if (peer_messages_ >= kMinPeerMessages)
    gossip_level_ = mean_peer_threads_ / mean_peer_interval_seconds_ * settings_.router_count /
                    std::max(1.0, engines_.cores());
}

void LoadEstimator::record_latency_ratio(Engine& engine, double ratio) {
  const double bounded = std::clamp(ratio, kMinLatencyRatio, kMaxLatencyRatio);
  fleet_latency_ratio_ += kFleetAnswerWeight * (bounded - fleet_latency_ratio_);
  auto& engine_ratio = engine.load.edit().latency_ratio;
  engine_ratio += kEngineAnswerWeight * (bounded - engine_ratio);
}

void LoadEstimator::average_own_load(double elapsed_seconds) {
  const double weight = std::min(1.0, elapsed_seconds / kOwnLoadAveragingSeconds);
  own_threads_ += weight * (requests_.running_threads() - own_threads_);
  own_queries_ += weight * (engines_.queries_in_flight() - own_queries_);
}

void LoadEstimator::remove_gone_engines() {
  std::erase_if(recent_, [](const RecentReport& report) { return report.engine->is_gone(); });
}

std::optional<double> LoadEstimator::fleet_level() const {
  if (clock_.now > level_updated_at_ + kLevelLifetime) return std::nullopt;
  if (gossip_level_) return gossip_level_;
  return report_level_ < 0 ? std::nullopt : std::optional(report_level_);
}

std::optional<double> LoadEstimator::peers_threads_on(const Engine& engine) const {
  double threads = 0;
  bool is_known = false;
  for (const auto& [router, peer] : peers_) {
    if (clock_.now > peer.received_at + kReportLifetime) continue;
    is_known = true;
    const auto entry = peer.threads.find(engine.id());
    threads += entry == peer.threads.end() ? 0 : entry->second;
  }
  return is_known ? std::optional(threads) : std::nullopt;
}

std::optional<double> LoadEstimator::threads_on(const Engine& engine) const {
  const double own_threads = engine.usage->threads;
  if (const auto peer_threads = peers_threads_on(engine)) return *peer_threads + own_threads;
  const auto level = fleet_level();
  const auto& load = *engine.load;
  const bool is_fresh = load.reported_at > Time::zero() && clock_.now <= load.reported_at + kReportLifetime;
  const double weight = std::exp(-to_seconds(clock_.now - load.reported_at) / kReportDecaySeconds);
  if (!level) return is_fresh ? std::optional(weight * load.other_threads + own_threads) : std::nullopt;
  const double level_ratio = slow_start_.is_warming_up(engine) ? kWarmingLevelRatio : 1;
  const double expected = level_ratio * *level * engines_.cores(engine) * slow_start_.capacity_ratio(engine);
  // If the level comes from the routers' own threads, reports only show differences between engines.
  double difference = 0;
  if (is_fresh && gossip_level_) difference = load.other_threads - report_level_ * engines_.cores(engine);
  if (is_fresh && !gossip_level_) difference = load.other_threads + own_threads - expected;
  return std::max(own_threads, overshoot_ratio() * expected + report_reliability() * weight * difference);
}

double LoadEstimator::report_reliability() const {
  if (gossip_level_) return kMinReliability;
  // Utilization reports are dispersed too: they are bounded by 1 and fall when disks stall.
  return engines_.is_pool_small() ? std::clamp(kNormalDispersion / report_dispersion_, kMinReliability, 1.0)
                                  : 1;
}

// Where reports are unreliable, the current own load relative to its average shows by how much all routers
// exceed the reported load, as all of them overshoot alike.
double LoadEstimator::overshoot_ratio() const {
  if (gossip_level_) return 1;  // messages of peers are fresh
  const double usual = std::max(1.0, own_threads_);
  return 1 +
         (1 - report_reliability()) * std::clamp((requests_.running_threads() - usual) / usual, -1.0, 1.0);
}

// Mean threads per reported query: that of this router's own queries, with one query of the mean over all
// classes as the initial value.
double LoadEstimator::threads_per_query() const {
  return (own_threads_ + mean_class_threads_) / (own_queries_ + 1);
}

}  // namespace heronwell
