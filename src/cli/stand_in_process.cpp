#include "cli/stand_in_process.hpp"

#include <unistd.h>

#include <boost/asio/read_until.hpp>
#include <csignal>
#include <istream>

namespace heronwell::cli {

// Standard input is duplicated because Asio closes the descriptor that it owns.
StandInProcess::StandInProcess(boost::asio::io_context& context,
                               std::function<void(const std::string&)> on_command)
    : context_(context),
      on_command_(std::move(on_command)),
      signals_(context, SIGINT, SIGTERM),
      input_(context, ::dup(STDIN_FILENO)) {}

void StandInProcess::start() {
  signals_.async_wait([this](boost::system::error_code, int) { context_.stop(); });
  read_next_line();
}

void StandInProcess::read_next_line() {
  boost::asio::async_read_until(input_, buffer_, '\n', [this](boost::system::error_code error, std::size_t) {
    if (error) return;
    std::istream stream(&buffer_);
    std::string line;
    std::getline(stream, line);
    on_command_(line);
    read_next_line();
  });
}

}  // namespace heronwell::cli
