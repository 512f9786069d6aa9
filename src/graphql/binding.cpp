#include "graphql/binding.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <set>

#include "base/yaml.hpp"

namespace heronwell::graphql {
namespace {

constexpr std::string_view kPrelude = R"(
directive @sql(statement: String! class: String! group: String key: String tenant: String cost: String
  costPerParent: String memory: String parent: String by: String) on FIELD_DEFINITION
directive @column(name: String!) on FIELD_DEFINITION
)";

bool name_start(char c) { return std::isalpha(static_cast<unsigned char>(c)) != 0 || c == '_'; }
bool name_part(char c) { return name_start(c) || std::isdigit(static_cast<unsigned char>(c)) != 0; }

// Passes over what PostgreSQL's lexer takes as one: texts, quoted names, comments ("Lexical Structure" of its
// manual). Returns the bytes passed; 0: nothing of the kind begins here; npos: it never ends.
std::size_t opaque(std::string_view sql, std::size_t at) {
  const auto rest = sql.substr(at);
  const char c = rest[0];
  if (c == '\'' || c == '"') {
    const bool escapes = c == '\'' && at > 0 && (sql[at - 1] == 'e' || sql[at - 1] == 'E') &&
                         (at < 2 || !name_part(sql[at - 2]));
    for (std::size_t i = 1; i < rest.size(); ++i) {
      if (escapes && rest[i] == '\\') {
        ++i;
      } else if (rest[i] == c) {
        if (i + 1 < rest.size() && rest[i + 1] == c)
          ++i;
        else
          return i + 1;
      }
    }
    return std::string_view::npos;
  }
  if (rest.starts_with("--")) {
    const auto end = rest.find('\n');
    return end == std::string_view::npos ? rest.size() : end;
  }
  if (rest.starts_with("/*")) {
    std::size_t depth = 1, i = 2;
    for (; i + 1 < rest.size() && depth > 0; ++i) {
      if (rest.substr(i, 2) == "/*")
        ++depth, ++i;
      else if (rest.substr(i, 2) == "*/")
        --depth, ++i;
    }
    return depth == 0 ? i : std::string_view::npos;
  }
  if (c == '$' && (at == 0 || !name_part(sql[at - 1]))) {
    std::size_t i = 1;
    if (i < rest.size() && name_start(rest[i]))
      while (i < rest.size() && name_part(rest[i])) ++i;
    if (i >= rest.size() || rest[i] != '$') return 0;
    const auto tag = rest.substr(0, i + 1);
    const auto end = rest.find(tag, tag.size());
    return end == std::string_view::npos ? end : end + tag.size();
  }
  return 0;
}

std::vector<std::string> split(std::string_view path) {
  std::vector<std::string> out;
  while (true) {
    const auto dot = path.find('.');
    out.emplace_back(path.substr(0, dot));
    if (dot == std::string_view::npos) return out;
    path.remove_prefix(dot + 1);
  }
}

const Directive* find(std::span<const Directive> all, std::string_view name) {
  const auto found = std::ranges::find(all, name, &Directive::name);
  return found == all.end() ? nullptr : &*found;
}
const Value* find(const Directive& directive, std::string_view name) {
  const auto found = std::ranges::find(directive.arguments, name, &Argument::name);
  return found == directive.arguments.end() ? nullptr : &found->value;
}

void put_array(std::string& out, const Datum& list) {
  out += "{";
  std::string_view between;
  for (const auto& item : list.items) {
    out += std::exchange(between, ",");
    if (item.null()) {
      out += "NULL";
    } else if (item.kind == Datum::Kind::list) {
      put_array(out, item);
    } else {
      out += '"';
      const auto text = parameter_text(item);
      for (const char c : *text) {
        if (c == '"' || c == '\\') out += '\\';
        out += c;
      }
      out += '"';
    }
  }
  out += "}";
}

}  // namespace

std::string_view binding_prelude() { return kPrelude; }

Template read_template(std::string_view sql) {
  Template out;
  for (std::size_t i = 0; i < sql.size();) {
    const auto passed = opaque(sql, i);
    if (passed == std::string_view::npos) {
      out.wrong = "a text, quoted name or comment that never ends";
      return out;
    }
    if (passed > 0) {
      out.text.append(sql.substr(i, passed));
      i += passed;
      continue;
    }
    if (sql[i] == '$' && i + 1 < sql.size() && std::isdigit(static_cast<unsigned char>(sql[i + 1])) != 0) {
      out.wrong = "parameters are written by name, such as :id";
      return out;
    }
    if (sql.substr(i, 2) == "::") {
      out.text += "::";
      i += 2;
      continue;
    }
    // A slice such as a[1:n] has a name or number right before its colon.
    if (sql[i] != ':' || i + 1 >= sql.size() || !name_start(sql[i + 1]) ||
        (i > 0 && (name_part(sql[i - 1]) || sql[i - 1] == ']'))) {
      out.text += sql[i++];
      continue;
    }
    auto end = i + 1;
    while (end < sql.size() &&
           (name_part(sql[end]) || (sql[end] == '.' && end + 1 < sql.size() && name_start(sql[end + 1]))))
      ++end;
    auto path = split(sql.substr(i + 1, end - i - 1));
    auto known = std::ranges::find(out.names, path);
    if (known == out.names.end()) known = out.names.insert(out.names.end(), std::move(path));
    out.text += fmt::format("${}", known - out.names.begin() + 1);
    i = end;
  }
  return out;
}

