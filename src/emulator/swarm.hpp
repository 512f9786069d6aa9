// Days drawn at random, played and audited: what no one thought of. A day that breaks a rule, or leaves
// something behind in a router, is made smaller and kept as a day file that can be played again.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace heronwell::emulator {

struct SwarmPlan {
  std::string base;    // a day file: its clients, classes and rules; troubles and sizes are drawn
  std::string folder;  // for the days that break something
  std::uint64_t seed = 1;
  unsigned days = 100, threads = 1;
  bool fast = false;  // messages in place of bytes
};

struct Finding {
  std::uint64_t seed = 0;
  std::string what, file;
  std::size_t troubles = 0, left = 0;  // drawn; once it was made smaller
};

struct Swept {
  std::uint64_t days = 0, cases = 0, events = 0;
  Time virtual_time{};
  std::map<std::string, std::uint64_t> troubles;        // by kind
  std::set<std::pair<std::string, std::string>> pairs;  // of kinds that were at work together
  std::vector<Finding> findings;                        // by seed
};

// The same plan finds the same, on any number of threads. Throws yaml::Error for a wrong base.
Swept swarm(const SwarmPlan& plan);

}  // namespace heronwell::emulator
