// Introspection (specification, section 4): the schema as data, in the order of names.
#include <algorithm>
#include <array>
#include <utility>

#include "base/json.hpp"
#include "graphql/collect.hpp"

namespace heronwell::graphql {
namespace {

class Introspector {
 public:
  Introspector(const Collector& collector, std::size_t most, std::string& out)
      : collector_(collector), schema_(collector.schema()), most_(most), out_(out) {}

  void schema(const Sets& sets) {
    object("__Schema", sets, [this](const Field& f) {
      const auto& name = f.first->name;
      if (name == "description") return text_or_null(schema_.description());
      if (name == "queryType") return root(DefinitionKind::query, f.below);
      if (name == "mutationType") return root(DefinitionKind::mutation, f.below);
      if (name == "subscriptionType") return root(DefinitionKind::subscription, f.below);
      if (name == "types") {
        List list(*this);
        for (const auto& [type_name, type] : schema_.types())
          if (type_name != "__Root") list.next(), this->type(type, f.below);
        return;
      }
      List list(*this);
      for (const auto& [directive_name, directive] : schema_.directives())
        if (!schema_.hidden(*directive)) list.next(), this->directive(*directive, f.below);
    });
  }

  void type(const Type& t, const Sets& sets) {
    object("__Type", sets, [this, &t](const Field& f) {
      const auto& name = f.first->name;
      const bool with_fields = t.kind == TypeKind::object || t.kind == TypeKind::interface;
      if (name == "kind") return word(kind(t.kind));
      if (name == "name") return text(t.name);
      if (name == "description") return text_or_null(t.description);
      if (name == "fields" && with_fields)
        return list(t.fields, f,
                    [this](const FieldDefinition& one, const Sets& below) { field(one, below); });
      if (name == "inputFields" && t.kind == TypeKind::input)
        return list(t.inputs, f, [this](const InputValue& one, const Sets& below) { input(one, below); });
      if (name == "enumValues" && t.kind == TypeKind::enumeration)
        return list(t.values, f, [this](const EnumValue& one, const Sets& below) { value(one, below); });
      if (name == "interfaces" && with_fields) return types(t.interfaces, f.below);
      if (name == "possibleTypes" && (t.kind == TypeKind::interface || t.kind == TypeKind::union_type))
        return types(t.possible, f.below);
      if (name == "specifiedByURL")
        for (const auto* directive : t.directives)
          if (directive->name == "specifiedBy") return text(directive->arguments.front().value.text);
      null();
    });
  }

 private:
  // Opens a list, sets commas, closes it.
  struct List {
    explicit List(Introspector& owner) : of(owner) { of.out_ += "["; }
    ~List() { of.out_ += "]"; }
    List(const List&) = delete;
    List& operator=(const List&) = delete;
    void next() {
      of.out_ += std::exchange(between, ",");
      of.check();
    }
    Introspector& of;
    std::string_view between;
  };

  void check() const {
    if (out_.size() > most_) throw TooLong{};
  }
  void null() { out_ += "null"; }
  void text(std::string_view value) { put_json_text(out_, value); }
  void word(std::string_view value) { text(value); }
  void flag(bool value) { out_ += value ? "true" : "false"; }
  void text_or_null(std::string_view value) { value.empty() ? null() : text(value); }