std::optional<std::string> parameter_text(const Datum& value) {
  std::string out;
  switch (value.kind) {
    case Datum::Kind::null:
      return std::nullopt;
    case Datum::Kind::list:
      put_array(out, value);
      return out;
    case Datum::Kind::object:
      put_json(out, value);
      return out;
    default:
      return value.text;
  }
}

Bound::Bound(std::string_view sdl, std::vector<ClassFacts> classes)
    : schema_(sdl, kPrelude), classes_(std::move(classes)) {
  const auto* query = schema_.root(DefinitionKind::query);
  const auto* mutation = schema_.root(DefinitionKind::mutation);
  if (const auto* subscription = schema_.root(DefinitionKind::subscription))
    wrong(subscription->at, "subscriptions are not served");
  for (const auto& [name, type] : schema_.types()) {
    if (type.built_in) continue;
    for (const auto* field : type.fields) {
      if (const auto* column = find(field->directives, "column"))
        columns_[field] = find(*column, "name")->text;
      if (type.kind == TypeKind::object)
        bind(type, *field, &type == query || &type == mutation, &type == mutation);
      else if (const auto* sql = find(field->directives, "sql"))
        wrong(sql->at, "@sql stands on fields of object types, not of interfaces");
    }
  }
  if (errors_.empty()) return;
  std::ranges::stable_sort(errors_, {}, [](const auto& one) { return one.first.offset; });
  std::string all;
  for (const auto& [at, what] : errors_) {
    const auto place = place_of(schema_.text(), at);
    all += fmt::format("{}{}:{}: {}", all.empty() ? "" : "\n", place.line, place.column, what);
  }
  throw SchemaError(all);
}

const TypeRef* Bound::argument(const FieldDefinition& field, const std::vector<std::string>& path,
                               Location at) {
  const auto full = fmt::format("{}", fmt::join(path, "."));
  const auto top = std::ranges::find(field.arguments, path[0], &InputValue::name);
  if (top == field.arguments.end()) {
    wrong(at, fmt::format(R"(":{}": "{}" has no argument "{}")", full, field.name, path[0]));
    return nullptr;
  }
  const auto* type = &top->type;
  for (std::size_t i = 1; i < path.size(); ++i) {
    const auto* of = type->of == nullptr ? schema_.type(type->name) : nullptr;
    const auto* input = of != nullptr && of->kind == TypeKind::input ? of->input(path[i]) : nullptr;
    if (input == nullptr) {
      wrong(at, fmt::format(R"(":{}": {} has no field "{}")", full, text_of(*type), path[i]));
      return nullptr;
    }
    type = &input->type;
  }
  return type;
}

