// Fields bound to SQL by directives of the schema. Arguments reach a statement as bound parameters and by no
// other way: what stands in the schema is sent as it stands, with :name turned into $1, $2 and so on.
//
//   @sql    on a field: its statement, class, data group and so on
//   @column on a field: the column it is read from, where that is not its name
//
// docs/operators/schema.md explains them to operators.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"
#include "graphql/schema.hpp"
#include "graphql/values.hpp"

namespace heronwell::graphql {

// The definitions of @sql and @column.
std::string_view binding_prelude();

struct Source {  // of a bound parameter
  enum class Kind { argument, parents, idempotency_key, tenant } kind = Kind::argument;
  std::vector<std::string> path;  // argument, then fields of input objects
};

struct TenantSource {
  enum class Kind { none, header, argument, name } kind = Kind::none;
  std::string name;               // of a header, in lower case; or of the tenant
  std::vector<std::string> path;  // argument
};

struct Binding {
  std::string statement;  // with $1, $2 ...
  std::vector<Source> parameters;
  std::uint16_t cls = 0;                // of the module's classes
  std::vector<std::string> group, key;  // argument paths; empty: none
  TenantSource tenant;
  std::optional<Time> cost, cost_per_parent;
  double memory_mb = 0;
  std::string parent, by;  // columns of the parent's rows and of this statement's; empty: not batched
  [[nodiscard]] bool batched() const { return !parent.empty(); }
};

struct ClassFacts {
  std::string name;
  bool safe = true, keyed = false;
  Time aim{};
};

// A schema with its bindings, checked whole. What is wrong is told by SchemaError, "LINE:COLUMN: what" a
// line.
class Bound {
 public:
  Bound(std::string_view sdl, std::vector<ClassFacts> classes);

  [[nodiscard]] const Schema& schema() const { return schema_; }
  [[nodiscard]] const Binding* binding(const FieldDefinition& field) const;
  [[nodiscard]] std::string_view column(const FieldDefinition& field) const;
  [[nodiscard]] const ClassFacts& cls(const Binding& binding) const { return classes_[binding.cls]; }
  [[nodiscard]] std::vector<std::string> headers() const;  // that tenants are read from
  [[nodiscard]] std::string summary() const;               // a line for each bound field, for people
  [[nodiscard]] std::size_t bindings() const { return bindings_.size(); }

 private:
  void bind(const Type& type, const FieldDefinition& field, bool root, bool mutation);
  void wrong(Location at, const std::string& what) { errors_.emplace_back(at, what); }
  // Whether the path names an argument; its type, or null with an error told.
  const TypeRef* argument(const FieldDefinition& field, const std::vector<std::string>& path, Location at);

  Schema schema_;
  std::vector<ClassFacts> classes_;
  std::map<const FieldDefinition*, Binding> bindings_;  // looked up only
  std::map<const FieldDefinition*, std::string_view> columns_;
  std::vector<std::pair<Location, std::string>> errors_;
};

// A statement's placeholders: :name and :name.field outside of texts, quoted names, comments and casts.
struct Template {
  std::string text;                             // with $1, $2 ...
  std::vector<std::vector<std::string>> names;  // of each parameter, by its path
  std::string wrong;                            // not empty: what
};
Template read_template(std::string_view sql);

// A value as the text of a bound parameter; none: NULL. Lists become array texts, objects JSON.
std::optional<std::string> parameter_text(const Datum& value);

}  // namespace heronwell::graphql
