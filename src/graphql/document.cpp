#include "graphql/document.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <optional>
#include <unordered_map>
#include <utility>

namespace heronwell::graphql {
namespace {

// ---- the cost of fragments spread out
class Spreading {
 public:
  Spreading(const Document& document, const Limits& limits) : text_(document.text), limits_(limits) {
    for (const auto& definition : document.definitions)
      if (definition.kind == DefinitionKind::fragment) fragments_.try_emplace(definition.name, &definition);
  }

  std::size_t of(std::span<const Selection> selections) {
    std::size_t sum = 0;
    for (const auto& selection : selections) {
      sum += selection.kind == SelectionKind::field ? 1 : 0;
      sum += selection.kind == SelectionKind::spread ? of_fragment(selection) : of(selection.selections);
      if (sum > limits_.spread)
        throw Error(place_of(text_, selection.at),
                    fmt::format("more than {} fields once fragments are spread", limits_.spread));
    }
    return sum;
  }

 private:
  // Each fragment is counted once, however often it is spread.
  std::size_t of_fragment(const Selection& spread) {
    const auto found = fragments_.find(spread.name);
    if (found == fragments_.end()) return 0;
    const auto [cost, fresh] = costs_.try_emplace(spread.name);
    if (!fresh && !cost->second)
      throw Error(place_of(text_, spread.at), fmt::format("fragment \"{}\" spreads itself", spread.name));
    if (!fresh) return *cost->second;
    const auto sum = of(found->second->selections);
    costs_[spread.name] = sum;
    return sum;
  }

  std::string_view text_;
  const Limits& limits_;
  std::unordered_map<std::string_view, const Definition*> fragments_;
  std::unordered_map<std::string_view, std::optional<std::size_t>> costs_;  // none: being counted
};

// ---- printing
class Printer {
 public:
  std::string out;

  void text(std::string_view value) {
    out.push_back('"');
    for (const char c : value) {
      if (c == '"' || c == '\\')
        out.append({'\\', c});
      else if (static_cast<unsigned char>(c) < 0x20)
        fmt::format_to(std::back_inserter(out), "\\u{:04x}", static_cast<unsigned>(c));
      else
        out.push_back(c);
    }
    out.push_back('"');
  }
  void value(const Value& v) {
    if (v.kind == ValueKind::string) return text(v.text);
    if (v.kind == ValueKind::variable) out.push_back('$');
    if (v.kind == ValueKind::list) return list("[", v.items, "]", [this](const Value& item) { value(item); });
    if (v.kind == ValueKind::object)
      return list("{", v.fields, "}", [this](const ObjectField& f) { field(f); });
    out += v.text;
  }
  void field(const ObjectField& f) {
    out += f.name;
    out += ": ";
    value(f.value);
  }
  void list(const char* open, const auto& all, const char* end, const auto& each,
            const char* between = ", ") {
    out += open;
    bool first = true;
    for (const auto& one : all) {
      if (!std::exchange(first, false)) out += between;
      each(one);
    }
    out += end;
  }
  void arguments(std::span<const Argument> all) {
    if (!all.empty()) list("(", all, ")", [this](const Argument& a) { field(a); });
  }
  void directives(std::span<const Directive> all) {
    for (const auto& d : all) {
      out += " @";
      out += d.name;
      arguments(d.arguments);
    }
  }
  void type(const TypeRef& t) {
    if (t.of != nullptr) {
      out += "[";
      type(*t.of);
      out += "]";
    }
    out += t.name;
    if (t.non_null) out += "!";
  }
  void selections(std::span<const Selection> all) {
    list(
        "{ ", all, " }", [this](const Selection& s) { selection(s); }, " ");
  }
  void selection(const Selection& s) {
    if (s.kind == SelectionKind::field) {
      if (!s.alias.empty()) out.append(s.alias).append(": ");
      out += s.name;
    } else {
      out += "...";
      if (!s.on.empty()) out.append(" on ").append(s.on);
      out += s.name;
    }
    arguments(s.arguments);
    directives(s.directives);
    if (s.selections.empty()) return;
    out += " ";
    selections(s.selections);
  }
  void described(std::string_view description) {
    if (description.empty()) return;
    text(description);
    out += " ";
  }
  void input(const auto& i, const char* mark = "") {
    out += mark;
    out.append(i.name).append(": ");
    type(i.type);
    if (i.fallback != nullptr) {
      out += " = ";
      value(*i.fallback);
    }
    directives(i.directives);
  }
  void inputs(const char* open, std::span<const InputValue> all, const char* end, const char* between) {
    if (!all.empty())
      list(
          open, all, end,
          [this](const InputValue& i) {
            described(i.description);
            input(i);
          },
          between);
  }

