// This target reads the endpoint list from Consul and from YAML. It checks that a list is read, or rejected
// with a reason, and that an update of the endpoint registry has no more endpoints than the list has entries.
#include <cstdint>
#include <cstdlib>
#include <stdexcept>
#include <string>

#include "base/yaml.hpp"
#include "fleet/endpoint_registry.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace heronwell;
  const std::string bytes(reinterpret_cast<const char*>(data), size);
  try {
    const auto entries = fleet::read_consul(bytes);
    fleet::EndpointRegistry endpoints({"a", ""}, {"small", ""}, Time::zero());
    if (endpoints.apply(entries, Time(1)).update.endpoints.size() > entries.size()) std::abort();
  } catch (const std::invalid_argument& error) {
    if (std::string(error.what()).empty()) std::abort();
  }
  try {
    (void)fleet::read_yaml(bytes, "f");
  } catch (const yaml::Error&) {
  }
  return 0;
}
