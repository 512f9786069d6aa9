#include "router/request_registry.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <iterator>

namespace heronwell::router {
namespace {

using namespace std::chrono_literals;

// Gossip about the use of groups. Every router receives what all others send, so the interval grows with
// their number and what a router receives in a second stays bounded, whatever the size of the fleet.
constexpr Time kGroupGossipInterval = 200ms;     // between rounds, in a small fleet
constexpr unsigned kRoutersAtFullRate = 10;      // up to so many routers the interval is not stretched
constexpr std::size_t kMaxMessagesPerRound = 4;  // messages of 256 bytes at most

// A limit on what waits now may leave capacity later, so that a retry makes sense; a limit on what one query
// may use rejects the same query for ever.
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
      {false, true, false, true},  // queued: an attempt starts; final answer or disconnect
      {true, true, true,
       true},  // in_flight: last attempt ended; another starts; response begins; final answer
      {false, false, false, true},   // streaming: complete, aborted or disconnected
      {false, false, false, false},  // finished: nothing is sent after it
  }};
  return allowed[static_cast<std::size_t>(from)][static_cast<std::size_t>(to)];
}

RequestRegistry::RequestRegistry(Settings settings, std::uint64_t seed, RequestId first_id,
                                 std::unique_ptr<groups::Shares> groups)
    : settings_(std::move(settings)),
      groups_(std::move(groups)),
      decision_engine_(settings_, seed, groups_.get()),
      request_ids_(first_id) {}

// ---- what happened ------------------------------------------------------------------------------------
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
  // The decision engine never hears of a request that its group does not admit.
  const auto limit = enter_group(now, id, spec);
  if (limit != groups::Limit::none) return finish_by_group_limit(request, FinalStatus::rejected, limit);
  auto arrived = spec.request;
  arrived.request = id;
  events_.emplace_back(arrived);
}

groups::Limit RequestRegistry::enter_group(Time now, RequestId id, const RequestSpec& spec) {
  if (!groups_) return groups::Limit::none;
  observe_group_load(now);
  const auto& request = spec.request;
  return groups_->admit(id, spec.group, spec.group_created,
                        {request.class_index, request.estimated_memory_mb, request.estimated_work});
}

void RequestRegistry::client_disconnected(Ticket ticket) {
  auto* request = find(ticket);
  if (request == nullptr || request->state == RequestState::finished) return;
  // The decision engine may have closed a request whose response is being streamed, and would then cancel
  // nothing.
  if (request->state == RequestState::streaming)
    stop_attempt(*request, request->streaming_attempt, immediate_commands_);
  change_state(*request, RequestState::finished);
  ++counters_.disconnected;
  events_.emplace_back(ClientDisconnected{request->id});
  finish_candidates_.push_back(request->id);
}

void RequestRegistry::attempt_finished(Time now, AttemptEnd end) {
  observe_group_load(now);
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
    // Another attempt's response has begun to be sent, so this one can't be the final one any more.
    return end.result == AttemptResult::served ? AttemptResult::cancelled : end.result;
  }
  if (end.result != AttemptResult::served || request.state != RequestState::in_flight) return end.result;
  // Failure: the process is suspended past a deadline and then finds a response waiting in its socket;
  // delivered, it would reach a client that has given up and count as served. Guard: a response is judged by
  // when it is handled.
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
  finish_candidates_.push_back(request.id);
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
  // The response belongs to the client now and ends at the client's pace: no time-out runs any more.
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

// ---- one step -----------------------------------------------------------------------------------------
void RequestRegistry::run(Time now, std::vector<Command>& out) {
  observe_group_load(now);
  expire_attempts(now);
  enforce_group_limits();
  fire_timers(now);
  decide(now, out);
  finish_overdue(now, out);
  forget_finished();
  exchange_group_gossip(now, out);
}

void RequestRegistry::observe_group_load(Time now) {
  if (groups_) groups_->advance_time(now, decision_engine_.pool_threads());
}

// Runs after all that has already come in, so that a response that came in the same step as its time-out
// counts.
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

// The client is answered at once; the decision engine hears that the client has disconnected, since for it a
// request without a client is one that needs nothing more.
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

// The decision engine has this rule in its forwarding rules, but its interface does not offer it, and it
// never hears of the limits of groups: a request that passes one is ended here. Without the rule here, a
// request that is not idempotent and may have run would be answered as rejected, its client would repeat it,
// and its effect would happen twice. This place is the stricter one: an idempotency key does not count, so
// that such a request counts as failed here once it may have run.
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
  ++counters_.ticks;
  counters_.events += events_.size();
  actions_.clear();
  decision_engine_.handle(now, events_, actions_);
  events_.clear();
  std::ranges::move(immediate_commands_, std::back_inserter(out));
  immediate_commands_.clear();
  for (const auto& action : actions_) std::visit([&](const auto& one) { execute(now, one, out); }, action);
}

