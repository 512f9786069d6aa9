// Tests of `heronwell node` as a separate process: its event bus fails, stops responding or moves to another
// address, its configuration is replaced, and it receives SIGTERM. The tests observe the sockets of a
// stand-in event bus, of stand-in engines and of clients.
#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <deque>
#include <map>
#include <mutex>

#include "base/bytes.hpp"
#include "rehearsal/process.hpp"
#include "test_system.hpp"

namespace heronwell::e2e {
namespace {

// Returns a listening socket on a free loopback port and sets `port`.
int listen_on_free_port(std::uint16_t& port) {
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

// A stand-in event bus. It answers one request per connection with the next of the given replies, and repeats
// the last one.
class StandInBus {
 public:
  struct Reply {
    std::string body;            // body of the response; empty: no response
    std::size_t sent_bytes = 0;  // number of bytes of the body to send; 0: all
  };
  explicit StandInBus(std::deque<Reply> replies)
      : replies_(std::move(replies)), socket_(listen_on_free_port(port_)) {
    thread_ = std::thread([this] { serve(); });
  }
  StandInBus(const StandInBus&) = delete;
  StandInBus& operator=(const StandInBus&) = delete;
  ~StandInBus() {
    stopping_ = true;
    thread_.join();
    for (const int socket : open_) ::close(socket);
    ::close(socket_);
  }
  [[nodiscard]] std::uint16_t port() const { return port_; }
  // Returns the request lines received so far, without the HTTP version.
  std::vector<std::string> requests() {
    std::lock_guard lock(mutex_);
    return requests_;
  }
  // Waits up to 5 s until at least `times` requests have been received.
  bool wait_for_requests(std::size_t times) {
    const auto deadline = std::chrono::steady_clock::now() + 5s;
    while (requests().size() < times && std::chrono::steady_clock::now() < deadline)
      std::this_thread::sleep_for(5ms);
    return requests().size() >= times;
  }

 private:
  void serve() {
    while (!stopping_) {
      pollfd poll_entry{socket_, POLLIN, 0};
      if (::poll(&poll_entry, 1, 20) <= 0) continue;
      const int client = ::accept(socket_, nullptr, nullptr);
      open_.push_back(client);
      std::string request(2048, '\0');
      const auto received = ::recv(client, request.data(), request.size(), 0);
      request.resize(received > 0 ? static_cast<std::size_t>(received) : 0);
      {
        std::lock_guard lock(mutex_);
        requests_.push_back(request.substr(0, request.find(" HTTP")));
      }
      const auto reply = replies_.front();
      if (replies_.size() > 1) replies_.pop_front();
      if (reply.body.empty()) continue;
      const auto response =
          fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", reply.body.size(),
                      reply.sent_bytes > 0 ? reply.body.substr(0, reply.sent_bytes) : reply.body);
      EXPECT_EQ(::send(client, response.data(), response.size(), MSG_NOSIGNAL),
                static_cast<ssize_t>(response.size()));
    }
  }

  std::deque<Reply> replies_;
  std::uint16_t port_ = 0;
  int socket_;
  std::vector<int> open_;
  std::mutex mutex_;
  std::vector<std::string> requests_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

// A stand-in engine that accepts each query and returns a result of eight full pages, or never answers
// queries.
class StandInEngine {
 public:
  explicit StandInEngine(bool answers) : answers_(answers), socket_(listen_on_free_port(port_)) {
    thread_ = std::thread([this] { serve(); });
  }
  StandInEngine(const StandInEngine&) = delete;
  StandInEngine& operator=(const StandInEngine&) = delete;
  ~StandInEngine() {
    stopping_ = true;
    thread_.join();
    for (const auto& connection : open_) ::close(connection.socket);
    ::close(socket_);
  }
  [[nodiscard]] std::uint16_t port() const { return port_; }
  // Waits up to 5 s until at least `times` received calls start with `prefix`.
  [[nodiscard]] bool wait_for_calls(const std::string& prefix, int times) const {
    const auto deadline = std::chrono::steady_clock::now() + 5s;
    while (std::chrono::steady_clock::now() < deadline) {
      {
        std::lock_guard lock(mutex_);
        if (std::ranges::count_if(calls_, [&](auto& call) { return call.starts_with(prefix); }) >= times)
          return true;
      }
      std::this_thread::sleep_for(5ms);
    }
    return false;
  }
  [[nodiscard]] int call_count(const std::string& prefix) const {
    std::lock_guard lock(mutex_);
    return static_cast<int>(
        std::ranges::count_if(calls_, [&](auto& call) { return call.starts_with(prefix); }));
  }
  static constexpr int kPages = 8;
  static std::string page() {
    std::string rows;
    while (rows.size() < 5'990) rows += "a\tb\tcdef\n";
    return rows;
  }

 private:
  struct Connection {
    int socket = -1;
    std::string in;
  };
  void serve() {
    while (!stopping_) {
      std::vector<pollfd> all{{socket_, POLLIN, 0}};
      for (const auto& connection : open_) all.push_back({connection.socket, POLLIN, 0});
      if (::poll(all.data(), all.size(), 20) <= 0) continue;
      for (std::size_t i = all.size() - 1; i > 0; --i)
        if (all[i].revents != 0 && !handle_input(open_[i - 1])) {
          ::close(open_[i - 1].socket);
          open_.erase(open_.begin() + static_cast<std::ptrdiff_t>(i - 1));
        }
      if (all[0].revents != 0) open_.push_back({::accept(socket_, nullptr, nullptr), {}});
    }
  }
  // Reads from the connection and answers a complete call. Returns false if the connection is to be closed.
  bool handle_input(Connection& connection) {
    std::string bytes(4096, '\0');
    const auto received = ::recv(connection.socket, bytes.data(), bytes.size(), 0);
    if (received <= 0) return false;
    connection.in.append(bytes, 0, static_cast<std::size_t>(received));
    const auto end = connection.in.find("\r\n\r\n");
    if (end == std::string::npos) return true;
    const auto call = connection.in.substr(0, connection.in.find(" HTTP"));
    connection.in.clear();
    {
      std::lock_guard lock(mutex_);
      calls_.push_back(call);
    }
    if (call.starts_with("DELETE")) return send_response(connection, "204 No Content", "");
    if (!answers_) return true;
    if (call.starts_with("POST"))
      return send_response(connection, fmt::format("200 OK\r\nX-Parts: {}", kPages), page());
    return send_response(connection, "200 OK\r\nX-Part-No: " + call.substr(call.rfind('/') + 1), page());
  }
  static bool send_response(const Connection& connection, const std::string& head, const std::string& body) {
    const auto response = fmt::format("HTTP/1.1 {}\r\nContent-Length: {}\r\n\r\n{}", head, body.size(), body);
    return ::send(connection.socket, response.data(), response.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(response.size());
  }

  bool answers_;
  std::uint16_t port_ = 0;
  int socket_;
  std::vector<Connection> open_;
  mutable std::mutex mutex_;
  std::vector<std::string> calls_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

// Returns the JSON of a bus response with one topology event, numbered `last`. `whole`: the event replaces
// the complete list of hosts.
std::string events(int last, const std::string& hosts, bool whole) {
  return fmt::format(
      R"({{"offset":{},"batch":[{{"offset":{},"topology":{{"seq":{},"whole":{},"hosts":[{}]}}}}]}})", last,
      last, last, whole, hosts);
}
std::string engine_at(std::uint16_t port) {
  return fmt::format(
      R"({{"host":"s-1","dial":"127.0.0.1:{}","site":"east","class":"std","block":0,"health":"up","share":1,"born_ms":0}})",
      port);
}
const std::string kEngine = engine_at(1);

class Node : public testing::Test {
 protected:
  Node() {
    folder_ = std::filesystem::temp_directory_path() / fmt::format("heronwell-node-{}", ::getpid());
    std::filesystem::create_directories(folder_);
    ::close(listen_on_free_port(port_));
  }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  ~Node() override { std::filesystem::remove_all(folder_); }

  std::string config(std::uint16_t bus, const std::string& endpoints = "", bool may_cancel = true) const {
    return fmt::format(
        R"({{"name":"n0","listen":"127.0.0.1:{}","seed":"1f","limits":{{"sockets":64,"memory_mb":32}},"bus":"127.0.0.1:{}",
"known":{},"settings":{{"balancers":1,"classes":[{{"name":"lookup","aim":200000000,"give-up":1000000000,"semantics":"safe"}}],
"kinds":["std"],"zones":["east"],"tenants":[{{"name":"acme","portion":1}}],"ceilings":{{"max-attempts":3,"most-held":100,"cancel":{}}},
"safety":{{}},"family-info":{{"cpu-of-kind":[64]}}}}}})",
        port_, bus, events(1, endpoints, true), may_cancel);
  }
  void write(const std::string& text) const { std::ofstream(folder_ / "config.json") << text; }
  void start(std::uint16_t bus, const std::string& limits = "") { start_with(config(bus), limits); }
  void start_with(const std::string& text, const std::string& limits = "") {
    write(text);
    process_ = rehearsal::Process(
        {"/usr/bin/env", "ROUTER_NAME=n0", fmt::format("ROUTER_LISTEN=127.0.0.1:{}", port_),
         "ROUTER_CONFIG=" + (folder_ / "config.json").string(), "/bin/sh", "-c",
         limits + "exec " HERONWELL_PROGRAM " node"},
        (folder_ / "log").string());
    const auto deadline = std::chrono::steady_clock::now() + 10s;
    while (!can_connect() && std::chrono::steady_clock::now() < deadline) std::this_thread::sleep_for(10ms);
  }
  bool can_connect() const {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port_);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool done = ::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    ::close(socket);
    return done;
  }
  static std::string frame_of(unsigned type, std::uint32_t stream, const std::string& payload) {
    std::string out;
    put_u32(out, static_cast<std::uint32_t>(5 + payload.size()));
    put_u8(out, type);
    put_u32(out, stream);
    return out + payload;
  }
  static std::string request(std::uint32_t stream, const std::string& id, const std::string& wait) {
    std::string payload;
    put_u8(payload, 4);
    for (const auto& [name, value] : std::vector<std::pair<std::string, std::string>>{
             {"c", "lookup"}, {"i", id}, {"d", wait}, {"t", "acme"}}) {
      put_u8(payload, static_cast<unsigned>(name.size()));
      payload += name;
      put_u16(payload, static_cast<unsigned>(value.size()));
      payload += value;
    }
    return frame_of(2, stream, payload + "select 1");
  }
  // Returns stream and code of each answer in the bytes that a client has read; frames of other types are
  // skipped.
  static std::map<std::uint32_t, int> parse_answers(std::string& read) {
    std::map<std::uint32_t, int> out;
    std::size_t used = 0;
    ByteReader in(read);
    while (!in.rest().empty()) {
      const auto length = in.u32();
      const auto type = in.u8();
      const auto stream = in.u32();
      const auto payload = in.take(length - 5);
      if (!in.ok()) break;
      if (type != 4) continue;
      EXPECT_TRUE(out.emplace(stream, payload[0]).second) << "received a second answer to one request";
    }
    read.erase(0, used);
    return out;
  }
  // Waits for the first answer. Empty if none arrives within 2 s after the last received bytes.
  static std::map<std::uint32_t, int> first_answer(Client& client) {
    std::map<std::uint32_t, int> received;
    std::string read;
    for (std::string chunk; received.empty() && !(chunk = client.receive(2s)).empty();
         received = parse_answers(read))
      read += chunk;
    return received;
  }
  // Returns the code in the response to a readiness request (0: ready), or -1 if there is none.
  int ready_code() const {
    Client client(port_);
    client.send(frame_of(16, 1, std::string(1, '\0')));
    const auto response = client.receive(2s);
    return response.size() == 11 && response[4] == 32 ? response[9] : -1;
  }
  bool wait_until_ready() const {
    const auto deadline = std::chrono::steady_clock::now() + 5s;
    while (ready_code() != 0 && std::chrono::steady_clock::now() < deadline)
      std::this_thread::sleep_for(20ms);
    return ready_code() == 0;
  }

  std::filesystem::path folder_;
  std::uint16_t port_ = 0;
  rehearsal::Process process_;
};

TEST_F(Node, AFailingOrSilentBusIsReadAgainFromTheLastAppliedEvent) {
  const auto event_json = events(2, kEngine, false);
  StandInBus bus(
      {{event_json, event_json.size() / 2}, {}, {"what"}, {event_json}, {R"({"offset":2,"batch":[]})"}});
  start(bus.port());
  EXPECT_EQ(ready_code(), 1) << "expected not ready, because no engine is listed";
  const auto began = std::chrono::steady_clock::now();
  ASSERT_TRUE(wait_until_ready());
  EXPECT_LT(std::chrono::steady_clock::now() - began, 4500ms)
      << "expected little more than two timeouts of 1.7 s";
  const auto requests = bus.requests();
  ASSERT_GE(requests.size(), 4U);
  for (std::size_t i = 0; i < 4; ++i)
    EXPECT_TRUE(requests[i].starts_with("GET /bus/read?from=1&hold=")) << requests[i];
  ASSERT_TRUE(bus.wait_for_requests(5));
  EXPECT_TRUE(bus.requests()[4].starts_with("GET /bus/read?from=2&"));
}

TEST_F(Node, AnInvalidInitialListIsReadAgainFromTheBeginning) {
  StandInBus bus({{events(2, kEngine, true)}, {}});
  start_with(config(bus.port(), "{}"));  // a host without a name
  EXPECT_TRUE(wait_until_ready());
  ASSERT_TRUE(bus.wait_for_requests(2));
  EXPECT_TRUE(bus.requests()[0].starts_with("GET /bus/read?from=0&")) << bus.requests()[0];
  EXPECT_TRUE(bus.requests()[1].starts_with("GET /bus/read?from=2&")) << bus.requests()[1];
}

TEST_F(Node, SwitchesToANewBusAddressAndIgnoresATruncatedConfiguration) {
  StandInBus old(std::deque<StandInBus::Reply>(1)), next({{events(2, kEngine, false)}, {}});
  start(old.port());
  ASSERT_TRUE(old.wait_for_requests(1));
  write(config(next.port()).substr(0, 200));
  process_.signal(SIGHUP);
  std::this_thread::sleep_for(200ms);
  EXPECT_EQ(ready_code(), 1) << "expected the router to keep running with the old configuration";
  EXPECT_TRUE(next.requests().empty());
  write(config(next.port()));
  process_.signal(SIGHUP);
  ASSERT_TRUE(next.wait_for_requests(1));
  EXPECT_TRUE(next.requests()[0].starts_with("GET /bus/read?from=1&"))
      << "expected the event offsets to continue on the new bus";
  EXPECT_TRUE(wait_until_ready());
  const auto before = old.requests().size();
  std::this_thread::sleep_for(2s);
  EXPECT_EQ(old.requests().size(), before);
}

TEST_F(Node, OnSigtermItReportsNotReadyAnswersNewRequestsAndExitsWith0) {
  StandInBus bus({{events(2, kEngine, false)}, {}});
  start(bus.port());
  ASSERT_TRUE(wait_until_ready());
  process_.signal(SIGTERM);
  std::this_thread::sleep_for(400ms);
  EXPECT_EQ(ready_code(), 1) << "expected the router to accept new connections";
  Client client(port_);
  client.send(request(1, "9b1f03aa5c7e2d41", "900"));
  const auto response = client.receive(2s);  // the engine is unreachable
  ASSERT_GE(response.size(), 10U);
  EXPECT_EQ(response[4], 4);
  EXPECT_EQ(response[9], 1) << "expected a refusal, because nothing ran";
  ASSERT_TRUE(process_.wait(Time(3s)));
  EXPECT_EQ(process_.wait(), 0);
}

TEST_F(Node, AnswersWrittenBeforeExitReachASlowClientCompletely) {
  StandInEngine engine(true);
  StandInBus bus({{events(2, engine_at(engine.port()), false)}, {}});
  start(bus.port());
  ASSERT_TRUE(wait_until_ready());
  constexpr int kRequests = 8;
  Client slow(port_, 4096);
  for (int n = 1; n <= kRequests; ++n)
    slow.send(request(static_cast<std::uint32_t>(n), fmt::format("9b1f03aa5c7e2d{:02}", n), "900"));
  ASSERT_TRUE(engine.wait_for_calls("GET /x/9b1f03aa5c7e2d08/7", 1));
  process_.signal(SIGTERM);
  ASSERT_TRUE(process_.wait(Time(3s)));
  EXPECT_EQ(process_.wait(), 0);
  std::string all;
  for (std::string chunk; !(chunk = slow.receive(1s)).empty();) all += chunk;
  std::size_t whole = 0;
  ByteReader in(all);
  unsigned type = 0;
  while (!in.rest().empty()) {
    const auto length = in.u32();
    type = in.u8();
    in.u32();
    const auto payload = in.take(length - 5);
    ASSERT_TRUE(in.ok()) << "a frame is truncated";
    whole += type == 4 && payload.size() == 2 + StandInEngine::kPages * StandInEngine::page().size() ? 1 : 0;
  }
  EXPECT_EQ(whole, static_cast<std::size_t>(kRequests));
  EXPECT_EQ(type, 64U) << "expected the last frame to say that no new requests are accepted";
}

TEST_F(Node, OnSigtermWithAHangingEngineItAnswersBeforeItMayBeKilled) {
  StandInEngine engine(false);
  StandInBus bus({{events(2, engine_at(engine.port()), false)}, {}});
  start(bus.port());
  ASSERT_TRUE(wait_until_ready());
  Client client(port_);
  client.send(request(1, "9b1f03aa5c7e2d41", "20000"));
  ASSERT_TRUE(engine.wait_for_calls("POST", 1));
  process_.signal(SIGTERM);
  const auto began = std::chrono::steady_clock::now();
  const auto response = client.receive(5s);
  // The longest request deadline is 1 s; the platform may kill the process 1.7 s after SIGTERM.
  EXPECT_LT(std::chrono::steady_clock::now() - began, 1700ms);
  ASSERT_GE(response.size(), 10U);
  EXPECT_EQ(response[4], 4);
  EXPECT_EQ(response[9], 1) << "expected a refusal, because the query is safe to retry";
  EXPECT_TRUE(engine.wait_for_calls("DELETE", 1));
  client.disconnect();
  ASSERT_TRUE(process_.wait(Time(1s)));
  EXPECT_EQ(process_.wait(), 0);
}

TEST_F(Node, OnSigtermItCancelsNoQueryIfCancellationIsOff) {
  StandInEngine engine(false);
  StandInBus bus({{events(2, engine_at(engine.port()), false)}, {}});
  start_with(config(bus.port(), "", false));
  ASSERT_TRUE(wait_until_ready());
  Client client(port_);
  client.send(request(1, "9b1f03aa5c7e2d41", "20000"));
  ASSERT_TRUE(engine.wait_for_calls("POST", 1));
  process_.signal(SIGTERM);
  auto read = client.receive(5s);
  EXPECT_EQ(parse_answers(read), (std::map<std::uint32_t, int>{{1, 1}}))
      << "expected an answer despite the running query";
  client.disconnect();
  ASSERT_TRUE(process_.wait(Time(1s)));
  EXPECT_EQ(engine.call_count("DELETE"), 0);
}

// Clients send requests during the whole shutdown. A request without an answer must not have reached an
// engine, so that its client may safely send it again.
TEST_F(Node, RequestsDuringShutdownAreAnsweredOrNotForwarded) {
  StandInEngine engine(true);
  StandInBus bus({{events(2, engine_at(engine.port()), false)}, {}});
  start(bus.port());
  ASSERT_TRUE(wait_until_ready());
  constexpr std::size_t kClients = 4, kMaxInFlight = 8;
  struct Requester {
    Client client;
    std::uint32_t sent = 0;
    std::string read;
    std::map<std::uint32_t, int> received;
  };
  std::vector<Requester> requesters;
  for (std::size_t i = 0; i < kClients; ++i) requesters.push_back({Client(port_), 0, {}, {}});
  const auto request_id = [](std::size_t requester, std::uint32_t n) {
    return fmt::format("{:08x}{:08x}", requester, n);
  };
  process_.signal(SIGTERM);
  const auto deadline = std::chrono::steady_clock::now() + 3s;
  while (std::chrono::steady_clock::now() < deadline && !process_.wait(Time(0))) {
    for (std::size_t i = 0; i < kClients; ++i) {
      auto& [client, sent, read, received] = requesters[i];
      while (client.readable(0ms) && !client.closed()) read += client.receive(0ms);
      received.merge(parse_answers(read));
      if (client.closed() || sent >= received.size() + kMaxInFlight) continue;
      ++sent;
      client.send(request(sent, request_id(i, sent), "900"));
    }
    std::this_thread::sleep_for(500us);
  }
  ASSERT_TRUE(process_.wait(Time(1s)));
  EXPECT_EQ(process_.wait(), 0);
  std::size_t served = 0;
  for (std::size_t i = 0; i < kClients; ++i) {
    auto& [client, sent, read, received] = requesters[i];
    for (std::string chunk; !(chunk = client.receive(200ms)).empty();) read += chunk;
    received.merge(parse_answers(read));
    for (std::uint32_t n = 1; n <= sent; ++n)
      EXPECT_TRUE(received.contains(n) || engine.call_count("GET /x/" + request_id(i, n)) == 0)
          << i << " " << n << " of " << sent;
    served += received.size();
  }
  EXPECT_GT(served, 200U);
}

// Connections to engines and clients use up the file descriptors while the bus does not respond. The router
// must still receive the bus's next event and answer a new client.
TEST_F(Node, WithDescriptorsExhaustedItStillReadsTheBusAndAnswers) {
  StandInEngine hanging(false);
  StandInBus bus(
      {{events(2, engine_at(hanging.port()), false)}, {}, {}, {events(3, engine_at(1), false)}, {}});
  auto config_json = config(bus.port());
  const std::string times = "\"aim\":200000000,\"give-up\":1000000000";
  config_json.replace(config_json.find(times), times.size(), "\"aim\":100000000000,\"give-up\":600000000000");
  start_with(config_json, "ulimit -n 64; ");
  ASSERT_TRUE(wait_until_ready());
  std::vector<Client> busy;
  for (unsigned i = 0; i < 4; ++i) busy.emplace_back(port_);
  for (unsigned i = 0; i < 4; ++i)
    for (unsigned n = 1; n <= 16; ++n) busy[i].send(request(n, fmt::format("{:08x}{:08x}", i, n), "600000"));
  ASSERT_TRUE(hanging.wait_for_calls("POST", 15));
  std::vector<Client> idle;
  const auto descriptors = fmt::format("/proc/{}/fd", process_.id());
  std::ptrdiff_t max_descriptors = 0;
  const auto began = std::chrono::steady_clock::now();
  while (bus.requests().size() < 5 && std::chrono::steady_clock::now() < began + 6s) {
    if (idle.size() < 200) idle.emplace_back(port_);
    const std::filesystem::directory_iterator all(descriptors);
    max_descriptors = std::max(max_descriptors, std::distance(begin(all), end(all)));
    std::this_thread::sleep_for(10ms);
  }
  ASSERT_GE(bus.requests().size(), 5U);
  EXPECT_TRUE(bus.requests()[4].starts_with("GET /bus/read?from=3&")) << bus.requests()[4];
  EXPECT_GE(max_descriptors, 50) << "expected the router to use nearly all descriptors";
  EXPECT_LE(max_descriptors, 62) << "expected the router to keep some descriptors in reserve";
  EXPECT_EQ(ready_code(), 0);
}

// At the connection limit the router closes the connection that has been idle longest. If its client sends a
// request at the same time, it reads an orderly end of the connection, and the request reaches no engine, so
// that the client may send it again.
TEST_F(Node, AtTheConnectionLimitTheLongestIdleConnectionEndsInOrder) {
  StandInEngine engine(true);
  StandInBus bus({{events(2, engine_at(engine.port()), false)}, {}});
  start(bus.port(), "ulimit -n 64; ");
  ASSERT_TRUE(wait_until_ready());
  std::vector<Client> idle;
  for (int i = 0; i < 21; ++i) {  // as many as the limit of 64 descriptors allows
    idle.emplace_back(port_);
    idle.back().send(frame_of(16, 1, std::string(1, '\0')));
    ASSERT_TRUE(idle.back().readable());
  }
  Client new_client(port_);
  new_client.send(request(1, "9b1f03aa5c7e2d41", "900"));
  EXPECT_EQ(first_answer(new_client), (std::map<std::uint32_t, int>{{1, 0}}));
  // The first client has not read yet; its buffer holds the first answer and the end of the connection. The
  // router no longer reads what this client sends now.
  for (unsigned n = 2; n < 20; ++n) idle.front().send(request(n, fmt::format("{:016x}", n), "900"));
  std::string read;
  for (std::string chunk; !(chunk = idle.front().receive(1s)).empty();) read += chunk;
  EXPECT_TRUE(read == frame_of(32, 1, std::string(2, '\0')) + frame_of(64, 0, ""))
      << "expected all bytes in spite of the close; " << read.size() << " bytes";
  Client again(port_);
  again.send(request(1, fmt::format("{:016x}", 2), "900"));
  EXPECT_EQ(first_answer(again), (std::map<std::uint32_t, int>{{1, 0}}));
  EXPECT_EQ(engine.call_count("POST"), 2);
}

// Accepts calls on the listening socket `engine` and answers when the test calls send_response().
class ManualEngine {
 public:
  explicit ManualEngine(int engine) : engine_(engine) {}
  ManualEngine(const ManualEngine&) = delete;
  ManualEngine& operator=(const ManualEngine&) = delete;
  ~ManualEngine() {
    for (const auto& [socket, call] : calls_) ::close(socket);
  }
  // Accepts the next connection and returns the first bytes of its call. Empty if no connection arrives
  // within `timeout` or its first bytes do not arrive within another 2 s.
  std::string next_call(std::chrono::milliseconds timeout) {
    pollfd poll_entry{engine_, POLLIN, 0};
    if (::poll(&poll_entry, 1, static_cast<int>(timeout.count())) <= 0) return "";
    const int socket = ::accept(engine_, nullptr, nullptr);
    pollfd readable{socket, POLLIN, 0};
    std::string call(4096, '\0');
    const auto received = ::poll(&readable, 1, 2000) > 0 ? ::recv(socket, call.data(), call.size(), 0) : 0;
    call.resize(received > 0 ? static_cast<std::size_t>(received) : 0);
    calls_.emplace_back(socket, call);
    return call;
  }
  // Answers the latest call.
  void send_response(const std::string& bytes) const {
    EXPECT_EQ(::send(calls_.back().first, bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
  }

 private:
  int engine_;
  std::vector<std::pair<int, std::string>> calls_;
};

TEST_F(Node, ARequestWithAnIdBeingCancelledWaitsForTheCancelResponse) {
  std::uint16_t port = 0;
  const int engine = listen_on_free_port(port);
  StandInBus bus({{events(2, engine_at(port), false)}, {}});
  start(bus.port());
  ASSERT_TRUE(wait_until_ready());
  ManualEngine manual_engine(engine);
  const std::string id = "9b1f03aa5c7e2d41";
  {
    Client first(port_);
    first.send(request(1, id, "900"));
    ASSERT_TRUE(manual_engine.next_call(2s).starts_with("POST /x "));
  }
  ASSERT_TRUE(manual_engine.next_call(2s).starts_with("DELETE /x/" + id))
      << "expected a cancel call after the client disconnected";
  Client again(port_);
  again.send(request(1, id, "900"));
  EXPECT_EQ(manual_engine.next_call(200ms), "")
      << "expected no second start before the cancel call is answered: it could be cancelled or run twice";
  manual_engine.send_response("HTTP/1.1 204 No Content\r\n\r\n");
  ASSERT_TRUE(manual_engine.next_call(2s).starts_with("POST /x "));
  const std::string result = "HTTP/1.1 200 OK\r\nX-Parts: 1\r\nContent-Length: 6\r\n\r\na\tb\tc\n";
  manual_engine.send_response(result);
  ASSERT_TRUE(manual_engine.next_call(2s).starts_with("GET /x/" + id + "/0"))
      << "expected the last page to be confirmed";
  manual_engine.send_response(result);
  EXPECT_EQ(first_answer(again), (std::map<std::uint32_t, int>{{1, 0}}));
  ::close(engine);
}

// Connections to an engine with a full accept queue are established late. By then the clients have cancelled,
// closed or reset their connections; their queries must not start.
TEST_F(Node, ALateEngineConnectionStartsNothingForADisconnectedClient) {
  std::uint16_t port = 0;
  const int engine = listen_on_free_port(port);
  ASSERT_EQ(::listen(engine, 0), 0);
  StandInBus bus({{events(2, engine_at(port), false)}, {}});
  auto config_json =
      config(bus.port(), "", false);  // without cancellation only the client's disconnect ends a request
  const std::string cancel = "\"cancel\":false";
  config_json.replace(config_json.find(cancel), cancel.size(), cancel + ",\"dial-timeout\":9000000000");
  const std::string times = "\"aim\":200000000,\"give-up\":1000000000";
  config_json.replace(config_json.find(times), times.size(), "\"aim\":8000000000,\"give-up\":20000000000");
  start_with(config_json);
  ASSERT_TRUE(wait_until_ready());
  std::vector<Client> queue_filler;
  queue_filler.emplace_back(port);
  std::vector<Client> leaving;
  for (unsigned n = 0; n < 3; ++n) {
    leaving.emplace_back(port_);
    leaving.back().send(request(1, fmt::format("{:016x}", n), "15000"));
  }
  std::this_thread::sleep_for(300ms);
  leaving[0].send(frame_of(8, 1, ""));
  leaving[1].disconnect();
  leaving[2].reset();
  std::this_thread::sleep_for(100ms);
  // The accept queue is emptied now, so the late connections are established. The remaining client is served.
  Client staying(port_);
  staying.send(request(1, fmt::format("{:016x}", 9), "15000"));
  std::vector<pollfd> open{{engine, POLLIN, 0}};
  std::string began, chunk(4096, '\0');
  const auto start_time = std::chrono::steady_clock::now();
  while ((began.empty() || open.size() < 5) && std::chrono::steady_clock::now() < start_time + 8s) {
    if (::poll(open.data(), open.size(), 50) <= 0) continue;
    if (open[0].revents != 0) open.push_back({::accept(engine, nullptr, nullptr), POLLIN, 0});
    for (std::size_t i = 1; i < open.size(); ++i) {
      if (open[i].revents == 0) continue;
      const auto received = ::recv(open[i].fd, chunk.data(), chunk.size(), 0);
      if (received <= 0) open[i].events = 0, ::close(std::exchange(open[i].fd, -1));
      if (received > 0) began.append(chunk, 0, static_cast<std::size_t>(received));
    }
  }
  EXPECT_GE(open.size(), 5U)
      << "expected the connection that filled the accept queue and those of the three disconnected clients";
  ASSERT_TRUE(began.starts_with("POST /x ")) << began;
  EXPECT_NE(began.find(fmt::format("{:016x}", 9)), std::string::npos) << began;
  EXPECT_EQ(began.find("POST", 1), std::string::npos) << began;
  for (const auto& poll_entry : open) ::close(poll_entry.fd);
}

// The engine reads slowly, so that most of a large query is still in the router's send buffer when the client
// disconnects. The engine must not receive the complete query.
TEST_F(Node, AQueryBeingSentWhenItsClientDisconnectsNeverArrivesCompletely) {
  std::uint16_t port = 0;
  const int engine = listen_on_free_port(port);
  const int least = 4096;
  ::setsockopt(engine, SOL_SOCKET, SO_RCVBUF, &least, sizeof least);
  StandInBus bus({{events(2, engine_at(port), false)}, {}});
  start(bus.port());
  ASSERT_TRUE(wait_until_ready());
  Client client(port_);
  constexpr std::size_t kLarge = 200'000;
  auto frame = request(1, "9b1f03aa5c7e2d41", "900") + std::string(kLarge, ' ');
  std::string length;
  put_u32(length, static_cast<std::uint32_t>(frame.size() - 4));
  client.send(length + frame.substr(4));
  const int call = ::accept(engine, nullptr, nullptr);
  pollfd readable{call, POLLIN, 0};
  ASSERT_EQ(::poll(&readable, 1, 5000), 1) << "expected the router to start sending the query";
  client.disconnect();
  pollfd next{engine, POLLIN, 0};
  ASSERT_EQ(::poll(&next, 1, 5000), 1) << "expected a cancel call";
  std::size_t arrived = 0;
  std::string chunk(65536, '\0');
  for (ssize_t received = 0; (received = ::recv(call, chunk.data(), chunk.size(), 0)) > 0;)
    arrived += static_cast<std::size_t>(received);
  EXPECT_GT(arrived, 0U);
  EXPECT_LT(arrived, kLarge);
  ::close(call);
  ::close(engine);
}

TEST_F(Node, ADrainOnANewSilentBusIsAppliedInTime) {
  StandInEngine draining_engine(true), serving(true);
  auto draining_entry = engine_at(draining_engine.port());
  draining_entry.replace(draining_entry.find("\"up\""), 4, "\"draining\"");
  auto other = engine_at(serving.port());
  other.replace(other.find("s-1"), 3, "s-2");
  StandInBus old({{events(2, engine_at(draining_engine.port()), false)}, {}});
  // The new bus does not answer the first request.
  StandInBus next({{}, {events(3, draining_entry + "," + other, false)}, {}});
  start(old.port());
  ASSERT_TRUE(wait_until_ready());
  ASSERT_TRUE(old.wait_for_requests(2));
  write(config(next.port()));
  process_.signal(SIGHUP);
  // By this time the router must have read the list of hosts from the new bus.
  const auto expected_update = std::chrono::steady_clock::now() + 4s;
  ASSERT_TRUE(next.wait_for_requests(1));
  Client client(port_);
  std::string all;
  unsigned n = 0;
  int calls_at_grace_end = 0;  // 1 + calls of the draining engine; 0: grace period not over
  while (std::chrono::steady_clock::now() < expected_update + 1500ms) {
    client.send(request(++n, fmt::format("{:016x}", n), "900"));
    if (std::chrono::steady_clock::now() > expected_update + 500ms && calls_at_grace_end == 0)
      calls_at_grace_end = 1 + draining_engine.call_count("POST");
    all += client.receive(20ms);
  }
  EXPECT_EQ(draining_engine.call_count("POST"), calls_at_grace_end - 1)
      << "expected no queries to the draining engine after the grace period";
  EXPECT_GT(serving.call_count("POST"), 10);
  EXPECT_GT(calls_at_grace_end, 10);
}

TEST_F(Node, AfterAKillItServesAtOnceWithoutTheBus) {
  StandInEngine engine(true);
  std::uint16_t nowhere = 0;
  ::close(listen_on_free_port(nowhere));
  const auto config_json = config(nowhere, engine_at(engine.port()));
  start_with(config_json);
  ASSERT_TRUE(wait_until_ready());
  for (int round = 0; round < 3; ++round) {
    std::vector<Client> clients;
    for (unsigned i = 0; i < 8; ++i) clients.emplace_back(port_);
    for (unsigned n = 1; n <= 16; ++n)
      for (unsigned i = 0; i < 8; ++i)
        clients[i].send(request(n, fmt::format("{:06x}{:02x}{:08x}", round, i, n), "900"));
    ASSERT_TRUE(engine.wait_for_calls(fmt::format("GET /x/{:06x}", round), 1))
        << "expected queries to be running";
    process_.signal(SIGKILL);
    EXPECT_EQ(process_.wait(), 128 + SIGKILL);
    const auto began = std::chrono::steady_clock::now();
    start_with(config_json);
    if (round == 1) {  // kill it during start-up too
      process_.signal(SIGKILL);
      process_.wait();
      start_with(config_json);
    }
    ASSERT_TRUE(wait_until_ready());
    EXPECT_LT(std::chrono::steady_clock::now() - began, 2s);
    Client client(port_);
    client.send(request(1, fmt::format("{:06x}ff{:08x}", round, 1), "900"));
    EXPECT_EQ(first_answer(client), (std::map<std::uint32_t, int>{{1, 0}}));
  }
}

TEST_F(Node, OnSigtermWithoutFreeDescriptorsItKeepsServing) {
  StandInBus bus({{events(2, kEngine, false)}, {}});
  start(bus.port(), "ulimit -n 24; ");
  ASSERT_TRUE(wait_until_ready());
  std::vector<Client> idle;
  for (int i = 0; i < 40; ++i) idle.emplace_back(port_);
  std::this_thread::sleep_for(100ms);
  process_.signal(SIGTERM);
  const auto began = std::chrono::steady_clock::now();
  while (!process_.wait(Time(10ms)) && std::chrono::steady_clock::now() < began + 5s) continue;
  EXPECT_GT(std::chrono::steady_clock::now() - began, 700ms)
      << "expected the router not to stop because accept fails";
  EXPECT_LT(std::chrono::steady_clock::now() - began, 2500ms);
  EXPECT_EQ(process_.wait(), 0);
}

}  // namespace
}  // namespace heronwell::e2e
