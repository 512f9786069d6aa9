// A stand-in engine as a process of virtual time: the same core as the one on loopback, on emulated wires.
#pragma once

#include <array>
#include <memory>
#include <optional>

#include "emulator/network.hpp"
#include "rehearsal/engine_core.hpp"

namespace heronwell::emulator {

class Engine final : public rehearsal::EngineEnvironment {
 public:
  // `folder`: where its record goes, appended to at each start; empty: none is kept.
  Engine(Network& network, rehearsal::EngineOptions options, std::string folder);
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;
  ~Engine() override;

  void begin(bool warm);
  void kill();
  void end();  // by itself, at the end of the day: its record is whole
  Process& process() { return process_; }
  std::string command(const std::string& line) { return core_ ? core_->command(line) : ""; }
  rehearsal::EngineCore* core() { return core_.get(); }  // null: dead
  [[nodiscard]] std::uint16_t port() const { return options_.port; }
  [[nodiscard]] bool tipped() const { return tipped_; }

  Time now() override { return network_.loop().now(); }
  void set_timer(TimerKind which, Time at) override;
  void after(Time pause, std::function<void()> then) override { process_.at(now() + pause, std::move(then)); }
  void stopped_listening() override;

 private:
  class Link;
  Network& network_;
  rehearsal::EngineOptions options_;
  std::string folder_;
  Process process_;
  std::optional<rehearsal::Recorder> recorder_;
  std::unique_ptr<rehearsal::EngineCore> core_;
  std::array<std::uint64_t, 2> wakes_{};  // by clock: how often it was set
  bool tipped_ = false;
};

}  // namespace heronwell::emulator
