// Values at run time and their coercion (specification, sections 3 and 6.1.2): variables from JSON, literals
// of documents, defaults. Numbers are kept as written, so that none of any size loses a digit on its way.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "graphql/document.hpp"
#include "graphql/schema.hpp"
#include "graphql/validate.hpp"

namespace heronwell::graphql {

struct Datum {
  enum class Kind { null, boolean, number, string, enumeration, list, object };
  Kind kind = Kind::null;
  std::string text;  // of a boolean true or false; a number as written; a string; an enumeration's value
  std::vector<Datum> items;
  std::vector<std::pair<std::string, Datum>> fields;  // in the order written

  [[nodiscard]] const Datum* field(std::string_view name) const;
  [[nodiscard]] bool null() const { return kind == Kind::null; }
  static Datum of(Kind kind, std::string text);
  bool operator==(const Datum&) const = default;
};

struct JsonError : std::runtime_error {
  JsonError(std::size_t at, const std::string& what) : std::runtime_error(what), byte(at) {}
  std::size_t byte;  // of the text, from 0
};
// Throws JsonError: no JSON, no UTF-8, a name twice in an object, deeper than `depth`.
Datum read_json(std::string_view text, std::size_t depth = 64);
void put_json(std::string& out, const Datum& value);

using Variables = std::map<std::string, Datum, std::less<>>;

// What is wrong, with the place within the value, such as "ids[2].kind".
struct Misfit {
  std::string where, message;
};
// Empty: misfits, and `wrong` tells why. A variable that was not given counts as null here: whoever can do
// without the value looks for it first (see given()).
std::optional<Datum> coerce(const Schema& schema, const Datum& value, const TypeRef& type, Misfit& wrong);
std::optional<Datum> coerce(const Schema& schema, const Value& literal, const TypeRef& type,
                            const Variables& variables, Misfit& wrong);
// Whether a literal has a value: only a variable that was not given has none.
bool given(const Value& literal, const Variables& variables);

struct Coerced {
  Variables values;
  std::vector<Violation> errors;  // empty: all fit
};
// "CoerceVariableValues". `given` is an object or null.
Coerced coerce_variables(const Schema& schema, const Document& document, const Definition& operation,
                         const Datum& given);
// "CoerceArgumentValues" for one field or directive; empty: an error in `wrong`. In the order of definitions;
// arguments without value and default are left out.
std::optional<Datum> coerce_arguments(const Schema& schema, std::span<const InputValue> definitions,
                                      std::span<const Argument> arguments, const Variables& variables,
                                      Misfit& wrong);

// A literal without variables against a type, as the schema's own defaults and directives need it.
std::optional<Misfit> literal_misfit(const Schema& schema, const Value& literal, const TypeRef& type);

}  // namespace heronwell::graphql
