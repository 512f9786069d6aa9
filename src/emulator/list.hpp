// The engine list as a process: blocking queries as Consul has them, answers late or none while it is away.
// What was told to whom is recorded as the stand-in list records it.
#pragma once

#include <map>
#include <pcg_random.hpp>
#include <vector>

#include "emulator/network.hpp"
#include "fleet/endpoint_registry.hpp"
#include "rehearsal/record.hpp"

namespace heronwell::emulator {

class EmulatedRouter;

class ListServer {
 public:
  ListServer(Network& network, rehearsal::Recorder& recorder, std::uint64_t seed);

  // A router asks for what is newer than `known`: it gets listed(), and asks again by itself, as long as this
  // life of it lasts.
  void ask(EmulatedRouter& gateway, std::uint64_t known);
  void set(std::vector<fleet::EndpointEntry> entries);  // in force after late()
  void late(Time by) { late_ = by; }
  void away(bool is);

 private:
  struct Waiting {
    EmulatedRouter* gateway = nullptr;
    std::uint64_t known = 0, number = 0, life = 0;
  };
  void answer(const Waiting& one);
  void fail(const Waiting& one);

  Network& network_;
  rehearsal::Recorder& recorder_;
  Process process_;
  pcg64 random_;
  std::vector<fleet::EndpointEntry> entries_;
  std::uint64_t index_ = 1, numbers_ = 0;
  std::vector<Waiting> waiting_;
  std::map<const EmulatedRouter*, Time> pause_;  // before a router that was not answered asks again
  Time late_{};
  bool away_ = false;
};

}  // namespace heronwell::emulator
