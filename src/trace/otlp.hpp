// Encodes trails in the "OTLP File Exporter" format: one line of TracesData as JSON per trail.
#pragma once

#include <string>
#include <string_view>

#include "base/time.hpp"
#include "trace/trail.hpp"

namespace heronwell::trace {

// Returns the line, including the newline. `router` and `version` become the service instance id and the
// instrumentation scope's version. `unix_offset` is the Unix time minus the time of the spans' clock.
std::string otlp_line(const Trail& trail, std::string_view router, std::string_view version,
                      Time unix_offset);

}  // namespace heronwell::trace
