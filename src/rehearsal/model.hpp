// EngineModel models a SQL engine that runs all statements at once. They share cores, disks and memory;
// beyond a peak of threads the total throughput falls; a cold engine that gets too much work crashes; and
// loads block the readers of their data group. It does no I/O and reads no clock: the stand-in engine runs it
// in real time, the emulator in virtual time.
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
  std::size_t sessions = 64;         // further statements are rejected
  double peak = 1.7;                 // threads per core up to which no throughput is lost
  double loss_past_peak = 0.25;      // share of throughput lost for each further `peak` of threads
  double cold_capacity_ratio = 0.3;  // share of capacity at a cold start
  Time warm_up_duration{};           // from the cold start until full capacity
  double overload_ratio = 0;         // crashes at this multiple of its capacity while cold; 0: never
  Time overload_window{};
};

struct Job {
  std::uint64_t id = 0;
  double work = 0;  // core-seconds, of all its threads
  unsigned threads = 1;
  double io = 0;         // share of the work that reads or writes disks
  double memory_mb = 0;  // that it needs
  double grant_mb = 0;   // that it may use; 0: as much as needed. With less it spills to disk
  std::int64_t group = 0;
  bool holds = false, waits = false;  // a load of its data group; a reader that is blocked while one runs
  unsigned priority = 1;
};

class EngineModel {
 public:
  // `started` is the start time of the process. It starts cold unless `warm`.
  EngineModel(Traits traits, Time started, bool warm);

  bool add(Time now, const Job& job);  // false: no session is free
  void remove(Time now, std::uint64_t id);
  void slow(Time now, double factor);  // sets the factor on all durations; 1: none
  // Advances to `now` and appends the jobs that finished, in the order of their ends.
  void advance(Time now, std::vector<std::uint64_t>& done);
  [[nodiscard]] Time next() const;  // when advance() must be called next; Time::max(): never

  [[nodiscard]] bool crashed() const { return crashed_; }
  [[nodiscard]] std::size_t running() const { return jobs_.size(); }
  [[nodiscard]] double busy() const { return busy_; }  // share of its cores in use
  [[nodiscard]] double disks_busy() const { return disks_busy_; }
  [[nodiscard]] double memory_used() const;                   // share of its memory in use
  [[nodiscard]] double progress(std::uint64_t id) const;      // share of its work that is done
  [[nodiscard]] bool waits_for_load(std::uint64_t id) const;  // of its data group
  [[nodiscard]] double warmth(Time now) const;

 private:
  struct Running {
    Job job;
    double work_left = 0, rate = 0;  // core-seconds; core-seconds per second
  };
  void share();
  [[nodiscard]] bool blocked(const Running& running) const;

  Traits traits_;
  Time started_, now_;
  bool warm_, crashed_ = false;
  double slow_ = 1, busy_ = 0, disks_busy_ = 0;
  std::map<std::uint64_t, Running> jobs_;     // by id, so that the order is deterministic
  std::deque<std::pair<Time, double>> sent_;  // work that arrived while cold
};

}  // namespace heronwell::rehearsal
