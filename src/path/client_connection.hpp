// ClientConnection serves one HTTP/1.1 client: it reads requests, which the client may pipeline, and writes
// the responses in the order of the requests.
//
// It continues to read while responses are pending, so that a disconnect is detected at once. It stops
// reading only while `listen.pipeline` requests are open.
//
// It guards against these failures:
// - A client does not read, and responses accumulate in memory. Above `listen.high_water` bytes, reading from
//   the engine is paused (backpressure). After `listen.stall_time` without progress, the connection is
//   closed.
// - A client sends an incomplete request or none. The connection is closed after `listen.header_time` or
//   `listen.idle_time`, respectively.
// - A streamed response fails midway. It must not look complete, so the connection is reset.
// - Many clients send large requests at once, or stop in the middle of them. Their bytes are counted for the whole
//   shard (buffer_limit.hpp), and incomplete requests are rejected above `listen.buffered`.
// - A client pipelines requests and does not read the responses to those that are answered at once. Above
//   `listen.high_water` bytes, no further request is read.
// - A client pipelines requests that are answered at once, as fast as it can. The others would wait until all bytes
//   that were read are answered. After kMaxTurnDuration the rest waits for the next turn of the event loop.
//
// All calls are made on the thread of the shard. The states are listed in ClientConnectionState
// (state_tables.hpp).
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
  // Resets the connection, so that a response that has begun does not look complete to the client. The other
  // requests of the connection are cancelled.
  void abort_response();
  void abort() override;
  [[nodiscard]] std::optional<UnreadInput> unread_input() const override;

  // Returns the number of bytes that are buffered for this response or must be written before it.
  [[nodiscard]] std::size_t backlog(const ClientRequestPtr& client_request) const;
  // Calls `callback` once, when fewer than half of `listen.high_water` bytes are left to write.
  void on_drained(std::function<void()> callback) { drained_callbacks_.push_back(std::move(callback)); }

  void close_expired(Time now) override;
  void begin_shutdown() override;
  [[nodiscard]] std::optional<IncompleteFrame> incomplete_frame() const override;
  void reject_incomplete_frame() override;
  [[nodiscard]] bool closed() const { return state_ == ClientConnectionState::closed; }
  [[nodiscard]] ClientConnectionState state() const { return state_; }

  void on_data(std::string_view bytes) override;
  void on_writable() override;
  void on_closed(bool broken) override;

 private:
  [[nodiscard]] bool pipeline_full() const;
  [[nodiscard]] bool responses_unread() const;  // so many that no further request is dispatched
  void begin_turn();
  void end_turn();
  void resume_reading();
  void resume_reading_later();
  std::size_t parse(std::string_view in);
  void dispatch();
  ClientRequestPtr add_last_request();
  void account_buffered();
  void reject(const ClientRequestPtr& client_request, const router::Problem& problem);
  void append_response(const ClientRequestPtr& client_request, std::string bytes);
  void release_next_responses();
  void write_buffered();
  void write_out();
  void consume_written(std::size_t bytes);
  void on_client_gone(bool unwritable);
  void drop_pending_requests();
  void notify_drained();
  void begin_linger();
  void close(ClientConnectionEvent event, bool reset = false);

  Shard& shard_;
  std::uint64_t number_;
  StreamPtr stream_;
  http::Parser parser_;
  std::string read_buffer_;                // input that is not parsed yet
  std::string request_body_;               // body of the request that is being read
  std::string client_address_;             // empty if no resource groups are configured
  std::deque<ClientRequestPtr> requests_;  // open requests, in the order of arrival
  std::deque<std::string> write_buffers_;
  // Bytes left to write in all buffers; bytes already written of the first buffer.
  std::size_t unwritten_bytes_ = 0, front_written_bytes_ = 0;
  std::vector<std::function<void()>> drained_callbacks_;
  std::uint64_t read_bytes_ = 0;  // of all input
  Time head_started_at_{}, last_active_at_{}, last_write_at_{};
  ClientConnectionState state_ = ClientConnectionState::reading;
  BufferedBytes input_bytes_, output_bytes_;
  Time turn_ends_at_{};     // until then this connection may dispatch requests in the current turn
  bool turn_over_ = false;  // the input that is left waits for the next turn
  bool parsing_ = false;    // parse() refers to the buffers
  bool awaiting_writable_ = false, reading_paused_ = false;
};

}  // namespace heronwell::path
