#include "router/request_registry.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <iterator>

namespace heronwell::router {
namespace {

using namespace std::chrono_literals;

// Gossip about the engine time that resource groups use. Every router receives the messages of all others, so
// the interval between rounds grows with the number of routers. This bounds the messages that a router
// receives per second, whatever the size of the fleet.
constexpr Time kGroupGossipInterval = 200ms;  // between rounds, in a small fleet
// Up to this number of routers, the interval does not grow.
constexpr unsigned kMaxRoutersAtFullGossipRate = 10;
constexpr std::size_t kMaxGossipMessagesPerRound = 4;  // of at most 256 bytes each

// Returns whether a later retry may succeed. A limit on queued requests, waiting time or created groups may
// have capacity again later; a limit on the resources of one query always rejects the same query.
bool is_temporary(groups::Limit limit) {
  using groups::Limit;
  return limit == Limit::queued || limit == Limit::made || limit == Limit::wait;
}

bool proves_never_ran(AttemptResult result) {
  return result == AttemptResult::rejected || result == AttemptResult::not_connected ||
         result == AttemptResult::never_started;
}

bool is_open(RequestState state) { return state == RequestState::queued || state == RequestState::in_flight; }

}  // namespace

bool transition_allowed(RequestState from, RequestState to) {
  using enum RequestState;
  // Rows: from. Columns: to. Both in the order queued, in_flight, streaming, finished.
  constexpr std::array<std::array<bool, 4>, 4> allowed{{
      // queued: an attempt starts; final response or disconnect
      {false, true, false, true},
      // in_flight: last attempt ended; another starts; response begins; final response or disconnect
      {true, true, true, true},
      // streaming: response complete or aborted, or client disconnected
      {false, false, false, true},
      // finished: no transition leaves this state
      {false, false, false, false},
  }};
  return allowed[static_cast<std::size_t>(from)][static_cast<std::size_t>(to)];
}

RequestRegistry::RequestRegistry(Settings settings, std::uint64_t seed, RequestId first_id,
                                 std::unique_ptr<groups::Shares> groups)
    : settings_(std::move(settings)),
      groups_(std::move(groups)),
      decision_engine_(settings_, seed, groups_.get()),
      request_ids_(first_id) {}

// ---- events -------------------------------------------------------------------------------------------
RequestRegistry::Request* RequestRegistry::find(Ticket ticket) {
  const auto found = tickets_.find(ticket);
  return found == tickets_.end() ? nullptr : &requests_.at(found->second);
}

RequestRegistry::Request* RequestRegistry::find_with_live_attempt(Ticket ticket, AttemptIndex index) {
  auto* request = find(ticket);
  if (request == nullptr || index >= request->attempts.size() || request->attempts[index].ended)
    return nullptr;
  return request;
}

RequestRegistry::Request* RequestRegistry::find_open(RequestId id) {
  const auto found = requests_.find(id);
  return found != requests_.end() && is_open(found->second.state) ? &found->second : nullptr;
}

void RequestRegistry::change_state(Request& request, RequestState to) {
  assert(transition_allowed(request.state, to));
  request.state = to;
  if (to != RequestState::finished) return;
  --open_;
  if (groups_) groups_->request_finished(request.id);
}

void RequestRegistry::add_request(Time now, const RequestSpec& spec) {
  const auto id = request_ids_.allocate(requests_);
  auto& request = requests_[id];
  request.id = id;
  request.ticket = spec.ticket;
  request.deadline = now + spec.request.time_left;
  request.class_index = spec.request.class_index;
  tickets_.emplace(spec.ticket, id);
  deadlines_.emplace(request.deadline, id);
  ++open_;
  ++counters_.received;
  // A request that its group does not admit is never reported to the decision engine.
  const auto limit = admit_to_group(now, id, spec);
  if (limit != groups::Limit::none) return finish_by_group_limit(request, FinalStatus::rejected, limit);
  auto arrived = spec.request;
  arrived.request = id;
  events_.emplace_back(arrived);
}

groups::Limit RequestRegistry::admit_to_group(Time now, RequestId id, const RequestSpec& spec) {
  if (!groups_) return groups::Limit::none;
  update_groups(now);
  const auto& request = spec.request;
  return groups_->admit(id, spec.group, spec.may_create_group,
                        {request.class_index, request.estimated_memory_mb, request.estimated_work});
}

void RequestRegistry::client_disconnected(Ticket ticket) {
  auto* request = find(ticket);
  if (request == nullptr || request->state == RequestState::finished) return;
  // The decision engine may already have closed a request whose response is being streamed. It would then not
  // cancel the attempt, so the attempt is cancelled here.
  if (request->state == RequestState::streaming)
    stop_attempt(*request, request->streaming_attempt, immediate_commands_);
  change_state(*request, RequestState::finished);
  ++counters_.disconnected;
  events_.emplace_back(ClientDisconnected{request->id});
  forget_candidates_.push_back(request->id);
}

void RequestRegistry::attempt_finished(Time now, AttemptEnd end) {
  update_groups(now);
  auto* request = find_with_live_attempt(end.ticket, end.attempt);
  if (request == nullptr) return;
  AttemptFinished event;
  event.result = apply_to_request(now, *request, end);
  event.latency = std::max(Time::zero(), end.at - request->attempts[end.attempt].started_at);
  event.work = end.work;
  event.memory_mb = end.memory_mb;
  event.load = std::move(end.load);
  end_attempt(*request, end.attempt, std::move(event));
}

AttemptResult RequestRegistry::apply_to_request(Time now, Request& request, const AttemptEnd& end) {
  if (request.state == RequestState::streaming) {
    if (request.streaming_attempt == end.attempt) {
      finish_stream(request, end);
      return end.result;
    }
    // The response of another attempt is already being sent, so this response can't be the final one.
    return end.result == AttemptResult::served ? AttemptResult::cancelled : end.result;
  }
  if (end.result != AttemptResult::served || request.state != RequestState::in_flight) return end.result;
  // The time at which a response is handled decides whether it is in time. Otherwise, if the process was
  // suspended past the deadline and then found a response waiting in its socket, it would deliver the
  // response to a client that has already given up and count the request as served.
  if (now > request.deadline) return AttemptResult::timed_out;
  change_state(request, RequestState::finished);
  ++counters_.served;
  immediate_commands_.emplace_back(DeliverResponse{end.ticket, end.attempt});
  return end.result;
}

void RequestRegistry::finish_stream(Request& request, const AttemptEnd& end) {
  change_state(request, RequestState::finished);
  if (end.result == AttemptResult::served) {
    ++counters_.served;
    immediate_commands_.emplace_back(DeliverResponse{end.ticket, end.attempt});
  } else {
    ++counters_.streams_aborted;
    immediate_commands_.emplace_back(AbortStream{end.ticket});
  }
}

void RequestRegistry::end_attempt(Request& request, std::size_t index, AttemptFinished event) {
  auto& attempt = request.attempts[index];
  attempt.ended = true;
  attempt.result = event.result;
  attempt_deadlines_.erase({attempt.deadline, request.id, index});
  release_threads(attempt.engine, request.class_index);
  event.request = request.id;
  event.attempt = static_cast<AttemptIndex>(index);
  event.engine = attempt.engine;
  event.request_finished = request.state == RequestState::finished;
  if (groups_) groups_->attempt_ended(request.id, index, !proves_never_ran(event.result));
  if (request.state == RequestState::in_flight && std::ranges::all_of(request.attempts, &Attempt::ended)) {
    change_state(request, RequestState::queued);
    if (groups_) groups_->request_requeued(request.id);
  }
  events_.emplace_back(std::move(event));
  forget_candidates_.push_back(request.id);
}

void RequestRegistry::release_threads(EngineId engine, ClassIndex class_index) {
  const auto found = threads_in_flight_.find(engine);
  if (found == threads_in_flight_.end()) return;
  found->second -= std::min(found->second, settings_.classes[class_index].threads);
  if (found->second == 0) threads_in_flight_.erase(found);
}

void RequestRegistry::response_overflowed(Time now, Ticket ticket, AttemptIndex index) {
  auto* request = find_with_live_attempt(ticket, index);
  if (request == nullptr) return;
  const auto& attempt = request->attempts[index];
  if (request->state != RequestState::in_flight || now > request->deadline || attempt.cancel_requested)
    return stop_attempt(*request, index, immediate_commands_);
  change_state(*request, RequestState::streaming);
  request->streaming_attempt = index;
  ++counters_.streams;
  immediate_commands_.emplace_back(BeginStream{ticket, index});
  // The client now determines how long the response takes, so the attempt's timeout no longer applies.
  attempt_deadlines_.erase({attempt.deadline, request->id, index});
  for (std::size_t other = 0; other < request->attempts.size(); ++other)
    if (other != index) stop_attempt(*request, other, immediate_commands_);
}

void RequestRegistry::stop_attempt(Request& request, std::size_t index, std::vector<Command>& out) {
  auto& attempt = request.attempts[index];
  if (attempt.ended || attempt.cancel_requested) return;
  attempt.cancel_requested = true;
  ++counters_.cancellations;
  out.emplace_back(StopAttempt{request.ticket, static_cast<AttemptIndex>(index)});
}

void RequestRegistry::attempt_progressed(Ticket ticket, AttemptIndex index, ProgressKind kind,
                                         double amount) {
  const auto* request = find_with_live_attempt(ticket, index);
  if (request == nullptr) return;
  events_.emplace_back(AttemptProgress{request->id, index, request->attempts[index].engine, kind, amount});
}

void RequestRegistry::endpoints_updated(EndpointUpdate update) { events_.emplace_back(std::move(update)); }

void RequestRegistry::health_check_finished(EngineId engine, AttemptResult result, Time latency,
                                            std::vector<double> load) {
  events_.emplace_back(HealthCheckResult{engine, result, latency, std::move(load)});
}

void RequestRegistry::gossip_received(std::uint32_t from_router, std::string bytes) {
  if (groups_ && bytes.starts_with(groups::Shares::kGossipFirstByte))
    return groups_->receive_gossip(from_router, bytes);
  events_.emplace_back(GossipReceived{from_router, std::move(bytes)});
}

void RequestRegistry::begin_shutdown() { events_.emplace_back(ShutdownRequested{}); }

// ---- one step of the registry -------------------------------------------------------------------------
void RequestRegistry::run(Time now, std::vector<Command>& out) {
  update_groups(now);
  expire_attempts(now);
  enforce_group_limits();
  fire_timers(now);
  decide(now, out);
  finish_overdue(now, out);
  forget_finished();
  exchange_group_gossip(now, out);
}

void RequestRegistry::update_groups(Time now) {
  if (groups_) groups_->advance_time(now, decision_engine_.pool_threads());
}

// Called after all events received so far have been applied, so that a response that was received in the same
// step as its timeout counts.
void RequestRegistry::expire_attempts(Time now) {
  while (!attempt_deadlines_.empty() && std::get<Time>(*attempt_deadlines_.begin()) <= now) {
    const auto [deadline, id, index] = *attempt_deadlines_.begin();
    auto& request = requests_.at(id);
    stop_attempt(request, index, immediate_commands_);
    AttemptFinished event;
    event.result = AttemptResult::timed_out;
    event.latency = now - request.attempts[index].started_at;
    end_attempt(request, index, std::move(event));
  }
}

// Ends requests that have waited or run longer than their resource group allows, and responds to their
// clients at once. The decision engine receives ClientDisconnected for such a request, because all that it
// still has to do is to close the request without a response.
void RequestRegistry::enforce_group_limits() {
  if (!groups_) return;
  for (const auto& [id, limit] : groups_->take_overdue()) {
    auto& request = requests_.at(id);
    if (!is_open(request.state)) continue;
    events_.emplace_back(ClientDisconnected{id});
    finish_by_group_limit(request, may_reject(request) ? FinalStatus::rejected : FinalStatus::failed, limit);
    for (std::size_t index = 0; index < request.attempts.size(); ++index)
      stop_attempt(request, index, immediate_commands_);
  }
}

// Returns whether the request may be reported as rejected, which tells the client that repeating it is safe.
// Without this rule, a client would repeat a request that is not idempotent and may have run, and it would
// take effect twice. The decision engine has the same rule among its forwarding rules, but its interface does
// not expose it, and requests that exceed a group limit are ended here without the decision engine. The rule
// here is stricter: idempotency keys are not considered, so a request with a key that may have run is
// reported as failed.
bool RequestRegistry::may_reject(const Request& request) const {
  return settings_.classes[request.class_index].idempotency == Idempotency::idempotent ||
         provably_never_ran(request);
}

bool RequestRegistry::provably_never_ran(const Request& request) {
  return std::ranges::all_of(request.attempts, [](const Attempt& attempt) {
    return attempt.ended && proves_never_ran(attempt.result);
  });
}

void RequestRegistry::fire_timers(Time now) {
  while (!timers_.empty() && *timers_.begin() <= now) {
    timers_.erase(timers_.begin());
    events_.emplace_back(TimerFired{});
  }
}

void RequestRegistry::decide(Time now, std::vector<Command>& out) {
  ++counters_.decision_engine_calls;
  counters_.decision_engine_events += events_.size();
  actions_.clear();
  decision_engine_.handle(now, events_, actions_);
  events_.clear();
  std::ranges::move(immediate_commands_, std::back_inserter(out));
  immediate_commands_.clear();
  for (const auto& action : actions_) std::visit([&](const auto& one) { execute(now, one, out); }, action);
}

// Ends requests at their deadline as a fallback. The decision engine ends each request shortly before its
// deadline; if it left one open, the client would wait forever and the request's id would never be freed.
void RequestRegistry::finish_overdue(Time now, std::vector<Command>& out) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const auto id = deadlines_.begin()->second;
    auto& request = requests_.at(id);
    deadlines_.erase(deadlines_.begin());
    if (!is_open(request.state)) continue;
    events_.emplace_back(ClientDisconnected{id});
    finish(request, {FinalStatus::deadline_exceeded, Time::zero(), groups::Limit::none}, out);
  }
}

