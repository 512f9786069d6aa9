#include "graphql/validate.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <set>
#include <unordered_map>

namespace heronwell::graphql {
namespace {

using Fragments = std::unordered_map<std::string_view, const Definition*>;

std::string_view location_of(DefinitionKind kind) {
  switch (kind) {
    case DefinitionKind::mutation:
      return "MUTATION";
    case DefinitionKind::subscription:
      return "SUBSCRIPTION";
    case DefinitionKind::fragment:
      return "FRAGMENT_DEFINITION";
    default:
      return "QUERY";
  }
}

bool same_value(const Value& a, const Value& b) {
  if (a.kind != b.kind || a.text != b.text) return false;
  return std::ranges::equal(a.items, b.items, same_value) && a.fields.size() == b.fields.size() &&
         std::ranges::all_of(a.fields, [&](const ObjectField& field) {
           const auto other = std::ranges::find(b.fields, field.name, &ObjectField::name);
           return other != b.fields.end() && same_value(field.value, other->value);
         });
}
bool same_arguments(std::span<const Argument> a, std::span<const Argument> b) {
  return a.size() == b.size() && std::ranges::all_of(a, [&](const Argument& one) {
           const auto other = std::ranges::find(b, one.name, &Argument::name);
           return other != b.end() && same_value(one.value, other->value);
         });
}

Location place_of_name(const TypeRef& type) { return type.of != nullptr ? place_of_name(*type.of) : type.at; }

class Validator {
 public:
  Validator(const Schema& schema, const Document& document, const Limits& limits)
      : schema_(schema), document_(document), limits_(limits) {}

  std::vector<Violation> run() {
    for (const auto& d : document_.definitions) {
      if (!d.executable())
        wrong("5.1.1 Executable Definitions", fmt::format("\"{}\" is no operation or fragment", d.name),
              {d.at});
      else if (d.kind == DefinitionKind::fragment && !fragments_.emplace(d.name, &d).second)
        wrong("5.5.1.1 Fragment Name Uniqueness", fmt::format("fragment \"{}\" is defined twice", d.name),
              {fragments_[d.name]->at, d.at});
    }
    operations();
    for (const auto& d : document_.definitions) {
      if (!d.executable()) continue;
      variables_ = nullptr;
      const auto* parent = d.kind == DefinitionKind::fragment ? schema_.type(d.on) : schema_.root(d.kind);
      if (d.kind == DefinitionKind::fragment)
        condition(d.on, d.on_at);
      else if (parent == nullptr)
        wrong("5.2 Operations", fmt::format("the schema has no {} type", lower(location_of(d.kind))), {d.at});
      directives(d.directives, location_of(d.kind));
      selections(d.selections, parent);
    }
    used_fragments();
    if (!cyclic()) {
      (void)spread_cost(document_, limits_);  // throws where merging would cost too much
      for (const auto& d : document_.definitions)
        if (d.executable() && d.kind != DefinitionKind::fragment) {
          variable_rules(d);
          merge(d);
          if (d.kind == DefinitionKind::subscription) single_root(d);
        }
    }
    return std::move(violations_);
  }

 private:
  void wrong(const char* rule, const std::string& message, std::initializer_list<Location> at) {
    Violation violation{rule, message, {}};
    for (const auto one : at) violation.places.push_back(place_of(document_.text, one));
    violations_.push_back(std::move(violation));
  }
  static std::string lower(std::string_view text) {
    std::string out(text);
    for (auto& c : out) c = c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
    return out;
  }

  void operations() {
    std::map<std::string_view, Location> names;
    std::size_t count = 0;
    for (const auto& d : document_.definitions)
      count += d.executable() && d.kind != DefinitionKind::fragment ? 1 : 0;
    for (const auto& d : document_.definitions) {
      if (!d.executable() || d.kind == DefinitionKind::fragment) continue;
      if (d.name.empty() && count > 1)
        wrong("5.2.2.1 Lone Anonymous Operation", "an anonymous operation beside others", {d.at});
      if (d.name.empty()) continue;
      const auto [at, fresh] = names.emplace(d.name, d.at);
      if (!fresh)
        wrong("5.2.1.1 Operation Name Uniqueness", fmt::format("operation \"{}\" is defined twice", d.name),
              {at->second, d.at});
    }
  }

