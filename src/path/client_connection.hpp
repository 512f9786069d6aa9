// One client connection by HTTP/1.1: reads requests, keeps their order (pipelining), writes responses.
//
// It reads on while responses are pending, so that a client that disconnects is noticed at once; only while
// `listen.pipeline` requests are open does it stop reading.
//
// Failures guarded against:
// - A client that reads nothing: responses pile up here. Above `listen.high_water` bytes the engine's
//   connection is paused, and after `listen.stall_time` without progress the client is closed.
// - A client that sends half a request, or none: it is closed after `listen.header_time` or
//   `listen.idle_time`.
// - A streamed response that breaks off: it must not look complete, so the connection is reset.
//
// Its states are ClientConnectionState (state_tables.hpp).
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "http/message.hpp"
#include "path/protocols.hpp"
#include "path/shard.hpp"

namespace heronwell::path {

class ClientConnection final : public std::enable_shared_from_this<ClientConnection>,
                               public ClientProtocol,
                               public StreamObserver {
 public:
  ClientConnection(Shard& shard, std::uint64_t number, StreamPtr stream, std::string address);
  ~ClientConnection() override;

  void start() override;
  // Each request gets exactly one send_response(), or one begin_response(), any number of send_chunk() and
  // one end_response().
  void send_response(const ClientRequestPtr& client_request, int status, std::string_view type,
                     std::string body, const std::vector<http::Field>& more = {});
  void begin_response(const ClientRequestPtr& client_request);                // status 200, chunked JSON
  void send_chunk(const ClientRequestPtr& client_request, std::string body);  // an empty one is skipped
  void end_response(const ClientRequestPtr& client_request);
  // A response that has begun must not look complete: the connection is reset, and its other requests are
  // cancelled.
  void abort_response();
  void abort() override;

  // Bytes that are still to be written before, and of, the response of this request.
  [[nodiscard]] std::size_t backlog(const ClientRequestPtr& client_request) const;
  // Calls `callback` once, when little or nothing waits to be written any more.
  void on_drained(std::function<void()> callback) { drained_callbacks_.push_back(std::move(callback)); }

  void close_expired(Time now) override;
  void begin_shutdown() override;
  [[nodiscard]] bool closed() const { return state_ == ClientConnectionState::closed; }
  [[nodiscard]] ClientConnectionState state() const { return state_; }

  void on_data(std::string_view bytes) override;
  void on_writable() override;
  void on_closed(bool broken) override;

 private:
  [[nodiscard]] bool pipeline_full() const;
  void resume_reading();
  std::size_t parse(std::string_view in);
  void dispatch();
  void reject(const ClientRequestPtr& client_request, const router::Problem& problem);
  void append_response(const ClientRequestPtr& client_request, std::string bytes);
  void release_next_responses();
  void write_buffered();
  void consume_written(std::size_t bytes);
  void on_client_gone(bool unwritable);
  void drop_pending_requests();
  void notify_drained();
  void begin_linger();
  void close(ClientConnectionEvent why, bool reset = false);

  Shard& shard_;
  std::uint64_t number_;
  StreamPtr stream_;
  http::Parser parser_;
  std::string read_buffer_;                // not yet parsed
  std::string request_body_;               // of the request that is being read
  std::string client_address_;             // of the client; empty without groups
  std::deque<ClientRequestPtr> requests_;  // open ones, in the order in which they came
  std::deque<std::string> write_buffers_;
  std::size_t unwritten_bytes_ = 0, front_written_bytes_ = 0;  // written: of the first buffer
  std::vector<std::function<void()>> drained_callbacks_;
  Time head_started_at_{}, last_active_at_{}, last_write_at_{};
  ClientConnectionState state_ = ClientConnectionState::reading;
  bool awaiting_writable_ = false, reading_paused_ = false;  // paused: the pipeline is full
};

}  // namespace heronwell::path
