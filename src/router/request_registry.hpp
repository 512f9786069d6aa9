// The request registry hosts the decision engine. It receives events (requests, ends of attempts, endpoint
// lists, gossip), passes them to the decision engine, and returns the engine's actions as commands
// (router/commands.hpp). It has no sockets and no clock and makes no decisions of its own. It maintains the
// state that the decision engine's interface leaves to its host: the ids of requests and attempts, the
// timeouts of attempts, which response is the final one, and request deadlines as a fallback. A
// RequestRegistry may be used from one thread only.
//
// States of a request:
//   queued     The request waits in the decision engine; no attempt is in flight.
//   in_flight  At least one attempt has not ended.
//   streaming  A response is being sent to the client before it is complete; it is the final response.
//   finished   The request has its final response, or its client has disconnected; nothing more is sent.
//
// Transitions:
//   queued    --StartAttempt--> in_flight
//   queued    --Reject, FailRequest, group limit, disconnect, deadline--> finished
//   in_flight --last attempt ended--> queued
//   in_flight --another attempt--> in_flight
//   in_flight --response overflowed--> streaming
//   in_flight --served, Reject, FailRequest, group limit, disconnect, deadline--> finished
//   streaming --its attempt ended, disconnect--> finished
//
// A finished request is removed once all its attempts have ended and the decision engine has received their
// ends. Until then its id is not reused.
//
// An attempt is in flight from StartAttempt until the caller reports its end or its deadline passes. An
// attempt that can no longer start (its request is finished or streaming, or its deadline has passed) ends at
// once as `never_started`. A cancel request does not end an attempt; the caller reports the end of the
// attempt like any other. Events about attempts that have ended are ignored.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "groups/shares.hpp"
#include "heronwell/decision_engine.hpp"
#include "router/commands.hpp"

namespace heronwell::router {

// A request as submitted by the caller.
struct RequestSpec {
  Ticket ticket = 0;
  RequestArrived request;  // the registry sets its id
  // Used only with resource groups: the path of the request's group, and whether the path comes from a
  // template, so that the group may be created if it does not exist.
  std::string group;
  bool may_create_group = false;
};

// The end of an attempt as observed on its connection.
struct AttemptEnd {
  Ticket ticket = 0;
  AttemptIndex attempt = 0;
  AttemptResult result = AttemptResult::served;
  Time at{};                 // clock time at which the end was observed
  std::optional<Time> work;  // time used by all threads together; none: not reported by the response
  double memory_mb = 0;      // memory used; 0: not reported by the response
  std::vector<double> load;  // load report in the order of Settings::load_fields; empty: not reported
};

// The comment at the top of this file describes the states and transitions.
enum class RequestState { queued, in_flight, streaming, finished };
[[nodiscard]] bool transition_allowed(RequestState from, RequestState to);

// Allocates ids that are not in use. Ids have 32 bits and can wrap around within the lifetime of a busy
// process.
class RequestIdAllocator {
 public:
  explicit RequestIdAllocator(RequestId first = 1) : next_(first) {}
  // `in_use`: a container of the ids that must not be allocated. It must not contain every possible id.
  RequestId allocate(const auto& in_use) {
    while (in_use.contains(next_)) ++next_;
    return next_++;
  }

 private:
  RequestId next_;
};

// Counts since the start of the process.
struct Counters {
  // Requests, by how they ended. `streams` counts responses that were streamed, that is, whose sending began
  // before they were complete.
  std::uint64_t received = 0, served = 0, rejected = 0, failed = 0, deadline_exceeded = 0, disconnected = 0;
  std::uint64_t streams = 0, streams_aborted = 0;
  // Attempts. `retries` counts attempts after the first of a request, including hedges.
  std::uint64_t attempts_started = 0, retries = 0, cancellations = 0;
  std::uint64_t health_checks = 0;
  // Calls of the decision engine and events passed to it.
  std::uint64_t decision_engine_calls = 0, decision_engine_events = 0;
};

class RequestRegistry {
 public:
  // `groups`: the resource groups, which choose the next request of a class and enforce limits; if null, each
  // class is one queue. `first_id`: the id of the first request; tests set it to check that ids wrap around.
  // Throws std::invalid_argument that names the first invalid setting.
  RequestRegistry(Settings settings, std::uint64_t seed, RequestId first_id = 1,
                  std::unique_ptr<groups::Shares> groups = nullptr);

  // ---- events; the next run() passes them to the decision engine
  // Calls for requests or attempts that are unknown or have ended do nothing.
  void add_request(Time now, const RequestSpec& spec);
  void client_disconnected(Ticket ticket);
  void attempt_finished(Time now, AttemptEnd end);
  // The attempt's response exceeds the buffer that holds a response until it is complete. The next run()
  // returns BeginStream, or StopAttempt if this response cannot be the final one.
  void response_overflowed(Time now, Ticket ticket, AttemptIndex index);
  // `amount`: as defined by AttemptProgress for this `kind`.
  void attempt_progressed(Ticket ticket, AttemptIndex index, ProgressKind kind, double amount);
  void endpoints_updated(EndpointUpdate update);
  void health_check_finished(EngineId engine, AttemptResult result, Time latency, std::vector<double> load);
  void gossip_received(std::uint32_t from_router, std::string bytes);
  // The process is about to exit. The decision engine ends all open requests during the next run().
  void begin_shutdown();