  void condition(std::string_view on, Location at) {
    const auto* type = schema_.type(on);
    if (type == nullptr)
      wrong("5.5.1.2 Fragment Spread Type Existence", fmt::format("unknown type \"{}\"", on), {at});
    else if (!type->composite())
      wrong("5.5.1.3 Fragments on Composite Types", fmt::format("\"{}\" has no fields", on), {at});
  }

  void selections(std::span<const Selection> all, const Type* parent) {
    for (const auto& s : all) {
      if (s.kind == SelectionKind::field) {
        field(s, parent);
      } else if (s.kind == SelectionKind::spread) {
        directives(s.directives, "FRAGMENT_SPREAD");
        const auto found = fragments_.find(s.name);
        if (found == fragments_.end())
          wrong("5.5.2.1 Fragment Spread Target Defined", fmt::format("unknown fragment \"{}\"", s.name),
                {s.on_at});
        else
          possible(parent, schema_.type(found->second->on), s);
      } else {
        directives(s.directives, "INLINE_FRAGMENT");
        if (!s.on.empty()) condition(s.on, s.on_at);
        const auto* type = s.on.empty() ? parent : schema_.type(s.on);
        if (!s.on.empty()) possible(parent, type, s);
        selections(s.selections, type);
      }
    }
  }

  void possible(const Type* parent, const Type* type, const Selection& s) {
    if (parent == nullptr || type == nullptr || !parent->composite() || !type->composite()) return;
    const bool meet = std::ranges::any_of(parent->possible,
                                          [type](const auto name) { return type->possible.contains(name); });
    if (!meet)
      wrong("5.5.2.3 Fragment Spread Is Possible",
            fmt::format(R"("{}" can never be "{}")", parent->name, type->name), {s.at});
  }

  void field(const Selection& s, const Type* parent) {
    directives(s.directives, "FIELD");
    const auto* definition =
        parent != nullptr && parent->composite() ? schema_.field(*parent, s.name) : nullptr;
    if (parent != nullptr && parent->composite() && definition == nullptr)
      wrong("5.3.1 Field Selections", fmt::format(R"("{}" has no field "{}")", parent->name, s.name), {s.at});
    arguments(s.arguments, definition == nullptr ? nullptr : &definition->arguments, s.at, s.name);
    const auto* type = definition == nullptr ? nullptr : schema_.type(named(definition->type));
    if (type != nullptr && type->composite() && s.selections.empty())
      wrong("5.3.3 Leaf Field Selections",
            fmt::format("\"{}\" is a {}; name its fields", s.name, text_of(definition->type)), {s.at});
    if (type != nullptr && !type->composite() && !s.selections.empty())
      wrong("5.3.3 Leaf Field Selections",
            fmt::format("\"{}\" is a {} and has no fields", s.name, text_of(definition->type)), {s.at});
    selections(s.selections, type);
  }

  void arguments(std::span<const Argument> given, const std::span<const InputValue>* known, Location at,
                 std::string_view of) {
    std::set<std::string_view> names;
    for (const auto& a : given) {
      if (!names.insert(a.name).second)
        wrong("5.4.2 Argument Uniqueness", fmt::format("argument \"{}\" is given twice", a.name), {a.at});
      if (known == nullptr) continue;
      const auto definition = std::ranges::find(*known, a.name, &InputValue::name);
      if (definition == known->end()) {
        wrong("5.4.1 Argument Names", fmt::format(R"("{}" has no argument "{}")", of, a.name), {a.at});
        inner_variables(a.value);
      } else
        value(a.value, definition->type, definition->fallback != nullptr);
    }
    if (known == nullptr) return;
    for (const auto& definition : *known)
      if (definition.type.non_null && definition.fallback == nullptr && !names.contains(definition.name))
        wrong("5.4.2.1 Required Arguments",
              fmt::format(R"("{}" needs argument "{}: {}")", of, definition.name, text_of(definition.type)),
              {at});
  }

