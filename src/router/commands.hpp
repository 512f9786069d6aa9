// The commands of the request registry: the closed set of things that its caller (the shard in src/path, the
// emulator, a test) is asked to do. They are carried out in the order in which they are given. Each names its
// request by the ticket that the caller chose; a command whose request or attempt is unknown to the caller,
// because it ended in the meantime, is ignored, and its end reaches the registry as any other end does.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "groups/shares.hpp"
#include "heronwell/decision_engine.hpp"

namespace heronwell::router {

// Names a request for as long as the process lives. The caller that submits the request chooses it and never
// uses it again.
using Ticket = std::uint64_t;

// What the decision engine and the registry believed about load when an attempt was placed or a request
// ended. It serves traces alone and is collected only after RequestRegistry::collect_load_snapshots(true).
struct LoadSnapshot {
  ClassView class_view;     // the request's class
  double pool_threads = 0;  // capacity that this router counts on, in threads
  unsigned engine_threads =
      0;  // threads that this router has in flight on the engine; 0 when no engine is named
  unsigned engines_in_use = 0;  // engines on which this router has threads in flight
};

// Start this attempt on this engine. The caller reports its end with attempt_finished(), whatever the end is;
// an attempt that could not be started ends as `not_connected` or `never_started`.
struct DispatchAttempt {
  Ticket ticket = 0;
  AttemptIndex attempt = 0;  // numbers the attempts of a request from 0
  EngineId engine = 0;
  Time deadline{};                        // clock time; the registry ends the attempt itself when it passes
  std::optional<SetResources> resources;  // memory (MB) and priority granted; none: the engine's own defaults
  std::optional<LoadSnapshot> load_snapshot;
  Time start_before = Time::max();  // clock time after which the attempt must not be started any more
};

// Cancel this attempt at its engine, or drop it while its connection is still being opened. Its end is
// reported all the same, as `cancelled` or as what it was when the cancel request came too late.
struct StopAttempt {
  Ticket ticket = 0;
  AttemptIndex attempt = 0;
};

// The complete response of this attempt is the final one: send it, or send its last bytes if it was being
// streamed.
struct DeliverResponse {
  Ticket ticket = 0;
  AttemptIndex attempt = 0;
};

// The response of this attempt, not complete yet, is the final one: begin to send it. No time-out runs from
// here on.
struct BeginStream {
  Ticket ticket = 0;
  AttemptIndex attempt = 0;
};

// The engine was lost in the middle of a streamed response: end it in a way that no client takes for a
// complete one.
struct AbortStream {
  Ticket ticket = 0;
};

enum class FinalStatus {
  rejected,          // it did not run, or running it again does no harm
  failed,            // nothing is promised about its effect
  deadline_exceeded  // the registry's own last resort: the decision engine left it open past its deadline
};

// Answer this request without a result.
struct FinishRequest {
  Ticket ticket = 0;
  FinalStatus status = FinalStatus::failed;
  Time retry_after{};  // of a rejected request, as a span; zero: no advice
  AttemptResult last_result = AttemptResult::never_started;  // of its last attempt
  unsigned attempts = 0;
  bool provably_never_ran = true;  // no attempt can have run
  std::optional<LoadSnapshot> load_snapshot;
  groups::Limit limit = groups::Limit::none;  // of its resource group, where that ended it
};

// Check this engine's health; the outcome is reported with health_check_finished(), failures included.
struct RunHealthCheck {
  EngineId engine = 0;
};

// Send these bytes (256 at most) to one router, or to all others. Delivery is not guaranteed and nothing is
// reported.
struct ForwardGossip {
  std::optional<std::uint32_t> to_router;
  std::string bytes;
};

// Turn watching of the endpoint list on or off. heronwell's own daemon watches its source from the start and
// ignores this.
struct SetEndpointWatch {
  bool enabled = true;
};

// Write this text to the log.
struct WriteLogLine {
  std::string text;
};

using Command = std::variant<DispatchAttempt, StopAttempt, DeliverResponse, BeginStream, AbortStream,
                             FinishRequest, RunHealthCheck, ForwardGossip, SetEndpointWatch, WriteLogLine>;

}  // namespace heronwell::router
