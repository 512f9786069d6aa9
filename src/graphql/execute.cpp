#include "graphql/execute.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <iterator>

#include "base/json.hpp"

namespace heronwell::graphql {
namespace {

using namespace std::chrono_literals;
constexpr Time kLeast = 1ms;  // a statement with less time left is not begun
constexpr std::uint32_t kBool = 16, kJson = 114, kJsonb = 3802;

Trouble trouble(std::string code, std::string outcome, std::string message) {
  Trouble made;
  made.code = std::move(code);
  made.outcome = std::move(outcome);
  made.message = std::move(message);
  return made;
}

const Datum* follow(const Datum& arguments, const std::vector<std::string>& path) {
  const auto* at = &arguments;
  for (const auto& name : path) {
    at = at->field(name);
    if (at == nullptr) return nullptr;
  }
  return at;
}

// The elements of an array's text ("Array Input and Output Syntax" of the PostgreSQL manual); inner arrays
// stay texts. Empty: malformed.
std::optional<std::vector<std::optional<std::string>>> elements(std::string_view text) {
  std::vector<std::optional<std::string>> out;
  if (text.size() < 2 || text.front() != '{' || text.back() != '}') return std::nullopt;
  text = text.substr(1, text.size() - 2);
  for (std::size_t i = 0; i < text.size();) {
    std::string one;
    bool quoted = false;
    int depth = 0;
    for (; i < text.size() && (depth > 0 || text[i] != ','); ++i) {
      if (text[i] == '"') {
        quoted = true;
        if (depth > 0) one += '"';
        for (++i; i < text.size() && text[i] != '"'; ++i) {
          if (text[i] == '\\') {
            if (depth > 0) one += '\\';
            ++i;
          }
          if (i < text.size()) one += text[i];
        }
        if (i >= text.size()) return std::nullopt;
        if (depth > 0) one += '"';
        continue;
      }
      if (text[i] == '{') ++depth;
      if (text[i] == '}' && --depth < 0) return std::nullopt;
      one += text[i];
    }
    if (depth != 0) return std::nullopt;
    if (!quoted && one == "NULL")
      out.emplace_back();
    else
      out.emplace_back(std::move(one));
    if (i == text.size()) continue;
    ++i;
    if (i == text.size()) return std::nullopt;  // a comma at the end
  }
  return out;
}

std::string array_text(const std::deque<std::string>& keys, std::size_t from, std::size_t to) {
  Datum list;
  list.kind = Datum::Kind::list;
  for (auto i = from; i < to; ++i) list.items.push_back(Datum::of(Datum::Kind::string, keys[i]));
  return *parameter_text(list);
}

// The count in a tag such as "INSERT 0 3".
std::optional<std::int32_t> affected(std::string_view tag) {
  const auto space = tag.rfind(' ');
  if (space == std::string_view::npos) return std::nullopt;
  const auto digits = tag.substr(space + 1);
  std::int32_t count = 0;
  const auto [end, wrong] = std::from_chars(digits.data(), digits.data() + digits.size(), count);
  if (wrong != std::errc{} || end != digits.data() + digits.size()) return std::nullopt;
  return count;
}

}  // namespace

// One field of one object type at one place of the response.
struct Execution::Output {
  Field field;
  const Binding* binding = nullptr;
  const Type* type = nullptr;  // named by its definition
  std::optional<Datum> arguments;
  Misfit misfit;
  std::unique_ptr<Level> below;  // of composite types
  Fetch* fetch = nullptr;
  const sql::Table* table = nullptr;  // where `column` was last found
  std::optional<std::size_t> column;

