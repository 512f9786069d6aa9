#include "router/query_parser.hpp"

#include <gtest/gtest.h>

#include "base/json.hpp"
#include "router/json_rows.hpp"

namespace heronwell::router {
namespace {

using namespace std::chrono_literals;

Settings two_class_settings() {
  Settings settings;
  settings.classes = {{.name = "lookup", .latency_objective = 500ms, .timeout = 2s},
                      {.name = "report", .latency_objective = 3s, .timeout = 20s}};
  settings.tenants = {{.name = "blue"}, {.name = "red"}};
  return settings;
}

std::string field_of(std::string_view body, std::optional<std::string_view> timeout = {}) {
  const auto read = QueryParser(two_class_settings()).parse(body, timeout);
  const auto* problem = std::get_if<Problem>(&read);
  return problem == nullptr ? "" : problem->field + ": " + problem->detail;
}

TEST(QueryParsing, ReadsEveryField) {
  const auto read =
      QueryParser(two_class_settings())
          .parse(
              R"({"statement":"select 1","class":"report","tenant":"red","data_group":"floor 7","key":5,"estimates":{"work_ms":12.5,"memory_mb":3},"repeat":true})",
              "700");
  const auto* query = std::get_if<ParsedQuery>(&read);
  ASSERT_NE(query, nullptr);
  const auto& request = query->spec.request;
  EXPECT_EQ(request.class_index, 1);
  EXPECT_EQ(request.tenant, 1U);
  EXPECT_EQ(request.order_key, 5U);
  EXPECT_NE(request.data_group, 0);
  EXPECT_EQ(request.estimated_work, Time(12'500us));
  EXPECT_EQ(request.estimated_memory_mb, 3);
  EXPECT_EQ(request.time_left, Time(700ms));
  EXPECT_TRUE(request.client_retry);
}

TEST(QueryParsing, ErrorsNameTheInvalidField) {
  EXPECT_EQ(field_of("{"), ": JSON, at byte 1: Missing a name for object member.");
  EXPECT_EQ(field_of("[]"), ": expected a JSON object");
  EXPECT_EQ(field_of(R"({"class":"lookup"})"), "statement: missing");
  EXPECT_EQ(field_of(R"({"statement":"s"})"), "class: missing");
  EXPECT_EQ(field_of(R"({"statement":"s","class":"lookp"})"),
            "class: unknown; the nearest known one is \"lookup\"");
  EXPECT_EQ(field_of(R"({"statement":"s","clas":"lookup"})"),
            "clas: unknown; the nearest known one is \"class\"");
  EXPECT_EQ(field_of(R"({"statement":7,"class":"lookup"})"), "statement: expected a text that is not empty");
  EXPECT_EQ(field_of(R"({"statement":"a\u0000b","class":"lookup"})"),
            "statement: expected a text without NUL");
  EXPECT_EQ(field_of(R"({"statement":"s","class":"lookup","tenant":"green"})"),
            "tenant: expected one of blue, red");
  EXPECT_EQ(field_of(R"({"statement":"s","class":"lookup","key":1.5})"),
            "key: expected a text or a whole number");
  EXPECT_EQ(field_of(R"({"statement":"s","class":"lookup","estimates":{"work_ms":-1}})"),
            "estimates.work_ms: expected a number from 0 to 3600000");
  EXPECT_EQ(field_of(R"({"statement":"s","class":"lookup","estimates":{"w":1}})"),
            "estimates.w: unknown field");
  EXPECT_EQ(field_of(R"({"statement":"s","class":"lookup"})", "soon"),
            "heronwell-timeout-ms: expected a whole number of milliseconds from 1");
  EXPECT_EQ(field_of(R"({"statement":"s","class":"lookup"})", "0"),
            field_of(R"({"statement":"s","class":"lookup"})", "-5"));
  EXPECT_EQ(field_of(R"({"statement":"s","class":"lookup"})", "99999"), "");
  EXPECT_NE(field_of("{\"statement\":\"\xff\",\"class\":\"lookup\"}"), "");
  EXPECT_NE(field_of(std::string(100'000, '[')), "") << "expected an error for deep nesting";
}

// A client sends a Content-Length that is too small. A part of its statement must not run.
TEST(QueryParsing, NoPartOfABodyIsAccepted) {
  const std::string whole = R"({"statement":"delete from t where a = 1","class":"lookup"})";
  for (std::size_t length = 0; length < whole.size(); ++length)
    EXPECT_NE(field_of(whole.substr(0, length)), "") << length;
  EXPECT_EQ(field_of(whole), "");
}

TEST(Problems, BodyStatesWhetherARetryIsSafe) {
  FinishRequest finish;
  finish.status = FinalStatus::rejected;
  finish.retry_after = 1500ms;
  EXPECT_EQ(
      problem_body(problem_of(finish)),
      R"({"type":"about:blank","status":503,"outcome":"refused","retry_harmless":true,"retry_after_ms":1500,"detail":"not run; the engines are busy or out of reach"})");
  EXPECT_EQ(retry_after_seconds(1500ms), 2);
  finish.status = FinalStatus::failed;
  finish.last_result = AttemptResult::reset;
  finish.provably_never_ran = false;
  EXPECT_EQ(problem_of(finish).status, 502);
  EXPECT_FALSE(problem_of(finish).retry_is_safe);
  finish.last_result = AttemptResult::timed_out;
  EXPECT_EQ(problem_of(finish).status, 504);
}

TEST(Problems, OutcomeTextsMatchTheHttpInterface) {
  EXPECT_EQ(text_of(ProblemOutcome::bad_request), "rejected");
  EXPECT_EQ(text_of(ProblemOutcome::rejected), "refused");
  EXPECT_EQ(text_of(ProblemOutcome::failed), "failed");
  EXPECT_EQ(text_of(ProblemOutcome::statement_error), "served");
}

std::string rows(const std::vector<sql::Column>& columns,
                 const std::vector<std::vector<sql::Value>>& values) {
  std::string out;
  JsonRows json;
  json.columns(out, columns);
  for (const auto& value : values) {
    std::string bytes;
    sql::put_row(bytes, value);
    EXPECT_TRUE(json.row(out, sql::RowReader(std::string_view(bytes).substr(5))));
  }
  json.complete(out, "SELECT");
  json.finish(out);
  return out;
}

TEST(Rows, ConvertsValuesToJsonByColumnType) {
  EXPECT_EQ(
      rows({{"a", 20}, {"b", 16}, {"c", 25}, {"d", 701}},
           {{"9007199254740993", "t", "x\"\n\x01", "NaN"}, {std::nullopt, "f", "", "-1.5e3"}}),
      R"({"columns":["a","b","c","d"],"rows":[[9007199254740993,true,"x\"\n\u0001","NaN"],[null,false,"",-1.5e3]],"command":"SELECT"})");
  EXPECT_EQ(rows({{"a", 23}}, {{"01"}, {"+1"}, {""}, {"1."}}),
            R"({"columns":["a"],"rows":[["01"],["+1"],[""],["1."]],"command":"SELECT"})");
}

TEST(Rows, ReplacesInvalidUtf8InJsonText) {
  std::string out;
  put_json_text(out, "a\xff\xc3\xa4\xc0\x80\xed\xa0\x80\xf0\x9f\x98\x80\xe2\x82");
  EXPECT_EQ(out,
            "\"a\xef\xbf\xbd\xc3\xa4\xef\xbf\xbd\xef\xbf\xbd\xef\xbf\xbd\xef\xbf\xbd\xef\xbf\xbd\xf0\x9f\x98"
            "\x80\xef\xbf\xbd\xef\xbf\xbd\"");
}

TEST(Rows, PutsFurtherResultsUnderMore) {
  std::string out;
  JsonRows json;
  json.complete(out, "SET");
  json.columns(out, {{"a", 25}});
  json.complete(out, "SELECT 0");
  json.complete(out, "DELETE 1");
  json.finish(out);
  EXPECT_EQ(
      out,
      R"({"columns":[],"rows":[],"command":"SET","more":[{"columns":["a"],"rows":[],"command":"SELECT 0"},{"columns":[],"rows":[],"command":"DELETE 1"}]})");
}

}  // namespace
}  // namespace heronwell::router
