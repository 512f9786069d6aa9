// One client connection: reads requests, keeps their order, writes answers. A coroutine reads on while
// answers are awaited, so that a client that hangs up is noticed at once.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "daemon/shard.hpp"
#include "http/message.hpp"

namespace heronwell::daemon {

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(Shard& shard, Socket socket);
  ~ClientConnection();

  void start();
  // Final answers; each exchange gets exactly one of whole(), or begin() pieces end().
  void whole(const ExchangePtr& exchange, int status, std::string_view type, std::string body,
             const std::vector<http::Field>& more = {});
  void begin(const ExchangePtr& exchange);                    // 200, chunked JSON
  void piece(const ExchangePtr& exchange, std::string body);  // empty ones are passed over
  void end(const ExchangePtr& exchange);
  void
  break_off();  // what has begun must not look complete: the connection is reset, its other requests given up
  void abandon();  // the process ends

  // Bytes of the exchange's answer that wait to be written.
  [[nodiscard]] std::size_t backlog(const ExchangePtr& exchange) const;
  void on_drained(std::function<void()> then) { drained_.push_back(std::move(then)); }  // called once

  void sweep(Time now);  // closes what passed its time
  void stop();           // closes once nothing is owed
  [[nodiscard]] bool closed() const { return closed_; }

 private:
  asio::awaitable<void, Executor> read();
  std::size_t parse(std::string_view in);
  void dispatch();
  void reject(const ExchangePtr& exchange, const router::Problem& problem);
  void put(const ExchangePtr& exchange, std::string bytes);
  void advance();
  void pump();
  void wrote(std::size_t bytes);
  void hang_up(bool unwritable);
  void drain();
  void linger();
  void close(bool reset = false);

  Shard& shard_;
  Socket socket_;
  Timer resume_;  // wakes the reader once the pipeline has room
  http::Parser parser_;
  std::string body_, address_;  // address: of the client, where groups are on
  std::deque<ExchangePtr> exchanges_;
  std::deque<std::string> out_;
  std::size_t out_bytes_ = 0, out_done_ = 0;  // done: of the first buffer
  std::vector<std::function<void()>> drained_;
  Time head_since_{}, active_{}, progress_{};
  bool writing_ = false, closed_ = false, last_ = false, reading_done_ = false, lingering_ = false;
};

}  // namespace heronwell::daemon
