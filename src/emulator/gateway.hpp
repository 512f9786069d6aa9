// A router as a process of virtual time: the shards, the strand and the module that serve, on wires, timers
// and mailboxes of the emulator. Nothing of what it decides or parses is written here.
#pragma once

#include <memory>
#include <vector>

#include "emulator/network.hpp"
#include "path/graphql.hpp"
#include "path/shard.hpp"
#include "path/strand.hpp"

namespace heronwell::emulator {

class ListServer;

class Gateway {
 public:
  struct Surroundings {
    Network& network;
    ListServer& list;
    std::vector<std::unique_ptr<Gateway>>& all;  // by number, for datagrams between them
    Time unix_offset{};                          // Unix time less the loop's
  };
  // Throws what config::read_config() and the machines throw. `schema`: null: no GraphQL.
  Gateway(Surroundings around, config::Config config, std::shared_ptr<const graphql::Bound> schema,
          std::uint16_t port);
  ~Gateway();

  void begin();
  void kill();
  Process& process() { return process_; }
  [[nodiscard]] std::uint32_t number() const { return config_.module.me; }
  [[nodiscard]] const config::Config& config() const { return config_; }
  // Calls `then` with each first ready list of a life.
  void on_ready(std::function<void()> then) { ready_ = std::move(then); }
  void reload_groups(const std::string& text);
  void listed(path::Listed listed);                // by the list's answer
  [[nodiscard]] const router::Host* host() const;  // null: not alive
  [[nodiscard]] std::size_t open() const;          // requests its shards have

 private:
  class ShardWorld;
  class Strands;
  struct Life;
  Surroundings around_;
  config::Config config_;
  std::shared_ptr<const graphql::Bound> schema_;
  std::uint16_t port_;
  Process process_;
  std::function<void()> ready_;
  std::unique_ptr<Life> life_;
};

}  // namespace heronwell::emulator
