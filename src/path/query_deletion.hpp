// QueryDeletion sends the call that makes an engine of the platform delete a query (DELETE, src/calls).
//
// If the call were lost, the query would continue to run, and could still have an effect after its attempt
// was reported as ended. The call is therefore repeated, each time on a new connection, until one of these
// holds:
// - A response proves that the engine has received the call.
// - A refused connection proves that the process of the engine has exited.
// - The engine has dropped the query by itself, because it was not polled for long enough.
// Only then does the attempt end (query_deletions.hpp).
#pragma once

#include <memory>
#include <string>

#include "path/shard.hpp"

namespace heronwell::path {

class QueryDeletion final : public std::enable_shared_from_this<QueryDeletion>, public StreamObserver {
 public:
  // `result` is the result of the attempt once its query is deleted.
  QueryDeletion(Shard& shard, std::uint64_t number, AttemptPtr attempt, AttemptResult result);
  // Opens a connection for the call, now or as soon as the limit on connections for deletions permits.
  void dial();
  // Stops without deleting the query or ending the attempt. Used when the shard is destroyed.
  void abandon();
  // Returns whether it has a connection, established or being established.
  [[nodiscard]] bool dialled() const { return stream_ != nullptr; }

  void on_connected() override;
  void on_data(std::string_view bytes) override;
  void on_writable() override;
  void on_closed(bool broken) override;

 private:
  void on_timer();
  void finish();
  void close_stream(bool reset);

  Shard& shard_;
  std::uint64_t number_;
  AttemptPtr attempt_;
  AttemptResult result_;
  std::string write_buffer_;
  Time dropped_by_engine_at_{};  // by then the engine has dropped the query by itself
  StreamPtr stream_;
  TimerPtr timer_;
  bool connected_ = false, response_received_ = false, finished_ = false;
};

}  // namespace heronwell::path
