// The group of tables that a statement reads or writes: the number behind the last underscore in the name of
// a schema (17 in sales_17.orders). A small lexer: strings, quoted names and comments are seen as such, the
// schema `staging` does not count. Statements pass through untouched whatever is found.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace heronwell::sql {

[[nodiscard]] std::optional<std::int64_t> find_data_group(std::string_view statement);

}  // namespace heronwell::sql
