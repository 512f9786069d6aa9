#include "graphql/schema.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <functional>
#include <utility>

#include "graphql/values.hpp"

namespace heronwell::graphql {
namespace {

// What every schema has: scalars, directives and the types of introspection (specification,
// sections 3.5, 3.13, 4).
constexpr std::string_view kBuiltIn = R"(
scalar Int scalar Float scalar String scalar Boolean scalar ID
directive @skip(if: Boolean!) on FIELD | FRAGMENT_SPREAD | INLINE_FRAGMENT
directive @include(if: Boolean!) on FIELD | FRAGMENT_SPREAD | INLINE_FRAGMENT
directive @deprecated(reason: String = "No longer supported") on FIELD_DEFINITION | ARGUMENT_DEFINITION | INPUT_FIELD_DEFINITION | ENUM_VALUE
directive @specifiedBy(url: String!) on SCALAR
type __Schema { description: String types: [__Type!]! queryType: __Type! mutationType: __Type subscriptionType: __Type directives: [__Directive!]! }
type __Type { kind: __TypeKind! name: String description: String fields(includeDeprecated: Boolean = false): [__Field!]
  interfaces: [__Type!] possibleTypes: [__Type!] enumValues(includeDeprecated: Boolean = false): [__EnumValue!]
  inputFields(includeDeprecated: Boolean = false): [__InputValue!] ofType: __Type specifiedByURL: String }
enum __TypeKind { SCALAR OBJECT INTERFACE UNION ENUM INPUT_OBJECT LIST NON_NULL }
type __Field { name: String! description: String args(includeDeprecated: Boolean = false): [__InputValue!]! type: __Type!
  isDeprecated: Boolean! deprecationReason: String }
type __InputValue { name: String! description: String type: __Type! defaultValue: String isDeprecated: Boolean! deprecationReason: String }
type __EnumValue { name: String! description: String isDeprecated: Boolean! deprecationReason: String }
type __Directive { name: String! description: String locations: [__DirectiveLocation!]! args(includeDeprecated: Boolean = false): [__InputValue!]! isRepeatable: Boolean! }
enum __DirectiveLocation { QUERY MUTATION SUBSCRIPTION FIELD FRAGMENT_DEFINITION FRAGMENT_SPREAD INLINE_FRAGMENT VARIABLE_DEFINITION
  SCHEMA SCALAR OBJECT FIELD_DEFINITION ARGUMENT_DEFINITION INTERFACE UNION ENUM ENUM_VALUE INPUT_OBJECT INPUT_FIELD_DEFINITION }
type __Root { __schema: __Schema! __type(name: String!): __Type __typename: String! }
)";

const auto by_name = [](std::string_view name) {
  return [name](const auto* one) { return one->name == name; };
};

template <class T>
const T* find_named(const std::vector<const T*>& all, std::string_view name) {
  const auto found = std::ranges::find_if(all, by_name(name));
  return found == all.end() ? nullptr : *found;
}

TypeKind kind_of(DefinitionKind kind) {
  switch (kind) {
    case DefinitionKind::object:
      return TypeKind::object;
    case DefinitionKind::interface:
      return TypeKind::interface;
    case DefinitionKind::union_type:
      return TypeKind::union_type;
    case DefinitionKind::enumeration:
      return TypeKind::enumeration;
    case DefinitionKind::input:
      return TypeKind::input;
    default:
      return TypeKind::scalar;
  }
}

}  // namespace

const FieldDefinition* Type::field(std::string_view field_name) const {
  return find_named(fields, field_name);
}
const InputValue* Type::input(std::string_view input_name) const { return find_named(inputs, input_name); }
bool Type::value(std::string_view value_name) const { return find_named(values, value_name) != nullptr; }

bool same(const TypeRef& a, const TypeRef& b) {
  return a.name == b.name && a.non_null == b.non_null && (a.of == nullptr) == (b.of == nullptr) &&
         (a.of == nullptr || same(*a.of, *b.of));
}
std::string text_of(const TypeRef& type) {
  const auto* mark = type.non_null ? "!" : "";
  return type.of != nullptr ? fmt::format("[{}]{}", text_of(*type.of), mark)
                            : fmt::format("{}{}", type.name, mark);
}
std::string_view named(const TypeRef& type) { return type.of != nullptr ? named(*type.of) : type.name; }

