// The common part of the stand-in processes (`engine`, `list`), which run on one thread until SIGINT or
// SIGTERM and read commands from standard input, one per line.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/streambuf.hpp>
#include <functional>
#include <string>

namespace heronwell::cli {

// Stops `context` on SIGINT or SIGTERM and reads commands. `context` must outlive the object.
class StandInProcess {
 public:
  // `on_command` receives each line of standard input without its line end. The process keeps running when
  // the input ends.
  StandInProcess(boost::asio::io_context& context, std::function<void(const std::string&)> on_command);
  // Starts reading commands and waiting for signals.
  void start();

 private:
  void read_next_line();

  boost::asio::io_context& context_;
  std::function<void(const std::string&)> on_command_;
  boost::asio::signal_set signals_;
  boost::asio::posix::stream_descriptor input_;
  boost::asio::streambuf buffer_;
};

}  // namespace heronwell::cli
