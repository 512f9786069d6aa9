// TestSystem runs stand-in engines, an endpoint list and routers in the test process. Client connects to the
// routers through real sockets.
#pragma once

#include <arpa/inet.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

#include "daemon/server.hpp"
#include "graphql/documents.hpp"
#include "http/message.hpp"
#include "rehearsal/engine.hpp"
#include "rehearsal/list.hpp"

namespace heronwell::e2e {

using namespace std::chrono_literals;

// An HTTP/1.1 client on one loopback connection. Not thread-safe.
class Client {
 public:
  // `receive_buffer` is the size of the socket's receive buffer in bytes; 0: the system's default.
  explicit Client(std::uint16_t port, int receive_buffer = 0) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    if (receive_buffer > 0)
      ::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    const int on = 1;
    ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
  }
  ~Client() { disconnect(); }
  Client(Client&& other) noexcept : socket_(std::exchange(other.socket_, -1)) {}
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void send(std::string_view bytes) {
    while (!bytes.empty()) {
      const auto sent = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) return;
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
  }
  void post(const std::string& body, const std::string& extra = "") {
    send(fmt::format("POST /v1/query HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n{}\r\n{}", body.size(),
                     extra, body));
  }
  void disconnect() {
    if (socket_ >= 0) ::close(std::exchange(socket_, -1));
  }
  // Closes the connection with a TCP reset.
  void reset() {
    const linger reset_on_close{1, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    disconnect();
  }
  // Returns the next received bytes. Empty if none arrived within `timeout` or the connection has ended;
  // closed() distinguishes the two.
  std::string receive(std::chrono::milliseconds timeout = 5s, std::size_t max_bytes = 65536) {
    pollfd poll_entry{socket_, POLLIN, 0};
    if (::poll(&poll_entry, 1, static_cast<int>(timeout.count())) <= 0) return "";
    std::string bytes(max_bytes, '\0');
    const auto received = ::recv(socket_, bytes.data(), bytes.size(), 0);
    closed_ = received <= 0;
    bytes.resize(received > 0 ? static_cast<std::size_t>(received) : 0);
    return bytes;
  }
  // Waits until bytes can be read, without reading them. Returns false after `timeout`.
  [[nodiscard]] bool readable(std::chrono::milliseconds timeout = 5s) const {
    pollfd poll_entry{socket_, POLLIN, 0};
    return ::poll(&poll_entry, 1, static_cast<int>(timeout.count())) > 0;
  }
  struct Response {
    int status = 0;  // 0: no response before the timeout or the end of the connection
    std::string body;
    bool complete = false;
    std::optional<std::string> retry_after;
  };
  Response read_response(std::chrono::milliseconds timeout = 10s) {
    Response response;
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!response.complete) {
      const auto step = parser_.next(unparsed_);
      response.body += step.body;
      unparsed_.erase(0, step.consumed);
      if (step.event == http::Parser::Event::head) {
        response.status = parser_.status();
        if (const auto field = parser_.find("retry-after")) response.retry_after = std::string(*field);
      }
      if (step.event == http::Parser::Event::error) return response;
      if (step.event == http::Parser::Event::end) response.complete = response.status >= 200;
      if (step.event != http::Parser::Event::need_more) continue;
      const auto remaining =
          std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
      const auto bytes = receive(std::max(remaining, 0ms));
      if (bytes.empty()) return response;
      unparsed_ += bytes;
    }
    return response;
  }
  [[nodiscard]] bool closed() const { return closed_; }

 private:
  int socket_ = -1;
  bool closed_ = false;
  http::Parser parser_{http::Role::response, {8 << 10, 32 << 10, 100, 1ULL << 32}};
  std::string unparsed_;
};

