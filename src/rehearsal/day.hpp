// run_day() plays a day in real processes on ephemeral loopback ports: routers, engines, a list and clients.
// It writes to a folder what the engines, the list and the clients saw on their sockets and which faults it
// caused. No record comes from a router.
#pragma once

#include <string>

#include "rehearsal/load.hpp"
#include "rehearsal/plan.hpp"

namespace heronwell::rehearsal {

// `program` is the heronwell executable. Throws std::runtime_error if a process does not start or end as
// expected.
LoadReport run_day(const Day& day, const std::string& folder, const std::string& program);

}  // namespace heronwell::rehearsal
