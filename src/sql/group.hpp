// Determines the data group of a SQL statement, which is the group of tables that it reads or writes.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace heronwell::sql {

// Returns the number after the last underscore in the name of the first schema that ends in such a number (17
// in sales_17.orders); nullopt if there is none. Schemas without a number, such as `staging`, are skipped. A
// schema is a name followed by a dot. A small lexer recognises strings, quoted names and comments. Whatever
// the result is, the statement is sent to the engine unchanged.
[[nodiscard]] std::optional<std::int64_t> find_data_group(std::string_view statement);

}  // namespace heronwell::sql
