// A schema read from its definition language (specification, section 3), checked whole: each error has its
// place. Types, fields and arguments are those of the documents it was read from, which it owns.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "graphql/document.hpp"

namespace heronwell::graphql {

enum class TypeKind { scalar, object, interface, union_type, enumeration, input };

struct Type {
  std::string_view name, description;
  TypeKind kind = TypeKind::scalar;
  Location at;
  bool built_in = false;
  std::vector<const FieldDefinition*> fields;  // in order, extensions last
  std::vector<const InputValue*> inputs;
  std::vector<const EnumValue*> values;
  std::vector<std::string_view> interfaces;  // that it implements
  std::set<std::string_view> possible;       // object types that it may be: itself, members, implementers
  std::vector<const Directive*> directives;

  [[nodiscard]] const FieldDefinition* field(std::string_view field_name) const;
  [[nodiscard]] const InputValue* input(std::string_view input_name) const;
  [[nodiscard]] bool value(std::string_view value_name) const;
  [[nodiscard]] bool composite() const {
    return kind == TypeKind::object || kind == TypeKind::interface || kind == TypeKind::union_type;
  }
  [[nodiscard]] bool for_input() const {
    return kind == TypeKind::scalar || kind == TypeKind::enumeration || kind == TypeKind::input;
  }
};

// "LINE:COLUMN: what", one a line of what().
struct SchemaError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Schema {
 public:
  // Throws SchemaError with all that is wrong, in the order of the text. `prelude`: definitions that stand
  // before it, which introspection does not show.
  explicit Schema(std::string_view sdl, std::string_view prelude = {});
  ~Schema() = default;
  Schema(const Schema&) = delete;
  Schema& operator=(const Schema&) = delete;
  Schema(Schema&&) = default;
  Schema& operator=(Schema&&) = delete;

  [[nodiscard]] const Type* type(std::string_view name) const;
  [[nodiscard]] const Definition* directive(std::string_view name) const;
  [[nodiscard]] const Type* root(DefinitionKind operation) const;  // null: none
  // Of a composite type; __schema and __type on the query's root, __typename everywhere. Null: none.
  [[nodiscard]] const FieldDefinition* field(const Type& parent, std::string_view name) const;
  [[nodiscard]] const std::map<std::string_view, Type>& types() const { return types_; }
  [[nodiscard]] const std::map<std::string_view, const Definition*>& directives() const {
    return directives_;
  }
  [[nodiscard]] bool hidden(const Definition& directive) const;  // of the prelude
  [[nodiscard]] std::string_view description() const { return description_; }
  [[nodiscard]] std::string_view text() const { return document_->text; }  // that locations refer to

 private:
  void add(const Document& document, bool built_in);
  void merge(Type& type, const Definition& definition);
  void check();
  void check_fields(const Type& type);
  void check_interfaces(const Type& type);
  void check_uses();
  void check_directives(std::span<const Directive> uses, std::string_view where);
  void check_default(const InputValue& input);
  void check_cycles();
  [[nodiscard]] bool covariant(const TypeRef& mine, const TypeRef& theirs) const;
  void wrong(Location at, const std::string& what);

  std::unique_ptr<Document> built_in_, prelude_, document_;
  std::string_view description_;
  std::map<std::string_view, Type> types_;
  std::map<std::string_view, const Definition*> directives_;
  std::map<DefinitionKind, std::string_view> roots_;
  std::vector<std::pair<Location, std::string>> errors_;
};

bool same(const TypeRef& a, const TypeRef& b);
std::string text_of(const TypeRef& type);
std::string_view named(const TypeRef& type);  // without lists and !

}  // namespace heronwell::graphql
