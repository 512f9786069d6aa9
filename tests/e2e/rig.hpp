// Stand-in engines, a list and a router in one process, and clients that speak through real sockets.
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

class Client {
 public:
  explicit Client(std::uint16_t port, int receive_buffer = 0) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    if (receive_buffer > 0)
      ::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    const int on = 1;
    ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::connect(socket_, reinterpret_cast<sockaddr*>(&to), sizeof to), 0);
  }
  ~Client() { hang_up(); }
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
  void post(const std::string& body, const std::string& more = "") {
    send(fmt::format("POST /v1/query HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n{}\r\n{}", body.size(),
                     more, body));
  }
  void hang_up() {
    if (socket_ >= 0) ::close(std::exchange(socket_, -1));
  }
  void reset() {
    const linger at_once{1, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    hang_up();
  }
  // Some bytes; empty: none came in time, or the end, which closed() tells.
  std::string some(std::chrono::milliseconds longest = 5s, std::size_t most = 65536) {
    pollfd one{socket_, POLLIN, 0};
    if (::poll(&one, 1, static_cast<int>(longest.count())) <= 0) return "";
    std::string bytes(most, '\0');
    const auto got = ::recv(socket_, bytes.data(), bytes.size(), 0);
    closed_ = got <= 0;
    bytes.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
    return bytes;
  }
  // Whether bytes have come, which stay to be read.
  [[nodiscard]] bool readable(std::chrono::milliseconds longest = 5s) const {
    pollfd one{socket_, POLLIN, 0};
    return ::poll(&one, 1, static_cast<int>(longest.count())) > 0;
  }
  struct Answer {
    int status = 0;  // 0: none, the connection ended or time passed
    std::string body;
    bool whole = false;
    std::optional<std::string> retry_after;
  };
  Answer answer(std::chrono::milliseconds longest = 10s) {
    Answer answer;
    const auto until = std::chrono::steady_clock::now() + longest;
    while (!answer.whole) {
      const auto step = parser_.next(rest_);
      answer.body += step.body;
      rest_.erase(0, step.consumed);
      if (step.event == http::Parser::Event::head) {
        answer.status = parser_.status();
        if (const auto field = parser_.find("retry-after")) answer.retry_after = std::string(*field);
      }
      if (step.event == http::Parser::Event::error) return answer;
      if (step.event == http::Parser::Event::end) answer.whole = answer.status >= 200;
      if (step.event != http::Parser::Event::need_more) continue;
      const auto left =
          std::chrono::duration_cast<std::chrono::milliseconds>(until - std::chrono::steady_clock::now());
      const auto bytes = some(std::max(left, 0ms));
      if (bytes.empty()) return answer;
      rest_ += bytes;
    }
    return answer;
  }
  [[nodiscard]] bool closed() const { return closed_; }

 private:
  int socket_ = -1;
  bool closed_ = false;
  http::Parser parser_{http::Role::response, {8 << 10, 32 << 10, 100, 1ULL << 32}};
  std::string rest_;
};

