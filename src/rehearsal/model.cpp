#include "rehearsal/model.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace heronwell::rehearsal {
namespace {

constexpr Time kColdStep = std::chrono::milliseconds(50);  // between recalculations while the capacity grows
constexpr std::array<double, 4> kPriorityWeights{1, 4, 8, 16};  // shares of cores or disks if they are short
constexpr double kSpillCost = 1.5;  // additional work, as a share, of a query without any grant
constexpr double kLeastRate = 1e-9;

double seconds(Time t) { return std::chrono::duration<double>(t).count(); }
Time duration_of(double s) { return Time(static_cast<std::int64_t>(std::min(s, 1e8) * 1e9)); }

}  // namespace

EngineModel::EngineModel(Traits traits, Time started, bool warm)
    : traits_(traits), started_(started), now_(started), warm_(warm) {}

double EngineModel::warmth(Time now) const {
  if (warm_ || traits_.warm_up_duration <= Time::zero()) return 1;
  const double age = seconds(now - started_) / seconds(traits_.warm_up_duration);
  return traits_.cold_capacity_ratio + (1 - traits_.cold_capacity_ratio) * std::clamp(age, 0.0, 1.0);
}

bool EngineModel::add(Time now, const Job& job) {
  std::vector<std::uint64_t> none;
  advance(now, none);
  // All work that reaches a cold engine counts against its capacity, even if the engine rejects it.
  if (traits_.overload_ratio > 0 && warmth(now) < 1) {
    sent_.emplace_back(now, job.work);
    while (sent_.front().first <= now - traits_.overload_window) sent_.pop_front();
    double sum = 0;
    for (const auto& [at, work] : sent_) sum += work;
    const double capacity =
        traits_.overload_ratio * traits_.cores * warmth(now) * seconds(traits_.overload_window);
    if (sum > capacity + job.work) crashed_ = true;  // one query may exceed the limit
  }
  if (jobs_.size() >= traits_.sessions) return false;
  double work = job.work;
  if (job.grant_mb > 0 && job.grant_mb < job.memory_mb)
    work *= 1 + kSpillCost * (1 - job.grant_mb / job.memory_mb);
  jobs_[job.id] = {job, std::max(work, 0.0), 0};
  share();
  return true;
}

void EngineModel::remove(Time now, std::uint64_t id) {
  std::vector<std::uint64_t> none;
  advance(now, none);
  if (jobs_.erase(id) > 0) share();
}

void EngineModel::slow(Time now, double factor) {
  std::vector<std::uint64_t> none;
  advance(now, none);
  slow_ = std::max(1.0, factor);
  share();
}

bool EngineModel::blocked(const Running& running) const {
  return running.job.waits && std::ranges::any_of(jobs_, [&](const auto& other) {
           return other.second.job.holds && other.second.job.group == running.job.group;
         });
}

double EngineModel::memory_used() const {
  double used = 0;
  for (const auto& [id, running] : jobs_)
    used += running.job.grant_mb > 0 ? std::min(running.job.grant_mb, running.job.memory_mb)
                                     : running.job.memory_mb;
  return traits_.memory_mb > 0 ? used / traits_.memory_mb : 0;
}

// Computes each job's rate from the demand of all jobs: weighted shares of cores and disks, and no job faster
// than its threads. Beyond the peak of threads, and if memory is overcommitted, the total throughput falls.
void EngineModel::share() {
  double threads = 0, cpu = 0, disk = 0;
  for (auto& [id, running] : jobs_) {
    running.rate = 0;
    if (blocked(running)) continue;
    const double weight = kPriorityWeights[std::min<std::size_t>(running.job.priority, 3)];
    threads += running.job.threads;
    cpu += weight * running.job.threads * (1 - running.job.io);
    disk += weight * running.job.threads * running.job.io;
  }
  const double full = traits_.peak * traits_.cores;
  const double lost = threads > full ? traits_.loss_past_peak * (threads / full - 1) : 0;
  const double swapped = std::max(1.0, memory_used());
  const double capacity = warmth(now_) / slow_ / (1 + lost) / (swapped * swapped);
  const double cores = traits_.cores * capacity, disks = traits_.disks * capacity;
  busy_ = std::min(1.0, threads / traits_.cores);
  disks_busy_ = 0;
  for (auto& [id, running] : jobs_) {
    if (blocked(running)) continue;
    const auto& job = running.job;
    const double weight = kPriorityWeights[std::min<std::size_t>(job.priority, 3)];
    const double own = job.threads / slow_ / (swapped * swapped);
    const double on_cpu = cpu > 0 ? std::min(own, cores * weight * job.threads / cpu) : own;
    const double on_disk = disk > 0 ? std::min(own, disks * weight * job.threads / disk) : own;
    running.rate = 1 / ((1 - job.io) / std::max(on_cpu, kLeastRate) + job.io / std::max(on_disk, kLeastRate));
    disks_busy_ += running.rate * job.io / traits_.disks;
  }
}

void EngineModel::advance(Time now, std::vector<std::uint64_t>& done) {
  while (now_ < now) {
    const auto step = std::min(now, next());
    const double passed = seconds(step - now_);
    now_ = std::max(step, now_);
    std::vector<std::uint64_t> ended;
    for (auto& [id, running] : jobs_) {
      running.work_left -= running.rate * passed;
      if (running.work_left <= 1e-9 && running.rate > 0) ended.push_back(id);
    }
    for (const auto id : ended) jobs_.erase(id);
    done.insert(done.end(), ended.begin(), ended.end());
    share();
    if (ended.empty() && step == now) break;
  }
}

Time EngineModel::next() const {
  if (jobs_.empty()) return Time::max();
  Time soonest = warmth(now_) < 1 ? now_ + kColdStep : Time::max();
  for (const auto& [id, running] : jobs_)
    if (running.rate > 0)
      soonest = std::min(soonest, now_ + duration_of(running.work_left / running.rate) + Time(1));
  return soonest;
}

double EngineModel::progress(std::uint64_t id) const {
  const auto found = jobs_.find(id);
  if (found == jobs_.end() || found->second.job.work <= 0) return 1;
  return std::clamp(1 - found->second.work_left / found->second.job.work, 0.0, 1.0);
}

bool EngineModel::waits_for_load(std::uint64_t id) const {
  const auto found = jobs_.find(id);
  return found != jobs_.end() && blocked(found->second);
}

}  // namespace heronwell::rehearsal
