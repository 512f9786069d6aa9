// GraphQL documents (specification of October 2021, sections 2 and 3): executable definitions and the type
// system's. A tree of plain nodes in one arena, which the document owns; views point into its text or arena.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <memory_resource>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace heronwell::graphql {

struct Location {
  std::uint32_t offset = 0;  // bytes into the text: a line is looked up only for those who ask
};
struct Place {
  std::uint32_t line = 0, column = 0;  // from 1; columns count bytes
};
Place place_of(std::string_view text, Location at);

// Bounds of a document; each error names the one that was passed.
struct Limits {
  std::size_t bytes = 256 << 10;
  std::size_t tokens = 20'000;
  std::size_t depth = 32;      // of selection sets, lists, objects and list types within one another
  std::size_t fields = 4'000;  // as written
  std::size_t aliases = 1'000;
  std::size_t directives = 1'000;
  std::size_t spread = 20'000;  // fields once all fragments are spread out
};

struct Error : std::runtime_error {
  Error(Place at, const std::string& what) : std::runtime_error(what), place(at) {}
  Place place;
};

enum class ValueKind { variable, integer, floating, string, boolean, null, enumeration, list, object };
struct ObjectField;
struct Value {
  ValueKind kind = ValueKind::null;
  Location at;
  std::string_view
      text;  // a variable's or enumeration's name, a number as written, a string decoded, true or false
  std::span<const Value> items;
  std::span<const ObjectField> fields;
};
struct ObjectField {
  std::string_view name;
  Location at;
  Value value;
};
using Argument = ObjectField;

struct Directive {
  std::string_view name;
  Location at;
  std::span<const Argument> arguments;
};

// name, [of], and either of them with !
struct TypeRef {
  std::string_view name;        // empty: a list
  const TypeRef* of = nullptr;  // of a list
  bool non_null = false;
  Location at;
};

enum class SelectionKind { field, spread, inline_fragment };
struct Selection {
  SelectionKind kind = SelectionKind::field;
  Location at;
  std::string_view alias;  // empty: none
  std::string_view name;   // of the field, or of the fragment that is spread
  std::string_view on;     // type condition of an inline fragment; empty: none
  std::span<const Argument> arguments;
  std::span<const Directive> directives;
  std::span<const Selection> selections;
  Location on_at{};  // of the type condition, or of the name that is spread
  [[nodiscard]] std::string_view key() const { return alias.empty() ? name : alias; }  // in the response
};

struct VariableDefinition {
  std::string_view name;
  Location at;
  TypeRef type;
  const Value* fallback = nullptr;
  std::span<const Directive> directives;
};

struct InputValue {  // an argument's or an input field's definition
  std::string_view description, name;
  Location at;
  TypeRef type;
  const Value* fallback = nullptr;
  std::span<const Directive> directives;
};
struct FieldDefinition {
  std::string_view description, name;
  Location at;
  std::span<const InputValue> arguments;
  TypeRef type;
  std::span<const Directive> directives;
};
struct EnumValue {
  std::string_view description, name;
  Location at;
  std::span<const Directive> directives;
};
struct NamedType {  // of a union, an implements list, directive locations, or a schema's operation (with its
                    // word)
  std::string_view name;
  Location at;
  std::string_view operation;
};

enum class DefinitionKind {
  query,
  mutation,
  subscription,
  fragment,
  schema,
  scalar,
  object,
  interface,
  union_type,
  enumeration,
  input,
  directive
};
struct Definition {
  DefinitionKind kind = DefinitionKind::query;
  Location at;
  bool extends = false;
  std::string_view description, name;  // name empty: an anonymous operation, or a schema
  std::string_view on;                 // a fragment's type condition
  std::span<const VariableDefinition> variables;
  std::span<const Directive> directives;
  std::span<const Selection> selections;
  std::span<const FieldDefinition> fields;  // of objects and interfaces
  std::span<const InputValue> inputs;       // of input objects; a directive's arguments
  std::span<const EnumValue> values;
  std::span<const NamedType>
      types;                // implements; members of a union; a schema's operations; a directive's locations
  bool repeatable = false;  // a directive
  Location on_at{};         // of a fragment's type condition
  [[nodiscard]] bool executable() const { return kind <= DefinitionKind::fragment; }
};

class Document {
 public:
  Document() = default;
  std::span<const Definition> definitions;
  std::string_view text;

 private:
  friend Document parse(std::string_view, const Limits&);
  std::unique_ptr<std::pmr::monotonic_buffer_resource> arena_;
};

// Throws Error with the place; linear in the text. The document keeps a copy of the text.
Document parse(std::string_view text, const Limits& limits = {});

// Fields once all fragments are spread out, over all operations; throws Error on a fragment that spreads
// itself, directly or not, and past limits.spread. Linear in the document. Unknown fragments cost nothing
// here.
std::size_t spread_cost(const Document& document, const Limits& limits = {});

// The document in one canonical form, for tests and logs: parse(print(d)) prints the same.
std::string print(const Document& document);
std::string print(const Value& value);

}  // namespace heronwell::graphql
