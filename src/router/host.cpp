#include "router/host.hpp"

#include <algorithm>
#include <array>
#include <cassert>

namespace heronwell::router {
namespace {

template <class... F>
struct Overloaded : F... {
  using F::operator()...;
};
template <class... F>
Overloaded(F...) -> Overloaded<F...>;

// What a group has no room for now may find some later; what passes its limits for one query never will.
bool comes_back(groups::Limit limit) {
  using groups::Limit;
  return limit == Limit::queued || limit == Limit::made || limit == Limit::wait;
}

bool proves_unrun(Result result) {
  return result == Result::turned_away || result == Result::not_connected || result == Result::moot;
}

}  // namespace

bool legal(RequestState from, RequestState to) {
  using enum RequestState;
  // from: held, out, streaming, answered; to: the same
  constexpr std::array<std::array<bool, 4>, 4> table{{
      {false, true, false, true},    // held: sent; refused, failed or left
      {true, true, true, true},      // out: its attempt ended; a further one; its answer begins; final answer
      {false, false, false, true},   // streaming: to its end, or broken
      {false, false, false, false},  // answered: nothing is ever sent after it
  }};
  return table[static_cast<std::size_t>(from)][static_cast<std::size_t>(to)];
}

Host::Host(Settings settings, std::uint64_t seed, RequestId first_number,
           std::unique_ptr<groups::Shares> groups)
    : settings_(std::move(settings)),
      groups_(std::move(groups)),
      gateway_(settings_, seed, groups_.get()),
      numbers_(first_number) {}

Host::Request* Host::find(Ticket ticket, RequestId* id) {
  const auto found = tickets_.find(ticket);
  if (found == tickets_.end()) return nullptr;
  if (id != nullptr) *id = found->second;
  return &requests_.at(found->second);
}

void Host::move(Request& request, RequestState to) {
  assert(legal(request.state, to));
  request.state = to;
  if (to != RequestState::answered) return;
  --open_;
  if (groups_) groups_->settled(request.id);
}

void Host::arrive(Time now, const Ask& ask) {
  const auto id = numbers_.take(requests_);
  auto& request = requests_[id];
  request.id = id;
  request.ticket = ask.ticket;
  request.deadline = now + ask.asked.time_left;
  request.cls = ask.asked.cls;
  tickets_.emplace(ask.ticket, id);
  deadlines_.emplace(request.deadline, id);
  ++open_;
  ++counters_.taken;
  if (groups_) {
    look_at_groups(now);
    const auto limit =
        groups_->enter(id, ask.group, ask.group_made, {ask.asked.cls, ask.asked.memory_mb, ask.asked.cost});
    // The module never hears of what its group does not let in.
    if (limit != groups::Limit::none)
      return settle(id, request, Ending::refused,
                    comes_back(limit) ? settings_.max_retry_after : Time::zero(), early_, limit);
  }
  auto asked = ask.asked;
  asked.request = id;
  events_.emplace_back(asked);
}

void Host::client_left(Ticket ticket) {
  RequestId id = 0;
  auto* request = find(ticket, &id);
  if (request == nullptr || request->state == RequestState::answered) return;
  // The module may have closed a request whose answer has begun; nobody reads on, so its work ends here.
  if (request->state == RequestState::streaming) stop_attempt(*request, request->streaming, early_);
  move(*request, RequestState::answered);
  ++counters_.left;
  events_.emplace_back(ClientLeft{id});
  maybe_over_.push_back(id);
}

void Host::end_attempt(RequestId id, Request& request, std::size_t n, Outcome outcome) {
  auto& attempt = request.attempts[n];
  attempt.ended = true;
  if (const auto out = out_.find(attempt.engine); out != out_.end()) {
    out->second -= std::min(out->second, settings_.classes[request.cls].threads);
    if (out->second == 0) out_.erase(out);
  }
  attempt.result = outcome.result;
  untils_.erase({attempt.until, id, n});
  outcome.request = id;
  outcome.attempt = static_cast<AttemptIndex>(n);
  outcome.engine = attempt.engine;
  outcome.closed = request.state == RequestState::answered;
  if (groups_) groups_->ended(id, n, !proves_unrun(outcome.result));
  if (request.state == RequestState::out && std::ranges::all_of(request.attempts, &Attempt::ended)) {
    move(request, RequestState::held);
    if (groups_) groups_->waits(id);
  }
  events_.emplace_back(std::move(outcome));
  maybe_over_.push_back(id);
}

void Host::look_at_groups(Time now) {
  if (groups_) groups_->at(now, gateway_.pool());
}

void Host::attempt_ended(Time now, AttemptEnd end) {
  look_at_groups(now);
  RequestId id = 0;
  auto* request = find(end.ticket, &id);
  if (request == nullptr || end.attempt >= request->attempts.size() || request->attempts[end.attempt].ended)
    return;
  const bool streams = request->state == RequestState::streaming;
  auto result = end.result;
  if (streams && request->streaming == end.attempt) {
    move(*request, RequestState::answered);
    if (result == Result::served) {
      ++counters_.served;
      early_.emplace_back(Deliver{end.ticket, end.attempt});
    } else {
      ++counters_.broken;
      early_.emplace_back(BreakStream{end.ticket});
    }
  } else if (result == Result::served && streams) {
    result = Result::called_off;  // another attempt's answer has begun: this one is of no use
  } else if (result == Result::served && request->state == RequestState::out) {
    if (now > request->deadline) {
      result = Result::timed_out;  // as this process had no turn: an answer after the deadline is none
    } else {
      move(*request, RequestState::answered);
      ++counters_.served;
      early_.emplace_back(Deliver{end.ticket, end.attempt});
    }
  }
  Outcome outcome;
  outcome.result = result;
  outcome.latency = std::max(Time::zero(), end.at - request->attempts[end.attempt].sent);
  outcome.work = end.work;
  outcome.memory_mb = end.memory_mb;
  outcome.load = std::move(end.load);
  end_attempt(id, *request, end.attempt, std::move(outcome));
}

void Host::answer_outgrown(Time now, Ticket ticket, AttemptIndex n) {
  auto* request = find(ticket);
  if (request == nullptr || n >= request->attempts.size() || request->attempts[n].ended) return;
  if (request->state != RequestState::out || now > request->deadline || request->attempts[n].stopped) {
    stop_attempt(*request, n, early_);
    return;
  }
  move(*request, RequestState::streaming);
  request->streaming = n;
  ++counters_.streams;
  early_.emplace_back(BeginStream{ticket, n});
  RequestId id = tickets_.at(ticket);
  untils_.erase({request->attempts[n].until, id, n});  // it is the client's now: no time-out runs
  for (std::size_t other = 0; other < request->attempts.size(); ++other)
    if (other != n) stop_attempt(*request, other, early_);
}

void Host::stop_attempt(Request& request, std::size_t n, std::vector<Command>& out) {
  auto& attempt = request.attempts[n];
  if (attempt.ended || attempt.stopped) return;
  attempt.stopped = true;
  ++counters_.stops;
  out.emplace_back(StopAttempt{request.ticket, static_cast<AttemptIndex>(n)});
}

void Host::note(Ticket ticket, AttemptIndex attempt, NoteKind kind, double amount) {
  RequestId id = 0;
  auto* request = find(ticket, &id);
  if (request == nullptr || attempt >= request->attempts.size() || request->attempts[attempt].ended) return;
  events_.emplace_back(Note{id, attempt, request->attempts[attempt].engine, kind, amount});
}

void Host::closing() { events_.emplace_back(Closing{}); }
void Host::listing(Listing list) { events_.emplace_back(std::move(list)); }
void Host::probed(EngineId engine, Result result, Time latency, std::vector<double> load) {
  events_.emplace_back(ProbeResult{engine, result, latency, std::move(load)});
}
void Host::peer(std::uint32_t from, std::string bytes) {
  if (groups_ && bytes.starts_with(groups::Shares::kMark)) return groups_->hear(from, bytes);
  events_.emplace_back(PeerMessage{from, std::move(bytes)});
}

// Attempts whose time is over end here: after what already came in, so that an answer that came in the same
// tick as its time-out counts.
void Host::expire(Time now) {
  while (!untils_.empty() && std::get<0>(*untils_.begin()) <= now) {
    const auto [until, id, n] = *untils_.begin();
    auto& request = requests_.at(id);
    stop_attempt(request, n, early_);
    Outcome outcome;
    outcome.result = Result::timed_out;
    outcome.latency = now - request.attempts[n].sent;
    end_attempt(id, request, n, std::move(outcome));
  }
}

void Host::run(Time now, std::vector<Command>& out) {
  look_at_groups(now);
  expire(now);
  enforce_limits();
  while (!wakes_.empty() && *wakes_.begin() <= now) {
    wakes_.erase(wakes_.begin());
    events_.emplace_back(Wake{});
  }
  ++counters_.ticks;
  counters_.events += events_.size();
  actions_.clear();
  gateway_.handle(now, events_, actions_);
  events_.clear();
  for (auto& command : early_) out.push_back(std::move(command));
  early_.clear();
  for (const auto& action : actions_) carry_out(now, action, out);
  // The module answers each request before its deadline. Should one be left, its client is told all the same.
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const auto id = deadlines_.begin()->second;
    auto& request = requests_.at(id);
    deadlines_.erase(deadlines_.begin());
    if (request.state != RequestState::held && request.state != RequestState::out) continue;
    events_.emplace_back(ClientLeft{id});
    settle(id, request, Ending::overdue, Time::zero(), out);
  }
  forget_ended();
  tell_groups(now, out);
}