  std::optional<std::size_t> find(const sql::Table* in, std::string_view name) {
    if (table != in) {
      table = in;
      column = in == nullptr ? std::nullopt : in->column(name);
    }
    return column;
  }
};

struct Execution::Level {
  Sets sets;
  const Type* type = nullptr;
  std::map<std::string_view, std::vector<Output>> of;  // by object type
};

// The statement of one output: one part, or several where there are more parents than one may have.
struct Execution::Fetch {
  struct Part {
    std::size_t from = 0, to = 0;  // of keys
    std::shared_ptr<const sql::Table> table;
    std::optional<Trouble> trouble;
    std::unordered_map<std::string_view, std::vector<std::size_t>> rows;  // by parent; looked up only
    std::optional<std::size_t> value;                                     // column, of fields without objects
  };
  Output* output = nullptr;
  std::deque<std::string> keys;  // parents, each once, in the order met
  std::unordered_map<std::string_view, std::size_t> seen;
  std::vector<Part> parts;
  std::size_t open = 0;  // parts
  bool batched = false;
};

Execution::Execution(const Bound& bound, const Document& document, const Definition& operation, Asked asked,
                     Bounds bounds)
    : bound_(bound),
      document_(document),
      operation_(operation),
      asked_(std::move(asked)),
      bounds_(bounds),
      collector_(bound.schema(), document, asked_.variables),
      root_(std::make_unique<Level>()),
      mutation_(operation.kind == DefinitionKind::mutation) {
  root_->sets = {operation.selections};
  root_->type = bound.schema().root(operation.kind);
}
Execution::~Execution() = default;

std::vector<Execution::Output>& Execution::outputs(Level& level, const Type& type) {
  const auto [found, fresh] = level.of.try_emplace(type.name);
  auto& all = found->second;
  if (!fresh) return all;
  const auto& schema = bound_.schema();
  for (auto& field : collector_.collect(level.sets, type)) {
    auto& output = all.emplace_back();
    output.field = std::move(field);
    const auto& definition = *output.field.definition;
    output.binding = bound_.binding(definition);
    output.type = schema.type(named(definition.type));
    output.arguments = coerce_arguments(schema, definition.arguments, output.field.first->arguments,
                                        asked_.variables, output.misfit);
    if (!output.type->composite()) continue;
    output.below = std::make_unique<Level>();
    output.below->sets = output.field.below;
    output.below->type = output.type;
  }
  return all;
}

// ---- statements ----------------------------------------------------------------------------------------
void Execution::start(Time now, std::vector<Call>& out) {
  next_root();
  pump(now, out);
}

void Execution::next_root() {
  auto& roots = outputs(*root_, *root_->type);
  while (next_root_ < roots.size() && (!mutation_ || open_fetches_ == 0)) fetch_root(roots[next_root_++]);
}

void Execution::fetch_root(Output& output) {
  if (output.binding == nullptr || !output.arguments) {
    if (!output.arguments && output.field.definition->type.non_null) stopped_ = true;
    return;
  }
  auto& fetch = fetches_.emplace_back();
  output.fetch = &fetch;
  fetch.output = &output;
  fetch.parts.resize(1);
  ++open_fetches_;
  launch(fetch);
}

void Execution::launch(Fetch& fetch) {
  fetch.open = fetch.parts.size();
  for (std::size_t i = 0; i < fetch.parts.size(); ++i) {
    auto& part = fetch.parts[i];
    Trouble wrong = trouble("NOT_STARTED", "not_started", "not run, as a field before it failed");
    Call call;
    const auto parents = fetch.batched ? array_text(fetch.keys, part.from, part.to) : "";
    if ((mutation_ && stopped_ && !fetch.batched) || !bind(fetch, parents, call, wrong)) {
      part.trouble = std::move(wrong);
      --fetch.open;
      continue;
    }
    const auto& binding = *fetch.output->binding;
    if (binding.cost_per_parent)
      call.cost = call.cost.value_or(Time::zero()) +
                  *binding.cost_per_parent * static_cast<std::int64_t>(part.to - part.from);
    call.id = fetch_of_.size();
    fetch_of_.emplace_back(&fetch, i);
    waiting_.push_back(call.id);
    calls_.push_back(std::move(call));
  }
  if (fetch.open == 0) close(fetch);
}

bool Execution::bind(const Fetch& fetch, const std::string& parents, Call& call, Trouble& wrong) const {
  const auto& output = *fetch.output;
  const auto& binding = *output.binding;
  const auto bad = [&](std::string message) {
    wrong = trouble("BAD_ARGUMENT", "not_started", std::move(message));
    return false;
  };
  call.field = output.field.first->name;
  call.statement = binding.statement;
  call.cls = binding.cls;
  call.cost = binding.cost;
  call.memory_mb = binding.memory_mb;
  const auto text_at = [&](const std::vector<std::string>& path) -> std::optional<std::string> {
    const auto* value = follow(*output.arguments, path);
    return value == nullptr ? std::nullopt : parameter_text(*value);
  };
  const auto number_of = [&](const std::string& text) {
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error == std::errc{} && end == text.data() + text.size()) return static_cast<std::uint64_t>(number);
    return asked_.hash(text);
  };
  std::optional<std::string> tenant;
  using Kind = TenantSource::Kind;
  if (binding.tenant.kind == Kind::name) tenant = binding.tenant.name;
  if (binding.tenant.kind == Kind::argument) tenant = text_at(binding.tenant.path);
  if (binding.tenant.kind == Kind::header && asked_.header) tenant = asked_.header(binding.tenant.name);
  if (tenant) {
    const auto known = asked_.tenant ? asked_.tenant(*tenant) : std::nullopt;
    if (!known) return bad("the tenant is not known here");
    call.tenant = *known;
  }
  if (!binding.group.empty())
    if (const auto text = text_at(binding.group))
      call.data_group = static_cast<std::int64_t>(number_of(*text));
  if (!binding.key.empty())
    if (const auto text = text_at(binding.key)) call.order_key = std::max<std::uint64_t>(1, number_of(*text));
  for (const auto& source : binding.parameters) {
    switch (source.kind) {
      case Source::Kind::parents:
        call.parameters.emplace_back(parents);
        break;
      case Source::Kind::idempotency_key:
        call.parameters.emplace_back(asked_.idempotency_key);
        break;
      case Source::Kind::tenant:
        call.parameters.push_back(tenant);
        break;
      case Source::Kind::argument:
        call.parameters.push_back(text_at(source.path));
    }
    const auto& last = call.parameters.back();
    if (last && last->find('\0') != std::string::npos) return bad("an argument with a NUL in it");
  }
  return true;
}

