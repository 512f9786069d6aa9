#include "graphql/schema.hpp"

#include <gtest/gtest.h>

namespace heronwell::graphql {
namespace {

std::string told(std::string_view sdl) {
  try {
    Schema schema(sdl);
  } catch (const SchemaError& error) {
    return error.what();
  }
  return "";
}

TEST(SchemaTest, IsMergedFromDefinitionsAndExtensions) {
  const Schema schema(R"(
    type Query { route(gate: ID!): Step }
    interface Node { id: ID! }
    type Step implements Node { id: ID! text: String }
    union Place = Step
    extend type Step { metres: Int! }
    extend union Place = Gate
    type Gate implements Node { id: ID! open: Boolean }
    schema { query: Query })");
  EXPECT_EQ(schema.type("Step")->fields.size(), 3U);
  EXPECT_EQ(schema.type("Node")->possible, (std::set<std::string_view>{"Gate", "Step"}));
  EXPECT_EQ(schema.type("Place")->possible, (std::set<std::string_view>{"Gate", "Step"}));
  EXPECT_EQ(schema.root(DefinitionKind::mutation), nullptr);
  const auto& query = *schema.root(DefinitionKind::query);
  EXPECT_NE(schema.field(query, "__schema"), nullptr);
  EXPECT_EQ(schema.field(*schema.type("Step"), "__schema"), nullptr);
  EXPECT_NE(schema.field(*schema.type("Place"), "__typename"), nullptr);
  EXPECT_EQ(text_of(schema.type("Step")->field("metres")->type), "Int!");
}

struct Case {
  const char* sdl;
  const char* told;
};
class SchemaErrors : public testing::TestWithParam<Case> {};
TEST_P(SchemaErrors, NameTheirPlace) { EXPECT_EQ(told(GetParam().sdl), GetParam().told); }
INSTANTIATE_TEST_SUITE_P(
    , SchemaErrors,
    testing::Values(Case{"type Query{a:Int}", ""}, Case{"type A{a:Int}", "1:1: no query type"},
                    Case{"type Query{a:}", "1:14: syntax error near \"}\""},
                    Case{"type Query{a:Intt}", "1:14: unknown type \"Intt\""},
                    Case{"type Query{a:Int a:Int}", "1:18: field \"Query.a\" is defined twice"},
                    Case{"type Query{a:Int}\ntype Query{b:Int}", "2:1: type \"Query\" is defined twice"},
                    Case{"type Query{a:I}input I{a:Int}", "1:14: \"I\" is no type for output"},
                    Case{"type Query{a(b:Query):Int}", "1:16: \"Query\" is no type for input"},
                    Case{"type Query{a(b:Int b:Int):Int}", "1:20: argument \"b\" is defined twice"},
                    Case{"type Query{a:Int}enum E{A A}", "1:27: value \"E.A\" is defined twice"},
                    Case{"type Query{a:Int}enum E{true}", "1:25: \"true\" can't be a value of an enum"},
                    Case{"type Query{a:Int}union U=Int", "1:18: member \"Int\" of \"U\" is no object type"},
                    Case{"type Query{__a:Int}", "1:12: \"__a\": names with __ are introspection's"},
                    Case{"type Query", "1:1: \"Query\" has nothing in it"},
                    Case{"type Query{a:Int}extend type T{b:Int}",
                         "1:18: extends \"T\", which is no such type"},
                    Case{"{a}type Query{a:Int}", "1:1: an operation or fragment in a schema"},
                    Case{"type Query implements I{a:Int}interface I{b:Int}",
                         "1:1: \"Query\" lacks field \"b\" of interface \"I\""},
                    Case{"type Query implements I{b:Int}interface I{b:Int!}",
                         "1:25: \"Query.b\" is Int, where interface \"I\" has Int!"},
                    Case{"type Query implements I{b:Query}interface I{b:I}", ""},
                    Case{"type Query implements I{b(x:Int!):Int}interface I{b:Int}",
                         "1:27: argument \"x\" is required, but not of interface \"I\""},
                    Case{"type Query implements I{b:Int}interface I{b(x:Int):Int}",
                         "1:25: \"Query.b\" lacks argument \"x: Int\" of interface \"I\""},
                    Case{"schema{query:Q}union Q=Q",
                         "1:16: \"Q\" is an operation's root and no object type\n1:16: member \"Q\" of \"Q\" "
                         "is no object type"},
                    Case{"type Query{a:Int}directive@d on FIELD directive@d on FIELD",
                         "1:39: directive \"@d\" is defined twice"}));

}  // namespace
}  // namespace heronwell::graphql