// Stand-in engines and an endpoint list on a thread of their own, and routers on further threads.
class TestSystem {
 public:
  struct Options {
    unsigned engines = 2;
    std::string settings;  // additional YAML for the router configuration
    rehearsal::Traits traits;
    unsigned threads = 1;
    Time progress_interval{};
    unsigned router_count = 1;
    std::string classes;          // additional YAML within classes
    std::string engine_settings;  // YAML, within engines: {...}
    // If set, `router_count` routers run in this process, and the function returns the additional YAML of the
    // router with the given number. Otherwise one router runs, configured as one of `router_count`.
    std::function<std::string(unsigned)> settings_for_router;
  };
  // Starts everything and waits until the routers serve.
  explicit TestSystem(Options options) : options_(std::move(options)) {
    spdlog::set_level(spdlog::level::off);
    folder_ = std::filesystem::temp_directory_path() /
              fmt::format("heronwell-{}-{}", ::getpid(), ++instance_count_);
    std::filesystem::create_directories(folder_);
    work_guard_.emplace(boost::asio::make_work_guard(context_));
    engine_thread_ = std::thread([this] { context_.run(); });
    list_recorder_ = std::make_unique<rehearsal::Recorder>(folder_ / "list.jsonl", "list", "list");
    run_on_engine_thread([&] {
      list_ = std::make_unique<rehearsal::ListServer>(context_, std::uint16_t{0}, *list_recorder_);
      for (unsigned i = 0; i < options_.engines; ++i) {
        recorders_.push_back(std::make_unique<rehearsal::Recorder>(
            folder_ / fmt::format("engine-{}.jsonl", i), "engine", "e"));
        engines_.emplace_back();
        entries_.emplace_back();
        start_engine(i, true);
      }
      list_->set(entries_);
    });
    for (unsigned n = 0; n < (options_.settings_for_router ? options_.router_count : 1); ++n) start_router(n);
  }
  TestSystem(const TestSystem&) = delete;
  TestSystem& operator=(const TestSystem&) = delete;
  ~TestSystem() {
    for (unsigned n = 0; n < routers_.size(); ++n) stop_router(n);
    run_on_engine_thread([&] {
      engines_.clear();
      list_.reset();
    });
    work_guard_.reset();
    context_.stop();
    engine_thread_.join();
    std::filesystem::remove_all(folder_);
  }

  // Runs `function` on the thread of the engines and waits until it has returned.
  void run_on_engine_thread(const std::function<void()>& function) {
    std::promise<void> done;
    boost::asio::post(context_, [&] {
      function();
      done.set_value();
    });
    done.get_future().wait();
  }
  void inject_fault(unsigned engine, const std::string& line) {
    run_on_engine_thread([&] { EXPECT_EQ(engines_[engine]->command(line), ""); });
  }
  void kill_engine(unsigned engine) {
    run_on_engine_thread([&] { engines_[engine]->kill(); });
  }
  void set_engine_state(unsigned engine, EndpointState state) {
    run_on_engine_thread([&] {
      entries_[engine].state = state;
      list_->set(entries_);
    });
  }
  // Returns how often the record of engine `engine` contains the event for the request; -1: the sum over all
  // engines.
  [[nodiscard]] unsigned event_count(const std::string& event, const std::string& id, int engine = -1) const {
    unsigned count = 0;
    for (unsigned i = 0; i < options_.engines; ++i) {
      if (engine >= 0 && static_cast<unsigned>(engine) != i) continue;
      std::ifstream file(folder_ / fmt::format("engine-{}.jsonl", i));
      for (std::string line; std::getline(file, line);) {
        const auto json = nlohmann::json::parse(line, nullptr, false);
        if (json.is_object() && json.value("e", "") == event && json.value("id", "") == id) ++count;
      }
    }
    return count;
  }
  [[nodiscard]] std::string engine_records(unsigned engine) const {
    std::ifstream file(folder_ / fmt::format("engine-{}.jsonl", engine));
    return {std::istreambuf_iterator<char>(file), {}};
  }
  // Returns the engine on which a request began (of engines 0 and 1). To be called before the test disturbs
  // that engine, because the request may be retried on the other.
  [[nodiscard]] unsigned engine_of(const std::string& id) const {
    return event_count("began", id, 0) > 0 ? 0 : 1;
  }
  // Waits until the engines have recorded the event at least `times` times. Returns false after `timeout`.
  [[nodiscard]] bool wait_for_event(const std::string& event, const std::string& id, unsigned times = 1,
                                    std::chrono::milliseconds timeout = 3s) const {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (event_count(event, id) < times) {
      if (std::chrono::steady_clock::now() > deadline) return false;
      std::this_thread::sleep_for(5ms);
    }
    return true;
  }
  [[nodiscard]] Client client(int receive_buffer = 0) const { return Client(port(), receive_buffer); }
  // Returns the value of a metric from /metrics, or -1 if it is missing.
  [[nodiscard]] double metric(const std::string& name) const {
    auto metrics_client = client();
    metrics_client.send("GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n");
    const auto text = "\n" + metrics_client.read_response().body;
    const auto at = text.find("\n" + name + " ");
    return at == std::string::npos ? -1 : std::stod(text.substr(at + name.size() + 2));
  }
  // Waits until the metric has exactly this value. Returns false after `timeout`.
  [[nodiscard]] bool wait_for_metric(const std::string& name, double value,
                                     std::chrono::milliseconds timeout = 3s) const {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (metric(name) != value) {
      if (std::chrono::steady_clock::now() > deadline) return false;
      std::this_thread::sleep_for(10ms);
    }
    return true;
  }
  std::vector<fleet::EndpointEntry>& entries() { return entries_; }
  rehearsal::ListServer& list() { return *list_; }
  [[nodiscard]] std::uint16_t port(unsigned router = 0) const { return routers_[router].port; }