// Removes finished requests, which frees their ids. An id stays in use as long as an event with it waits for
// the decision engine; otherwise the event that ends the old request would end a new request with the same
// id.
void RequestRegistry::forget_finished() {
  const auto has_pending_event = [this](RequestId id) {
    return std::ranges::any_of(events_, [id](const Event& event) {
      const auto* finished = std::get_if<AttemptFinished>(&event);
      const auto* disconnected = std::get_if<ClientDisconnected>(&event);
      return (finished != nullptr && finished->request == id) ||
             (disconnected != nullptr && disconnected->request == id);
    });
  };
  std::vector<RequestId> still_pending;
  for (const auto id : forget_candidates_) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) continue;
    const auto& request = found->second;
    if (request.state != RequestState::finished || !std::ranges::all_of(request.attempts, &Attempt::ended))
      continue;
    if (has_pending_event(id)) {
      still_pending.push_back(id);
      continue;
    }
    deadlines_.erase({request.deadline, id});
    tickets_.erase(request.ticket);
    requests_.erase(found);
  }
  forget_candidates_ = std::move(still_pending);
}

void RequestRegistry::exchange_group_gossip(Time now, std::vector<Command>& out) {
  if (!groups_ || !settings_.gossip_enabled || settings_.router_count < 2) return;
  const auto interval_factor = std::max(1U, settings_.router_count / kMaxRoutersAtFullGossipRate);
  if (now < group_gossip_sent_at_ + kGroupGossipInterval * interval_factor) return;
  group_gossip_sent_at_ = now;
  for (auto& bytes : groups_->gossip_messages(kMaxGossipMessagesPerRound))
    out.emplace_back(ForwardGossip{std::nullopt, std::move(bytes)});
}

