// LoadGenerator is the client of the benchmarks. It sends one request at a time on each of its connections,
// either as fast as responses arrive or at a constant rate. It is not thread-safe and blocks while it runs.
#pragma once

#include <fmt/format.h>
#include <pthread.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "sql/protocol.hpp"

namespace heronwell::benchmarks {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
constexpr unsigned kConnections = 64;

// A connection with at most one request in flight. A response is complete when it has the fixed number of
// bytes that was measured at the start.
struct Connection {
  explicit Connection(asio::io_context& context) : socket(context) {}
  asio::ip::tcp::socket socket;
  std::array<char, 4096> bytes{};
  std::size_t received = 0;
  Clock::time_point due;
};

class LoadGenerator {
 public:
  LoadGenerator(std::vector<std::uint16_t> ports, bool sql, std::string request)
      : request_(std::move(request)) {
    for (unsigned i = 0; i < kConnections; ++i) {
      connections_.push_back(std::make_unique<Connection>(context_));
      auto& socket = connections_.back()->socket;
      socket.connect({asio::ip::make_address("127.0.0.1"), ports[i % ports.size()]});
      socket.set_option(asio::ip::tcp::no_delay(true));
      if (sql) start_sql_session(socket);
    }
    response_bytes_ = measure_response_bytes(connections_[0]->socket);
  }

  // Sends as many requests as possible for `length`. Returns the responses per second.
  double run_at_capacity(Clock::duration length) {
    end_ = Clock::now() + length;
    is_paced_ = false;
    completed_ = 0;
    for (auto& connection : connections_) send_request(*connection, Clock::now());
    context_.restart();
    context_.run();
    return static_cast<double>(completed_) / std::chrono::duration<double>(length).count();
  }
  // Sends requests at a constant rate for `length`. Returns the latencies in ns, in ascending order, measured
  // from the time at which each request was due.
  std::vector<std::int64_t> run_at_rate(double requests_per_second, Clock::duration length) {
    latencies_.clear();
    latencies_.reserve(
        static_cast<std::size_t>(requests_per_second * std::chrono::duration<double>(length).count() * 1.1));
    begin_ = Clock::now() + 10ms;
    end_ = begin_ + length;
    interval_ = std::chrono::duration<double>(1 / requests_per_second);
    sent_ = completed_ = 0;
    is_paced_ = true;
    idle_connections_.clear();
    for (auto& connection : connections_) idle_connections_.push_back(connection.get());
    asio::steady_timer timer(context_);
    send_due_requests(timer);
    context_.restart();
    context_.run();
    std::ranges::sort(latencies_);
    return latencies_;
  }
  [[nodiscard]] std::uint64_t completed() const { return completed_; }

 private:
  static void start_sql_session(asio::ip::tcp::socket& socket) {
    std::string startup;
    sql::put_startup(startup, {{"user", "bench"}});
    asio::write(socket, asio::buffer(startup));
    std::string in;
    std::array<char, 4096> chunk{};
    while (true) {
      in.append(chunk.data(), socket.read_some(asio::buffer(chunk)));
      if (in.size() > 6 && in.substr(in.size() - 6, 1) == "Z") return;
    }
  }
  std::size_t measure_response_bytes(asio::ip::tcp::socket& socket) {
    asio::write(socket, asio::buffer(request_));
    std::array<char, 8192> chunk{};
    std::size_t received = socket.read_some(asio::buffer(chunk));
    std::this_thread::sleep_for(50ms);
    while (socket.available() > 0) received += socket.read_some(asio::buffer(chunk));
    return received;
  }
  void send_due_requests(asio::steady_timer& timer) {
    const auto now = Clock::now();
    while (true) {
      const auto due =
          begin_ + std::chrono::duration_cast<Clock::duration>(interval_ * static_cast<double>(sent_));
      if (due >= end_) return;
      if (due > now) break;
      ++sent_;
      if (idle_connections_.empty()) {
        waiting_due_times_.push_back(due);
        continue;
      }
      auto* connection = idle_connections_.back();
      idle_connections_.pop_back();
      send_request(*connection, due);
    }
    timer.expires_at(std::max(now + 50us, begin_ + std::chrono::duration_cast<Clock::duration>(
                                                       interval_ * static_cast<double>(sent_))));
    timer.async_wait([this, &timer](boost::system::error_code) { send_due_requests(timer); });
  }
  void send_request(Connection& connection, Clock::time_point due) {
    connection.due = due;
    connection.received = 0;
    asio::write(connection.socket, asio::buffer(request_));
    receive(connection);
  }
  void receive(Connection& connection) {
    connection.socket.async_read_some(
        asio::buffer(connection.bytes),
        [this, &connection](boost::system::error_code error, std::size_t received) {
          if (error) throw boost::system::system_error(error);
          connection.received += received;
          if (connection.received < response_bytes_) return receive(connection);
          ++completed_;
          const auto now = Clock::now();
          if (is_paced_) {
            latencies_.push_back((now - connection.due).count());
            if (waiting_due_times_.empty()) return idle_connections_.push_back(&connection);
            const auto due = waiting_due_times_.front();
            waiting_due_times_.pop_front();
            return send_request(connection, due);
          }
          if (now < end_) send_request(connection, now);
        });
  }

  asio::io_context context_{1};
  bool is_paced_ = false;
  std::string request_;
  std::size_t response_bytes_ = 0;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::vector<Connection*> idle_connections_;
  std::deque<Clock::time_point> waiting_due_times_;
  std::vector<std::int64_t> latencies_;
  Clock::time_point begin_, end_;
  std::chrono::duration<double> interval_{};
  std::uint64_t sent_ = 0, completed_ = 0;
};

inline double quantile_us(const std::vector<std::int64_t>& sorted, double quantile) {
  return sorted.empty()
             ? 0
             : static_cast<double>(
                   sorted[static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1))]) /
                   1e3;
}

inline double thread_cpu_seconds(pthread_t thread) {
  clockid_t clock{};
  pthread_getcpuclockid(thread, &clock);
  timespec time{};
  clock_gettime(clock, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

inline std::uint16_t parse_port(const std::string& line) {
  return static_cast<std::uint16_t>(std::stoul(line.substr(line.rfind(':') + 1)));
}

}  // namespace heronwell::benchmarks
