// Asio types for the stand-ins. They run on one io_context; each type names its executor, so that no handler
// is type-erased.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace heronwell::rehearsal {

namespace asio = boost::asio;
using Executor = asio::io_context::executor_type;
using Socket = asio::basic_stream_socket<asio::ip::tcp, Executor>;
using Acceptor = asio::basic_socket_acceptor<asio::ip::tcp, Executor>;
using Timer = asio::basic_waitable_timer<std::chrono::steady_clock,
                                         asio::wait_traits<std::chrono::steady_clock>, Executor>;
inline constexpr auto kToken = asio::use_awaitable_t<Executor>{};

inline asio::ip::tcp::endpoint loopback(std::uint16_t port) {
  return {asio::ip::address_v4::loopback(), port};
}

// Listens on a port of 127.0.0.1; 0: any free port. Throws boost::system::system_error.
inline void listen(Acceptor& acceptor, std::uint16_t port) {
  const auto at = loopback(port);
  acceptor.open(at.protocol());
  acceptor.set_option(Acceptor::reuse_address(true));
  acceptor.bind(at);
  acceptor.listen(1024);
}

}  // namespace heronwell::rehearsal
