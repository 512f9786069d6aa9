// FrameClientConnection serves one client of the platform's frame protocol (src/frames). A client may have up
// to 32 requests open; responses are sent in any order.
//
// It guards against these failures:
// - A client sends a frame very slowly or never completes it. The connection is closed when a frame takes
//   longer than `frame_time`, or when nothing is received for `listen.header_time`.
// - A client sends requests and does not read. The shard counts the bytes buffered here towards the limit for
//   all clients (buffer_limit.hpp), and the connection is closed after `listen.stall_time` without progress.
// - Clients fill the buffers with incomplete frames. The request of an incomplete frame is rejected by itself;
//   the connection stays open, and its other requests are answered.
// - A client reuses a request id that is open, or whose request may have run and must not run twice. The
//   request is rejected, or failed where a rejection would wrongly imply that a retry is safe.
//
// All calls are made on the thread of the shard. The states are listed in ClientConnectionState
// (state_tables.hpp).
#pragma once

#include <map>
#include <memory>
#include <string>

#include "frames/frames.hpp"
#include "path/shard.hpp"

namespace heronwell::path {

class FrameClientConnection final : public std::enable_shared_from_this<FrameClientConnection>,
                                    public ClientProtocol,
                                    public StreamObserver,
                                    public ResponseHandler {
 public:
  FrameClientConnection(Shard& shard, std::uint64_t number, StreamPtr stream);
  ~FrameClientConnection() override;

  void start() override;
  void close_expired(Time now) override;
  void begin_shutdown() override { begin_graceful_close(); }
  [[nodiscard]] std::optional<IdleState> idle_state() const override;
  void close_when_idle() override;
  [[nodiscard]] std::optional<IncompleteFrame> incomplete_frame() const override;
  void reject_incomplete_frame() override;
  void abort() override;
  [[nodiscard]] std::optional<UnreadInput> unread_input() const override;

  void on_data(std::string_view bytes) override;
  void on_writable() override;
  void on_closed(bool broken) override;

  void on_served(const ClientRequestPtr& client_request, AttemptResponse response) override;
  void on_failed(const ClientRequestPtr& client_request, const router::Problem& problem) override;
  void on_client_disconnected() override {}

 private:
  struct OpenedRequest {
    ClientRequestPtr client_request;
    router::RequestSpec spec;
  };

  [[nodiscard]] bool closed() const { return state_ == ClientConnectionState::closed; }
  [[nodiscard]] bool receiving_frame() const {
    return !read_buffer_.empty() || rejected_frame_bytes_left_ > 0;
  }
  void discard(std::size_t bytes);
  std::size_t skip_rejected_frame(std::size_t available);
  void reject_incomplete_request(const frames::IncompleteFrame& incomplete);
  std::size_t parse(std::string_view in);
  void dispatch(const frames::Frame& frame);
  void on_request(const frames::Frame& frame);
  [[nodiscard]] bool take_stream(std::uint32_t stream);
  [[nodiscard]] std::optional<OpenedRequest> open_request(const frames::Frame& frame,
                                                          std::string_view statement);
  void reject(std::uint32_t stream, std::string_view reason,
              frames::ResponseCode code = frames::ResponseCode::rejected);
  void close_with_error(std::string_view reason);
  void begin_graceful_close();
  // Sends the go-away frame if the connection is closing and no request is open any more.
  void finish_graceful_close();
  void respond(const ClientRequestPtr& client_request, frames::ResponseCode code,
               const std::vector<frames::Field>& fields, std::string_view body);
  void drop_open_requests();
  void write_buffered();
  void write_out();
  void account_buffered();
  void close(ClientConnectionEvent event, bool reset = false);

  Shard& shard_;
  std::uint64_t number_;
  StreamPtr stream_;
  std::string read_buffer_, write_buffer_;                   // input not parsed yet; output not written yet
  std::map<std::uint32_t, ClientRequestPtr> open_requests_;  // by stream
  BufferedBytes input_bytes_, output_bytes_;                 // of the two buffers
  std::uint64_t read_bytes_ = 0;                             // of all input
  std::uint32_t last_stream_ = 0;
  unsigned rejected_requests_ = 0;             // limited by kMaxRejectedRequests
  std::size_t discarded_bytes_ = 0;            // input received since nothing is owed any more
  std::size_t rejected_frame_bytes_left_ = 0;  // of a frame that was rejected while it was incomplete
  bool complete_frame_received_ = false;       // other than a cancel frame
  Time connected_at_{}, last_active_at_{}, last_write_at_{};
  Time frame_started_at_{};  // arrival of the first bytes of the incomplete frame
  ClientConnectionState state_ = ClientConnectionState::reading;
  bool awaiting_writable_ = false;
  bool parsing_ = false;  // parse() refers to the read buffer
};

}  // namespace heronwell::path
