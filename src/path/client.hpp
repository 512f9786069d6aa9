// One client connection: reads requests, keeps their order, writes answers. It reads on while answers are
// awaited, so that a client that hangs up is noticed at once. Its states are Door's (path/states.hpp).
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "http/message.hpp"
#include "path/shard.hpp"
#include "path/sides.hpp"

namespace heronwell::path {

class ClientConnection final : public std::enable_shared_from_this<ClientConnection>,
                               public ClientSide,
                               public WireUser {
 public:
  ClientConnection(Shard& shard, std::uint64_t number, WirePtr wire, std::string address);
  ~ClientConnection() override;

  void start() override;
  // Final answers; each exchange gets exactly one of whole(), or begin() pieces end().
  void whole(const ExchangePtr& exchange, int status, std::string_view type, std::string body,
             const std::vector<http::Field>& more = {});
  void begin(const ExchangePtr& exchange);                    // 200, chunked JSON
  void piece(const ExchangePtr& exchange, std::string body);  // empty ones are passed over
  void end(const ExchangePtr& exchange);
  // What has begun must not look complete: the connection is reset, its other requests given up.
  void break_off();
  void abandon() override;

  // Bytes of the exchange's answer that wait to be written.
  [[nodiscard]] std::size_t backlog(const ExchangePtr& exchange) const;
  void on_drained(std::function<void()> then) { drained_.push_back(std::move(then)); }  // called once

  void sweep(Time now) override;
  void stop() override;
  [[nodiscard]] bool closed() const { return state_ == Door::closed; }
  [[nodiscard]] Door state() const { return state_; }

  void received(std::string_view bytes) override;
  void writable() override;
  void over(bool broken) override;

 private:
  [[nodiscard]] bool full() const;
  void read_on();
  std::size_t parse(std::string_view in);
  void dispatch();
  void reject(const ExchangePtr& exchange, const router::Problem& problem);
  void put(const ExchangePtr& exchange, std::string bytes);
  void advance();
  void pump();
  void wrote(std::size_t bytes);
  void hang_up(bool unwritable);
  void give_up_owed();
  void drain();
  void linger();
  void close(DoorEvent why, bool reset = false);

  Shard& shard_;
  std::uint64_t number_;
  WirePtr wire_;
  http::Parser parser_;
  std::string in_, body_, address_;  // in: not yet parsed; address: of the client, where groups are on
  std::deque<ExchangePtr> exchanges_;
  std::deque<std::string> out_;
  std::size_t out_bytes_ = 0, out_done_ = 0;  // done: of the first buffer
  std::vector<std::function<void()>> drained_;
  Time head_since_{}, active_{}, progress_{};
  Door state_ = Door::reading;
  bool awaiting_room_ = false, held_ = false;  // held: the pipeline is full, nothing is read
};

}  // namespace heronwell::path
