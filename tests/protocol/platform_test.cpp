// Tests the codecs of the platform's protocols without sockets: frames, query calls, endpoint events of the
// bus, and the data group of a statement.
#include <gtest/gtest.h>

#include "base/bytes.hpp"
#include "bus/endpoint_event_reader.hpp"
#include "calls/calls.hpp"
#include "frames/frames.hpp"
#include "sql/group.hpp"

namespace heronwell {
namespace {

using Status = frames::DecodeResult::Status;

std::string frame(unsigned type, std::uint32_t stream, const std::string& payload) {
  std::string out;
  put_u32(out, static_cast<std::uint32_t>(5 + payload.size()));
  put_u8(out, type);
  put_u32(out, stream);
  return out + payload;
}

std::string fields(const std::vector<std::pair<std::string, std::string>>& field_list) {
  std::string out;
  put_u8(out, static_cast<unsigned>(field_list.size()));
  for (const auto& [name, value] : field_list) {
    put_u8(out, static_cast<unsigned>(name.size()));
    out += name;
    put_u16(out, static_cast<unsigned>(value.size()));
    out += value;
  }
  return out;
}

std::string request_error(const std::vector<std::pair<std::string, std::string>>& field_list,
                          const std::string& body = "select 1") {
  const auto bytes = frame(2, 1, fields(field_list) + body);
  const auto decoded = frames::decode(bytes);
  EXPECT_EQ(decoded.status, Status::frame);
  frames::Request request;
  const auto error = frames::read_request(decoded.frame, request);
  return error ? std::string(frames::text_of(*error)) : "";
}

TEST(Frames, AreDecodedTheSameForEverySplit) {
  const auto bytes =
      frame(2, 7, fields({{"c", "report"}, {"i", "9b1f03aa5c7e2d41"}}) + "select 1") + frame(8, 7, "");
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
    const auto first = frames::decode(std::string_view(bytes).substr(0, cut));
    ASSERT_NE(first.status, Status::error) << "input truncated after " << cut << " bytes";
    if (first.status == Status::need_more) continue;
    EXPECT_EQ(first.frame.body, "select 1");
    EXPECT_EQ(frames::find(first.frame, "c"), "report");
    const auto second = frames::decode(std::string_view(bytes).substr(first.consumed_bytes));
    ASSERT_EQ(second.status, Status::frame);
    EXPECT_EQ(second.frame.type, frames::FrameType::cancel);
  }
}

TEST(Frames, FrontOfAnIncompleteFrameGivesItsStreamAndItsFields) {
  const auto head = fields({{"c", "report"}, {"i", "9b1f03aa5c7e2d41"}});
  const auto bytes = frame(2, 7, head + "select 1");
  constexpr std::size_t kFrontBytes = 9;  // length, type and stream
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
    const auto incomplete = frames::decode_incomplete(std::string_view(bytes).substr(0, cut));
    ASSERT_EQ(incomplete.has_value(), cut >= kFrontBytes) << "input truncated after " << cut << " bytes";
    if (!incomplete) continue;
    EXPECT_EQ(incomplete->frame_bytes, bytes.size());
    EXPECT_EQ(incomplete->frame.stream, 7U);
    EXPECT_EQ(incomplete->fields_complete, cut >= kFrontBytes + head.size());
    EXPECT_EQ(frames::find(incomplete->frame, "c").value_or(""), incomplete->fields_complete ? "report" : "");
  }
}

