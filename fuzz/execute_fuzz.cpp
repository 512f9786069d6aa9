// This target executes any valid GraphQL document with replies that hold rows of any shape or an error. It
// checks that the execution ends, that the number of statements in flight stays within its limit, that the
// response is JSON within its size limit, and that no mutation starts after one that failed and may have run.
#include <cstdint>
#include <cstdlib>

#include "graphql/execute.hpp"

namespace {

using namespace heronwell;
using namespace heronwell::graphql;

const Bound& bound() {
  static const Bound instance(R"(
    enum E { R G }
    scalar Any
    input I { x: I y: Int! = 3 l: [ID!] }
    interface N { s: String }
    type T implements N { s: String i: Int! f: Float b: Boolean e: E! a: Any l: [Int!]! t: T n: N
      c(y: Int): [T!] @sql(statement: "child :parents :y" class: "q" parent: "i" by: "i")
      d: Int! @sql(statement: "leaf :parents" class: "q" parent: "s" by: "s") }
    type O implements N { s: String! }
    union U = T | O
    type Query { a(b: Int = 1 c: I d: [E!]): T @sql(statement: "a :b :c :c.x.y :d" class: "q") l: [T] @sql(statement: "l" class: "q")
      u: [U!]! @sql(statement: "u" class: "q") n: N @sql(statement: "n" class: "q") i: Int! @sql(statement: "i" class: "q")
      k: [Int] @sql(statement: "k" class: "q") }
    type Mutation { m(x: ID): Int @sql(statement: "m :x" class: "w") o: T! @sql(statement: "o" class: "w") })",
                              {{"q", true, false, std::chrono::milliseconds(10)},
                               {"w", false, false, std::chrono::milliseconds(10)}});
  return instance;
}

// Reads the input byte by byte. next() returns a number less than `below`, and 0 after the last byte.
struct InputBytes {
  std::string_view rest;
  unsigned next(unsigned below) {
    if (rest.empty()) return 0;
    const auto byte = static_cast<unsigned char>(rest.front());
    rest.remove_prefix(1);
    return byte % below;
  }
};

Reply make_reply(InputBytes& input) {
  static const char* const kColumns[] = {"s", "i", "f", "b", "e", "a", "l", "__typename"};
  static const char* const kCells[] = {
      "1",      "R",   "T",           "O",      "t", "{1,2}",      "{\"a\\\"\",NULL,{",
      "-1.5e3", "NaN", "99999999999", "\xff\"", "",  "{\"k\":[1]}"};
  static const std::uint32_t kTypes[] = {25, 23, 16, 114, 701};
  Reply reply;
  if (input.next(6) == 1) {
    auto& trouble = reply.trouble.emplace();
    trouble.code = "STATEMENT_FAILED";
    trouble.outcome = "failed";
    trouble.may_have_run = input.next(2) == 1;
    return reply;
  }
  auto table = std::make_shared<sql::Table>();
  table->command = input.next(2) == 1 ? "INSERT 0 2" : "x";
  for (auto n = input.next(9); n > 0; --n)
    table->columns.push_back({kColumns[input.next(8)], kTypes[input.next(5)]});
  for (auto n = input.next(5); n > 0; --n) {
    std::vector<sql::Value> values;
    for (std::size_t c = 0; c < table->columns.size(); ++c) {
      const auto cell = input.next(14);
      values.push_back(cell == 13 ? sql::Value{} : sql::Value(kCells[cell]));
    }
    std::string bytes;
    sql::put_row(bytes, values);
    if (!table->add(sql::RowReader(std::string_view(bytes).substr(5)))) std::abort();
  }
  reply.table = table;
  return reply;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const auto separator = bytes.find('\0');
  InputBytes input{separator == std::string_view::npos ? std::string_view{} : bytes.substr(separator + 1)};
  Limits limits;
  limits.spread = 300;
  Document document;
  try {
    document = parse(bytes.substr(0, separator), limits);
    if (!validate(bound().schema(), document, limits).empty()) return 0;
  } catch (const Error&) {
    return 0;
  }
  for (const auto& operation : document.definitions) {
    if (operation.kind != DefinitionKind::query && operation.kind != DefinitionKind::mutation) continue;
    auto variables = coerce_variables(bound().schema(), document, operation, {});
    if (!variables.errors.empty()) continue;
    Asked asked;
    asked.variables = std::move(variables.values);
    asked.deadline = std::chrono::seconds(10);
    asked.hash = [](const std::string& text) { return text.size(); };
    Bounds bounds;
    bounds.parallel = 1 + input.next(4);
    bounds.parents = 1 + input.next(4);
    bounds.answer = 20'000;
    bounds.errors = 5;
    Execution execution(bound(), document, operation, std::move(asked), bounds);
    std::vector<Call> calls, started_calls;
    execution.start({}, calls);
    bool mutation_may_have_run = false;
    for (std::size_t steps = 0; !calls.empty(); ++steps) {
      if (steps > 100'000 || calls.size() > bounds.parallel) std::abort();
      const auto at = calls.begin() + input.next(static_cast<unsigned>(calls.size()));
      const auto call = std::move(*at);
      calls.erase(at);
      const bool writes = call.cls == 1;
      if (writes && mutation_may_have_run) std::abort();
      auto reply = make_reply(input);
      mutation_may_have_run =
          mutation_may_have_run || (writes && reply.trouble && reply.trouble->may_have_run);
      execution.ended({}, call.id, std::move(reply), started_calls);
      for (auto& started : started_calls) calls.push_back(std::move(started));
      started_calls.clear();
    }
    if (!execution.done()) std::abort();
    const auto response = execution.response();
    if (response.size() > bounds.answer + 20'000) std::abort();
    if (read_json(response, 1000).field("data") == nullptr) std::abort();
  }
  return 0;
}
