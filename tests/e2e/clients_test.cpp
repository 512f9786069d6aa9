// Tests of clients that disconnect, read slowly, pipeline requests, send slowly or send too much, and of
// responses that break.
#include <sys/resource.h>

#include "test_system.hpp"

namespace heronwell::e2e {
namespace {

TEST(Clients, DisconnectWhileRunningCancelsTheQuery) {
  TestSystem system({.engines = 1});
  auto client = system.client();
  client.post(TestSystem::query_body("lookup", "a", "work_ms=2000"));
  ASSERT_TRUE(system.wait_for_event("began", "a"));
  client.disconnect();
  EXPECT_TRUE(system.wait_for_event("cancel", "a"));
  EXPECT_TRUE(system.wait_for_metric("heronwell_requests_open", 0));
  EXPECT_TRUE(system.wait_for_metric("heronwell_attempts_total{result=\"called_off\"}", 1));
}

TEST(Clients, DisconnectWhileQueuedRemovesTheRequest) {
  TestSystem system({.engines = 1});
  std::vector<Client> clients;
  for (int i = 0; i < 24; ++i) {  // more than one engine with four cores is sent at once
    clients.push_back(system.client());
    clients.back().post(TestSystem::query_body("load", "b" + std::to_string(i), "work_ms=800"));
  }
  ASSERT_TRUE(system.wait_for_event("began", "b0"));
  ASSERT_TRUE(system.wait_for_metric("heronwell_class_queued{class=\"load\"}", 24 - 8, 2s))
      << system.metric("heronwell_class_queued{class=\"load\"}");
  // Clients with running queries disconnect last; otherwise a freed slot would go to a queued request whose
  // client is about to disconnect.
  for (const bool running : {false, true}) {
    for (std::size_t i = 0; i < clients.size(); ++i)
      if ((system.event_count("read", "b" + std::to_string(i)) > 0) == running) clients[i].disconnect();
    EXPECT_TRUE(system.wait_for_metric("heronwell_class_queued{class=\"load\"}", 0));
  }
  EXPECT_TRUE(system.wait_for_metric("heronwell_requests_open", 0));
  std::this_thread::sleep_for(300ms);
  unsigned read_count = 0;
  for (int i = 0; i < 24; ++i) read_count += system.event_count("read", "b" + std::to_string(i));
  EXPECT_EQ(read_count, 8U) << "a queued request reached the engine";
}

TEST(Clients, DisconnectDuringAResponseCancelsTheQuery) {
  TestSystem system({.engines = 1});
  auto client = system.client(4096);
  client.post(TestSystem::query_body("lookup", "c", "work_ms=1 rows=2000000 bytes=50"));
  std::size_t bytes = 0;
  while (bytes < 1'000'000) {
    const auto chunk = client.receive();
    ASSERT_FALSE(chunk.empty());
    bytes += chunk.size();
  }
  client.disconnect();
  // A fast build may read the rest of the result within cancel_wait and keep the connection to the engine.
  EXPECT_TRUE(system.wait_for_event("cancel", "c"));
  EXPECT_TRUE(system.wait_for_metric("heronwell_requests_open", 0));
}

TEST(Clients, EngineFailureDuringAResponseBreaksTheResponse) {
  TestSystem system({.engines = 1});
  auto client = system.client(4096);
  client.post(TestSystem::query_body("lookup", "d", "work_ms=1 rows=2000000 bytes=50"));
  ASSERT_TRUE(client.readable());  // the response has begun
  system.kill_engine(0);
  const auto response = client.read_response();
  EXPECT_FALSE(response.complete);
  EXPECT_TRUE(client.closed());
  EXPECT_TRUE(system.wait_for_metric("heronwell_requests_total{class=\"lookup\",outcome=\"broken\"}", 1));
}

TEST(Clients, ABrokenResponseCancelsRequestsPipelinedAfterIt) {
  TestSystem system({.engines = 2});
  auto client = system.client(4096);
  client.post(TestSystem::query_body("lookup", "first", "work_ms=1 rows=2000000 bytes=50"));
  ASSERT_TRUE(client.readable());  // the response has begun
  client.post(TestSystem::query_body("lookup", "second", "work_ms=2500"));
  ASSERT_TRUE(system.wait_for_event("began", "second"));
  system.kill_engine(system.engine_of("first"));
  EXPECT_FALSE(client.read_response().complete);
  EXPECT_TRUE(client.closed());
  EXPECT_TRUE(system.wait_for_event("cancel", "second"));
  EXPECT_TRUE(system.wait_for_metric("heronwell_requests_open", 0));
}

TEST(Clients, AStatementErrorAfterTheFirstBytesWereSentBreaksTheResponse) {
  TestSystem system({.engines = 1});
  auto client = system.client();
  client.post(
      TestSystem::query_body("lookup", "e", "work_ms=1 rows=50000 bytes=50 error=22012 error_after_rows=1"));
  const auto response = client.read_response();
  EXPECT_EQ(response.status, 200);
  EXPECT_FALSE(response.complete);
  // A short response is still buffered when the error arrives, so that the client gets an error status.
  auto other = system.client();
  other.post(
      TestSystem::query_body("lookup", "f", "work_ms=1 rows=5 bytes=50 error=22012 error_after_rows=1"));
  EXPECT_EQ(other.read_response().status, 422);
}

std::size_t resident_bytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0, pages = 0;
  file >> total >> pages;
  return pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

TEST(Clients, ASlowReaderUsesBoundedMemory) {
  TestSystem system({.engines = 1});
  auto client = system.client(4096);
  const auto before = resident_bytes();
  client.post(TestSystem::query_body("lookup", "slow", "work_ms=1 rows=1000000 bytes=100"));  // 100 MB
  std::size_t max_growth = 0;
  for (int i = 0; i < 20; ++i) {
    ASSERT_EQ(client.receive(5s, 1).size(), 1U);
    std::this_thread::sleep_for(40ms);
    const auto now = resident_bytes();
    max_growth = std::max(max_growth, now > before ? now - before : 0);
  }
  EXPECT_LT(max_growth, 64U << 20);  // includes the stand-in engine and memory that sanitizers retain
}

TEST(Clients, AClientThatStopsReadingIsDisconnectedAfterStallTime) {
  TestSystem system({.engines = 1});
  auto client = system.client(4096);
  client.post(TestSystem::query_body("lookup", "g", "work_ms=1 rows=2000000 bytes=50"));
  ASSERT_FALSE(client.receive(5s, 100).empty());
  EXPECT_TRUE(system.wait_for_metric("heronwell_requests_open", 0, 5s));
  // A fast build may read the rest of the result within cancel_wait and keep the connection to the engine.
  EXPECT_TRUE(system.wait_for_event("cancel", "g"));
}

TEST(Clients, PipelinedRequestsAreAnsweredInOrder) {
  TestSystem system({.engines = 2});
  auto client = system.client();
  std::string requests;
  for (int i = 0; i < 40; ++i) {
    const auto body = TestSystem::query_body("lookup", "p" + std::to_string(i),
                                             fmt::format("work_ms={} rows={}", i % 3 == 0 ? 40 : 1, i % 7));
    requests +=
        fmt::format("POST /v1/query HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n{}", body.size(), body);
  }
  client.send(requests);
  for (int i = 0; i < 40; ++i) {
    const auto response = client.read_response();
    ASSERT_EQ(response.status, 200) << i << response.body;
    EXPECT_NE(response.body.find(fmt::format("\"command\":\"SELECT {}\"", i % 7)), std::string::npos) << i;
  }
}

TEST(Clients, ARequestSplitAtAnyByteIsAnswered) {
  TestSystem system({.engines = 1});
  const auto body = TestSystem::query_body("lookup", "s");
  const auto request =
      fmt::format("POST /v1/query HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n{}", body.size(), body);
  auto client = system.client();
  for (std::size_t at = 1; at < request.size(); at += 3) {
    client.send(request.substr(0, at));
    std::this_thread::sleep_for(1ms);
    client.send(request.substr(at));
    ASSERT_EQ(client.read_response().status, 200) << at;
  }
}

TEST(Clients, TooLargeTooSlowAndMalformedRequestsGetTheirStatus) {
  TestSystem system({.engines = 1});
  auto headers = system.client();
  headers.send("GET /healthz HTTP/1.1\r\nhost: a\r\nx: " + std::string(100'000, 'x'));
  EXPECT_EQ(headers.read_response().status, 431);
  auto body = system.client();
  body.send("POST /v1/query HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 99999999\r\n\r\n");
  EXPECT_EQ(body.read_response().status, 413);
  auto slow = system.client();
  slow.send("GET /healthz HTT");
  EXPECT_EQ(slow.read_response().status, 408);
  auto smuggled = system.client();
  smuggled.send(
      "POST /v1/query HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\ntransfer-encoding: "
      "chunked\r\n\r\n0\r\n\r\nGET /healthz HTTP/1.1\r\nhost: a\r\n\r\n");
  EXPECT_EQ(smuggled.read_response().status, 400);
  EXPECT_EQ(smuggled.read_response(1500ms).status, 0) << "expected no response after a 400";
  EXPECT_TRUE(smuggled.closed());
  auto expecting_continue = system.client();
  const auto query = TestSystem::query_body("lookup", "x");
  expecting_continue.send(
      fmt::format("POST /v1/query HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: {}\r\n\r\n",
                  query.size()));
  EXPECT_EQ(expecting_continue.receive(), "HTTP/1.1 100 Continue\r\n\r\n");
  expecting_continue.send(query);
  EXPECT_EQ(expecting_continue.read_response().status, 200);
  auto head = system.client();
  head.send("HEAD /healthz HTTP/1.1\r\nhost: a\r\n\r\n");
  const auto bytes = head.receive();
  EXPECT_TRUE(bytes.starts_with("HTTP/1.1 200")) << bytes;
  EXPECT_TRUE(bytes.ends_with("\r\n\r\n")) << bytes;
  auto wrong_target = system.client();
  wrong_target.send("GET /x HTTP/1.1\r\nhost: a\r\n\r\n");
  EXPECT_EQ(wrong_target.read_response().status, 404);
  wrong_target.send("GET /v1/query HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
  EXPECT_EQ(wrong_target.read_response().status, 405);
  EXPECT_TRUE(wrong_target.receive(2s).empty());
  EXPECT_TRUE(wrong_target.closed());
}

TEST(Clients, TenThousandIdleConnectionsLeaveRoomForQueriesAndAreClosed) {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
  // Both ends of each connection are in this process, so each connection takes two file descriptors.
  const auto count = std::min<std::size_t>(10'000, (limit.rlim_cur - 200) / 2);
  TestSystem system({.engines = 1});
  std::vector<Client> clients;
  clients.reserve(count);
  for (std::size_t i = 0; i < count; ++i) clients.push_back(system.client());
  EXPECT_TRUE(system.wait_for_metric("heronwell_connections", static_cast<double>(count) + 1, 1500ms));
  auto client = system.client();
  client.post(TestSystem::query_body("lookup", "one"));
  EXPECT_EQ(client.read_response().status, 200);
  EXPECT_TRUE(system.wait_for_metric("heronwell_connections", 1, 10s))
      << "expected idle connections to be closed after idle_time";
}

}  // namespace
}  // namespace heronwell::e2e
