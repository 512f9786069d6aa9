#include "rehearsal/model.hpp"

#include <gtest/gtest.h>

namespace heronwell::rehearsal {
namespace {

using namespace std::chrono_literals;

// Returns the end of each job in seconds, if all of them start at once.
std::vector<double> end_times(EngineModel& model, const std::vector<Job>& jobs) {
  std::vector<double> at(jobs.size(), -1);
  for (const auto& job : jobs) EXPECT_TRUE(model.add(0s, job));
  for (Time now = 0s; model.next() != Time::max() && now < 1h;) {
    now = model.next();
    std::vector<std::uint64_t> done;
    model.advance(now, done);
    for (const auto id : done) at[id] = std::chrono::duration<double>(now).count();
  }
  return at;
}

TEST(Model, SharesCoresAndLosesThroughputPastThePeak) {
  EngineModel few({.cores = 4}, 0s, true);
  EXPECT_NEAR(end_times(few, {{.id = 0, .work = 1}, {.id = 1, .work = 1}})[1], 1, 1e-3);
  EngineModel full({.cores = 4}, 0s, true);
  EXPECT_NEAR(end_times(full, std::vector<Job>{{.id = 0, .work = 1},
                                               {.id = 1, .work = 1},
                                               {.id = 2, .work = 1},
                                               {.id = 3, .work = 1},
                                               {.id = 4, .work = 1},
                                               {.id = 5, .work = 1}})[5],
              1.5, 1e-3);
  EngineModel over({.cores = 1, .peak = 1, .loss_past_peak = 0.5}, 0s, true);
  EXPECT_NEAR(end_times(over, {{.id = 0, .work = 1}, {.id = 1, .work = 1}})[1], 3, 1e-3)
      << "expected two thirds of the throughput at twice the peak";
}
TEST(Model, BlocksReadersWhileALoadOfTheirDataGroupRuns) {
  EngineModel model({.cores = 4}, 0s, true);
  const auto at = end_times(model, {{.id = 0, .work = 1, .group = 7, .holds = true},
                                    {.id = 1, .work = 1, .group = 7, .waits = true},
                                    {.id = 2, .work = 1, .group = 8, .waits = true}});
  EXPECT_NEAR(at[0], 1, 1e-3);
  EXPECT_NEAR(at[1], 2, 1e-3);
  EXPECT_NEAR(at[2], 1, 1e-3);
}
TEST(Model, SlowsDownForBusyDisksOvercommittedMemoryAndSpills) {
  EngineModel disks({.cores = 4, .disks = 1}, 0s, true);
  EXPECT_NEAR(end_times(disks, {{.id = 0, .work = 1, .io = 1}, {.id = 1, .work = 1, .io = 1}})[1], 2, 1e-3);
  EngineModel memory({.cores = 4, .memory_mb = 100}, 0s, true);
  EXPECT_NEAR(end_times(memory, {{.id = 0, .work = 1, .memory_mb = 200}})[0], 4, 1e-3);
  EngineModel spill({.cores = 4, .memory_mb = 100}, 0s, true);
  EXPECT_NEAR(end_times(spill, {{.id = 0, .work = 1, .memory_mb = 100, .grant_mb = 50}})[0], 1.75, 1e-3);
}
TEST(Model, CrashesIfItGetsTooMuchWorkWhileCold) {
  const Traits traits{.cores = 4,
                      .cold_capacity_ratio = 0.25,
                      .warm_up_duration = 10s,
                      .overload_ratio = 3,
                      .overload_window = 2s};
  EngineModel lightly_loaded(traits, 0s, false), overloaded(traits, 0s, false);
  EXPECT_NEAR(lightly_loaded.warmth(5s), 0.625, 1e-9);
  for (std::uint64_t i = 0; i < 5; ++i) lightly_loaded.add(0s, {.id = i, .work = 1});
  EXPECT_FALSE(lightly_loaded.crashed());
  for (std::uint64_t i = 0; i < 8; ++i) overloaded.add(0s, {.id = i, .work = 1});
  EXPECT_TRUE(overloaded.crashed());
}
TEST(Model, RejectsStatementsBeyondItsSessions) {
  EngineModel model({.sessions = 1}, 0s, true);
  EXPECT_TRUE(model.add(0s, {.id = 0, .work = 1}));
  EXPECT_FALSE(model.add(0s, {.id = 1, .work = 1}));
  model.remove(0s, 0);
  EXPECT_TRUE(model.add(0s, {.id = 1, .work = 1}));
}

}  // namespace
}  // namespace heronwell::rehearsal
