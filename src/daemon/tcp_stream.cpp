#include "daemon/tcp_stream.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

namespace heronwell::daemon {
namespace {

// The maximum number of pieces in a gathered write; further pieces are left to the next write. A response
// consists of a head, a body and a few separators. The value is far below the system's IOV_MAX of 1024.
constexpr std::size_t kMaxPiecesPerWrite = 16;

}  // namespace

TcpStream::TcpStream(Socket socket, std::span<char> read_buffer)
    : socket_(std::move(socket)), read_buffer_(read_buffer) {}

// Sets TCP_NODELAY before the first byte. With Nagle's algorithm, the kernel delays the last, short segment
// of a response until the peer acknowledges the segment before, and the peer delays its acknowledgement. A
// response in two writes then takes some 40 ms longer than its query. TCP_NODELAY adds no small segments,
// because the router gathers its writes itself.
void TcpStream::configure() {
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
}

void TcpStream::connect(const config::Address& address) {
  boost::system::error_code error;
  const auto host = asio::ip::make_address(address.host, error);
  if (!error) socket_.open(host.is_v6() ? asio::ip::tcp::v6() : asio::ip::tcp::v4(), error);
  if (error) {
    note_dial_failure(error);
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->report_closed(true); });
    return;
  }
  socket_.async_connect({host, address.port}, [self = shared_from_this()](boost::system::error_code result) {
    self->on_dial_finished(result);
  });
}

void TcpStream::on_dial_finished(boost::system::error_code error) {
  if (error) {
    note_dial_failure(error);
    return report_closed(true);
  }
  configure();
  if (const auto observer = this->observer()) observer->on_connected();
}

// Distinguishes a refusal by the engine's machine from a shortage on this one. A router without a free
// descriptor or local port cannot connect to any engine. If it counted this against the engines, it would
// eject all of them at once although they answer other routers. Therefore only a refusal counts against the
// engine, and a shortage of this machine is reported as `local`.
void TcpStream::note_dial_failure(boost::system::error_code error) {
  if (error == asio::error::connection_refused) dial_failure_ = path::DialFailure::refused;
  if (error == asio::error::no_descriptors || error == boost::system::errc::too_many_files_open_in_system ||
      error == asio::error::no_buffer_space || error == boost::system::errc::address_not_available)
    dial_failure_ = path::DialFailure::local;
}

std::optional<std::size_t> TcpStream::write(std::span<const std::string_view> pieces) {
  std::array<asio::const_buffer, kMaxPiecesPerWrite> buffers;
  const auto count = std::min(pieces.size(), kMaxPiecesPerWrite);
  for (std::size_t i = 0; i < count; ++i) buffers[i] = asio::buffer(pieces[i]);
  boost::system::error_code error;
  const auto bytes = socket_.write_some(std::span(buffers).first(count), error);
  if (error == asio::error::would_block) return bytes;
  if (error) return std::nullopt;
  return bytes;
}

void TcpStream::notify_when_writable() {
  socket_.async_wait(Socket::wait_write, [self = shared_from_this()](boost::system::error_code error) {
    const auto observer = self->observer();
    if (!observer) return;
    if (error) return observer->on_closed(true);
    observer->on_writable();
  });
}

void TcpStream::set_reading(bool on) {
  reading_ = on;
  if (!on || read_wait_pending_) return;
  read_wait_pending_ = true;
  socket_.async_wait(Socket::wait_read, [self = shared_from_this()](boost::system::error_code error) {
    self->read_wait_pending_ = false;
    if (error) return self->report_closed(true);
    self->read_available();
  });
}

// Reads the bytes that have arrived and passes them to the observer. A client that has sent its last request
// may shut down its sending side and still wait for the response. If the router treated the end of the input
// as the end of the connection, the client of a served request would get no response. Therefore an orderly
// end (eof) is reported as not broken, and the socket stays open for writing; only a reset or another error
// is reported as broken.
void TcpStream::read_available() {
  if (!reading_) return;
  const auto observer = this->observer();
  if (!observer) return;
  boost::system::error_code error;
  const auto bytes = socket_.read_some(asio::buffer(read_buffer_.data(), read_buffer_.size()), error);
  if (error && error != asio::error::would_block) return report_closed(error != asio::error::eof);
  if (bytes > 0) observer->on_data({read_buffer_.data(), bytes});
  if (reading_) set_reading(true);
}

void TcpStream::report_closed(bool broken) {
  reading_ = false;
  if (const auto observer = this->observer()) observer->on_closed(broken);
}

// Returns whether neither bytes nor the end of the input can be read. If an engine has closed an idle
// connection of the pool, a statement written to it is lost, and the router cannot determine whether the
// statement has begun. Therefore the pool calls this function before it reuses a connection, and uses the
// connection only if the result is true.
bool TcpStream::nothing_to_read() {
  char peeked = 0;
  const auto received = ::recv(socket_.native_handle(), &peeked, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::size_t TcpStream::unread_bytes() {
  boost::system::error_code error;
  const auto bytes = socket_.available(error);
  return error ? 0 : bytes;
}

void TcpStream::shut_down_writing() {
  boost::system::error_code ignored;
  socket_.shutdown(Socket::shutdown_send, ignored);
}

// With `reset`, the kernel discards unsent bytes and resets the connection. Without `reset`, it sends all
// written bytes and then the end of the stream. If bytes are unread in the receive buffer, closing resets the
// connection in either case: see "Unread bytes" in graceful_shutdown.hpp.
void TcpStream::close(bool reset) {
  observer_.reset();
  reading_ = false;
  boost::system::error_code ignored;
  if (reset)
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  else
    socket_.shutdown(Socket::shutdown_both, ignored);
  socket_.close(ignored);
}

}  // namespace heronwell::daemon
