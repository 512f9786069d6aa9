#include "path/query_deletion.hpp"

#include <algorithm>
#include <utility>

#include "calls/calls.hpp"
#include "path/host_header.hpp"

namespace heronwell::path {
namespace {

using namespace std::chrono_literals;

// Time after the last poll by which an engine has dropped a query without being asked. The platform's engines
// drop a query after 2 s without a poll; 50 ms are added for the network delay of the last poll.
constexpr Time kUnpolledQueryLifetime = 2050ms;
// Delay before a deletion is sent again if its connection could not be opened or was closed without a
// response. Several retries fit into kUnpolledQueryLifetime, so the loss of a packet blocks a request id only
// briefly.
constexpr Time kRetryInterval = 100ms;
// Delay before a deletion tries again if all connections for deletions are in use. It is shorter than
// kRetryInterval, because a deletion on a healthy engine takes a few milliseconds.
constexpr Time kConnectionWait = 20ms;

}  // namespace

QueryDeletion::QueryDeletion(Shard& shard, std::uint64_t number, AttemptPtr attempt, AttemptResult result)
    : shard_(shard),
      number_(number),
      attempt_(std::move(attempt)),
      result_(result),
      dropped_by_engine_at_(attempt_->last_polled_at + kUnpolledQueryLifetime) {
  timer_ = shard_.environment().create_timer([this] { on_timer(); });
}

void QueryDeletion::dial() {
  if (!shard_.can_open_deletion())
    return timer_->set(std::min(dropped_by_engine_at_, shard_.now() + kConnectionWait));
  connected_ = false;
  write_buffer_.clear();
  calls::put_delete(write_buffer_, host_header(attempt_->address), attempt_->request->client_request_id);
  timer_->set(std::min(dropped_by_engine_at_, shard_.now() + shard_.config().engines.dial_timeout));
  stream_ = shard_.environment().dial(attempt_->address);
  stream_->attach(weak_from_this());
  shard_.metrics().cancels->Increment();
}

void QueryDeletion::on_connected() {
  connected_ = true;
  stream_->set_reading(true);
  on_writable();
}

void QueryDeletion::on_writable() {
  bool awaiting_writable = false;
  if (!flush(*stream_, write_buffer_, awaiting_writable)) on_closed(true);
}

// Any response proves that the engine has received the complete call.
void QueryDeletion::on_data(std::string_view) {
  response_received_ = true;
  finish();
}

void QueryDeletion::on_closed(bool) {
  if (finished_) return;
  // The process that ran the query has exited, so the query does not run any more.
  if (!connected_ && stream_->dial_failure() == DialFailure::refused) return finish();
  close_stream(false);
  timer_->set(std::min(dropped_by_engine_at_, shard_.now() + kRetryInterval));
}

void QueryDeletion::close_stream(bool reset) {
  if (!stream_) return;
  stream_->close(reset);
  stream_ = nullptr;
}

void QueryDeletion::on_timer() {
  const auto self = shared_from_this();
  if (shard_.now() >= dropped_by_engine_at_) return finish();
  if (stream_ && connected_) return timer_->set(dropped_by_engine_at_);  // the engine may still respond
  close_stream(true);
  dial();
}

void QueryDeletion::finish() {
  if (std::exchange(finished_, true)) return;
  const auto self = shared_from_this();
  // A connection whose call has no response is reset, which discards data that is not delivered yet.
  // Otherwise the call could remain in the buffers of the operating system, arrive late, and delete a new
  // query of the same id.
  close_stream(!response_received_);
  timer_->cancel();
  shard_.query_deleted(number_, attempt_, result_);
}

void QueryDeletion::abandon() {
  finished_ = true;
  close_stream(true);
  timer_->cancel();
}

}  // namespace heronwell::path
