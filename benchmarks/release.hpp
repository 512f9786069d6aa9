// ReleaseOnly ends a benchmark that was built without optimisation with an error, as its results would
// mislead.
#pragma once

#include <cstdio>
#include <cstdlib>

namespace heronwell::benchmarks {

struct ReleaseOnly {
  ReleaseOnly() {
#ifndef __OPTIMIZE__
    std::fputs("built without optimisation: configure with -DCMAKE_BUILD_TYPE=Release\n", stderr);
    std::exit(2);
#endif
  }
};
inline const ReleaseOnly kReleaseOnly;

}  // namespace heronwell::benchmarks