bool Host::may_refuse(const Request& request) const {
  return settings_.classes[request.cls].effect == Effect::safe ||
         std::ranges::all_of(request.attempts,
                             [](const Attempt& a) { return a.ended && proves_unrun(a.result); });
}

// Requests that wait or run longer than their group lets them: the client hears at once, the module that it
// has left.
void Host::enforce_limits() {
  if (!groups_) return;
  for (const auto& [id, limit] : groups_->over()) {
    auto& request = requests_.at(id);
    if (request.state != RequestState::held && request.state != RequestState::out) continue;
    const auto ending = may_refuse(request) ? Ending::refused : Ending::failed;
    events_.emplace_back(ClientLeft{id});
    settle(id, request, ending, comes_back(limit) ? settings_.max_retry_after : Time::zero(), early_, limit);
    for (std::size_t n = 0; n < request.attempts.size(); ++n) stop_attempt(request, n, early_);
  }
}

// Bounded in bytes: the more gateways there are, the rarer.
void Host::tell_groups(Time now, std::vector<Command>& out) {
  using namespace std::chrono_literals;
  constexpr Time kPace = 200ms;
  constexpr unsigned kOften = 10;  // gateways up to which each tells at that pace
  constexpr std::size_t kMessages = 4;
  if (!groups_ || !settings_.may_tell || settings_.gateways < 2) return;
  if (now < groups_told_ + kPace * std::max(1U, settings_.gateways / kOften)) return;
  groups_told_ = now;
  for (auto& text : groups_->tell(kMessages)) out.emplace_back(TellPeers{std::nullopt, std::move(text)});
}