// The time that is left is divided along the longest chain of statements from here on, by their classes'
// aims: a look-up before a report does not use up the report's time, and the last in a chain has all of it.
Time Execution::share(Time now, const Output& output) const {
  const auto left = asked_.deadline - now;
  if (left <= Time::zero()) return now;
  const auto own = std::max<Time>(bound_.cls(*output.binding).aim, kLeast);
  auto after = output.below ? chain_below(output.field.below, output.type) : Time::zero();
  if (mutation_ && !output.binding->batched())
    for (auto i = next_root_; i < root_->of.begin()->second.size(); ++i) {
      const auto& later = root_->of.begin()->second[i];
      after += chain(*later.field.definition, later.field.below);
    }
  const double part = static_cast<double>(own.count()) / static_cast<double>((own + after).count());
  return now + Time(static_cast<std::int64_t>(static_cast<double>(left.count()) * part));
}

Time Execution::chain(const FieldDefinition& definition, const Sets& below) const {
  const auto* binding = bound_.binding(definition);
  const auto own = binding == nullptr ? Time::zero() : std::max<Time>(bound_.cls(*binding).aim, kLeast);
  return own + chain_below(below, bound_.schema().type(named(definition.type)));
}

Time Execution::chain_below(const Sets& below, const Type* type) const {
  Time longest{};
  if (type == nullptr) return longest;
  for (const auto& set : below)
    for (const auto& s : set) {
      Time one{};
      if (s.kind == SelectionKind::field) {
        const auto* definition = bound_.schema().field(*type, s.name);
        if (definition != nullptr && (!s.selections.empty() || bound_.binding(*definition) != nullptr))
          one = chain(*definition, {s.selections});
      } else if (s.kind == SelectionKind::inline_fragment) {
        one = chain_below({s.selections}, s.on.empty() ? type : bound_.schema().type(s.on));
      } else {
        const auto& fragment = collector_.fragment(s.name);
        one = chain_below({fragment.selections}, bound_.schema().type(fragment.on));
      }
      longest = std::max(longest, one);
    }
  return longest;
}

