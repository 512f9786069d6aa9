// EngineConnection is one connection to a SQL engine. It uses the PostgreSQL protocol and runs one statement
// at a time.
//
// It is reused only after ReadyForQuery, and never after a cancel request. Otherwise a statement could
// receive leftover rows of the previous statement, or be cancelled by a cancel request that was meant for the
// previous statement and arrives late.
//
// All calls are made on the thread of the shard. The states are listed in EngineConnectionState
// (state_tables.hpp).
#pragma once

#include <memory>
#include <string>

#include "path/protocols.hpp"
#include "path/shard.hpp"
#include "sql/session.hpp"

namespace heronwell::path {

class EngineConnection final : public std::enable_shared_from_this<EngineConnection>,
                               public EngineProtocol,
                               public StreamObserver,
                               private sql::SessionEvents {
 public:
  EngineConnection(Shard& shard, const EnginePool& pool, std::uint64_t number);
  ~EngineConnection() override;

  void connect(AttemptPtr attempt) override;
  bool start(const AttemptPtr& attempt) override;
  void cancel(const AttemptPtr& attempt) override;
  void begin_stream() override;
  void close_unused() override;
  [[nodiscard]] Time idle_since() const override { return idle_since_; }
  [[nodiscard]] EngineConnectionState state() const { return state_; }

  void on_connected() override;
  void on_data(std::string_view bytes) override;
  void on_writable() override;
  void on_closed(bool broken) override;

 private:
  void parse();
  void on_startup_complete();
  void fail();
  void end_attempt(sql::StatementResult result, std::string_view code = {});
  bool flush();  // returns false if the connection can't be written to any more
  // One timer is used for connecting and start-up, and later for the end of a cancelled statement.
  void set_timeout(Time duration);
  void forward_rows();
  void pause_reading();
  void pause_if_buffer_full();
  void reject_oversized_response();
  void resume_reading();
  void close(EngineConnectionEvent event);

  void on_columns(const std::vector<sql::Column>& columns) override;
  void on_row(sql::RowReader row) override;
  void on_complete(std::string_view tag) override;
  void on_error(const sql::ErrorText& error) override;
  void on_notice(const sql::ErrorText& notice) override;
  void on_parameter(std::string_view name, std::string_view value) override;
  void on_statement_end() override;

  Shard& shard_;
  EngineId engine_;
  std::uint64_t number_;
  config::Address address_;
  StreamPtr stream_;
  TimerPtr timer_;
  sql::Session session_;
  EngineConnectionState state_ = EngineConnectionState::connecting;
  AttemptPtr attempt_;
  std::string read_buffer_, write_buffer_;  // input not parsed yet; output not written yet
  bool awaiting_writable_ = false, reading_paused_ = false, malformed_row_ = false;
  std::string error_code_;  // SQLSTATE of the error that the engine reported; empty if none
  Time idle_since_{};
};

}  // namespace heronwell::path