std::optional<Knew> Host::knew(const Request& request, EngineId engine) const {
  if (!explain_) return std::nullopt;
  Knew knew;
  knew.cls = gateway_.view(request.cls);
  knew.pool = gateway_.pool();
  const auto out = out_.find(engine);
  knew.engine = out == out_.end() ? 0 : out->second;
  knew.engines_out = static_cast<unsigned>(out_.size());
  return knew;
}

void Host::settle(RequestId id, Request& request, Ending ending, Time pause, std::vector<Command>& out,
                  groups::Limit limit) {
  Answer answer{
      request.ticket, ending,           pause, Result::moot, static_cast<unsigned>(request.attempts.size()),
      true,           knew(request, 0), limit};
  for (const auto& attempt : request.attempts) {
    answer.last = attempt.ended ? attempt.result : Result::timed_out;
    answer.proven_unrun = answer.proven_unrun && attempt.ended && proves_unrun(attempt.result);
  }
  move(request, RequestState::answered);
  out.emplace_back(answer);
  maybe_over_.push_back(id);
  ++(ending == Ending::refused  ? counters_.refused
     : ending == Ending::failed ? counters_.failed
                                : counters_.overdue);
}

void Host::send(Time now, const Send& send, std::vector<Command>& out) {
  const auto found = requests_.find(send.request);
  if (found == requests_.end()) return;
  auto& request = found->second;
  const auto n = request.attempts.size();
  const auto until = std::min(send.until, request.deadline);
  request.attempts.push_back({send.engine, now, until});
  auto before = knew(request, send.engine);
  out_[send.engine] += settings_.classes[request.cls].threads;
  // Not transmitted: the request is over or bound to a stream, or its time has passed.
  if (request.state == RequestState::answered || request.state == RequestState::streaming || until <= now) {
    Outcome outcome;
    outcome.result = Result::moot;
    return end_attempt(send.request, request, n, std::move(outcome));
  }
  move(request, RequestState::out);
  untils_.emplace(until, send.request, n);
  ++counters_.sends;
  if (n > 0) ++counters_.further;
  out.emplace_back(StartAttempt{request.ticket, static_cast<AttemptIndex>(n), send.engine, until,
                                request.terms, std::move(before), send.by});
}

