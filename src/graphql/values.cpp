#include "graphql/values.hpp"

#include <fmt/format.h>
#include <rapidjson/error/en.h>
#include <rapidjson/reader.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <set>

#include "base/json.hpp"

namespace heronwell::graphql {
namespace {

using Kind = Datum::Kind;

// Builds a Datum from RapidJSON's events; numbers come as their text.
struct Builder : rapidjson::BaseReaderHandler<rapidjson::UTF8<>, Builder> {
  explicit Builder(std::size_t most) : most_depth(most) {}

  bool put(Datum value) {
    if (stack.empty()) {
      whole = std::move(value);
    } else if (stack.back().kind == Kind::list) {
      stack.back().items.push_back(std::move(value));
    } else {
      stack.back().fields.emplace_back(std::move(names.back()), std::move(value));
      names.pop_back();
    }
    return true;
  }
  bool begin(Kind kind) {
    if (stack.size() >= most_depth) return problem = fmt::format("deeper than {}", most_depth), false;
    stack.emplace_back();
    stack.back().kind = kind;
    return true;
  }
  bool end() {
    auto value = std::move(stack.back());
    stack.pop_back();
    return put(std::move(value));
  }
  bool Null() { return put({}); }
  bool Bool(bool value) { return put(Datum::of(Kind::boolean, value ? "true" : "false")); }
  bool RawNumber(const char* text, unsigned size, bool) { return put(Datum::of(Kind::number, {text, size})); }
  bool String(const char* text, unsigned size, bool) { return put(Datum::of(Kind::string, {text, size})); }
  bool StartObject() { return begin(Kind::object); }
  bool StartArray() { return begin(Kind::list); }
  bool EndArray(unsigned) { return end(); }
  bool Key(const char* text, unsigned size, bool) { return names.emplace_back(text, size), true; }
  bool EndObject(unsigned) {
    std::vector<std::string_view> seen;
    for (const auto& [name, value] : stack.back().fields) seen.push_back(name);
    std::ranges::sort(seen);
    const auto twice = std::ranges::adjacent_find(seen);
    if (twice != seen.end()) return problem = fmt::format("\"{}\" stands twice in an object", *twice), false;
    return end();
  }

  std::size_t most_depth;
  Datum whole;
  std::vector<Datum> stack;
  std::vector<std::string> names;
  std::string problem;
};

std::optional<double> as_double(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}
// A number of 32 bits, also written as 1e3 or 2.0.
std::optional<std::int32_t> as_int(std::string_view text) {
  std::int32_t whole = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), whole);
  if (error == std::errc{} && end == text.data() + text.size()) return whole;
  const auto value = as_double(text);
  if (!value || *value != std::trunc(*value) || std::abs(*value) > 2147483647.0) return std::nullopt;
  return static_cast<std::int32_t>(*value);
}
bool integer(std::string_view text) {
  return !text.empty() && text.find_first_not_of("0123456789", text[0] == '-' ? 1 : 0) == text.npos;
}

std::string shown(const Datum& value) {
  std::string out;
  put_json(out, value);
  if (out.size() > 60) out = out.substr(0, 57) + "...";
  return out;
}

// A scalar that the specification knows; any other takes whatever comes.
std::optional<Datum> scalar(const Datum& value, std::string_view type) {
  const auto number = value.kind == Kind::number;
  if (type == "Int") {
    const auto whole = number ? as_int(value.text) : std::nullopt;
    if (!whole) return std::nullopt;
    return Datum::of(Kind::number, std::to_string(*whole));
  }
  if (type == "Float") return number && as_double(value.text) ? std::optional(value) : std::nullopt;
  if (type == "Boolean") return value.kind == Kind::boolean ? std::optional(value) : std::nullopt;
  if (type == "String") return value.kind == Kind::string ? std::optional(value) : std::nullopt;
  if (type == "ID") {
    if (value.kind == Kind::string) return value;
    if (number && integer(value.text)) return Datum::of(Kind::string, value.text);
    return std::nullopt;
  }
  return value;
}

// The literal as it stands, for custom scalars.
Datum plain(const Value& literal, const Variables& variables) {
  switch (literal.kind) {
    case ValueKind::variable: {
      const auto found = variables.find(literal.text);
      return found == variables.end() ? Datum{} : found->second;
    }
    case ValueKind::integer:
    case ValueKind::floating:
      return Datum::of(Kind::number, std::string(literal.text));
    case ValueKind::string:
      return Datum::of(Kind::string, std::string(literal.text));
    case ValueKind::boolean:
      return Datum::of(Kind::boolean, std::string(literal.text));
    case ValueKind::enumeration:
      return Datum::of(Kind::enumeration, std::string(literal.text));
    case ValueKind::null:
      return {};
    case ValueKind::list: {
      Datum out;
      out.kind = Kind::list;
      for (const auto& item : literal.items) out.items.push_back(plain(item, variables));
      return out;
    }
    case ValueKind::object: {
      Datum out;
      out.kind = Kind::object;
      for (const auto& field : literal.fields)
        out.fields.emplace_back(field.name, plain(field.value, variables));
      return out;
    }
  }
  return {};
}

