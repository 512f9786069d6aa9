// The decision strand: gathers what shards, list and peers tell, hands it to the host in one call a tick, and
// spreads the commands over the shards. A tick is all that has come since the last one; it begins as soon as
// something has.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <memory>
#include <vector>

#include "daemon/lists.hpp"
#include "daemon/peers.hpp"
#include "daemon/shard.hpp"

namespace heronwell::daemon {

class Decisions {
 public:
  // Throws std::invalid_argument naming a senseless setting.
  Decisions(asio::io_context& context, const Config& config, Metrics& metrics, std::uint64_t seed);

  Inbox& inbox() { return inbox_; }
  void start(std::vector<Shard*> shards);
  void stop();
  // Calls `then` once, when the first list with a ready engine is in force.
  void on_ready(std::function<void()> then) { ready_ = std::move(then); }

 private:
  void read(std::vector<Told>& told);
  void on(const Told& told);
  void run();
  void arm();
  void carry_out(router::Command& command);
  void list(const Listed& listed);
  void measure();
  void apply_schedules();
  void scan_groups();
  void watch_groups();
  void reload_groups(const std::string& text);
  void open_peers();
  void hear_peers();
  void tell_peers(const router::TellPeers& tell);

  asio::io_context& context_;
  const Config& config_;
  Metrics& metrics_;
  router::Host host_;
  fleet::Book book_;
  Inbox inbox_;
  Timer timer_, measuring_;
  Time armed_ = Time::max();
  std::vector<Shard*> shards_;
  std::vector<std::vector<Order>> orders_;  // by shard, of this tick
  std::vector<router::Command> commands_;
  ListSource lists_;
  std::function<void()> ready_;
  Time lag_{};
  std::vector<std::string> schedules_in_force_;
  std::string groups_text_;  // of the groups' file, as last read
  Timer groups_watch_, groups_scan_;
  groups::Shares::Number groups_next_ = 0;  // of the scan
  std::string groups_json_;                 // of the scan, as far as it has come
  std::optional<groups::Schedules> schedules_;
  bool stopped_ = false;

  std::optional<PeerCodec> codec_;
  std::optional<asio::ip::udp::socket> peers_;
  std::map<std::uint32_t, asio::ip::udp::endpoint> members_;
  std::array<char, 2048> datagram_{};
  asio::ip::udp::endpoint sender_;
};

}  // namespace heronwell::daemon