// ---- final responses ----------------------------------------------------------------------------------
void RequestRegistry::finish_by_group_limit(Request& request, FinalStatus status, groups::Limit limit) {
  const auto retry_after = is_temporary(limit) ? settings_.max_retry_after : Time::zero();
  finish(request, {status, retry_after, limit}, immediate_commands_);
}

void RequestRegistry::finish(Request& request, const FinalResult& result, std::vector<Command>& out) {
  FinishRequest command;
  command.ticket = request.ticket;
  command.status = result.status;
  command.retry_after = result.retry_after;
  command.limit = result.limit;
  command.attempts = static_cast<unsigned>(request.attempts.size());
  command.provably_never_ran = provably_never_ran(request);
  command.load_snapshot = load_snapshot(request, 0);
  if (!request.attempts.empty()) {
    const auto& last = request.attempts.back();
    command.last_result = last.ended ? last.result : AttemptResult::timed_out;
  }
  change_state(request, RequestState::finished);
  out.emplace_back(command);
  forget_candidates_.push_back(request.id);
  count_final(result.status);
}

void RequestRegistry::count_final(FinalStatus status) {
  switch (status) {
    case FinalStatus::rejected:
      ++counters_.rejected;
      return;
    case FinalStatus::failed:
      ++counters_.failed;
      return;
    case FinalStatus::deadline_exceeded:
      ++counters_.deadline_exceeded;
      return;
  }
}

