#include "run.hpp"

namespace heronwell::graphql {
namespace {

const Bound& maps() {
  static const Bound one(R"(
    scalar Big
    enum Kind { SHOP GATE }
    input Near { floor: ID! kind: Kind = SHOP ids: [ID!] }
    interface Place { id: ID! name: String }
    type Shop implements Place { id: ID! name: String! open: Boolean tags: [String!] visits: Big kind: Kind
      at: Spot offers: [Offer!] @sql(statement: "offers :parents", class: "lookup", parent: "id", by: "shop") }
    type Spot { x: Int! y: Int }
    type Gate implements Place { id: ID! name: String level: Int @column(name: "lvl") }
    union Found = Shop | Gate
    type Offer { text: String price: Float owner: Shop @sql(statement: "owner :parents", class: "lookup", parent: "shop", by: "id") }
    type Floor { id: ID! shops(open: Boolean): [Shop!]! @sql(statement: "shops :parents :open", class: "lookup", parent: "id", by: "floor")
      count: Int @sql(statement: "count :parents", class: "lookup", parent: "id", by: "floor")
      summary: Summary @sql(statement: "summary :parents", class: "report", parent: "id", by: "floor") }
    type Summary { visits: Int! }
    type Query {
      shop(id: ID!): Shop @sql(statement: "shop :id", class: "lookup", group: "id", cost: "20ms", memory: "64MiB")
      sure(id: ID!): Shop! @sql(statement: "shop :id", class: "lookup")
      floors: [Floor] @sql(statement: "floors", class: "lookup")
      find(near: Near!): [Found] @sql(statement: "find :near.floor :near.kind :near.ids", class: "lookup", tenant: "header X-Tenant")
      places: [Place!] @sql(statement: "places", class: "lookup")
      number(n: Int = 7): Int @sql(statement: "number :n", class: "lookup")
      numbers: [Int!] @sql(statement: "numbers", class: "lookup")
    }
    type Mutation {
      load(plan: ID!): Int @sql(statement: "load :plan :idempotency_key", class: "load", group: "plan", key: "plan")
      must(plan: ID!): Int! @sql(statement: "load :plan :idempotency_key", class: "load")
      sync(plan: ID!): Floor @sql(statement: "sync :plan :idempotency_key", class: "sync")
    })",
                         classes());
  return one;
}

Reply rows(const std::string& text, const std::string& tag = "SELECT") { return {table(text, tag), {}}; }
Reply trouble(const Trouble& one) { return {nullptr, one}; }
// Answers by the first word of the statement.
std::function<Reply(const Call&)> by_word(std::map<std::string, std::string> answers) {
  return [answers](const Call& call) {
    const std::string word(call.statement.substr(0, call.statement.find(' ')));
    const auto found = answers.find(word);
    return found == answers.end() ? trouble(failed("STATEMENT_FAILED")) : rows(found->second);
  };
}
const std::map<std::string, std::string> kFloors{
    {"floors", "id:23|1|2|2|NULL"},
    {"shops",
     "floor:23 id:23 name open:16 tags visits:20 kind x:23 "
     "y:23|1,10,Books,t,{a},12345678901234567890,SHOP,4,5|"
     "2,20,NULL,f,NULL,1,SHOP,6,NULL|1,11,Tea,f,{},2,NONE,7,8"},
    {"count", "floor:23 n:20|1,2|2,1"},
    {"offers", "shop:23 text price:701|10,half,0.5|10,whole,1e3|11,none,NaN"},
    {"owner", "id:23 name|10,Books|11,Tea"}};

struct Case {
  const char* text;
  const char* response;
  const char* variables = "{}";
};

// ---- the response --------------------------------------------------------------------------------------
class Responses : public testing::TestWithParam<Case> {};
TEST_P(Responses, AreAsTheSpecificationHasThem) {
  Setting setting;
  setting.variables = GetParam().variables;
  auto answers = kFloors;
  answers["shop"] = "id name open:16 x:23 y:23|7,Bakery,t,1,2";
  answers["places"] = "__typename id name lvl:23 open:16|Shop,1,A,NULL,t|Gate,2,B,3,NULL|Other,3,C,1,NULL";
  answers["find"] = "__typename id name lvl:23 open:16|Shop,1,A,NULL,t|Gate,2,B,3,NULL|Other,3,C,1,NULL";
  answers["number"] = "n:23|41";
  answers["numbers"] = "n:23|1|2|3";
  EXPECT_EQ(run(maps(), GetParam().text, by_word(answers), setting).response, GetParam().response);
}
INSTANTIATE_TEST_SUITE_P(
    , Responses,
    testing::
        Values(
            Case{"{shop(id:7){id name}}", R"({"data":{"shop":{"id":"7","name":"Bakery"}}})"},
            Case{"{b:shop(id:7){n:name name} a:__typename}",
                 R"({"data":{"b":{"n":"Bakery","name":"Bakery"},"a":"Query"}})"},
            Case{"{shop(id:7){at{x y} ...on Place{id}__typename}}",
                 R"({"data":{"shop":{"at":{"x":1,"y":2},"id":"7","__typename":"Shop"}}})"},
            Case{"{shop(id:7){id} shop(id:7){name}}", R"({"data":{"shop":{"id":"7","name":"Bakery"}}})"},
            Case{"{number}", R"({"data":{"number":41}})"},
            Case{"{numbers}", R"({"data":{"numbers":[1,2,3]}})"},
            // @skip and @include on fields, spreads and inline fragments
            Case{"{shop(id:7){id @skip(if:true) name @include(if:true)}}",
                 R"({"data":{"shop":{"name":"Bakery"}}})"},
            Case{"query($y:Boolean!){shop(id:7){...F @include(if:$y) ...on Shop @skip(if:$y){name}}}fragment "
                 "F on Shop{id}",
                 R"({"data":{"shop":{"id":"7"}}})", R"({"y":true})"},
            Case{"query($y:Boolean!){shop(id:7){...F @include(if:$y) ...on Shop @skip(if:$y){name}}}fragment "
                 "F on Shop{id}",
                 R"({"data":{"shop":{"name":"Bakery"}}})", R"({"y":false})"},
            Case{"query($y:Boolean=true){shop(id:7)@skip(if:$y){id} number}", R"({"data":{"number":41}})"},
            Case{"{shop(id:7)@skip(if:true){id}}", R"({"data":{}})"},
            Case{"{shop(id:7)@skip(if:false)@include(if:false){id}}", R"({"data":{}})"},
            // unions and interfaces; a row of no known type is an error at its place
            Case{
                "{places{__typename id ...on Gate{level}}}",
                R"({"data":{"places":null},"errors":[{"message":"the row does not say its type in \"__typename\"","locations":[{"line":1,"column":2}],"path":["places",2]}]})"},
            Case{
                "{find(near:{floor:1}){...on Shop{open}...on Gate{level}...on Place{id}}}",
                R"({"data":{"find":[{"open":true,"id":"1"},{"level":3,"id":"2"},null]},"errors":[{"message":"the row does not say its type in \"__typename\"","locations":[{"line":1,"column":2}],"path":["find",2]}]})"},
            // a batched child field, with an error in an enum and in a list; null carried to the nearest that
            // may be
            Case{
                "{floors{id shops{id kind}}}",
                R"({"data":{"floors":[{"id":"1","shops":[{"id":"10","kind":"SHOP"},{"id":"11","kind":null}]},{"id":"2","shops":[{"id":"20","kind":"SHOP"}]},{"id":"2","shops":[{"id":"20","kind":"SHOP"}]},null]},"errors":[{"message":"\"NONE\" is no Kind","locations":[{"line":1,"column":21}],"path":["floors",0,"shops",1,"kind"]},{"message":"NULL where ID! stands","locations":[{"line":1,"column":9}],"path":["floors",3,"id"]}]})"},
            Case{
                "{floors{shops{name}}}",
                R"({"data":{"floors":[{"shops":[{"name":"Books"},{"name":"Tea"}]},null,null,{"shops":[]}]},"errors":[{"message":"NULL where String! stands","locations":[{"line":1,"column":15}],"path":["floors",1,"shops",0,"name"]},{"message":"NULL where String! stands","locations":[{"line":1,"column":15}],"path":["floors",2,"shops",0,"name"]}]})"},
            Case{"{floors{count}}",
                 R"({"data":{"floors":[{"count":2},{"count":1},{"count":1},{"count":null}]}})"},
            Case{
                "{floors{shops{visits tags}}}",
                R"({"data":{"floors":[{"shops":[{"visits":12345678901234567890,"tags":["a"]},{"visits":2,"tags":[]}]},{"shops":[{"visits":1,"tags":null}]},{"shops":[{"visits":1,"tags":null}]},{"shops":[]}]}})"},
            // three levels, the last to the parents that came before
            Case{
                "{floors{shops{id offers{price owner{name}}}}}",
                R"({"data":{"floors":[{"shops":[{"id":"10","offers":[{"price":0.5,"owner":{"name":"Books"}},{"price":1e3,"owner":{"name":"Books"}}]},{"id":"11","offers":[{"price":null,"owner":{"name":"Tea"}}]}]},{"shops":[{"id":"20","offers":[]}]},{"shops":[{"id":"20","offers":[]}]},{"shops":[]}]},"errors":[{"message":"\"NaN\" is no Float","locations":[{"line":1,"column":25}],"path":["floors",0,"shops",1,"offers",0,"price"]}]})"},
            Case{
                "{floors{shops{at{x y}}}}",
                R"({"data":{"floors":[{"shops":[{"at":{"x":4,"y":5}},{"at":{"x":7,"y":8}}]},{"shops":[{"at":{"x":6,"y":null}}]},{"shops":[{"at":{"x":6,"y":null}}]},{"shops":[]}]}})"},
            // a failed statement: its field is null, the rest stands
            Case{"{floors{id summary{visits}} number}",
                 R"({"data":{"floors":[{"id":"1","summary":null},{"id":"2","summary":null},{"id":"2","summary":null},null],"number":41},"errors":[{"message":"stand-in","locations":[{"line":1,"column":12}],"path":["floors",0,"summary"],"extensions":{"code":"STATEMENT_FAILED","outcome":"failed","retryHarmless":true}},{"message":"stand-in","locations":[{"line":1,"column":12}],"path":["floors",1,"summary"],"extensions":{"code":"STATEMENT_FAILED","outcome":"failed","retryHarmless":true}},{"message":"stand-in","locations":[{"line":1,"column":12}],"path":["floors",2,"summary"],"extensions":{"code":"STATEMENT_FAILED","outcome":"failed","retryHarmless":true}},{"message":"NULL where ID! stands","locations":[{"line":1,"column":9}],"path":["floors",3,"id"]}]})"}));