  void directives(std::span<const Directive> all, std::string_view where) {
    std::map<std::string_view, Location> seen;
    for (const auto& d : all) {
      const auto* definition = schema_.directive(d.name);
      arguments(d.arguments, definition == nullptr ? nullptr : &definition->inputs, d.at, d.name);
      if (definition == nullptr) {
        wrong("5.7.1 Directives Are Defined", fmt::format("unknown directive \"@{}\"", d.name), {d.at});
        continue;
      }
      if (std::ranges::count(definition->types, where, &NamedType::name) == 0)
        wrong("5.7.2 Directives Are in Valid Locations",
              fmt::format("\"@{}\" can't stand at {}", d.name, where), {d.at});
      const auto [at, fresh] = seen.emplace(d.name, d.at);
      if (!fresh && !definition->repeatable)
        wrong("5.7.3 Directives Are Unique per Location", fmt::format("\"@{}\" stands twice", d.name),
              {at->second, d.at});
    }
  }

  // ---- values ------------------------------------------------------------------------------------------
  void value(const Value& v, const TypeRef& type, bool has_fallback) {
    if (v.kind == ValueKind::variable) return uses(v, type, has_fallback);
    const auto misfit = [&] {
      wrong("5.6.1 Values of Correct Type", fmt::format("expected {}, not {}", text_of(type), shown(v)),
            {v.at});
    };
    if (v.kind == ValueKind::null) return type.non_null ? misfit() : void();
    if (type.of != nullptr) {
      if (v.kind != ValueKind::list) return value(v, *type.of, false);  // a list of one
      for (const auto& item : v.items) value(item, *type.of, false);
      return;
    }
    const auto* of = schema_.type(type.name);
    if (of == nullptr) return;
    if (of->kind == TypeKind::input) return v.kind == ValueKind::object ? object(v, *of) : misfit();
    if (of->kind == TypeKind::enumeration)
      return v.kind != ValueKind::enumeration || !of->value(v.text) ? misfit() : void();
    if (!scalar(v, type.name)) misfit();
    if (v.kind == ValueKind::list)
      for (const auto& item : v.items) inner_variables(item);
    if (v.kind == ValueKind::object)
      for (const auto& f : v.fields) inner_variables(f.value);
  }
  // Within a value of a custom scalar any variable may stand.
  void inner_variables(const Value& v) {
    if (v.kind == ValueKind::variable) {
      used_.insert_or_assign(v.text, v.at);
      if (variables_ != nullptr && !variables_->contains(v.text))
        wrong("5.8.3 All Variable Uses Defined", fmt::format("variable \"${}\" is not defined", v.text),
              {v.at});
    }
    for (const auto& item : v.items) inner_variables(item);
    for (const auto& f : v.fields) inner_variables(f.value);
  }
  static std::string shown(const Value& v) {
    constexpr std::array<const char*, 9> kinds{"a variable", "", "",       "a string", "",
                                               "null",       "", "a list", "an object"};
    const std::string kind = kinds[static_cast<std::size_t>(v.kind)];
    return kind.empty() ? std::string(v.text.substr(0, 40)) : kind;
  }
  static bool scalar(const Value& v, std::string_view name) {
    if (name == "Int") {
      std::int32_t number = 0;
      const auto [end, error] = std::from_chars(v.text.data(), v.text.data() + v.text.size(), number);
      return v.kind == ValueKind::integer && error == std::errc{} && end == v.text.data() + v.text.size();
    }
    if (name == "Float") return v.kind == ValueKind::integer || v.kind == ValueKind::floating;
    if (name == "String") return v.kind == ValueKind::string;
    if (name == "Boolean") return v.kind == ValueKind::boolean;
    if (name == "ID") return v.kind == ValueKind::string || v.kind == ValueKind::integer;
    return true;  // a custom scalar judges by itself
  }
  void object(const Value& v, const Type& type) {
    std::set<std::string_view> names;
    for (const auto& f : v.fields) {
      if (!names.insert(f.name).second)
        wrong("5.6.3 Input Object Field Uniqueness", fmt::format("field \"{}\" is given twice", f.name),
              {f.at});
      const auto* definition = type.input(f.name);
      if (definition == nullptr)
        wrong("5.6.2 Input Object Field Names", fmt::format(R"("{}" has no field "{}")", type.name, f.name),
              {f.at});
      else
        value(f.value, definition->type, definition->fallback != nullptr);
    }
    for (const auto* definition : type.inputs)
      if (definition->type.non_null && definition->fallback == nullptr && !names.contains(definition->name))
        wrong("5.6.4 Input Object Required Fields",
              fmt::format(R"("{}" needs field "{}: {}")", type.name, definition->name,
                          text_of(definition->type)),
              {v.at});
  }

