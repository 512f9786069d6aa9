// Defines the time type that all packages share. It reads no clock: code below the daemon gets the time as an
// argument, so that it also runs on virtual time.
#pragma once

#include <chrono>
#include <cstdint>

namespace heronwell {

using Time = std::chrono::nanoseconds;  // a point in time on the monotonic clock, or a duration

// Converts to milliseconds for output, with fractions.
inline double milliseconds(Time t) { return std::chrono::duration<double, std::milli>(t).count(); }

}  // namespace heronwell
