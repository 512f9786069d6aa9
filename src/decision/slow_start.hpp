// How much a warming engine may get from this router. Inputs: when engines started (list, broken
// connections), the settings' initial capacity, duration and overload ratio, and the work of the heaviest
// class in core-seconds. Output: the capacity of an engine as a ratio, and admissions: for one second this
// router may send an engine some core-seconds. Failure: an engine that starts has cold caches; sent its full
// part at once, it collapses and its queries time out. The limit holds for all routers together, and an even
// part of it is often less than one query. Guard: each router draws admissions at random moments, so that all
// together stay under 0.8 of the limit; one not used is lost, so none are saved up. An engine whose
// connection broke may have restarted before any list says so, and warms up as well, unless it is heard so
// soon that no process can have started in between.
#pragma once

#include <vector>

#include "class_statistics.hpp"
#include "decision_context.hpp"
#include "engine_table.hpp"

namespace heronwell {

class SlowStart {
 public:
  SlowStart(const Settings& settings, const Clock& clock, const EngineTable& engines,
            const ClassStatistics& statistics, RandomSource& random)
      : settings_(settings), clock_(clock), engines_(engines), statistics_(statistics), random_(random) {}

  // The list says that the engine started at `started_at`.
  void restart(Engine& engine, Time started_at);
  enum class ConnectionFailure { reset, not_connected };
  void record_connection_failure(Engine& engine, ConnectionFailure failure);
  // The engine gave a sign of life that it sent at `at`.
  void record_liveness(Engine& engine, Time at);

  // Draws this router's admissions. `elapsed_seconds`: since the last draw.
  void draw_admissions(double elapsed_seconds);
  void charge(Engine& engine, const Request& request) {
    engine.slow_start.edit().admitted_work -= charged_work(request);
  }
  // Engines with an admission of this router, in the order of the draws; one may stand there twice.
  const std::vector<Engine*>& admitting_engines();
  void remove_gone_engines();

  [[nodiscard]] bool is_warming_up(const Engine& engine) const {
    return engine.slow_start->started_at > Time::zero() &&
           clock_.now < engine.slow_start->started_at + settings_.slow_start_duration;
  }
  // The least part of its capacity that the engine has had over the last `window`; 1 when it is warm.
  [[nodiscard]] double capacity_ratio(const Engine& engine, Time window = Time::zero()) const;
  [[nodiscard]] bool admits(const Engine& engine, const Request& request) const;

 private:
  [[nodiscard]] double charged_work(const Request& request) const;

  const Settings& settings_;
  const Clock& clock_;
  const EngineTable& engines_;
  const ClassStatistics& statistics_;
  RandomSource& random_;
  std::vector<Engine*> admitting_;
};

}  // namespace heronwell