  // ---- variables: of an operation with all fragments that it spreads
  void variable_rules(const Definition& operation) {
    std::map<std::string_view, const VariableDefinition*> known;
    for (const auto& v : operation.variables) {
      if (!known.emplace(v.name, &v).second)
        wrong("5.8.1 Variable Uniqueness", fmt::format("variable \"${}\" is defined twice", v.name), {v.at});
      directives(v.directives, "VARIABLE_DEFINITION");
      const auto* type = schema_.type(named(v.type));
      if (type == nullptr || !type->for_input())
        wrong("5.8.2 Variables Are Input Types",
              fmt::format(R"("${}" is of "{}", which is no type for input)", v.name, named(v.type)),
              {place_of_name(v.type)});
      else if (v.fallback != nullptr)
        value(*v.fallback, v.type, false);
    }
    variables_ = &known;
    used_.clear();
    // The same walk again, now with the operation's variables at hand; other findings were told before.
    const auto before = violations_.size();
    std::vector<Violation> kept;
    std::set<std::string_view> visited;
    walk(operation.selections, schema_.root(operation.kind), visited);
    for (const auto& d : operation.directives) walk_arguments(d.arguments, schema_.directive(d.name));
    for (auto i = before; i < violations_.size(); ++i)
      if (violations_[i].rule.starts_with("5.8")) kept.push_back(violations_[i]);
    violations_.resize(before);
    violations_.insert(violations_.end(), kept.begin(), kept.end());
    for (const auto& v : operation.variables)
      if (!used_.contains(v.name))
        wrong("5.8.4 All Variables Used", fmt::format("variable \"${}\" is never used", v.name), {v.at});
    variables_ = nullptr;
  }
  void walk(std::span<const Selection> all, const Type* parent, std::set<std::string_view>& visited) {
    for (const auto& s : all) {
      for (const auto& d : s.directives) walk_arguments(d.arguments, schema_.directive(d.name));
      if (s.kind == SelectionKind::field) {
        const auto* definition =
            parent != nullptr && parent->composite() ? schema_.field(*parent, s.name) : nullptr;
        if (definition != nullptr)
          arguments(s.arguments, &definition->arguments, s.at, s.name);
        else
          for (const auto& a : s.arguments) inner_variables(a.value);
        walk(s.selections, definition == nullptr ? nullptr : schema_.type(named(definition->type)), visited);
      } else if (s.kind == SelectionKind::inline_fragment) {
        walk(s.selections, s.on.empty() ? parent : schema_.type(s.on), visited);
      } else if (const auto found = fragments_.find(s.name);
                 found != fragments_.end() && visited.insert(s.name).second) {
        for (const auto& d : found->second->directives)
          walk_arguments(d.arguments, schema_.directive(d.name));
        walk(found->second->selections, schema_.type(found->second->on), visited);
      }
    }
  }
  void walk_arguments(std::span<const Argument> given, const Definition* directive) {
    if (directive != nullptr) return arguments(given, &directive->inputs, {}, directive->name);
    for (const auto& a : given) inner_variables(a.value);
  }
  // "IsVariableUsageAllowed" of section 5.8.5.
  void uses(const Value& v, const TypeRef& wanted, bool has_fallback) {
    if (variables_ == nullptr) return;
    used_.insert_or_assign(v.text, v.at);
    const auto found = variables_->find(v.text);
    if (found == variables_->end())
      return wrong("5.8.3 All Variable Uses Defined", fmt::format("variable \"${}\" is not defined", v.text),
                   {v.at});
    auto type = found->second->type;
    auto place = wanted;
    if (place.non_null && !type.non_null) {
      const bool safe = has_fallback || (found->second->fallback != nullptr &&
                                         found->second->fallback->kind != ValueKind::null);
      if (safe) place.non_null = false;
    }
    if (!fits(type, place))
      wrong("5.8.5 All Variable Usages Are Allowed",
            fmt::format("\"${}\" is {}, where {} stands", v.text, text_of(found->second->type),
                        text_of(wanted)),
            {found->second->at, v.at});
  }
  static bool fits(const TypeRef& type, const TypeRef& place) {
    if (place.non_null && !type.non_null) return false;
    if ((type.of == nullptr) != (place.of == nullptr)) return false;
    return type.of == nullptr ? type.name == place.name : fits(*type.of, *place.of);
  }

