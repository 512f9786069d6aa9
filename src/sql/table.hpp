// Stores the rows of one statement's result as the engine sent them: one string with the text of all cells,
// and the position of each cell in it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sql/protocol.hpp"

namespace heronwell::sql {

class Table {
 public:
  std::vector<Column> columns;
  std::string command;  // the command tag, such as "INSERT 0 1"

  // Appends a row. Returns false if the row is malformed or has another number of columns than `columns`.
  bool add(RowReader row) {
    if (row.columns() != columns.size()) return false;
    Value value;
    while (row.next(value)) {
      cells_.push_back(
          {static_cast<std::uint32_t>(text_.size()), value ? static_cast<std::int32_t>(value->size()) : -1});
      if (value) text_.append(*value);
    }
    ++rows_;
    return row.ok();
  }
  [[nodiscard]] std::size_t rows() const { return rows_; }
  [[nodiscard]] std::size_t bytes() const { return text_.size() + cells_.size() * sizeof(Cell); }
  [[nodiscard]] Value at(std::size_t row, std::size_t column) const {
    const auto& cell = cells_[row * columns.size() + column];
    if (cell.size < 0) return std::nullopt;
    return std::string_view(text_).substr(cell.offset, static_cast<std::size_t>(cell.size));
  }
  [[nodiscard]] std::optional<std::size_t> column(std::string_view name) const {
    for (std::size_t i = 0; i < columns.size(); ++i)
      if (columns[i].name == name) return i;
    return std::nullopt;
  }

 private:
  struct Cell {
    std::uint32_t offset = 0;
    std::int32_t size = -1;  // -1: NULL
  };
  std::string text_;
  std::vector<Cell> cells_;
  std::size_t rows_ = 0;
};

}  // namespace heronwell::sql
