// Actions: the operations that the decision engine asks its caller to carry out, in the order of the list.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "heronwell/settings.hpp"

namespace heronwell {

// Sends the request to the engine. The attempts of a request are numbered from 0, in the order of these
// actions.
struct StartAttempt {
  RequestId request = 0;
  EngineId engine = 0;
  Time deadline{};  // on the caller's clock; the caller gives the attempt up at this time
  // On the caller's clock. The attempt must not begin after this time, because engines drop repeats of an
  // idempotency key only during the deduplication window.
  Time start_before = Time::max();
};

// Asks the engine to stop the attempt. The attempt stays in flight until its AttemptFinished event.
struct CancelAttempt {
  RequestId request = 0;
  AttemptIndex attempt = 0;
};

// Final answer: the client may safely retry, because the request had no effect or repeating it has no further
// effect.
struct Reject {
  RequestId request = 0;
  Time retry_after{};  // 0: the answer names no delay
};

// Final answer: the request may have had an effect, so nothing is said about whether a retry is safe.
struct FailRequest {
  RequestId request = 0;
};

// Resources of the request. The memory applies to its further attempts, the priority also to those in flight.
struct SetResources {
  RequestId request = 0;
  double memory_mb = 0;       // 0: the engine chooses
  std::uint8_t priority = 1;  // 0 to 3; 3 is the highest
};

// Asks for one TimerFired event after this delay.
struct SetTimer {
  Time delay{};
};

struct StartHealthCheck {
  EngineId engine = 0;
};

struct SendGossip {
  std::optional<std::uint32_t> to_router;  // index of a router; none: all other routers
  std::string bytes;                       // at most 256 bytes
};

// Asks the caller to watch the endpoint list; used only with Settings::poll_endpoints.
struct WatchEndpoints {
  bool enabled = true;
};

// A line for the log: an engine was ejected or has recovered.
struct LogDecision {
  std::string text;
};

using Action = std::variant<StartAttempt, CancelAttempt, Reject, FailRequest, SetResources, SetTimer,
                            StartHealthCheck, SendGossip, WatchEndpoints, LogDecision>;

}  // namespace heronwell
