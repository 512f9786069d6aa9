// The machine's clocks, read nowhere else, and Asio's types as the daemon uses them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>

#include "base/time.hpp"

namespace heronwell::daemon {

namespace asio = boost::asio;
using Executor = asio::io_context::executor_type;
using Socket = asio::basic_stream_socket<asio::ip::tcp, Executor>;
using SteadyTimer = asio::basic_waitable_timer<std::chrono::steady_clock,
                                               asio::wait_traits<std::chrono::steady_clock>, Executor>;

inline Time steady_now() { return std::chrono::steady_clock::now().time_since_epoch(); }
// Unix time less the monotonic clock, now.
inline Time unix_offset() {
  return std::chrono::duration_cast<Time>(std::chrono::system_clock::now().time_since_epoch()) - steady_now();
}
inline SteadyTimer::time_point at(Time moment) {
  return SteadyTimer::time_point(std::chrono::duration_cast<std::chrono::steady_clock::duration>(moment));
}

}  // namespace heronwell::daemon
