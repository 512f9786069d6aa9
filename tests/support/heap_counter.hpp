// Counts the bytes that the test program has allocated with `new` and not freed.
#pragma once

#include <cstddef>

namespace heronwell::test {

[[nodiscard]] std::size_t heap_bytes();

}  // namespace heronwell::test
