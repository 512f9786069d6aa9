// A router as a process of virtual time: the shards, the strand and the module that serve, on wires, timers
// and mailboxes of the emulator. Nothing of what it decides or parses is written here.
#pragma once

#include <memory>
#include <vector>

#include "emulator/network.hpp"
#include "emulator/policy.hpp"
#include "path/decision_loop.hpp"
#include "path/graphql.hpp"
#include "path/shard.hpp"

namespace heronwell::emulator {

class Transport;
class Engine;
class ListServer;

// A client's request that came as a message: gets one of these calls, unless it left before.
class EmulatedClient {
 public:
  virtual ~EmulatedClient() = default;
  virtual void answered(int status, const std::string& outcome, Time pause) = 0;
  virtual void broken() = 0;  // the router died

 private:
  friend class EmulatedRouter;
  std::uint64_t number_ = 0;  // at its router
};

// A router's own clocks: a steady one, which may run fast or slow, and Unix time, which may step.
class Clocks {
 public:
  explicit Clocks(Loop& loop, Time ahead) : loop_(loop), from_(loop.now()), own_(from_ + ahead) {}
  [[nodiscard]] Time now() const;
  [[nodiscard]] Time moment(Time own) const;  // of the loop, at which now() is that
  void run(double rate);                      // own seconds a second
  Time stepped{};                             // Unix time, ahead of what it should be

 private:
  Loop& loop_;
  Time from_, own_;
  double rate_ = 1;
};

class EmulatedRouter {
 public:
  struct Surroundings {
    Network& network;
    ListServer& list;
    std::vector<std::unique_ptr<EmulatedRouter>>& all;  // by number, for datagrams between them
    Time unix_offset{};                                 // Unix time less the loop's
    std::function<Engine*(std::uint16_t port)> engine;  // for messages in place of connections
    Policy policy = Policy::heronwell;
  };
  // Throws what config::read_config() and the machines throw. `schema`: null: no GraphQL.
  EmulatedRouter(Surroundings around, config::Config config, std::shared_ptr<const graphql::Bound> schema,
                 std::uint16_t port);
  EmulatedRouter(const EmulatedRouter&) = delete;
  EmulatedRouter& operator=(const EmulatedRouter&) = delete;
  ~EmulatedRouter();

  void begin();
  void kill();
  Process& process() { return process_; }
  Clocks& clocks() { return clocks_; }
  [[nodiscard]] std::uint32_t number() const { return config_.module.router_index; }
  [[nodiscard]] const config::Config& config() const { return config_; }
  // A request as a message, in the fast fidelity: the JSON body of /v1/query and its time-out, if any.
  void ask(const std::shared_ptr<EmulatedClient>& caller, const std::string& body,
           const std::string& timeout);
  void leave(const std::shared_ptr<EmulatedClient>& caller);
  // Calls `then` with each first ready list of a life.
  void on_ready(std::function<void()> then) { ready_ = std::move(then); }
  void reload_groups(const std::string& text);
  void listed(path::EndpointsChanged listed);    // by the list's answer
  [[nodiscard]] std::size_t remembered() const;  // requests, by whoever decides
  [[nodiscard]] std::size_t open() const;        // requests its shards have
  // While no event or command is between them, strand and shards have the same requests open. "": they agree.
  [[nodiscard]] std::string disagreement() const;

 private:
  class ShardWorld;
  class Strands;
  class Asked;
  struct Life;
  Surroundings around_;
  config::Config config_;
  std::shared_ptr<const graphql::Bound> schema_;
  std::uint16_t port_;
  Process process_;
  Clocks clocks_;
  std::function<void()> ready_;
  std::uint64_t asked_ = 0;
  std::unique_ptr<Life> life_;
};

}  // namespace heronwell::emulator