class Rig {
 public:
  struct Options {
    unsigned engines = 2;
    std::string settings;  // YAML, in addition
    rehearsal::Traits traits;
    unsigned threads = 1;
    Time progress{};
    unsigned of = 1;              // gateways
    std::string classes;          // YAML, in addition
    std::string engine_settings;  // YAML, within engines: {...}
    // With several gateways in this process (`of` of them): what each has in addition.
    std::function<std::string(unsigned)> settings_of;
  };
  explicit Rig(Options options) : options_(std::move(options)) {
    spdlog::set_level(spdlog::level::off);
    folder_ = std::filesystem::temp_directory_path() / fmt::format("heronwell-{}-{}", ::getpid(), ++rigs_);
    std::filesystem::create_directories(folder_);
    guard_.emplace(boost::asio::make_work_guard(context_));
    thread_ = std::thread([this] { context_.run(); });
    list_recorder_ = std::make_unique<rehearsal::Recorder>(folder_ / "list.jsonl", "list", "list");
    on_engines([&] {
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
    for (unsigned n = 0; n < (options_.settings_of ? options_.of : 1); ++n) start_router(n);
  }
  Rig(const Rig&) = delete;
  Rig& operator=(const Rig&) = delete;
  ~Rig() {
    for (unsigned n = 0; n < routers_.size(); ++n) stop_router(n);
    on_engines([&] {
      engines_.clear();
      list_.reset();
    });
    guard_.reset();
    context_.stop();
    thread_.join();
    std::filesystem::remove_all(folder_);
  }

  // On the engines' thread.
  void on_engines(const std::function<void()>& what) {
    std::promise<void> done;
    boost::asio::post(context_, [&] {
      what();
      done.set_value();
    });
    done.get_future().wait();
  }
  void fault(unsigned engine, const std::string& line) {
    on_engines([&] { EXPECT_EQ(engines_[engine]->command(line), ""); });
  }
  void kill(unsigned engine) {
    on_engines([&] { engines_[engine]->kill(); });
  }
  void state(unsigned engine, EndpointState state) {
    on_engines([&] {
      entries_[engine].state = state;
      list_->set(entries_);
    });
  }
  // How often an engine's record tells an event of a request; engine -1: on all.
  [[nodiscard]] unsigned seen(const std::string& event, const std::string& id, int engine = -1) const {
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
  [[nodiscard]] std::string records(unsigned engine) const {
    std::ifstream file(folder_ / fmt::format("engine-{}.jsonl", engine));
    return {std::istreambuf_iterator<char>(file), {}};
  }
  // The engine on which a request began; asked before anything is done to it, as it may soon be on another.
  [[nodiscard]] unsigned where(const std::string& id) const { return seen("began", id, 0) > 0 ? 0 : 1; }
  // Waits until it was seen so often.
  [[nodiscard]] bool comes(const std::string& event, const std::string& id, unsigned times = 1,
                           std::chrono::milliseconds longest = 3s) const {
    const auto until = std::chrono::steady_clock::now() + longest;
    while (seen(event, id) < times) {
      if (std::chrono::steady_clock::now() > until) return false;
      std::this_thread::sleep_for(5ms);
    }
    return true;
  }
  [[nodiscard]] Client client(int receive_buffer = 0) const { return Client(port(), receive_buffer); }
  [[nodiscard]] double metric(const std::string& name) const {
    auto c = client();
    c.send("GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n");
    const auto text = "\n" + c.answer().body;
    const auto at = text.find("\n" + name + " ");
    return at == std::string::npos ? -1 : std::stod(text.substr(at + name.size() + 2));
  }
  [[nodiscard]] bool becomes(const std::string& name, double value,
                             std::chrono::milliseconds longest = 3s) const {
    const auto until = std::chrono::steady_clock::now() + longest;
    while (metric(name) != value) {
      if (std::chrono::steady_clock::now() > until) return false;
      std::this_thread::sleep_for(10ms);
    }
    return true;
  }
  std::vector<fleet::EndpointEntry>& entries() { return entries_; }
  rehearsal::ListServer& list() { return *list_; }
  [[nodiscard]] std::uint16_t port(unsigned router = 0) const { return routers_[router].port; }

  static std::string body(const std::string& cls, const std::string& id,
                          const std::string& cost = "work_ms=0", const std::string& more = "") {
    return fmt::format(R"({{"statement":"select x /*hw id={} {}*/","class":"{}"{}}})", id, cost, cls, more);
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
        number == 0 ? "" : std::to_string(number), options_.threads, options_.of, number, list_->port(),
        options_.classes, yaml::duration_text(options_.progress), options_.engine_settings,
        options_.settings + (options_.settings_of ? options_.settings_of(number) : ""));
    try {
      router.server = std::make_unique<daemon::Server>(config::read_config(yaml::Section::text(yaml, "rig")));
    } catch (const yaml::Error& error) {
      FAIL() << error.what();
    }
    router.port = router.server->port();
    auto ready = std::make_shared<std::promise<void>>();
    router.serving = std::thread(
        [server = router.server.get(), ready] { server->run([ready] { ready->set_value(); }, 200ms); });
    ASSERT_EQ(ready->get_future().wait_for(5s), std::future_status::ready);
  }
  void stop_router(unsigned number = 0) {
    auto& router = routers_[number];
    if (!router.server) return;
    router.server->stop(200ms);
    router.serving.join();
    router.server.reset();
  }
  void start_engine(unsigned i, bool warm) {
    rehearsal::EngineOptions options;
    options.name = fmt::format("engine-{}", i);
    options.port = entries_[i].port;
    options.traits = options_.traits;
    options.warm = warm;
    options.seed = i + 1;
    options.progress_interval = options_.progress;
    engines_[i].reset();
    engines_[i] = std::make_unique<rehearsal::Engine>(context_, options, *recorders_[i]);
    entries_[i] = {options.name, "127.0.0.1", engines_[i]->port(), "", "small"};
  }

 private:
  inline static unsigned rigs_ = 0;
  Options options_;
  std::filesystem::path folder_;
  boost::asio::io_context context_{1};
  std::optional<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> guard_;
  std::thread thread_;
  std::unique_ptr<rehearsal::Recorder> list_recorder_;
  std::vector<std::unique_ptr<rehearsal::Recorder>> recorders_;
  std::vector<std::unique_ptr<rehearsal::Engine>> engines_;
  std::vector<fleet::EndpointEntry> entries_;
  std::unique_ptr<rehearsal::ListServer> list_;
  struct Router {
    std::unique_ptr<daemon::Server> server;
    std::thread serving;
    std::uint16_t port = 0;
  };
  std::deque<Router> routers_;
};

}  // namespace heronwell::e2e
