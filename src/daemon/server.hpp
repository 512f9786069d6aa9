// One router process: shards on threads of their own, the decision strand on the first, the listening socket.
#pragma once

#include <functional>
#include <memory>

#include "config/config.hpp"
#include "graphql/binding.hpp"

namespace heronwell::daemon {

// Reads and binds the schema that the configuration names. Throws yaml::Error, "FILE:LINE:COLUMN: what" a
// line.
std::unique_ptr<graphql::Bound> load_schema(const config::Config& config);

class Server {
 public:
  // Binds the port; throws std::system_error where it can't, std::invalid_argument naming a senseless
  // setting.
  explicit Server(config::Config config);
  ~Server();
  [[nodiscard]] std::uint16_t port() const;

  // Serves until SIGINT or SIGTERM; then takes nothing new, and ends once all taken requests are answered, or
  // after `longest`. `ready` is called once queries can be answered.
  void run(const std::function<void()>& ready, Time longest);
  void stop(Time longest);  // from any thread: as a signal does

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace heronwell::daemon
