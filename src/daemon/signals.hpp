// Signals calls a handler for each signal that the router handles:
//
//   SIGTERM, SIGINT   start a graceful shutdown (graceful_shutdown.hpp). Only the first one has an effect; a
//                     second one is ignored, because the shutdown in progress has its own time limit.
//   SIGHUP            causes a reload on the platform (reload.hpp), each time it is received. Elsewhere it is
//                     not caught and ends the process, which is the default of the system.
//   SIGPIPE           is ignored by the program (cli/main.cpp), so that writing to a closed connection fails
//                     with an error of that connection and does not end the process.
//
// Thread: Asio's signal handler only writes to a pipe. The functions below then run on the first shard's
// thread as ordinary Asio handlers and may use all objects of that thread.
//
// Signals are caught during the lifetime of this object. A signal that arrives before the io_context runs is
// handled when it runs.
#pragma once

#include <boost/asio/signal_set.hpp>
#include <functional>

#include "daemon/clock.hpp"

namespace heronwell::daemon {

class Signals {
 public:
  struct Handlers {
    std::function<void()> terminate;  // called at the first SIGTERM or SIGINT
    std::function<void()> reload;     // called at each SIGHUP; empty: SIGHUP is not caught
  };
  Signals(asio::io_context& context, Handlers handlers);
  // Starts to call the handlers. Must be called once.
  void start();

 private:
  void await_terminate();
  void await_reload();

  Handlers handlers_;
  asio::signal_set terminate_signals_;
  asio::signal_set reload_signals_;
};

}  // namespace heronwell::daemon
