// Engine is a stand-in SQL engine on a loopback socket. engine_core.hpp says how it handles statements.
#pragma once

#include <memory>
#include <string>

#include "rehearsal/engine_core.hpp"

namespace boost::asio {
class io_context;
}

namespace heronwell::rehearsal {

class Engine {
 public:
  // Binds the port at once; throws std::system_error. `recorder` must outlive it.
  Engine(boost::asio::io_context& context, EngineOptions options, Recorder& recorder);
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;
  ~Engine();

  [[nodiscard]] std::uint16_t port() const;
  void faults(const EngineFaults& faults);
  void kill();  // resets every connection and stops listening, as a killed process does
  // Sets a fault from a line such as "slow 5" or "swallow 0.3"; returns "", or an error message.
  std::string command(const std::string& line);
  [[nodiscard]] bool crashed() const;         // because it was overloaded while cold
  [[nodiscard]] std::uint64_t began() const;  // number of statements whose work began

 private:
  struct Parts;
  std::shared_ptr<Parts> parts_;
};

}  // namespace heronwell::rehearsal
