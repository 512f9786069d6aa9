#include "graphql/validate.hpp"

#include <gtest/gtest.h>

namespace heronwell::graphql {
namespace {

const Schema& schema() {
  static const Schema one(R"(
    directive @many(n: Int) repeatable on FIELD
    scalar Any
    enum Kind { SHOP GATE }
    input Filter { kind: Kind = SHOP, ids: [ID!]!, near: Filter, any: Any }
    interface Place { id: ID! name(lang: String = "en"): String }
    type Shop implements Place { id: ID! name(lang: String = "en"): String open: Boolean! level: Int }
    type Gate implements Place { id: ID! name(lang: String = "en"): String open: String level: Int! }
    union Found = Shop | Gate
    type Lone { x: Int }
    type Query { place(id: ID!): Place find(filter: Filter, first: Int! = 10): [Found!]! shop: Shop lone: Lone number(f: Float, b: Boolean, l: [Int], a: Any): Int }
    type Mutation { load(floor: Int!): Boolean }
    type Subscription { moved: Place other: Place })");
  return one;
}
std::string told(std::string_view text) {
  std::string out;
  for (const auto& v : validate(schema(), parse(text)))
    out += (out.empty() ? "" : "; ") + v.rule.substr(0, v.rule.find(' ')) + " " +
           std::to_string(v.places.at(0).column) + " " + v.message;
  return out;
}

struct Case {
  const char* text;
  const char* told;
};
class Rules : public testing::TestWithParam<Case> {};
TEST_P(Rules, Hold) { EXPECT_EQ(told(GetParam().text), GetParam().told); }
INSTANTIATE_TEST_SUITE_P(
    , Rules,
    testing::Values(
        Case{"{shop{id}}", ""}, Case{"{__schema{types{name}}__type(name:\"Shop\"){name}__typename}", ""},
        Case{"mutation{load(floor:1)}", ""},
        Case{"{shop{id}}type T{a:Int}", "5.1.1 11 \"T\" is no operation or fragment"},
        Case{"query A{shop{id}}query A{shop{id}}", "5.2.1.1 1 operation \"A\" is defined twice"},
        Case{"{shop{id}}query A{shop{id}}", "5.2.2.1 1 an anonymous operation beside others"},
        Case{"subscription{moved{id}other{id}}",
             "5.2.3.1 1 a subscription has one field, and none of introspection"},
        Case{"subscription{moved{id}}", ""}, Case{"{shopp{id}}", "5.3.1 2 \"Query\" has no field \"shopp\""},
        Case{"{place(id:1){open}}", "5.3.1 14 \"Place\" has no field \"open\""},
        Case{"{find(filter:{ids:[]}){id}}", "5.3.1 24 \"Found\" has no field \"id\""},
        Case{"{shop{__schema{types{name}}}}", "5.3.1 7 \"Shop\" has no field \"__schema\""},
        Case{"{shop}", "5.3.3 2 \"shop\" is a Shop; name its fields"},
        Case{"{shop{id{x}}}", "5.3.3 7 \"id\" is a ID! and has no fields"},
        // merging
        Case{"{shop{id id}shop{level}}", ""},
        Case{"{a:shop{id}a:lone{x}}", "5.3.2 2 \"a\" stands for \"shop\" and \"lone\""},
        Case{"{shop{name(lang:\"a\")name(lang:\"b\")}}",
             "5.3.2 7 \"name\" stands for one field with differing arguments"},
        Case{"{shop{name(lang:\"a\")name(lang:\"a\")}}", ""},
        Case{"{shop{n:name n:id}}",
             "5.3.2 7 \"n\" stands for String and ID!; 5.3.2 7 \"n\" stands for \"name\" and \"id\""},
        Case{"{find(filter:{ids:[]}){...on Shop{o:open}...on Gate{o:open}}}",
             "5.3.2 35 \"o\" stands for Boolean! and String"},
        Case{"{find(filter:{ids:[]}){...on Shop{n:name(lang:\"a\")}...on Gate{n:name(lang:\"b\")}}}", ""},
        Case{"{place(id:1){n:id ...on Shop{n:name}}}",
             "5.3.2 14 \"n\" stands for ID! and String; 5.3.2 30 \"n\" stands for \"name\" and \"id\""},
        Case{"{shop{id}...F}fragment F on Query{shop{id:level}}",
             "5.3.2 7 \"id\" stands for ID! and Int; 5.3.2 7 \"id\" stands for \"id\" and \"level\""},
        // arguments
        Case{"{place(ix:1,id:2){id}}", "5.4.1 8 \"place\" has no argument \"ix\""},
        Case{"{place(id:1,id:1){id}}", "5.4.2 13 argument \"id\" is given twice"},
        Case{"{place{id}}", "5.4.2.1 2 \"place\" needs argument \"id: ID!\""},
        Case{"{place(id:null){id}}", "5.6.1 11 expected ID!, not null"},
        Case{"{shop{id @skip}}", "5.4.2.1 10 \"skip\" needs argument \"if: Boolean!\""},
        // fragments
        Case{"{...F}fragment F on Query{shop{id}}fragment F on Query{shop{id}}",
             "5.5.1.1 7 fragment \"F\" is defined twice"},
        Case{"{...F}fragment F on Nope{id}", "5.5.1.2 21 unknown type \"Nope\""},
        Case{"{shop{...on Int{id}}}", "5.5.1.3 13 \"Int\" has no fields"},
        Case{"{shop{id}}fragment F on Shop{id}", "5.5.1.4 11 fragment \"F\" is never used"},
        Case{"{...F}", "5.5.2.1 5 unknown fragment \"F\""},
        Case{"{shop{...F}}fragment F on Shop{...G}fragment G on Shop{...F}",
             "5.5.2.2 56 fragment \"F\" spreads itself"},
        Case{"{shop{...on Gate{id}}}", "5.5.2.3 7 \"Shop\" can never be \"Gate\""},
        Case{"{shop{...on Place{id}}place(id:1){...on Shop{level}}}", ""},
        Case{"{shop{...F}}fragment F on Lone{x}", "5.5.2.3 7 \"Shop\" can never be \"Lone\""},
        // values
        Case{"{number(f:1,b:true,l:[1,null],a:{x:[1,\"y\"]})}", ""}, Case{"{number(l:1)}", ""},
        Case{"{number(l:[1,\"x\"])}", "5.6.1 14 expected Int, not a string"},
        Case{"{number(f:\"1\")}", "5.6.1 11 expected Float, not a string"},
        Case{"{number(b:1)}", "5.6.1 11 expected Boolean, not 1"},
        Case{"{find(first:2147483648){__typename}}", "5.6.1 13 expected Int!, not 2147483648"},
        Case{"{find(filter:{ids:[1],kind:HOUSE}){__typename}}", "5.6.1 28 expected Kind, not HOUSE"},
        Case{"{find(filter:{ids:[1],kind:\"SHOP\"}){__typename}}", "5.6.1 28 expected Kind, not a string"},
        Case{"{find(filter:3){__typename}}", "5.6.1 14 expected Filter, not 3"},
        Case{"{find(filter:{ids:[],x:1}){__typename}}", "5.6.2 22 \"Filter\" has no field \"x\""},
        Case{"{find(filter:{ids:[],ids:[]}){__typename}}", "5.6.3 22 field \"ids\" is given twice"},
        Case{"{find(filter:{near:{ids:[]}}){__typename}}", "5.6.4 14 \"Filter\" needs field \"ids: [ID!]!\""},
        // directives
        Case{"{shop@nope{id}}", "5.7.1 6 unknown directive \"@nope\""},
        Case{"query@skip(if:true){shop{id}}", "5.7.2 6 \"@skip\" can't stand at QUERY"},
        Case{"{shop@skip(if:true)@skip(if:false){id}}", "5.7.3 6 \"@skip\" stands twice"},
        Case{"{shop@many(n:1)@many(n:2){id}}", ""},
        Case{"{...@include(if:true){shop{id}}...F@skip(if:false)}fragment F on Query{lone{x}}", ""},
        // variables
        Case{"query($a:ID!,$a:ID!){place(id:$a){id}}", "5.8.1 14 variable \"$a\" is defined twice"},
        Case{"query($a:Shop){number(a:$a)}",
             "5.8.2 10 \"$a\" is of \"Shop\", which is no type for input; 5.8.5 7 \"$a\" is Shop, where Any "
             "stands"},
        Case{"{place(id:$a){id}}", "5.8.3 11 variable \"$a\" is not defined"},
        Case{"query($a:ID!){shop{id}}", "5.8.4 7 variable \"$a\" is never used"},
        Case{"query($a:ID){place(id:$a){id}}", "5.8.5 7 \"$a\" is ID, where ID! stands"},
        Case{"query($a:ID=\"x\"){place(id:$a){id}}", ""},
        Case{"query($a:ID=null){place(id:$a){id}}", "5.8.5 7 \"$a\" is ID, where ID! stands"},
        Case{"query($n:Int){find(first:$n){__typename}}", ""},
        Case{"query($i:[ID!]!){find(filter:{ids:$i}){__typename}}", ""},
        Case{"query($i:ID!){find(filter:{ids:[$i]}){__typename}}", ""},
        Case{"query($i:[ID]!){find(filter:{ids:$i}){__typename}}",
             "5.8.5 7 \"$i\" is [ID]!, where [ID!]! stands"},
        Case{"query($f:Int=\"x\"){find(first:$f){__typename}}", "5.6.1 14 expected Int, not a string"},
        Case{"query A($a:ID!){...F}query B{...F}fragment F on Query{place(id:$a){id}}",
             "5.8.3 64 variable \"$a\" is not defined"},
        Case{"query($b:Boolean!){shop@skip(if:$b){id}...@include(if:$b){lone{x}}}", ""},
        Case{"query($x:Int){number(a:{deep:[$x]})}", ""}));

TEST(Merging, OfHostileDocumentsIsBounded) {
  std::string text = "{";
  for (int i = 0; i < 1900; ++i) text += "shop{id}";
  EXPECT_EQ(told(text + "}"), "");
}

}  // namespace
}  // namespace heronwell::graphql
