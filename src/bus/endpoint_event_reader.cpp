#include "bus/endpoint_event_reader.hpp"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "base/address.hpp"

namespace heronwell::bus {
namespace {

using Json = nlohmann::json;

// Limits that keep numbers within the range of the types that store them.
constexpr std::uint64_t kMaxOffset = 1ULL << 62;
constexpr std::uint64_t kMaxCell = 65535;
constexpr std::uint64_t kMaxUnixMs = 1ULL << 52;  // milliseconds since 1970

[[noreturn]] void fail(const std::string& path, const char* expected) {
  throw std::invalid_argument(fmt::format("event bus: {}: expected {}", path, expected));
}

std::uint64_t integer_at(const Json& object, const char* key, const std::string& path, std::uint64_t max) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_number_unsigned() || found->get<std::uint64_t>() > max)
    fail(path + "." + key, "a whole number in range");
  return found->get<std::uint64_t>();
}

std::string string_at(const Json& object, const char* key, const std::string& path) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_string()) fail(path + "." + key, "a string");
  return found->get<std::string>();
}

EndpointState read_health(const Json& host, const std::string& path) {
  const auto health = string_at(host, "health", path);
  if (health == "up") return EndpointState::ready;
  if (health == "draining") return EndpointState::draining;
  if (health == "removed") return EndpointState::removed;
  fail(path + ".health", "up, draining or removed");
}

// Converts a host of the bus to an entry. The header lists the mapping of the fields.
fleet::EndpointEntry read_host(const Json& host, const std::string& path) {
  if (!host.is_object()) fail(path, "an object");
  fleet::EndpointEntry entry;
  entry.name = string_at(host, "host", path);
  if (entry.name.empty()) fail(path + ".host", "a name");
  entry.state = read_health(host, path);
  if (entry.state == EndpointState::removed) return entry;  // the bus may omit its other fields
  auto address = read_address(string_at(host, "dial", path));
  if (!address) fail(path + ".dial", "address:port");
  entry.host = std::move(address->first);
  entry.port = address->second;
  entry.zone = string_at(host, "site", path);
  entry.machine_type = string_at(host, "class", path);
  if (host.contains("block"))
    entry.cell = static_cast<std::uint16_t>(integer_at(host, "block", path, kMaxCell));
  if (const auto weight = host.find("share"); weight != host.end()) {
    if (!weight->is_number() || !(weight->get<double>() >= 0)) fail(path + ".share", "a number from 0");
    entry.weight = weight->get<double>();
  }
  if (host.contains("born_ms"))
    entry.started_ms = static_cast<std::int64_t>(integer_at(host, "born_ms", path, kMaxUnixMs));
  return entry;
}

const Json& array_at(const Json& object, const char* key, const std::string& path) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_array()) fail(path + "." + key, "a list");
  return *found;
}

bool is_snapshot(const Json& event) {
  const auto topology = event.find("topology");
  return topology != event.end() && topology->is_object() && topology->value("whole", Json()) == true;
}

// Applies the hosts of one event, which is a snapshot or a delta, to the endpoint list.
void apply_topology(const Json& topology, const std::string& path,
                    std::map<std::string, fleet::EndpointEntry>& engines) {
  if (!topology.is_object()) fail(path, "an object");
  const auto whole = topology.find("whole");
  if (whole == topology.end() || !whole->is_boolean()) fail(path + ".whole", "true or false");
  const auto& hosts = array_at(topology, "hosts", path);
  if (whole->get<bool>()) engines.clear();
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    auto entry = read_host(hosts[i], fmt::format("{}.hosts[{}]", path, i));
    if (entry.state == EndpointState::removed)
      engines.erase(entry.name);
    else
      engines.insert_or_assign(entry.name, std::move(entry));
  }
}

}  // namespace

bool EndpointEventReader::apply(std::string_view json) {
  const auto response = Json::parse(json, nullptr, false);
  if (!response.is_object()) fail("answer", "a JSON object");
  const auto last_offset = integer_at(response, "offset", "answer", kMaxOffset);
  const auto& batch = array_at(response, "batch", "answer");
  auto next = state_;
  for (std::size_t i = 0; i < batch.size(); ++i) {
    const auto& event = batch[i];
    const auto path = fmt::format("batch[{}]", i);
    if (!event.is_object()) fail(path, "an object");
    const auto offset = integer_at(event, "offset", path, kMaxOffset);
    if (offset <= next.offset) continue;  // already applied
    // If an event was lost between two polls and the next delta were applied, the list would keep a removed
    // engine or lack an added one. A gap is therefore an error: the whole response is discarded, and the next
    // poll requests the same events again. A snapshot and the very first event do not depend on earlier
    // events.
    if (offset != next.offset + 1 && next.offset != 0 && !is_snapshot(event))
      fail(path + ".offset", "the number that follows the previous event; events are missing");
    next.offset = offset;
    // Events without a topology are of other kinds, which the router ignores.
    if (const auto topology = event.find("topology"); topology != event.end())
      apply_topology(*topology, path + ".topology", next.engines);
  }
  if (next.offset < last_offset) fail("answer.offset", "the number of the last event of the batch");
  const bool changed = next.engines != state_.engines;
  state_ = std::move(next);
  return changed;
}

std::vector<fleet::EndpointEntry> EndpointEventReader::entries() const {
  std::vector<fleet::EndpointEntry> entries;
  entries.reserve(state_.engines.size());
  for (const auto& [name, entry] : state_.engines) entries.push_back(entry);
  return entries;
}

}  // namespace heronwell::bus