TEST(ExecutionTest, NullGoesUpToTheDataWhereNoFieldMayBeNull) {
  const auto ran = run(maps(), "{number sure(id:1){id}}", by_word({{"number", "n:23|1"}, {"shop", "id"}}));
  EXPECT_EQ(
      ran.response,
      R"({"data":null,"errors":[{"message":"no row","locations":[{"line":1,"column":9}],"path":["sure"]}]})");
}

TEST(ExecutionTest, AListOfParentsIsOneStatementWithEachParentOnce) {
  const auto ran = run(maps(), "{floors{shops(open:true){id}}}", by_word(kFloors));
  EXPECT_EQ(ran.calls, (std::vector<std::string>{"floors []", "shops $1 $2 [{\"1\",\"2\"}, true]"}));
}

TEST(ExecutionTest, TenThousandParentsAreOneStatementAndOneMoreIsASecond) {
  for (const std::size_t parents : {10'000, 10'001}) {
    std::string floors = "id:23";
    for (std::size_t i = 0; i < parents; ++i) floors += "|" + std::to_string(i);
    std::string counts = "floor:23 n:23";
    for (std::size_t i = 0; i < parents; ++i) counts += "|" + std::to_string(i) + "," + std::to_string(i % 7);
    const auto ran = run(maps(), "{floors{count}}", by_word({{"floors", floors}, {"count", counts}}));
    EXPECT_EQ(ran.calls.size(), parents == 10'000 ? 2U : 3U);
    EXPECT_EQ(ran.response.find("errors"), std::string::npos);
    EXPECT_EQ(static_cast<std::size_t>(std::ranges::count(ran.response, ':')), parents + 2);
  }
}

TEST(ExecutionTest, NullParentsAskForNothing) {
  const auto ran = run(maps(), "{floors{shops{id}}}", by_word({{"floors", "id:23|NULL"}}));
  EXPECT_EQ(ran.calls.size(), 1U);
  EXPECT_EQ(ran.response, R"({"data":{"floors":[{"shops":[]}]}})");
}

TEST(ExecutionTest, IndependentStatementsGoOutTogetherUpToTheBound) {
  std::string text = "{";
  for (int i = 0; i < 20; ++i) text += "a" + std::to_string(i) + ":number(n:" + std::to_string(i) + ") ";
  const auto ran = run(maps(), text + "}", by_word({{"number", "n:23|1"}}));
  EXPECT_EQ(ran.calls.size(), 20U);
  EXPECT_EQ(ran.most_out, 8U);
}

TEST(ExecutionTest, TheOrderInWhichStatementsEndChangesNothingOfTheResponse) {
  Setting backwards;
  backwards.last_first = true;
  const auto* text = "{number a:number(n:1) floors{count shops{id offers{text}}} shop(id:1){id}}";
  EXPECT_EQ(run(maps(), text, by_word(kFloors)).response,
            run(maps(), text, by_word(kFloors), backwards).response);
}

TEST(ExecutionTest, ArgumentsAreBoundAndNeverPasted) {
  Setting setting;
  setting.variables = R"({"near":{"floor":"1'; drop table shops --","ids":["a\"b\\c",7]}})";
  setting.headers["x-tenant"] = "north";
  const auto ran = run(maps(), "query($near:Near!){find(near:$near){__typename}}",
                       by_word({{"find", "__typename"}}), setting);
  ASSERT_EQ(ran.raw.size(), 1U);
  EXPECT_EQ(ran.raw[0].statement, "find $1 $2 $3");
  EXPECT_EQ(ran.raw[0].parameters[0], "1'; drop table shops --");
  EXPECT_EQ(ran.raw[0].parameters[1], "SHOP");
  EXPECT_EQ(ran.raw[0].parameters[2], R"({"a\"b\\c","7"})");
  EXPECT_EQ(ran.raw[0].tenant, 3U);
}

