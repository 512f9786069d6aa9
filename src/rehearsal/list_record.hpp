// Returns the fields of the record of a list's answer to a router.
#pragma once

#include <fmt/format.h>

#include <string>
#include <vector>

#include "fleet/endpoint_registry.hpp"

namespace heronwell::rehearsal {

inline std::string endpoint_list_record(const std::string& gateway, std::uint64_t index,
                                        const std::vector<fleet::EndpointEntry>& entries) {
  std::string states;
  for (const auto& entry : entries)
    states += fmt::format(R"({}"{}":{{"state":{},"zone":"{}","kind":"{}","started_ms":{}}})",
                          states.empty() ? "" : ",", entry.name, static_cast<int>(entry.state), entry.zone,
                          entry.machine_type, entry.started_ms);
  return fmt::format(R"("gw":"{}","index":{},"engines":{{{}}})", gateway, index, states);
}

}  // namespace heronwell::rehearsal
