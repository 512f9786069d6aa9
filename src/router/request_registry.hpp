// The request registry: the host of the decision engine. Events (requests, ends of attempts, the endpoint
// list, gossip) go in, the decision engine's actions come out as commands (router/commands.hpp). No sockets,
// no clock, and no decision of its own: it keeps what the engine's interface leaves to its host, namely the
// ids of requests and attempts, the time-outs of attempts, which response is the final one, and the deadline
// as a last resort. A RequestRegistry is for one thread.
//
// A request:
//   queued     waits in the decision engine; no attempt is in flight
//   in_flight  at least one attempt has not ended
//   streaming  a response has begun to be sent to the client before it was complete; it is the final one
//   finished   has its final answer, or its client has disconnected; nothing is sent after it
//
//   queued    --StartAttempt--> in_flight
//   queued    --Reject, FailRequest, group limit, disconnect, deadline--> finished
//   in_flight --last attempt ended--> queued
//   in_flight --another attempt--> in_flight
//   in_flight --response overflowed--> streaming
//   in_flight --served, Reject, FailRequest, group limit, disconnect, deadline--> finished
//   streaming --its attempt ended, disconnect--> finished
//
// A finished request is forgotten once all its attempts have ended and the decision engine has heard so;
// until then its id is not given to another.
//
// An attempt is in flight from StartAttempt until it is reported as ended or its deadline passes. An attempt
// that cannot start any more (request finished or streaming, deadline passed) ends at once as
// `never_started`. A cancel request does not end an attempt: its end is reported like any other. Events about
// attempts that have ended are ignored.
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

// A request as it is submitted.
struct RequestSpec {
  Ticket ticket = 0;
  RequestArrived request;  // its id is set by the registry
  // Only with resource groups: the path of its group, and whether a template named it, so that it may be
  // created.
  std::string group;
  bool may_create_group = false;
};

// The end of an attempt, as its connection saw it.
struct AttemptEnd {
  Ticket ticket = 0;
  AttemptIndex attempt = 0;
  AttemptResult result = AttemptResult::served;
  Time at{};                 // clock time of the end, when it was seen
  std::optional<Time> work;  // of all threads, where the response reports it
  double memory_mb = 0;      // used, where the response reports it; else 0
  std::vector<double> load;  // in the order of Settings::load_fields; empty: not reported
};

// See the state machine at the top of this file.
enum class RequestState { queued, in_flight, streaming, finished };
[[nodiscard]] bool transition_allowed(RequestState from, RequestState to);

// Gives out ids that are not in use. Ids have 32 bits, which wrap in the life of a busy process.
class RequestIdAllocator {
 public:
  explicit RequestIdAllocator(RequestId first = 1) : next_(first) {}
  // `in_use`: a container of the ids that must not be given out; it must not hold all of them.
  RequestId allocate(const auto& in_use) {
    while (in_use.contains(next_)) ++next_;
    return next_++;
  }

 private:
  RequestId next_;
};

// Counts since the start of the process.
struct Counters {
  // Of requests, by how they ended; `streams` counts responses that began before they were complete.
  std::uint64_t received = 0, served = 0, rejected = 0, failed = 0, deadline_exceeded = 0, disconnected = 0;
  std::uint64_t streams = 0, streams_aborted = 0;
  // Of attempts: `retries` are those after a request's first, hedges included.
  std::uint64_t attempts_started = 0, retries = 0, cancellations = 0;
  std::uint64_t health_checks = 0;
  // Of the decision engine: calls, and events given to it.
  std::uint64_t decision_engine_calls = 0, decision_engine_events = 0;
};

class RequestRegistry {
 public:
  // `groups`: resource groups, which choose the next request of a class and enforce their limits; null: each
  // class is one queue. `first_id`: of the first request, for tests of wrapping ids. Throws
  // std::invalid_argument that names the setting that makes no sense.
  RequestRegistry(Settings settings, std::uint64_t seed, RequestId first_id = 1,
                  std::unique_ptr<groups::Shares> groups = nullptr);

