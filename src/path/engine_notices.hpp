// Parsers for messages that an engine sends in addition to its response. Engines use the extension points of
// the PostgreSQL protocol for them: notices with an SQLSTATE of class 01 (warning), subclass H, and a
// parameter that carries the load report. The functions convert them into typed values.
//
// A notice that is unknown or malformed is ignored, because an engine may support more notices than this
// router. A value that is not a number is read as 0.
#pragma once

#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "path/client_request.hpp"

namespace heronwell::path {

// The progress of a statement (01H01), how much it spilled to disk (01H02), or the reason why it waits
// (01H03). `amount` is in the units of AttemptProgress: the completed fraction, MB missing, or 1 for memory
// and 2 for a load.
struct ProgressNotice {
  ProgressKind kind = ProgressKind::progress;
  double amount = 0;
};
// The cost of a statement (01H04): "work_ms=12.5 memory_mb=64". Either value may be absent.
struct CostNotice {
  std::optional<Time> work;
  std::optional<double> memory_mb;
};
using EngineNotice = std::variant<std::monostate, ProgressNotice, CostNotice>;

EngineNotice read_notice(const sql::ErrorText& notice);

// Parses a load report such as "inflight=3 queue=0.5". Returns the values in the order of `fields`; a field
// that the report does not contain is 0.
std::vector<double> read_load_parameter(std::string_view value, const std::vector<LoadField>& fields);

}  // namespace heronwell::path
