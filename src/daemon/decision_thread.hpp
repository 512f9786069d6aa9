// DecisionThread connects the decision loop (path/decision_loop.hpp) to clocks, timers, sockets and the other
// threads. It makes no decisions itself.
//
// It passes the following inputs to the loop and the following outputs on from it:
//
//   events of the shards           a queue; all events that have arrived form one tick
//   the loop's next due time       one timer
//   endpoint lists                 endpoint_source.hpp
//   gossip of other routers        gossip_socket.hpp, in both directions
//   the resource groups' file      polled here and passed to the loop when its text has changed
//   commands to the shards         one queue per shard
//
// Threads: the loop, its timers, the endpoint source and the gossip socket all run on the io_context of the
// first shard (server.hpp). With one shard, the process therefore has a single thread for all of this. Other
// threads may only use shard_events().
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "daemon/endpoint_source.hpp"
#include "daemon/gossip_socket.hpp"
#include "daemon/shard_thread.hpp"
#include "path/decision_loop.hpp"

namespace heronwell::daemon {

class DecisionThread final : public path::DecisionEnvironment {
 public:
  // The referenced objects must outlive this one. Throws std::invalid_argument, which names the setting, if a
  // setting is invalid.
  DecisionThread(asio::io_context& context, const config::Config& config, path::Metrics& metrics,
                 std::uint64_t seed);

  ShardEventQueue& shard_events() { return shard_events_; }
  // `ready` is called once, when the first endpoint list with a ready engine takes effect. Must be called
  // before start().
  void on_ready(std::function<void()> ready) { decision_loop_.on_ready(std::move(ready)); }
  // `shards` must be in the order of their indices. Throws the exceptions of GossipSocket's constructor.
  void start(std::vector<ShardThread*> shards);
  // After this call, nothing is decided or sent any more.
  void stop();
  // Answers every open request now, in whatever state it is, as part of a graceful shutdown.
  void begin_shutdown();
  void switch_event_bus(config::Address bus) { endpoint_source_->switch_event_bus(std::move(bus)); }

  [[nodiscard]] Time now() override { return steady_now(); }
  [[nodiscard]] Time unix_offset() override { return daemon::unix_offset(); }
  void deliver(std::size_t shard, std::vector<path::ShardCommand>& commands) override;
  void send_gossip(const router::ForwardGossip& gossip) override;
  void log(path::Level level, std::string line) override { write_log(level, line); }

 private:
  void receive_events(std::vector<path::TimedEvent>& events);
  void schedule_next_run();
  void update_metrics();
  void refresh_group_views();
  void watch_groups_file();
  void reload_groups_if_changed();

  asio::io_context& context_;
  const config::Config& config_;
  path::Metrics& metrics_;
  path::DecisionLoop decision_loop_;
  ShardEventQueue shard_events_;
  SteadyTimer run_timer_;  // expires at the loop's next due time
  SteadyTimer metrics_timer_;
  SteadyTimer groups_file_timer_;
  SteadyTimer group_views_timer_;
  Time run_scheduled_for_ = Time::max();  // expiry of run_timer_; max: not set
  std::vector<ShardThread*> shards_;
  std::unique_ptr<EndpointSource> endpoint_source_;
  std::optional<GossipSocket> gossip_socket_;  // only if the configuration has `peers` with a port
  std::string groups_text_;                    // last text of the resource groups' file that was read
  bool stopped_ = false;
};

}  // namespace heronwell::daemon