void Execution::pump(Time now, std::vector<Call>& out) {
  while (!waiting_.empty() && running_ < bounds_.parallel) {
    const auto id = waiting_.front();
    waiting_.pop_front();
    auto& call = calls_[id];
    call.deadline = share(now, *fetch_of_[id].first->output);
    call.most_bytes = bounds_.answer > held_bytes_ ? bounds_.answer - held_bytes_ : 0;
    ++running_;
    if (call.deadline >= now + kLeast) {
      out.push_back(std::move(call));
      continue;
    }
    Reply reply;
    reply.trouble = trouble("STATEMENT_REFUSED", "refused", "not run: no time was left for it");
    ended(now, id, std::move(reply), out);
  }
}

void Execution::ended(Time now, std::size_t id, Reply reply, std::vector<Call>& out) {
  const auto [fetch, index] = fetch_of_[id];
  auto& part = fetch->parts[index];
  --running_;
  part.trouble = std::move(reply.trouble);
  part.table = std::move(reply.table);
  const bool ran =
      part.table || (part.trouble && (part.trouble->may_have_run || part.trouble->outcome == "served"));
  if (mutation_ && !fetch->batched && ran) any_effect_ = true;
  if (part.trouble && part.trouble->may_have_run) any_unknown_ = true;
  if (part.trouble) {
    any_trouble_ = true;
    if (mutation_ && !fetch->batched &&
        (part.trouble->may_have_run || fetch->output->field.definition->type.non_null))
      stopped_ = true;
  }
  if (part.table) held_bytes_ += part.table->bytes();
  if (--fetch->open == 0) close(*fetch);
  // Children of a root that has ended go first, then the next root.
  if (mutation_ && open_fetches_ == 0) next_root();
  pump(now, out);
}

// All parts of a statement have ended: its rows tell the parents of what stands below it.
void Execution::close(Fetch& fetch) {
  descend(fetch);
  --open_fetches_;
}

void Execution::descend(Fetch& fetch) {
  auto& output = *fetch.output;
  const bool list = output.field.definition->type.of != nullptr;
  const auto first_child = fetches_.size();
  for (auto& part : fetch.parts) {
    if (part.trouble || !part.table) continue;
    const auto& table = *part.table;
    std::optional<std::size_t> by;
    if (fetch.batched) {
      by = table.column(output.binding->by);
      if (!by) {
        part.trouble = trouble("BAD_ROWS", "served",
                               fmt::format("the statement gives no column \"{}\"", output.binding->by));
        continue;
      }
      for (std::size_t row = 0; row < table.rows(); ++row)
        if (const auto key = table.at(row, *by)) part.rows[*key].push_back(row);
    }
    for (std::size_t c = 0; c < table.columns.size() && !part.value; ++c)
      if (c != by) part.value = c;
    if (!output.below) continue;
    if (!fetch.batched) {
      for (std::size_t row = 0; row < (list ? table.rows() : std::min<std::size_t>(1, table.rows())); ++row)
        visit(*output.below, {&table, row});
      continue;
    }
    for (auto key = part.from; key < part.to; ++key) {
      const auto found = part.rows.find(fetch.keys[key]);
      if (found == part.rows.end()) continue;
      for (std::size_t i = 0; i < (list ? found->second.size() : 1); ++i)
        visit(*output.below, {&table, found->second[i]});
    }
  }
  for (auto i = first_child; i < fetches_.size(); ++i) {
    auto& child = fetches_[i];
    for (std::size_t from = 0; from < child.keys.size(); from += bounds_.parents) {
      auto& part = child.parts.emplace_back();
      part.from = from;
      part.to = std::min(child.keys.size(), from + bounds_.parents);
    }
    launch(child);
  }
}

void Execution::visit(Level& level, Row row) {
  const auto* type = type_of(level, row);
  if (type == nullptr) return;
  for (auto& output : outputs(level, *type)) {
    if (output.binding != nullptr) {
      const auto column = output.find(row.table, output.binding->parent);
      if (!column || !output.arguments) continue;
      if (const auto key = row.table->at(row.at, *column)) need(output, *key);
    } else if (output.below && output.field.first->name.substr(0, 2) != "__") {
      visit(*output.below, row);
    }
  }
}

