// The load generator: clients that send each request at its time without waiting for earlier answers, on an
// idle connection or a new one. The report says how late the generator itself was.
#pragma once

#include <string>
#include <vector>

#include "rehearsal/client_request.hpp"
#include "rehearsal/plan.hpp"
#include "rehearsal/record.hpp"

namespace heronwell::rehearsal {

// Sends the day's requests to the gateways on these ports of 127.0.0.1, from `start` on the steady clock.
// Returns once each has ended.
LoadReport play(const Day& day, const std::vector<std::uint16_t>& ports, Time start, Recorder& recorder);

}  // namespace heronwell::rehearsal
