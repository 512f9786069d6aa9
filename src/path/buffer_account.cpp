#include "path/buffer_account.hpp"

namespace heronwell::path {

std::string_view name_of(BufferKind kind) {
  switch (kind) {
    case BufferKind::client_input:
      return "client_input";
    case BufferKind::statements:
      return "statements";
    case BufferKind::client_output:
      return "client_output";
    case BufferKind::engine_output:
      return "engine_output";
    case BufferKind::engine_input:
      return "engine_input";
  }
  return "";
}

}  // namespace heronwell::path
