// Runs what a plan asks for and a file of results lacks, on several threads. What a run gives depends on its
// plan alone, not on the threads or on what ran before.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "experiment/plan.hpp"

namespace heronwell::experiment {

struct Progress {
  std::size_t done = 0, of = 0, before = 0;  // runs; before: found in the file
  std::string last;
};
// `clock`: seconds, for how long each took: no room but `cli` reads one. `most`: no more runs than this, this
// time. Returns how many ran. Throws what Store throws.
std::size_t run(const Plan& plan, const std::string& file, const std::string& build, unsigned threads,
                std::size_t most, const std::function<double()>& clock,
                const std::function<void(const Progress&)>& told);

}  // namespace heronwell::experiment
