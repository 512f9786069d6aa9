// Formats one trace from lines of OTLP files (otlp.hpp) as a timeline, which lists each span below its parent
// with start and duration in milliseconds, router and attributes. `heronwell follow` prints it.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace heronwell::trace {

// `lines` may come from the files of several routers, in any order; lines that do not contain `trace_id` (32
// hex digits) are skipped. Returns an empty string if no line has a span of the trace. Adds the number of
// lines that contain the id but are not valid OTLP to `malformed`.
std::string timeline(const std::vector<std::string>& lines, std::string_view trace_id,
                     std::size_t& malformed);

}  // namespace heronwell::trace
