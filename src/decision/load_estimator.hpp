// LoadEstimator estimates the load of engines and of the fleet, in threads of all routers. Its inputs are
// load reports (in answers, health checks and gossip, each with its age), the threads that peer routers
// report as their own, and the threads of this router. Its outputs are the threads on an engine, and the
// fleet level in threads per core.
//
// Reports are old when they arrive, and all routers read the same ones. If all routers sent to the engines
// that were empty and avoided those that were full, load would swing between empty and full within seconds.
// In such a swing, reports differ from each other by more than chance explains. Therefore the weight of
// reports falls as their dispersion grows, and an engine without a fresh report is assumed to be like the
// rest, never empty.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "decision_context.hpp"
#include "engine_table.hpp"
#include "gossip_codec.hpp"
#include "request_table.hpp"
#include "slow_start.hpp"

namespace heronwell {

// Load reports and messages of peers that are older than this are ignored: most of the short queries that
// they counted have ended since.
constexpr Time kReportLifetime = std::chrono::milliseconds(2500);

// Engines compared for one query, in a fleet of any size, so that the cost of a decision does not grow with
// the fleet.
constexpr std::size_t kMaxComparedEngines = 12;

struct RecentReport {
  Time reported_at{};
  Engine* engine = nullptr;
};

class LoadEstimator {
 public:
  LoadEstimator(const Settings& settings, const Clock& clock, const EngineTable& engines,
                const RequestTable& requests, const SlowStart& slow_start);

  // Records the load fields of an answer or a health check, in the order of Settings::load_fields. Empty and
  // too long lists are ignored.
  void record_load_fields(Engine& engine, const std::vector<double>& fields);
  // Records that `threads` of all routers ran on the engine at the time `at`.
  void record_report(Engine& engine, double threads, Time at);
  // The engine rejected a query, so its load is higher than its reports say.
  void record_overload(Engine& engine);
  // Records the threads of a peer router on each engine.
  void record_peer_threads(std::uint32_t router, const std::vector<GossipEntry>& engines);
  // Records the threads of a peer router on all engines, and its requests per second.
  void record_peer_rate(double threads, double requests_per_second);
  // Records an answer time divided by the usual answer time of such a query.
  void record_latency_ratio(Engine& engine, double ratio);
  void reset_latency_ratio(Engine& engine) { engine.load.edit().latency_ratio = 1; }
  // Updates the average of this router's own load. `elapsed_seconds` is the time since the last call.
  void average_own_load(double elapsed_seconds);
  void remove_gone_engines();

  // Threads per core over the fleet; none: no report or message has arrived for 5 s.
  [[nodiscard]] std::optional<double> fleet_level() const;
  // Moving average over the fleet of answer times divided by the usual ones.
  [[nodiscard]] double fleet_latency_ratio() const { return fleet_latency_ratio_; }
  // Threads of all routers on an engine; none: there is no fresh information on it or on the fleet.
  [[nodiscard]] std::optional<double> threads_on(const Engine& engine) const;
  // Weight, from 0.25 to 1, of the difference between a report and the fleet's level.
  [[nodiscard]] double report_reliability() const;
  // The newest report comes first.
  [[nodiscard]] const std::deque<RecentReport>& recent_reports() const { return recent_; }

 private:
  struct PeerThreads {
    Time received_at{};
    std::map<EngineId, unsigned> threads;
  };

  void store_report(Engine& engine, double threads, Time at);
  [[nodiscard]] double threads_per_query() const;
  [[nodiscard]] double overshoot_ratio() const;
  [[nodiscard]] std::optional<double> peers_threads_on(const Engine& engine) const;

  const Settings& settings_;
  const Clock& clock_;
  const EngineTable& engines_;
  const RequestTable& requests_;
  const SlowStart& slow_start_;
  double mean_class_threads_ = 0;  // threads of a query, averaged over the classes
  std::map<std::uint32_t, PeerThreads> peers_;
  std::deque<RecentReport> recent_;
  std::optional<double> gossip_level_;  // threads per core, from the routers' own threads
  double report_level_ = -1;            // threads per core, from load reports; -1: no report yet
  Time level_updated_at_{};
  double mean_peer_interval_seconds_ = 0;  // mean time between two requests of a peer
  double mean_peer_threads_ = 0;  // mean of a peer's threads weighted by that interval, in thread-seconds
  unsigned peer_messages_ = 0;
  double own_threads_ = 0, own_queries_ = 0;  // moving averages of this router's own load
  double report_dispersion_ = 1;  // variance divided by the mean of the queries reported for an engine
  double fleet_latency_ratio_ = 1;
};

}  // namespace heronwell