void Host::carry_out(Time now, const Action& action, std::vector<Command>& out) {
  const auto open = [this](RequestId id) -> Request* {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return nullptr;
    const auto state = found->second.state;
    return state == RequestState::held || state == RequestState::out ? &found->second : nullptr;
  };
  std::visit(Overloaded{
                 [&](const Send& a) { send(now, a, out); },
                 [&](const CallOff& a) {
                   const auto found = requests_.find(a.request);
                   if (found == requests_.end() || a.attempt >= found->second.attempts.size()) return;
                   auto& request = found->second;
                   if (request.state == RequestState::streaming && request.streaming == a.attempt) return;
                   stop_attempt(request, a.attempt, out);
                 },
                 [&](const Refuse& a) {
                   if (auto* request = open(a.request))
                     settle(a.request, *request, Ending::refused, a.pause, out);
                 },
                 [&](const Fail& a) {
                   if (auto* request = open(a.request))
                     settle(a.request, *request, Ending::failed, Time::zero(), out);
                 },
                 [&](const Terms& a) {
                   const auto found = requests_.find(a.request);
                   if (found != requests_.end()) found->second.terms = a;
                 },
                 [&](const WakeAfter& a) { wakes_.insert(now + a.delay); },
                 [&](const Probe& a) {
                   ++counters_.probes;
                   out.emplace_back(ProbeEngine{a.engine});
                 },
                 [&](const Tell& a) {
                   out.emplace_back(TellPeers{a.to, a.bytes});
                 },
                 [&](const Observe& a) { out.emplace_back(ObserveList{a.on}); },
                 [&](const Trace& a) { out.emplace_back(TraceLine{a.text}); },
             },
             action);
}

// A number is free again once the request is answered and the module was told of the end of each attempt.
void Host::forget_ended() {
  const auto pending = [this](RequestId id) {
    return std::ranges::any_of(events_, [id](const Event& event) {
      const auto* outcome = std::get_if<Outcome>(&event);
      const auto* left = std::get_if<ClientLeft>(&event);
      return (outcome != nullptr && outcome->request == id) || (left != nullptr && left->request == id);
    });
  };
  std::vector<RequestId> later;
  for (const auto id : maybe_over_) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) continue;
    const auto& request = found->second;
    if (request.state != RequestState::answered || !std::ranges::all_of(request.attempts, &Attempt::ended))
      continue;
    if (pending(id)) {
      later.push_back(id);
      continue;
    }
    deadlines_.erase({request.deadline, id});
    tickets_.erase(request.ticket);
    requests_.erase(found);
  }
  maybe_over_ = std::move(later);
}

Time Host::next_due() const {
  if (!events_.empty() || !early_.empty()) return Time::zero();
  Time due = Time::max();
  if (!wakes_.empty()) due = std::min(due, *wakes_.begin());
  if (!untils_.empty()) due = std::min(due, std::get<0>(*untils_.begin()));
  if (!deadlines_.empty()) due = std::min(due, deadlines_.begin()->first);
  if (groups_) due = std::min(due, groups_->next_due());
  return due;
}

}  // namespace heronwell::router
