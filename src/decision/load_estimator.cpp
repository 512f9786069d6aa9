#include "load_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace heronwell {
namespace {
using namespace std::chrono_literals;

// Without any report for this long nothing is known of the fleet's level: two lifetimes of a report.
constexpr Time kLevelLifetime = 5s;

// Seconds in which what a report says of an engine loses weight to the fleet's level: an engine's load
// changes within about that time. Found by experiment.
constexpr double kReportDecaySeconds = 1.5;

// Weight of one load report in the fleet's level: the last ten engines heard.
constexpr double kLevelReportWeight = 0.1;

// Weight of one answer in the fleet's and in an engine's latency ratio. An engine is judged sooner: it gives
// fewer.
constexpr double kFleetAnswerWeight = 0.04;
constexpr double kEngineAnswerWeight = 0.1;

// One answer counts for a latency ratio between these, so that a single one does not decide.
constexpr double kMinLatencyRatio = 0.2;
constexpr double kMaxLatencyRatio = 8.0;

// Least weight of one peer's message in the level: the level must follow a restart within seconds.
constexpr double kMinPeerWeight = 0.1;

// Messages of peers needed before their own threads give the fleet's level: fewer may all come from one
// corner of it.
constexpr unsigned kMinPeerMessages = 10;

// Requests a second that a peer is taken to have at least: an idle peer's message must not outweigh all
// others.
constexpr double kMinPeerRequestsPerSecond = 0.2;

// The least part of a report's difference that is believed: engines that really differ still look different.
constexpr double kMinReliability = 0.25;

// Variance over mean of the queries reported of an engine when all is well. A Poisson process has 1; the rest
// is a margin for engines that differ. Found by experiment with fresh reports.
constexpr double kNormalDispersion = 1.5;

// What one report may count for in the scatter, and its weight: one engine that failed does not make all
// unreliable.
constexpr double kMaxReportDispersion = 30;
constexpr double kDispersionWeight = 0.05;

// Seconds of memory of the threads that run here: longer than late reports take, so that the average still
// shows the load from before them.
constexpr double kOwnLoadAveragingSeconds = 5.0;

// Threads a core of an engine that rejected a query, at least: past any level at which an engine is chosen.
constexpr double kThreadsPerCoreAtRejection = 4;

// Threads a core that a utilization of 1 stands for: "all cores busy" with the usual waits for disk and
// network.
constexpr double kThreadsPerCoreAtFullUtilization = 1.6;

// A warming engine is filled by admissions, to about this part of the fleet's level: they stay well under
// what overloads it.
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
  // What is read after an absence was sent at its beginning.
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

// Busy routers send more often: each message weighs as the time between two requests of its sender.
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
  // Where the routers' own threads give the level, reports only tell engines apart.
  double difference = 0;
  if (is_fresh && gossip_level_) difference = load.other_threads - report_level_ * engines_.cores(engine);
  if (is_fresh && !gossip_level_) difference = load.other_threads + own_threads - expected;
  return std::max(own_threads, overshoot_ratio() * expected + report_reliability() * weight * difference);
}

double LoadEstimator::report_reliability() const {
  if (gossip_level_) return kMinReliability;
  // Utilization ends at "all busy" and falls when disks stall, so it scatters too.
  return engines_.is_pool_small() ? std::clamp(kNormalDispersion / report_dispersion_, kMinReliability, 1.0)
                                  : 1;
}

// Where reports mislead, what runs here now against the average tells that all routers overshoot alike.
double LoadEstimator::overshoot_ratio() const {
  if (gossip_level_) return 1;  // peers' messages are fresh
  const double usual = std::max(1.0, own_threads_);
  return 1 +
         (1 - report_reliability()) * std::clamp((requests_.running_threads() - usual) / usual, -1.0, 1.0);
}

// Threads of one query among those that reports count: as of those that run here, begun from an even mix.
double LoadEstimator::threads_per_query() const {
  return (own_threads_ + mean_class_threads_) / (own_queries_ + 1);
}

}  // namespace heronwell
