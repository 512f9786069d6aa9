// Gossip decides what is sent to which peer router, and applies received messages. It sends this router's own
// threads, its newest load reports and its arrival rate (requests per second) in SendGossip actions, at most
// every 200 ms. With up to ten routers, each router sends its own threads on each engine to all others. With
// more, a router sends the newest load reports it has to a few peers drawn at random; its bytes per request
// then do not grow with the number of routers. A malformed message is ignored as a whole. Without gossip, one
// of many routers receives answers of an engine too rarely to estimate the engine's load.
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
  // A request has arrived: adds the bytes of gossip that may be sent for it.
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
  double budget_bytes_ = 0;  // bytes that may be sent now
};

}  // namespace heronwell
