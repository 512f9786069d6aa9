// ListServer is a stand-in endpoint list: Consul's health API with blocking queries on a loopback socket. It
// records which entries it reported to which gateway and when, and can be delayed or unavailable on command.
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
  void set_delay(Time by);                 // later set() calls take effect after this delay
  void set_unavailable(bool unavailable);  // while unavailable it closes connections without an answer

 private:
  struct Parts;
  std::shared_ptr<Parts> parts_;
};

}  // namespace heronwell::rehearsal
