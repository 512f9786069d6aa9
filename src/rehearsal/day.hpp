// Plays a day in real processes on ephemeral loopback ports: routers, engines, a list, clients. Leaves in a
// folder what the sockets of engines, list and clients saw, and what was done to whom; never a router's word.
#pragma once

#include <string>

#include "rehearsal/load.hpp"
#include "rehearsal/plan.hpp"

namespace heronwell::rehearsal {

// `program`: the heronwell executable. Throws std::runtime_error where a process does not start or die as
// told.
LoadReport run_day(const Day& day, const std::string& folder, const std::string& program);

}  // namespace heronwell::rehearsal
