// Tests of gossip datagrams between routers, of session settings that are sent to engines, and of the
// stand-in engine's answers to the start-up messages of drivers.
#include "daemon/gossip_datagram.hpp"
#include "test_system.hpp"

namespace heronwell::e2e {
namespace {

// A UDP socket on a free loopback port.
class UdpSocket {
 public:
  UdpSocket() : socket_(::socket(AF_INET, SOCK_DGRAM, 0)) {
    sockaddr_in at = address(0);
    socklen_t size = sizeof at;
    ::bind(socket_, reinterpret_cast<sockaddr*>(&at), size);
    ::getsockname(socket_, reinterpret_cast<sockaddr*>(&at), &size);
    port = ntohs(at.sin_port);
  }
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;
  ~UdpSocket() { close(); }
  void close() {
    if (socket_ >= 0) ::close(std::exchange(socket_, -1));
  }
  void send(std::uint16_t to, const std::string& bytes) {
    const auto at = address(to);
    ::sendto(socket_, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&at), sizeof at);
  }
  // Returns the next datagram, or an empty string if none arrives within 3 s.
  std::string receive() {
    pollfd poll_entry{socket_, POLLIN, 0};
    if (::poll(&poll_entry, 1, 3000) <= 0) return "";
    std::string bytes(2048, '\0');
    bytes.resize(
        static_cast<std::size_t>(std::max<ssize_t>(0, ::recv(socket_, bytes.data(), bytes.size(), 0))));
    return bytes;
  }
  std::uint16_t port = 0;

 private:
  static sockaddr_in address(std::uint16_t port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return at;
  }
  int socket_;
};

TEST(Peers, ExchangeMessagesAndRejectForgedReplayedAndMalformedOnes) {
  const std::string key = "0123456789abcdef0123456789abcdef";
  const auto file = std::filesystem::temp_directory_path() / fmt::format("heronwell-key-{}", ::getpid());
  std::ofstream(file) << key << "\n";
  UdpSocket peer, unused;
  const auto router_port = unused.port;
  unused.close();
  TestSystem system(
      {.engines = 1,
       .settings = fmt::format(
           "allow: {{tell: true}}\npeers: {{port: {}, key_file: {}, members: [{{number: 1, port: {}}}]}}\n",
           router_port, file.string(), peer.port),
       .router_count = 2});
  daemon::GossipDatagramCodec codec(key, 1, 5), forger(key + "x", 1, 6);
  const auto datagram = peer.receive();
  const auto opened = codec.open(datagram);
  EXPECT_EQ(opened.fault, daemon::DatagramFault::none);
  EXPECT_EQ(opened.from, 0U);
  const auto message = codec.seal("o");
  peer.send(router_port, message);
  EXPECT_TRUE(system.wait_for_metric("heronwell_peer_messages_taken_total", 1));
  peer.send(router_port, message);
  EXPECT_TRUE(system.wait_for_metric("heronwell_peer_messages_replayed_total", 1));
  peer.send(router_port, forger.seal("o"));
  EXPECT_TRUE(system.wait_for_metric("heronwell_peer_messages_forged_total", 1));
  peer.send(router_port, "nonsense");
  EXPECT_TRUE(system.wait_for_metric("heronwell_peer_messages_malformed_total", 1));
  EXPECT_EQ(system.metric("heronwell_peer_messages_taken_total"), 1);
  std::filesystem::remove(file);
}

TEST(Extras, MemoryGrantsAndPrioritiesAreSentToTheEngineAsSettings) {
  TestSystem system({.engines = 1,
                     .settings = "allow: {grants: true, priorities: true}\n",
                     .engine_settings = ", memory_setting: work_mem, priority_setting: heronwell.priority"});
  auto client = system.client();
  client.post(TestSystem::query_body("lookup", "a", "work_ms=1 need_mb=10",
                                     R"(,"estimates":{"work_ms":1,"memory_mb":10})"));
  ASSERT_EQ(client.read_response().status, 200);
  const auto record = system.engine_records(0);
  EXPECT_NE(record.find("\"id\":\"a\",\"gw\":\"gw\",\"conn\":1,\"work_ms\":1.000,\"warmth\":1.000,\"grant_"
                        "mb\":20,\"priority\":3"),
            std::string::npos)
      << record;
}

TEST(Extras, AStatementRunsEvenIfTheEngineRejectsASetting) {
  TestSystem system(
      {.engines = 1, .settings = "allow: {grants: true}\n", .engine_settings = ", memory_setting: no.such"});
  auto client = system.client();
  client.post(TestSystem::query_body("lookup", "a", "work_ms=1", R"(,"estimates":{"memory_mb":10})"));
  EXPECT_EQ(client.read_response().status, 200);
  EXPECT_EQ(system.metric("heronwell_engine_settings_refused_total"), 1);
}

TEST(StandIn, DeclinesEncryptionAndIgnoresACancelRequestWithAWrongKey) {
  TestSystem system({.engines = 1});
  for (const std::uint32_t code : {80877103U, 80877104U}) {  // SSL, GSS
    Client client(system.entries()[0].port);
    std::string start_up("\0\0\0\x08", 4);
    for (int shift = 24; shift >= 0; shift -= 8) start_up.push_back(static_cast<char>(code >> shift));
    client.send(start_up);
    EXPECT_EQ(client.receive(), "N");
  }
  auto running = system.client();
  running.post(TestSystem::query_body("lookup", "a", "work_ms=200"));
  ASSERT_TRUE(system.wait_for_event("began", "a"));
  Client canceller(system.entries()[0].port);
  canceller.send(std::string("\0\0\0\x10\x04\xd2\x16\x2e\0\0\0\1\0\0\0\1", 16));  // a guessed key
  EXPECT_EQ(running.read_response().status, 200);
  EXPECT_EQ(system.event_count("cancel", "a"), 0U);
}

}  // namespace
}  // namespace heronwell::e2e
