#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <tao/pegtl.hpp>
#include <tuple>
#include <utility>
#include <vector>

#include "graphql/document.hpp"

namespace heronwell::graphql {
namespace {

namespace pegtl = tao::pegtl;

// Thrown by actions, which know offsets only.
struct Fault {
  Location at;
  std::string what;
};

// ---- what the grammar's actions build -------------------------------------------------------------------
class Builder {
 public:
  Builder(std::pmr::memory_resource& arena, const Limits& limits, const char* first)
      : begin(first), arena_(arena), limits_(limits) {}

  // A list under construction is the end of a stack, from where it began.
  template <class T>
  struct Stack {
    std::vector<T> all;
    std::vector<std::size_t> begins;
    void open() { begins.push_back(all.size()); }
  };
  template <class T>
  std::span<const T> close(Stack<T>& stack) {
    const auto from = stack.begins.back();
    stack.begins.pop_back();
    const auto count = stack.all.size() - from;
    if (count == 0) return {};
    auto* place = static_cast<T*>(arena_.allocate(count * sizeof(T), alignof(T)));
    std::uninitialized_copy(stack.all.begin() + static_cast<std::ptrdiff_t>(from), stack.all.end(), place);
    stack.all.resize(from);
    return {place, count};
  }
  template <class T>
  const T* keep(const T& node) {
    auto* place = static_cast<T*>(arena_.allocate(sizeof(T), alignof(T)));
    return new (place) T(node);
  }
  std::string_view keep_text(const std::string& made) {
    auto* place = static_cast<char*>(arena_.allocate(made.size() + 1, 1));
    std::copy(made.begin(), made.end(), place);
    return {place, made.size()};
  }
  void count(std::size_t& counter, std::size_t most, const char* what, Location at) const {
    if (++counter > most) throw Fault{at, fmt::format("more than {} {}", most, what)};
  }
  void token(Location at) { count(tokens, limits_.tokens, "tokens", at); }
  const Limits& limits() const { return limits_; }

  const char* begin;
  std::size_t tokens = 0, depth = 0, fields_seen = 0, aliases = 0, directives_seen = 0, constant = 0;
  std::string_view name, text;  // the last name, the last string
  Location name_at, text_at, punctuator_at;
  Value value;  // the last whole one
  std::vector<TypeRef> type_stack;
  std::vector<Value> openers;  // lists and objects that are open, for their places
  std::vector<ObjectField> object_fields;
  Stack<Value> values;
  Stack<ObjectField> fields;  // arguments too
  Stack<Directive> directives;
  std::vector<Selection> open_selections;
  Stack<Selection> selections;
  Stack<VariableDefinition> variables;
  Stack<InputValue> inputs;
  Stack<FieldDefinition> field_definitions;
  Stack<EnumValue> enum_values;
  Stack<NamedType> types;
  Stack<Definition> definitions;
  std::string_view description;
  std::vector<std::string_view> descriptions;  // of members that are open
  Definition definition;
  std::vector<std::pair<std::string_view, Location>> names;  // of what is open: arguments, members
  std::vector<const Value*> fallbacks;

