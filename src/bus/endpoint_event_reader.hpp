// Builds the endpoint list from the numbered events of the platform's event bus. It performs no I/O. A
// response of the bus has the form
//
//   {"offset": NUMBER OF THE LAST EVENT, "batch": [{"offset": NUMBER, "topology": {"whole": BOOL, "hosts":
//   [HOST...]}}...]}
//
// An event whose "whole" is true is a snapshot, any other event is a delta. Event numbers are consecutive. A
// gap means that events were lost, and only a snapshot recovers from it. If any part of a response is
// invalid, the whole response is discarded, so that the next poll requests it again. The fields of a host are
// mapped to the members of EndpointEntry as follows:
//
//   bus       EndpointEntry
//   host      name
//   dial      host and port ("address:port")
//   site      zone
//   class     machine_type
//   block     cell
//   health    state: "up" (ready), "draining", "removed"
//   share     weight
//   born_ms   started_ms
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/endpoint_registry.hpp"

namespace heronwell::bus {

class EndpointEventReader {
 public:
  // Applies one response of the bus and returns whether the endpoint list has changed. Events that were
  // already applied are ignored. Throws std::invalid_argument with the JSON path and what was expected, and
  // then leaves the list and the offset unchanged.
  bool apply(std::string_view json);
  // Returns the number of the last event applied; the next poll requests the events after it.
  [[nodiscard]] std::uint64_t offset() const { return state_.offset; }
  [[nodiscard]] std::vector<fleet::EndpointEntry> entries() const;  // without removed engines

 private:
  struct State {
    std::uint64_t offset = 0;
    std::map<std::string, fleet::EndpointEntry> engines;
  };
  State state_;
};

}  // namespace heronwell::bus
