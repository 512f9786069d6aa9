// What goes wrong on a day, as steps in time: the same for real processes and emulated ones.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "rehearsal/plan.hpp"

namespace heronwell::rehearsal {

// Whom the troubles of a day befall. Each call records what it did.
class FaultTargets {
 public:
  virtual ~FaultTargets() = default;
  virtual void record_fault(FaultKind kind) = 0;                              // one begins
  virtual void command_engine(unsigned engine, const std::string& line) = 0;  // as Engine::command()
  virtual void kill_engine(unsigned engine) = 0;
  virtual void start_engine(unsigned engine) = 0;  // again, cold
  virtual void stop_engine(unsigned engine) = 0;   // for a while
  virtual void continue_engine(unsigned engine) = 0;
  virtual void mark_engine(unsigned engine, EndpointState state) = 0;  // in the list
  virtual void delay_list(Time by) = 0;
  virtual void set_list_unavailable(bool is) = 0;
  virtual void stop_gateway(unsigned gateway) = 0;
  virtual void continue_gateway(unsigned gateway) = 0;
  virtual void kill_gateway(unsigned gateway) = 0;
  virtual void start_gateway(unsigned gateway) = 0;  // again
  virtual void apply_group_plan(const std::string& plan) = 0;
  // Where clocks can be set at all.
  virtual void set_gateway_clock_rate(unsigned gateway, double rate) { (void)gateway, (void)rate; }
  virtual void set_gateway_clock_offset(unsigned gateway, Time ahead) { (void)gateway, (void)ahead; }
};

// By the time from the day's start. `day` and `actors` outlive it. What is the clients' own (bursts, floods,
// hot groups, hang-ups) is in draw().
std::multimap<Time, std::function<void()>> schedule(const Day& day, FaultTargets& actors);

// The configuration of a day's router, YAML: all but its ports, its list and its peers.
YAML::Node router_config_of(const Day& day, unsigned gateway);

}  // namespace heronwell::rehearsal
