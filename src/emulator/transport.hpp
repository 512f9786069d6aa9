// The fast fidelity between a gateway's shard and the engines: attempts as messages. What the shard does with
// them, and what an engine does with a statement, is the code of the full one; what is left out are
// connections, their start-ups and every byte on them.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "emulator/network.hpp"
#include "path/shard.hpp"

namespace heronwell::emulator {

class Engine;

class Transport {
 public:
  using Find = std::function<Engine*(std::uint16_t port)>;
  // `gateway` and the rest outlive it.
  Transport(Network& network, Process& gateway, const config::Config& config, Find find);
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;
  ~Transport();  // with the gateway: the engines see its connections end
  void serve(path::Shard& shard) { shard_ = &shard; }
  void carry(const path::AttemptPtr& attempt);
  void call_off(const path::AttemptPtr& attempt);

 private:
  class Call;
  Network& network_;
  Process& gateway_;
  const config::Config& config_;
  Find find_;
  path::Shard* shard_ = nullptr;
  std::uint64_t numbers_ = 0;
  std::map<std::uint64_t, std::shared_ptr<Call>> calls_;  // those not ended, by number
  std::map<EngineId, std::size_t> out_;
};

}  // namespace heronwell::emulator