std::nullopt_t misfit(Misfit& wrong, std::string message) {
  wrong.message = std::move(message);
  return std::nullopt;
}
std::nullopt_t within(Misfit& wrong, const std::string& where) {
  const bool joined = wrong.where.empty() || wrong.where.front() == '[';
  wrong.where = where + (joined ? "" : ".") + wrong.where;
  return std::nullopt;
}

// Fields of an input object: `find` gives what stands for a field, `each` coerces it.
std::optional<Datum> input_object(const Schema& schema, const Type& type, Misfit& wrong, auto find,
                                  auto each) {
  Datum out;
  out.kind = Kind::object;
  for (const auto* definition : type.inputs) {
    const auto* value = find(definition->name);
    std::optional<Datum> made;
    if (value != nullptr) {
      made = each(*value, definition->type);
    } else if (definition->fallback != nullptr) {
      made = coerce(schema, *definition->fallback, definition->type, {}, wrong);
    } else {
      if (!definition->type.non_null) continue;
      wrong = {"", fmt::format("\"{}\" needs field \"{}: {}\"", type.name, definition->name,
                               text_of(definition->type))};
      return std::nullopt;
    }
    if (!made) return within(wrong, std::string(definition->name));
    out.fields.emplace_back(definition->name, std::move(*made));
  }
  return out;
}

}  // namespace

const Datum* Datum::field(std::string_view name) const {
  const auto found = std::ranges::find(fields, name, &std::pair<std::string, Datum>::first);
  return found == fields.end() ? nullptr : &found->second;
}
Datum Datum::of(Kind kind, std::string text) {
  Datum made;
  made.kind = kind;
  made.text = std::move(text);
  return made;
}

Datum read_json(std::string_view text, std::size_t depth) {
  Builder builder(depth);
  rapidjson::Reader reader;
  rapidjson::MemoryStream memory(text.data(), text.size());
  rapidjson::EncodedInputStream<rapidjson::UTF8<>, rapidjson::MemoryStream> stream(memory);
  constexpr unsigned kFlags = rapidjson::kParseNumbersAsStringsFlag | rapidjson::kParseValidateEncodingFlag |
                              rapidjson::kParseIterativeFlag;
  const auto result = reader.Parse<kFlags>(stream, builder);
  if (result.IsError())
    throw JsonError(result.Offset(),
                    builder.problem.empty() ? rapidjson::GetParseError_En(result.Code()) : builder.problem);
  return std::move(builder.whole);
}

void put_json(std::string& out, const Datum& value) {
  std::string_view between;
  switch (value.kind) {
    case Kind::null:
      out += "null";
      break;
    case Kind::boolean:
    case Kind::number:
      out += value.text;
      break;
    case Kind::string:
    case Kind::enumeration:
      put_json_text(out, value.text);
      break;
    case Kind::list:
      out += "[";
      for (const auto& item : value.items) {
        out += std::exchange(between, ",");
        put_json(out, item);
      }
      out += "]";
      break;
    case Kind::object:
      out += "{";
      for (const auto& [name, field] : value.fields) {
        out += std::exchange(between, ",");
        put_json_text(out, name);
        out += ":";
        put_json(out, field);
      }
      out += "}";
  }
}

std::optional<Datum> coerce(const Schema& schema, const Datum& value, const TypeRef& type, Misfit& wrong) {
  if (value.null())
    return type.non_null ? misfit(wrong, fmt::format("expected {}, not null", text_of(type)))
                         : std::optional(Datum{});
  if (type.of != nullptr) {
    Datum out;
    out.kind = Kind::list;
    if (value.kind != Kind::list) {  // a list of one
      auto one = coerce(schema, value, *type.of, wrong);
      if (!one) return std::nullopt;
      out.items.push_back(std::move(*one));
      return out;
    }
    for (std::size_t i = 0; i < value.items.size(); ++i) {
      auto one = coerce(schema, value.items[i], *type.of, wrong);
      if (!one) return within(wrong, fmt::format("[{}]", i));
      out.items.push_back(std::move(*one));
    }
    return out;
  }
  const auto refuse = [&] {
    return misfit(wrong, fmt::format("expected {}, not {}", text_of(type), shown(value)));
  };
  const auto* of = schema.type(type.name);
  if (of == nullptr) return refuse();
  if (of->kind == TypeKind::enumeration) {
    const bool known =
        (value.kind == Kind::string || value.kind == Kind::enumeration) && of->value(value.text);
    return known ? std::optional(Datum::of(Kind::enumeration, value.text)) : refuse();
  }
  if (of->kind == TypeKind::input) {
    if (value.kind != Kind::object) return refuse();
    for (const auto& [name, field] : value.fields)
      if (of->input(name) == nullptr)
        return misfit(wrong, fmt::format("\"{}\" has no field \"{}\"", of->name, name));
    return input_object(
        schema, *of, wrong, [&](std::string_view name) { return value.field(name); },
        [&](const Datum& field, const TypeRef& as) { return coerce(schema, field, as, wrong); });
  }
  auto made = scalar(value, type.name);
  return made ? std::move(made) : refuse();
}