Schema::Schema(std::string_view sdl, std::string_view prelude) {
  built_in_ = std::make_unique<Document>(parse(kBuiltIn));
  if (!prelude.empty()) prelude_ = std::make_unique<Document>(parse(prelude));
  Limits limits;
  limits.bytes = 16 << 20;  // the operator's own text
  limits.tokens = limits.fields = limits.directives = 1'000'000;
  try {
    document_ = std::make_unique<Document>(parse(sdl, limits));
  } catch (const Error& error) {
    throw SchemaError(fmt::format("{}:{}: {}", error.place.line, error.place.column, error.what()));
  }
  add(*built_in_, true);
  if (prelude_) add(*prelude_, true);
  roots_ = {{DefinitionKind::query, "Query"},
            {DefinitionKind::mutation, "Mutation"},
            {DefinitionKind::subscription, "Subscription"}};
  add(*document_, false);
  check();
  if (errors_.empty()) check_uses();  // which rests on what was checked before
  if (errors_.empty()) return;
  std::ranges::stable_sort(errors_, {}, [](const auto& one) { return one.first.offset; });
  std::string all;
  for (const auto& [at, what] : errors_) {
    const auto place = place_of(document_->text, at);
    all += fmt::format("{}{}:{}: {}", all.empty() ? "" : "\n", place.line, place.column, what);
  }
  throw SchemaError(all);
}

void Schema::wrong(Location at, const std::string& what) { errors_.emplace_back(at, what); }

const Type* Schema::type(std::string_view name) const {
  const auto found = types_.find(name);
  return found == types_.end() ? nullptr : &found->second;
}
const Definition* Schema::directive(std::string_view name) const {
  const auto found = directives_.find(name);
  return found == directives_.end() ? nullptr : found->second;
}
const Type* Schema::root(DefinitionKind operation) const {
  const auto found = roots_.find(operation);
  return found == roots_.end() ? nullptr : type(found->second);
}
const FieldDefinition* Schema::field(const Type& parent, std::string_view name) const {
  if (const auto* own = parent.field(name)) return own;
  if (!parent.composite() || !name.starts_with("__")) return nullptr;
  if (name != "__typename" && &parent != root(DefinitionKind::query)) return nullptr;
  return types_.at("__Root").field(name);
}

void Schema::merge(Type& type, const Definition& d) {
  for (const auto& one : d.fields) {
    if (type.field(one.name) != nullptr)
      wrong(one.at, fmt::format("field \"{}.{}\" is defined twice", type.name, one.name));
    type.fields.push_back(&one);
  }
  for (const auto& one : d.inputs) {
    if (type.input(one.name) != nullptr)
      wrong(one.at, fmt::format("field \"{}.{}\" is defined twice", type.name, one.name));
    type.inputs.push_back(&one);
  }
  for (const auto& one : d.values) {
    if (type.value(one.name))
      wrong(one.at, fmt::format("value \"{}.{}\" is defined twice", type.name, one.name));
    if (one.name == "true" || one.name == "false" || one.name == "null")
      wrong(one.at, fmt::format("\"{}\" can't be a value of an enum", one.name));
    type.values.push_back(&one);
  }
  for (const auto& one : d.directives) type.directives.push_back(&one);
  for (const auto& one : d.types) {
    if (type.kind == TypeKind::union_type)
      type.possible.insert(one.name);
    else
      type.interfaces.push_back(one.name);
  }
}

void Schema::add(const Document& document, bool built_in) {
  bool schema = false;
  for (const auto& d : document.definitions) {
    if (d.executable()) {
      wrong(d.at, "an operation or fragment in a schema");
    } else if (d.kind == DefinitionKind::schema) {
      if (!d.extends && std::exchange(schema, true)) wrong(d.at, "a second schema definition");
      if (!d.extends) description_ = d.description;
      if (!d.extends) roots_.clear();
      for (const auto& one : d.types)
        roots_[one.operation == "query"      ? DefinitionKind::query
               : one.operation == "mutation" ? DefinitionKind::mutation
                                             : DefinitionKind::subscription] = one.name;
    } else if (d.kind == DefinitionKind::directive) {
      if (!directives_.emplace(d.name, &d).second)
        wrong(d.at, fmt::format("directive \"@{}\" is defined twice", d.name));
    } else if (!d.extends) {
      if (!built_in && d.name.starts_with("__"))
        wrong(d.at, fmt::format("\"{}\": names with __ are introspection's", d.name));
      const auto [at, fresh] = types_.try_emplace(d.name);
      if (!fresh) {
        wrong(d.at, fmt::format("type \"{}\" is defined twice", d.name));
        continue;
      }
      auto& type = at->second;
      type.name = d.name;
      type.description = d.description;
      type.kind = kind_of(d.kind);
      type.at = d.at;
      type.built_in = built_in;
      merge(type, d);
    }
  }
  for (const auto& d : document.definitions) {
    if (!d.extends || d.kind == DefinitionKind::schema) continue;
    const auto found = types_.find(d.name);
    if (found == types_.end() || found->second.kind != kind_of(d.kind))
      wrong(d.at, fmt::format("extends \"{}\", which is no such type", d.name));
    else
      merge(found->second, d);
  }
}

