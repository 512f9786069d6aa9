// GossipSocket is the UDP socket over which routers exchange gossip (setting `peers`). It seals, opens and
// counts datagrams, and does not interpret their payload.
//
// Thread: the decision thread. Sending does not block: a datagram for which the kernel has no buffer space is
// dropped. Gossip tolerates this as well as losses in the network, because each message replaces the one
// before.
#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>

#include "config/config.hpp"
#include "daemon/clock.hpp"
#include "daemon/gossip_datagram.hpp"
#include "path/client_request.hpp"
#include "path/metrics.hpp"
#include "router/request_registry.hpp"

namespace heronwell::daemon {

class GossipSocket {
 public:
  // Called on the decision thread for each accepted datagram whose sender is one of the configured routers.
  using Receiver = std::function<void(path::GossipReceived)>;

  // Binds config.gossip.listen, which must be set, and starts to receive. Throws std::invalid_argument if the
  // key file cannot be read or is too short, and boost::system::system_error if the port cannot be bound.
  GossipSocket(asio::io_context& context, const config::Config& config, path::Metrics& metrics,
               Receiver receiver);

  // Sends `gossip` to one router, or to all of peers.members except this router.
  void send(const router::ForwardGossip& gossip);
  void close();

 private:
  void receive_next();
  void open_datagram(std::string_view datagram);
  void count(DatagramFault fault);

  const config::Config& config_;
  path::Metrics& metrics_;
  Receiver receiver_;
  GossipDatagramCodec codec_;
  std::map<std::uint32_t, asio::ip::udp::endpoint> members_;  // the other routers, by index
  asio::ip::udp::socket socket_;
  asio::ip::udp::endpoint sender_;     // of the datagram in datagram_
  std::array<char, 2048> datagram_{};  // larger than any valid datagram, so that a longer one is malformed
  bool closed_ = false;
};

}  // namespace heronwell::daemon
