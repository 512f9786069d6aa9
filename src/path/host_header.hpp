// Builds the value of the Host header, "host:port", for a call to an engine of the platform.
#pragma once

#include <string>

#include "config/config.hpp"

namespace heronwell::path {

inline std::string host_header(const config::Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

}  // namespace heronwell::path