// A client sends an invalid frame header and then nothing. Waiting for the rest of the frame would hold the
// connection and its buffer until a timeout, so an invalid header must fail at once.
TEST(Frames, MalformedFramesFailBeforeTheyAreComplete) {
  for (const std::uint32_t length : {0U, 4U, 262'145U, 60'000'000U, 0xffffffffU, 0x80000000U}) {
    std::string bytes;
    put_u32(bytes, length);
    EXPECT_EQ(frames::decode(bytes).status, Status::error) << "length " << length;
  }
  EXPECT_EQ(frames::decode(frame(3, 1, "")).status, Status::error);
  EXPECT_EQ(frames::decode(frame(4, 1, "")).status, Status::error) << "a type that only the router sends";
  EXPECT_EQ(frames::decode(frame(2, 0, fields({}))).status, Status::error) << "a request on stream 0";
  EXPECT_EQ(frames::decode(frame(2, 1, "")).status, Status::error) << "the count of fields is missing";
  EXPECT_EQ(frames::decode(frame(2, 1, std::string("\2\1c\0\5ab", 7))).status, Status::error)
      << "the fields extend past the frame";
  std::string longest;
  put_u32(longest, 262'144);
  EXPECT_EQ(frames::decode(longest).status, Status::need_more);
}

TEST(Frames, InvalidRequestsReturnAnErrorText) {
  const std::pair<std::string, std::string> c{"c", "report"}, i{"i", "9b1f03aa5c7e2d41"}, d{"d", "1500"},
      t{"t", "acme"};
  EXPECT_EQ(request_error({c, i, d, t}), "");
  EXPECT_NE(request_error({c, d, t}), "") << "the id is missing";
  for (const char* id : {"", "9b1f03aa5c7e2d4", "9b1f03aa5c7e2d411", "9b1f03aa5c7e2d4g", "9B1F03AA5C7E2D41"})
    EXPECT_NE(request_error({c, {"i", id}, d, t}), "") << "id " << id;
  for (const char* timeout : {"", "0", "-1", "1e3", "15.5", "nan", "99999999999999999999", "1500 "})
    EXPECT_NE(request_error({c, i, {"d", timeout}, t}), "") << "timeout " << timeout;
  EXPECT_NE(request_error({c, c, i, d, t}), "") << "a field occurs twice";
  EXPECT_NE(request_error({c, i, d, t}, ""), "") << "the statement is missing";
}

http::Parser parse_response(const std::string& text, std::string& body) {
  http::Parser parser(http::Role::response);
  std::string_view rest = text;
  while (true) {
    const auto step = parser.next(rest);
    body += step.body;
    rest.remove_prefix(step.consumed);
    if (step.event == http::Parser::Event::end || step.event == http::Parser::Event::need_more) break;
    EXPECT_NE(step.event, http::Parser::Event::error);
  }
  return parser;
}

calls::QueryStatus status_of(const std::string& head, const std::string& body) {
  std::string received;
  const auto parser = parse_response(
      "HTTP/1.1 " + head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, received);
  return calls::read_status(parser, received);
}

// Responses arrive damaged: without a page count, as another page than the first, or with truncated rows.
// None of them may be delivered as a result.
TEST(Calls, StatusIsReadAndMalformedResponsesAreDetected) {
  using enum calls::QueryStatus::State;
  const std::string rows = "1\t2\t3\n4\t5\t6\n";
  EXPECT_EQ(status_of("200 OK\r\nX-Parts: 1\r\n", rows).state, complete);
  EXPECT_EQ(status_of("200 OK\r\nX-Parts: 3\r\n", rows).page_count, 3U);
  EXPECT_EQ(status_of("200 OK\r\nX-Parts: 1\r\n", "").state, complete) << "a result without rows is valid";
  for (const char* head :
       {"200 OK\r\n", "200 OK\r\nX-Parts: 0\r\n", "200 OK\r\nX-Parts: -1\r\n", "200 OK\r\nX-Parts: 65\r\n",
        "200 OK\r\nX-Parts: 1\r\nX-Part-No: 1\r\n", "404 Not Found\r\n"})
    EXPECT_EQ(status_of(head, rows).state, malformed) << head;
  for (const char* body : {"1\t2\t3", "1\t2\n", "1\t2\t3\t4\n", "1\t2\t3\n\n"})
    EXPECT_EQ(status_of("200 OK\r\nX-Parts: 1\r\n", body).state, malformed) << body;
  EXPECT_EQ(status_of("200 OK\r\nX-Parts: 1\r\n", std::string(6'001, 'x')).state, malformed)
      << "larger than a page";
  const auto progress = status_of("202 Accepted\r\nX-Tell: spill_mb\r\nX-Amount: 12.5\r\n", "");
  EXPECT_EQ(progress.state, pending);
  EXPECT_EQ(progress.progress, ProgressKind::spill);
  EXPECT_DOUBLE_EQ(progress.amount, 12.5);
  EXPECT_FALSE(status_of("202 Accepted\r\nX-Tell: progress\r\nX-Amount: nan\r\n", "").progress);
  EXPECT_FALSE(status_of("202 Accepted\r\nX-Tell: gossip\r\nX-Amount: 1\r\n", "").progress);
}

TEST(Calls, EachCallResultMapsToItsAttemptResult) {
  struct Row {
    const char* head;
    AttemptResult result;
  };
  for (const auto& row :
       {Row{"503 Busy\r\nX-No-Effect: 1\r\n", AttemptResult::rejected},
        Row{"504 Late\r\nX-No-Effect: 1\r\n", AttemptResult::never_started},
        Row{"503 Busy\r\n", AttemptResult::error}, Row{"504 Late\r\n", AttemptResult::error},
        Row{"503 Busy\r\nX-No-Effect: 0\r\n", AttemptResult::error},
        Row{"500 Error\r\nX-No-Effect: 1\r\n", AttemptResult::error}}) {
    const auto result = calls::attempt_result_of(status_of(row.head, "").result);
    EXPECT_EQ(result, row.result) << row.head;
  }
  using enum calls::CallResult;
  EXPECT_EQ(calls::attempt_result_of(not_connected), AttemptResult::not_connected);
  EXPECT_EQ(calls::attempt_result_of(not_written), AttemptResult::never_started);
  EXPECT_EQ(calls::attempt_result_of(broken), AttemptResult::reset);
  EXPECT_EQ(calls::attempt_result_of(complete), AttemptResult::served);
  EXPECT_EQ(calls::attempt_result_of(cancelled), AttemptResult::cancelled);
}

TEST(Calls, PageIsAcceptedOnlyIfCompleteAndWithTheExpectedNumber) {
  std::string body;
  const auto page =
      parse_response("HTTP/1.1 200 OK\r\nX-Part-No: 2\r\nContent-Length: 6\r\n\r\na\tb\tc\n", body);
  EXPECT_TRUE(calls::is_complete_page(page, body, 2));
  EXPECT_FALSE(calls::is_complete_page(page, body, 1)) << "another page than expected";
  EXPECT_FALSE(calls::is_complete_page(page, "a\tb\n", 2)) << "a truncated row";
}

TEST(Calls, LoadReportValuesAreReturnedInTheOrderOfTheSettings) {
  std::string body;
  const auto valid = parse_response(
      "HTTP/1.1 200 OK\r\nX-Report: util:0.61;inflight:7;new:1\r\nContent-Length: 0\r\n\r\n", body);
  EXPECT_EQ(calls::read_load_report(valid, {LoadField::in_flight, LoadField::utilization}),
            (std::vector<double>{7, 0.61}));
  EXPECT_TRUE(calls::read_load_report(valid, {LoadField::queue}).empty());
  const auto invalid = parse_response(
      "HTTP/1.1 200 OK\r\nX-Report: inflight:-7;util:inf;;:\r\nContent-Length: 0\r\n\r\n", body);
  EXPECT_TRUE(calls::read_load_report(invalid, {LoadField::in_flight, LoadField::utilization}).empty());
}

std::string event(int offset, bool snapshot, const std::string& hosts) {
  return R"({"offset":)" + std::to_string(offset) + R"(,"topology":{"seq":1,"whole":)" +
         (snapshot ? "true" : "false") + R"(,"hosts":[)" + hosts + "]}}";
}
std::string batch(int last_offset, const std::string& events) {
  return R"({"offset":)" + std::to_string(last_offset) + R"(,"batch":[)" + events + "]}";
}
std::string host(const std::string& name, const std::string& health, int port = 1) {
  return R"({"host":")" + name + R"(","dial":"127.0.0.9:)" + std::to_string(port) +
         R"(","site":"east","class":"std","block":2,"health":")" + health + R"(","share":4,"born_ms":77})";
}

TEST(Bus, DeltasApplyInOrder) {
  bus::EndpointEventReader events;
  EXPECT_TRUE(events.apply(batch(1, event(1, true, host("a", "up") + "," + host("b", "up")))));
  EXPECT_EQ(events.entries().size(), 2U);
  EXPECT_EQ(events.entries()[0].started_ms, 77);
  EXPECT_FALSE(events.apply(batch(1, ""))) << "a batch without new events";
  EXPECT_TRUE(events.apply(
      batch(3, event(2, false, host("a", "draining")) + "," + event(3, false, host("b", "removed")))));
  ASSERT_EQ(events.entries().size(), 1U);
  EXPECT_EQ(events.entries()[0].state, EndpointState::draining);
  EXPECT_TRUE(
      events.apply(batch(4, event(2, false, host("a", "up")) + "," + event(4, false, host("c", "up")))))
      << "event 2 is repeated and must be ignored";
  EXPECT_EQ(events.entries()[0].state, EndpointState::draining);
  EXPECT_EQ(events.offset(), 4U);
}

// A response contains a valid delta and then a malformed one. Applying the first and dropping the rest would
// skip events permanently, since the next poll asks only for later events.
TEST(Bus, MalformedResponseChangesNothing) {
  bus::EndpointEventReader events;
  ASSERT_TRUE(events.apply(batch(1, event(1, true, host("a", "up")))));
  const auto good = event(2, false, host("a", "draining"));
  for (const auto& bad : {std::string("{"), batch(2, good).substr(0, 60), batch(3, good),
                          batch(4, good + "," + event(4, false, "")),
                          batch(3, good + "," + event(3, false, host("b", "asleep"))),
                          batch(3, good + "," + event(3, false, host("b", "up", 0))), std::string("[]")}) {
    EXPECT_THROW(events.apply(bad), std::invalid_argument) << bad;
    EXPECT_EQ(events.offset(), 1U);
    EXPECT_EQ(events.entries()[0].state, EndpointState::ready);
  }
}

// The bus sends a Content-Length that is too small. The list must not be taken from a part of a response.
TEST(Bus, NoPartOfAResponseIsApplied) {
  bus::EndpointEventReader events;
  const auto whole = batch(2, event(1, true, host("a", "up")) + "," + event(2, false, host("b", "up")));
  for (std::size_t length = 0; length < whole.size(); ++length)
    EXPECT_THROW(events.apply(whole.substr(0, length)), std::invalid_argument) << length;
  EXPECT_TRUE(events.entries().empty());
  EXPECT_TRUE(events.apply(whole));
}

// The bus dropped events while the router was disconnected. Applying a delta after the gap would leave
// removed engines in the list; a snapshot replaces the list and does not need the missed events.
TEST(Bus, SnapshotIsAppliedAfterMissingEvents) {
  bus::EndpointEventReader events;
  ASSERT_TRUE(events.apply(batch(1, event(1, true, host("a", "up")))));
  EXPECT_THROW(events.apply(batch(9, event(9, false, host("b", "up")))), std::invalid_argument);
  ASSERT_TRUE(
      events.apply(batch(9, event(8, true, host("c", "up")) + "," + event(9, false, host("d", "up")))));
  EXPECT_EQ(events.offset(), 9U);
  ASSERT_EQ(events.entries().size(), 2U);
  EXPECT_EQ(events.entries()[0].name, "c");
}

TEST(DataGroup, IsTheNumberInTheNameOfASchemaOnly) {
  const auto group = [](const char* text) { return sql::find_data_group(text).value_or(-1); };
  EXPECT_EQ(group("select * from sales_17.orders"), 17);
  EXPECT_EQ(group("SELECT id, n -- was: from mart_1.old\nFROM mart_9.lines"), 9);
  EXPECT_EQ(group("select a.id, 'from lake_0.decoy' as note from lake_3.t a"), 3);
  EXPECT_EQ(group("select /* ops_1.x /* ops_2.y */ */ 1 from ops_4 . t"), 4);
  EXPECT_EQ(group("insert into staging.t select * from \"sales_5\".orders"), 5);
  EXPECT_EQ(group("select 'it''s a_1.b', e'\\'a_2.b' from c_6.d"), 6);
  EXPECT_EQ(group("select $x$ a_1.b $x$, $1 from c_7.d"), 7);
  EXPECT_EQ(group("select 1"), -1);
  EXPECT_EQ(group("select 'unclosed a_1.b"), -1);
  EXPECT_EQ(group("select a_.b, staging.c"), -1);
}

}  // namespace
}  // namespace heronwell