TEST(ExecutionTest, VariablesStandWithinNestedInputObjects) {
  Setting setting;
  setting.variables = R"({"f":"9","i":"x"})";
  const auto ran =
      run(maps(), "query($f:ID!,$i:ID!,$k:Kind){find(near:{floor:$f ids:[$i,\"y\"] kind:$k}){__typename}}",
          by_word({{"find", "__typename"}}), setting);
  EXPECT_EQ(ran.calls, std::vector<std::string>{"find $1 $2 $3 [9, SHOP, {\"x\",\"y\"}]"});
}

TEST(ExecutionTest, AnUnknownTenantIsAnErrorOfTheFieldAndNothingIsSent) {
  Setting setting;
  setting.headers["x-tenant"] = "south";
  const auto ran = run(maps(), "{find(near:{floor:1}){__typename}}", by_word({}), setting);
  EXPECT_TRUE(ran.calls.empty());
  EXPECT_NE(ran.response.find(R"("code":"BAD_ARGUMENT","outcome":"not_started")"), std::string::npos);
}

TEST(ExecutionTest, ANulInAnArgumentIsAnError) {
  const auto ran = run(maps(), R"({shop(id:"a\u0000b"){id}})", by_word({}));
  EXPECT_TRUE(ran.calls.empty());
  EXPECT_NE(ran.response.find("an argument with a NUL in it"), std::string::npos);
}