void Execution::need(Output& output, std::string_view parent) {
  if (output.fetch == nullptr) {
    auto& fetch = fetches_.emplace_back();
    fetch.output = &output;
    fetch.batched = true;
    output.fetch = &fetch;
    ++open_fetches_;
  }
  auto& fetch = *output.fetch;
  if (fetch.seen.contains(parent)) return;
  fetch.keys.emplace_back(parent);
  fetch.seen.emplace(fetch.keys.back(), fetch.keys.size() - 1);
}

// An object's type: that of its place, or for interfaces and unions what its row says in "__typename".
const Type* Execution::type_of(const Level& level, Row row) const {
  if (level.type->kind == TypeKind::object) return level.type;
  if (row.table == nullptr) return nullptr;
  const auto column = row.table->column("__typename");
  const auto name = column ? row.table->at(row.at, *column) : std::nullopt;
  if (!name || !level.type->possible.contains(*name)) return nullptr;
  return bound_.schema().type(*name);
}

bool Execution::done() const {
  const auto found = root_->of.find(root_->type->name);
  return found != root_->of.end() && next_root_ == found->second.size() && open_fetches_ == 0;
}

// ---- the response --------------------------------------------------------------------------------------
void Execution::too_long(std::size_t more) const {
  if (out_.size() + errors_.size() + more > bounds_.answer) throw TooLong{};
}

void Execution::error(Location at, const std::string& message, const Trouble* why) {
  any_trouble_ = true;
  if (++error_count_ > bounds_.errors) return;
  const auto place = place_of(document_.text, at);
  if (!errors_.empty()) errors_ += ",";
  errors_ += "{\"message\":";
  put_json_text(errors_, message);
  fmt::format_to(std::back_inserter(errors_), R"(,"locations":[{{"line":{},"column":{}}}],"path":[)",
                 place.line, place.column);
  std::string_view between;
  for (const auto& step : path_) {
    errors_.append(std::exchange(between, ","));
    if (step.key.empty())
      errors_ += std::to_string(step.index);
    else
      put_json_text(errors_, step.key);
  }
  errors_ += "]";
  if (why != nullptr) {
    fmt::format_to(std::back_inserter(errors_),
                   R"(,"extensions":{{"code":"{}","outcome":"{}","retryHarmless":{})", why->code,
                   why->outcome, why->retry_harmless);
    if (why->attempts > 0) fmt::format_to(std::back_inserter(errors_), R"(,"attempts":{})", why->attempts);
    if (why->pause > Time::zero())
      fmt::format_to(std::back_inserter(errors_), R"(,"retryAfterMs":{})", why->pause / 1ms);
    if (!why->sqlstate.empty()) {
      errors_ += ",\"sqlstate\":";
      put_json_text(errors_, why->sqlstate);
    }
    errors_ += "}";
  }
  errors_ += "}";
}

// After an error: null here if the type allows it, else the field above becomes null.
bool Execution::nulled(const TypeRef& type, std::size_t mark, Location at, const std::string& why) {
  if (!why.empty()) error(at, why);
  out_.resize(mark);
  if (type.non_null) return false;
  out_ += "null";
  return true;
}

std::string Execution::response() {
  out_ = "{\"data\":";
  try {
    const auto mark = out_.size();
    if (!object(*root_, *root_->type, {})) {
      out_.resize(mark);
      out_ += "null";
    }
    too_long();
  } catch (const TooLong&) {
    path_.clear();
    errors_.clear();
    error_count_ = 0;
    const auto why = trouble("ANSWER_TOO_LARGE", "served", "");
    error(operation_.at, fmt::format("the answer is larger than {} bytes", bounds_.answer), &why);
    out_ = "{\"data\":null";
  }
  if (error_count_ > bounds_.errors)
    fmt::format_to(std::back_inserter(errors_), R"(,{{"message":"{} more errors"}})",
                   error_count_ - bounds_.errors);
  if (!errors_.empty()) out_ += ",\"errors\":[" + errors_ + "]";
  out_ += "}";
  return std::move(out_);
}