bool given(const Value& literal, const Variables& variables) {
  return literal.kind != ValueKind::variable || variables.contains(literal.text);
}

std::optional<Datum> coerce(const Schema& schema, const Value& literal, const TypeRef& type,
                            const Variables& variables, Misfit& wrong) {
  if (literal.kind == ValueKind::variable || literal.kind == ValueKind::null) {
    // A variable's value was coerced to its own type, which fits here but for null.
    auto value = plain(literal, variables);
    if (value.null() && type.non_null)
      return misfit(wrong, fmt::format("expected {}, not null", text_of(type)));
    if (type.of != nullptr && !value.null() && value.kind != Kind::list)
      return coerce(schema, value, type, wrong);
    return value;
  }
  if (type.of != nullptr) {
    Datum out;
    out.kind = Kind::list;
    const bool list = literal.kind == ValueKind::list;
    const auto items = list ? literal.items : std::span(&literal, 1);
    for (std::size_t i = 0; i < items.size(); ++i) {
      auto one = coerce(schema, items[i], *type.of, variables, wrong);
      if (!one) return list ? within(wrong, fmt::format("[{}]", i)) : std::nullopt;
      out.items.push_back(std::move(*one));
    }
    return out;
  }
  const auto* of = schema.type(type.name);
  if (of != nullptr && of->kind == TypeKind::input) {
    if (literal.kind != ValueKind::object)
      return misfit(wrong,
                    fmt::format("expected {}, not {}", text_of(type), shown(plain(literal, variables))));
    for (const auto& field : literal.fields)
      if (of->input(field.name) == nullptr)
        return misfit(wrong, fmt::format("\"{}\" has no field \"{}\"", of->name, field.name));
    return input_object(
        schema, *of, wrong,
        [&](std::string_view name) -> const Value* {
          const auto found = std::ranges::find(literal.fields, name, &ObjectField::name);
          return found == literal.fields.end() || !given(found->value, variables) ? nullptr : &found->value;
        },
        [&](const Value& field, const TypeRef& as) { return coerce(schema, field, as, variables, wrong); });
  }
  const bool enumeration = of != nullptr && of->kind == TypeKind::enumeration;
  const auto value = plain(literal, variables);
  if (enumeration != (literal.kind == ValueKind::enumeration) && of != nullptr &&
      (enumeration || of->built_in))
    return misfit(wrong, fmt::format("expected {}, not {}", text_of(type), shown(value)));
  return coerce(schema, value, type, wrong);
}

Coerced coerce_variables(const Schema& schema, const Document& document, const Definition& operation,
                         const Datum& given) {
  Coerced out;
  const auto wrong = [&](const VariableDefinition& v, const std::string& message) {
    out.errors.push_back({"6.1.2 Coercing Variable Values", message, {place_of(document.text, v.at)}});
  };
  for (const auto& v : operation.variables) {
    const auto* value = given.field(v.name);
    Misfit misfit;
    if (value == nullptr && v.fallback != nullptr) {
      if (auto made = coerce(schema, *v.fallback, v.type, {}, misfit))
        out.values.emplace(v.name, std::move(*made));
      else
        wrong(v, fmt::format("default of \"${}\": {}", v.name, misfit.message));
    } else if (value == nullptr) {
      if (v.type.non_null) wrong(v, fmt::format("\"${}: {}\" is not given", v.name, text_of(v.type)));
    } else if (auto made = coerce(schema, *value, v.type, misfit)) {
      out.values.emplace(v.name, std::move(*made));
    } else {
      const bool item = misfit.where.empty() || misfit.where.front() == '[';
      wrong(v, fmt::format("\"${}{}{}\": {}", v.name, item ? "" : ".", misfit.where, misfit.message));
    }
  }
  return out;
}

std::optional<Datum> coerce_arguments(const Schema& schema, std::span<const InputValue> definitions,
                                      std::span<const Argument> arguments, const Variables& variables,
                                      Misfit& wrong) {
  Datum out;
  out.kind = Kind::object;
  for (const auto& definition : definitions) {
    const auto argument = std::ranges::find(arguments, definition.name, &Argument::name);
    const Value* literal = nullptr;
    if (argument != arguments.end() && given(argument->value, variables)) literal = &argument->value;
    if (literal == nullptr) literal = definition.fallback;
    if (literal == nullptr) {
      if (!definition.type.non_null) continue;
      wrong = {std::string(definition.name), fmt::format("expected {}, not null", text_of(definition.type))};
      return std::nullopt;
    }
    auto made = coerce(schema, *literal, definition.type, variables, wrong);
    if (!made) return within(wrong, std::string(definition.name));
    out.fields.emplace_back(definition.name, std::move(*made));
  }
  return out;
}

std::optional<Misfit> literal_misfit(const Schema& schema, const Value& literal, const TypeRef& type) {
  Misfit wrong;
  if (coerce(schema, literal, type, {}, wrong)) return std::nullopt;
  return wrong;
}

}  // namespace heronwell::graphql