TEST(ExecutionTest, HintsOfTheSchemaReachTheRequest) {
  const auto ran = run(maps(), "{shop(id:12){id} b:shop(id:\"x y\"){id}}", by_word(kFloors));
  EXPECT_EQ(ran.raw[0].data_group, 12);
  EXPECT_EQ(ran.raw[1].data_group, 1003);
  EXPECT_EQ(ran.raw[0].cost, 20ms);
  EXPECT_EQ(ran.raw[0].memory_mb, 64);
}

// ---- deadlines -----------------------------------------------------------------------------------------
TEST(ExecutionTest, TheDeadlineIsDividedByTheAimsOfWhatFollows) {
  const auto ran = run(maps(), "{floors{summary{visits}}}",
                       by_word({{"floors", "id:23|1"}, {"summary", "floor:23 visits:23|1,5"}}));
  ASSERT_EQ(ran.deadlines.size(), 2U);
  EXPECT_EQ(ran.deadlines[0], 1s);   // a look-up of 100 ms before a report of 900 ms: a tenth of 10 s
  EXPECT_EQ(ran.deadlines[1], 10s);  // the last has all that is left
}

TEST(ExecutionTest, NothingIsBegunWithoutTimeLeft) {
  Setting setting;
  setting.deadline = 500us;
  const auto ran = run(maps(), "{number}", by_word({{"number", "n:23|1"}}), setting);
  EXPECT_TRUE(ran.calls.empty());
  EXPECT_NE(
      ran.response.find("\"code\":\"STATEMENT_REFUSED\",\"outcome\":\"refused\",\"retryHarmless\":true"),
      std::string::npos);
}

