#include "fleet/endpoint_registry.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace heronwell::fleet {
namespace {

// How long an engine is retained that is neither ready nor listed any more. Under usual timeouts, attempts on
// it, including the drain grace period, last a few seconds, so nothing refers to its id after this time. A
// class with a longer timeout (up to an hour is allowed) is affected only if the names of two engines also
// have the same hash.
constexpr Time kRemovedEngineRetention = std::chrono::minutes(10);

std::optional<std::uint16_t> index_of(const std::vector<std::string>& names, const std::string& name) {
  const auto found = std::ranges::find(names, name);
  if (found == names.end()) return std::nullopt;
  return static_cast<std::uint16_t>(found - names.begin());
}

}  // namespace

std::string RejectedEntry::text() const {
  switch (reason) {
    case RejectionReason::id_collision:
      return name + ": has the same id as " + subject;
    case RejectionReason::duplicate_name:
      return name + ": is listed twice";
    case RejectionReason::unknown_zone:
      return name + ": zone \"" + subject + "\" is not configured";
    case RejectionReason::unknown_machine_type:
      return name + ": kind \"" + subject + "\" is not configured";
  }
  return name;
}

EndpointRegistry::EndpointRegistry(std::vector<std::string> zones, std::vector<std::string> machine_types,
                                   Time unix_offset)
    : zones_(std::move(zones)), machine_types_(std::move(machine_types)), unix_offset_(unix_offset) {}

EngineId EndpointRegistry::id_of(std::string_view name) { return XXH32(name.data(), name.size(), 0); }

const KnownEndpoint* EndpointRegistry::find(EngineId id) const {
  const auto found = engines_.find(id);
  return found == engines_.end() ? nullptr : &found->second;
}

EndpointRegistry::Change EndpointRegistry::apply(const std::vector<EndpointEntry>& entries, Time now) {
  Change change;
  change.update.kind = UpdateKind::snapshot;
  std::set<EngineId> listed;
  for (const auto& entry : entries) {
    if (auto rejected = check(entry, listed)) {
      change.rejected.push_back(*std::move(rejected));
      continue;
    }
    listed.insert(id_of(entry.name));
    if (record(entry, now)) change.changed = true;
    change.update.endpoints.push_back(endpoint_of(entry));
  }
  // The order matters: an engine that was draining for longer than kRemovedEngineRetention when it disappears
  // from the list is forgotten without counting as a change. It received no requests any more, so no update
  // is needed.
  forget_removed(listed, now);
  if (mark_unlisted_removed(listed, now)) change.changed = true;
  return change;
}

std::optional<RejectedEntry> EndpointRegistry::check(const EndpointEntry& entry,
                                                     const std::set<EngineId>& listed) const {
  const auto id = id_of(entry.name);
  const auto* known = find(id);
  if (known != nullptr && known->entry.name != entry.name)
    return RejectedEntry{entry.name, RejectionReason::id_collision, known->entry.name};
  if (listed.contains(id)) return RejectedEntry{entry.name, RejectionReason::duplicate_name, ""};
  if (!index_of(zones_, entry.zone))
    return RejectedEntry{entry.name, RejectionReason::unknown_zone, entry.zone};
  if (!index_of(machine_types_, entry.machine_type))
    return RejectedEntry{entry.name, RejectionReason::unknown_machine_type, entry.machine_type};
  return std::nullopt;
}

bool EndpointRegistry::record(const EndpointEntry& entry, Time now) {
  const auto id = id_of(entry.name);
  auto& known = engines_[id];
  const bool ready = entry.state == EndpointState::ready;
  const bool changed = known.entry != entry || known.not_ready_since.has_value() == ready;
  known.entry = entry;
  known.id = id;
  if (ready)
    known.not_ready_since.reset();
  else if (!known.not_ready_since)
    known.not_ready_since = now;
  return changed;
}

Endpoint EndpointRegistry::endpoint_of(const EndpointEntry& entry) const {
  Endpoint endpoint;
  endpoint.engine = id_of(entry.name);
  endpoint.zone = index_of(zones_, entry.zone).value();
  endpoint.machine_type = index_of(machine_types_, entry.machine_type).value();
  endpoint.cell = entry.cell;
  endpoint.state = entry.state;
  endpoint.weight = entry.weight;
  if (entry.started_ms > 0) {
    const auto started_at = std::chrono::duration_cast<Time>(std::chrono::milliseconds(entry.started_ms));
    // A start before the epoch of this process's clock is reported as zero, which means "long ago".
    endpoint.last_started = std::max(started_at - unix_offset_, Time::zero());
  }
  return endpoint;
}

void EndpointRegistry::forget_removed(const std::set<EngineId>& listed, Time now) {
  std::erase_if(engines_, [&](const auto& one) {
    const auto& [id, known] = one;
    return !listed.contains(id) && known.not_ready_since &&
           now > *known.not_ready_since + kRemovedEngineRetention;
  });
}

bool EndpointRegistry::mark_unlisted_removed(const std::set<EngineId>& listed, Time now) {
  bool changed = false;
  for (auto& [id, known] : engines_) {
    if (listed.contains(id) || known.entry.state == EndpointState::removed) continue;
    known.entry.state = EndpointState::removed;
    if (!known.not_ready_since) known.not_ready_since = now;
    changed = true;
  }
  return changed;
}

}  // namespace heronwell::fleet
