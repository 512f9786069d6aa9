#include "graphql/document.hpp"

#include <gtest/gtest.h>

#include <chrono>

namespace heronwell::graphql {
namespace {

std::string told(std::string_view text, const Limits& limits = {}) {
  try {
    return print(parse(text, limits));
  } catch (const Error& error) {
    return std::to_string(error.place.line) + ":" + std::to_string(error.place.column) + " " + error.what();
  }
}

struct Case {
  const char* text;
  const char* told;  // printed, or place and error
};
class Documents : public testing::TestWithParam<Case> {};
TEST_P(Documents, AreReadAsTheSpecificationHasThem) {
  EXPECT_EQ(told(GetParam().text), GetParam().told);
  const bool wrong = GetParam().told[0] >= '0' && GetParam().told[0] <= '9';
  EXPECT_EQ(wrong ? GetParam().told : told(GetParam().told), GetParam().told)
      << "what is printed reads to the same";
}
INSTANTIATE_TEST_SUITE_P(
    Executable, Documents,
    testing::Values(
        Case{"{a}", "query { a }"}, Case{"query{a b,c}", "query { a b c }"},
        Case{"\xef\xbb\xbf{a}", "query { a }"}, Case{"# x\n{a # y\r\n}", "query { a }"},
        Case{"query Q{a{b{c}}}", "query Q { a { b { c } } }"},
        Case{"{a:b c:d(e:1){f}}", "query { a: b c: d(e: 1) { f } }"},
        Case{"mutation M{load(floor:7)}", "mutation M { load(floor: 7) }"},
        Case{"subscription{a}", "subscription { a }"},
        Case{"query($a:Int!=5,$b:[String!]!){x(a:$a,b:$b)}",
             "query($a: Int! = 5, $b: [String!]!) { x(a: $a, b: $b) }"},
        Case{"query($a:[[Int]!]=[[1],null]@d){x}", "query($a: [[Int]!] = [[1], null] @d) { x }"},
        Case{
            "{...F ...on T{a} ...{b} ...@include(if:true){c}}fragment F on T@d{x}",
            "query { ...F ... on T { a } ... { b } ... @include(if: true) { c } }\nfragment F on T @d { x }"},
        Case{
            "{a(i:-0,f:-1.5e+3,s:\"x\",b:true,n:null,e:RED,l:[],o:{p:{q:[1,2]}})}",
            "query { a(i: -0, f: -1.5e+3, s: \"x\", b: true, n: null, e: RED, l: [], o: {p: {q: [1, 2]}}) }"},
        Case{"{a @skip(if:$x)@include(if:false){b}}", "query { a @skip(if: $x) @include(if: false) { b } }"},
        Case{"{on fragment query true null type}", "query { on fragment query true null type }"},
        Case{"{a(s:\"\\u0041\\n\\\\\\\"\\/\")}", "query { a(s: \"A\\u000a\\\\\\\"/\") }"},
        Case{"{a(s:\"\\uD83D\\uDE00\\u{1F600}\")}", "query { a(s: \"\xf0\x9f\x98\x80\xf0\x9f\x98\x80\") }"},
        Case{"{a(s:\"\"\"\n    x\n      y\n\n    \\\"\"\"z\n  \"\"\")}",
             "query { a(s: \"x\\u000a  y\\u000a\\u000a\\\"\\\"\\\"z\") }"},
        Case{"{a(s:\"\"\"\"\"\")}", "query { a(s: \"\") }"}, Case{"{a(s:\"\")}", "query { a(s: \"\") }"},
        Case{"{a(x:123456789012345678901234567890)}", "query { a(x: 123456789012345678901234567890) }"}));
INSTANTIATE_TEST_SUITE_P(
    TypeSystem, Documents,
    testing::Values(Case{"schema@d{query:Q mutation:M}", "schema @d { query: Q mutation: M }"},
                    Case{"scalar Date@specifiedBy(url:\"u\")", "scalar Date @specifiedBy(url: \"u\")"},
                    Case{"\"d\"type T implements A&B@k{\"f\"a(\"x\"b:Int=1@e):[T!]!@g}",
                         "\"d\" type T implements A & B @k { \"f\" a(\"x\" b: Int = 1 @e): [T!]! @g }"},
                    Case{"type T", "type T"},
                    Case{"interface I implements&J{a:Int}", "interface I implements J { a: Int }"},
                    Case{"union U=|A|B", "union U = A | B"},
                    Case{"enum E{\"r\"RED@d GREEN}", "enum E { \"r\" RED @d GREEN }"},
                    Case{"input I{a:Int=1 b:[I]={a:2}}", "input I { a: Int = 1 b: [I] = {a: 2} }"},
                    Case{"directive@a(b:Int)repeatable on|FIELD|QUERY",
                         "directive @a(b: Int) repeatable on FIELD | QUERY"},
                    Case{"extend type T{b:Int}extend schema{subscription:S}extend union U=C",
                         "extend type T { b: Int }\nextend schema { subscription: S }\nextend union U = C"},
                    Case{"\"\"\"\n  many\n  lines\n\"\"\"scalar S", "\"many\\u000alines\" scalar S"}));
INSTANTIATE_TEST_SUITE_P(
    Wrong, Documents,
    testing::Values(
        Case{"", "1:1 syntax error: unexpected end"}, Case{"{", "1:2 syntax error: unexpected end"},
        Case{"{}", "1:2 syntax error near \"}\""}, Case{"{a", "1:3 syntax error: unexpected end"},
        Case{"{a}}", "1:4 syntax error near \"}\""}, Case{"{a(}", "1:4 syntax error near \"}\""},
        Case{"{a()}", "1:4 syntax error near \")}\""}, Case{"{a:}", "1:4 syntax error near \"}\""},
        Case{"{\n  a(b:)\n}", "2:7 syntax error near \")\""},
        Case{"{a(x:01)}", "1:7 syntax error near \"1)}\""},
        Case{"{a(x:1.)}", "1:7 syntax error near \".)}\""},
        Case{"{a(x:1a)}", "1:7 syntax error near \"a)}\""},
        Case{"{a(x:+1)}", "1:6 syntax error near \"+1)}\""},
        Case{"{a(s:\"x)}", "1:10 syntax error: unexpected end"},
        Case{"{a(s:\"x\n\")}", "1:8 syntax error near the end of a line"},
        Case{"{a(s:\"\\q\")}", "1:7 a string with an unknown escape"},
        Case{"{a(s:\"\\uD800\")}", "1:7 a string with a surrogate without its other half"},
        Case{"{a(s:\"\\u12\")}", "1:7 a string with a malformed Unicode escape"},
        Case{"{a(s:\"\\u{110000}\")}", "1:7 a string with a surrogate without its other half"},
        Case{"{a(s:\"\"\"x)}", "1:9 syntax error near \"x)}\""},
        Case{"fragment on on T{a}", "1:10 syntax error near \"on\""},
        Case{"{...on}", "1:7 syntax error near \"}\""},
        Case{"query($a:Int=$b){x}", "1:14 a variable where only constants may stand"},
        Case{"query(){x}", "1:7 syntax error near \"){x}\""},
        Case{"{a}type", "1:8 syntax error: unexpected end"}, Case{"enum E{}", "1:8 syntax error near \"}\""},
        Case{"{a ?}", "1:4 syntax error near \"?}\""},
        Case{"\"d\"query{a}", "1:4 syntax error near \"query{a}\""},
        Case{"{a(o:{b})}", "1:8 syntax error near \"})}\""},
        Case{"query Q($a){x}", "1:11 syntax error near \"){x}\""}));

TEST(Locations, AreThoseOfTheNodes) {
  const auto d = parse("{\n  a: b(c: [1,\n 2]) @d\n}");
  const auto& field = d.definitions[0].selections[0];
  EXPECT_EQ(place_of(d.text, field.at).line, 2U);
  EXPECT_EQ(place_of(d.text, field.at).column, 3U);
  EXPECT_EQ(field.key(), "a");
  EXPECT_EQ(place_of(d.text, field.arguments[0].value.items[1].at).line, 3U);
  EXPECT_EQ(place_of(d.text, field.directives[0].at).column, 6U);
}

std::string many(std::string_view text, std::size_t times) {
  std::string out;
  for (std::size_t i = 0; i < times; ++i) out += text;
  return out;
}

TEST(Bounds, AreNamedByTheirErrors) {
  EXPECT_EQ(told("{a}", {.bytes = 2}), "1:1 more than 2 bytes");
  EXPECT_EQ(told(many("{a", 40) + many("}", 40)), "1:65 more than 32 levels");
  EXPECT_EQ(told("{a(x:" + many("[", 40) + many("]", 40) + ")}"), "1:37 more than 32 levels");
  EXPECT_EQ(told("{a(x:" + many("{a:", 40) + "1" + many("}", 40) + ")}").substr(5), "more than 32 levels");
  EXPECT_EQ(told("query($a:" + many("[", 40) + "I" + many("]", 40) + "){x}"), "1:42 more than 32 levels");
  EXPECT_EQ(told("{" + many("a ", 5000) + "}").substr(7), "more than 4000 fields");
  EXPECT_EQ(told("{" + many("a:b ", 1500) + "}").substr(7), "more than 1000 aliases");
  EXPECT_EQ(told("{a" + many("@b ", 1500) + "}").substr(7), "more than 1000 directives");
  EXPECT_EQ(told("{a(x:[" + many("1 ", 30000) + "])}").substr(8), "more than 20000 tokens");
}

TEST(Bounds, HostileDocumentsEndSoon) {
  Limits wide;
  wide.bytes = 20 << 20;
  const auto begin = std::chrono::steady_clock::now();
  for (const auto& text : {many("{", 10 << 20), many("[", 10 << 20), "{a(x:" + many("[", 10 << 20),
                           many("#", 10 << 20), "{a(s:\"" + many("\\u0041", 1 << 17) + "\")}",
                           many("...", 1 << 18), many("query ", 1 << 17), "{a(x:" + many("\"\"", 1 << 18)})
    (void)told(text, wide);
  EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(20)) << "sanitizers included";
}

TEST(Spreading, IsBoundedAndLinear) {
  EXPECT_EQ(spread_cost(parse("{a...F}fragment F on T{b c...G}fragment G on T{d}")), 8U)
      << "four of the operation, three of F, one of G";
  EXPECT_THROW(spread_cost(parse("{...F}fragment F on T{...F}")), Error);
  EXPECT_THROW(spread_cost(parse("{...A}fragment A on T{...B}fragment B on T{a{...C}}fragment C on T{...A}")),
               Error);
  // Each fragment spreads the next one twice: 2^40 fields, told in no time.
  std::string text = "{...F0}";
  for (int i = 0; i < 40; ++i)
    text += "fragment F" + std::to_string(i) + " on T{a{...F" + std::to_string(i + 1) + "} b{...F" +
            std::to_string(i + 1) + "}}";
  text += "fragment F40 on T{a}";
  try {
    spread_cost(parse(text));
    FAIL();
  } catch (const Error& error) {
    EXPECT_STREQ(error.what(), "more than 20000 fields once fragments are spread");
  }
}

}  // namespace
}  // namespace heronwell::graphql
