// What is sent to which peer router, and what a received message changes. Inputs: this router's own threads,
// its newest load reports, its arrival rate (requests a second). Output: SendGossip, at most every 200 ms. Up
// to ten routers each send all others their own threads on each engine. Larger numbers send a few peers,
// drawn at random, the newest load reports they have, at a cost in bytes per request that does not grow with
// the number of routers. A malformed message is ignored whole. Guards against routers that see only their own
// answers: a router of many hears an engine too seldom to know its load.
#pragma once

#include "admission.hpp"
#include "decision_context.hpp"
#include "engine_table.hpp"
#include "gossip_codec.hpp"
#include "load_estimator.hpp"
#include "request_table.hpp"
#include "slow_start.hpp"

namespace heronwell {

class Gossip {
 public:
  struct Parts {
    EngineTable& engines;
    const RequestTable& requests;
    const Admission& admission;
    SlowStart& slow_start;
    LoadEstimator& load;
  };
  Gossip(const Settings& settings, const Clock& clock, RandomSource& random, ActionList& actions, Parts parts)
      : settings_(settings), clock_(clock), random_(random), actions_(actions), parts_(parts) {}

  void start() { sent_at_ = clock_.now; }
  // A request arrived: some bytes of gossip may be sent for it.
  void add_budget();
  void send_if_due();
  void receive(const GossipReceived& received);

 private:
  void send_own_threads();
  void send_load_reports();

  const Settings& settings_;
  const Clock& clock_;
  RandomSource& random_;
  ActionList& actions_;
  Parts parts_;
  Time sent_at_{};
  double budget_bytes_ = 0;
};

}  // namespace heronwell
