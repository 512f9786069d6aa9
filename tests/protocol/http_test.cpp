#include <fmt/format.h>
#include <gtest/gtest.h>

#include "http/message.hpp"

namespace heronwell::http {
namespace {

// Feeds `bytes` to a parser, split at `split` (0: byte by byte), and returns everything it reports as text. A
// request without errors becomes "head METHOD TARGET 0;", "NAME=VALUE;" for each header field and "body BODY
// keep KEEP_ALIVE;". A response has its status in the place of the 0.
std::string transcript(std::string_view bytes, std::size_t split, Role role = Role::request,
                       Limits limits = {}) {
  Parser parser(role, limits);
  std::string out, body, rest;
  const auto feed = [&](std::string_view piece) {
    rest += piece;
    while (true) {
      const auto step = parser.next(rest);
      body += step.body;
      rest.erase(0, step.consumed);
      if (step.event == Parser::Event::head) {
        out += fmt::format("head {} {} {};", parser.method(), parser.target(),
                           role == Role::response ? parser.status() : 0);
        for (const auto& field : parser.fields()) out += fmt::format("{}={};", field.name, field.value);
      }
      if (step.event == Parser::Event::end) {
        out += fmt::format("body {} keep {};", body, parser.keep_alive());
        body.clear();
      }
      if (step.event == Parser::Event::error) {
        out += fmt::format("error {} {};", parser.status(), parser.reason());
        return false;
      }
      if (step.event == Parser::Event::need_more) return true;
    }
  };
  if (split == 0) {  // byte by byte
    for (const char& c : bytes)
      if (!feed({&c, 1})) return out;
  } else if (!feed(bytes.substr(0, split)) || !feed(bytes.substr(split))) {
    return out;
  }
  if (parser.close().event == Parser::Event::error)
    out += "truncated;";
  else if (!body.empty())
    out += fmt::format("body {} at close;", body);
  return out;
}

struct Case {
  const char* name;
  std::string bytes;
  std::string expected;  // the whole transcript, or only its beginning if it ends in "..."
};

class Requests : public testing::TestWithParam<Case> {};

TEST_P(Requests, AreParsedTheSameForEverySplit) {
  const auto& [name, bytes, expected] = GetParam();
  const auto whole = transcript(bytes, bytes.size());
  if (expected.ends_with("..."))
    EXPECT_TRUE(whole.starts_with(expected.substr(0, expected.size() - 3))) << whole;
  else
    EXPECT_EQ(whole, expected);
  for (std::size_t at = 0; at < bytes.size(); ++at)
    ASSERT_EQ(transcript(bytes, at), whole) << "input split at byte " << at;
}

const std::string kHost = "Host: a\r\n";
INSTANTIATE_TEST_SUITE_P(
    , Requests,
    testing::Values(
        Case{"no_body", "GET / HTTP/1.1\r\n" + kHost + "\r\n", "head GET / 0;Host=a;body  keep true;"},
        Case{"content_length", "POST /v1/query HTTP/1.1\r\n" + kHost + "Content-Length: 5\r\n\r\nhello",
             "head POST /v1/query 0;Host=a;Content-Length=5;body hello keep true;"},
        Case{"chunked",
             "POST / HTTP/1.1\r\n" + kHost +
                 "Transfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n1\r\n!\r\n0\r\nT: v\r\n\r\n",
             "head POST / 0;Host=a;Transfer-Encoding=chunked;body hello! keep true;"},
        Case{"pipelined",
             "GET /a HTTP/1.1\r\n" + kHost + "\r\nGET /b HTTP/1.1\r\n" + kHost + "Connection: close\r\n\r\n",
             "head GET /a 0;Host=a;body  keep true;head GET /b 0;Host=a;Connection=close;body  keep false;"},
        Case{"an_empty_line_before", "\r\nGET / HTTP/1.1\r\n" + kHost + "\r\n",
             "head GET / 0;Host=a;body  keep true;"},
        Case{"two_empty_lines_before", "\r\n\r\nGET / HTTP/1.1\r\n" + kHost + "\r\n", "error 400..."},
        Case{"http_1_0", "GET / HTTP/1.0\r\n\r\n", "head GET / 0;body  keep false;"},
        Case{"trimmed_values", "GET / HTTP/1.1\r\nHost: \t a \t\r\n\r\n",
             "head GET / 0;Host=a;body  keep true;"},
        Case{"no_host", "GET / HTTP/1.1\r\n\r\n", "error 400 not one Host;"},
        Case{"two_hosts", "GET / HTTP/1.1\r\n" + kHost + kHost + "\r\n", "error 400 not one Host;"},
        Case{"length_and_transfer_coding",
             "POST / HTTP/1.1\r\n" + kHost +
                 "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
             "error 400 Content-Length beside..."},
        Case{"transfer_coding_and_length",
             "POST / HTTP/1.1\r\n" + kHost +
                 "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
             "error 400 Content-Length beside..."},
        Case{"different_lengths",
             "POST / HTTP/1.1\r\n" + kHost + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
             "error 400 Content-Lengths..."},
        Case{"equal_lengths",
             "POST / HTTP/1.1\r\n" + kHost + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na",
             "head POST..."},
        Case{"length_list", "POST / HTTP/1.1\r\n" + kHost + "Content-Length: 1, 1\r\n\r\na",
             "error 400 a malformed Content-Length;"},
        Case{"length_signed", "POST / HTTP/1.1\r\n" + kHost + "Content-Length: +1\r\n\r\na", "error 400..."},
        Case{"length_huge", "POST / HTTP/1.1\r\n" + kHost + "Content-Length: 99999999999999999999\r\n\r\n",
             "error 400..."},
        Case{"transfer_coding_unknown",
             "POST / HTTP/1.1\r\n" + kHost + "Transfer-Encoding: gzip, chunked\r\n\r\n",
             "error 400 a coding..."},
        Case{"transfer_coding_twice",
             "POST / HTTP/1.1\r\n" + kHost +
                 "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
             "error 400 two..."},
        Case{"transfer_coding_in_http_1_0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
             "error 400 a coding..."},
        Case{"bare_lf", "GET / HTTP/1.1\nHost: a\r\n\r\n", "error 400 an LF without CR;"},
        Case{"bare_cr", "GET / HTTP/1.1\r\nHost: a\rb\r\n\r\n", "error 400 a CR without LF;"},
        Case{"folded_field", "GET / HTTP/1.1\r\n" + kHost + "X: a\r\n b\r\n\r\n",
             "error 400 a folded header;"},
        Case{"space_before_colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n", "error 400 a malformed field name;"},
        Case{"nul", std::string("GET / HTTP/1.1\r\nHost: a\0\r\n\r\n", 29), "error 400 a control character;"},
        Case{"no_version", "GET /\r\n\r\n", "error 400..."},
        Case{"version_2", "GET / HTTP/2.0\r\n\r\n", "error 505..."},
        Case{"two_spaces", "GET  / HTTP/1.1\r\n\r\n", "error 400..."},
        Case{"chunk_size_signed",
             "POST / HTTP/1.1\r\n" + kHost + "Transfer-Encoding: chunked\r\n\r\n+5\r\nhello\r\n0\r\n\r\n",
             "head POST / 0;Host=a;Transfer-Encoding=chunked;error 400 a malformed chunk size;"},
        Case{"chunk_size_hex_prefix",
             "POST / HTTP/1.1\r\n" + kHost + "Transfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n", "head..."},
        Case{"chunk_too_long",
             "POST / HTTP/1.1\r\n" + kHost + "Transfer-Encoding: chunked\r\n\r\n2\r\nhello\r\n0\r\n\r\n",
             "head POST / 0;Host=a;Transfer-Encoding=chunked;error 400..."},
        Case{"chunk_lf",
             "POST / HTTP/1.1\r\n" + kHost + "Transfer-Encoding: chunked\r\n\r\n5\nhello\r\n0\r\n\r\n",
             "head POST / 0;Host=a;Transfer-Encoding=chunked;error 400 an LF without CR;"},
        Case{"truncated_in_head", "GET / HTTP/1.1\r\nHo", "truncated;"},
        Case{"truncated_in_body", "POST / HTTP/1.1\r\n" + kHost + "Content-Length: 9\r\n\r\nabc",
             "head POST / 0;Host=a;Content-Length=9;truncated;"}),
    [](const auto& test) { return std::string(test.param.name); });

TEST(HttpLimits, ExceedingEachLimitFailsWithItsStatus) {
  const Limits small{40, 100, 3, 10};
  const auto parse = [&](const std::string& bytes) {
    const auto whole = transcript(bytes, bytes.size(), Role::request, small);
    EXPECT_EQ(transcript(bytes, 0, Role::request, small), whole);
    return whole;
  };
  EXPECT_TRUE(parse("GET /" + std::string(40, 'a') + " HTTP/1.1\r\n").starts_with("error 414"));
  EXPECT_TRUE(parse("GET / HTTP/1.1\r\nHost: " + std::string(200, 'a')).starts_with("error 431"));
  EXPECT_TRUE(parse("GET / HTTP/1.1\r\nHost: a\r\nA: b\r\nC: d\r\nE: f\r\n\r\n").starts_with("error 431"));
  EXPECT_TRUE(parse("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n").starts_with("error 413"));
  EXPECT_NE(parse("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nB\r\n").find("error 413"),
            std::string::npos);
}

TEST(HttpResponses, EndByLengthByChunksOrByConnectionClose) {
  const auto parse = [](const std::string& bytes) {
    for (std::size_t at = 0; at <= bytes.size(); ++at)
      EXPECT_EQ(transcript(bytes, at, Role::response), transcript(bytes, bytes.size(), Role::response))
          << "input split at byte " << at;
    return transcript(bytes, bytes.size(), Role::response);
  };
  EXPECT_EQ(parse("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"),
            "head   200;Content-Length=2;body hi keep true;");
  EXPECT_EQ(parse("HTTP/1.1 200 OK\r\n\r\nuntil the end"), "head   200;body until the end at close;");
  EXPECT_EQ(parse("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"),
            "head   100;body  keep true;head   204;body  keep true;");
  EXPECT_EQ(parse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n"),
            "head   200;Transfer-Encoding=chunked;truncated;");
}

TEST(HttpWriting, ParserReadsAWrittenResponse) {
  std::string out;
  put_response(out, 503, "application/json", std::nullopt, false, {{"retry-after", "1"}});
  put_chunk_prefix(out, 3);
  out += "abc\r\n";
  out += kLastChunk;
  EXPECT_EQ(transcript(out, out.size(), Role::response),
            "head   "
            "503;content-type=application/json;transfer-encoding=chunked;connection=close;retry-after=1;body "
            "abc keep false;");
}

}  // namespace
}  // namespace heronwell::http
