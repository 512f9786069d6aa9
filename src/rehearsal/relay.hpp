// Relay is a faulty relay between routers and an engine. It may send a statement twice, or answer one that
// the engine never got; tests use it to check that the audit detects both.
#pragma once

#include <cstdint>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace heronwell::rehearsal {

struct RelayFaults {
  double repeat = 0;  // probability that a statement is sent twice
  double claim = 0;   // probability that the relay answers a statement itself and the engine never gets it
};

class Relay {
 public:
  Relay(boost::asio::io_context& context, std::uint16_t port, std::uint16_t engine, RelayFaults faults,
        std::uint64_t seed);
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;
  ~Relay();
  [[nodiscard]] std::uint16_t port() const;

 private:
  struct Parts;
  std::shared_ptr<Parts> parts_;
};

}  // namespace heronwell::rehearsal
