// Maintains the endpoint list in effect. It converts lists of entries, which identify engines by name, to
// updates for the decision engine, which identify them by id. It performs no I/O.
//
// An engine's id is a 32-bit hash of its name. All routers therefore derive the same id without coordination,
// and gossip about an engine refers to the same engine everywhere. If two names have the same hash, the
// engine that was listed first keeps the id, and the other is rejected until the first is forgotten.
//
// An engine that is no longer listed becomes `removed` and is retained for ten minutes after it was last
// ready. Attempts, load reports and gossip may still refer to its id during that time, so the id must not be
// assigned to another engine.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"
#include "fleet/endpoint_reader.hpp"
#include "heronwell/decision_engine.hpp"

namespace heronwell::fleet {

// An engine of the list in effect, or a removed engine that is still retained.
struct KnownEndpoint {
  EndpointEntry entry;
  EngineId id = 0;
  std::optional<Time> not_ready_since;  // clock time; none: the engine is ready
};

// The reason why an entry of a list was left out.
enum class RejectionReason { id_collision, duplicate_name, unknown_zone, unknown_machine_type };

struct RejectedEntry {
  std::string name;
  RejectionReason reason = RejectionReason::duplicate_name;
  std::string subject;  // the engine that already has the id, or the unknown zone or machine type
  [[nodiscard]] std::string text() const;  // for logs: the name and the reason
};

class EndpointRegistry {
 public:
  // `zones`, `machine_types`: the configured names, in the order of their numbers. `unix_offset`: Unix time
  // minus clock time. It is fixed for the lifetime of the process, so that the start of an engine always
  // converts to the same clock time.
  EndpointRegistry(std::vector<std::string> zones, std::vector<std::string> machine_types, Time unix_offset);

  struct Change {
    EndpointUpdate update;  // a snapshot for the decision engine
    std::vector<RejectedEntry> rejected;
    bool changed = false;  // whether the list differs from the previous one
  };
  // Makes a complete list the one in effect. Entries that cannot be used are rejected individually and never
  // cause an exception.
  Change apply(const std::vector<EndpointEntry>& entries, Time now);

  [[nodiscard]] const KnownEndpoint* find(EngineId id) const;  // null: unknown id
  [[nodiscard]] const std::map<EngineId, KnownEndpoint>& engines() const { return engines_; }
  static EngineId id_of(std::string_view name);

 private:
  // Returns the reason to reject `entry`, if any. `listed`: ids of the entries of this list accepted so far.
  [[nodiscard]] std::optional<RejectedEntry> check(const EndpointEntry& entry,
                                                   const std::set<EngineId>& listed) const;
  [[nodiscard]] Endpoint endpoint_of(const EndpointEntry& entry) const;
  bool record(const EndpointEntry& entry, Time now);  // true: the engine has changed
  void forget_removed(const std::set<EngineId>& listed, Time now);
  bool mark_unlisted_removed(const std::set<EngineId>& listed, Time now);  // true: any engine marked

  std::vector<std::string> zones_, machine_types_;
  Time unix_offset_;
  std::map<EngineId, KnownEndpoint> engines_;
};

}  // namespace heronwell::fleet
