#include <gtest/gtest.h>

#include "sql/protocol.hpp"
#include "sql/result.hpp"
#include "sql/session.hpp"

namespace heronwell::sql {
namespace {

TEST(Frames, IncompleteNeedMoreBytesAndTooLongAreMalformed) {
  std::string out;
  put_query(out, "select 1");
  for (std::size_t n = 0; n < out.size(); ++n)
    EXPECT_EQ(next_message(std::string_view(out).substr(0, n), 100).state, Frame::State::need_more)
        << "truncated after " << n << " bytes";
  EXPECT_EQ(next_message(out, 100).state, Frame::State::complete);
  EXPECT_EQ(next_message(out, out.size() - 1).state, Frame::State::malformed);
  EXPECT_EQ(next_message(std::string("D\xff\xff\xff\xff", 5), 1 << 20).state, Frame::State::malformed);
  EXPECT_EQ(next_message(std::string("D\0\0\0\3", 5), 100).state, Frame::State::malformed)
      << "the length is smaller than the length field itself";
  EXPECT_EQ(next_message(std::string("\0\0\0\0\5", 5), 100).state, Frame::State::malformed)
      << "the type is missing";
  EXPECT_EQ(next_startup(std::string("\0\1\0\0", 4)).state, Frame::State::malformed)
      << "a start-up packet of 64 KiB";
}

TEST(Codec, ReadsTheMessagesThatItWrites) {
  std::string out;
  put_startup(out, {{"user", "a"}, {"application_name", "gw"}});
  auto startup = read_startup(next_startup(out).message.payload);
  ASSERT_TRUE(startup);
  EXPECT_EQ(startup->code, kProtocolVersion);
  EXPECT_EQ(startup->parameters[1].second, "gw");
  out.clear();
  put_cancel(out, 7, 9);
  startup = read_startup(next_startup(out).message.payload);
  ASSERT_TRUE(startup);
  EXPECT_EQ(startup->process, 7U);
  EXPECT_EQ(startup->secret, 9U);
  out.clear();
  put_row(out, {"a", std::nullopt, ""});
  RowReader row(next_message(out, 100).message.payload);
  Value value;
  ASSERT_TRUE(row.next(value));
  EXPECT_EQ(value, "a");
  ASSERT_TRUE(row.next(value));
  EXPECT_FALSE(value);
  ASSERT_TRUE(row.next(value));
  EXPECT_EQ(value, "");
  EXPECT_FALSE(row.next(value));
  EXPECT_TRUE(row.ok());
  out.clear();
  put_error(out, {"ERROR", "42P01", "no table"});
  const auto payload = std::string(next_message(out, 200).message.payload);
  EXPECT_EQ(read_error(payload)->code, "42P01");
  for (std::size_t n = 0; n < payload.size(); ++n)
    EXPECT_FALSE(read_error(std::string_view(payload).substr(0, n))) << "truncated after " << n << " bytes";
}

TEST(Rows, WithAWrongLengthAreMalformed) {
  for (const auto& payload :
       {std::string("\0\1\0\0\0\5ab", 8), std::string("\0\2\0\0\0\1a", 7), std::string("\0", 1)}) {
    RowReader row(payload);
    Value value;
    while (row.next(value)) continue;
    EXPECT_FALSE(row.ok());
  }
}

// One test case for each row of the table in result.hpp.
struct Row {
  const char* name;
  StatementResult observed;
  const char* code;
  bool cancel_sent;
  AttemptResult result;
  bool client_gets_error;
};
class ResultTable : public testing::TestWithParam<Row> {};
TEST_P(ResultTable, EachStatementResultMapsToItsAttemptResult) {
  const auto& row = GetParam();
  const auto classification = classify(row.observed, row.code, {"53301"}, row.cancel_sent);
  EXPECT_EQ(classification.result, row.result);
  EXPECT_EQ(classification.client_gets_error, row.client_gets_error);
}
INSTANTIATE_TEST_SUITE_P(
    , ResultTable,
    testing::Values(
        Row{"connection_refused", StatementResult::not_connected, "", false, AttemptResult::not_connected,
            false},
        Row{"startup_53300", StatementResult::startup_error, "53300", false, AttemptResult::rejected, false},
        Row{"startup_57P03", StatementResult::startup_error, "57P03", false, AttemptResult::rejected, false},
        Row{"startup_28P01", StatementResult::startup_error, "28P01", false, AttemptResult::not_connected,
            false},
        Row{"pool_full", StatementResult::pool_full, "", false, AttemptResult::rejected, false},
        Row{"not_written", StatementResult::not_written, "", false, AttemptResult::never_started, false},
        Row{"broken_after_a_byte", StatementResult::broken, "", false, AttemptResult::reset, false},
        Row{"statement_53300_not_documented", StatementResult::statement_error, "53300", false,
            AttemptResult::error, false},
        Row{"statement_53301_documented", StatementResult::statement_error, "53301", false,
            AttemptResult::rejected, false},
        Row{"shutdown_57P01", StatementResult::statement_error, "57P01", false, AttemptResult::error, false},
        Row{"crash_57P02", StatementResult::statement_error, "57P02", false, AttemptResult::error, false},
        Row{"starting_57P03", StatementResult::statement_error, "57P03", false, AttemptResult::error, false},
        Row{"system_58030", StatementResult::statement_error, "58030", false, AttemptResult::error, false},
        Row{"internal_XX000", StatementResult::statement_error, "XX000", false, AttemptResult::error, false},
        Row{"not_supported_0A000", StatementResult::statement_error, "0A000", false, AttemptResult::served,
            true},
        Row{"cardinality_21000", StatementResult::statement_error, "21000", false, AttemptResult::served,
            true},
        Row{"data_22012", StatementResult::statement_error, "22012", false, AttemptResult::served, true},
        Row{"constraint_23505", StatementResult::statement_error, "23505", false, AttemptResult::served,
            true},
        Row{"transaction_25006", StatementResult::statement_error, "25006", false, AttemptResult::served,
            true},
        Row{"syntax_42601", StatementResult::statement_error, "42601", false, AttemptResult::served, true},
        Row{"check_option_44000", StatementResult::statement_error, "44000", false, AttemptResult::served,
            true},
        Row{"cancelled_by_this_router", StatementResult::statement_error, "57014", true,
            AttemptResult::cancelled, false},
        Row{"cancelled_by_others", StatementResult::statement_error, "57014", false, AttemptResult::error,
            false},
        Row{"closed_after_cancel", StatementResult::cancelled, "", true, AttemptResult::cancelled, false},
        Row{"deadline_passed", StatementResult::deadline_passed, "", false, AttemptResult::timed_out, false},
        Row{"complete", StatementResult::complete, "", false, AttemptResult::served, false}),
    [](const auto& test) { return std::string(test.param.name); });

// Records the events of a session as text.
struct EventLog : SessionEvents {
  void on_columns(const std::vector<Column>& columns) override {
    text += "columns " + std::to_string(columns.size()) + ";";
  }
  void on_row(RowReader row) override {
    text += "row " + std::to_string(row.columns()) + ";";
    pause = pause_at_row;
  }
  void on_complete(std::string_view tag) override { text += "complete " + std::string(tag) + ";"; }
  void on_error(const ErrorText& error) override { text += "error " + std::string(error.code) + ";"; }
  void on_notice(const ErrorText& notice) override { text += "notice " + std::string(notice.code) + ";"; }
  void on_parameter(std::string_view name, std::string_view) override {
    text += "parameter " + std::string(name) + ";";
  }
  void on_statement_end() override { text += "end;"; }
  std::string text;
  bool pause = false, pause_at_row = false;
};

std::string startup_response() {
  std::string out;
  put_authentication_ok(out);
  put_parameter(out, "server_version", "15");
  put_key(out, 3, 4);
  put_ready(out);
  return out;
}
std::string response() {
  std::string out;
  put_columns(out, {{"a", 23}});
  put_row(out, {"1"});
  put_row(out, {"2"});
  put_complete(out, "SELECT 2");
  put_ready(out);
  return out;
}
Session ready_session(EventLog& log) {
  Session session(1 << 16);
  std::string sent;
  session.start(sent, {{"user", "a"}});
  const auto bytes = startup_response();
  EXPECT_EQ(session.feed(bytes, log, log.pause), bytes.size());
  EXPECT_TRUE(session.reusable());
  log.text.clear();
  return session;
}

TEST(Session, RunsStatementsInSequence) {
  EventLog log;
  auto session = ready_session(log);
  std::string sent;
  for (int i = 0; i < 2; ++i) {
    session.query(sent, {}, {"select a"});
    EXPECT_FALSE(session.reusable());
    session.feed(response(), log, log.pause);
    EXPECT_TRUE(session.reusable());
  }
  EXPECT_EQ(log.text,
            "columns 1;row 1;row 1;complete SELECT 2;end;columns 1;row 1;row 1;complete SELECT 2;end;");
}

// A cancel request identifies the connection, not the statement, and may reach the engine after the statement
// has ended. If the connection were reused, it would cancel the next client's statement.
TEST(Session, IsNotReusableAfterACancelRequestWasSent) {
  EventLog log;
  auto session = ready_session(log);
  std::string sent;
  session.query(sent, {}, {"select a"});
  session.cancel_sent();
  session.feed(response(), log, log.pause);  // the response arrives after the cancel request was sent
  EXPECT_EQ(session.state(), SessionState::idle);
  EXPECT_FALSE(session.reusable());
}

// A statement leaves a transaction open. The next client's statement on the same connection would run in that
// transaction and be rolled back with it.
TEST(Session, IsNotReusableWithAnOpenTransaction) {
  EventLog log;
  auto session = ready_session(log);
  std::string sent, bytes;
  session.query(sent, {}, {"begin"});
  put_complete(bytes, "BEGIN");
  put_ready(bytes, 'T');
  session.feed(bytes, log, log.pause);
  EXPECT_EQ(log.text, "complete BEGIN;end;");
  EXPECT_FALSE(session.reusable());
}

TEST(Session, RunsAStatementAfterARejectedSetting) {
  EventLog log;
  auto session = ready_session(log);
  std::string sent, bytes;
  session.query(sent, {{"work_mem", "4MB"}, {"unknown.thing", "1"}}, {"select a"});
  put_complete(bytes, "SET");
  put_ready(bytes);
  put_error(bytes, {"ERROR", "42704", "unknown"});
  put_ready(bytes);
  session.feed(bytes + response(), log, log.pause);
  EXPECT_EQ(log.text, "columns 1;row 1;row 1;complete SELECT 2;end;");
  EXPECT_EQ(session.settings_refused(), 1U);
}

TEST(Session, StopsAtAPauseAndResumesFromThere) {
  EventLog log;
  auto session = ready_session(log);
  std::string sent;
  session.query(sent, {}, {"select a"});
  log.pause_at_row = true;
  auto bytes = response();
  bytes.erase(0, session.feed(bytes, log, log.pause));
  EXPECT_EQ(log.text, "columns 1;row 1;");
  log.pause = log.pause_at_row = false;
  EXPECT_EQ(session.feed(bytes, log, log.pause), bytes.size());
  EXPECT_EQ(log.text, "columns 1;row 1;row 1;complete SELECT 2;end;");
}

TEST(Session, EndsAtAnUnexpectedMessage) {
  std::string row, ready, copy;
  put_row(row, {"1"});
  put_ready(ready);
  copy = std::string("G\0\0\0\7\0\0\0", 8);
  for (const auto& bytes : {row, ready, copy, std::string("?abcd")}) {
    EventLog log;
    auto session = ready_session(log);
    session.feed(bytes, log, log.pause);
    EXPECT_EQ(session.state(), SessionState::over);
  }
}

TEST(Session, BindsParametersWithTheExtendedProtocol) {
  Session session(1 << 16);
  std::string sent, in;
  session.start(sent, {{"user", "u"}});
  put_authentication_ok(in);
  put_ready(in);
  EventLog log;
  bool pause = false;
  session.feed(in, log, pause);
  sent.clear();
  session.query(sent, {{"work_mem", "4MB"}}, {"select $1, $2", true, {"a'b", std::nullopt}});
  std::string types;
  std::vector<std::optional<std::string>> bound;
  for (std::string_view rest = sent; !rest.empty();) {
    const auto frame = next_message(rest, 1 << 16);
    ASSERT_EQ(frame.state, Frame::State::complete);
    types += frame.message.type;
    if (frame.message.type == 'P') {
      EXPECT_EQ(read_parse(frame.message.payload), "select $1, $2");
    }
    if (frame.message.type == 'B') {
      const auto read = read_bind(frame.message.payload);
      ASSERT_TRUE(read);
      bound = *read;
      for (std::size_t n = 0; n < frame.message.payload.size(); ++n)
        EXPECT_FALSE(read_bind(frame.message.payload.substr(0, n))) << "truncated after " << n << " bytes";
    }
    rest.remove_prefix(frame.size);
  }
  EXPECT_EQ(types, "QPBDES");
  EXPECT_EQ(bound, (std::vector<std::optional<std::string>>{"a'b", std::nullopt}));
  in.clear();
  put_complete(in, "SET");
  put_ready(in);
  put_parse_complete(in);
  put_bind_complete(in);
  put_columns(in, {{"a", 25}, {"b", 25}});
  put_row(in, {"a'b", std::nullopt});
  put_complete(in, "SELECT 1");
  put_ready(in);
  log.text.clear();
  EXPECT_EQ(session.feed(in, log, pause), in.size());
  EXPECT_TRUE(session.reusable());
  EXPECT_NE(log.text.find("columns 2;row 2;"), std::string::npos) << log.text;
  // ParseComplete and BindComplete are not valid in response to a simple query.
  session.query(sent, {}, {"select 1"});
  in.clear();
  put_parse_complete(in);
  session.feed(in, log, pause);
  EXPECT_EQ(session.state(), SessionState::over);
}

}  // namespace
}  // namespace heronwell::sql