  // ---- fragments -----------------------------------------------------------------------------------------
  void reach(std::span<const Selection> all, std::set<std::string_view>& reached) {
    for (const auto& s : all) {
      if (s.kind != SelectionKind::spread) {
        reach(s.selections, reached);
      } else if (const auto found = fragments_.find(s.name);
                 found != fragments_.end() && reached.insert(s.name).second) {
        reach(found->second->selections, reached);
      }
    }
  }
  void used_fragments() {
    std::set<std::string_view> reached;
    for (const auto& d : document_.definitions)
      if (d.executable() && d.kind != DefinitionKind::fragment) reach(d.selections, reached);
    for (const auto& d : document_.definitions)
      if (d.kind == DefinitionKind::fragment && !reached.contains(d.name))
        wrong("5.5.1.4 Fragments Must Be Used", fmt::format("fragment \"{}\" is never used", d.name), {d.at});
  }
  bool cyclic() {
    std::map<std::string_view, int> state;  // 1: on the way, 2: done
    bool found = false;
    for (const auto& d : document_.definitions)
      if (d.kind == DefinitionKind::fragment) found = cyclic_from(d, state) || found;
    return found;
  }
  bool cyclic_from(const Definition& fragment, std::map<std::string_view, int>& state) {
    if (state[fragment.name] == 2) return false;
    state[fragment.name] = 1;
    const bool found = cyclic_in(fragment.selections, state);
    state[fragment.name] = 2;
    return found;
  }
  bool cyclic_in(std::span<const Selection> all, std::map<std::string_view, int>& state) {
    bool found = false;
    for (const auto& s : all) {
      if (s.kind != SelectionKind::spread) {
        found = cyclic_in(s.selections, state) || found;
        continue;
      }
      const auto target = fragments_.find(s.name);
      if (target == fragments_.end()) continue;
      if (state[s.name] == 1) {
        wrong("5.5.2.2 Fragment Spreads Must Not Form Cycles",
              fmt::format("fragment \"{}\" spreads itself", s.name), {s.at});
        found = true;
      } else {
        found = cyclic_from(*target->second, state) || found;
      }
    }
    return found;
  }

  // ---- 5.3.2: fields of one name in the response must be one field
  struct Merged {
    const Selection* field;
    const Type* parent;
    const FieldDefinition* definition;
  };
  using Group = std::map<std::string_view, std::vector<Merged>>;