void Bound::bind(const Type& type, const FieldDefinition& field, bool root, bool mutation) {
  const auto* sql = find(field.directives, "sql");
  const auto* of = schema_.type(named(field.type));
  const bool list = field.type.of != nullptr;
  if (sql == nullptr) {
    if (root) wrong(field.at, fmt::format("\"{}.{}\" has no @sql", type.name, field.name));
    if (!root && list && of->composite())
      wrong(field.at, fmt::format("\"{}.{}\" is a list of objects and has no @sql", type.name, field.name));
    return;
  }
  if (list && field.type.of->of != nullptr)
    wrong(field.type.at, "a statement's rows are one list, not lists in lists");
  Binding binding;
  const auto text = [&](std::string_view name) -> std::string_view {
    const auto* value = find(*sql, name);
    return value == nullptr ? std::string_view{} : value->text;
  };
  const auto at = [&](std::string_view name) {
    const auto* value = find(*sql, name);
    return value == nullptr ? sql->at : value->at;
  };
  binding.parent = text("parent");
  binding.by = text("by");
  auto read = read_template(text("statement"));
  if (!read.wrong.empty()) wrong(at("statement"), read.wrong);
  if (read.text.find_first_not_of(" \n\t;") == std::string::npos)
    wrong(at("statement"), "an empty statement");
  if (read.text.find('\0') != std::string::npos) wrong(at("statement"), "a NUL in it");
  binding.statement = std::move(read.text);
  bool parents = false;
  for (auto& path : read.names) {
    Source source;
    if (path[0] == "parents" || path[0] == "idempotency_key" || path[0] == "tenant") {
      source.kind = path[0] == "parents"  ? Source::Kind::parents
                    : path[0] == "tenant" ? Source::Kind::tenant
                                          : Source::Kind::idempotency_key;
      parents = parents || path[0] == "parents";
      if (std::ranges::count(field.arguments, path[0], &InputValue::name) > 0)
        wrong(at("statement"),
              fmt::format("\":{}\" is the router's own; name the argument otherwise", path[0]));
    } else {
      (void)argument(field, path, at("statement"));
      source.path = std::move(path);
    }
    binding.parameters.push_back(std::move(source));
  }
  if (binding.parent.empty() != binding.by.empty())
    wrong(sql->at, R"("parent" and "by" stand together or not at all)");
  if (!root && !binding.batched())
    wrong(sql->at, R"(a child field's statement needs "parent" and "by": one statement for all parents)");
  if (root && binding.batched()) wrong(sql->at, "a root field has no parents");
  if (parents != binding.batched())
    wrong(at("statement"), parents ? R"(":parents" without "parent" and "by")" : "\":parents\" is missing");

  const auto cls = std::ranges::find(classes_, text("class"), &ClassFacts::name);
  if (cls == classes_.end()) {
    std::vector<std::string> names;
    names.reserve(classes_.size());
    for (const auto& one : classes_) names.push_back(one.name);
    const auto near = yaml::nearest(std::string(text("class")), names);
    wrong(at("class"), near.empty() ? fmt::format("expected one of {}", fmt::join(names, ", "))
                                    : fmt::format("unknown; the nearest known one is \"{}\"", near));
  } else {
    binding.cls = static_cast<std::uint16_t>(cls - classes_.begin());
    if (!mutation && !cls->safe)
      wrong(at("class"),
            fmt::format("\"{}\" may not be repeated, so only a mutation can have it", cls->name));
  }
  for (const auto& [name, path] : {std::pair{"group", &binding.group}, std::pair{"key", &binding.key}}) {
    if (find(*sql, name) == nullptr) continue;
    *path = split(text(name));
    (void)argument(field, *path, at(name));
  }
  if (const auto tenant = text("tenant"); find(*sql, "tenant") != nullptr) {
    const auto space = tenant.find(' ');
    const auto kind = tenant.substr(0, space);
    binding.tenant.name = space == std::string_view::npos ? "" : tenant.substr(space + 1);
    using enum TenantSource::Kind;
    binding.tenant.kind = kind == "header"     ? header
                          : kind == "argument" ? argument
                          : kind == "name"     ? name
                                               : none;
    if (binding.tenant.name.empty() || binding.tenant.kind == none)
      wrong(at("tenant"), R"(expected "header NAME", "argument PATH" or "name TENANT")");
    else if (binding.tenant.kind == argument)
      (void)this->argument(field, binding.tenant.path = split(binding.tenant.name), at("tenant"));
    else if (binding.tenant.kind == header)
      std::ranges::transform(binding.tenant.name, binding.tenant.name.begin(),
                             [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  }
  const auto duration = [&](const char* name, std::optional<Time>& to) {
    if (find(*sql, name) == nullptr) return;
    to = yaml::parse_duration(text(name));
    if (!to) wrong(at(name), "expected a duration such as 20ms");
  };
  duration("cost", binding.cost);
  duration("costPerParent", binding.cost_per_parent);
  if (find(*sql, "memory") != nullptr) {
    const auto size = yaml::parse_size(text("memory"));
    if (!size) wrong(at("memory"), "expected a size such as 64MiB");
    binding.memory_mb = static_cast<double>(size.value_or(0)) / (1 << 20);
  }
  bindings_.emplace(&field, std::move(binding));
}

const Binding* Bound::binding(const FieldDefinition& field) const {
  const auto found = bindings_.find(&field);
  return found == bindings_.end() ? nullptr : &found->second;
}
std::string Bound::summary() const {
  std::string out =
      fmt::format("{:<28}{:<14}{:<12}{:>11}  {}\n", "field", "class", "group", "parameters", "batched by");
  for (const auto& [name, type] : schema_.types())
    for (const auto* field : type.fields)
      if (const auto* one = binding(*field))
        out += fmt::format("{:<28}{:<14}{:<12}{:>11}  {}\n", fmt::format("{}.{}", name, field->name),
                           cls(*one).name,
                           one->group.empty() ? "-" : fmt::format("{}", fmt::join(one->group, ".")),
                           one->parameters.size(), one->batched() ? one->parent + " = " + one->by : "-");
  return out;
}
std::vector<std::string> Bound::headers() const {
  std::set<std::string> names;
  for (const auto& [field, binding] : bindings_)
    if (binding.tenant.kind == TenantSource::Kind::header) names.insert(binding.tenant.name);
  return {names.begin(), names.end()};
}
std::string_view Bound::column(const FieldDefinition& field) const {
  const auto found = columns_.find(&field);
  return found == columns_.end() ? field.name : found->second;
}

}  // namespace heronwell::graphql
