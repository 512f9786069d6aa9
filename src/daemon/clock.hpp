// Reads the machine's clocks and defines the Asio types that the daemon uses. No other file of the router
// reads a clock: the layers below the daemon get the current time from their environment, so that the
// emulator and the model checker can run the same code on virtual time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>

#include "base/time.hpp"

namespace heronwell::daemon {

namespace asio = boost::asio;
// Sockets and timers use the concrete executor type, because any_io_executor adds an indirect call to each
// operation.
using Executor = asio::io_context::executor_type;
using Socket = asio::basic_stream_socket<asio::ip::tcp, Executor>;
using SteadyTimer = asio::basic_waitable_timer<std::chrono::steady_clock,
                                               asio::wait_traits<std::chrono::steady_clock>, Executor>;

// Returns the time of the monotonic clock, on which all deadlines and delays in the router are measured.
inline Time steady_now() { return std::chrono::steady_clock::now().time_since_epoch(); }
// Returns the current difference between Unix time and the monotonic clock. It changes when an operator or
// NTP sets the machine's clock.
inline Time unix_offset() {
  return std::chrono::duration_cast<Time>(std::chrono::system_clock::now().time_since_epoch()) - steady_now();
}
// Converts a time of steady_now() to Asio's type.
inline SteadyTimer::time_point to_time_point(Time moment) {
  return SteadyTimer::time_point(std::chrono::duration_cast<std::chrono::steady_clock::duration>(moment));
}

}  // namespace heronwell::daemon
