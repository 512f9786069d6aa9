// Defines the commands that the request registry returns to its caller (the shard in src/path, the emulator
// or a test). The caller executes them in the order in which they were returned. A command identifies its
// request by the ticket that the caller chose. The caller ignores a command whose request or attempt has
// ended in the meantime; it reports that end to the registry like any other.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "groups/shares.hpp"
#include "heronwell/decision_engine.hpp"

namespace heronwell::router {

// Identifies a request. The caller that submits the request chooses the ticket and never reuses it during the
// lifetime of the process.
using Ticket = std::uint64_t;

// The load as the decision engine and the registry estimated it when an attempt was started or a request
// ended. Only traces use it, and it is collected only after RequestRegistry::collect_load_snapshots(true).
struct LoadSnapshot {
  ClassView class_view;     // view of the request's class
  double pool_threads = 0;  // estimated capacity available to this router, in threads
  // Threads that this router has in flight on the engine of the attempt; 0 in FinishRequest.
  unsigned engine_threads = 0;
  unsigned engines_in_use = 0;  // number of engines on which this router has threads in flight
};

// Starts an attempt on an engine. The caller reports the end of the attempt with attempt_finished(), whatever
// its result; an attempt that could not be started ends as `not_connected` or `never_started`.
struct DispatchAttempt {
  Ticket ticket = 0;
  AttemptIndex attempt = 0;  // index among the request's attempts, from 0
  EngineId engine = 0;
  Time deadline{};  // clock time at which the registry times out the attempt
  // Granted memory (MB) and priority; if absent, the engine uses its defaults.
  std::optional<SetResources> resources;
  std::optional<LoadSnapshot> load_snapshot;
  Time start_before = Time::max();  // clock time after which the attempt must not be started
};

// Cancels an attempt at its engine, or drops it if its connection is still being opened. The caller still
// reports the end of the attempt: as `cancelled`, or with its actual result if the cancel request came too
// late.
struct StopAttempt {
  Ticket ticket = 0;
  AttemptIndex attempt = 0;
};

// Delivers the complete response of an attempt to the client as the final response. If the response is being
// streamed, only its last bytes remain to be sent.
struct DeliverResponse {
  Ticket ticket = 0;
  AttemptIndex attempt = 0;
};

// Begins to send the response of an attempt, which is not complete yet, as the final response. No timeout
// applies to the request any more.
struct BeginStream {
  Ticket ticket = 0;
  AttemptIndex attempt = 0;
};

// Aborts a streamed response because its attempt failed. The response must end in a way that a client cannot
// mistake for a complete response.
struct AbortStream {
  Ticket ticket = 0;
};

enum class FinalStatus {
  rejected,          // the request did not run, or repeating it does no harm
  failed,            // the request may or may not have taken effect
  deadline_exceeded  // fallback of the registry: the decision engine left the request open past its deadline
};

// Ends a request without a result; the caller sends an error response to the client.
struct FinishRequest {
  Ticket ticket = 0;
  FinalStatus status = FinalStatus::failed;
  Time retry_after{};  // duration, for a rejected request; zero: no advice
  AttemptResult last_result = AttemptResult::never_started;  // result of the last attempt
  unsigned attempts = 0;                                     // number of attempts
  bool provably_never_ran = true;                            // whether no attempt can have run
  std::optional<LoadSnapshot> load_snapshot;
  groups::Limit limit = groups::Limit::none;  // limit of the resource group that ended the request, if any
};

// Runs a health check of an engine. The caller reports the result with health_check_finished(), also if the
// check failed.
struct RunHealthCheck {
  EngineId engine = 0;
};

// Sends these bytes (256 at most) to one other router or to all of them. Delivery is not guaranteed, and the
// caller does not report the outcome.
struct ForwardGossip {
  std::optional<std::uint32_t> to_router;  // index of the router; none: all other routers
  std::string bytes;
};

// Turns watching of the endpoint list on or off. The heronwell daemon watches its source from startup and
// ignores this command.
struct SetEndpointWatch {
  bool enabled = true;
};

// Writes a text to the log.
struct WriteLogLine {
  std::string text;
};

using Command = std::variant<DispatchAttempt, StopAttempt, DeliverResponse, BeginStream, AbortStream,
                             FinishRequest, RunHealthCheck, ForwardGossip, SetEndpointWatch, WriteLogLine>;

}  // namespace heronwell::router
