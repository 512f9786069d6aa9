// Clients that never wait for answers before sending: each arrival goes out at its moment, on a connection
// that is free or a new one. How late the generator itself was is recorded.
#pragma once

#include <string>
#include <vector>

#include "rehearsal/client_request.hpp"
#include "rehearsal/plan.hpp"
#include "rehearsal/record.hpp"

namespace heronwell::rehearsal {

// Plays the day's arrivals against gateways on 127.0.0.1, from `start` on; returns once each has its end.
LoadReport play(const Day& day, const std::vector<std::uint16_t>& ports, Time start, Recorder& recorder);

}  // namespace heronwell::rehearsal