void Schema::check() {
  for (auto& [name, type] : types_) {
    if (type.kind == TypeKind::object) type.possible.insert(name);
    for (const auto interface : type.interfaces)
      if (const auto found = types_.find(interface); found != types_.end() && type.kind == TypeKind::object)
        found->second.possible.insert(name);
  }
  if (root(DefinitionKind::query) == nullptr) wrong({0}, "no query type");
  for (const auto& [operation, name] : roots_)
    if (const auto* one = type(name); one != nullptr && one->kind != TypeKind::object)
      wrong(one->at, fmt::format("\"{}\" is an operation's root and no object type", name));
  for (const auto& [name, type] : types_) {
    if (type.built_in) continue;
    check_fields(type);
    check_interfaces(type);
    if (type.kind == TypeKind::union_type)
      for (const auto member : type.possible)
        if (const auto* one = this->type(member); one == nullptr || one->kind != TypeKind::object)
          wrong(type.at, fmt::format(R"(member "{}" of "{}" is no object type)", member, name));
    const bool empty = type.composite() && type.kind != TypeKind::union_type ? type.fields.empty()
                       : type.kind == TypeKind::union_type                   ? type.possible.empty()
                       : type.kind == TypeKind::enumeration                  ? type.values.empty()
                       : type.kind == TypeKind::input                        ? type.inputs.empty()
                                                                             : false;
    if (empty) wrong(type.at, fmt::format("\"{}\" has nothing in it", name));
  }
}

void Schema::check_fields(const Type& type) {
  const auto check_input = [this](const InputValue& input) {
    const auto* of = this->type(named(input.type));
    if (of == nullptr)
      wrong(input.type.at, fmt::format("unknown type \"{}\"", named(input.type)));
    else if (!of->for_input())
      wrong(input.type.at, fmt::format("\"{}\" is no type for input", of->name));
  };
  for (const auto* input : type.inputs) check_input(*input);
  for (const auto* field : type.fields) {
    if (field->name.starts_with("__"))
      wrong(field->at, fmt::format("\"{}\": names with __ are introspection's", field->name));
    const auto* of = this->type(named(field->type));
    if (of == nullptr)
      wrong(field->type.at, fmt::format("unknown type \"{}\"", named(field->type)));
    else if (of->kind == TypeKind::input)
      wrong(field->type.at, fmt::format("\"{}\" is no type for output", of->name));
    for (std::size_t i = 0; i < field->arguments.size(); ++i) {
      check_input(field->arguments[i]);
      for (std::size_t j = 0; j < i; ++j)
        if (field->arguments[i].name == field->arguments[j].name)
          wrong(field->arguments[i].at,
                fmt::format("argument \"{}\" is defined twice", field->arguments[i].name));
    }
  }
}

bool Schema::covariant(const TypeRef& mine, const TypeRef& theirs) const {
  if (theirs.non_null && !mine.non_null) return false;
  if (theirs.of != nullptr) return mine.of != nullptr && covariant(*mine.of, *theirs.of);
  if (mine.of != nullptr) return false;
  if (mine.name == theirs.name) return true;
  const auto* one = type(mine.name);
  const auto* other = type(theirs.name);
  return one != nullptr && other != nullptr &&
         (other->possible.contains(mine.name) || std::ranges::count(one->interfaces, theirs.name) > 0);
}

// "IsValidImplementation" of the specification, section 3.6.
void Schema::check_interfaces(const Type& type) {
  for (const auto name : type.interfaces) {
    const auto* interface = this->type(name);
    if (interface == nullptr || interface->kind != TypeKind::interface || interface == &type) {
      wrong(type.at, fmt::format(R"("{}" implements "{}", which is no other interface)", type.name, name));
      continue;
    }
    for (const auto above : interface->interfaces)
      if (std::ranges::count(type.interfaces, above) == 0)
        wrong(type.at, fmt::format(R"("{}" implements "{}" but not "{}" above it)", type.name, name, above));
    for (const auto* wanted : interface->fields) {
      const auto* mine = type.field(wanted->name);
      if (mine == nullptr) {
        wrong(type.at,
              fmt::format(R"("{}" lacks field "{}" of interface "{}")", type.name, wanted->name, name));
        continue;
      }
      if (!covariant(mine->type, wanted->type))
        wrong(mine->at, fmt::format(R"("{}.{}" is {}, where interface "{}" has {})", type.name, mine->name,
                                    text_of(mine->type), name, text_of(wanted->type)));
      for (const auto& argument : wanted->arguments) {
        const auto own = std::ranges::find(mine->arguments, argument.name, &InputValue::name);
        if (own == mine->arguments.end() || !same(own->type, argument.type))
          wrong(mine->at, fmt::format(R"("{}.{}" lacks argument "{}: {}" of interface "{}")", type.name,
                                      mine->name, argument.name, text_of(argument.type), name));
      }
      for (const auto& argument : mine->arguments) {
        const auto known = std::ranges::find(wanted->arguments, argument.name, &InputValue::name);
        if (known == wanted->arguments.end() && argument.type.non_null && argument.fallback == nullptr)
          wrong(argument.at,
                fmt::format(R"(argument "{}" is required, but not of interface "{}")", argument.name, name));
      }
    }
  }
}

