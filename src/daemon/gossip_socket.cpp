#include "daemon/gossip_socket.hpp"

#include <chrono>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace heronwell::daemon {
namespace {

std::string read_key(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream key;
  key << file.rdbuf();
  if (!file) throw std::invalid_argument("peers.key_file: cannot read " + path);
  return key.str();
}

// Returns the current time in ticks of the system clock. It increases with each restart of the process unless
// the machine's clock is set back.
std::uint64_t epoch_of_this_start() {
  return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
}

}  // namespace

GossipSocket::GossipSocket(asio::io_context& context, const config::Config& config, path::Metrics& metrics,
                           Receiver receiver)
    : config_(config),
      metrics_(metrics),
      receiver_(std::move(receiver)),
      codec_(read_key(config.gossip.key_file), config.module.router_index, epoch_of_this_start()),
      socket_(context) {
  for (const auto& [router_index, address] : config.gossip.members)
    if (router_index != config.module.router_index)
      members_[router_index] = {asio::ip::make_address(address.host), address.port};
  const asio::ip::udp::endpoint local(asio::ip::make_address(config.gossip.listen->host),
                                      config.gossip.listen->port);
  socket_.open(local.protocol());
  socket_.bind(local);
  socket_.non_blocking(true);
  receive_next();
}

void GossipSocket::close() {
  closed_ = true;
  boost::system::error_code ignored;
  socket_.close(ignored);
}

// Continues to receive after an error of one datagram, such as an ICMP "port unreachable" for a datagram that
// was sent.
void GossipSocket::receive_next() {
  socket_.async_receive_from(asio::buffer(datagram_), sender_,
                             [this](boost::system::error_code error, std::size_t size) {
                               if (closed_ || error == asio::error::operation_aborted) return;
                               if (!error) open_datagram(std::string_view(datagram_.data(), size));
                               receive_next();
                             });
}

void GossipSocket::open_datagram(std::string_view datagram) {
  const auto opened = codec_.open(datagram);
  count(opened.fault);
  if (opened.fault != DatagramFault::none || opened.from >= config_.module.router_count) return;
  receiver_({opened.from, std::string(opened.payload)});
}

// A datagram that this router itself has sent is counted as a replay, because another host has
// sent it back.
void GossipSocket::count(DatagramFault fault) {
  switch (fault) {
    case DatagramFault::none:
      return metrics_.gossip_accepted->Increment();
    case DatagramFault::forged:
      return metrics_.gossip_forged->Increment();
    case DatagramFault::malformed:
      return metrics_.gossip_malformed->Increment();
    case DatagramFault::replayed:
    case DatagramFault::own:
      return metrics_.gossip_replayed->Increment();
  }
}

void GossipSocket::send(const router::ForwardGossip& gossip) {
  for (const auto& [router_index, address] : members_) {
    if (gossip.to_router && *gossip.to_router != router_index) continue;
    boost::system::error_code ignored;  // gossip tolerates the loss of datagrams
    socket_.send_to(asio::buffer(codec_.seal(gossip.bytes)), address, 0, ignored);
    metrics_.gossip_sent->Increment();
  }
}

}  // namespace heronwell::daemon
