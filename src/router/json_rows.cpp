#include "router/json_rows.hpp"

#include "base/json.hpp"

namespace heronwell::router {
namespace {

constexpr std::uint32_t kBoolType = 16;  // PostgreSQL's type OID (pg_type.oid) of bool

}  // namespace

void JsonRows::open_result(std::string& out) {
  if (!has_result_)
    out += "{";
  else
    out += in_further_result_ ? ",{" : ",\"more\":[{";
  in_further_result_ = has_result_;
  has_result_ = result_open_ = true;
}

void JsonRows::columns(std::string& out, const std::vector<sql::Column>& columns) {
  open_result(out);
  column_types_.clear();
  out += "\"columns\":[";
  for (const auto& column : columns) {
    if (!column_types_.empty()) out.push_back(',');
    put_json_text(out, column.name);
    column_types_.push_back(column.type);
  }
  out += "],\"rows\":[";
  row_separator_ = "";
}

bool JsonRows::row(std::string& out, sql::RowReader row) {
  if (row.columns() != column_types_.size()) return false;
  out += row_separator_;
  row_separator_ = ",";
  out.push_back('[');
  sql::Value value;
  for (std::size_t i = 0; row.next(value); ++i) {
    if (i > 0) out.push_back(',');
    if (!value)
      out += "null";
    else if (column_types_[i] == kBoolType && (*value == "t" || *value == "f"))
      out += *value == "t" ? "true" : "false";
    else if (sql::is_number_type(column_types_[i]) && is_json_number(*value))
      out += *value;
    else
      put_json_text(out, *value);
  }
  out.push_back(']');
  return row.ok();
}

void JsonRows::complete(std::string& out, std::string_view tag) {
  if (!result_open_) {  // the command returns no rows, such as UPDATE
    open_result(out);
    out += R"("columns":[],"rows":[)";
  }
  out += "],\"command\":";
  put_json_text(out, tag);
  if (in_further_result_) out.push_back('}');
  result_open_ = false;
}

void JsonRows::finish(std::string& out) {
  if (!has_result_) complete(out, "");
  out += in_further_result_ ? "]}" : "}";
}

}  // namespace heronwell::router