  void definition(const Definition& d) {
    static constexpr std::array<const char*, 12> words{"query",  "mutation", "subscription", "fragment",
                                                       "schema", "scalar",   "type",         "interface",
                                                       "union",  "enum",     "input",        "directive"};
    described(d.description);
    if (d.extends) out += "extend ";
    out += words[static_cast<std::size_t>(d.kind)];
    if (!d.name.empty()) out.append(d.kind == DefinitionKind::directive ? " @" : " ").append(d.name);
    if (!d.on.empty()) out.append(" on ").append(d.on);
    if (!d.variables.empty())
      list("(", d.variables, ")", [this](const VariableDefinition& v) { input(v, "$"); });
    const auto names = [&](const char* open, const char* between) {
      if (!d.types.empty())
        list(
            open, d.types, "", [this](const NamedType& t) { out += t.name; }, between);
    };
    const bool directive = d.kind == DefinitionKind::directive;
    if (d.kind == DefinitionKind::object || d.kind == DefinitionKind::interface) names(" implements ", " & ");
    if (directive) inputs("(", d.inputs, ")", ", ");
    if (directive && d.repeatable) out += " repeatable";
    if (directive) names(" on ", " | ");
    directives(d.directives);
    if (d.kind == DefinitionKind::union_type) names(" = ", " | ");
    if (d.kind == DefinitionKind::schema && !d.types.empty())
      list(
          " { ", d.types, " }",
          [this](const NamedType& t) { out.append(t.operation).append(": ").append(t.name); }, " ");
    if (d.kind == DefinitionKind::input) inputs(" { ", d.inputs, " }", " ");
    if (!d.fields.empty())
      list(
          " { ", d.fields, " }",
          [this](const FieldDefinition& f) {
            described(f.description);
            out += f.name;
            inputs("(", f.arguments, ")", ", ");
            out += ": ";
            type(f.type);
            directives(f.directives);
          },
          " ");
    if (!d.values.empty())
      list(
          " { ", d.values, " }",
          [this](const EnumValue& v) {
            described(v.description);
            out += v.name;
            directives(v.directives);
          },
          " ");
    if (d.selections.empty()) return;
    out += " ";
    selections(d.selections);
  }
};

}  // namespace

Place place_of(std::string_view text, Location at) {
  const auto before = text.substr(0, at.offset);
  const auto line = before.rfind('\n');
  return {
      static_cast<std::uint32_t>(std::ranges::count(before, '\n')) + 1,
      static_cast<std::uint32_t>(line == std::string_view::npos ? before.size() : before.size() - line - 1) +
          1};
}

std::size_t spread_cost(const Document& document, const Limits& limits) {
  Spreading spreading(document, limits);
  std::size_t sum = 0;
  for (const auto& definition : document.definitions)
    if (definition.executable()) sum += spreading.of(definition.selections);
  return sum;
}

std::string print(const Document& document) {
  Printer printer;
  for (const auto& definition : document.definitions) {
    if (!printer.out.empty()) printer.out += "\n";
    printer.definition(definition);
  }
  return printer.out;
}

std::string print(const Value& value) {
  Printer printer;
  printer.value(value);
  return printer.out;
}

}  // namespace heronwell::graphql