// ---- mutations -----------------------------------------------------------------------------------------
TEST(MutationTest, FieldsRunOneAfterTheOtherInOrder) {
  const auto ran = run(maps(), "mutation{a:load(plan:1) b:sync(plan:2){id count} c:load(plan:3)}",
                       by_word({{"load", "n:23|5"}, {"sync", "id:23|2"}, {"count", "floor:23 n:23|2,9"}}));
  EXPECT_EQ(ran.response, R"({"data":{"a":5,"b":{"id":"2","count":9},"c":5}})");
  EXPECT_EQ(ran.calls, (std::vector<std::string>{"load $1 $2 [1, ]", "sync $1 $2 [2, ]", "count $1 [{\"2\"}]",
                                                 "load $1 $2 [3, ]"}));
  EXPECT_EQ(ran.most_out, 1U);
  EXPECT_TRUE(ran.effect);
}

TEST(MutationTest, OneThatMayHaveRunStopsThoseAfterIt) {
  const auto ran = run(maps(), "mutation{a:load(plan:1) b:load(plan:2)}",
                       [](const Call&) { return trouble(failed("OUTCOME_UNKNOWN", true)); });
  EXPECT_EQ(ran.calls.size(), 1U);
  EXPECT_EQ(
      ran.response,
      R"({"data":{"a":null,"b":null},"errors":[{"message":"stand-in","locations":[{"line":1,"column":10}],"path":["a"],"extensions":{"code":"OUTCOME_UNKNOWN","outcome":"failed","retryHarmless":false}},{"message":"not run, as a field before it failed","locations":[{"line":1,"column":25}],"path":["b"],"extensions":{"code":"NOT_STARTED","outcome":"not_started","retryHarmless":true}}]})");
  EXPECT_TRUE(ran.effect);
}

TEST(MutationTest, ARefusedOneLetsTheNextRun) {
  int n = 0;
  const auto ran = run(maps(), "mutation{a:load(plan:1) b:load(plan:2)}", [&](const Call&) {
    return ++n == 1 ? trouble(failed("STATEMENT_REFUSED")) : rows("", "INSERT 0 3");
  });
  EXPECT_EQ(ran.calls.size(), 2U);
  EXPECT_NE(ran.response.find(R"("data":{"a":null,"b":3})"), std::string::npos) << ran.response;
}

TEST(MutationTest, AllRefusedHaveNoEffect) {
  const auto ran = run(maps(), "mutation{a:load(plan:1)}",
                       [&](const Call&) { return trouble(failed("STATEMENT_REFUSED")); });
  EXPECT_FALSE(ran.effect);
}

TEST(MutationTest, AFailedFieldThatMayNotBeNullStopsThoseAfterIt) {
  const auto ran = run(maps(), "mutation{a:must(plan:1) b:load(plan:2)}",
                       [&](const Call&) { return trouble(failed("STATEMENT_REFUSED")); });
  EXPECT_EQ(ran.calls.size(), 1U);
  EXPECT_NE(ran.response.find("{\"data\":null"), std::string::npos);
}

TEST(MutationTest, TheKeyOfTheClientIsBoundAndThePlanOrdersAndGroups) {
  Setting setting;
  setting.key = "k-1";
  const auto ran = run(maps(), "mutation{load(plan:9)}", by_word({{"load", "n:23|5"}}), setting);
  EXPECT_EQ(ran.calls, std::vector<std::string>{"load $1 $2 [9, k-1]"});
  EXPECT_EQ(ran.raw[0].data_group, 9);
  EXPECT_EQ(ran.raw[0].order_key, 9U);
}

TEST(MutationTest, TheDeadlineIsDividedAmongThoseStillToCome) {
  const auto ran = run(maps(), "mutation{a:load(plan:1) b:load(plan:2)}", by_word({{"load", "n:23|5"}}));
  EXPECT_EQ(ran.deadlines, (std::vector<Time>{5s, 10s}));
}