bool Execution::object(Level& level, const Type& type, Row row) {
  too_long();
  out_ += "{";
  std::string_view between;
  for (auto& output : outputs(level, type)) {
    out_ += std::exchange(between, ",");
    put_json_text(out_, output.field.key);
    out_ += ":";
    path_.push_back({output.field.key});
    const bool good = put_field(output, type, row);
    path_.pop_back();
    if (!good) return false;
  }
  out_ += "}";
  return true;
}

bool Execution::put_field(Output& output, const Type& parent, Row row) {
  const auto& first = *output.field.first;
  const auto& type = output.field.definition->type;
  const auto mark = out_.size();
  if (first.name == "__typename") {
    put_json_text(out_, parent.name);
    return true;
  }
  if (!output.arguments) {
    const auto why = trouble("BAD_ARGUMENT", "not_started", "");
    error(first.at, fmt::format("argument \"{}\": {}", output.misfit.where, output.misfit.message), &why);
    return nulled(type, mark, first.at, "");
  }
  if (first.name.substr(0, 2) == "__") {
    introspect(collector_, output.field, *output.arguments, bounds_.answer, out_);
    return true;
  }
  if (output.binding != nullptr) return put_fetched(output, row);
  if (output.below) {  // an object within its parent's row
    const auto* of = type_of(*output.below, row);
    if (of == nullptr) return nulled(type, mark, first.at, "the row does not say its type in \"__typename\"");
    return object(*output.below, *of, row) || nulled(type, mark, first.at, "");
  }
  const auto name = bound_.column(*output.field.definition);
  const auto column = output.find(row.table, name);
  if (!column) {
    const auto why = trouble("BAD_ROWS", "served", "");
    error(first.at, fmt::format("the statement gives no column \"{}\"", name), &why);
    return nulled(type, mark, first.at, "");
  }
  return put_cell(type, row.table->at(row.at, *column), row.table->columns[*column].type, first.at);
}

bool Execution::put_fetched(Output& output, Row parent) {
  const auto& at = output.field.first->at;
  const auto& type = output.field.definition->type;
  const auto mark = out_.size();
  const Fetch::Part* part = nullptr;
  const std::vector<std::size_t>* rows = nullptr;
  const auto* fetch = output.fetch;
  if (parent.table == nullptr) {
    part = &fetch->parts.front();
  } else {
    const auto column = output.find(parent.table, output.binding->parent);
    if (!column)
      return nulled(type, mark, at, fmt::format("the parent has no column \"{}\"", output.binding->parent));
    const auto key = parent.table->at(parent.at, *column);
    if (key && fetch != nullptr) {
      part = &fetch->parts[fetch->seen.at(*key) / bounds_.parents];
      const auto found = part->rows.find(*key);
      if (found != part->rows.end()) rows = &found->second;
    }
  }
  if (part != nullptr && part->trouble) {
    error(at, part->trouble->message, &*part->trouble);
    return nulled(type, mark, at, "");
  }
  const auto count = part == nullptr           ? 0
                     : parent.table == nullptr ? part->table->rows()
                     : rows == nullptr         ? 0
                                               : rows->size();
  const auto row_at = [&](std::size_t i) { return Row{part->table.get(), rows == nullptr ? i : (*rows)[i]}; };
  if (type.of != nullptr) {
    out_ += "[";
    for (std::size_t i = 0; i < count; ++i) {
      if (i > 0) out_ += ",";
      path_.push_back({{}, i});
      const bool good = put_item(output, *type.of, row_at(i), part->value);
      path_.pop_back();
      if (!good) return nulled(type, mark, at, "");
    }
    out_ += "]";
    return true;
  }
  if (count > 0) return put_item(output, type, row_at(0), part->value);
  if (part != nullptr && parent.table == nullptr && part->table->columns.empty() && !output.below) {
    // A statement without rows, an insert say, answers what its tag tells.
    const auto number = affected(part->table->command);
    if (output.type->name == "Boolean") return out_ += "true", true;
    if (output.type->name == "Int" && number) return out_ += std::to_string(*number), true;
  }
  return type.non_null ? nulled(type, mark, at, "no row") : (out_ += "null", true);
}

