// Reads small files completely, such as settings, schemas and resource groups.
#pragma once

#include <fstream>
#include <iterator>
#include <string>

namespace heronwell::daemon {

// Returns the bytes of the file `path`, or an empty string if it cannot be read. Callers treat this like a
// file that a writer has truncated and not yet written, and read it again later.
inline std::string read_file(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(stream), {}};
}

}  // namespace heronwell::daemon