// The decision engine answers each request a little before its deadline. Failure: should it leave one open,
// its client would wait for ever and its id would never be free again. Guard: at its deadline the request is
// answered here.
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

// Failure: an id that is given to a new request while the decision engine has yet to hear of the end of its
// predecessor would end the new request. Guard: an id stays in use until no event that names it is waiting.
void RequestRegistry::forget_finished() {
  const auto has_pending_event = [this](RequestId id) {
    return std::ranges::any_of(events_, [id](const Event& event) {
      const auto* finished = std::get_if<AttemptFinished>(&event);
      const auto* disconnected = std::get_if<ClientDisconnected>(&event);
      return (finished != nullptr && finished->request == id) ||
             (disconnected != nullptr && disconnected->request == id);
    });
  };
  std::vector<RequestId> later;
  for (const auto id : finish_candidates_) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) continue;
    const auto& request = found->second;
    if (request.state != RequestState::finished || !std::ranges::all_of(request.attempts, &Attempt::ended))
      continue;
    if (has_pending_event(id)) {
      later.push_back(id);
      continue;
    }
    deadlines_.erase({request.deadline, id});
    tickets_.erase(request.ticket);
    requests_.erase(found);
  }
  finish_candidates_ = std::move(later);
}

void RequestRegistry::exchange_group_gossip(Time now, std::vector<Command>& out) {
  if (!groups_ || !settings_.gossip_enabled || settings_.router_count < 2) return;
  const auto stretch = std::max(1U, settings_.router_count / kRoutersAtFullRate);
  if (now < group_gossip_sent_at_ + kGroupGossipInterval * stretch) return;
  group_gossip_sent_at_ = now;
  for (auto& bytes : groups_->gossip_messages(kMaxMessagesPerRound))
    out.emplace_back(ForwardGossip{std::nullopt, std::move(bytes)});
}

// ---- final answers ------------------------------------------------------------------------------------
void RequestRegistry::finish_by_group_limit(Request& request, FinalStatus status, groups::Limit limit) {
  const auto retry_after = is_temporary(limit) ? settings_.max_retry_after : Time::zero();
  finish(request, {status, retry_after, limit}, immediate_commands_);
}

void RequestRegistry::finish(Request& request, const FinalAnswer& answer, std::vector<Command>& out) {
  FinishRequest command;
  command.ticket = request.ticket;
  command.status = answer.status;
  command.retry_after = answer.retry_after;
  command.limit = answer.limit;
  command.attempts = static_cast<unsigned>(request.attempts.size());
  command.provably_never_ran = provably_never_ran(request);
  command.load_belief = load_belief(request, 0);
  if (!request.attempts.empty()) {
    const auto& last = request.attempts.back();
    command.last_result = last.ended ? last.result : AttemptResult::timed_out;
  }
  change_state(request, RequestState::finished);
  out.emplace_back(command);
  finish_candidates_.push_back(request.id);
  count_final(answer.status);
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

std::optional<LoadBelief> RequestRegistry::load_belief(const Request& request, EngineId engine) const {
  if (!collect_load_beliefs_) return std::nullopt;
  LoadBelief belief;
  belief.class_view = decision_engine_.class_view(request.class_index);
  belief.pool_threads = decision_engine_.pool_threads();
  const auto found = threads_in_flight_.find(engine);
  belief.engine_threads = found == threads_in_flight_.end() ? 0 : found->second;
  belief.engines_in_use = static_cast<unsigned>(threads_in_flight_.size());
  return belief;
}

// ---- the decision engine's actions --------------------------------------------------------------------
void RequestRegistry::execute(Time now, const StartAttempt& action, std::vector<Command>& out) {
  const auto found = requests_.find(action.request);
  if (found == requests_.end()) return;
  auto& request = found->second;
  const auto index = request.attempts.size();
  const auto deadline = std::min(action.deadline, request.deadline);
  request.attempts.push_back({action.engine, now, deadline});
  auto belief = load_belief(request, action.engine);
  threads_in_flight_[action.engine] += settings_.classes[request.class_index].threads;
  // The decision engine does not hear that a response has begun to be streamed and may want another attempt
  // beside it, and the deadline may have passed while it decided. Such an attempt never leaves this process.
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
                                   request.resources, belief, action.start_before});
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
