#include "daemon/signals.hpp"

#include <csignal>

namespace heronwell::daemon {

Signals::Signals(asio::io_context& context, Handlers handlers)
    : handlers_(std::move(handlers)), terminate_signals_(context, SIGINT, SIGTERM), reload_signals_(context) {
  if (handlers_.reload) reload_signals_.add(SIGHUP);
}

void Signals::start() {
  await_terminate();
  if (!handlers_.reload) return;
  await_reload();
}

void Signals::await_terminate() {
  terminate_signals_.async_wait([this](boost::system::error_code error, int) {
    if (!error) handlers_.terminate();
  });
}

void Signals::await_reload() {
  reload_signals_.async_wait([this](boost::system::error_code error, int) {
    if (error) return;
    handlers_.reload();
    await_reload();
  });
}

}  // namespace heronwell::daemon
