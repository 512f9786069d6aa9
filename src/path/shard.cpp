#include "path/shard.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <tuple>

#include "calls/calls.hpp"
#include "path/call.hpp"
#include "path/client.hpp"
#include "path/engine.hpp"
#include "path/frame_client.hpp"
#include "path/tracing.hpp"

namespace heronwell::path {
namespace {

using namespace std::chrono_literals;
constexpr auto kTick = 50ms;
constexpr unsigned kTicksASweep = 5;     // between looks at the clocks of all connections
constexpr Time kAbsence = 200ms;         // without a turn for so long, this thread was itself away
constexpr Time kBacklog = 200ms;         // after that, until what came meanwhile is read
constexpr std::size_t kMostLeft = 4096;  // ids of left requests remembered
constexpr unsigned kTurnsToRead = 2;     // of the thread's queue, until all sockets were looked at

double number_in(std::string_view text) {
  double value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

// Calls `each` with the key and value of "key=value key=value".
void pairs(std::string_view text, auto each) {
  while (!text.empty()) {
    const auto space = text.find(' ');
    const auto word = text.substr(0, space);
    const auto equals = word.find('=');
    if (equals != std::string_view::npos) each(word.substr(0, equals), word.substr(equals + 1));
    if (space == std::string_view::npos) return;
    text.remove_prefix(space + 1);
  }
}

std::string_view load_field_name(LoadField field) {
  constexpr std::array<std::string_view, 8> names{"inflight", "queue",  "util",         "latency_ms",
                                                  "served",   "failed", "memory_share", "disk_share"};
  const auto at = static_cast<std::size_t>(field);
  return at < names.size() ? names[at] : "";
}

}  // namespace

Shard::Shard(World& world, const Config& config, Metrics& metrics, const router::Front& front,
             trace::Tracer& tracer, unsigned index, unsigned shards)
    : world_(world),
      config_(config),
      metrics_(metrics),
      front_(front),
      tracer_(tracer),
      index_(index),
      pool_cap_(std::max<std::size_t>(1, config.engines.connections / shards)),
      tenants_(router::tenant_names(config.module)),
      turn_(now()) {
  if (config.platform) {
    removals_cap_ = config.platform->removals;
    ending_cap_ = config.platform->ending;
    held_cap_ = config.platform->held_bytes;
  }
  if (config.groups) selectors_ = std::make_shared<const groups::Selectors>(config.groups->selectors);
  sweeper_ = world_.timer([this] { tick(); });
  sweeper_->set(turn_ + kTick);
}

Shard::~Shard() {
  // Connections first: their handlers refer to the maps below.
  for (const auto& [number, client] : std::map(clients_)) client->abandon();
  attempts_.clear();
  for (auto& [ticket, exchange] : exchanges_) exchange->asker = nullptr;  // which holds its exchanges in turn
  exchanges_.clear();
  for (auto& [id, pool] : pools_)
    for (const auto& [number, connection] : std::map(pool.all)) connection->leave();
  for (const auto& [number, cancel] : std::map(cancels_)) cancel->close();
  for (const auto& [number, removal] : std::map(removals_)) removal->abandon();
}

void Shard::serve(WirePtr wire, std::string address) {
  if (config_.platform && client_room() && clients_.size() >= config_.listen.connections) end_idle_client();
  const auto number = this->number();
  std::shared_ptr<ClientSide> client;
  if (config_.platform)
    client = std::make_shared<FrameClient>(*this, number, std::move(wire));
  else
    client = std::make_shared<ClientConnection>(*this, number, std::move(wire), std::move(address));
  clients_.emplace(number, client);
  client->start();
}

// At the cap a connection that is idle goes, in order, which takes it a moment.
bool Shard::end_idle_client() {
  std::optional<ClientSide::Idle> least;
  std::shared_ptr<ClientSide> first;
  for (const auto& [number, client] : clients_)
    if (const auto idle = client->idle(); idle && !idle->ending && (!least || *idle < *least))
      std::tie(least, first) = std::tuple(idle, client);
  if (first) first->make_room();
  return first != nullptr;
}

// Where many come at once, those that are ending go too, the one that came first before the others.
bool Shard::drop_ending_client() {
  const auto ending = [](const auto& one) {
    const auto idle = one.second->idle();
    return idle && idle->ending;
  };
  const auto found = std::ranges::find_if(clients_, ending);
  if (found == clients_.end()) return false;
  const auto client = found->second;
  client->make_room();
  return true;
}

void Shard::make_client_room() {
  if (!drop_ending_client()) end_idle_client();
}

bool Shard::client_room() {
  const auto full = [this] { return clients_.size() >= config_.listen.connections + ending_cap_; };
  if (full()) make_client_room();
  return !full();
}

void Shard::close_down() {
  closing_ = true;
  for (const auto& [number, client] : std::map(clients_)) client->stop();
}

Shard::Books Shard::books() const {
  Books books{exchanges_.size(), attempts_.size(), 0, cancels_.size() + removals_.size(), turn_,
              suspect_from_,     suspect_until_};
  for (const auto& [id, pool] : pools_) books.idle += pool.idle.size();
  return books;
}

void Shard::tick() {
  (void)unread_since();
  if (++ticks_ % kTicksASweep == 0) sweep();
  sweeper_->set(now() + kTick);
}

void Shard::sweep() {
  const auto now = this->now();
  for (const auto& [number, client] : std::map(clients_)) {
    client->sweep(now);
    if (stopping_ && (closing_ || !config_.platform)) client->stop();
  }
  for (auto& [id, pool] : pools_)
    for (const auto& connection : std::vector(pool.idle))
      if (now > connection->idle_since() + config_.engines.idle_close) connection->leave();
  relieved();
  std::erase_if(left_unsafe_, [now](const auto& one) { return one.second <= now; });
  std::erase_if(pools_, [](const auto& one) { return !one.second.fit && one.second.all.empty(); });
}

Time Shard::unread_since() {
  const auto now = this->now();
  const auto last = std::exchange(turn_, now);
  if (now > last + kAbsence && now > suspect_until_) suspect_from_ = last;
  if (now > last + kAbsence) suspect_until_ = now + kBacklog;
  return now < suspect_until_ ? suspect_from_ : now;
}

void Shard::stop_serving() { stopping_ = true; }

bool Shard::ready() const {
  return !stopping_ && std::ranges::any_of(pools_, [](const auto& one) { return one.second.fit; });
}

// ---- requests ------------------------------------------------------------------------------------------
void Shard::take(const ExchangePtr& exchange, router::Ask ask) {
  exchange->cls = ask.asked.cls;
  exchange->held_since = now();
  exchange->tenant = ask.asked.tenant;
  exchange->deadline = exchange->began + ask.asked.time_left;
  ask.asked.time_left = std::max(Time::zero(), exchange->deadline - now());
  if (!choose_group(exchange, ask)) return;
  const bool turned_off = stopping_ && exchange->client;  // what was taken before goes on to its end
  if (turned_off || holds_too_much() ||
      exchanges_.size() >= std::max<std::size_t>(1, config_.module.max_open / config_.threads)) {
    router::Problem problem;
    problem.status = 503;
    problem.outcome = "refused";
    problem.detail = turned_off         ? "this router is stopping"
                     : holds_too_much() ? "no memory is left for another request"
                                        : "allow.max_open requests are open here";
    problem.pause = config_.module.max_retry_after;
    metrics_.classes[exchange->cls].limited->Increment();
    finished(exchange, {'L', '-'}, problem.status);
    return tell_problem(exchange, problem);
  }
  exchange->ticket = static_cast<Ticket>(index_) << 56 | ++tickets_;
  ask.ticket = exchange->ticket;
  exchanges_.emplace(exchange->ticket, exchange);
  if (!exchange->id.empty()) ids_.insert(exchange->id);
  metrics_.open->Increment();
  tell(Took{ask});
}

// False: no group takes it, and its client was told.
bool Shard::choose_group(const ExchangePtr& exchange, router::Ask& ask) {
  if (!selectors_) return true;
  static const Origin kNone;
  const auto& tenant = exchange->tenant < tenants_.size() ? tenants_[exchange->tenant] : std::string();
  auto chosen = selectors_->choose(described(exchange->origin ? *exchange->origin : kNone,
                                             config_.module.classes[exchange->cls].name, tenant,
                                             exchange->statement->text));
  if (!chosen.group.empty()) {
    ask.group = exchange->group = std::move(chosen.group);
    ask.group_made = chosen.made;
    return true;
  }
  router::Problem problem;
  problem.status = 403;
  problem.detail = std::move(chosen.why);
  metrics_.rejected->Increment();
  finished(exchange, {'B', '-'}, problem.status);
  tell_problem(exchange, problem);
  return false;
}

void Shard::left(const ExchangePtr& exchange) {
  metrics_.classes[exchange->cls].left->Increment();
  finished(exchange, {'C', exchange->streaming() ? 'D' : exchange->attempts > 0 ? 'A' : 'H'}, 0);
  if (exchange->attempts > 0 && config_.module.classes[exchange->cls].effect != Effect::safe &&
      !exchange->id.empty() && left_unsafe_.size() < kMostLeft)
    left_unsafe_[exchange->id] = exchange->deadline;
  tell(Left{exchange->ticket});
  forget(exchange);
}

void Shard::forget(const ExchangePtr& exchange) {
  if (exchanges_.erase(exchange->ticket) == 0) return;
  metrics_.open->Decrement();
  if (exchange->id.empty()) return;
  ids_.erase(exchange->id);
  if (const auto found = giving_up_.find(exchange->id); found != giving_up_.end())
    if (const auto waiting = std::exchange(found->second.waiting, nullptr))
      end_attempt(waiting, Result::moot);
}

ExchangePtr Shard::exchange(Ticket ticket) {
  const auto found = exchanges_.find(ticket);
  return found == exchanges_.end() ? nullptr : found->second;
}

void Shard::finished(const ExchangePtr& exchange, router::Termination end, int status) {
  trace_end(*this, *exchange, end, status);
  const auto took = now() - exchange->began;
  const bool good = end.who == 'S' || end.who == 'E';
  if (good) metrics_.classes[exchange->cls].seconds->Observe(std::chrono::duration<double>(took).count());
  if (config_.log.requests == "none" || (config_.log.requests == "problems" && good)) return;
  const auto& cls = config_.module.classes[exchange->cls];
  std::string group;
  if (!exchange->group.empty()) group = ",\"group\":" + quoted(exchange->group);
  if (exchange->limit != groups::Limit::none)
    group += fmt::format(",\"limit\":\"{}\"", groups::name_of(exchange->limit));
  world_.log(
      Level::info,
      fmt::format(
          R"({{"event":"request","gateway":{},"ticket":{},"class":{},"end":"{}","status":{},"ms":{:.3f},"attempts":{},"engine":{}{}}})",
          quoted(config_.name), exchange->ticket, quoted(exchange->ticket == 0 ? "" : cls.name), end.text(),
          status, milliseconds(took), exchange->attempts, exchange->engine, group));
}

// ---- attempts ------------------------------------------------------------------------------------------
EnginePool* Shard::pool(EngineId id) {
  const auto found = pools_.find(id);
  return found == pools_.end() ? nullptr : &found->second;
}

void Shard::carry_out(std::vector<Order>& orders) {
  for (auto& order : orders) {
    if (const auto* fleet = std::get_if<std::shared_ptr<const Fleet>>(&order)) {
      update(**fleet);
      continue;
    }
    if (const auto* selectors = std::get_if<SelectorsPtr>(&order)) {
      selectors_ = *selectors;
      continue;
    }
    std::visit(
        [this](const auto& command) {
          if constexpr (requires { on(command); }) on(command);
        },
        std::get<router::Command>(order));
  }
}

void Shard::update(const Fleet& fleet) {
  for (const auto& [id, known] : fleet) {
    auto& pool = pools_[id];
    config::Address address{known.entry.host, known.entry.port};
    const bool fit = known.entry.state == EngineState::ready;
    const bool moved = pool.address != address;
    pool.id = id;
    pool.fit = fit;
    pool.address = std::move(address);
    if (fit && !moved) continue;
    for (const auto& connection : std::vector(pool.idle)) connection->leave();
  }
  for (auto& [id, pool] : pools_)
    if (!fleet.contains(id)) pool.fit = false;
}

void Shard::on(const router::StartAttempt& order) {
  auto attempt = std::make_shared<Attempt>();
  attempt->ticket = order.ticket;
  attempt->number = order.attempt;
  attempt->engine = order.engine;
  attempt->until = order.until;
  attempt->by = order.by;
  attempt->exchange = exchange(order.ticket);
  if (!attempt->exchange)
    return end_attempt(attempt, sql::Seen::not_written);  // its client has left just now
  ++attempt->exchange->attempts;
  trace_choice(*this, *attempt->exchange, order.knew, order.engine);
  attempt->exchange->engine = order.engine;
  attempt->statement = attempt->exchange->statement;
  const auto& engines = config_.engines;
  if (order.terms && order.terms->memory_mb > 0 && config_.module.grants && !engines.memory_setting.empty())
    attempt->settings.emplace_back(engines.memory_setting,
                                   fmt::format("{:.0f}MB", std::max(1.0, order.terms->memory_mb)));
  if (order.terms && config_.module.priorities && !engines.priority_setting.empty())
    attempt->settings.emplace_back(engines.priority_setting, std::to_string(order.terms->priority));
  if (attempt->exchange->trail && config_.trace.comment) {  // as sqlcommenter has it
    auto marked = *attempt->statement;
    const auto& trail = *attempt->exchange->trail;
    marked.text += " /*traceparent='" +
                   trace::traceparent(trail.context.trace, attempt->exchange->span, trail.context.sampled) +
                   "'*/";
    attempt->statement = std::make_shared<const sql::Statement>(std::move(marked));
  }
  if (attempt->exchange->most_bytes > 0) attempt->content.table = std::make_shared<sql::Table>();
  if (order.terms && config_.module.grants) attempt->memory_limit_mb = order.terms->memory_mb;
  attempts_.emplace(std::pair(order.ticket, order.attempt), attempt);
  if (const auto found = giving_up_.find(attempt->exchange->id); found != giving_up_.end()) {
    found->second.waiting = attempt;  // never two attempts out
    return;
  }
  launch(attempt);
}

// Its client may have left, and its end lie here unread, as this thread was busy or away: that is read first.
bool Shard::reads_first(const AttemptPtr& attempt) {
  const auto& exchange = attempt->exchange;
  if (!exchange || !exchange->asker || attempt->read_first || !exchange->asker->unread()) return false;
  attempt->read_first = true;
  later_.push_back(attempt);
  later(attempt, kTurnsToRead);
  return true;
}

void Shard::on(const router::ProbeEngine& order) {
  auto attempt = std::make_shared<Attempt>();
  attempt->engine = order.engine;
  attempt->until = now() + config_.engines.probe_timeout;
  attempt->statement =
      std::make_shared<const sql::Statement>(sql::Statement{config_.engines.probe_statement});
  launch(attempt);
  if (attempt->state == Try::ended) return;
  attempt->limit = world_.timer([this, weak = std::weak_ptr(attempt)] {
    const auto late = weak.lock();
    if (!late || late->state == Try::ended) return;
    end_attempt(late, sql::Seen::until_passed);
    if (auto connection = late->connection.lock()) return connection->stop(late);
    world_.call_off(late);
  });
  attempt->limit->set(attempt->until);
}

void Shard::later(const AttemptPtr& attempt, unsigned turns) {
  world_.defer([this, attempt, turns] {
    if (turns > 1) return later(attempt, turns - 1);
    if (std::erase(later_, attempt) > 0) launch(attempt);
  });
}

// A connection that waits for work is taken, the newest first; one found closed before a byte was written
// costs the attempt nothing.
void Shard::launch(const AttemptPtr& attempt) {
  if (attempt->sent > Time::zero()) return;  // by a connection that came up meanwhile
  if (reads_first(attempt)) return;
  attempt->read_first = false;
  attempt->started = now();
  auto* pool = this->pool(attempt->engine);
  // The engine may have been drained since it was chosen, and the time may be over: this thread may have been
  // away between the choice and now.
  if (pool == nullptr || !pool->fit || !may_begin(*attempt))
    return end_attempt(attempt, sql::Seen::not_written);
  if (world_.carry(attempt)) return;
  attempt->address = pool->address;
  while (true) {
    const auto rested = std::ranges::find_if(pool->idle.rbegin(), pool->idle.rend(), [&](const auto& one) {
      return one->rested_at() <= attempt->started;
    });
    if (rested == pool->idle.rend()) break;
    const auto connection = *rested;
    pool->idle.erase(std::next(rested).base());
    if (connection->send(attempt)) return;
    metrics_.redials->Increment();
  }
  if (config_.platform && !make_room()) return starve(attempt);
  if (!config_.platform && pool->all.size() >= pool_cap_) return end_attempt(attempt, sql::Seen::pool_full);
  connect(*pool, attempt);
}

std::size_t Shard::linked() const {
  std::size_t all = 0;
  for (const auto& [id, pool] : pools_) all += pool.all.size();
  return all;
}

bool Shard::make_room() {
  if (linked() < pool_cap_) return true;
  std::shared_ptr<EngineSide> longest;
  for (const auto& [id, pool] : pools_)
    for (const auto& connection : pool.idle)
      if (!longest || connection->idle_since() < longest->idle_since()) longest = connection;
  if (!longest) return false;
  longest->leave();
  return true;
}

void Shard::starve(const AttemptPtr& attempt) {
  metrics_.starved->Increment();
  starved_.push_back(attempt);
}

void Shard::relieved() {
  if (starved_.empty() || std::exchange(relieving_, true)) return;
  world_.defer([this] {
    relieving_ = false;
    auto waiting = std::exchange(starved_, {});
    while (!waiting.empty()) {
      const auto attempt = std::move(waiting.front());
      waiting.pop_front();
      if (attempt->sent > Time::zero())
        ask_again(attempt);
      else
        launch(attempt);
      if (starved_.empty()) continue;  // no room again: the others keep their turn behind it
      starved_.insert(starved_.end(), waiting.begin(), waiting.end());
      break;
    }
  });
}

// An attempt that waits here, for a connection or for an earlier one to be given up.
bool Shard::give_up_waiting(const AttemptPtr& attempt) {
  const auto found = attempt->exchange ? giving_up_.find(attempt->exchange->id) : giving_up_.end();
  const bool held = found != giving_up_.end() && found->second.waiting == attempt;
  if (!held && std::erase(starved_, attempt) == 0 && std::erase(later_, attempt) == 0) return false;
  if (held) found->second.waiting = nullptr;
  if (attempt->sent > Time::zero())
    remove(attempt, calls::judge(calls::Seen::stopped));
  else
    end_attempt(attempt, calls::judge(calls::Seen::not_written));
  return true;
}

void Shard::connect(EnginePool& pool, const AttemptPtr& attempt) {
  const auto number = this->number();
  std::shared_ptr<EngineSide> connection;
  if (config_.platform)
    connection = std::make_shared<CallConnection>(*this, pool, number);
  else
    connection = std::make_shared<EngineConnection>(*this, pool, number);
  pool.all.emplace(number, connection);
  connection->dial(attempt);
}

void Shard::dial_beside(const AttemptPtr& attempt) {
  auto* pool = this->pool(attempt->engine);
  if (pool != nullptr && pool->fit && may_begin(*attempt) && linked() < pool_cap_) connect(*pool, attempt);
}

void Shard::ask_again(const AttemptPtr& attempt) {
  // An engine that is drained or gone may be asked on: nothing new is sent to it.
  auto* pool = this->pool(attempt->engine);
  if (pool == nullptr)  // gone from the list, and no connection was left to it
    return remove(attempt, calls::judge(calls::Seen::broken));
  if (!make_room()) return starve(attempt);
  connect(*pool, attempt);
}

bool Shard::removal_room() const {
  const auto dialled = [](const auto& one) { return one.second->dialled(); };
  return static_cast<std::size_t>(std::ranges::count_if(removals_, dialled)) < removals_cap_;
}

void Shard::remove(const AttemptPtr& attempt, Result result) {
  if (!attempt->exchange) return end_attempt(attempt, result);  // a probe leaves nothing running
  ++giving_up_[attempt->exchange->id].attempts;
  const auto number = this->number();
  const auto removal = std::make_shared<CallRemoval>(*this, number, attempt, result);
  removals_.emplace(number, removal);
  removal->dial();
}

void Shard::removed(std::uint64_t number, const AttemptPtr& attempt, Result result) {
  removals_.erase(number);
  end_attempt(attempt, result);
  const auto found = giving_up_.find(attempt->exchange->id);
  if (found == giving_up_.end() || --found->second.attempts > 0) return;
  const auto waiting = std::move(found->second.waiting);
  giving_up_.erase(found);
  if (waiting) launch(waiting);
}

void Shard::on(const router::StopAttempt& order) {
  const auto found = attempts_.find({order.ticket, order.attempt});
  if (found == attempts_.end()) return;
  const auto attempt = found->second;
  if (give_up_waiting(attempt)) return;
  if (!step(attempt->state, TryEvent::stop)) return;
  // Not a byte of it went out, and whichever connection comes up for it finds it over.
  if (config_.platform && attempt->sent == Time::zero())
    return end_attempt(attempt, calls::judge(calls::Seen::not_written));
  if (auto connection = attempt->connection.lock()) return connection->stop(attempt);
  world_.call_off(attempt);
}

void Shard::request_cancel(const config::Address& address, std::uint32_t process, std::uint32_t secret) {
  const auto number = this->number();
  const auto cancel = std::make_shared<CancelRequest>(*this, number, process, secret);
  cancels_.emplace(number, cancel);
  cancel->dial(address);
}

void Shard::end_attempt(const AttemptPtr& attempt, sql::Seen seen, std::string_view code, bool cancelled) {
  const bool called_off = attempt->state == Try::called_off;
  if (attempt->state == Try::ended || !step(attempt->state, TryEvent::end)) return;
  const auto verdict = sql::judge(seen, code, config_.engines.never_began, cancelled);
  if (attempt->ticket == 0)
    return tell(Probed{attempt->engine, verdict.client_gets_error ? Result::error : verdict.result,
                       now() - attempt->started, std::move(attempt->load)});
  metrics_.attempts[static_cast<std::size_t>(verdict.result)]->Increment();
  trace_attempt(now(), *attempt, verdict.result, code, called_off);
  if (!verdict.client_gets_error) attempt->content.sqlstate.clear(), attempt->content.error.clear();
  finish_attempt(attempt, verdict.result);
}

void Shard::end_attempt(const AttemptPtr& attempt, Result result) {
  const bool called_off = attempt->state == Try::called_off;
  if (attempt->state == Try::ended || !step(attempt->state, TryEvent::end)) return;
  if (attempt->ticket == 0)
    return tell(Probed{attempt->engine, result, now() - attempt->started, std::move(attempt->load)});
  metrics_.attempts[static_cast<std::size_t>(result)]->Increment();
  trace_attempt(now(), *attempt, result, {}, called_off);
  finish_attempt(attempt, result);
}

void Shard::finish_attempt(const AttemptPtr& attempt, Result result) {
  if (result == Result::served && attempt->exchange)
    attempt->exchange->contents[attempt->number] = std::move(attempt->content);
  attempts_.erase({attempt->ticket, attempt->number});
  tell(router::AttemptEnd{attempt->ticket, attempt->number, result, now(), attempt->work, attempt->memory_mb,
                          std::move(attempt->load)});
}

void Shard::note(const AttemptPtr& attempt, NoteKind kind, double amount) {
  if (attempt->ticket != 0) tell(Noted{attempt->ticket, attempt->number, kind, amount});
}

// Extras, by the protocol's own extension points: notices whose SQLSTATE is of class 01 (warning), subclass
// H.
void Shard::note(const AttemptPtr& attempt, const sql::ErrorText& notice) {
  if (attempt->ticket == 0) return;
  if (notice.code == "01H01")
    tell(Noted{attempt->ticket, attempt->number, NoteKind::progress, number_in(notice.message)});
  if (notice.code == "01H02")
    tell(Noted{attempt->ticket, attempt->number, NoteKind::spill, number_in(notice.message)});
  if (notice.code == "01H03")
    tell(Noted{attempt->ticket, attempt->number, NoteKind::waiting, notice.message == "load" ? 2.0 : 1.0});
  if (notice.code == "01H04")
    pairs(notice.message, [&](std::string_view key, std::string_view value) {
      if (key == "work_ms") attempt->work = Time(static_cast<std::int64_t>(number_in(value) * 1e6));
      if (key == "memory_mb") attempt->memory_mb = number_in(value);
    });
}

void Shard::parameter(const AttemptPtr& attempt, std::string_view name, std::string_view value) {
  const auto& fields = config_.module.load_fields;
  if (name != config_.engines.load_parameter || fields.empty()) return;
  if (attempt->ticket != 0 && !config_.module.load_in_answers) return;
  attempt->load.assign(fields.size(), 0);
  pairs(value, [&](std::string_view key, std::string_view figure) {
    for (std::size_t i = 0; i < fields.size(); ++i)
      if (load_field_name(fields[i]) == key) attempt->load[i] = number_in(figure);
  });
}

// ---- answers -------------------------------------------------------------------------------------------
// An answer decided in time whose deadline has passed before a byte of it went out, as this thread had no
// turn in between: its client is told that it is overdue. True: it was.
bool Shard::overdue(const ExchangePtr& exchange) {
  if (exchange->streaming() || now() <= exchange->deadline) return false;
  tell(Left{exchange->ticket});  // an attempt of it that is still out is stopped
  forget(exchange);
  router::Answer answer;
  answer.ticket = exchange->ticket;
  answer.ending = router::Ending::overdue;
  answer.attempts = exchange->attempts;
  answer.last = Result::timed_out;
  answer.proven_unrun = false;
  const auto problem = router::problem_of(answer);
  metrics_.classes[exchange->cls].overdue->Increment();
  finished(exchange, {'D', 'A'}, problem.status);
  tell_problem(exchange, problem);
  return true;
}

void Shard::on(const router::Deliver& order) {
  const auto exchange = this->exchange(order.ticket);
  if (!exchange || overdue(exchange)) return;
  auto content = std::move(exchange->contents[order.attempt]);
  exchange->contents.clear();
  forget(exchange);
  const bool error = !content.sqlstate.empty();
  auto& counts = metrics_.classes[exchange->cls];
  if (exchange->streaming()) {
    (error ? counts.broken : counts.served)->Increment();
    finished(exchange, {error ? 'E' : 'S', 'D'}, 200);
    if (!error) return exchange->client->end(exchange);
    step(exchange->reply, ReplyEvent::finish);
    return exchange->client->break_off();
  }
  (error ? counts.error : counts.served)->Increment();
  finished(exchange, {error ? 'E' : 'S', 'A'}, error ? 422 : 200);
  if (!exchange->client) return exchange->asker->served(exchange, std::move(content));
  if (!error) return exchange->client->whole(exchange, 200, "application/json", std::move(content.json));
  router::Problem problem;
  problem.status = 422;
  problem.outcome = "served";
  problem.sqlstate = content.sqlstate;
  problem.detail = content.error;
  problem.retry_harmless = config_.module.classes[exchange->cls].effect == Effect::safe;
  tell_problem(exchange, problem);
}

void Shard::on(const router::BeginStream& order) {
  const auto found = attempts_.find({order.ticket, order.attempt});
  if (found == attempts_.end()) return;  // lost meanwhile: its end is on the way to the strand
  const auto connection = found->second->connection.lock();
  if (connection && !overdue(found->second->exchange)) connection->stream();
}

void Shard::on(const router::BreakStream& order) {
  const auto exchange = this->exchange(order.ticket);
  if (!exchange) return;
  metrics_.classes[exchange->cls].broken->Increment();
  finished(exchange, {'X', 'D'}, 200);
  forget(exchange);
  if (exchange->streaming()) {
    step(exchange->reply, ReplyEvent::finish);
    return exchange->client->break_off();
  }
  router::Problem problem;  // not a byte went out: it can still be told
  problem.status = 502;
  problem.outcome = "failed";
  problem.detail = "the engine was lost in the middle of the answer";
  problem.proven_unrun = false;
  problem.retry_harmless = config_.module.classes[exchange->cls].effect == Effect::safe;
  tell_problem(exchange, problem);
}

void Shard::on(const router::Answer& order) {
  const auto exchange = this->exchange(order.ticket);
  if (!exchange) return;
  forget(exchange);
  trace_choice(*this, *exchange, order.knew, 0);
  exchange->limit = order.limit;
  auto problem = router::problem_of(order);
  if (order.limit != groups::Limit::none) problem.detail += ", group " + exchange->group;
  auto& counts = metrics_.classes[exchange->cls];
  using router::Ending;
  (order.ending == Ending::refused  ? counts.refused
   : order.ending == Ending::failed ? counts.failed
                                    : counts.overdue)
      ->Increment();
  const char who = order.ending == Ending::refused ? 'R' : order.ending == Ending::failed ? 'F' : 'D';
  finished(exchange, {who, order.attempts > 0 ? 'A' : 'H'}, problem.status);
  tell_problem(exchange, problem);
}

void Shard::tell_problem(const ExchangePtr& exchange, const router::Problem& problem) {
  if (!exchange->client) return exchange->asker->unserved(exchange, problem);
  const auto pause = std::to_string(router::retry_after_seconds(problem.pause));
  std::vector<http::Field> more;
  if (problem.outcome == "refused" && problem.pause > Time::zero()) more.push_back({"retry-after", pause});
  exchange->client->whole(exchange, problem.status, "application/problem+json", router::problem_body(problem),
                          more);
}

}  // namespace heronwell::path
