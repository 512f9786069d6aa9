// One connection to an engine. Its states, each change of which is in engine.cpp:
//
//   dialling -> idle -> busy -> idle ...        used again only after ReadyForQuery, and never after a cancel
//   busy -> cancelling -> closed                cancel request sent; closed after its end or a bounded wait
//   any -> closed
#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

#include "daemon/shard.hpp"
#include "sql/session.hpp"

namespace heronwell::daemon {

enum class Link { dialling, idle, busy, cancelling, closed };

class EngineConnection final : public std::enable_shared_from_this<EngineConnection>,
                               private sql::SessionEvents {
 public:
  EngineConnection(Shard& shard, EnginePool& pool);
  ~EngineConnection() override;

  void dial(AttemptPtr attempt);         // opens it for this attempt
  bool send(const AttemptPtr& attempt);  // idle only; false: it was found closed before a byte was written
  void stop(const AttemptPtr& attempt);  // cancels at the engine, or drops it while dialling
  void stream();                         // the attempt's answer may begin
  void close();
  [[nodiscard]] Time idle_since() const { return idle_since_; }
  [[nodiscard]] bool idle() const { return state_ == Link::idle; }

 private:
  asio::awaitable<void, Executor> run();
  asio::awaitable<void, Executor> request_cancel(std::uint32_t process, std::uint32_t secret);
  void dialled();
  void lost(const boost::system::error_code& error);
  void end(sql::Seen seen, std::string_view code = {});
  void write(std::string bytes);
  void flush();
  void limit(Time after);  // one timer: for the dial, then for the end after a cancel
  void forward();
  void pause_if_full();
  void too_long();
  void resume();

  void on_columns(const std::vector<sql::Column>& columns) override;
  void on_row(sql::RowReader row) override;
  void on_complete(std::string_view tag) override;
  void on_error(const sql::ErrorText& error) override;
  void on_notice(const sql::ErrorText& notice) override;
  void on_parameter(std::string_view name, std::string_view value) override;
  void on_statement_end() override;

  Shard& shard_;
  EngineId engine_;
  asio::ip::tcp::endpoint address_;
  Socket socket_;
  Timer timer_, resume_;
  sql::Session session_;
  Link state_ = Link::dialling;
  AttemptPtr attempt_;
  std::string out_;
  bool writing_ = false, paused_ = false, malformed_ = false;
  std::string error_code_;  // of the statement
  Time idle_since_{};
};

}  // namespace heronwell::daemon
