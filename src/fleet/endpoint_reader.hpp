// Parses endpoint lists from their external formats: heronwell's YAML file, and the response of Consul's
// health API (/v1/health/service/NAME), which can also be written. The functions perform no I/O. Only
// endpoint_reader.cpp maps the external field names to the members of EndpointEntry:
//
//   YAML            Consul                                  EndpointEntry
//   name            Service.ID                              name
//   host            Service.Address, else Node.Address      host
//   port            Service.Port                            port
//   zone            Service.Meta.zone                       zone
//   kind            Service.Meta.kind                       machine_type
//   cell            Service.Meta.cell                       cell
//   state           Checks, Service.Meta.state              state: "ready", "draining", "gone" (removed)
//   weight          Service.Weights.Passing                 weight
//   started_ms      Service.Meta.started_ms                 started_ms
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "heronwell/decision_engine.hpp"

namespace heronwell::fleet {

// One engine as listed by its source.
struct EndpointEntry {
  std::string name;  // identifies the engine; never reused for another engine
  std::string host;  // an IP address
  std::uint16_t port = 0;
  std::string zone, machine_type;  // names as in the configuration
  std::uint16_t cell = 0;
  EndpointState state = EndpointState::ready;
  double weight = 1;            // relative to the other engines of its machine type
  std::int64_t started_ms = 0;  // Unix time of the last start in milliseconds; 0: long ago or unknown
  bool operator==(const EndpointEntry&) const = default;
};

// Reads heronwell's YAML file. `file`: the file's name, for error messages. Throws yaml::Error with the line,
// column and field and what was expected.
std::vector<EndpointEntry> read_yaml(const std::string& text, const std::string& file);
// Reads the response body of Consul's health API. A critical health check marks its engine as removed, except
// a critical maintenance check, which marks it as draining. Throws std::invalid_argument with the index of
// the entry and what was expected.
std::vector<EndpointEntry> read_consul(std::string_view body);
// Returns the body that Consul's health API would send for these entries. read_consul() can read it.
std::string write_consul(const std::vector<EndpointEntry>& entries, const std::string& service);

}  // namespace heronwell::fleet
