#include "graphql/over_http.hpp"

#include <gtest/gtest.h>

#include <map>

#include "graphql/documents.hpp"
#include "graphql/keys.hpp"

namespace heronwell::graphql {
namespace {

using namespace std::chrono_literals;

struct Case {
  const char* name;
  const char* method;
  const char* target;
  const char* accept;
  const char* type;
  const char* body;
  const char* told;  // "status media message", "page", or "media query|name|variables|hash"
};
std::string told(const Case& c) {
  const std::map<std::string, std::string, std::less<>> headers{{"accept", c.accept},
                                                                {"content-type", c.type}};
  HttpRequest request;
  request.method = c.method;
  request.target = c.target;
  request.body = c.body;
  request.header = [&](std::string_view name) -> std::optional<std::string_view> {
    const auto found = headers.find(name);
    if (found == headers.end() || found->second.empty()) return std::nullopt;
    return found->second;
  };
  const auto read = read_http(request, 2, true);
  if (std::holds_alternative<HttpPage>(read)) return "page";
  const auto media = [](Media one) {
    return one == Media::json ? std::string("json ") : std::string("response ");
  };
  if (const auto* wrong = std::get_if<HttpWrong>(&read))
    return std::to_string(wrong->status) + " " + media(wrong->media) + wrong->message;
  const auto& ask = std::get<HttpAsk>(read);
  std::string out = media(ask.media);
  for (const auto& one : ask.operations) {
    out += one.query + "|" + one.operation_name + "|";
    put_json(out, one.variables);
    out += "|" + one.sha256.substr(0, 4) + (ask.batch ? ";" : "");
  }
  return out;
}
class Http : public testing::TestWithParam<Case> {};
TEST_P(Http, IsRead) { EXPECT_EQ(told(GetParam()), GetParam().told); }
constexpr const char *kJ = "application/json", *kR = "application/graphql-response+json",
                     *kQ = R"({"query":"{a}"})";
INSTANTIATE_TEST_SUITE_P(
    , Http,
    testing::Values(
        Case{"post", "POST", "/graphql", kR, kJ, kQ, "response {a}||null|"},
        Case{"no_accept", "POST", "/graphql", "", kJ, kQ, "json {a}||null|"},
        Case{"any_accept", "POST", "/graphql", "*/*", kJ, kQ, "json {a}||null|"},
        Case{"both", "POST", "/graphql", "application/json, application/graphql-response+json", kJ, kQ,
             "response {a}||null|"},
        Case{"quality", "POST", "/graphql", "application/json;q=0.9, application/graphql-response+json;q=0.5",
             kJ, kQ, "json {a}||null|"},
        Case{"quality_0", "POST", "/graphql", "application/json, application/graphql-response+json;q=0", kJ,
             kQ, "json {a}||null|"},
        Case{"wildcard_application", "POST", "/graphql", "application/*", kJ, kQ, "json {a}||null|"},
        Case{"charset", "POST", "/graphql", "application/json; charset=\"UTF-8\"", kJ, kQ, "json {a}||null|"},
        Case{"other_charset", "POST", "/graphql", "application/json; charset=latin1", kJ, kQ,
             "406 response application/graphql-response+json or application/json is answered"},
        Case{"not_acceptable", "POST", "/graphql", "text/plain", kJ, kQ,
             "406 response application/graphql-response+json or application/json is answered"},
        Case{"type_with_charset", "POST", "/graphql", kR, "Application/JSON; Charset=utf-8", kQ,
             "response {a}||null|"},
        Case{"type_latin1", "POST", "/graphql", kR, "application/json; charset=iso-8859-1", kQ,
             "415 response charset=utf-8 is expected"},
        Case{"type_missing", "POST", "/graphql", kR, "", kQ,
             "415 response content-type: application/json is expected"},
        Case{"type_form", "POST", "/graphql", kR, "application/x-www-form-urlencoded", "query={a}",
             "415 response content-type: application/json is expected"},
        Case{"method", "PUT", "/graphql", kR, kJ, kQ, "405 response GET and POST are served here"},
        Case{"bad_json", "POST", "/graphql", kJ, kJ,
             "{\"query\":", "400 json JSON, at byte 9: Invalid value."},
        Case{"empty", "POST", "/graphql", kJ, kJ, "", "400 json JSON, at byte 0: The document is empty."},
        Case{"not_object", "POST", "/graphql", kJ, kJ, "5", "400 json expected an object with \"query\""},
        Case{"no_query", "POST", "/graphql", kJ, kJ, "{}", "400 json \"query\": missing"},
        Case{"query_number", "POST", "/graphql", kJ, kJ, R"({"query":5})",
             "400 json \"query\": expected a text"},
        Case{"variables", "POST", "/graphql", kJ, kJ,
             R"({"query":"q","operationName":"N","variables":{"a":1e400000}})",
             "400 json JSON, at byte 50: Number too big to be stored in double."},
        Case{"big_variables", "POST", "/graphql", kJ, kJ,
             R"({"query":"q","operationName":"N","variables":{"a":12345678901234567890123}})",
             "json q|N|{\"a\":12345678901234567890123}|"},
        Case{"variables_list", "POST", "/graphql", kJ, kJ, R"({"query":"q","variables":[]})",
             "400 json \"variables\": expected an object"},
        Case{"unknown_member", "POST", "/graphql", kJ, kJ, R"({"query":"q","more":1})", "json q||null|"},
        Case{"twice", "POST", "/graphql", kJ, kJ, R"({"query":"q","query":"r"})",
             "400 json JSON, at byte 24: \"query\" stands twice in an object"},
        Case{
            "hash", "POST", "/graphql", kJ, kJ,
            R"({"extensions":{"persistedQuery":{"version":1,"sha256Hash":"ABCD567890123456789012345678901234567890123456789012345678901234"}}})",
            "json ||null|abcd"},
        Case{"hash_short", "POST", "/graphql", kJ, kJ,
             R"({"extensions":{"persistedQuery":{"version":1,"sha256Hash":"ab"}}})",
             "400 json \"extensions.persistedQuery\": expected version 1 and a sha256Hash of 64 hex digits"},
        Case{"batch", "POST", "/graphql", kJ, kJ, R"([{"query":"a"},{"query":"b"}])",
             "json a||null|;b||null|;"},
        Case{"batch_long", "POST", "/graphql", kJ, kJ, R"([{"query":"a"},{"query":"b"},{"query":"c"}])",
             "400 json expected from 1 to 2 operations in a batch"},
        Case{"get", "GET", "/graphql?query=%7Ba%7D&operationName=N&variables=%7B%22v%22%3A+1%7D", kR, "", "",
             "response {a}|N|{\"v\":1}|"},
        Case{"get_empty_variables", "GET", "/graphql?query=a&variables=", kR, "", "", "response a||null|"},
        Case{"get_bad_variables", "GET", "/graphql?query=a&variables=%7B", kR, "", "",
             "400 response \"variables\": JSON, at byte 1: Missing a name for object member."},
        Case{"get_bad_percent", "GET", "/graphql?query=%7", kR, "", "",
             "400 response the query string is not percent-encoded UTF-8"},
        Case{"get_bad_percent_2", "GET", "/graphql?query=%+7", kR, "", "",
             "400 response the query string is not percent-encoded UTF-8"},
        Case{"get_twice", "GET", "/graphql?query=a&query=b", kR, "", "",
             "400 response \"query\" is given twice"},
        Case{"get_nothing", "GET", "/graphql", kR, "", "", "400 response \"query\": missing"},
        Case{"page", "GET", "/graphql", "text/html,application/xhtml+xml,*/*;q=0.8", "", "", "page"},
        Case{"page_not_by_star", "GET", "/graphql", "*/*", "", "", "400 json \"query\": missing"}),
    [](const auto& one) { return std::string(one.param.name); });

TEST(HttpStatusTest, FollowsTheMediaType) {
  EXPECT_EQ(http_status(Media::response_json, true, false), 200);
  EXPECT_EQ(http_status(Media::response_json, false, false), 400);
  EXPECT_EQ(http_status(Media::json, false, false), 200);
  EXPECT_EQ(http_status(Media::json, false, true), 400);
}

TEST(DocumentsTest, AreKeptWithinTheirBoundTheLongestUnusedGoingFirst) {
  const Schema schema("type Query{a:Int b:Int}");
  Documents documents(schema, {}, 48'000, [] { return Time{}; });
  const auto first = documents.get("{a}");
  EXPECT_TRUE(first->errors.empty());
  EXPECT_EQ(documents.get("{a}"), first);
  for (int i = 0; i < 60; ++i) {
    documents.get("{a a" + std::to_string(i) + ":a}");
    documents.get("{a}");
    ASSERT_LE(documents.counts().bytes, 48'000U);
  }
  EXPECT_EQ(documents.get("{a}"), first) << "in use all the time";
  EXPECT_GT(documents.counts().dropped, 0U);
  const auto misses = documents.counts().misses;
  documents.get("{a a0:a}");
  EXPECT_EQ(documents.counts().misses, misses + 1);
  documents.get("{a" + std::string(4000, ' ') + "}");
  EXPECT_EQ(documents.get("{a}"), first) << "one large document drives out no others";
}

TEST(DocumentsTest, Sha256IsThatOfTheStandard) {
  EXPECT_EQ(sha256_hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST(KeysTest, AnswerRepeatsForTheirWindowAndNoLonger) {
  using State = Keys::State;
  Keys keys(10s, 3, 100);
  EXPECT_EQ(keys.begin(0s, "a", 1).state, State::fresh);
  EXPECT_EQ(keys.begin(1s, "a", 1).state, State::in_progress);
  EXPECT_EQ(keys.begin(1s, "a", 2).state, State::mismatch);
  keys.done(2s, "a", "answer");
  EXPECT_EQ(keys.begin(11s, "a", 1).state, State::known);
  EXPECT_EQ(keys.begin(11s, "a", 1).answer, "answer");
  EXPECT_EQ(keys.begin(11s, "a", 2).state, State::mismatch);
  EXPECT_EQ(keys.begin(12s, "a", 2).state, State::fresh);
  keys.forget("a");
  EXPECT_EQ(keys.size(), 0U);
  EXPECT_EQ(keys.bytes(), 0U);
}

TEST(KeysTest, AFullStoreRefusesNewKeysAndForgetsNoPromise) {
  using State = Keys::State;
  Keys keys(10s, 2, 1000);
  EXPECT_EQ(keys.begin(0s, "a", 1).state, State::fresh);
  keys.done(0s, "a", "x");
  EXPECT_EQ(keys.begin(0s, "b", 1).state, State::fresh);
  EXPECT_EQ(keys.begin(0s, "c", 1).state, State::full);
  EXPECT_EQ(keys.begin(0s, "a", 1).state, State::known);
  EXPECT_EQ(keys.begin(10s, "c", 1).state, State::fresh) << "a's window is over";
  EXPECT_EQ(keys.begin(10s, "a", 1).state, State::full) << "b is in progress still";
}

}  // namespace
}  // namespace heronwell::graphql