  void object(std::string_view type_name, const Sets& sets, const auto& put) {
    check();
    out_ += "{";
    std::string_view between;
    for (const auto& f : collector_.collect(sets, *schema_.type(type_name))) {
      out_ += std::exchange(between, ",");
      text(f.key);
      out_ += ":";
      if (f.first->name == "__typename")
        text(type_name);
      else
        put(f);
    }
    out_ += "}";
  }
  void root(DefinitionKind operation, const Sets& sets) {
    const auto* one = schema_.root(operation);
    one == nullptr ? null() : type(*one, sets);
  }
  static std::string_view kind(TypeKind of) {
    constexpr std::array<std::string_view, 6> names{"SCALAR", "OBJECT", "INTERFACE",
                                                    "UNION",  "ENUM",   "INPUT_OBJECT"};
    return names[static_cast<std::size_t>(of)];
  }
  static const Directive* deprecated(std::span<const Directive> all) {
    const auto found = std::ranges::find(all, "deprecated", &Directive::name);
    return found == all.end() ? nullptr : &*found;
  }
  // Those not deprecated, or all if includeDeprecated.
  void list(const auto& all, const Field& f, const auto& put) {
    Misfit ignored;
    const auto arguments = coerce_arguments(schema_, f.definition->arguments, f.first->arguments,
                                            collector_.variables(), ignored);
    const auto* include = arguments ? arguments->field("includeDeprecated") : nullptr;
    const bool whole = include != nullptr && include->text == "true";
    List out(*this);
    for (const auto& item : all) {
      const auto& one = pointed(item);
      if (whole || deprecated(one.directives) == nullptr) out.next(), put(one, f.below);
    }
  }
  static const auto& pointed(const auto& item) {
    if constexpr (requires { *item; })
      return *item;
    else
      return item;
  }
  void types(const auto& names, const Sets& sets) {
    List out(*this);
    for (const auto name : names) out.next(), type(*schema_.type(name), sets);
  }
  bool deprecation(std::span<const Directive> all, std::string_view name) {
    const auto* found = deprecated(all);
    if (name == "isDeprecated") return flag(found != nullptr), true;
    if (name != "deprecationReason") return false;
    if (found == nullptr) return null(), true;
    if (found->arguments.empty())
      text(schema_.directive("deprecated")->inputs.front().fallback->text);
    else
      found->arguments.front().value.kind == ValueKind::null ? null()
                                                             : text(found->arguments.front().value.text);
    return true;
  }
  // A type as written: lists and ! are types of their own.
  void reference(const TypeRef& t, bool bare, const Sets& sets) {
    if (t.of == nullptr && (bare || !t.non_null)) return type(*schema_.type(t.name), sets);
    const bool non_null = t.non_null && !bare;
    object("__Type", sets, [&](const Field& f) {
      if (f.first->name == "kind") return word(non_null ? "NON_NULL" : "LIST");
      if (f.first->name != "ofType") return null();
      non_null ? reference(t, true, f.below) : reference(*t.of, false, f.below);
    });
  }
  void field(const FieldDefinition& d, const Sets& sets) {
    object("__Field", sets, [&](const Field& f) {
      const auto& name = f.first->name;
      if (name == "name") return text(d.name);
      if (name == "description") return text_or_null(d.description);
      if (name == "type") return reference(d.type, false, f.below);
      if (name == "args")
        return list(d.arguments, f, [this](const InputValue& one, const Sets& below) { input(one, below); });
      deprecation(d.directives, name);
    });
  }
  void input(const InputValue& d, const Sets& sets) {
    object("__InputValue", sets, [&](const Field& f) {
      const auto& name = f.first->name;
      if (name == "name") return text(d.name);
      if (name == "description") return text_or_null(d.description);
      if (name == "type") return reference(d.type, false, f.below);
      if (name == "defaultValue") return d.fallback == nullptr ? null() : text(print(*d.fallback));
      deprecation(d.directives, name);
    });
  }
  void value(const EnumValue& d, const Sets& sets) {
    object("__EnumValue", sets, [&](const Field& f) {
      const auto& name = f.first->name;
      if (name == "name") return text(d.name);
      if (name == "description") return text_or_null(d.description);
      deprecation(d.directives, name);
    });
  }
  void directive(const Definition& d, const Sets& sets) {
    object("__Directive", sets, [&](const Field& f) {
      const auto& name = f.first->name;
      if (name == "name") return text(d.name);
      if (name == "description") return text_or_null(d.description);
      if (name == "isRepeatable") return flag(d.repeatable);
      if (name == "args")
        return list(d.inputs, f, [this](const InputValue& one, const Sets& below) { input(one, below); });
      List locations(*this);
      for (const auto& one : d.types) locations.next(), word(one.name);
    });
  }

  const Collector& collector_;
  const Schema& schema_;
  std::size_t most_;
  std::string& out_;
};

}  // namespace

void introspect(const Collector& collector, const Field& field, const Datum& arguments, std::size_t most,
                std::string& out) {
  Introspector introspector(collector, most, out);
  if (field.first->name == "__schema") return introspector.schema(field.below);
  const auto* name = arguments.field("name");
  const auto* type =
      name == nullptr || name->text == "__Root" ? nullptr : collector.schema().type(name->text);
  if (type == nullptr)
    out += "null";
  else
    introspector.type(*type, field.below);
}

}  // namespace heronwell::graphql
