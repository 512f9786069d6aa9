// The DecisionLoop runs on one thread. It passes the events of the shards, the endpoint list and the peer
// routers to the request registry in batches and distributes the registry's commands to the shards.
//
// Each call of receive() processes all events that have arrived since the previous call, so that one run of
// the registry covers many events. The loop has no sockets and no clock; it uses a DecisionEnvironment.
//
// Ordering: a change of the endpoint list is delivered to the shards before any command that was decided with
// the changed list.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "path/client_request.hpp"
#include "path/metrics.hpp"

namespace heronwell::path {

// Interface to the loop's surroundings, implemented by the daemon, the emulator and the explorer.
class DecisionEnvironment {
 public:
  virtual ~DecisionEnvironment() = default;
  [[nodiscard]] virtual Time now() = 0;          // steady clock, shared with the shards
  [[nodiscard]] virtual Time unix_offset() = 0;  // Unix time minus now()
  // Delivers the commands to a shard in order and leaves `commands` empty.
  virtual void deliver(std::size_t shard, std::vector<ShardCommand>& commands) = 0;
  virtual void send_gossip(const router::ForwardGossip& gossip) = 0;
  virtual void log(Level level, std::string line) = 0;
};

class DecisionLoop {
 public:
  // `seed` initialises the random numbers. Throws std::invalid_argument that names an invalid setting.
  DecisionLoop(DecisionEnvironment& environment, const Config& config, Metrics& metrics, std::uint64_t seed,
               std::size_t shard_count);

  // Processes the events that have arrived since the previous call, then calls run(). `events` must not be
  // empty and must be in the order of arrival.
  void receive(const std::vector<TimedEvent>& events);
  // Makes all decisions that are due now and delivers their commands through the environment.
  void run();
  // Returns the time of the next run() if no event arrives before.
  [[nodiscard]] Time next_due() const { return registry_.next_due(); }
  // Calls `callback` once, after the first endpoint list with a ready engine has been applied.
  void on_ready(std::function<void()> callback) { on_ready_ = std::move(callback); }

  // Starts the shutdown of the process: every open request gets its final response.
  void begin_shutdown();
  // Updates the gauges and applies the schedules of the groups. Call it about every 0.5 s.
  void update_metrics();
  // Refreshes the operators' view of the groups. Each call processes only a part, so that a large group tree
  // does not delay decisions. Returns false after the last part.
  bool refresh_group_views();
  // Reloads the groups from `text`, the contents of the groups file. If the text is invalid, logs the error
  // and keeps the current groups.
  void reload_groups(const std::string& text);

  [[nodiscard]] const router::RequestRegistry& registry() const { return registry_; }

 private:
  void on(const TimedEvent& event);
  void execute(router::Command& command);
  void apply_endpoints(const EndpointsChanged& changed);
  void apply_schedules();
  void append_group_view(const groups::GroupView& group);

  DecisionEnvironment& environment_;
  const Config& config_;
  Metrics& metrics_;
  router::RequestRegistry registry_;
  fleet::EndpointRegistry endpoints_;
  std::vector<std::vector<ShardCommand>> shard_commands_;  // by shard, not delivered yet
  std::vector<router::Command> commands_;
  std::function<void()> on_ready_;
  Time max_event_delay_{};  // longest wait of an event since the last update_metrics()
  std::vector<std::string> schedules_in_force_;
  groups::Shares::ViewCursor next_group_ = 0;  // position of refresh_group_views()
  std::string groups_json_;                    // built so far by refresh_group_views()
  std::optional<groups::Schedules> schedules_;
};

}  // namespace heronwell::path