bool Execution::put_item(Output& output, const TypeRef& type, Row row,
                         std::optional<std::size_t> value_column) {
  const auto at = output.field.first->at;
  const auto mark = out_.size();
  if (!output.below) {
    if (!value_column) return nulled(type, mark, at, "the statement gives no column for the value");
    return put_cell(type, row.table->at(row.at, *value_column), row.table->columns[*value_column].type, at);
  }
  const auto* of = type_of(*output.below, row);
  if (of == nullptr) return nulled(type, mark, at, "the row does not say its type in \"__typename\"");
  return object(*output.below, *of, row) || nulled(type, mark, at, "");
}

bool Execution::put_cell(const TypeRef& type, sql::Value value, std::uint32_t engine_type, Location at) {
  const auto mark = out_.size();
  if (!value) {
    if (type.non_null) return nulled(type, mark, at, fmt::format("NULL where {} stands", text_of(type)));
    out_ += "null";
    return true;
  }
  too_long(value->size());
  if (type.of == nullptr) {
    if (put_scalar(type.name, *value, engine_type)) return true;
    const auto shown = value->substr(0, 40);
    return nulled(type, mark, at, fmt::format("\"{}\" is no {}", shown, type.name));
  }
  const auto all = elements(*value);
  if (!all) return nulled(type, mark, at, "the column holds no array");
  out_ += "[";
  for (std::size_t i = 0; i < all->size(); ++i) {
    if (i > 0) out_ += ",";
    path_.push_back({{}, i});
    const auto& one = (*all)[i];
    const bool good = put_cell(*type.of, one ? sql::Value(*one) : std::nullopt, 0, at);
    path_.pop_back();
    if (!good) return nulled(type, mark, at, "");
  }
  out_ += "]";
  return true;
}

bool Execution::put_scalar(std::string_view type, std::string_view text, std::uint32_t engine_type) {
  const auto boolean = [&] {
    const bool yes = text == "t" || text == "true";
    if (!yes && text != "f" && text != "false") return false;
    out_ += yes ? "true" : "false";
    return true;
  };
  if (type == "String" || type == "ID") return put_json_text(out_, text), true;
  if (type == "Int") {
    std::int32_t number = 0;
    const auto [end, wrong] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (wrong != std::errc{} || end != text.data() + text.size()) return false;
    return out_ += std::to_string(number), true;
  }
  if (type == "Float") return is_json_number(text) && (out_ += text, true);
  if (type == "Boolean") return boolean();
  const auto* of = bound_.schema().type(type);
  if (of->kind == TypeKind::enumeration) return of->value(text) && (put_json_text(out_, text), true);
  // A scalar of the operator's own: numbers and JSON as they are, at any size.
  if (engine_type == kBool && boolean()) return true;
  if (sql::is_number_type(engine_type) && is_json_number(text)) return out_ += text, true;
  if (engine_type == kJson || engine_type == kJsonb) {
    try {
      put_json(out_, read_json(text));
      return true;
    } catch (const JsonError&) {
      return false;
    }
  }
  return put_json_text(out_, text), true;
}

std::string request_errors(const std::vector<Violation>& errors, std::string_view code) {
  std::string out = "{\"errors\":[";
  std::string_view between;
  for (const auto& one : errors) {
    out += std::exchange(between, ",");
    out += "{\"message\":";
    put_json_text(out, one.message);
    if (!one.places.empty()) {
      out += ",\"locations\":[";
      std::string_view comma;
      for (const auto& place : one.places)
        fmt::format_to(std::back_inserter(out), R"({}{{"line":{},"column":{}}})", std::exchange(comma, ","),
                       place.line, place.column);
      out += "]";
    }
    fmt::format_to(std::back_inserter(out), R"(,"extensions":{{"code":"{}")", code);
    if (!one.rule.empty()) {
      out += ",\"rule\":";
      put_json_text(out, one.rule);
    }
    out += "}}";
  }
  return out + "]}";
}

}  // namespace heronwell::graphql
