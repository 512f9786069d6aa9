// Server creates and runs all parts of a router process: the shards, the decision thread, the listener and
// the signal handling.
//
// Threads: `threads` in the configuration is the number of shards, each of which has its own thread
// (shard_thread.hpp). The thread that calls run() runs the first shard, the decision thread's work, the
// listener and the signal handlers. run() starts the other threads and joins them before it returns. A trace
// file adds one thread that writes it (trace_file.hpp).
//
// Ownership: Server owns all parts and destroys them only after all threads have ended. References between
// the parts have one direction: the shutdown and the listener refer to the shards and the decision thread,
// which refer to the configuration and the metrics.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "base/time.hpp"
#include "config/config.hpp"

namespace heronwell::daemon {

class Server {
 public:
  // Creates all parts and binds the port. Throws std::system_error or boost::system::system_error if the port
  // cannot be bound or the trace file cannot be opened, yaml::Error if the schema is invalid, and
  // std::invalid_argument, which names the setting, if a setting is invalid.
  explicit Server(config::Config config);
  ~Server();
  [[nodiscard]] std::uint16_t port() const;

  // Serves until SIGINT, SIGTERM or stop(), and then shuts down gracefully. `max_shutdown_duration` limits
  // the shutdown: see `max_duration` in graceful_shutdown.hpp. `ready` is called once, when the first
  // endpoint list with a ready engine takes effect and queries can be answered.
  void run(const std::function<void()>& ready, Time max_shutdown_duration);
  // Shuts down like SIGTERM. May be called from any thread.
  void stop(Time max_shutdown_duration);

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace heronwell::daemon
