#include "path/shard.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "calls/calls.hpp"
#include "path/cancel_request.hpp"
#include "path/client_connection.hpp"
#include "path/engine_connection.hpp"
#include "path/engine_notices.hpp"
#include "path/frame_client_connection.hpp"
#include "path/query_call_connection.hpp"
#include "path/query_deletion.hpp"
#include "path/tracing.hpp"

namespace heronwell::path {
namespace {

using namespace std::chrono_literals;

// Between two ticks. The stall detector needs several of them within its threshold of 200 ms.
constexpr auto kShardTickInterval = 50ms;
// Ticks between two sweeps over the times of all connections. A connection may outlive its time by one
// interval of 250 ms, which is little beside the seconds that these times are set to.
constexpr unsigned kTicksPerSweep = 5;
// Turns of the thread's queue until every socket with something to read has been read: one in which they are
// found readable, one in which they are read.
constexpr unsigned kTurnsToReadInput = 2;

}  // namespace

Shard::Shard(ShardEnvironment& environment, const Config& config, Metrics& metrics,
             const router::QueryParser& query_parser, trace::Tracer& tracer, unsigned index,
             unsigned shard_count)
    : environment_(environment),
      config_(config),
      metrics_(metrics),
      query_parser_(query_parser),
      tracer_(tracer),
      tenants_(router::tenant_names(config.module)),
      stall_detector_(now()),
      buffer_limit_(config.platform ? config.platform->held_bytes : 0),
      requests_(index),
      deletions_(config.platform ? config.platform->removals : 1),
      descriptors_(environment, config, metrics, shard_count, pools_, clients_,
                   [this](const AttemptPtr& attempt) {
                     if (attempt->first_byte_sent_at > Time::zero())
                       resume_polling(attempt);
                     else
                       launch(attempt);
                   }),
      responses_(*this) {
  if (config.groups) selectors_ = std::make_shared<const groups::Selectors>(config.groups->selectors);
  tick_timer_ = environment_.create_timer([this] { tick(); });
  tick_timer_->set(stall_detector_.last_run_at() + kShardTickInterval);
}

Shard::~Shard() {
  // Connections first: as they close they look into the members below. Copies, as they take themselves out.
  for (const auto& [number, client] : std::map(clients_)) client->abort();
  attempts_.clear();
  requests_.clear();
  pools_.close_all();
  for (const auto& [number, cancel] : std::map(cancel_requests_)) cancel->close();
  deletions_.abandon_all();
}

void Shard::serve(StreamPtr stream, std::string address) {
  if (config_.platform) descriptors_.close_idle_client_at_cap();
  const auto number = next_connection_number();
  std::shared_ptr<ClientProtocol> client;
  if (config_.platform)
    client = std::make_shared<FrameClientConnection>(*this, number, std::move(stream));
  else
    client = std::make_shared<ClientConnection>(*this, number, std::move(stream), std::move(address));
  clients_.emplace(number, client);
  client->start();
}

void Shard::execute(std::vector<ShardCommand>& commands) {
  for (auto& command : commands) {
    if (const auto* endpoints = std::get_if<std::shared_ptr<const EndpointMap>>(&command)) {
      pools_.update_endpoints(**endpoints);
      continue;
    }
    if (const auto* selectors = std::get_if<SelectorsPtr>(&command)) {
      selectors_ = *selectors;
      continue;
    }
    std::visit(
        [this](const auto& router_command) {
          if constexpr (requires { on(router_command); }) on(router_command);
        },
        std::get<router::Command>(command));
  }
}

void Shard::begin_shutdown() {
  shutting_down_ = true;
  for (const auto& [number, client] : std::map(clients_)) client->begin_shutdown();
}

void Shard::tick() {
  (void)input_waiting_since();
  if (++ticks_ % kTicksPerSweep == 0) sweep();
  tick_timer_->set(now() + kShardTickInterval);
}

void Shard::sweep() {
  const auto now = this->now();
  for (const auto& [number, client] : std::map(clients_)) {
    client->close_expired(now);
    if (stopping_ && (shutting_down_ || !config_.platform)) client->begin_shutdown();
  }
  pools_.close_idle_connections(now, config_.engines.idle_close);
  // Failure: a dial finds no descriptor in the whole process, its attempt waits, and no connection of this
  // shard is closed after that; the attempt waits until its deadline though there are descriptors again.
  // Guard: it looks at each sweep.
  descriptor_freed();
  deletions_.forget_expired(now);
  pools_.erase_removed_engines();
}

Shard::Counts Shard::counts() const {
  Counts counts;
  counts.requests = requests_.size();
  counts.attempts = attempts_.size();
  counts.idle_connections = pools_.idle_connection_count();
  counts.cancel_requests = cancel_requests_.size() + deletions_.size();
  counts.last_run_at = stall_detector_.last_run_at();
  counts.suspect_from = stall_detector_.suspect_from();
  counts.suspect_until = stall_detector_.suspect_until();
  return counts;
}

// ---- requests ------------------------------------------------------------------------------------------
void Shard::submit(const ClientRequestPtr& request, router::RequestSpec spec) {
  request->class_index = spec.request.class_index;
  request->buffering_since = now();
  request->tenant = spec.request.tenant;
  request->deadline = request->received_at + spec.request.time_left;
  spec.request.time_left = std::max(Time::zero(), request->deadline - now());
  if (!choose_group(request, spec)) return;
  // Only plain HTTP requests are rejected here. Requests with a response handler go on: the statements of a
  // GraphQL request that was admitted before, and the platform's frames, which are served while it drains.
  if (stopping_ && request->client) return reject_at_limit(request, "this router is stopping");
  if (over_buffer_limit()) return reject_at_limit(request, "no memory is left for another request");
  if (requests_.size() >= std::max<std::size_t>(1, config_.module.max_open_requests / config_.threads))
    return reject_at_limit(request, "allow.max_open requests are open here");
  requests_.add(request);
  spec.ticket = request->ticket;
  metrics_.open->Increment();
  publish(RequestReceived{spec});
}

void Shard::reject_at_limit(const ClientRequestPtr& request, std::string reason) {
  router::Problem problem;
  problem.status = 503;
  problem.outcome = router::ProblemOutcome::rejected;
  problem.detail = std::move(reason);
  problem.retry_after = config_.module.max_retry_after;
  metrics_.classes[request->class_index].limited->Increment();
  record_finished(request, {'L', '-'}, problem.status);
  responses_.respond_with_problem(request, problem);
}

// False: no group takes the request, and its client was answered so.
bool Shard::choose_group(const ClientRequestPtr& request, router::RequestSpec& spec) {
  if (!selectors_) return true;
  static const Origin kNoOrigin;
  const auto& tenant = request->tenant < tenants_.size() ? tenants_[request->tenant] : std::string();
  auto chosen = selectors_->choose(described(request->origin ? *request->origin : kNoOrigin,
                                             config_.module.classes[request->class_index].name, tenant,
                                             request->statement->text));
  if (!chosen.group.empty()) {
    request->group = std::move(chosen.group);
    spec.group = request->group;
    spec.group_created = chosen.from_template;
    return true;
  }
  router::Problem problem;
  problem.status = 403;
  problem.detail = std::move(chosen.reason);
  metrics_.rejected->Increment();
  record_finished(request, {'B', '-'}, problem.status);
  responses_.respond_with_problem(request, problem);
  return false;
}

void Shard::disconnect(const ClientRequestPtr& request) {
  metrics_.classes[request->class_index].left->Increment();
  char stage = 'H';
  if (request->attempts > 0) stage = 'A';
  if (request->streaming()) stage = 'D';
  record_finished(request, {'C', stage}, 0);
  const bool idempotent = config_.module.classes[request->class_index].idempotency == Idempotency::idempotent;
  if (request->attempts > 0 && !idempotent && !request->client_request_id.empty())
    deletions_.remember_possibly_ran(request->client_request_id, request->deadline);
  publish(ClientDisconnected{request->ticket});
  forget_request(request);
}

void Shard::forget_request(const ClientRequestPtr& request) {
  if (!requests_.erase(request)) return;
  metrics_.open->Decrement();
  if (request->client_request_id.empty()) return;
  if (const auto waiting = deletions_.take_waiting(request->client_request_id))
    end_attempt(waiting, AttemptResult::never_started);
}

// ---- commands ------------------------------------------------------------------------------------------
AttemptPtr Shard::make_attempt(const router::DispatchAttempt& command,
                               const ClientRequestPtr& request) const {
  auto attempt = std::make_shared<Attempt>();
  attempt->ticket = command.ticket;
  attempt->number = command.attempt;
  attempt->engine = command.engine;
  attempt->deadline = command.deadline;
  attempt->start_before = command.start_before;
  attempt->request = request;
  if (!request) return attempt;
  attempt->statement = request->statement;
  const auto& resources = command.resources;
  const auto& engines = config_.engines;
  if (resources && resources->memory_mb > 0 && config_.module.memory_grants_enabled &&
      !engines.memory_setting.empty())
    attempt->settings.emplace_back(engines.memory_setting,
                                   fmt::format("{:.0f}MB", std::max(1.0, resources->memory_mb)));
  if (resources && config_.module.engine_priorities_enabled && !engines.priority_setting.empty())
    attempt->settings.emplace_back(engines.priority_setting, std::to_string(resources->priority));
  if (resources && config_.module.memory_grants_enabled) attempt->memory_limit_mb = resources->memory_mb;
  if (request->trail && config_.trace.comment) {
    // The trace's context as a comment of the statement, in the form of sqlcommenter, for the engine's own
    // logs.
    auto commented = *attempt->statement;
    const auto& context = request->trail->context;
    commented.text +=
        " /*traceparent='" + trace::traceparent(context.trace, request->span, context.sampled) + "'*/";
    attempt->statement = std::make_shared<const sql::Statement>(std::move(commented));
  }
  if (request->max_response_bytes > 0) attempt->response.table = std::make_shared<sql::Table>();
  return attempt;
}

void Shard::on(const router::DispatchAttempt& command) {
  const auto request = find_request(command.ticket);
  const auto attempt = make_attempt(command, request);
  // Its client has disconnected while the command was on its way.
  if (!request) return end_attempt(attempt, sql::StatementResult::not_written);
  ++request->attempts;
  trace_decision(*this, *request, command.load_belief, command.engine);
  request->engine = command.engine;
  attempts_.emplace(std::pair(command.ticket, command.attempt), attempt);
  if (deletions_.wait(attempt)) return;  // never two queries of one request id at an engine
  launch(attempt);
}

void Shard::on(const router::StopAttempt& command) {
  const auto found = attempts_.find({command.ticket, command.attempt});
  if (found == attempts_.end()) return;
  const auto attempt = found->second;
  if (drop_waiting(attempt)) return;
  if (!apply(attempt->state, AttemptEvent::cancel)) return;
  // Not a byte of it went out, and whichever connection comes up for it finds it finished.
  if (config_.platform && attempt->first_byte_sent_at == Time::zero())
    return end_attempt(attempt, calls::attempt_result_of(calls::CallResult::not_written));
  if (auto connection = attempt->connection.lock()) return connection->cancel(attempt);
  environment_.cancel_message(attempt);
}

void Shard::on(const router::BeginStream& command) {
  const auto found = attempts_.find({command.ticket, command.attempt});
  if (found == attempts_.end()) return;  // it has ended meanwhile: the decision loop is about to hear of it
  const auto connection = found->second->connection.lock();
  if (connection && !responses_.past_deadline(found->second->request)) connection->begin_stream();
}

void Shard::on(const router::RunHealthCheck& command) {
  auto attempt = std::make_shared<Attempt>();
  attempt->engine = command.engine;
  attempt->deadline = now() + config_.engines.probe_timeout;
  attempt->statement =
      std::make_shared<const sql::Statement>(sql::Statement{config_.engines.probe_statement});
  launch(attempt);
  if (attempt->state == AttemptState::finished) return;
  // Nothing else would end it: the decision engine stops attempts of requests alone.
  attempt->timeout_timer = environment_.create_timer([this, weak = std::weak_ptr(attempt)] {
    const auto late = weak.lock();
    if (!late || late->state == AttemptState::finished) return;
    end_attempt(late, sql::StatementResult::deadline_passed);
    if (auto connection = late->connection.lock()) return connection->cancel(late);
    environment_.cancel_message(late);
  });
  attempt->timeout_timer->set(attempt->deadline);
}

// ---- start of attempts ---------------------------------------------------------------------------------
// Failure: a client has disconnected, but this thread was busy or stalled and has not read that yet; the
// attempt starts although nobody awaits it. It shows as queries that run for clients which had left before.
// Guard: where anything of its client lies unread, the sockets are read before the attempt is launched.
bool Shard::defer_until_input_read(const AttemptPtr& attempt) {
  const auto& request = attempt->request;
  if (!request || !request->response_handler || attempt->client_input_checked ||
      !request->response_handler->has_unread_input())
    return false;
  attempt->client_input_checked = true;
  deferred_attempts_.push_back(attempt);
  launch_after(kTurnsToReadInput, attempt);
  return true;
}

void Shard::launch_after(unsigned turns, const AttemptPtr& attempt) {
  environment_.defer([this, attempt, turns] {
    if (turns > 1) return launch_after(turns - 1, attempt);
    if (std::erase(deferred_attempts_, attempt) > 0) launch(attempt);
  });
}

// Starts the attempt on the newest idle connection, or on a new one. A connection that is found closed before
// a byte was written costs the attempt nothing.
void Shard::launch(const AttemptPtr& attempt) {
  if (attempt->first_byte_sent_at > Time::zero()) return;  // on a connection that came up meanwhile
  if (defer_until_input_read(attempt)) return;
  attempt->client_input_checked = false;
  attempt->commanded_at = now();
  auto* pool = this->pool(attempt->engine);
  // Failure: the engine was drained after it was chosen, or this thread had no turn between the choice and
  // now; the query runs on an engine that is about to end, or after its time. Guard: both are looked at once
  // more; see may_start().
  if (pool == nullptr || !pool->accepts_work || !may_start(*attempt))
    return end_attempt(attempt, sql::StatementResult::not_written);
  if (environment_.send_as_message(attempt)) return;
  attempt->address = pool->address;
  while (const auto connection = pool->take_idle(attempt->commanded_at)) {
    if (connection->start(attempt)) return;
    metrics_.redials->Increment();
  }
  if (config_.platform && !descriptors_.evict_idle_connection()) return wait_for_descriptor(attempt);
  if (!config_.platform && pool->all.size() >= pool_cap())
    return end_attempt(attempt, sql::StatementResult::pool_full);
  connect(*pool, attempt);
}

void Shard::connect(EnginePool& pool, const AttemptPtr& attempt) {
  const auto number = next_connection_number();
  EngineConnectionPtr connection;
  if (config_.platform)
    connection = std::make_shared<QueryCallConnection>(*this, pool, number);
  else
    connection = std::make_shared<EngineConnection>(*this, pool, number);
  pool.all.emplace(number, connection);
  connection->connect(attempt);
}

void Shard::open_second_connection(const AttemptPtr& attempt) {
  auto* pool = this->pool(attempt->engine);
  if (pool != nullptr && pool->accepts_work && may_start(*attempt) &&
      descriptors_.can_open_engine_connection())
    connect(*pool, attempt);
}

void Shard::resume_polling(const AttemptPtr& attempt) {
  // An engine that is draining or removed is polled on: nothing new is sent to it.
  auto* pool = this->pool(attempt->engine);
  if (pool == nullptr)  // removed, and no connection was left to it
    return delete_query(attempt, calls::attempt_result_of(calls::CallResult::broken));
  if (!descriptors_.evict_idle_connection()) return wait_for_descriptor(attempt);
  connect(*pool, attempt);
}

// ---- end of attempts -----------------------------------------------------------------------------------
// Ends an attempt that waits here: for a connection, for a deletion, or for its client's input to be read.
// False: it does not wait.
bool Shard::drop_waiting(const AttemptPtr& attempt) {
  if (!deletions_.stop_waiting(attempt) && !descriptors_.stop_waiting(attempt) &&
      std::erase(deferred_attempts_, attempt) == 0)
    return false;
  if (attempt->first_byte_sent_at > Time::zero())
    delete_query(attempt, calls::attempt_result_of(calls::CallResult::cancelled));
  else
    end_attempt(attempt, calls::attempt_result_of(calls::CallResult::not_written));
  return true;
}

void Shard::delete_query(const AttemptPtr& attempt, AttemptResult result) {
  if (!attempt->request) return end_attempt(attempt, result);  // a health check leaves nothing running
  const auto number = next_connection_number();
  const auto deletion = std::make_shared<QueryDeletion>(*this, number, attempt, result);
  deletions_.add(number, attempt->request->client_request_id, deletion);
  deletion->dial();
}

void Shard::query_deleted(std::uint64_t number, const AttemptPtr& attempt, AttemptResult result) {
  deletions_.remove(number);
  end_attempt(attempt, result);
  if (const auto waiting = deletions_.confirm(attempt->request->client_request_id)) launch(waiting);
}

void Shard::request_cancel(const config::Address& address, std::uint32_t process, std::uint32_t secret) {
  const auto number = next_connection_number();
  const auto cancel = std::make_shared<CancelRequest>(*this, number, process, secret);
  cancel_requests_.emplace(number, cancel);
  cancel->dial(address);
}

void Shard::end_attempt(const AttemptPtr& attempt, sql::StatementResult seen, std::string_view code,
                        bool cancelled) {
  const bool cancelling = attempt->state == AttemptState::cancelling;
  if (attempt->state == AttemptState::finished || !apply(attempt->state, AttemptEvent::finish)) return;
  const auto verdict = sql::judge(seen, code, config_.engines.never_began, cancelled);
  if (attempt->ticket == 0)
    return publish(HealthCheckFinished{attempt->engine,
                                       verdict.client_gets_error ? AttemptResult::error : verdict.result,
                                       now() - attempt->commanded_at, std::move(attempt->load)});
  metrics_.attempts[static_cast<std::size_t>(verdict.result)]->Increment();
  trace_attempt(now(), *attempt, verdict.result, code, cancelling);
  if (!verdict.client_gets_error) {
    attempt->response.sqlstate.clear();
    attempt->response.error.clear();
  }
  finish_attempt(attempt, verdict.result);
}

void Shard::end_attempt(const AttemptPtr& attempt, AttemptResult result) {
  const bool cancelling = attempt->state == AttemptState::cancelling;
  if (attempt->state == AttemptState::finished || !apply(attempt->state, AttemptEvent::finish)) return;
  if (attempt->ticket == 0)
    return publish(HealthCheckFinished{attempt->engine, result, now() - attempt->commanded_at,
                                       std::move(attempt->load)});
  metrics_.attempts[static_cast<std::size_t>(result)]->Increment();
  trace_attempt(now(), *attempt, result, {}, cancelling);
  finish_attempt(attempt, result);
}

void Shard::finish_attempt(const AttemptPtr& attempt, AttemptResult result) {
  if (result == AttemptResult::served && attempt->request)
    attempt->request->responses[attempt->number] = std::move(attempt->response);
  attempts_.erase({attempt->ticket, attempt->number});
  publish(router::AttemptEnd{attempt->ticket, attempt->number, result, now(), attempt->work,
                             attempt->memory_mb, std::move(attempt->load)});
}

// ---- what engines say beside their answers -------------------------------------------------------------
void Shard::report_progress(const AttemptPtr& attempt, ProgressKind kind, double amount) {
  if (attempt->ticket != 0) publish(AttemptProgressed{attempt->ticket, attempt->number, kind, amount});
}

void Shard::report_progress(const AttemptPtr& attempt, const sql::ErrorText& text) {
  if (attempt->ticket == 0) return;
  const auto notice = read_notice(text);
  if (const auto* progress = std::get_if<ProgressNotice>(&notice))
    report_progress(attempt, progress->kind, progress->amount);
  if (const auto* cost = std::get_if<CostNotice>(&notice)) {
    if (cost->work) attempt->work = cost->work;
    if (cost->memory_mb) attempt->memory_mb = *cost->memory_mb;
  }
}

void Shard::parameter(const AttemptPtr& attempt, std::string_view name, std::string_view value) {
  const auto& fields = config_.module.load_fields;
  if (name != config_.engines.load_parameter || fields.empty()) return;
  if (attempt->ticket != 0 && !config_.module.load_reports_in_responses) return;
  attempt->load = read_load_parameter(value, fields);
}

}  // namespace heronwell::path