  // ---- what happened; the decision engine hears of it with the next run()
  // Calls about requests and attempts that are not known, or have ended, do nothing.
  void add_request(Time now, const RequestSpec& spec);
  void client_disconnected(Ticket ticket);
  void attempt_finished(Time now, AttemptEnd end);
  // The attempt's response has outgrown the buffer that holds it back until it is complete. A command
  // answers: BeginStream, or StopAttempt where another response is the final one.
  void response_overflowed(Time now, Ticket ticket, AttemptIndex index);
  // `amount`: as AttemptProgress has it for that kind.
  void attempt_progressed(Ticket ticket, AttemptIndex index, ProgressKind kind, double amount);
  void endpoints_updated(EndpointUpdate update);
  void health_check_finished(EngineId engine, AttemptResult result, Time latency, std::vector<double> load);
  void gossip_received(std::uint32_t from_router, std::string bytes);
  // The process ends soon: the decision engine answers all open requests with the next run().
  void begin_shutdown();

  // ---- one step
  // Hands all that happened to the decision engine, in one call, and appends the commands that follow. `now`
  // never goes back.
  void run(Time now, std::vector<Command>& out);
  // Clock time at which run() must be called if nothing happens before; a time in the past means at once.
  [[nodiscard]] Time next_due() const;

  void collect_load_snapshots(bool on) { collect_load_snapshots_ = on; }
  [[nodiscard]] std::size_t open_count() const { return open_; }  // requests without a final answer
  [[nodiscard]] std::size_t remembered_count() const { return requests_.size(); }  // those whose id is in use
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
    std::size_t streaming_attempt = 0;  // in state `streaming`: whose response is being sent
  };
  struct FinalAnswer {
    FinalStatus status = FinalStatus::failed;
    Time retry_after{};
    groups::Limit limit = groups::Limit::none;
  };

  // ---- requests and attempts
  Request* find(Ticket ticket);
  // The request, if it has this attempt and the attempt has not ended; else null.
  Request* find_with_live_attempt(Ticket ticket, AttemptIndex index);
  Request* find_open(RequestId id);  // queued or in flight; else null
  void change_state(Request& request, RequestState to);
  [[nodiscard]] groups::Limit enter_group(Time now, RequestId id, const RequestSpec& spec);
  // What the end of an attempt means for its request. Returns the result that the decision engine is told.
  [[nodiscard]] AttemptResult apply_to_request(Time now, Request& request, const AttemptEnd& end);
  void finish_stream(Request& request, const AttemptEnd& end);
  // Completes `event` with what is known of the attempt and hands it on.
  void end_attempt(Request& request, std::size_t index, AttemptFinished event);
  void stop_attempt(Request& request, std::size_t index, std::vector<Command>& out);
  void release_threads(EngineId engine, ClassIndex class_index);
  [[nodiscard]] static bool provably_never_ran(const Request& request);
  [[nodiscard]] bool may_reject(const Request& request) const;
  void finish(Request& request, const FinalAnswer& answer, std::vector<Command>& out);
  void finish_by_group_limit(Request& request, FinalStatus status, groups::Limit limit);
  void count_final(FinalStatus status);
  [[nodiscard]] std::optional<LoadSnapshot> load_snapshot(const Request& request, EngineId engine) const;

  // ---- the parts of run()
  void observe_group_load(Time now);
  void expire_attempts(Time now);
  void enforce_group_limits();
  void fire_timers(Time now);
  void decide(Time now, std::vector<Command>& out);
  void finish_overdue(Time now, std::vector<Command>& out);
  void forget_finished();
  void exchange_group_gossip(Time now, std::vector<Command>& out);

  // ---- one for each action of the decision engine
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
  std::unique_ptr<groups::Shares>
      groups_;  // the decision engine's DispatchOrder, so it must outlive the engine
  DecisionEngine decision_engine_;
  RequestIdAllocator request_ids_;
  std::unordered_map<RequestId, Request>
      requests_;  // open, or with an end that the decision engine has yet to hear of
  std::unordered_map<Ticket, RequestId> tickets_;
  std::set<std::pair<Time, RequestId>> deadlines_;
  std::set<std::tuple<Time, RequestId, std::size_t>> attempt_deadlines_;
  std::multiset<Time> timers_;
  std::vector<Event> events_;    // for the decision engine's next call
  std::vector<Action> actions_;  // of its last call; a member to spare allocations
  // Commands that follow from what happened by itself; they precede those that the decision engine asks for.
  std::vector<Command> immediate_commands_;
  std::vector<RequestId> finish_candidates_;  // to be looked at by forget_finished()
  std::size_t open_ = 0;
  Time group_gossip_sent_at_{};
  bool collect_load_snapshots_ = false;
  std::map<EngineId, unsigned> threads_in_flight_;  // of this router, on each engine that has any
  Counters counters_;
};

}  // namespace heronwell::router
