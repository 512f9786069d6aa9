// Events: what the caller reports to the decision engine. Events that name unknown requests, attempts or
// engines are ignored.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "heronwell/settings.hpp"

namespace heronwell {

enum class EndpointState {
  draining,  // finishes its running queries and gets no new ones
  ready,
  removed
};

enum class UpdateKind {
  delta,     // lists only the endpoints that changed
  snapshot,  // the complete list; endpoints that are not in it are gone
  cached,    // the complete list as this router last received it; it may be out of date
  failed     // the list could not be fetched; the last one stays in use
};

// How an attempt or a health check ended.
enum class AttemptResult {
  served,         // the engine answered, possibly with an error of the statement itself
  error,          // the engine failed the query, which may have run
  rejected,       // the engine rejected the query before it ran
  timed_out,      // no answer by the attempt's deadline; the query may have run
  not_connected,  // no connection was established; the query never ran
  reset,          // the connection broke; the query may have run
  cancelled,      // the attempt ended after its CancelAttempt; the query may have run
  never_started   // the attempt was given up before it was sent; the query never ran
};

enum class ProgressKind {
  progress,  // AttemptProgress::amount is the part of the work that is done, from 0 to 1
  spill,     // amount is the missing memory in MB
  waiting    // amount 1: the query waits for memory; 2: it waits for a query that loads its data group
};

struct Endpoint {
  EngineId engine = 0;
  std::uint16_t zone = 0;
  // Index into Settings::machine_types; an engine of an unknown type gets no queries.
  std::uint16_t machine_type = 0;
  std::uint16_t cell = 0;
  EndpointState state = EndpointState::ready;
  double weight = 1;
  Time last_started{};  // on the caller's clock; 0: the engine started long ago
};

struct EndpointUpdate {
  UpdateKind kind = UpdateKind::snapshot;
  std::vector<Endpoint> endpoints;  // empty if kind is failed
};

// A request of a client. Its id must not be in use by another request. It gets one final answer: a served
// attempt that the caller delivers itself (AttemptFinished::request_finished), a Reject, or a FailRequest.
struct RequestArrived {
  RequestId request = 0;
  ClassIndex class_index = 0;          // a request of an unknown class is rejected
  std::uint32_t tenant = 0;            // index into Settings::tenants; an unknown tenant has no quota
  std::uint64_t order_key = 0;         // ordering key, for classes with ordered_by_key; 0: none
  Time time_left{};                    // time until the request's deadline
  std::optional<Time> estimated_work;  // core time summed over all threads; none: no estimate
  double estimated_memory_mb = 0;      // 0: no estimate
  std::int64_t data_group = 0;         // the group of tables that the query reads or loads
  bool client_retry = false;           // the client has sent this request before
};

struct AttemptProgress {
  RequestId request = 0;
  AttemptIndex attempt = 0;
  EngineId engine = 0;
  ProgressKind kind = ProgressKind::progress;
  double amount = 0;  // its meaning and unit depend on the kind, see ProgressKind
};

// An attempt is no longer in flight. The caller reports it exactly once for each StartAttempt.
struct AttemptFinished {
  RequestId request = 0;
  AttemptIndex attempt = 0;
  EngineId engine = 0;
  AttemptResult result = AttemptResult::served;
  Time latency{};                 // from the start of the attempt to its end
  bool request_finished = false;  // the caller delivered the answer of this attempt to the client
  std::optional<Time> work;       // core time summed over all threads; only with Settings::cost_reported
  double memory_mb = 0;           // memory that the query needed; only with Settings::cost_reported
  std::vector<double> load;       // as Settings::load_fields; empty: no report
};

// The client disconnected. The request needs no answer.
struct ClientDisconnected {
  RequestId request = 0;
};

// The delay of a SetTimer has passed.
struct TimerFired {};

// The process shuts down: every open request gets its final answer now.
struct ShutdownRequested {};

struct HealthCheckResult {
  EngineId engine = 0;
  AttemptResult result = AttemptResult::served;
  Time latency{};
  std::vector<double> load;  // as Settings::load_fields; empty: no report
};

// A message that another router sent with SendGossip. A malformed message is ignored as a whole.
struct GossipReceived {
  std::uint32_t from_router = 0;
  std::string bytes;
};

using Event =
    std::variant<EndpointUpdate, RequestArrived, AttemptProgress, AttemptFinished, ClientDisconnected,
                 TimerFired, HealthCheckResult, GossipReceived, ShutdownRequested>;

}  // namespace heronwell