  // Returns the JSON body of a query. The stand-in engine reads the id and `cost` from the statement's
  // comment.
  static std::string query_body(const std::string& cls, const std::string& id,
                                const std::string& cost = "work_ms=0", const std::string& extra = "") {
    return fmt::format(R"({{"statement":"select x /*hw id={} {}*/","class":"{}"{}}})", id, cost, cls, extra);
  }

  void start_router(unsigned number = 0) {
    if (routers_.size() <= number) routers_.resize(number + 1);
    auto& router = routers_[number];
    const auto yaml = fmt::format(
        R"(gateway: {{name: gw{}, seed: 5, threads: {}, of: {}, number: {}}}
listen: {{port: 0, header_time: 400ms, idle_time: 2s, stall_time: 1s}}
list: {{consul: [{{port: {}}}], retry_least: 20ms}}
kinds: {{small: {{cores: 4, memory: 4GiB}}}}
classes:
  lookup: {{aim: 500ms, give_up: 3s}}
  load: {{aim: 2s, give_up: 4s, effect: unsafe}}
{}loads: {{fields: [inflight, util], in_answers: true, tells_cost: true, progress_pace: {}}}
engines: {{never_began: ["53300"], cancel_wait: 200ms{}}}
{})",
        number == 0 ? "" : std::to_string(number), options_.threads, options_.router_count, number,
        list_->port(), options_.classes, yaml::duration_text(options_.progress_interval),
        options_.engine_settings,
        options_.settings + (options_.settings_for_router ? options_.settings_for_router(number) : ""));
    try {
      router.server =
          std::make_unique<daemon::Server>(config::read_config(yaml::Section::text(yaml, "test_system")));
    } catch (const yaml::Error& error) {
      FAIL() << error.what();
    }
    router.port = router.server->port();
    auto ready = std::make_shared<std::promise<void>>();
    router.thread = std::thread(
        [server = router.server.get(), ready] { server->run([ready] { ready->set_value(); }, 200ms); });
    ASSERT_EQ(ready->get_future().wait_for(5s), std::future_status::ready);
  }
  void stop_router(unsigned number = 0) {
    auto& router = routers_[number];
    if (!router.server) return;
    router.server->stop(200ms);
    router.thread.join();
    router.server.reset();
  }
  // Starts engine `i`, or restarts it on its port. To be called on the thread of the engines.
  void start_engine(unsigned i, bool warm) {
    rehearsal::EngineOptions options;
    options.name = fmt::format("engine-{}", i);
    options.port = entries_[i].port;
    options.traits = options_.traits;
    options.warm = warm;
    options.seed = i + 1;
    options.progress_interval = options_.progress_interval;
    engines_[i].reset();
    engines_[i] = std::make_unique<rehearsal::Engine>(context_, options, *recorders_[i]);
    entries_[i] = {options.name, "127.0.0.1", engines_[i]->port(), "", "small"};
  }

 private:
  inline static unsigned instance_count_ = 0;
  Options options_;
  std::filesystem::path folder_;
  boost::asio::io_context context_{1};
  std::optional<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> work_guard_;
  std::thread engine_thread_;
  std::unique_ptr<rehearsal::Recorder> list_recorder_;
  std::vector<std::unique_ptr<rehearsal::Recorder>> recorders_;
  std::vector<std::unique_ptr<rehearsal::Engine>> engines_;
  std::vector<fleet::EndpointEntry> entries_;
  std::unique_ptr<rehearsal::ListServer> list_;
  struct Router {
    std::unique_ptr<daemon::Server> server;
    std::thread thread;
    std::uint16_t port = 0;
  };
  std::deque<Router> routers_;
};

}  // namespace heronwell::e2e