bool Schema::hidden(const Definition& directive) const {
  return prelude_ &&
         std::ranges::any_of(prelude_->definitions, [&](const Definition& d) { return &d == &directive; });
}

// ---- directives where they are used, defaults, input types that need themselves ------------------------
void Schema::check_uses() {
  const auto inputs = [this](const auto& all, std::string_view where) {
    for (const auto& one : all) {
      check_default(one);
      check_directives(one.directives, where);
    }
  };
  for (const auto& d : document_->definitions) {
    static constexpr std::array<std::string_view, 8> kPlaces{"SCHEMA", "SCALAR", "OBJECT",       "INTERFACE",
                                                             "UNION",  "ENUM",   "INPUT_OBJECT", ""};
    const auto kind = static_cast<std::size_t>(d.kind) - static_cast<std::size_t>(DefinitionKind::schema);
    check_directives(d.directives, kPlaces[kind]);
    for (const auto& field : d.fields) {
      check_directives(field.directives, "FIELD_DEFINITION");
      inputs(field.arguments, "ARGUMENT_DEFINITION");
    }
    inputs(d.inputs, d.kind == DefinitionKind::directive ? "ARGUMENT_DEFINITION" : "INPUT_FIELD_DEFINITION");
    for (const auto& value : d.values) check_directives(value.directives, "ENUM_VALUE");
  }
  check_cycles();
}

void Schema::check_directives(std::span<const Directive> uses, std::string_view where) {
  for (std::size_t i = 0; i < uses.size(); ++i) {
    const auto& use = uses[i];
    const auto* definition = directive(use.name);
    if (definition == nullptr) {
      wrong(use.at, fmt::format("unknown directive \"@{}\"", use.name));
      continue;
    }
    if (std::ranges::count(definition->types, where, &NamedType::name) == 0)
      wrong(use.at, fmt::format("\"@{}\" can't stand at {}", use.name, where));
    if (!definition->repeatable && std::ranges::count(uses.first(i), use.name, &Directive::name) > 0)
      wrong(use.at, fmt::format("\"@{}\" stands twice", use.name));
    for (const auto& argument : use.arguments) {
      const auto known = std::ranges::find(definition->inputs, argument.name, &InputValue::name);
      if (known == definition->inputs.end())
        wrong(argument.at, fmt::format(R"("@{}" has no argument "{}")", use.name, argument.name));
      else if (const auto misfit = literal_misfit(*this, argument.value, known->type))
        wrong(argument.value.at,
              fmt::format(R"("{}" of "@{}": {})", argument.name, use.name, misfit->message));
    }
    for (const auto& input : definition->inputs)
      if (input.type.non_null && input.fallback == nullptr &&
          std::ranges::count(use.arguments, input.name, &Argument::name) == 0)
        wrong(use.at, fmt::format(R"("@{}" needs argument "{}")", use.name, input.name));
  }
}

void Schema::check_default(const InputValue& input) {
  if (input.fallback == nullptr) return;
  if (const auto misfit = literal_misfit(*this, *input.fallback, input.type))
    wrong(input.fallback->at, fmt::format("default of \"{}\": {}", input.name, misfit->message));
}

// "An input object must not need itself": by fields that are non-null and no list.
void Schema::check_cycles() {
  std::set<std::string_view> done;
  std::vector<std::string_view> way;
  const std::function<void(const Type&)> visit = [&](const Type& type) {
    if (done.contains(type.name)) return;
    if (std::ranges::count(way, type.name) > 0)
      return wrong(type.at, fmt::format("\"{}\" needs itself: no value of it can be written", type.name));
    way.push_back(type.name);
    for (const auto* input : type.inputs)
      if (input->type.non_null && input->type.of == nullptr)
        if (const auto* next = this->type(input->type.name); next != nullptr && next->kind == TypeKind::input)
          visit(*next);
    way.pop_back();
    done.insert(type.name);
  };
  for (const auto& [name, type] : types_)
    if (type.kind == TypeKind::input) visit(type);
}

}  // namespace heronwell::graphql