  void collect(std::span<const Selection> all, const Type* parent, Group& group) {
    for (const auto& s : all) {
      if (s.kind == SelectionKind::field) {
        const auto* definition =
            parent != nullptr && parent->composite() ? schema_.field(*parent, s.name) : nullptr;
        group[s.key()].push_back({&s, parent, definition});
      } else if (s.kind == SelectionKind::inline_fragment) {
        collect(s.selections, s.on.empty() ? parent : schema_.type(s.on), group);
      } else if (const auto found = fragments_.find(s.name); found != fragments_.end()) {
        collect(found->second->selections, schema_.type(found->second->on), group);
      }
    }
  }
  void conflict(const Merged& a, const Merged& b, const std::string& what) {
    wrong("5.3.2 Field Selection Merging", fmt::format("\"{}\" stands for {}", a.field->key(), what),
          {a.field->at, b.field->at});
  }
  void merge(const Definition& operation) {
    Group group;
    collect(operation.selections, schema_.root(operation.kind), group);
    same_shape(group);
    same_fields(group);
  }
  void descend(const std::vector<Merged>& fields, Group& below) {
    for (const auto& one : fields)
      if (one.definition != nullptr)
        collect(one.field->selections, schema_.type(named(one.definition->type)), below);
  }
  // All answers under one key have one shape, whatever types they come from. Comparing each with the first is
  // enough, as having one shape is transitive.
  void same_shape(const Group& group) {
    for (const auto& [key, fields] : group) {
      const Merged* first = nullptr;
      for (const auto& one : fields) {
        if (one.definition == nullptr) continue;
        if (first == nullptr)
          first = &one;
        else if (!shapes_alike(first->definition->type, one.definition->type))
          return conflict(
              *first, one,
              fmt::format("{} and {}", text_of(first->definition->type), text_of(one.definition->type)));
      }
      if (first == nullptr) continue;
      Group below;
      descend(fields, below);
      same_shape(below);
    }
  }
  bool shapes_alike(const TypeRef& a, const TypeRef& b) const {
    if (a.non_null != b.non_null || (a.of == nullptr) != (b.of == nullptr)) return false;
    if (a.of != nullptr) return shapes_alike(*a.of, *b.of);
    const auto* x = schema_.type(a.name);
    const auto* y = schema_.type(b.name);
    return x == nullptr || y == nullptr || (x->composite() && y->composite()) || a.name == b.name;
  }
  // Where one object could give both, they are the same field with the same arguments. Those of abstract
  // types may meet any; those of two object types never meet.
  void same_fields(const Group& group) {
    for (const auto& [key, fields] : group) {
      std::map<std::string_view, std::vector<Merged>> by_type;
      std::vector<Merged> abstract;
      for (const auto& one : fields) {
        if (one.parent != nullptr && one.parent->kind == TypeKind::object)
          by_type[one.parent->name].push_back(one);
        else
          abstract.push_back(one);
      }
      if (by_type.empty()) by_type[""];
      for (auto& [name, meeting] : by_type) {
        meeting.insert(meeting.end(), abstract.begin(), abstract.end());
        for (const auto& one : meeting) {
          const auto& first = meeting.front();
          if (one.field->name != first.field->name)
            return conflict(first, one, fmt::format(R"("{}" and "{}")", first.field->name, one.field->name));
          if (!same_arguments(first.field->arguments, one.field->arguments))
            return conflict(first, one, "one field with differing arguments");
        }
        Group below;
        descend(meeting, below);
        same_fields(below);
      }
    }
  }
  void single_root(const Definition& d) {
    Group group;
    collect(d.selections, schema_.root(d.kind), group);
    if (group.size() > 1 || (group.size() == 1 && group.begin()->first.starts_with("__")))
      wrong("5.2.3.1 Single Root Field", "a subscription has one field, and none of introspection", {d.at});
  }

  const Schema& schema_;
  const Document& document_;
  const Limits& limits_;
  Fragments fragments_;
  std::vector<Violation> violations_;
  const std::map<std::string_view, const VariableDefinition*>* variables_ = nullptr;
  std::map<std::string_view, Location> used_;
};

}  // namespace

std::vector<Violation> validate(const Schema& schema, const Document& document, const Limits& limits) {
  return Validator(schema, document, limits).run();
}

}  // namespace heronwell::graphql
