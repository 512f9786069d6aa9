// `heronwell node` as a process of its own, from outside: its event bus breaks off, falls silent and moves,
// its configuration is replaced, it is told to end. Seen on the sockets of a stand-in bus and of a client.
#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <deque>
#include <mutex>

#include "base/bytes.hpp"
#include "rehearsal/process.hpp"
#include "rig.hpp"

namespace heronwell::e2e {
namespace {

int listening(std::uint16_t& port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  EXPECT_EQ(::bind(socket, reinterpret_cast<sockaddr*>(&at), size), 0);
  EXPECT_EQ(::listen(socket, 16), 0);
  EXPECT_EQ(::getsockname(socket, reinterpret_cast<sockaddr*>(&at), &size), 0);
  port = ntohs(at.sin_port);
  return socket;
}

// An event bus that does one thing a connection, in turn; the last one again and again.
class Bus {
 public:
  struct Act {
    std::string body;      // of its answer; empty: none comes
    std::size_t most = 0;  // bytes of the body that are sent; 0: all
  };
  explicit Bus(std::deque<Act> acts) : acts_(std::move(acts)), socket_(listening(port_)) {
    thread_ = std::thread([this] { serve(); });
  }
  ~Bus() {
    over_ = true;
    thread_.join();
    for (const int one : open_) ::close(one);
    ::close(socket_);
  }
  [[nodiscard]] std::uint16_t port() const { return port_; }
  // What was asked for, a line each.
  std::vector<std::string> asked() {
    std::lock_guard lock(mutex_);
    return asked_;
  }
  bool asked_again(std::size_t times) {
    const auto until = std::chrono::steady_clock::now() + 5s;
    while (asked().size() < times && std::chrono::steady_clock::now() < until)
      std::this_thread::sleep_for(5ms);
    return asked().size() >= times;
  }

 private:
  void serve() {
    while (!over_) {
      pollfd one{socket_, POLLIN, 0};
      if (::poll(&one, 1, 20) <= 0) continue;
      const int client = ::accept(socket_, nullptr, nullptr);
      open_.push_back(client);
      std::string request(2048, '\0');
      const auto got = ::recv(client, request.data(), request.size(), 0);
      request.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
      {
        std::lock_guard lock(mutex_);
        asked_.push_back(request.substr(0, request.find(" HTTP")));
      }
      const auto act = acts_.front();
      if (acts_.size() > 1) acts_.pop_front();
      if (act.body.empty()) continue;
      const auto answer = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", act.body.size(),
                                      act.most > 0 ? act.body.substr(0, act.most) : act.body);
      EXPECT_EQ(::send(client, answer.data(), answer.size(), MSG_NOSIGNAL),
                static_cast<ssize_t>(answer.size()));
    }
  }

  std::deque<Act> acts_;
  std::uint16_t port_ = 0;
  int socket_;
  std::vector<int> open_;
  std::mutex mutex_;
  std::vector<std::string> asked_;
  std::atomic<bool> over_ = false;
  std::thread thread_;
};

std::string events(int last, const std::string& hosts, bool whole) {
  return fmt::format(
      R"({{"offset":{},"batch":[{{"offset":{},"topology":{{"seq":{},"whole":{},"hosts":[{}]}}}}]}})", last,
      last, last, whole, hosts);
}
const std::string kEngine =
    R"({"host":"s-1","dial":"127.0.0.1:1","site":"east","class":"std","block":0,"health":"up","share":1,"born_ms":0})";

class Node : public testing::Test {
 protected:
  Node() {
    folder_ = std::filesystem::temp_directory_path() / fmt::format("heronwell-node-{}", ::getpid());
    std::filesystem::create_directories(folder_);
    ::close(listening(port_));
  }
  ~Node() override { std::filesystem::remove_all(folder_); }