 private:
  std::pmr::memory_resource& arena_;
  const Limits& limits_;
};

template <class Input>
Location place(const Input& in, const Builder& b) {
  return {static_cast<std::uint32_t>(in.begin() - b.begin)};
}

// NOLINTBEGIN(readability-identifier-naming): rules are named as PEGTL names its own, in the words of the
// spec

// ---- tokens ----------------------------------------------------------------------------------------------
struct bom : pegtl::string<'\xef', '\xbb', '\xbf'> {};
struct comment : pegtl::seq<pegtl::one<'#'>, pegtl::star<pegtl::not_one<'\n', '\r'>>> {};
struct ignored : pegtl::star<pegtl::sor<pegtl::one<' ', '\t', '\n', '\r', ','>, comment, bom>> {};
struct name_start : pegtl::ranges<'a', 'z', 'A', 'Z', '_'> {};
struct name_continue : pegtl::ranges<'a', 'z', 'A', 'Z', '0', '9', '_'> {};
struct name_text : pegtl::seq<name_start, pegtl::star<name_continue>> {};
struct a_name : pegtl::seq<name_text, ignored> {};
template <char... C>
struct word : pegtl::seq<pegtl::string<C...>, pegtl::not_at<name_continue>, ignored> {};
template <char C>
struct p : pegtl::seq<pegtl::one<C>, ignored> {};
struct dots : pegtl::seq<pegtl::string<'.', '.', '.'>, ignored> {};

struct digit_run : pegtl::plus<pegtl::digit> {};
struct whole
    : pegtl::seq<pegtl::opt<pegtl::one<'-'>>,
                 pegtl::sor<pegtl::one<'0'>, pegtl::seq<pegtl::range<'1', '9'>, pegtl::star<pegtl::digit>>>> {
};
struct fraction : pegtl::seq<pegtl::one<'.'>, digit_run> {};
struct exponent : pegtl::seq<pegtl::one<'e', 'E'>, pegtl::opt<pegtl::one<'+', '-'>>, digit_run> {};
struct after_number : pegtl::not_at<pegtl::sor<pegtl::digit, pegtl::one<'.'>, name_start>> {};
struct number_text : pegtl::seq<whole, pegtl::opt<fraction>, pegtl::opt<exponent>> {};
struct number : pegtl::seq<pegtl::at<pegtl::sor<pegtl::one<'-'>, pegtl::digit>>, pegtl::must<number_text>,
                           pegtl::must<after_number>, ignored> {};

struct block_quote : pegtl::string<'"', '"', '"'> {};
struct block_raw
    : pegtl::until<pegtl::at<block_quote>, pegtl::sor<pegtl::string<'\\', '"', '"', '"'>, pegtl::any>> {};
struct block_string : pegtl::if_must<block_quote, block_raw, block_quote> {};
struct escape : pegtl::seq<pegtl::one<'\\'>, pegtl::must<pegtl::any>> {};
struct string_raw : pegtl::star<pegtl::sor<escape, pegtl::not_one<'"', '\\', '\n', '\r'>>> {};
struct quoted_string : pegtl::if_must<pegtl::one<'"'>, string_raw, pegtl::one<'"'>> {};
struct string_token : pegtl::seq<pegtl::sor<block_string, quoted_string>, ignored> {};

// Counts how deep it stands; the grammar recurses nowhere else.
template <class... Rules>
struct deeper {
  using rule_t = deeper;
  using subs_t = pegtl::type_list<Rules...>;
  template <pegtl::apply_mode A, pegtl::rewind_mode M, template <typename...> class Action,
            template <typename...> class Control, typename Input>
  static bool match(Input& in, Builder& b) {
    b.count(b.depth, b.limits().depth, "levels", {static_cast<std::uint32_t>(in.current() - b.begin)});
    const bool matched = Control<pegtl::seq<Rules...>>::template match<A, M, Action, Control>(in, b);
    --b.depth;
    return matched;
  }
};

// ---- values, arguments, directives, types
struct any_value;
struct variable_value : pegtl::if_must<p<'$'>, a_name> {};
struct number_value : pegtl::seq<number> {};
struct string_value : pegtl::seq<string_token> {};
struct name_value : pegtl::seq<a_name> {};
struct list_open : p<'['> {};
struct list_item : pegtl::must<any_value> {};
struct list_value
    : pegtl::seq<list_open, pegtl::star<pegtl::not_at<pegtl::one<']'>>, list_item>, pegtl::must<p<']'>>> {};
struct object_open : p<'{'> {};
struct object_key : pegtl::seq<a_name, pegtl::must<p<':'>>> {};
struct object_field : pegtl::seq<pegtl::must<object_key>, pegtl::must<any_value>> {};
struct object_value : pegtl::seq<object_open, pegtl::star<pegtl::not_at<pegtl::one<'}'>>, object_field>,
                                 pegtl::must<p<'}'>>> {};
struct any_value : pegtl::sor<variable_value, number_value, string_value, name_value, deeper<list_value>,
                              deeper<object_value>> {};
struct constant_on : pegtl::success {};
struct constant_off : pegtl::success {};
struct const_value : pegtl::seq<constant_on, any_value, constant_off> {};

struct arguments_open : pegtl::success {};
struct argument : pegtl::seq<pegtl::must<object_key>, pegtl::must<any_value>> {};
struct some_arguments : pegtl::seq<p<'('>, pegtl::must<pegtl::plus<pegtl::not_at<pegtl::one<')'>>, argument>>,
                                   pegtl::must<p<')'>>> {};
struct arguments : pegtl::seq<arguments_open, pegtl::opt<some_arguments>> {};

struct directives_open : pegtl::success {};
struct directive_name : pegtl::if_must<p<'@'>, a_name> {};
struct directive : pegtl::seq<directive_name, arguments> {};
struct directives : pegtl::seq<directives_open, pegtl::star<directive>> {};
struct const_directives : pegtl::seq<constant_on, directives, constant_off> {};

struct type;
struct named_type : pegtl::seq<a_name> {};
struct list_type_open : p<'['> {};
struct list_type : pegtl::seq<list_type_open, pegtl::must<type>, pegtl::must<p<']'>>> {};
struct non_null : p<'!'> {};
struct type : pegtl::seq<pegtl::sor<named_type, deeper<list_type>>, pegtl::opt<non_null>> {};

// ---- selections and operations
struct selection_set;
struct field_name : pegtl::seq<a_name> {};
struct field_rename : pegtl::seq<p<':'>, pegtl::must<a_name>> {};
struct field_arguments : pegtl::seq<arguments> {};
struct selection_directives : pegtl::seq<directives> {};
struct selection_end : pegtl::success {};
struct leaf : pegtl::success {};
struct field : pegtl::seq<field_name, pegtl::opt<field_rename>, field_arguments, selection_directives,
                          pegtl::sor<selection_set, leaf>, selection_end> {};
struct dots_open : dots {};
struct on : word<'o', 'n'> {};
struct condition : pegtl::seq<on, pegtl::must<a_name>> {};
struct spread_name : pegtl::seq<pegtl::not_at<on>, a_name> {};
struct inline_rest : pegtl::seq<selection_directives, pegtl::must<selection_set>, selection_end> {};
struct spread_rest : pegtl::seq<spread_name, selection_directives, leaf, selection_end> {};
struct fragment_use
    : pegtl::if_must<dots_open, pegtl::sor<pegtl::seq<condition, inline_rest>, spread_rest, inline_rest>> {};
struct selection : pegtl::sor<fragment_use, field> {};
struct selections_open : p<'{'> {};
struct selection_set_body
    : pegtl::seq<selections_open,
                 pegtl::must<pegtl::plus<pegtl::not_at<pegtl::one<'}'>>, pegtl::must<selection>>>,
                 pegtl::must<p<'}'>>> {};
struct selection_set : deeper<selection_set_body> {};

struct variable_name : pegtl::if_must<p<'$'>, a_name, p<':'>> {};
struct default_value : pegtl::if_must<p<'='>, const_value> {};
struct no_default : pegtl::success {};
struct default_or_none : pegtl::sor<default_value, no_default> {};
struct variable_definition : pegtl::seq<variable_name, pegtl::must<type>, default_or_none, const_directives> {
};
struct variables_open : pegtl::success {};
struct variables
    : pegtl::seq<
          variables_open,
          pegtl::opt<pegtl::seq<
              p<'('>,
              pegtl::must<pegtl::plus<pegtl::not_at<pegtl::one<')'>>, pegtl::must<variable_definition>>>,
              pegtl::must<p<')'>>>>> {};
struct query_word : word<'q', 'u', 'e', 'r', 'y'> {};
struct mutation_word : word<'m', 'u', 't', 'a', 't', 'i', 'o', 'n'> {};
struct subscription_word : word<'s', 'u', 'b', 's', 'c', 'r', 'i', 'p', 't', 'i', 'o', 'n'> {};
struct definition_name : pegtl::seq<a_name> {};
struct definition_directives : pegtl::seq<directives> {};
struct definition_const_directives : pegtl::seq<const_directives> {};
struct definition_selections : pegtl::seq<selection_set> {};
struct operation
    : pegtl::seq<pegtl::sor<query_word, mutation_word, subscription_word>, pegtl::opt<definition_name>,
                 variables, definition_directives, pegtl::must<definition_selections>> {};
struct fragment_word : word<'f', 'r', 'a', 'g', 'm', 'e', 'n', 't'> {};
struct fragment_name : pegtl::seq<pegtl::not_at<on>, a_name> {};
struct fragment_on : pegtl::seq<on, pegtl::must<a_name>> {};
struct fragment : pegtl::seq<fragment_word, pegtl::must<fragment_name>, pegtl::must<fragment_on>,
                             definition_directives, pegtl::must<definition_selections>> {};

// ---- the type system
struct description : pegtl::seq<string_token> {};
struct member_description : pegtl::opt<description> {};
struct member_name : pegtl::seq<a_name> {};
struct input_value : pegtl::seq<member_description, member_name, pegtl::must<p<':'>>, pegtl::must<type>,
                                default_or_none, const_directives> {};
struct inputs_open : pegtl::success {};
template <char Open, char Close, class Member>
struct members
    : pegtl::seq<p<Open>, pegtl::must<pegtl::plus<pegtl::not_at<pegtl::one<Close>>, pegtl::must<Member>>>,
                 pegtl::must<p<Close>>> {};
struct argument_definitions : pegtl::seq<inputs_open, pegtl::opt<members<'(', ')', input_value>>> {};
struct field_definition : pegtl::seq<member_description, member_name, argument_definitions,
                                     pegtl::must<p<':'>>, pegtl::must<type>, const_directives> {};
struct fields_open : pegtl::success {};
struct definition_fields : pegtl::seq<fields_open, pegtl::opt<members<'{', '}', field_definition>>> {};
struct definition_inputs : pegtl::seq<inputs_open, pegtl::opt<members<'{', '}', input_value>>> {};
struct definition_arguments : pegtl::seq<argument_definitions> {};
struct enum_value : pegtl::seq<member_description, member_name, const_directives> {};
struct enum_open : pegtl::success {};
struct definition_values : pegtl::seq<enum_open, pegtl::opt<members<'{', '}', enum_value>>> {};
struct types_open : pegtl::success {};
struct listed_type : pegtl::seq<a_name> {};
struct implements
    : pegtl::seq<types_open, pegtl::opt<pegtl::if_must<word<'i', 'm', 'p', 'l', 'e', 'm', 'e', 'n', 't', 's'>,
                                                       pegtl::opt<p<'&'>>, listed_type,
                                                       pegtl::star<p<'&'>, pegtl::must<listed_type>>>>> {};
struct definition_implements : pegtl::seq<implements> {};
struct union_members
    : pegtl::seq<types_open, pegtl::opt<pegtl::if_must<p<'='>, pegtl::opt<p<'|'>>, listed_type,
                                                       pegtl::star<p<'|'>, pegtl::must<listed_type>>>>> {};
struct definition_members : pegtl::seq<union_members> {};
struct operation_word : pegtl::sor<query_word, mutation_word, subscription_word> {};
struct operation_type_word : pegtl::seq<pegtl::at<operation_word>, a_name> {};
struct operation_type : pegtl::seq<operation_type_word, pegtl::must<p<':'>>, pegtl::must<a_name>> {};
struct operation_types : pegtl::seq<types_open, pegtl::opt<members<'{', '}', operation_type>>> {};
struct definition_operations : pegtl::seq<operation_types> {};
struct locations : pegtl::seq<types_open, pegtl::opt<p<'|'>>, pegtl::must<listed_type>,
                              pegtl::star<p<'|'>, pegtl::must<listed_type>>> {};
struct definition_locations : pegtl::seq<locations> {};

struct schema_word : word<'s', 'c', 'h', 'e', 'm', 'a'> {};
struct scalar_word : word<'s', 'c', 'a', 'l', 'a', 'r'> {};
struct type_word : word<'t', 'y', 'p', 'e'> {};
struct interface_word : word<'i', 'n', 't', 'e', 'r', 'f', 'a', 'c', 'e'> {};
struct union_word : word<'u', 'n', 'i', 'o', 'n'> {};
struct enum_word : word<'e', 'n', 'u', 'm'> {};
struct input_word : word<'i', 'n', 'p', 'u', 't'> {};
struct directive_word : word<'d', 'i', 'r', 'e', 'c', 't', 'i', 'v', 'e'> {};
struct repeatable_word : word<'r', 'e', 'p', 'e', 'a', 't', 'a', 'b', 'l', 'e'> {};
struct extend_word : word<'e', 'x', 't', 'e', 'n', 'd'> {};
struct needed_name : pegtl::must<definition_name> {};
struct schema_definition : pegtl::seq<schema_word, definition_const_directives, definition_operations> {};
struct scalar_definition : pegtl::seq<scalar_word, needed_name, definition_const_directives> {};
struct object_definition : pegtl::seq<type_word, needed_name, definition_implements,
                                      definition_const_directives, definition_fields> {};
struct interface_definition : pegtl::seq<interface_word, needed_name, definition_implements,
                                         definition_const_directives, definition_fields> {};
struct union_definition
    : pegtl::seq<union_word, needed_name, definition_const_directives, definition_members> {};
struct enum_definition : pegtl::seq<enum_word, needed_name, definition_const_directives, definition_values> {
};
struct input_definition
    : pegtl::seq<input_word, needed_name, definition_const_directives, definition_inputs> {};
struct directive_definition
    : pegtl::seq<directive_word, pegtl::must<p<'@'>>, needed_name, definition_arguments,
                 pegtl::opt<repeatable_word>, pegtl::must<on>, definition_locations> {};
struct extendable : pegtl::sor<schema_definition, scalar_definition, object_definition, interface_definition,
                               union_definition, enum_definition, input_definition> {};
struct definition_begin : pegtl::success {};
struct definition_end : pegtl::success {};
struct definition_description : pegtl::seq<string_token> {};
struct described : pegtl::if_must<definition_description, pegtl::sor<extendable, directive_definition>> {};
struct extension : pegtl::if_must<extend_word, extendable> {};
struct definition : pegtl::seq<definition_begin,
                               pegtl::sor<definition_selections, operation, fragment, extension, described,
                                          extendable, directive_definition>,
                               definition_end> {};
struct document
    : pegtl::seq<ignored, pegtl::must<pegtl::plus<pegtl::not_at<pegtl::eof>, pegtl::must<definition>>>,
                 pegtl::must<pegtl::eof>> {};

// NOLINTEND(readability-identifier-naming)

// ---- strings
void put_utf8(std::string& out, std::uint32_t c) {
  if (c < 0x80) return out.push_back(static_cast<char>(c));
  const auto tail = [&](int shift) { out.push_back(static_cast<char>(0x80 | (c >> shift & 0x3f))); };
  if (c < 0x800) {
    out.push_back(static_cast<char>(0xc0 | c >> 6));
  } else if (c < 0x10000) {
    out.push_back(static_cast<char>(0xe0 | c >> 12));
    tail(6);
  } else {
    out.push_back(static_cast<char>(0xf0 | c >> 18));
    tail(12);
    tail(6);
  }
  tail(0);
}

// The code unit or point after "\u", and the bytes that it takes; none: malformed.
std::optional<std::pair<std::uint32_t, std::size_t>> read_unicode(std::string_view text) {
  const bool braced = text.starts_with("{");
  const auto end = braced ? text.find('}') : 4;
  if (end == std::string_view::npos || end > text.size() || (braced && (end < 2 || end > 9)))
    return std::nullopt;
  std::uint32_t c = 0;
  for (std::size_t i = braced ? 1 : 0; i < end; ++i) {
    const char d = text[i];
    const int digit = d >= '0' && d <= '9'   ? d - '0'
                      : d >= 'a' && d <= 'f' ? d - 'a' + 10
                      : d >= 'A' && d <= 'F' ? d - 'A' + 10
                                             : -1;
    if (digit < 0) return std::nullopt;
    c = c << 4 | static_cast<std::uint32_t>(digit);
  }
  return std::pair{c, braced ? end + 1 : end};
}

std::string decode(std::string_view raw, Location at) {
  std::string out;
  const auto wrong = [at](const char* what) { throw Fault{at, std::string("a string with ") + what}; };
  while (!raw.empty()) {
    const auto slash = raw.find('\\');
    out += raw.substr(0, slash);
    if (slash == std::string_view::npos) break;
    const char c = raw[slash + 1];
    raw.remove_prefix(slash + 2);
    constexpr std::string_view plain = "\"\\/bfnrt", means = "\"\\/\b\f\n\r\t";
    if (const auto known = plain.find(c); known != std::string_view::npos) {
      out.push_back(means[known]);
      continue;
    }
    if (c != 'u') wrong("an unknown escape");
    auto unit = read_unicode(raw);
    if (!unit) wrong("a malformed Unicode escape");
    const bool braced = raw.starts_with("{");
    raw.remove_prefix(unit->second);
    auto point = unit->first;
    if (!braced && point >= 0xd800 && point <= 0xdbff && raw.starts_with("\\u")) {
      const auto low = read_unicode(raw.substr(2));
      if (low && !raw.substr(2).starts_with("{") && low->first >= 0xdc00 && low->first <= 0xdfff) {
        point = 0x10000 + ((point - 0xd800) << 10) + (low->first - 0xdc00);
        raw.remove_prefix(2 + low->second);
      }
    }
    if (point > 0x10ffff || (point >= 0xd800 && point <= 0xdfff)) wrong("a surrogate without its other half");
    put_utf8(out, point);
  }
  return out;
}

// BlockStringValue() of the specification, section 2.9.4.
std::string block_value(std::string_view raw) {
  std::vector<std::string> lines(1);
  for (std::size_t i = 0; i < raw.size(); ++i) {
    if (raw.substr(i).starts_with("\\\"\"\"")) {
      lines.back() += "\"\"\"";
      i += 3;
    } else if (raw[i] == '\n' || raw[i] == '\r') {
      if (raw[i] == '\r' && raw.substr(i).starts_with("\r\n")) ++i;
      lines.emplace_back();
    } else {
      lines.back().push_back(raw[i]);
    }
  }
  const auto indent = [](const std::string& line) { return line.find_first_not_of(" \t"); };
  auto common = std::string::npos;
  for (std::size_t i = 1; i < lines.size(); ++i) common = std::min(common, indent(lines[i]));
  if (common != std::string::npos)
    for (std::size_t i = 1; i < lines.size(); ++i) lines[i].erase(0, common);
  const auto blank = [&](const std::string& line) { return indent(line) == std::string::npos; };
  const auto first = std::ranges::find_if_not(lines, blank);
  const auto last = std::find_if_not(lines.rbegin(), lines.rend(), blank).base();
  std::string out;
  for (auto line = first; line < last; ++line) out += (line == first ? "" : "\n") + *line;
  return out;
}

// ---- actions
template <class Rule>
struct Action : pegtl::nothing<Rule> {};

// Written so that an action is one line of what it builds.
#define HERONWELL_ON(rule)                                           \
  template <>                                                        \
  struct Action<rule> {                                              \
    template <class Input>                                           \
    static void apply([[maybe_unused]] const Input& in, Builder& b); \
  };                                                                 \
  template <class Input>                                             \
  void Action<rule>::apply([[maybe_unused]] const Input& in, Builder& b)

HERONWELL_ON(name_text) {
  b.name = in.string_view();
  b.name_at = place(in, b);
  b.token(b.name_at);
}
HERONWELL_ON(number_text) {
  b.text = in.string_view();
  b.text_at = place(in, b);
  b.token(b.text_at);
}
HERONWELL_ON(string_raw) {
  b.text_at = place(in, b);
  b.token(b.text_at);
  b.text = in.string_view();
  if (b.text.find('\\') != std::string_view::npos) b.text = b.keep_text(decode(b.text, b.text_at));
}
HERONWELL_ON(block_raw) {
  b.text_at = place(in, b);
  b.token(b.text_at);
  b.text = b.keep_text(block_value(in.string_view()));
}
HERONWELL_ON(variable_value) {
  if (b.constant > 0) throw Fault{place(in, b), "a variable where only constants may stand"};
  b.value = {ValueKind::variable, place(in, b), b.name, {}, {}};
}
HERONWELL_ON(number_value) {
  const bool whole_number = b.text.find_first_of(".eE") == std::string_view::npos;
  b.value = {whole_number ? ValueKind::integer : ValueKind::floating, b.text_at, b.text, {}, {}};
}
HERONWELL_ON(string_value) { b.value = {ValueKind::string, place(in, b), b.text, {}, {}}; }
HERONWELL_ON(name_value) {
  const auto kind = b.name == "true" || b.name == "false" ? ValueKind::boolean
                    : b.name == "null"                    ? ValueKind::null
                                                          : ValueKind::enumeration;
  b.value = {kind, b.name_at, b.name, {}, {}};
}
HERONWELL_ON(list_open) {
  b.token(place(in, b));
  b.openers.push_back({ValueKind::list, place(in, b), {}, {}, {}});
  b.values.open();
}
HERONWELL_ON(list_item) { b.values.all.push_back(b.value); }
HERONWELL_ON(list_value) {
  b.value = b.openers.back();
  b.openers.pop_back();
  b.value.items = b.close(b.values);
}
HERONWELL_ON(object_open) {
  b.token(place(in, b));
  b.openers.push_back({ValueKind::object, place(in, b), {}, {}, {}});
  b.fields.open();
}
HERONWELL_ON(object_key) { b.names.emplace_back(b.name, b.name_at); }
HERONWELL_ON(object_field) {
  b.fields.all.push_back({b.names.back().first, b.names.back().second, b.value});
  b.names.pop_back();
}
HERONWELL_ON(object_value) {
  b.value = b.openers.back();
  b.openers.pop_back();
  b.value.fields = b.close(b.fields);
}
HERONWELL_ON(constant_on) { ++b.constant; }
HERONWELL_ON(constant_off) { --b.constant; }
HERONWELL_ON(arguments_open) { b.fields.open(); }
HERONWELL_ON(argument) { Action<object_field>::apply(in, b); }
HERONWELL_ON(directives_open) { b.directives.open(); }
HERONWELL_ON(directive_name) {
  b.count(b.directives_seen, b.limits().directives, "directives", place(in, b));
  b.directives.all.push_back({b.name, place(in, b), {}});
}
HERONWELL_ON(directive) { b.directives.all.back().arguments = b.close(b.fields); }
HERONWELL_ON(named_type) { b.type_stack.push_back({b.name, nullptr, false, b.name_at}); }
HERONWELL_ON(list_type) {
  const TypeRef list{{}, b.keep(b.type_stack.back()), false, place(in, b)};
  b.type_stack.back() = list;
}
HERONWELL_ON(non_null) { b.type_stack.back().non_null = true; }
TypeRef pop_type(Builder& b) {
  const auto type = b.type_stack.back();
  b.type_stack.pop_back();
  return type;
}

HERONWELL_ON(field_name) {
  b.count(b.fields_seen, b.limits().fields, "fields", b.name_at);
  Selection field;
  field.at = b.name_at;
  field.name = b.name;
  b.open_selections.push_back(field);
}
HERONWELL_ON(field_rename) {
  b.count(b.aliases, b.limits().aliases, "aliases", b.name_at);
  auto& field = b.open_selections.back();
  field.alias = field.name;
  field.name = b.name;
}
HERONWELL_ON(field_arguments) { b.open_selections.back().arguments = b.close(b.fields); }
HERONWELL_ON(selection_directives) { b.open_selections.back().directives = b.close(b.directives); }
HERONWELL_ON(dots_open) {
  b.token(place(in, b));
  Selection fragment;
  fragment.kind = SelectionKind::inline_fragment;
  fragment.at = place(in, b);
  b.open_selections.push_back(fragment);
}
HERONWELL_ON(condition) {
  b.open_selections.back().on = b.name;
  b.open_selections.back().on_at = b.name_at;
}
HERONWELL_ON(spread_name) {
  b.open_selections.back().kind = SelectionKind::spread;
  b.open_selections.back().name = b.name;
  b.open_selections.back().on_at = b.name_at;
}
HERONWELL_ON(selections_open) {
  b.token(place(in, b));
  b.selections.open();
}
HERONWELL_ON(leaf) { b.selections.open(); }
HERONWELL_ON(selection_end) {
  auto selection = b.open_selections.back();
  b.open_selections.pop_back();
  selection.selections = b.close(b.selections);
  b.selections.all.push_back(selection);
}

HERONWELL_ON(variable_name) { b.names.emplace_back(b.name, place(in, b)); }
HERONWELL_ON(default_value) { b.fallbacks.push_back(b.keep(b.value)); }
HERONWELL_ON(no_default) { b.fallbacks.push_back(nullptr); }
const Value* pop_fallback(Builder& b) {
  const auto* fallback = b.fallbacks.back();
  b.fallbacks.pop_back();
  return fallback;
}
HERONWELL_ON(variable_definition) {
  b.variables.all.push_back(
      {b.names.back().first, b.names.back().second, pop_type(b), pop_fallback(b), b.close(b.directives)});
  b.names.pop_back();
}
HERONWELL_ON(variables_open) { b.variables.open(); }
HERONWELL_ON(variables) { b.definition.variables = b.close(b.variables); }

HERONWELL_ON(definition_begin) {
  b.definition = {};
  b.definition.at = place(in, b);
}
HERONWELL_ON(definition_end) { b.definitions.all.push_back(b.definition); }
HERONWELL_ON(definition_name) { b.definition.name = b.name; }
HERONWELL_ON(fragment_name) { b.definition.name = b.name; }
HERONWELL_ON(fragment_on) {
  b.definition.on = b.name;
  b.definition.on_at = b.name_at;
}
HERONWELL_ON(definition_directives) { b.definition.directives = b.close(b.directives); }
HERONWELL_ON(definition_const_directives) { b.definition.directives = b.close(b.directives); }
HERONWELL_ON(definition_selections) { b.definition.selections = b.close(b.selections); }
HERONWELL_ON(definition_description) { b.definition.description = b.text; }
HERONWELL_ON(definition_fields) { b.definition.fields = b.close(b.field_definitions); }
HERONWELL_ON(definition_inputs) { b.definition.inputs = b.close(b.inputs); }
HERONWELL_ON(definition_arguments) { b.definition.inputs = b.close(b.inputs); }
HERONWELL_ON(definition_values) { b.definition.values = b.close(b.enum_values); }
HERONWELL_ON(definition_implements) { b.definition.types = b.close(b.types); }
HERONWELL_ON(definition_members) { b.definition.types = b.close(b.types); }
HERONWELL_ON(definition_operations) { b.definition.types = b.close(b.types); }
HERONWELL_ON(definition_locations) { b.definition.types = b.close(b.types); }
#define HERONWELL_KIND(rule, which) \
  HERONWELL_ON(rule) { b.definition.kind = DefinitionKind::which; }
HERONWELL_KIND(query_word, query)
HERONWELL_KIND(mutation_word, mutation)
HERONWELL_KIND(subscription_word, subscription)
HERONWELL_KIND(fragment_word, fragment)
HERONWELL_KIND(schema_word, schema)
HERONWELL_KIND(scalar_word, scalar)
HERONWELL_KIND(type_word, object)
HERONWELL_KIND(interface_word, interface)
HERONWELL_KIND(union_word, union_type)
HERONWELL_KIND(enum_word, enumeration)
HERONWELL_KIND(input_word, input)
HERONWELL_KIND(directive_word, directive)
#undef HERONWELL_KIND
HERONWELL_ON(extend_word) { b.definition.extends = true; }
HERONWELL_ON(repeatable_word) { b.definition.repeatable = true; }

HERONWELL_ON(description) { b.description = b.text; }
HERONWELL_ON(member_description) { b.descriptions.push_back(std::exchange(b.description, {})); }
HERONWELL_ON(member_name) { b.names.emplace_back(b.name, b.name_at); }
template <class T>
T member(Builder& b) {
  T made;
  made.description = b.descriptions.back();
  std::tie(made.name, made.at) = b.names.back();
  b.descriptions.pop_back();
  b.names.pop_back();
  return made;
}
HERONWELL_ON(inputs_open) { b.inputs.open(); }
HERONWELL_ON(input_value) {
  auto made = member<InputValue>(b);
  made.type = pop_type(b);
  made.fallback = pop_fallback(b);
  made.directives = b.close(b.directives);
  b.inputs.all.push_back(made);
}
HERONWELL_ON(fields_open) { b.field_definitions.open(); }
HERONWELL_ON(field_definition) {
  auto made = member<FieldDefinition>(b);
  made.arguments = b.close(b.inputs);
  made.type = pop_type(b);
  made.directives = b.close(b.directives);
  b.field_definitions.all.push_back(made);
}
HERONWELL_ON(enum_open) { b.enum_values.open(); }
HERONWELL_ON(enum_value) {
  auto made = member<EnumValue>(b);
  made.directives = b.close(b.directives);
  b.enum_values.all.push_back(made);
}
HERONWELL_ON(types_open) { b.types.open(); }
HERONWELL_ON(listed_type) { b.types.all.push_back({b.name, b.name_at, {}}); }
HERONWELL_ON(operation_type_word) { b.names.emplace_back(b.name, b.name_at); }
HERONWELL_ON(operation_type) {
  b.types.all.push_back({b.name, b.name_at, b.names.back().first});
  b.names.pop_back();
}
#undef HERONWELL_ON

}  // namespace

Document parse(std::string_view text, const Limits& limits) {
  if (text.size() > limits.bytes) throw Error({1, 1}, fmt::format("more than {} bytes", limits.bytes));
  Document document;
  document.arena_ =
      std::make_unique<std::pmr::monotonic_buffer_resource>(std::max<std::size_t>(1024, 4 * text.size()));
  auto* copy = static_cast<char*>(document.arena_->allocate(text.size() + 1, 1));
  std::copy(text.begin(), text.end(), copy);
  document.text = {copy, text.size()};
  Builder builder(*document.arena_, limits, copy);
  builder.definitions.open();
  pegtl::memory_input<pegtl::tracking_mode::lazy, pegtl::eol::lf> in(document.text.data(),
                                                                     document.text.size(), "");
  try {
    pegtl::parse<graphql::document, Action>(in, builder);
  } catch (const Fault& fault) {
    throw Error(place_of(document.text, fault.at), fault.what);
  } catch (const pegtl::parse_error& error) {
    const auto& at = error.positions().front();
    const auto rest = document.text.substr(std::min<std::size_t>(at.byte, document.text.size()));
    const auto near = rest.substr(0, rest.find_first_of(" \t\r\n,", 1)).substr(0, 20);
    throw Error({static_cast<std::uint32_t>(at.line), static_cast<std::uint32_t>(at.column)},
                rest.empty()                         ? "syntax error: unexpected end"
                : rest[0] == '\n' || rest[0] == '\r' ? "syntax error near the end of a line"
                                                     : fmt::format("syntax error near \"{}\"", near));
  }
  document.definitions = builder.close(builder.definitions);
  return document;
}

}  // namespace heronwell::graphql
