#include "graphql/binding.hpp"

#include <fmt/format.h>

#include "run.hpp"

namespace heronwell::graphql {
namespace {

struct Text {
  const char* sql;
  const char* out;  // text, then names
};
class Templates : public testing::TestWithParam<Text> {};
TEST_P(Templates, AreRead) {
  const auto read = read_template(GetParam().sql);
  std::string out = read.wrong.empty() ? read.text : "! " + read.wrong;
  for (const auto& path : read.names) out += fmt::format(" <{}>", fmt::join(path, "."));
  EXPECT_EQ(out, GetParam().out);
}
INSTANTIATE_TEST_SUITE_P(
    , Templates,
    testing::Values(Text{"select 1", "select 1"}, Text{"a = :id and b = :id", "a = $1 and b = $1 <id>"},
                    Text{":a,:b,:a", "$1,$2,$1 <a> <b>"}, Text{":near.floor.id", "$1 <near.floor.id>"},
                    Text{":id.", "$1. <id>"}, Text{"x::int = :id::int", "x::int = $1::int <id>"},
                    Text{"':id' \":id\" /* :id /* :b */ */ -- :id\n:id",
                         "':id' \":id\" /* :id /* :b */ */ -- :id\n$1 <id>"},
                    Text{"'it''s :id' :id", "'it''s :id' $1 <id>"},
                    Text{"E'a\\' :id' :id", "E'a\\' :id' $1 <id>"},
                    Text{"$$ :id $$ $q$ :id $$ $q$ :id", "$$ :id $$ $q$ :id $$ $q$ $1 <id>"},
                    Text{"a[1:n] || a[:n]", "a[1:n] || a[$1] <n>"}, Text{":=", ":="},
                    Text{"x := :id", "x := $1 <id>"},
                    Text{"'never", "! a text, quoted name or comment that never ends"},
                    Text{"/* never", "! a text, quoted name or comment that never ends"},
                    Text{"$$ never", "! a text, quoted name or comment that never ends"},
                    Text{"a = $1", "! parameters are written by name, such as :id"}));

struct Case {
  const char* field;  // of Query, or a whole schema if it has a "type"
  const char* told;
};
class Bindings : public testing::TestWithParam<Case> {};
TEST_P(Bindings, AreCheckedWithTheirPlace) {
  const std::string field = GetParam().field;
  std::string told;
  try {
    const Bound bound(field.find("type ") != std::string::npos ? field : "type Query{" + field + "}",
                      classes());
  } catch (const SchemaError& error) {
    told = error.what();
  }
  EXPECT_EQ(told, GetParam().told);
}
INSTANTIATE_TEST_SUITE_P(
    , Bindings,
    testing::Values(
        Case{"a:Int @sql(statement:\"x\" class:\"lookup\")", ""},
        Case{"a:Int", R"(1:12: "Query.a" has no @sql)"},
        Case{"a:Int @sql(statement:\"x\")", R"(1:18: "@sql" needs argument "class")"},
        Case{"a:Int @sql(statement:\" ;\" class:\"lookup\")", "1:33: an empty statement"},
        Case{"a:Int @sql(statement:\"x\" class:\"lokup\")",
             R"(1:43: unknown; the nearest known one is "lookup")"},
        Case{"a:Int @sql(statement:\"x\" class:\"load\")",
             R"(1:43: "load" may not be repeated, so only a mutation can have it)"},
        Case{"a:Int @sql(statement:\"x :b\" class:\"lookup\")", R"(1:33: ":b": "a" has no argument "b")"},
        Case{"a(b:Int):Int @sql(statement:\"x :b.c\" class:\"lookup\")",
             R"(1:40: ":b.c": Int has no field "c")"},
        Case{"a:Int @sql(statement:\"x :parents\" class:\"lookup\")",
             R"(1:33: ":parents" without "parent" and "by")"},
        Case{"a(parents:Int):Int @sql(statement:\"x :parents\" class:\"lookup\" parent:\"id\" by:\"id\")",
             "1:31: a root field has no parents\n1:46: \":parents\" is the router's own; name the argument "
             "otherwise"},
        Case{"a:Int @sql(statement:\"x\" class:\"lookup\" group:\"b\")",
             R"(1:58: ":b": "a" has no argument "b")"},
        Case{"a:Int @sql(statement:\"x\" class:\"lookup\" cost:\"20\")",
             "1:57: expected a duration such as 20ms"},
        Case{"a:Int @sql(statement:\"x\" class:\"lookup\" memory:\"20\")",
             "1:59: expected a size such as 64MiB"},
        Case{"a:Int @sql(statement:\"x\" class:\"lookup\" tenant:\"x\")",
             "1:59: expected \"header NAME\", \"argument PATH\" or \"name TENANT\""},
        Case{"a:[[Int]] @sql(statement:\"x\" class:\"lookup\")",
             "1:14: a statement's rows are one list, not lists in lists"},
        Case{"type Query{t:T @sql(statement:\"x\" class:\"lookup\")}type T{a:Int @sql(statement:\"y\" "
             "class:\"lookup\")}",
             "1:64: a child field's statement needs \"parent\" and \"by\": one statement for all parents"},
        Case{"type Query{t:T @sql(statement:\"x\" class:\"lookup\")}type T{a:Int @sql(statement:\"y\" "
             "class:\"lookup\" parent:\"i\" by:\"j\")}",
             R"(1:79: ":parents" is missing)"},
        Case{"type Query{t:T @sql(statement:\"x\" class:\"lookup\")}type T{a:[T]}",
             R"(1:58: "T.a" is a list of objects and has no @sql)"},
        Case{"type Query{t:T @sql(statement:\"x\" class:\"lookup\")}interface I{a:Int @sql(statement:\"y\" "
             "class:\"lookup\")}type T{a:T}",
             "1:69: @sql stands on fields of object types, not of interfaces"},
        Case{"type Query{a:Int @sql(statement:\"x\" class:\"lookup\")}type Subscription{a:Int}",
             "1:53: subscriptions are not served"}));

}  // namespace
}  // namespace heronwell::graphql
