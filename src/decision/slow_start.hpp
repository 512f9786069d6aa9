// SlowStart limits how much work this router sends to an engine that is warming up. Its inputs are the start
// times of engines (from the endpoint list and from broken connections), the settings' initial capacity,
// duration and overload ratio, and the work of the heaviest class in core-seconds. Its outputs are the
// capacity of an engine as a ratio, and admissions: an admission allows this router to send an engine some
// core-seconds within one second.
//
// An engine that starts has cold caches. If it got its full share at once, it would collapse and its queries
// would time out. The limit holds for all routers together, and an equal share of it is often less than one
// query. Therefore each router draws admissions at random times, at a rate that keeps all routers together
// below 0.8 of the limit. Unused admissions expire, so they do not accumulate.
//
// An engine whose connection broke may have restarted before any list shows it, so it goes through slow start
// too, unless it responds so soon that no process can have restarted in between.
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

  // The endpoint list reports that the engine started at `started_at`.
  void restart(Engine& engine, Time started_at);
  enum class ConnectionFailure { reset, not_connected };
  // Treats the engine as restarted now, because its process may have ended.
  void record_connection_failure(Engine& engine, ConnectionFailure failure);
  // Records that the engine responded; its message was sent at the time `at`.
  void record_liveness(Engine& engine, Time at);

  // Draws this router's admissions. `elapsed_seconds` is the time since the last draw.
  void draw_admissions(double elapsed_seconds);
  // Subtracts the work of the request from the engine's admission.
  void charge(Engine& engine, const Request& request) {
    engine.slow_start.edit().admitted_work -= charged_work(request);
  }
  // Engines for which this router has an admission, in the order of the draws; an engine may occur twice.
  const std::vector<Engine*>& admitting_engines();
  void remove_gone_engines();

  [[nodiscard]] bool is_warming_up(const Engine& engine) const {
    return engine.slow_start->started_at > Time::zero() &&
           clock_.now < engine.slow_start->started_at + settings_.slow_start_duration;
  }
  // Lowest capacity of the engine over the last `window`, as a part of its full capacity; 1 when the engine
  // is warm.
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