std::optional<LoadSnapshot> RequestRegistry::load_snapshot(const Request& request, EngineId engine) const {
  if (!collect_load_snapshots_) return std::nullopt;
  LoadSnapshot snapshot;
  snapshot.class_view = decision_engine_.class_view(request.class_index);
  snapshot.pool_threads = decision_engine_.pool_threads();
  const auto found = threads_in_flight_.find(engine);
  snapshot.engine_threads = found == threads_in_flight_.end() ? 0 : found->second;
  snapshot.engines_in_use = static_cast<unsigned>(threads_in_flight_.size());
  return snapshot;
}

// ---- the decision engine's actions --------------------------------------------------------------------
void RequestRegistry::execute(Time now, const StartAttempt& action, std::vector<Command>& out) {
  const auto found = requests_.find(action.request);
  if (found == requests_.end()) return;
  auto& request = found->second;
  const auto index = request.attempts.size();
  const auto deadline = std::min(action.deadline, request.deadline);
  request.attempts.push_back({action.engine, now, deadline});
  auto snapshot = load_snapshot(request, action.engine);
  threads_in_flight_[action.engine] += settings_.classes[request.class_index].threads;
  // The decision engine is not notified when a response begins to be streamed, so it may start another
  // attempt for that request. Also, the deadline may have passed while the decision engine ran. In both
  // cases, the attempt is not sent to an engine.
  if (!is_open(request.state) || deadline <= now) {
    AttemptFinished event;
    event.result = AttemptResult::never_started;
    return end_attempt(request, index, std::move(event));
  }
  change_state(request, RequestState::in_flight);
  attempt_deadlines_.emplace(deadline, action.request, index);
  ++counters_.attempts_started;
  if (index > 0) ++counters_.retries;
  out.emplace_back(DispatchAttempt{request.ticket, static_cast<AttemptIndex>(index), action.engine, deadline,
                                   request.resources, snapshot, action.start_before});
}

