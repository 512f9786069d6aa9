// "CollectFields" (specification, section 6.3.2): what a selection set asks of one object type, with @skip,
// @include, fragments and merging done.
#pragma once

#include <string_view>
#include <unordered_map>
#include <vector>

#include "graphql/document.hpp"
#include "graphql/schema.hpp"
#include "graphql/values.hpp"

namespace heronwell::graphql {

using Sets = std::vector<std::span<const Selection>>;

struct Field {
  std::string_view key;  // in the response
  const FieldDefinition* definition = nullptr;
  const Selection* first = nullptr;  // its arguments are those of all
  Sets below;                        // merged
};

class Collector {
 public:
  // All outlive it. The document is valid.
  Collector(const Schema& schema, const Document& document, const Variables& variables);

  [[nodiscard]] std::vector<Field> collect(const Sets& sets, const Type& type) const;
  [[nodiscard]] const Schema& schema() const { return schema_; }
  [[nodiscard]] const Variables& variables() const { return variables_; }
  [[nodiscard]] const Definition& fragment(std::string_view name) const { return *fragments_.at(name); }

 private:
  struct State;
  void add(std::span<const Selection> set, const Type& type, State& state) const;
  [[nodiscard]] bool left_out(const Selection& selection) const;

  const Schema& schema_;
  const Variables& variables_;
  std::unordered_map<std::string_view, const Definition*> fragments_;  // looked up only
};

// Answers __schema and __type by the schema; appends JSON. Throws TooLong past `most` bytes of `out`.
struct TooLong {};
void introspect(const Collector& collector, const Field& field, const Datum& arguments, std::size_t most,
                std::string& out);

}  // namespace heronwell::graphql
