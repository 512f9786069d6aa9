// The engine list: entries by name, read from a YAML file or from Consul's health API, and turned into the
// module's numbered list. Decisions about age and trust will live here too; no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"
#include "heronwell/gateway.hpp"

namespace heronwell::fleet {

struct Entry {
  std::string name;  // never reused for another engine
  std::string host;  // an IP address
  std::uint16_t port = 0;
  std::string zone, kind;
  std::uint16_t cell = 0;
  EngineState state = EngineState::ready;
  double weight = 1;
  std::int64_t started_ms = 0;  // Unix time of its last start; 0: long ago or not known
  bool operator==(const Entry&) const = default;
};

// Both throw yaml::Error or std::invalid_argument that names the place and what was expected.
std::vector<Entry> read_yaml(const std::string& text, const std::string& name);
std::vector<Entry> read_consul(std::string_view json);
// The body that Consul's /v1/health/service/NAME gives for these entries; what read_consul() reads.
std::string write_consul(const std::vector<Entry>& entries, const std::string& service);

// The address and state of a listed engine, by its number.
struct Known {
  Entry entry;
  EngineId id = 0;
  std::optional<Time> told_unfit;  // since when it is known to be draining or gone
};

// Keeps the list in force. Numbers come from a hash of the name, so that all gateways agree on them and none
// ever means two engines: a name whose number another name has is refused.
class Book {
 public:
  // `unix_offset`: Unix time less the module's clock, fixed for the life of the process, so that one start
  // is always the same moment.
  Book(std::vector<std::string> zones, std::vector<std::string> kinds, Time unix_offset);

  struct Change {
    Listing listing;                   // for the module
    std::vector<std::string> refused;  // entries left out, and why
    bool changed = false;              // against the list before
  };
  Change take(const std::vector<Entry>& entries, Time now);

  [[nodiscard]] const Known* find(EngineId id) const;
  [[nodiscard]] const std::map<EngineId, Known>& engines() const { return engines_; }
  static EngineId number(std::string_view name);

 private:
  std::vector<std::string> zones_, kinds_;
  Time unix_offset_;
  std::map<EngineId, Known> engines_;  // gone ones stay, so that their numbers stay theirs
};

}  // namespace heronwell::fleet
