// A model of a SQL engine that runs all it is sent at once: cores, disks and memory shared, a peak beyond
// which total work falls, cold starts that tip over, loads that hold a data group. No I/O and no clock: the
// stand-in engine plays it in real time, the emulator may play it in virtual time.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace heronwell::rehearsal {

struct Traits {
  double cores = 4;
  double disks = 4;  // threads that read or write at full speed
  double memory_mb = 4096;
  std::size_t sessions = 64;         // more are turned away
  double peak = 1.7;                 // threads a core up to which no work is lost
  double loss_past_peak = 0.25;      // share of work lost for each further peak's worth of threads
  double cold_capacity_ratio = 0.3;  // share of capacity at a cold start
  Time warm_up_duration{};           // until warm
  double overload_ratio = 0;         // 0: never tips
  Time overload_window{};
};

struct Job {
  std::uint64_t id = 0;
  double work = 0;  // core-seconds, of all its threads
  unsigned threads = 1;
  double io = 0;         // share of the work that is reading or writing
  double memory_mb = 0;  // that it needs
  double grant_mb = 0;   // that it may use; 0: what it needs. Less than needed: it spills
  std::int64_t group = 0;
  bool holds = false, waits = false;  // a load; a reader that waits_for_load still while one runs
  unsigned priority = 1;
};

class EngineModel {
 public:
  // `started`: of the process; cold unless `warm`.
  EngineModel(Traits traits, Time started, bool warm);

  bool add(Time now, const Job& job);  // false: no session is free
  void remove(Time now, std::uint64_t id);
  void slow(Time now, double factor);  // 1: as usual
  // Work done up to `now`; appends jobs that are done, in the order of their ends.
  void advance(Time now, std::vector<std::uint64_t>& done);
  [[nodiscard]] Time next() const;  // when advance() is next due; Time::max(): never

  [[nodiscard]] bool crashed() const { return crashed_; }
  [[nodiscard]] std::size_t running() const { return jobs_.size(); }
  [[nodiscard]] double busy() const { return busy_; }  // share of its cores
  [[nodiscard]] double disks_busy() const { return disks_busy_; }
  [[nodiscard]] double memory_used() const;                   // share
  [[nodiscard]] double progress(std::uint64_t id) const;      // share of its work that is done
  [[nodiscard]] bool waits_for_load(std::uint64_t id) const;  // waits for a load
  [[nodiscard]] double warmth(Time now) const;

 private:
  struct Running {
    Job job;
    double left = 0, rate = 0;  // core-seconds; a second
  };
  void share();
  [[nodiscard]] bool blocked(const Running& running) const;

  Traits traits_;
  Time started_, now_;
  bool warm_, crashed_ = false;
  double slow_ = 1, busy_ = 0, disks_busy_ = 0;
  std::map<std::uint64_t, Running> jobs_;     // by id: the same order always
  std::deque<std::pair<Time, double>> sent_;  // while cold: work that came
};

}  // namespace heronwell::rehearsal
