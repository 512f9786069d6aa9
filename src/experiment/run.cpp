#include "experiment/run.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <exception>
#include <mutex>
#include <set>
#include <thread>

#include "experiment/store.hpp"

namespace heronwell::experiment {
namespace {

double seconds(Time t) { return std::chrono::duration<double>(t).count(); }

Row play_one(const Plan& plan, const Run& run, const std::function<double()>& clock) {
  const auto day = day_of(plan, run);
  const auto begun = clock();
  const auto played = emulator::play(day, plan.fast, "", run.policy);
  Row row;
  row.key = key_of(plan, run);
  row.x = x_of(plan, run);
  row.score = score_of(day, played);
  for (const auto& t : day.faults)
    row.troubles.push_back({std::string(rehearsal::name_of(t.kind)), seconds(t.at), seconds(t.length)});
  row.events = played.events;
  row.virtual_s = seconds(played.virtual_time);
  row.real_s = clock() - begun;
  row.left = played.left;
  return row;
}

}  // namespace

std::size_t run(const Plan& plan, const std::string& file, const std::string& build, unsigned threads,
                std::size_t most, const std::function<double()>& clock,
                const std::function<void(const Progress&)>& told) {
  Store store(file, Store::Mode::make);
  store.begin(plan, build);
  const auto found = store.done();
  const std::set<Key> done(found.begin(), found.end());
  std::vector<Run> left;
  const auto all = runs_of(plan);
  for (const auto& one : all)
    if (!done.contains(key_of(plan, one)) && left.size() < most) left.push_back(one);
  std::mutex mutex;
  std::atomic<std::size_t> at = 0;
  std::exception_ptr failed;
  Progress progress{0, left.size(), all.size() - left.size(), ""};
  const auto work = [&] {
    try {
      for (auto i = at++; i < left.size(); i = at++) {
        const auto row = play_one(plan, left[i], clock);
        const std::lock_guard lock(mutex);
        store.add(row);
        ++progress.done;
        progress.last =
            fmt::format("{} {} {} seed {}", row.key.site, row.key.policy, row.key.point, row.key.seed);
        told(progress);
      }
    } catch (...) {
      const std::lock_guard lock(mutex);
      failed = std::current_exception();
      at = left.size();
    }
  };
  std::vector<std::thread> workers;
  for (unsigned i = 1; i < threads; ++i) workers.emplace_back(work);
  work();
  for (auto& worker : workers) worker.join();
  if (failed) std::rethrow_exception(failed);
  return progress.done;
}

}  // namespace heronwell::experiment
