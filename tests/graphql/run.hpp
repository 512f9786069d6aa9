// Runs operations against a table of answers, statement by statement, without sockets.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <sstream>

#include "graphql/execute.hpp"

namespace heronwell::graphql {

using namespace std::chrono_literals;

// "id:23 name|1,Gate A|2,NULL": columns with the numbers of their types, then rows.
inline std::shared_ptr<const sql::Table> table(const std::string& text, const std::string& tag = "SELECT") {
  auto made = std::make_shared<sql::Table>();
  made->command = tag;
  std::istringstream rows(text);
  std::string line;
  std::getline(rows, line, '|');
  std::istringstream columns(line);
  for (std::string word; columns >> word;) {
    const auto colon = word.find(':');
    made->columns.push_back(
        {word.substr(0, colon),
         colon == std::string::npos ? 25U : static_cast<std::uint32_t>(std::stoul(word.substr(colon + 1)))});
  }
  while (std::getline(rows, line, '|')) {
    std::vector<std::string> cells;
    std::istringstream row(line);
    for (std::string cell; std::getline(row, cell, ',');) cells.push_back(cell);
    std::vector<sql::Value> values;
    for (const auto& cell : cells) values.push_back(cell == "NULL" ? sql::Value{} : sql::Value(cell));
    std::string bytes;
    sql::put_row(bytes, values);
    EXPECT_TRUE(made->add(sql::RowReader(std::string_view(bytes).substr(5)))) << line;
  }
  return made;
}

inline Trouble failed(const std::string& code, bool may_have_run = false) {
  Trouble out;
  out.code = code;
  out.outcome = code == "STATEMENT_REFUSED" ? "refused" : "failed";
  out.message = "stand-in";
  out.may_have_run = may_have_run;
  out.retry_harmless = !may_have_run;
  return out;
}

inline const std::vector<ClassFacts>& classes() {
  static const std::vector<ClassFacts> all{{"lookup", true, false, 100ms},
                                           {"report", true, false, 900ms},
                                           {"load", false, false, 500ms},
                                           {"sync", false, true, 500ms}};
  return all;
}

struct Ran {
  std::string response;
  std::vector<std::string> calls;  // "statement [parameter, ...]", in the order they went out
  std::vector<Time> deadlines;
  std::vector<Call> raw;
  std::size_t most_out = 0;  // at a time
  bool effect = false;
};
struct Setting {
  std::string variables = "{}";
  Time deadline = 10s;
  Bounds bounds;
  std::string key;
  std::map<std::string, std::string> headers;
  bool last_first = false;  // of those that are out, the last ends first
};

// `engine` answers each statement.
inline Ran run(const Bound& bound, const std::string& text, const std::function<Reply(const Call&)>& engine,
               const Setting& setting = {}) {
  Ran ran;
  const auto document = parse(text);
  const auto violations = validate(bound.schema(), document);
  if (!violations.empty()) {
    ran.response = request_errors(violations, "VALIDATION_FAILED");
    return ran;
  }
  const auto& operation = *std::ranges::find_if(
      document.definitions, [](const Definition& d) { return d.kind != DefinitionKind::fragment; });
  auto variables = coerce_variables(bound.schema(), document, operation, read_json(setting.variables));
  if (!variables.errors.empty()) {
    ran.response = request_errors(variables.errors, "BAD_VARIABLES");
    return ran;
  }
  Asked asked;
  asked.variables = std::move(variables.values);
  asked.deadline = setting.deadline;
  asked.idempotency_key = setting.key;
  asked.header = [&](std::string_view name) -> std::optional<std::string> {
    const auto found = setting.headers.find(std::string(name));
    return found == setting.headers.end() ? std::nullopt : std::optional(found->second);
  };
  asked.tenant = [](std::string_view name) -> std::optional<std::uint32_t> {
    return name == "north" ? std::optional(3U) : std::nullopt;
  };
  asked.hash = [](const std::string& value) { return 1000 + value.size(); };
  Execution execution(bound, document, operation, std::move(asked), setting.bounds);
  std::vector<Call> out, next;
  execution.start(0s, out);
  while (!out.empty()) {
    ran.most_out = std::max(ran.most_out, out.size());
    const auto at = setting.last_first ? out.end() - 1 : out.begin();
    auto call = std::move(*at);
    out.erase(at);
    std::string line(call.statement);
    line += " [";
    for (const auto& p : call.parameters) line += (line.back() == '[' ? "" : ", ") + p.value_or("NULL");
    ran.calls.push_back(line + "]");
    ran.deadlines.push_back(call.deadline);
    ran.raw.push_back(call);
    next.clear();
    execution.ended(0s, call.id, engine(call), next);
    for (auto& one : next) out.push_back(std::move(one));
  }
  EXPECT_TRUE(execution.done());
  ran.response = execution.response();
  ran.effect = execution.any_effect();
  return ran;
}

}  // namespace heronwell::graphql
