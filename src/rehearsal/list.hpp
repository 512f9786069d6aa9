// A stand-in engine list: Consul's health API with blocking queries on a loopback socket. It records when it
// told which gateway what, and can be late or away on command.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "fleet/endpoint_registry.hpp"
#include "rehearsal/record.hpp"

namespace boost::asio {
class io_context;
}

namespace heronwell::rehearsal {

class ListServer {
 public:
  ListServer(boost::asio::io_context& context, std::uint16_t port, Recorder& recorder);
  ListServer(const ListServer&) = delete;
  ListServer& operator=(const ListServer&) = delete;
  ~ListServer();
  [[nodiscard]] std::uint16_t port() const;
  void set(std::vector<fleet::EndpointEntry> entries);
  void set_delay(Time by);                 // changes are told so much later
  void set_unavailable(bool unavailable);  // closes what asks

 private:
  struct Parts;
  std::shared_ptr<Parts> parts_;
};

}  // namespace heronwell::rehearsal