// ---- bounds --------------------------------------------------------------------------------------------
TEST(BoundsTest, AnAnswerThatIsTooLargeIsOneError) {
  Setting setting;
  setting.bounds.answer = 2000;
  std::string text = "{";
  for (int i = 0; i < 300; ++i) text += "a" + std::to_string(i) + ":__typename ";
  EXPECT_EQ(
      run(maps(), text + "}", by_word({}), setting).response,
      R"({"data":null,"errors":[{"message":"the answer is larger than 2000 bytes","locations":[{"line":1,"column":1}],"path":[],"extensions":{"code":"ANSWER_TOO_LARGE","outcome":"served","retryHarmless":true}}]})");
  const auto meta =
      run(maps(), "{__schema{types{fields{type{fields{type{fields{name}}}}}}}}", by_word({}), setting);
  EXPECT_NE(meta.response.find("ANSWER_TOO_LARGE"), std::string::npos);
}

TEST(BoundsTest, ErrorsAreToldUpToABoundAndThenCounted) {
  Setting setting;
  setting.bounds.errors = 2;
  std::string shops = "floor:23 kind";
  for (int i = 0; i < 10; ++i) shops += "|1,WRONG";
  const auto ran =
      run(maps(), "{floors{shops{kind}}}", by_word({{"floors", "id:23|1"}, {"shops", shops}}), setting);
  EXPECT_EQ(ran.response.find("\"path\":[\"floors\",0,\"shops\",2"), std::string::npos);
  EXPECT_NE(ran.response.find(R"({"message":"8 more errors"})"), std::string::npos);
}

// ---- introspection -------------------------------------------------------------------------------------
TEST(IntrospectionTest, TellsTypesFieldsArgumentsAndDefaults) {
  EXPECT_EQ(
      run(maps(),
          R"({__type(name:"Near"){kind name fields{name} inputFields{name defaultValue type{kind name ofType{kind name}}}}})",
          by_word({}))
          .response,
      R"({"data":{"__type":{"kind":"INPUT_OBJECT","name":"Near","fields":null,"inputFields":[{"name":"floor","defaultValue":null,"type":{"kind":"NON_NULL","name":null,"ofType":{"kind":"SCALAR","name":"ID"}}},{"name":"kind","defaultValue":"SHOP","type":{"kind":"ENUM","name":"Kind","ofType":null}},{"name":"ids","defaultValue":null,"type":{"kind":"LIST","name":null,"ofType":{"kind":"NON_NULL","name":null}}}]}}})");
  EXPECT_EQ(
      run(maps(),
          R"({__type(name:"Place"){possibleTypes{name}} none:__type(name:"Nothing"){name} root:__type(name:"__Root"){name}})",
          by_word({}))
          .response,
      R"({"data":{"__type":{"possibleTypes":[{"name":"Gate"},{"name":"Shop"}]},"none":null,"root":null}})");
  EXPECT_EQ(
      run(maps(),
          "{__schema{queryType{name}mutationType{name}subscriptionType{name}directives{name locations "
          "args{name}}}}",
          by_word({}))
          .response,
      R"({"data":{"__schema":{"queryType":{"name":"Query"},"mutationType":{"name":"Mutation"},"subscriptionType":null,"directives":[{"name":"deprecated","locations":["FIELD_DEFINITION","ARGUMENT_DEFINITION","INPUT_FIELD_DEFINITION","ENUM_VALUE"],"args":[{"name":"reason"}]},{"name":"include","locations":["FIELD","FRAGMENT_SPREAD","INLINE_FRAGMENT"],"args":[{"name":"if"}]},{"name":"skip","locations":["FIELD","FRAGMENT_SPREAD","INLINE_FRAGMENT"],"args":[{"name":"if"}]},{"name":"specifiedBy","locations":["SCALAR"],"args":[{"name":"url"}]}]}}})");
}

TEST(IntrospectionTest, LeavesOutWhatIsDeprecatedUnlessAsked) {
  const Bound one(
      "type Query { a: Int @sql(statement: \"a\", class: \"lookup\") b: Int @deprecated(reason: \"old\") "
      "@sql(statement: \"b\", class: \"lookup\") }",
      classes());
  EXPECT_EQ(run(one, "{__type(name:\"Query\"){fields{name}}}", by_word({})).response,
            R"({"data":{"__type":{"fields":[{"name":"a"}]}}})");
  EXPECT_EQ(
      run(one,
          "{__type(name:\"Query\"){fields(includeDeprecated:true){name isDeprecated deprecationReason}}}",
          by_word({}))
          .response,
      R"({"data":{"__type":{"fields":[{"name":"a","isDeprecated":false,"deprecationReason":null},{"name":"b","isDeprecated":true,"deprecationReason":"old"}]}}})");
}

}  // namespace
}  // namespace heronwell::graphql
