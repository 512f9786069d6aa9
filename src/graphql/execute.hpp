// Execution of one operation (specification, section 6): which statements to run, and the response once they
// have ended. No I/O and no clock: statements go out as Calls, what came of them goes in as Replies.
//
// Order of things: the roots' statements go out together (of a mutation one after the other); once one has
// ended, its rows tell which parents its child fields have, and each child field is one statement for all of
// them. When all have ended the response is written in one pass, with nulls carried up as the types ask.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.hpp"
#include "graphql/binding.hpp"
#include "graphql/collect.hpp"
#include "sql/table.hpp"

namespace heronwell::graphql {

// A statement to run, as one request to the module.
struct Call {
  std::size_t id = 0;
  std::string_view field;  // such as Query.shop, for logs and traces
  std::string_view statement;
  std::vector<std::optional<std::string>> parameters;  // as texts; none: NULL
  std::uint16_t cls = 0;
  std::int64_t data_group = 0;
  std::uint64_t order_key = 0;
  std::uint32_t tenant = 0;
  std::optional<Time> cost;
  double memory_mb = 0;
  Time deadline{};             // by when its final answer is wanted
  std::size_t most_bytes = 0;  // of its rows
};

// Why a statement gave nothing; becomes an error of its field.
struct Trouble {
  std::string code;  // STATEMENT_REFUSED, STATEMENT_FAILED, OUTCOME_UNKNOWN, STATEMENT_ERROR, NOT_STARTED ...
  std::string outcome;  // refused, failed, served (the statement's own fault), not_started
  std::string message;
  std::string sqlstate;
  bool retry_harmless = true;
  bool may_have_run = false;
  Time pause{};  // zero: none told
  unsigned attempts = 0;
};
struct Reply {
  std::shared_ptr<const sql::Table> table;  // null: trouble
  std::optional<Trouble> trouble;
};

struct Bounds {
  std::size_t parallel = 8;       // statements of one request out at a time
  std::size_t parents = 10'000;   // in one statement of a child field; more are split
  std::size_t answer = 16 << 20;  // bytes of the response, and of all rows held for it
  std::size_t errors = 1'000;     // told; the rest is counted
};

// What the request brings besides its document.
struct Asked {
  Variables variables;
  Time deadline{};
  std::string idempotency_key;
  std::function<std::optional<std::string>(std::string_view)> header;    // by lower-case name
  std::function<std::optional<std::uint32_t>(std::string_view)> tenant;  // a known one's number
  std::function<std::uint64_t(const std::string&)> hash;                 // of data groups and keys
};

class Execution {
 public:
  // `bound` and `document` outlive it; the document is valid against the schema.
  Execution(const Bound& bound, const Document& document, const Definition& operation, Asked asked,
            Bounds bounds);
  ~Execution();
  Execution(const Execution&) = delete;
  Execution& operator=(const Execution&) = delete;

  void start(Time now, std::vector<Call>& out);
  void ended(Time now, std::size_t call, Reply reply, std::vector<Call>& out);
  [[nodiscard]] bool done() const;
  // Once done: {"data": ..., "errors": [...]}.
  std::string response();

  [[nodiscard]] bool any_trouble() const { return any_trouble_; }
  // Of a mutation: whether any of its statements can have run.
  [[nodiscard]] bool any_effect() const { return any_effect_; }
  // ... and of one of them it is not known whether it did.
  [[nodiscard]] bool any_unknown() const { return any_unknown_; }
  [[nodiscard]] std::size_t calls() const { return fetch_of_.size(); }

 private:
  struct Output;
  struct Level;
  struct Fetch;
  struct Row {
    const sql::Table* table = nullptr;
    std::size_t at = 0;
  };
  struct Step {
    std::string_view key;
    std::size_t index = 0;
  };

  std::vector<Output>& outputs(Level& level, const Type& type);
  void fetch_root(Output& output);
  void next_root();
  void visit(Level& level, Row row);
  void descend(Fetch& fetch);
  void need(Output& output, std::string_view parent);
  void launch(Fetch& fetch);
  void pump(Time now, std::vector<Call>& out);
  void close(Fetch& fetch);
  Time share(Time now, const Output& output) const;
  Time chain(const FieldDefinition& definition, const Sets& below) const;
  Time chain_below(const Sets& below, const Type* type) const;
  bool bind(const Fetch& fetch, const std::string& parents, Call& call, Trouble& wrong) const;
  const Type* type_of(const Level& level, Row row) const;

  bool object(Level& level, const Type& type, Row row);
  bool put_field(Output& output, const Type& parent, Row row);
  bool put_fetched(Output& output, Row parent);
  bool put_item(Output& output, const TypeRef& type, Row row, std::optional<std::size_t> value_column);
  bool put_cell(const TypeRef& type, sql::Value value, std::uint32_t engine_type, Location at);
  bool put_scalar(std::string_view type, std::string_view text, std::uint32_t engine_type);
  bool nulled(const TypeRef& type, std::size_t mark, Location at, const std::string& why);
  void error(Location at, const std::string& message, const Trouble* trouble = nullptr);
  void too_long(std::size_t more = 0) const;

  const Bound& bound_;
  const Document& document_;
  const Definition& operation_;
  Asked asked_;
  Bounds bounds_;
  Collector collector_;
  std::unique_ptr<Level> root_;
  std::size_t next_root_ = 0;
  bool mutation_, stopped_ = false, any_trouble_ = false, any_effect_ = false, any_unknown_ = false;
  std::deque<Fetch> fetches_;
  std::vector<std::pair<Fetch*, std::size_t>> fetch_of_;  // by call: which, and which part of it
  std::deque<std::size_t> waiting_;                       // calls that may go out
  std::vector<Call> calls_;
  std::size_t running_ = 0, open_fetches_ = 0, held_bytes_ = 0;

  std::string out_, errors_;
  std::size_t error_count_ = 0;
  std::vector<Step> path_;
};

// A whole response for a request that is not executed: {"errors": [...]}.
std::string request_errors(const std::vector<Violation>& errors, std::string_view code);

}  // namespace heronwell::graphql
