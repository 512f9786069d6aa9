// A plan of an experiment, as its YAML file has it: which days, which policies, which parameters, how many
// seeds; and the runs that follow from it, always in the same order.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "emulator/policy.hpp"
#include "rehearsal/plan.hpp"

namespace heronwell::experiment {

struct Point {  // of an axis
  std::string name;
  double x = 0;                                          // where it stands in a chart
  std::vector<std::pair<std::string, std::string>> set;  // "gateways.count" and its value, over the day's
};
struct Axis {
  std::string name;
  std::vector<Point> points;
};
struct Site {
  std::string name, file;  // a day file
};
struct Plan {
  std::string file, text;  // as read
  std::string name, about;
  std::vector<Site> sites;
  std::vector<emulator::Policy> policies;  // the first is what others are compared with
  std::vector<Axis> axes;
  std::uint64_t first_seed = 1, seeds = 1;
  bool fast = true;
};

// Reads every day that the plan can make, too. Throws yaml::Error.
Plan read_plan(const std::string& file);

struct Run {
  std::size_t site = 0;
  emulator::Policy policy = emulator::Policy::heronwell;
  std::vector<std::size_t> points;  // by axis
  std::uint64_t seed = 0;
};
std::vector<Run> runs_of(const Plan& plan);
std::string point_of(const Plan& plan, const Run& run);  // "gateways=10 load=0.9"
double x_of(const Plan& plan, const Run& run);           // on the first axis
rehearsal::Day day_of(const Plan& plan, const Run& run);

}  // namespace heronwell::experiment
