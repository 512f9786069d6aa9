#include "fleet/endpoint_reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>

#include "base/yaml.hpp"

namespace heronwell::fleet {
namespace {

using Json = nlohmann::json;

std::string string_or_empty(const Json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

// Meta values in Consul are strings written by hand. A value that does not begin with an integer is ignored.
std::int64_t integer_or_zero(const std::string& text) {
  try {
    return text.empty() ? 0 : std::stoll(text);
  } catch (const std::exception&) {
    return 0;
  }
}

bool is_maintenance(const std::string& check_id) {
  return check_id == "_node_maintenance" || check_id.starts_with("_service_maintenance");
}

// Returns the state of an engine. If Meta.state is "draining" or "gone", it takes precedence over the health
// checks; any other value, even "ready", is ignored.
EndpointState read_state(const Json& checks, const std::string& meta_state) {
  if (meta_state == "draining") return EndpointState::draining;
  if (meta_state == "gone") return EndpointState::removed;
  auto state = EndpointState::ready;
  for (const auto& check : checks) {
    if (string_or_empty(check, "Status") != "critical") continue;
    if (!is_maintenance(string_or_empty(check, "CheckID"))) return EndpointState::removed;
    state = EndpointState::draining;
  }
  return state;
}

// Returns the member if it is an array; else an empty array.
const Json& array_or_empty(const Json& object, const char* key) {
  static const Json empty = Json::array();
  const auto found = object.find(key);
  return found != object.end() && found->is_array() ? *found : empty;
}

const Json* object_or_null(const Json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_object() ? &*found : nullptr;
}

void read_meta(const Json& service, EndpointEntry& entry) {
  const auto* meta = object_or_null(service, "Meta");
  if (meta == nullptr) return;
  entry.zone = string_or_empty(*meta, "zone");
  entry.machine_type = string_or_empty(*meta, "kind");
  entry.cell = static_cast<std::uint16_t>(
      std::clamp<std::int64_t>(integer_or_zero(string_or_empty(*meta, "cell")), 0, 65535));
  entry.started_ms = std::max<std::int64_t>(0, integer_or_zero(string_or_empty(*meta, "started_ms")));
}

EndpointEntry read_service(const Json& instance, std::size_t index) {
  const auto fail = [index](const char* expected) {
    throw std::invalid_argument(fmt::format("engine list: entry {}: expected {}", index, expected));
  };
  const auto* service = instance.is_object() ? object_or_null(instance, "Service") : nullptr;
  if (service == nullptr) fail("a Service");
  EndpointEntry entry;
  entry.name = string_or_empty(*service, "ID");
  if (entry.name.empty()) fail("a Service.ID");
  entry.host = string_or_empty(*service, "Address");
  if (const auto* node = object_or_null(instance, "Node"); entry.host.empty() && node != nullptr)
    entry.host = string_or_empty(*node, "Address");
  if (entry.host.empty()) fail("an Address of the Service or its Node");
  const auto port = service->find("Port");
  if (port == service->end() || !port->is_number_integer() || *port < 1 || *port > 65535)
    fail("a Service.Port");
  entry.port = port->get<std::uint16_t>();
  read_meta(*service, entry);
  const auto* meta = object_or_null(*service, "Meta");
  entry.state =
      read_state(array_or_empty(instance, "Checks"), meta == nullptr ? "" : string_or_empty(*meta, "state"));
  if (const auto* weights = object_or_null(*service, "Weights"))
    if (const auto passing = weights->value("Passing", Json(1)); passing.is_number())
      entry.weight = passing.get<double>();
  return entry;
}

// Returns health checks from which read_state() derives the state of `entry`. A ready engine has none.
Json checks_of(const EndpointEntry& entry) {
  auto checks = Json::array();
  if (entry.state == EndpointState::draining)
    checks.push_back({{"CheckID", "_service_maintenance:" + entry.name}, {"Status", "critical"}});
  if (entry.state == EndpointState::removed)
    checks.push_back({{"CheckID", "service:" + entry.name}, {"Status", "critical"}});
  return checks;
}

EndpointEntry read_engine(yaml::Section& section) {
  constexpr std::array kStates{EndpointState::ready, EndpointState::draining, EndpointState::removed};
  EndpointEntry entry;
  entry.name = section.string("name");
  entry.host = section.string("host", "127.0.0.1");
  entry.port = static_cast<std::uint16_t>(section.count("port", 1, 65535));
  entry.zone = section.string("zone", "");
  entry.machine_type = section.string("kind", "");
  entry.cell = static_cast<std::uint16_t>(section.count("cell", 0, 0, 65535));
  entry.state = kStates[section.choice("state", {"ready", "draining", "gone"}, 0)];
  entry.weight = section.number("weight", 1, 0, 1e9);
  entry.started_ms = static_cast<std::int64_t>(section.count("started_ms", 0, 0, 1ULL << 62));
  section.close();
  return entry;
}

}  // namespace

std::vector<EndpointEntry> read_yaml(const std::string& text, const std::string& file) {
  auto root = yaml::Section::text(text, file);
  std::vector<EndpointEntry> entries;
  for (auto& section : root.sections("engines")) entries.push_back(read_engine(section));
  root.close();
  return entries;
}

std::vector<EndpointEntry> read_consul(std::string_view body) {
  const auto json = Json::parse(body, nullptr, false);
  if (!json.is_array()) throw std::invalid_argument("engine list: expected a JSON array of service entries");
  std::vector<EndpointEntry> entries;
  for (std::size_t i = 0; i < json.size(); ++i) entries.push_back(read_service(json[i], i));
  return entries;
}

std::string write_consul(const std::vector<EndpointEntry>& entries, const std::string& service) {
  auto all = Json::array();
  for (const auto& entry : entries) {
    all.push_back({{"Node", {{"Node", entry.name}, {"Address", entry.host}}},
                   {"Service",
                    {{"ID", entry.name},
                     {"Service", service},
                     {"Address", entry.host},
                     {"Port", entry.port},
                     {"Meta",
                      {{"zone", entry.zone},
                       {"kind", entry.machine_type},
                       {"cell", std::to_string(entry.cell)},
                       {"started_ms", std::to_string(entry.started_ms)}}},
                     {"Weights", {{"Passing", entry.weight}, {"Warning", 1}}}}},
                   {"Checks", checks_of(entry)}});
  }
  return all.dump();
}

}  // namespace heronwell::fleet
