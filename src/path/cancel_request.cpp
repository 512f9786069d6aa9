#include "path/cancel_request.hpp"

#include "sql/protocol.hpp"

namespace heronwell::path {

CancelRequest::CancelRequest(Shard& shard, std::uint64_t number, std::uint32_t process, std::uint32_t secret)
    : shard_(shard), number_(number) {
  sql::put_cancel(write_buffer_, process, secret);
}

void CancelRequest::dial(const config::Address& address) {
  timer_ = shard_.environment().create_timer([this] { close(); });
  timer_->set(shard_.now() + shard_.config().engines.dial_timeout);
  stream_ = shard_.environment().dial(address);
  stream_->attach(weak_from_this());
}

void CancelRequest::on_connected() {
  stream_->set_reading(true);
  on_writable();
}

void CancelRequest::on_writable() {
  bool awaiting_writable = false;
  if (!flush(*stream_, write_buffer_, awaiting_writable)) close();
}

void CancelRequest::on_data(std::string_view) { close(); }
void CancelRequest::on_closed(bool) { close(); }

void CancelRequest::close() {
  const auto self = shared_from_this();
  timer_->cancel();
  stream_->close(false);
  shard_.remove_cancel_request(number_);
}

}  // namespace heronwell::path
