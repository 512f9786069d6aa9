// TcpStream implements the byte stream of a shard's connections (path/environment.hpp) with a TCP socket.
//
// Thread: all functions run on the executor of the socket, which belongs to the shard that owns the stream.
// They do not block: a write returns the number of bytes that the kernel has accepted, and the caller keeps
// the rest until notify_when_writable() reports that the socket is writable.
//
// Ownership: the shard and each pending asynchronous operation hold a shared pointer to the stream, so that
// no handler runs on a destroyed stream. The stream holds a weak pointer to its observer and does not call a
// destroyed one.
#pragma once

#include <memory>
#include <span>

#include "config/config.hpp"
#include "daemon/clock.hpp"
#include "path/environment.hpp"

namespace heronwell::daemon {

class TcpStream final : public path::Stream, public std::enable_shared_from_this<TcpStream> {
 public:
  // `read_buffer` may be shared by all streams of a thread, because the bytes of a read are passed to the
  // observer before the next read.
  TcpStream(Socket socket, std::span<char> read_buffer);

  // Sets the socket options of every connection. Must be called for an accepted socket before attach().
  void configure();
  // Starts to connect. The observer gets on_connected() or on_closed(true), but not during this call.
  void connect(const config::Address& address);

  void attach(std::weak_ptr<path::StreamObserver> observer) override { observer_ = std::move(observer); }
  std::optional<std::size_t> write(std::span<const std::string_view> pieces) override;
  void notify_when_writable() override;
  void set_reading(bool on) override;
  [[nodiscard]] path::DialFailure dial_failure() const override { return dial_failure_; }
  [[nodiscard]] bool nothing_to_read() override;
  [[nodiscard]] std::size_t unread_bytes() override;
  void shut_down_writing() override;
  void close(bool reset) override;

 private:
  [[nodiscard]] std::shared_ptr<path::StreamObserver> observer() const { return observer_.lock(); }
  void note_dial_failure(boost::system::error_code error);
  void on_dial_finished(boost::system::error_code error);
  void report_closed(bool broken);
  void read_available();

  Socket socket_;
  std::span<char> read_buffer_;
  std::weak_ptr<path::StreamObserver> observer_;
  bool reading_ = false;            // set by set_reading(): the observer accepts bytes
  bool read_wait_pending_ = false;  // an asynchronous wait for the socket to be readable is pending
  path::DialFailure dial_failure_ = path::DialFailure::unknown;
};

}  // namespace heronwell::daemon
