// Plays a day on virtual time: the day file, the troubles, the records and the audit are those of the
// rehearsal; the routers are the code that serves. The same day and settings give the same records to the
// last byte.
#pragma once

#include <string>
#include <vector>

#include "emulator/network.hpp"
#include "emulator/policy.hpp"
#include "rehearsal/client_request.hpp"
#include "rehearsal/plan.hpp"

namespace heronwell::emulator {

struct Played {
  rehearsal::LoadReport report;
  Time virtual_time{};
  std::uint64_t events = 0;
  std::vector<std::string> left;     // what routers still had long after the last request; none is right
  std::vector<rehearsal::Ask> asks;  // that came, and what became of each
  std::vector<rehearsal::RequestOutcome> fates;
};

// `messages`: the fast fidelity.
// `folder`: gets the records, and a copy of the day; empty: nothing is kept. Throws yaml::Error for a wrong
// configuration of the routers.
Played play(const rehearsal::Day& day, bool messages, const std::string& folder,
            Policy policy = Policy::heronwell);

}  // namespace heronwell::emulator