  // ---- one step
  // Passes all pending events to the decision engine in one call and appends the resulting commands to `out`.
  // `now` must not decrease between calls.
  void run(Time now, std::vector<Command>& out);
  // Returns the clock time at which run() must be called at the latest; a time in the past means at once.
  [[nodiscard]] Time next_due() const;

  void collect_load_snapshots(bool on) { collect_load_snapshots_ = on; }
  [[nodiscard]] std::size_t open_count() const { return open_; }  // requests that are not finished
  // Returns the number of requests that are not removed yet; their ids are in use.
  [[nodiscard]] std::size_t remembered_count() const { return requests_.size(); }
  [[nodiscard]] const Counters& counters() const { return counters_; }
  [[nodiscard]] const DecisionEngine& decision_engine() const { return decision_engine_; }
  [[nodiscard]] const Settings& settings() const { return settings_; }
  [[nodiscard]] groups::Shares* groups() { return groups_.get(); }

 private:
  struct Attempt {
    EngineId engine = 0;
    Time started_at{}, deadline{};
    bool ended = false, cancel_requested = false;
    AttemptResult result = AttemptResult::never_started;
  };
  struct Request {
    RequestId id = 0;
    Ticket ticket = 0;
    RequestState state = RequestState::queued;
    ClassIndex class_index = 0;
    Time deadline{};
    std::optional<SetResources> resources;
    std::vector<Attempt> attempts;
    std::size_t streaming_attempt = 0;  // in state `streaming`: index of the attempt whose response is sent
  };
  struct FinalResult {
    FinalStatus status = FinalStatus::failed;
    Time retry_after{};
    groups::Limit limit = groups::Limit::none;
  };

  // ---- requests and attempts
  Request* find(Ticket ticket);
  // Returns the request if it has this attempt and the attempt has not ended; else null.
  Request* find_with_live_attempt(Ticket ticket, AttemptIndex index);
  Request* find_open(RequestId id);  // null unless the request is queued or in flight
  void change_state(Request& request, RequestState to);
  [[nodiscard]] groups::Limit admit_to_group(Time now, RequestId id, const RequestSpec& spec);
  // Applies the end of an attempt to its request. Returns the result to report to the decision engine.
  [[nodiscard]] AttemptResult apply_to_request(Time now, Request& request, const AttemptEnd& end);
  void finish_stream(Request& request, const AttemptEnd& end);
  // Marks the attempt as ended, completes `event` and queues it for the decision engine.
  void end_attempt(Request& request, std::size_t index, AttemptFinished event);
  void stop_attempt(Request& request, std::size_t index, std::vector<Command>& out);
  void release_threads(EngineId engine, ClassIndex class_index);
  [[nodiscard]] static bool provably_never_ran(const Request& request);
  [[nodiscard]] bool may_reject(const Request& request) const;
  void finish(Request& request, const FinalResult& result, std::vector<Command>& out);
  void finish_by_group_limit(Request& request, FinalStatus status, groups::Limit limit);
  void count_final(FinalStatus status);
  [[nodiscard]] std::optional<LoadSnapshot> load_snapshot(const Request& request, EngineId engine) const;

  // ---- the steps of run(), in order
  void update_groups(Time now);
  void expire_attempts(Time now);
  void enforce_group_limits();
  void fire_timers(Time now);
  void decide(Time now, std::vector<Command>& out);
  void finish_overdue(Time now, std::vector<Command>& out);
  void forget_finished();
  void exchange_group_gossip(Time now, std::vector<Command>& out);

  // ---- one overload for each action of the decision engine
  void execute(Time now, const StartAttempt& action, std::vector<Command>& out);
  void execute(Time now, const CancelAttempt& action, std::vector<Command>& out);
  void execute(Time now, const Reject& action, std::vector<Command>& out);
  void execute(Time now, const FailRequest& action, std::vector<Command>& out);
  void execute(Time now, const SetResources& action, std::vector<Command>& out);
  void execute(Time now, const SetTimer& action, std::vector<Command>& out);
  void execute(Time now, const StartHealthCheck& action, std::vector<Command>& out);
  void execute(Time now, const SendGossip& action, std::vector<Command>& out);
  void execute(Time now, const WatchEndpoints& action, std::vector<Command>& out);
  void execute(Time now, const LogDecision& action, std::vector<Command>& out);

  Settings settings_;
  // May be null. The decision engine uses it as its DispatchOrder, so it must outlive the decision engine.
  std::unique_ptr<groups::Shares> groups_;
  DecisionEngine decision_engine_;
  RequestIdAllocator request_ids_;
  // Requests that are open, have attempts in flight, or have pending events for the decision engine.
  std::unordered_map<RequestId, Request> requests_;
  std::unordered_map<Ticket, RequestId> tickets_;
  std::set<std::pair<Time, RequestId>> deadlines_;
  std::set<std::tuple<Time, RequestId, std::size_t>> attempt_deadlines_;
  std::multiset<Time> timers_;
  std::vector<Event> events_;    // for the next call of the decision engine
  std::vector<Action> actions_;  // of its last call; a member to avoid allocations
  // Commands that result directly from events. They precede the commands from the decision engine's actions.
  std::vector<Command> immediate_commands_;
  std::vector<RequestId> forget_candidates_;  // request ids that forget_finished() examines
  std::size_t open_ = 0;
  Time group_gossip_sent_at_{};
  bool collect_load_snapshots_ = false;
  std::map<EngineId, unsigned> threads_in_flight_;  // threads of this router on each engine that has any
  Counters counters_;
};

}  // namespace heronwell::router
