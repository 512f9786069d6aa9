// QueryCallConnection is one connection to an engine of the platform. It uses HTTP/1.1 and carries one call
// at a time (src/calls).
//
// An attempt starts its query with one call, polls the status until the query is complete, and then fetches
// each page of the result with one call, and the last page with two (src/calls/paged_result.hpp). A query does
// not depend on a connection: if the connection is lost, the attempt polls the query on another one. The call
// that starts a query is sent at most once.
//
// A call may be written in part while the engine's side accepts no more bytes. What happens then:
//
//   seen before the call is written          connection     attempt
//   1xx                                      kept           goes on
//   503 or 504 with X-No-Effect, to a start  reset          ends as that response says: it never ran
//   any other response, or a malformed one   reset          polls on another connection: it may have run
//   reset, close, timeout                    closed, reset  polls on another connection
//   the client leaves, the deadline passes   reset          ends: an incomplete start never runs
//   the attempt is cancelled                 reset          ends once the query is deleted
//
// All calls are made on the thread of the shard. The states are listed in EngineConnectionState
// (state_tables.hpp).
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "http/message.hpp"
#include "path/shard.hpp"

namespace heronwell::path {

class QueryCallConnection final : public std::enable_shared_from_this<QueryCallConnection>,
                                  public EngineProtocol,
                                  public StreamObserver {
 public:
  QueryCallConnection(Shard& shard, const EnginePool& pool, std::uint64_t number);
  ~QueryCallConnection() override;

  void connect(AttemptPtr attempt) override;
  bool start(const AttemptPtr& attempt) override;
  void cancel(const AttemptPtr& attempt) override;
  void begin_stream() override {}  // results are small and are delivered only when they are complete
  void close_unused() override;
  [[nodiscard]] Time idle_since() const override { return idle_since_; }
  [[nodiscard]] Time reusable_at() const override;

  void on_connected() override;
  void on_data(std::string_view bytes) override;
  void on_writable() override;
  void on_closed(bool broken) override;

 private:
  // Why a connection failed. broken: it was lost or received invalid data. timed_out: no response in time.
  // connection_refused: no process listens at the engine's address. no_descriptor: no local descriptor or
  // port was available.
  enum class Failure : std::uint8_t { broken, timed_out, connection_refused, no_descriptor };

  bool send_next_call();  // for the attempt; returns false if no byte could be written
  void put_next_call(bool starts);
  bool flush();
  void parse();
  void on_response();
  void on_early_response();
  void on_health_check_response();
  void on_status();
  void on_page();
  void on_page_added();
  void on_last_page_again();
  [[nodiscard]] std::optional<unsigned> page_count_with_last_page() const;
  void continue_polling();
  void finish(AttemptResult result);
  void fail(Failure failure);
  void fail_before_start(const AttemptPtr& attempt, Failure failure, bool connecting);
  void fail_after_start(const AttemptPtr& attempt, Failure failure);
  void close(EngineConnectionEvent event);
  void on_timeout();
  [[nodiscard]] bool call_in_flight() const {
    return state_ == EngineConnectionState::busy || state_ == EngineConnectionState::sending;
  }
  void account_buffered();
  void set_timeout(Time duration) { timer_->set(shard_.now() + duration); }

  Shard& shard_;
  EngineId engine_;
  std::uint64_t number_;
  config::Address address_;
  StreamPtr stream_;
  TimerPtr timer_;
  http::Parser parser_;
  EngineConnectionState state_ = EngineConnectionState::connecting;
  AttemptPtr attempt_;
  std::string read_buffer_, write_buffer_;  // input not parsed yet; output not written yet
  std::string response_body_;
  BufferedBytes input_bytes_, output_bytes_;
  unsigned interim_responses_ = 0;  // responses of status 1xx to the current call
  bool awaiting_writable_ = false;
  bool opened_to_start_ = false;    // opened to start an attempt, not to poll
  bool response_received_ = false;  // at least one since it was opened
  bool start_incomplete_ = false;   // a call that starts a query is partially written
  // The last page was received on this connection, and no head of a further response yet. Only the head shows
  // that no rest of the page is still to come.
  bool last_page_unconfirmed_ = false;
  Time idle_since_{};
};

}  // namespace heronwell::path
