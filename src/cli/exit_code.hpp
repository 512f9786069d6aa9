// Exit codes of the program. Scripts rely on the numbers, so they must not change.
#pragma once

namespace heronwell::cli {

enum class ExitCode : int {
  done = 0,       // success
  failed = 1,     // ran and failed: rule violated, target missed, nothing found, or error at run time
  wrong_use = 2,  // wrong usage or configuration; one line gives file, line, column, field and expectation
  could_not_start = 3  // a port, file or other system resource was not available
};

}  // namespace heronwell::cli