  std::string config(std::uint16_t bus) const {
    return fmt::format(
        R"({{"name":"n0","listen":"127.0.0.1:{}","seed":"1f","limits":{{"sockets":64,"memory_mb":32}},"bus":"127.0.0.1:{}",
"known":{},"settings":{{"balancers":1,"classes":[{{"name":"lookup","aim":200000000,"give-up":1000000000,"semantics":"safe"}}],
"kinds":["std"],"zones":["east"],"tenants":[{{"name":"acme","portion":1}}],"ceilings":{{"max-attempts":3,"most-held":100}},
"safety":{{}},"family-info":{{}}}}}})",
        port_, bus, events(1, "", true));
  }
  void write(const std::string& text) const { std::ofstream(folder_ / "config.json") << text; }
  void start(std::uint16_t bus) {
    write(config(bus));
    process_ = rehearsal::Process(
        {"/usr/bin/env", "ROUTER_NAME=n0", fmt::format("ROUTER_LISTEN=127.0.0.1:{}", port_),
         "ROUTER_CONFIG=" + (folder_ / "config.json").string(), HERONWELL_PROGRAM, "node"},
        (folder_ / "log").string());
    const auto until = std::chrono::steady_clock::now() + 10s;
    while (!reachable() && std::chrono::steady_clock::now() < until) std::this_thread::sleep_for(10ms);
  }
  bool reachable() const {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port_);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool done = ::connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0;
    ::close(socket);
    return done;
  }
  static std::string framed(unsigned type, std::uint32_t stream, const std::string& payload) {
    std::string out;
    put_u32(out, static_cast<std::uint32_t>(5 + payload.size()));
    put_u8(out, type);
    put_u32(out, stream);
    return out + payload;
  }
  // The code of the answer to "is the router ready?"; -1: none came.
  int ready() const {
    Client client(port_);
    client.send(framed(16, 1, std::string(1, '\0')));
    const auto answer = client.some(2s);
    return answer.size() == 11 && answer[4] == 32 ? answer[9] : -1;
  }
  bool becomes_ready() const {
    const auto until = std::chrono::steady_clock::now() + 5s;
    while (ready() != 0 && std::chrono::steady_clock::now() < until) std::this_thread::sleep_for(20ms);
    return ready() == 0;
  }

  std::filesystem::path folder_;
  std::uint16_t port_ = 0;
  rehearsal::Process process_;
};

TEST_F(Node, ABusThatBreaksOffOrFallsSilentIsAskedAgainFromTheLastEventInForce) {
  const auto told = events(2, kEngine, false);
  Bus bus({{told, told.size() / 2}, {}, {"what"}, {told}, {R"({"offset":2,"batch":[]})"}});
  start(bus.port());
  EXPECT_EQ(ready(), 1) << "no engine is listed";
  const auto began = std::chrono::steady_clock::now();
  ASSERT_TRUE(becomes_ready());
  EXPECT_LT(std::chrono::steady_clock::now() - began, 4500ms) << "two waits of 1.7 s and little more";
  const auto asked = bus.asked();
  ASSERT_GE(asked.size(), 4U);
  for (std::size_t i = 0; i < 4; ++i)
    EXPECT_TRUE(asked[i].starts_with("GET /bus/read?from=1&hold=")) << asked[i];
  ASSERT_TRUE(bus.asked_again(5));
  EXPECT_TRUE(bus.asked()[4].starts_with("GET /bus/read?from=2&"));
}

TEST_F(Node, FollowsItsBusToANewAddressAndOutlivesAConfigurationHalfWritten) {
  Bus old(std::deque<Bus::Act>(1)), next({{events(2, kEngine, false)}, {}});
  start(old.port());
  ASSERT_TRUE(old.asked_again(1));
  write(config(next.port()).substr(0, 200));
  process_.signal(SIGHUP);
  std::this_thread::sleep_for(200ms);
  EXPECT_EQ(ready(), 1) << "it goes on, with the old one";
  EXPECT_TRUE(next.asked().empty());
  write(config(next.port()));
  process_.signal(SIGHUP);
  ASSERT_TRUE(next.asked_again(1));
  EXPECT_TRUE(next.asked()[0].starts_with("GET /bus/read?from=1&")) << "the numbers carry on";
  EXPECT_TRUE(becomes_ready());
  const auto before = old.asked().size();
  std::this_thread::sleep_for(2s);
  EXPECT_EQ(old.asked().size(), before);
}

TEST_F(Node, ToldToEndItSaysSoAnswersWhatStillComesAndEndsWith0) {
  Bus bus({{events(2, kEngine, false)}, {}});
  start(bus.port());
  ASSERT_TRUE(becomes_ready());
  process_.signal(SIGTERM);
  std::this_thread::sleep_for(400ms);
  EXPECT_EQ(ready(), 1) << "new connections are still taken";
  Client client(port_);
  std::string payload;
  put_u8(payload, 4);
  for (const auto& [name, value] : std::vector<std::pair<std::string, std::string>>{
           {"c", "lookup"}, {"i", "9b1f03aa5c7e2d41"}, {"d", "900"}, {"t", "acme"}}) {
    put_u8(payload, static_cast<unsigned>(name.size()));
    payload += name;
    put_u16(payload, static_cast<unsigned>(value.size()));
    payload += value;
  }
  client.send(framed(2, 1, payload + "select 1"));
  const auto answer = client.some(2s);  // its engine can't be reached
  ASSERT_GE(answer.size(), 10U);
  EXPECT_EQ(answer[4], 4);
  EXPECT_EQ(answer[9], 1) << "refused: nothing ran";
  ASSERT_TRUE(process_.wait(Time(3s)));
  EXPECT_EQ(process_.wait(), 0);
}

}  // namespace
}  // namespace heronwell::e2e
