// The fault schedule turns the faults of a day into steps in time. Real and emulated processes use the same
// one.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "rehearsal/plan.hpp"

namespace heronwell::rehearsal {

// Applies the faults of a day to its processes. The records of the day or of the processes show each call.
class FaultTargets {
 public:
  virtual ~FaultTargets() = default;
  virtual void record_fault(FaultKind kind) = 0;  // a fault begins
  // Sends an engine one command line, in the format that Engine::command() reads.
  virtual void command_engine(unsigned engine, const std::string& line) = 0;
  virtual void kill_engine(unsigned engine) = 0;
  virtual void start_engine(unsigned engine) = 0;  // restarts it, cold
  virtual void stop_engine(unsigned engine) = 0;   // suspends it, as SIGSTOP does
  virtual void continue_engine(unsigned engine) = 0;
  virtual void mark_engine(unsigned engine, EndpointState state) = 0;  // sets its state in the list
  virtual void delay_list(Time by) = 0;                                // of changes; zero: none
  virtual void set_list_unavailable(bool unavailable) = 0;
  virtual void stop_gateway(unsigned gateway) = 0;
  virtual void continue_gateway(unsigned gateway) = 0;
  virtual void kill_gateway(unsigned gateway) = 0;
  virtual void start_gateway(unsigned gateway) = 0;  // restarts it
  virtual void apply_group_plan(const std::string& plan) = 0;
  // Emulated processes only: real ones share the machine's clocks.
  virtual void set_gateway_clock_rate(unsigned gateway, double rate) { (void)gateway, (void)rate; }
  virtual void set_gateway_clock_offset(unsigned gateway, Time ahead) { (void)gateway, (void)ahead; }
};

// Returns the steps by their time since the day's start. `day` and `processes` must outlive them. Faults of
// the load (bursts, floods, hot groups, hang-ups) are not steps: draw() applies them to the arrivals.
std::multimap<Time, std::function<void()>> schedule(const Day& day, FaultTargets& processes);

// Returns the YAML configuration of a day's router without its ports, its list and its peers.
YAML::Node router_config_of(const Day& day, unsigned gateway);

}  // namespace heronwell::rehearsal
