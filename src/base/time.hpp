// Clock types that all rooms share. No clock is read here: whoever needs the time is handed it.
#pragma once

#include <chrono>
#include <cstdint>

namespace heronwell {

using Time = std::chrono::nanoseconds;  // a moment on the monotonic clock, or a span

inline double milliseconds(Time t) { return std::chrono::duration<double, std::milli>(t).count(); }

}  // namespace heronwell
