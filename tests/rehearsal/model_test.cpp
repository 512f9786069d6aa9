#include "rehearsal/model.hpp"

#include <gtest/gtest.h>

namespace heronwell::rehearsal {
namespace {

using namespace std::chrono_literals;

// When each of these jobs is done, in seconds, if all come at once.
std::vector<double> ends(EngineModel& model, const std::vector<Job>& jobs) {
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

TEST(Model, SharesCoresAndLosesWorkPastItsPeak) {
  EngineModel few({.cores = 4}, 0s, true);
  EXPECT_NEAR(ends(few, {{.id = 0, .work = 1}, {.id = 1, .work = 1}})[1], 1, 1e-3);
  EngineModel full({.cores = 4}, 0s, true);
  EXPECT_NEAR(ends(full, std::vector<Job>{{.id = 0, .work = 1},
                                          {.id = 1, .work = 1},
                                          {.id = 2, .work = 1},
                                          {.id = 3, .work = 1},
                                          {.id = 4, .work = 1},
                                          {.id = 5, .work = 1}})[5],
              1.5, 1e-3);
  EngineModel over({.cores = 1, .peak = 1, .loss_past_peak = 0.5}, 0s, true);
  EXPECT_NEAR(ends(over, {{.id = 0, .work = 1}, {.id = 1, .work = 1}})[1], 3, 1e-3)
      << "two thirds of the work at twice the peak";
}
TEST(Model, WaitsForLoads) {
  EngineModel model({.cores = 4}, 0s, true);
  const auto at = ends(model, {{.id = 0, .work = 1, .group = 7, .holds = true},
                               {.id = 1, .work = 1, .group = 7, .waits = true},
                               {.id = 2, .work = 1, .group = 8, .waits = true}});
  EXPECT_NEAR(at[0], 1, 1e-3);
  EXPECT_NEAR(at[1], 2, 1e-3);
  EXPECT_NEAR(at[2], 1, 1e-3);
}
TEST(Model, SlowsDisksMemoryAndSpills) {
  EngineModel disks({.cores = 4, .disks = 1}, 0s, true);
  EXPECT_NEAR(ends(disks, {{.id = 0, .work = 1, .io = 1}, {.id = 1, .work = 1, .io = 1}})[1], 2, 1e-3);
  EngineModel memory({.cores = 4, .memory_mb = 100}, 0s, true);
  EXPECT_NEAR(ends(memory, {{.id = 0, .work = 1, .memory_mb = 200}})[0], 4, 1e-3);
  EngineModel spill({.cores = 4, .memory_mb = 100}, 0s, true);
  EXPECT_NEAR(ends(spill, {{.id = 0, .work = 1, .memory_mb = 100, .grant_mb = 50}})[0], 1.75, 1e-3);
}
TEST(Model, TipsOverWhenColdAndSentTooMuch) {
  const Traits traits{.cores = 4,
                      .cold_capacity_ratio = 0.25,
                      .warm_up_duration = 10s,
                      .overload_ratio = 3,
                      .overload_window = 2s};
  EngineModel gentle(traits, 0s, false), rough(traits, 0s, false);
  EXPECT_NEAR(gentle.warmth(5s), 0.625, 1e-9);
  for (std::uint64_t i = 0; i < 5; ++i) gentle.add(0s, {.id = i, .work = 1});
  EXPECT_FALSE(gentle.crashed());
  for (std::uint64_t i = 0; i < 8; ++i) rough.add(0s, {.id = i, .work = 1});
  EXPECT_TRUE(rough.crashed());
}
TEST(Model, TurnsAwayPastItsSessions) {
  EngineModel model({.sessions = 1}, 0s, true);
  EXPECT_TRUE(model.add(0s, {.id = 0, .work = 1}));
  EXPECT_FALSE(model.add(0s, {.id = 1, .work = 1}));
  model.remove(0s, 0);
  EXPECT_TRUE(model.add(0s, {.id = 1, .work = 1}));
}

}  // namespace
}  // namespace heronwell::rehearsal
