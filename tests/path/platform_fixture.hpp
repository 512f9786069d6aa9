// Platform drives a shard of the operators' platform: frames from clients, query calls to engines.
#pragma once

#include "base/bytes.hpp"
#include "frames/frames.hpp"
#include "shard_fixture.hpp"

namespace heronwell::path {

class Platform : public ShardFixture {
 protected:
  Platform()
      : ShardFixture(
            config::read_platform(R"({"name":"n0","listen":"127.0.0.1:9","seed":"1f","bus":"127.0.0.2:8",
    "known":{"offset":0,"batch":[]},"limits":{"sockets":64,"memory_mb":16},
    "settings":{"balancers":1,"classes":[{"name":"lookup","aim":1000000000,"give-up":4000000000,"semantics":"safe"},
      {"name":"load","aim":1000000000,"give-up":4000000000,"semantics":"unsafe"}],"kinds":["std"],"zones":["east"],
      "tenants":[{"name":"acme","portion":1}],"ceilings":{"max-attempts":3,"max-retry-after":700000000},"safety":{},
      "family-info":{"grants":true},"report":{"how":"pull","fields":["busy_reqs"]}}})",
                                  "test")) {}

  static std::string encode_request(std::uint32_t stream, const std::string& id,
                                    const std::string& class_name = "lookup",
                                    const std::string& tenant = "acme",
                                    const std::string& timeout_ms = "1500",
                                    const std::string& idempotency_key = "") {
    std::string payload;
    std::vector<std::pair<std::string, std::string>> fields{
        {"c", class_name}, {"i", id}, {"d", timeout_ms}, {"t", tenant}};
    if (!idempotency_key.empty()) fields.emplace_back("k", idempotency_key);
    put_u8(payload, static_cast<unsigned>(fields.size()));
    for (const auto& [name, value] : fields) {
      put_u8(payload, static_cast<unsigned>(name.size()));
      payload += name;
      put_u16(payload, static_cast<unsigned>(value.size()));
      payload += value;
    }
    return encode_frame(2, stream, payload + "select * from sales_17.orders");
  }
  // A request whose statement is followed by `spaces` spaces.
  static std::string encode_large_request(std::uint32_t stream, const std::string& id, std::size_t spaces,
                                          const std::string& class_name = "lookup") {
    const auto frame = encode_request(stream, id, class_name) + std::string(spaces, ' ');
    std::string length;
    put_u32(length, static_cast<std::uint32_t>(frame.size() - 4));
    return length + frame.substr(4);
  }
  static std::string encode_frame(unsigned type, std::uint32_t stream, const std::string& payload) {
    std::string out;
    put_u32(out, static_cast<std::uint32_t>(5 + payload.size()));
    put_u8(out, type);
    put_u32(out, stream);
    return out + payload;
  }
  static std::string request_id(unsigned n) {
    const auto digits = std::to_string(n);
    return std::string(16 - digits.size(), '0') + digits;
  }
  // Decodes what a client has received: the stream number and code of each response. Sets last_body_ to the
  // body of the last one.
  std::vector<std::pair<std::uint32_t, int>> read_responses(const FakeStream& client) {
    std::vector<std::pair<std::uint32_t, int>> out;
    ByteReader in(client.written);
    while (!in.rest().empty()) {
      const auto length = in.u32();
      const auto type = in.u8();
      const auto stream = in.u32();
      const auto payload = in.take(length - 5);
      EXPECT_TRUE(in.ok());
      EXPECT_EQ(type, 4);
      out.emplace_back(stream, payload[0]);
      last_body_ = payload.substr(2);
    }
    return out;
  }
  // Dispatches an attempt while the disconnect of its client is not read yet. Expects that the disconnect is
  // read first and that the attempt never starts.
  void expect_input_read_before_start(const FakeStreamPtr& client, Ticket ticket) {
    client->has_unread_input = true;
    std::vector<ShardCommand> commands;
    commands.emplace_back(router::Command(router::DispatchAttempt{ticket, 0, 7, now_ + 1400ms, {}, {}}));
    shard_.execute(commands);
    EXPECT_TRUE(dialled_.empty());
    client->reset();
    run_deferred();
    EXPECT_TRUE(dialled_.empty());
    EXPECT_EQ(attempt_results(), std::vector{AttemptResult::never_started});
  }
  // Dispatches an attempt for a new request with id `n` to engine 7, which accepts 20 bytes of the start.
  // Removes all connections and events of earlier attempts from the records of the test.
  FakeStreamPtr start_partially(unsigned n) {
    dialled_.clear();
    published_events_.clear();
    dispatch_attempt(send_request(connect_client(), n), 0, 7);
    dialled_[0]->partial_writes_left = 1;
    dialled_[0]->connect();
    EXPECT_EQ(dialled_[0]->written.size(), 20U);
    return dialled_[0];
  }
  static std::string http_response(const std::string& head, const std::string& body = "") {
    return "HTTP/1.1 " + head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  static std::string single_page(const std::string& rows) {
    return http_response("200 OK\r\nX-Parts: 1\r\n", rows);
  }
  // An engine sends a result of one page, and sends it again as the router requests it a second time.
  static void deliver_result(const FakeStreamPtr& engine, const std::string& rows) {
    engine->deliver(single_page(rows));
    ASSERT_TRUE(engine->written.ends_with("/0 HTTP/1.1\r\nHost: " + engine->address.host + ":10080\r\n\r\n"))
        << "expected the last page to be requested again: " << engine->written;
    engine->deliver(single_page(rows));
  }
  // Sends a request on stream `n` with request id `n` and returns its ticket.
  Ticket send_request(const FakeStreamPtr& client, unsigned n) {
    client->deliver(encode_request(n, request_id(n)));
    return received_tickets().back();
  }

  std::string last_body_;  // of the last response that read_responses() has decoded
};

inline const std::string kRows = "1\t2\t3\n";

}  // namespace heronwell::path
