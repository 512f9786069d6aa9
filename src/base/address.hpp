// Parses network addresses in the form "host:port", as other systems write them.
#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace heronwell {

// Splits `address` at its last colon into the host and the port, which must be from 1 to 65535. Returns
// nullopt if `address` does not have this form. The host must not be empty and is not checked otherwise.
inline std::optional<std::pair<std::string, std::uint16_t>> read_address(std::string_view address) {
  const auto colon = address.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return std::nullopt;
  unsigned port = 0;
  const auto* end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || port < 1 || port > 65535) return std::nullopt;
  return std::pair(std::string(address.substr(0, colon)), static_cast<std::uint16_t>(port));
}

}  // namespace heronwell
