// Writes an engine's rows as a JSON object: {"columns": [...], "rows": [[...], ...], "command": "SELECT 2"}.
// If a statement has several results, those after the first are listed under "more". The object is written
// piece by piece, so that a response of any size can be forwarded with bounded memory. Values of the types
// int2, int4, int8, float4, float8 and oid become JSON numbers, bool becomes true or false, NULL becomes
// null, and every other value becomes a string with the text that the engine sent.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "sql/protocol.hpp"

namespace heronwell::router {

// Appends JSON to `out` with each call. The calls follow the order of the engine's messages: for each result
// columns(), then row() for each row, then complete(). A result without rows, such as that of an UPDATE,
// needs only complete(). finish() comes after the last result.
class JsonRows {
 public:
  void columns(std::string& out, const std::vector<sql::Column>& columns);
  // Returns false if the row is malformed; the contents of `out` are then unusable.
  [[nodiscard]] bool row(std::string& out, sql::RowReader row);
  void complete(std::string& out, std::string_view tag);  // `tag`: the command tag, such as "SELECT 2"
  void finish(std::string& out);

 private:
  void open_result(std::string& out);

  std::vector<std::uint32_t> column_types_;
  std::string_view row_separator_;
  bool result_open_ = false, has_result_ = false, in_further_result_ = false;
};

}  // namespace heronwell::router
