// Tests of GraphQL through a real router and stand-in engines, with failures of engines and clients. The
// engines' records show which statements ran, and how often.
#include "test_system.hpp"
#include "trace/timeline.hpp"

namespace heronwell::e2e {
namespace {

using Json = nlohmann::json;

constexpr const char* kSchema = R"(
type Item { id: ID! name: String parts: [Part!] @sql(
  statement: "select parts of :parents /*hw id=parts work_ms=1 each=$1 columns=item:25=each,text:25 */",
  class: "lookup", parent: "id", by: "item") }
type Part { text: String }
type Query {
  item(id: ID!, work: Int = 0, error: String): Item @sql(
    statement: "select :id :work :error /*hw id=$1 work_ms=$2 error=$3 columns=id:25=$1,name:25 */", class: "lookup")
  items(id: ID!, rows: Int!, text: String): [Item!] @sql(
    statement: "select :id :rows :text /*hw id=$1 rows=$2 columns=id:25,name:25=$3 */", class: "lookup")
}
type Mutation {
  load(id: ID!, work: Int = 0): Int @sql(
    statement: "insert :id :work :idempotency_key /*hw id=$1 work_ms=$2 columns=none tag=INSERT */", class: "load")
  sync(id: ID!, work: Int = 0): Int @sql(
    statement: "insert :id :work :idempotency_key /*hw id=$1 work_ms=$2 columns=none tag=INSERT */", class: "sync")
})";

std::string json_quoted(const std::string& text) { return Json(text).dump(); }

TestSystem::Options graphql_options(const std::string& extra = "", const std::string& schema = kSchema) {
  TestSystem::Options out;
  out.settings = "graphql: {sdl: " + json_quoted(schema) + (extra.empty() ? "" : ", " + extra) + "}\n";
  out.classes = "  sync: {aim: 1s, give_up: 4s, effect: keyed, repeat_window: 60s}\n";
  return out;
}
void post_graphql(Client& client, const std::string& query, const std::string& extra = "",
                  const std::string& variables = "{}") {
  const auto body = R"({"query":)" + json_quoted(query) + R"(,"variables":)" + variables + "}";
  client.send(fmt::format(
      "POST /graphql HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\ncontent-length: {}\r\n"
      "accept: application/graphql-response+json\r\n{}\r\n{}",
      body.size(), extra, body));
}
struct GraphqlResponse {
  int status = 0;
  Json body;
  std::string code(std::size_t i = 0) const {
    return extension("code", i).is_string() ? extension("code", i) : "";
  }
  Json extension(const std::string& name, std::size_t i = 0) const {
    const Json::json_pointer at("/errors/" + std::to_string(i) + "/extensions/" + name);
    return body.is_object() && body.contains(at) ? body[at] : Json();
  }
};
GraphqlResponse read_graphql(Client& client) {
  const auto response = client.read_response();
  EXPECT_TRUE(response.complete);
  return {response.status, Json::parse(response.body, nullptr, false)};
}
GraphqlResponse execute(const TestSystem& system, const std::string& query, const std::string& extra = "",
                        const std::string& variables = "{}") {
  auto client = system.client();
  post_graphql(client, query, extra, variables);
  return read_graphql(client);
}

TEST(GraphqlTest, PassesArgumentsUnchangedToTheEngineAndReturnsRows) {
  TestSystem system(graphql_options());
  const auto response =
      execute(system, "query($i:ID!){item(id:$i){id name parts{text}}}", "", R"({"i":"a'b; --\\ \u00e9"})");
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body["data"]["item"]["id"], "a'b; --\\ \u00e9");
  EXPECT_EQ(response.body["data"]["item"]["parts"][0]["text"], "text 1");
  EXPECT_EQ(system.event_count("began", "parts"), 1U);
}

TEST(GraphqlTest, AStatementErrorAffectsOnlyItsField) {
  TestSystem system(graphql_options());
  const auto response = execute(system, "{a:item(id:1){id} b:item(id:2 error:\"42P01\"){id}}");
  EXPECT_EQ(response.body["data"]["a"]["id"], "1");
  EXPECT_TRUE(response.body["data"]["b"].is_null());
  EXPECT_EQ(response.code(), "STATEMENT_ERROR");
  EXPECT_EQ(response.extension("sqlstate"), "42P01");
  EXPECT_EQ(response.body["errors"][0]["path"], Json::array({"b"}));
}

TEST(GraphqlTest, ReturnsPartialDataBeforeTheDeadline) {
  TestSystem system(graphql_options());
  const auto began = std::chrono::steady_clock::now();
  const auto response = execute(system, "{slow:item(id:\"s\" work:3000){id} fast:item(id:\"f\"){id}}",
                                "heronwell-timeout-ms: 600\r\n");
  const auto duration = std::chrono::steady_clock::now() - began;
  EXPECT_LT(duration, 600ms);
  EXPECT_GT(duration, 300ms);
  EXPECT_EQ(response.body["data"]["fast"]["id"], "f") << response.body;
  EXPECT_TRUE(response.body["data"]["slow"].is_null());
  EXPECT_EQ(response.code(), "STATEMENT_REFUSED") << "expected a code that allows a retry";
  EXPECT_EQ(response.extension("retryHarmless"), true);
  EXPECT_TRUE(system.wait_for_event("cancel", "s"));
}

TEST(GraphqlTest, AResponseWithARefusedFieldWaitsForTheRunningFields) {
  auto options = graphql_options();
  options.settings += "allow: {max_open: 2, retry_after: true, max_retry_after: 2s}\n";
  TestSystem system(options);
  const auto began = std::chrono::steady_clock::now();
  const auto response =
      execute(system, "{a:item(id:\"a\" work:3000){id} b:item(id:\"b\" work:3000){id} c:item(id:\"c\"){id}}",
              "heronwell-timeout-ms: 500\r\n");
  ASSERT_EQ(response.body["errors"].size(), 3U) << response.body;
  EXPECT_EQ(response.code(0), "STATEMENT_REFUSED");
  EXPECT_GE(std::chrono::steady_clock::now() - began, 400ms);
  EXPECT_EQ(response.code(2), "STATEMENT_REFUSED");
  EXPECT_EQ(response.extension("outcome", 2), "refused");
  EXPECT_EQ(response.extension("retryHarmless", 2), true);
  EXPECT_EQ(system.event_count("read", "c"), 0U);
}

TEST(GraphqlTest, ADisconnectCancelsRunningQueuedAndConnectingStatements) {
  auto options = graphql_options("parallel: 40");
  options.traits.sessions = 64;
  TestSystem system(options);
  system.inject_fault(1, "slow_start_ms 700");
  auto client = system.client();
  std::string query = "{";
  for (int i = 0; i < 40; ++i) query += fmt::format("a{0}:item(id:\"h{0}\" work:2500){{id}} ", i);
  post_graphql(client, query + "}");
  const auto count = [&](const char* event) {
    unsigned sum = 0;
    for (int i = 0; i < 40; ++i) sum += system.event_count(event, fmt::format("h{}", i));
    return sum;
  };
  const auto deadline = std::chrono::steady_clock::now() + 3s;
  while (count("began") < 3 && std::chrono::steady_clock::now() < deadline) std::this_thread::sleep_for(5ms);
  std::this_thread::sleep_for(50ms);
  const auto running = count("began");
  ASSERT_GE(running, 3U);
  ASSERT_LT(running, 40U) << "expected some statements to be queued or waiting for a connection";
  EXPECT_GT(system.metric("heronwell_class_queued{class=\"lookup\"}") +
                system.metric("heronwell_engine_connections"),
            running);
  client.disconnect();
  EXPECT_TRUE(system.wait_for_metric("heronwell_requests_open", 0));
  EXPECT_TRUE(system.wait_for_metric("heronwell_graphql_open", 0));
  // Wait longer than the slow connection set-up, after which a statement could have begun.
  std::this_thread::sleep_for(1200ms);
  EXPECT_EQ(count("began"), running) << "a statement began after its client had disconnected";
  EXPECT_EQ(count("cancel") + count("dropped"), running) << "expected each running statement to be cancelled";
  EXPECT_EQ(count("done"), 0U);
}

TEST(GraphqlTest, TenThousandParentsUseOneChildStatement) {
  TestSystem system(graphql_options());
  const auto response = execute(system, "{items(id:\"many\" rows:10000){id parts{text}}}");
  ASSERT_EQ(response.body["data"]["items"].size(), 10'000U) << response.body.dump().substr(0, 300);
  EXPECT_EQ(response.body["data"]["items"][9999]["parts"][0]["text"], "text 10000");
  EXPECT_EQ(system.event_count("began", "parts"), 1U);
}

TEST(GraphqlTest, AFieldAboveTheSizeLimitIsCancelledAndTheOthersAreAnswered) {
  TestSystem system(graphql_options("answer: 8MiB"));
  const auto response =
      execute(system, "query($t:String!){big:items(id:\"big\" rows:2000000 text:$t){name} item(id:1){id}}",
              "", fmt::format(R"({{"t":"{}"}})", std::string(100, 'x')));
  EXPECT_EQ(response.code(), "ANSWER_TOO_LARGE") << response.body.dump().substr(0, 300);
  EXPECT_EQ(response.body["data"]["item"]["id"], "1");
  EXPECT_EQ(system.event_count("sent", "big"), 0U)
      << "expected the statement to be cancelled before the engine had sent all rows";
  EXPECT_EQ(execute(system, "{item(id:2){id}}").body["data"]["item"]["id"], "2");
}

TEST(GraphqlTest, AClientThatStopsReadingIsDisconnected) {
  TestSystem system(graphql_options());
  auto client = system.client(4096);
  for (int i = 0; i < 3; ++i)
    post_graphql(client, "query($t:String!){items(id:\"big\" rows:20000 text:$t){name}}", "",
                 fmt::format(R"({{"t":"{}"}})", std::string(200, 'x')));
  EXPECT_TRUE(client.readable());
  EXPECT_TRUE(system.wait_for_metric("heronwell_connections", 1, 5s))
      << "expected only the connection that reads metrics";
  EXPECT_TRUE(system.wait_for_metric("heronwell_graphql_open", 0));
}

// ---- loads ---------------------------------------------------------------------------------------------
TEST(GraphqlLoadTest, IfTheEngineFailsAfterTheStartTheOutcomeIsUnknownAndTheNextIsNotStarted) {
  TestSystem system(graphql_options());
  auto client = system.client();
  post_graphql(client, "mutation{a:load(id:\"first\" work:1500) b:load(id:\"second\")}");
  ASSERT_TRUE(system.wait_for_event("began", "first"));
  system.kill_engine(system.engine_of("first"));
  const auto response = read_graphql(client);
  EXPECT_EQ(response.body["data"], Json({{"a", nullptr}, {"b", nullptr}}));
  EXPECT_EQ(response.code(0), "OUTCOME_UNKNOWN");
  EXPECT_EQ(response.extension("retryHarmless", 0), false);
  EXPECT_EQ(response.code(1), "NOT_STARTED");
  EXPECT_EQ(system.event_count("began", "first"), 1U) << "the statement was sent again";
  EXPECT_EQ(system.event_count("read", "second"), 0U);
}

TEST(GraphqlLoadTest, IfTheEngineFailsBeforeItsResponseTheOutcomeIsUnknown) {
  TestSystem system(graphql_options());
  for (unsigned e : {0U, 1U}) system.inject_fault(e, "reset_after 1");
  const auto response = execute(system, "mutation{load(id:\"one\")}");
  EXPECT_EQ(response.code(), "OUTCOME_UNKNOWN");
  EXPECT_EQ(system.event_count("done", "one"), 1U);
  EXPECT_EQ(system.event_count("read", "one"), 1U);
}

TEST(GraphqlLoadTest, IfTheEngineIsDownBeforeTheStartAnotherRunsIt) {
  TestSystem system(graphql_options());
  system.kill_engine(0);
  for (int i = 0; i < 4; ++i) {
    const auto response = execute(system, fmt::format("mutation{{load(id:\"l{}\")}}", i));
    EXPECT_EQ(response.body["data"]["load"], 1) << response.body;
    EXPECT_EQ(system.event_count("began", fmt::format("l{}", i)), 1U);
  }
}

TEST(GraphqlLoadTest, AClientRetryRunsAgainOnlyWithoutAnIdempotencyKey) {
  TestSystem system(graphql_options());
  for (int i = 0; i < 2; ++i)
    EXPECT_EQ(execute(system, "mutation{load(id:\"bare\")}").body["data"]["load"], 1);
  EXPECT_EQ(system.event_count("began", "bare"), 2U);
  for (int i = 0; i < 3; ++i)
    EXPECT_EQ(
        execute(system, "mutation{load(id:\"kept\")}", "idempotency-key: \"k\"\r\n").body["data"]["load"], 1);
  EXPECT_EQ(system.event_count("began", "kept"), 1U);
  EXPECT_EQ(execute(system, "mutation{load(id:\"other\")}", "idempotency-key: \"k\"\r\n").status, 422);
  EXPECT_EQ(system.event_count("began", "other"), 0U);
}

TEST(GraphqlLoadTest, AnUnknownOutcomeWithAKeyStaysUnknownAndIsNotRetried) {
  TestSystem system(graphql_options());
  for (unsigned e : {0U, 1U}) system.inject_fault(e, "reset_after 1");
  EXPECT_EQ(execute(system, "mutation{load(id:\"u\")}", "idempotency-key: \"u\"\r\n").code(),
            "OUTCOME_UNKNOWN");
  for (unsigned e : {0U, 1U}) system.inject_fault(e, "reset_after 0");
  EXPECT_EQ(execute(system, "mutation{load(id:\"u\")}", "idempotency-key: \"u\"\r\n").code(),
            "OUTCOME_UNKNOWN");
  EXPECT_EQ(system.event_count("read", "u"), 1U);
}

TEST(GraphqlLoadTest, AKeyedClassMayBeRetriedWithItsKey) {
  auto options = graphql_options();
  options.settings += "rules: {max_attempts: 1}\n";
  TestSystem system(options);
  for (unsigned e : {0U, 1U}) system.inject_fault(e, "reset_after 1");

  const auto bare = execute(system, "mutation{sync(id:\"b\")}");
  EXPECT_EQ(bare.code(), "OUTCOME_UNKNOWN") << bare.body;
  EXPECT_EQ(bare.extension("retryHarmless"), false);
  const auto first = execute(system, "mutation{sync(id:\"s\")}", "idempotency-key: \"s\"\r\n");
  EXPECT_EQ(first.code(), "STATEMENT_REFUSED") << first.body;
  EXPECT_EQ(first.extension("retryHarmless"), true) << "with the same key";
  for (unsigned e : {0U, 1U}) system.inject_fault(e, "reset_after 0");
  // The engines are ejected for a short time, so the client retries with its key until one is available.
  GraphqlResponse last;
  for (int i = 0; i < 40 && last.body["data"]["sync"] != 1; ++i) {
    std::this_thread::sleep_for(200ms);
    last = execute(system, "mutation{sync(id:\"s\")}", "idempotency-key: \"s\"\r\n");
  }
  EXPECT_EQ(last.body["data"]["sync"], 1) << last.body;
}

TEST(GraphqlLoadTest, ARetryDuringTheFirstAttemptGets409AndIsNotRun) {
  TestSystem system(graphql_options());
  auto client = system.client();
  post_graphql(client, "mutation{load(id:\"p\" work:400)}", "idempotency-key: \"p\"\r\n");
  ASSERT_TRUE(system.wait_for_event("began", "p"));
  EXPECT_EQ(execute(system, "mutation{load(id:\"p\" work:400)}", "idempotency-key: \"p\"\r\n").status, 409);
  EXPECT_EQ(read_graphql(client).body["data"]["load"], 1);
  EXPECT_EQ(system.event_count("read", "p"), 1U);
}

TEST(GraphqlLoadTest, AfterADisconnectTheOutcomeIsUnknownForTheKey) {
  TestSystem system(graphql_options());
  auto client = system.client();
  post_graphql(client, "mutation{load(id:\"g\" work:1000)}", "idempotency-key: \"g\"\r\n");
  ASSERT_TRUE(system.wait_for_event("began", "g"));
  client.disconnect();
  ASSERT_TRUE(system.wait_for_metric("heronwell_graphql_open", 0));
  EXPECT_EQ(execute(system, "mutation{load(id:\"g\" work:1000)}", "idempotency-key: \"g\"\r\n").code(),
            "OUTCOME_UNKNOWN");
  EXPECT_EQ(system.event_count("read", "g"), 1U);
}

// ---- HTTP ----------------------------------------------------------------------------------------------
TEST(GraphqlHttpTest, PersistedDocumentsAreFoundByHashOnTheRouterThatReceivedThem) {
  TestSystem first_system(graphql_options()),
      other_schema_system(graphql_options(
          "", "type Query{item(id: ID!): Int @sql(statement: \"select :id\", class: \"lookup\")}"));
  const std::string query = "{item(id:5){id}}";
  const auto by_hash = [&](const TestSystem& system, const std::string& text) {
    auto client = system.client();
    const auto body =
        fmt::format(R"({{{}"extensions":{{"persistedQuery":{{"version":1,"sha256Hash":"{}"}}}}}})",
                    text.empty() ? "" : "\"query\":" + json_quoted(text) + ",", graphql::sha256_hex(query));
    client.send(fmt::format(
        "POST /graphql HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{}",
        body.size(), body));
    return read_graphql(client);
  };
  EXPECT_EQ(by_hash(first_system, "").code(), "PERSISTED_QUERY_NOT_FOUND");
  EXPECT_EQ(by_hash(first_system, "{item(id:6){id}}").code(), "PERSISTED_QUERY_MISMATCH");
  EXPECT_EQ(by_hash(first_system, query).body["data"]["item"]["id"], "5");
  EXPECT_EQ(by_hash(first_system, "").body["data"]["item"]["id"], "5");
  // A router with another schema validates the same document against its own schema.
  EXPECT_EQ(by_hash(other_schema_system, "").code(), "PERSISTED_QUERY_NOT_FOUND");
  EXPECT_EQ(by_hash(other_schema_system, query).code(), "GRAPHQL_VALIDATION_FAILED");
  EXPECT_EQ(by_hash(other_schema_system, "").code(), "PERSISTED_QUERY_NOT_FOUND")
      << "expected an invalid document not to be stored";
  EXPECT_EQ(execute(other_schema_system, "{item(id:5)}").body["data"]["item"], 1);
}

TEST(GraphqlHttpTest, BatchesAreAcceptedOnlyIfConfiguredAndRejectMutations) {
  TestSystem batching(graphql_options("batch: 3")), not_batching(graphql_options());
  const auto batch = [](const TestSystem& system, const std::string& body) {
    auto client = system.client();
    client.send(fmt::format(
        "POST /graphql HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{}",
        body.size(), body));
    return read_graphql(client);
  };
  const std::string two = R"([{"query":"{item(id:1){id}}"},{"query":"mutation{load(id:\"m\")}"}])";
  const auto response = batch(batching, two);
  EXPECT_EQ(response.body[0]["data"]["item"]["id"], "1");
  EXPECT_EQ(response.body[1]["errors"][0]["message"], "a mutation can't stand in a batch");
  EXPECT_EQ(batch(not_batching, two).status, 400);
  EXPECT_EQ(batch(batching, "[]").status, 400);
  EXPECT_EQ(batching.event_count("read", "m"), 0U);
}

TEST(GraphqlHttpTest, PipelinedRequestsAreAnsweredInOrder) {
  TestSystem system(graphql_options());
  auto client = system.client();
  for (int i = 0; i < 8; ++i)
    post_graphql(client, fmt::format("{{item(id:\"o{}\" work:{}){{id}}}}", i, i % 2 == 0 ? 60 : 0));
  for (int i = 0; i < 8; ++i)
    EXPECT_EQ(read_graphql(client).body["data"]["item"]["id"], fmt::format("o{}", i));
}

TEST(GraphqlHttpTest, SeveralThreadsServeOneSchema) {
  auto options = graphql_options();
  options.threads = 3;
  TestSystem system(options);
  for (int i = 0; i < 12; ++i) EXPECT_EQ(execute(system, "{item(id:1){id}}").body["data"]["item"]["id"], "1");
}

// ---- traces --------------------------------------------------------------------------------------------
std::vector<std::string> trace_lines(const std::string& file) {
  std::ifstream in(file);
  std::vector<std::string> lines;
  for (std::string line; std::getline(in, line);) lines.push_back(line);
  return lines;
}
std::string timeline_of(const std::string& file, const std::string& id) {
  std::size_t malformed = 0;
  const auto text = trace::timeline(trace_lines(file), id, malformed);
  EXPECT_EQ(malformed, 0U);
  return text;
}

TEST(GraphqlTraceTest, ATraceContainsEachStepAndARetry) {
  const auto file =
      std::filesystem::temp_directory_path() / fmt::format("heronwell-e2e-{}.jsonl", ::getpid());
  std::string id;
  std::size_t sampled_count = 0;
  {
    auto options = graphql_options();
    options.settings += fmt::format("trace: {{file: {}, sample: 0, comment: true}}\n", file.string());
    TestSystem system(options);
    system.inject_fault(0, "reset_before 1");
    for (int i = 0; i < 30 && system.event_count("read", fmt::format("r{}", i - 1), 0) == 0; ++i) {
      id = fmt::format("0af7651916cd43dd8448eb211c8031{:02x}", i);
      const auto response = execute(system, fmt::format("{{item(id:\"r{}\"){{id parts{{text}}}}}}", i),
                                    "traceparent: 00-" + id + "-b7ad6b7169203331-01\r\n");
      EXPECT_EQ(response.status, 200);
      ++sampled_count;
    }
    system.inject_fault(0, "reset_before 0");
    EXPECT_EQ(execute(system, "{item(id:\"quiet\"){id}}").status, 200);
    EXPECT_EQ(execute(system, "{item(id:\"bad\" work:3000){id}}", "heronwell-timeout-ms: 100\r\n").code(),
              "STATEMENT_REFUSED");
  }
  const auto text = timeline_of(file, id);
  for (const auto* step : {"request  on gw", "  parse", "  validate", "  plan", "  statement item",
                           "    hold", "    choice", "class.budget_threads=", "    dial", "    attempt !",
                           "result=reset", "result=served", "  statement parts", "attempts=1"})
    EXPECT_NE(text.find(step), std::string::npos) << step << "\n" << text;
  EXPECT_EQ(trace_lines(file).size(), 2U)
      << "expected the traces sampled by the caller and the refused request, but not the successful one";
  std::filesystem::remove(file);
}

}  // namespace
}  // namespace heronwell::e2e
