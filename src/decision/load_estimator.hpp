// What is believed of the load of engines and of the fleet, in threads of all routers. Inputs: load reports
// (in answers, health checks and gossip, each with its age), the peers' own threads, the threads that run
// here. Outputs: threads on an engine, and the fleet level in threads a core. Failure: reports are old when
// they come and every router reads the same ones, so all send to the engines that were empty and avoid those
// that were full, and load swings between empty and full within seconds; by chance alone reports would not
// lie that far apart. Guard: reports are believed less the further they lie apart, and an engine of which
// nothing fresh is known is taken to be like the rest, never as empty.
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

// Load reports and peers' messages older than this tell nothing: most short queries that they counted have
// ended since.
constexpr Time kReportLifetime = std::chrono::milliseconds(2500);

// Engines compared for one query, however large the fleet: the cost of a decision does not grow with the
// fleet.
constexpr std::size_t kMaxComparedEngines = 12;

struct RecentReport {
  Time reported_at{};
  Engine* engine = nullptr;
};

class LoadEstimator {
 public:
  LoadEstimator(const Settings& settings, const Clock& clock, const EngineTable& engines,
                const RequestTable& requests, const SlowStart& slow_start);

  // Load fields of an answer or a health check, as Settings::load_fields names them. Lists that do not fit
  // are ignored.
  void record_load_fields(Engine& engine, const std::vector<double>& fields);
  // `threads` of all routers ran on the engine at `at`.
  void record_report(Engine& engine, double threads, Time at);
  // The engine rejected a query: it has more than its reports say.
  void record_overload(Engine& engine);
  void record_peer_threads(std::uint32_t router, const std::vector<GossipEntry>& engines);
  // A peer's own threads in all and its requests a second.
  void record_peer_rate(double threads, double requests_per_second);
  // Answer time against the usual for such a query.
  void record_latency_ratio(Engine& engine, double ratio);
  void reset_latency_ratio(Engine& engine) { engine.load.edit().latency_ratio = 1; }
  // What runs here enters its average. `elapsed_seconds`: since the last call.
  void average_own_load(double elapsed_seconds);
  void remove_gone_engines();

  // Threads a core over the fleet; none: nothing was heard of it for 5 s.
  [[nodiscard]] std::optional<double> fleet_level() const;
  // Answer times against the usual ones, over the fleet.
  [[nodiscard]] double fleet_latency_ratio() const { return fleet_latency_ratio_; }
  // Threads of all routers on an engine; none: nothing fresh is known of it or of the fleet.
  [[nodiscard]] std::optional<double> threads_on(const Engine& engine) const;
  // The part, from 0.25 to 1, of what a report differs from the fleet's level that is believed.
  [[nodiscard]] double report_reliability() const;
  [[nodiscard]] const std::deque<RecentReport>& recent_reports() const {
    return recent_;
  }  // the newest first

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
  double mean_class_threads_ = 0;  // of a query, over the classes
  std::map<std::uint32_t, PeerThreads> peers_;
  std::deque<RecentReport> recent_;
  std::optional<double> gossip_level_;  // threads a core, by the routers' own threads
  double report_level_ = -1;            // threads a core, by load reports; -1: no report yet
  Time level_updated_at_{};
  double mean_peer_interval_seconds_ = 0;  // between two requests of a peer
  double mean_peer_threads_ = 0;           // weighed by that interval
  unsigned peer_messages_ = 0;
  double own_threads_ = 0, own_queries_ = 0;  // that run here, of late
  double report_dispersion_ = 1;  // variance of the queries reported of an engine, over their mean
  double fleet_latency_ratio_ = 1;
};

}  // namespace heronwell