void RequestRegistry::execute(Time, const CancelAttempt& action, std::vector<Command>& out) {
  const auto found = requests_.find(action.request);
  if (found == requests_.end() || action.attempt >= found->second.attempts.size()) return;
  auto& request = found->second;
  const bool being_sent =
      request.state == RequestState::streaming && request.streaming_attempt == action.attempt;
  if (!being_sent) stop_attempt(request, action.attempt, out);
}

void RequestRegistry::execute(Time, const Reject& action, std::vector<Command>& out) {
  if (auto* request = find_open(action.request))
    finish(*request, {FinalStatus::rejected, action.retry_after, groups::Limit::none}, out);
}

void RequestRegistry::execute(Time, const FailRequest& action, std::vector<Command>& out) {
  if (auto* request = find_open(action.request))
    finish(*request, {FinalStatus::failed, Time::zero(), groups::Limit::none}, out);
}

void RequestRegistry::execute(Time, const SetResources& action, std::vector<Command>&) {
  const auto found = requests_.find(action.request);
  if (found != requests_.end()) found->second.resources = action;
}

void RequestRegistry::execute(Time now, const SetTimer& action, std::vector<Command>&) {
  timers_.insert(now + action.delay);
}

void RequestRegistry::execute(Time, const StartHealthCheck& action, std::vector<Command>& out) {
  ++counters_.health_checks;
  out.emplace_back(RunHealthCheck{action.engine});
}

void RequestRegistry::execute(Time, const SendGossip& action, std::vector<Command>& out) {
  out.emplace_back(ForwardGossip{action.to_router, action.bytes});
}

void RequestRegistry::execute(Time, const WatchEndpoints& action, std::vector<Command>& out) {
  out.emplace_back(SetEndpointWatch{action.enabled});
}

void RequestRegistry::execute(Time, const LogDecision& action, std::vector<Command>& out) {
  out.emplace_back(WriteLogLine{action.text});
}

Time RequestRegistry::next_due() const {
  if (!events_.empty() || !immediate_commands_.empty()) return Time::zero();
  Time due = Time::max();
  if (!timers_.empty()) due = std::min(due, *timers_.begin());
  if (!attempt_deadlines_.empty()) due = std::min(due, std::get<Time>(*attempt_deadlines_.begin()));
  if (!deadlines_.empty()) due = std::min(due, deadlines_.begin()->first);
  if (groups_) due = std::min(due, groups_->next_deadline());
  return due;
}

}  // namespace heronwell::router
