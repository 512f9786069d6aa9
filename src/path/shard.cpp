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

// Interval between two ticks. The stall detector needs several ticks within its threshold of 200 ms.
constexpr auto kShardTickInterval = 50ms;
// Number of ticks between two sweeps that close expired connections. A connection may outlive its timeout by
// one sweep interval of 250 ms, which is short compared to these timeouts of several seconds.
constexpr unsigned kTicksPerSweep = 5;

}  // namespace

Shard::Shard(ShardEnvironment& environment, const Config& config, Metrics& metrics,
             const router::QueryParser& query_parser, trace::Tracer& tracer, unsigned index,
             unsigned shard_count)
    : environment_(environment),
      config_(config),
      metrics_(metrics),
      query_parser_(query_parser),
      tracer_(tracer),
      tenant_names_(router::tenant_names(config.module)),
      stall_detector_(now()),
      buffer_limit_(config.listen.buffered / shard_count, clients_),
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
  // Connections are closed first because closing them accesses the members below. The maps are copied because
  // each connection removes itself from its map.
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
  // When the process has no free descriptor, an attempt waits until a connection of this shard is closed. If
  // other shards free the descriptors, it would wait until its deadline. Each sweep therefore retries.
  descriptor_freed();
  deletions_.forget_expired(now);
  pools_.erase_removed_engines();
  report_buffers();
}

void Shard::report_buffers() {
  metrics_.set_buffered_bytes(*buffer_account());
  if (const auto details = buffer_limit_.take_warning(now()))
    environment_.log(Level::warn, fmt::format(R"({{"event":"buffer_limit_exceeded","router":{},{}}})",
                                              quoted(config_.name), *details));
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
void Shard::set_terms(ClientRequest& request, const router::RequestSpec& spec) {
  request.class_index = spec.request.class_index;
  request.queued_since = now();
  request.tenant = spec.request.tenant;
  request.deadline = request.received_at + spec.request.time_left;
}

void Shard::submit(const ClientRequestPtr& request, router::RequestSpec spec) {
  set_terms(*request, spec);
  spec.request.time_left = std::max(Time::zero(), request->deadline - now());
  if (!choose_group(request, spec)) return;
  // Only plain HTTP requests are rejected while stopping. Requests without an HTTP client continue:
  // statements of a GraphQL request that was already admitted, and the platform's frames, which are served
  // while draining.
  if (stopping_ && request->client) return reject_at_limit(request, "this router is stopping");
  buffer_limit_.enforce();  // a complete request comes before incomplete frames
  if (buffer_limit_.exceeded()) return reject_for_memory(request);
  if (requests_.size() >= std::max<std::size_t>(1, config_.module.max_open_requests / config_.threads))
    return reject_at_limit(request, "allow.max_open requests are open here");
  requests_.add(request);
  spec.ticket = request->ticket;
  metrics_.open_requests->Increment();
  publish(RequestReceived{spec});
}

void Shard::reject_incomplete(const ClientRequestPtr& request, const router::RequestSpec& spec) {
  set_terms(*request, spec);
  reject_for_memory(request);
}

void Shard::reject_for_memory(const ClientRequestPtr& request) {
  buffer_limit_.count_rejection();
  reject_at_limit(request, "no memory is left for another request");
}

void Shard::reject_for_memory(const ClientRequestPtr& request, const router::Problem& problem) {
  buffer_limit_.count_rejection();
  record_finished(request, {'L', '-'}, problem.status);
  responses_.respond_with_problem(request, problem);
}

void Shard::reject_at_limit(const ClientRequestPtr& request, std::string reason) {
  router::Problem problem;
  problem.status = 503;
  problem.outcome = router::ProblemOutcome::rejected;
  problem.detail = std::move(reason);
  problem.retry_after = config_.module.max_retry_after;
  metrics_.classes[request->class_index].rejected_at_limit->Increment();
  record_finished(request, {'L', '-'}, problem.status);
  responses_.respond_with_problem(request, problem);
}

// Returns false if no group admits the request; the client has then been sent a problem.
bool Shard::choose_group(const ClientRequestPtr& request, router::RequestSpec& spec) {
  if (!selectors_) return true;
  static const Origin kNoOrigin;
  const auto& tenant =
      request->tenant < tenant_names_.size() ? tenant_names_[request->tenant] : std::string();
  auto selection = selectors_->choose(described(request->origin ? *request->origin : kNoOrigin,
                                                config_.module.classes[request->class_index].name, tenant,
                                                request->statement->text));
  if (!selection.group.empty()) {
    request->group = std::move(selection.group);
    spec.group = request->group;
    spec.may_create_group = selection.from_template;
    return true;
  }
  router::Problem problem;
  problem.status = 403;
  problem.detail = std::move(selection.reason);
  metrics_.invalid_requests->Increment();
  record_finished(request, {'B', '-'}, problem.status);
  responses_.respond_with_problem(request, problem);
  return false;
}

void Shard::disconnect(const ClientRequestPtr& request) {
  metrics_.classes[request->class_index].disconnected->Increment();
  char stage = 'H';
  if (request->attempts > 0) stage = 'A';
  if (request->streaming()) stage = 'D';
  record_finished(request, {'C', stage}, 0);
  remember_possibly_ran(*request);
  publish(ClientDisconnected{request->ticket});
  forget_request(request);
}

void Shard::remember_possibly_ran(const ClientRequest& request) {
  const bool idempotent = config_.module.classes[request.class_index].idempotency == Idempotency::idempotent;
  if (request.attempts > 0 && !idempotent && !request.client_request_id.empty())
    deletions_.remember_possibly_ran(request.client_request_id, request.deadline);
}

void Shard::forget_request(const ClientRequestPtr& request) {
  if (!requests_.erase(request)) return;
  metrics_.open_requests->Decrement();
  request->statement = nullptr;  // no attempt of it starts any more
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
  attempt->response.bytes = BufferedBytes(buffer_account(), BufferKind::engine_input);
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
    // Appends the trace context to the statement as a comment in sqlcommenter format, for the engine's logs.
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
  // The client has disconnected before the command arrived.
  if (!request) return end_attempt(attempt, sql::StatementResult::not_written);
  ++request->attempts;
  trace_decision(*this, *request, command.load_snapshot, command.engine);
  request->engine = command.engine;
  attempts_.emplace(std::pair(command.ticket, command.attempt), attempt);
  if (deletions_.wait(attempt)) return;  // an engine must not get two queries with the same request id
  launch(attempt);
}

void Shard::on(const router::StopAttempt& command) {
  const auto found = attempts_.find({command.ticket, command.attempt});
  if (found == attempts_.end()) return;
  const auto attempt = found->second;
  if (drop_waiting(attempt)) return;
  if (!apply(attempt->state, AttemptEvent::cancel)) return;
  // No byte of it has been sent. A connection that opens for it later finds the attempt finished.
  if (config_.platform && attempt->first_byte_sent_at == Time::zero())
    return end_attempt(attempt, calls::attempt_result_of(calls::CallResult::not_written));
  if (auto connection = attempt->connection.lock()) return connection->cancel(attempt);
  environment_.cancel_message(attempt);
}

void Shard::on(const router::BeginStream& command) {
  const auto found = attempts_.find({command.ticket, command.attempt});
  if (found == attempts_.end()) return;  // it has ended; the event for the decision loop is on its way
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
  // The decision engine stops only attempts of requests, so a health check needs its own timeout.
  attempt->timeout_timer = environment_.create_timer([this, weak = std::weak_ptr(attempt)] {
    const auto expired = weak.lock();
    if (!expired || expired->state == AttemptState::finished) return;
    end_attempt(expired, sql::StatementResult::deadline_passed);
    if (auto connection = expired->connection.lock()) return connection->cancel(expired);
    environment_.cancel_message(expired);
  });
  attempt->timeout_timer->set(attempt->deadline);
}

// ---- start of attempts ---------------------------------------------------------------------------------
// After a busy or stalled period, this thread may not yet have read that a client has disconnected or cancelled
// the request, and would start a query for a client that is gone. The client's input is therefore read before
// the attempt is launched; see UnreadInputWait.
bool Shard::defer_until_input_read(const AttemptPtr& attempt) {
  const auto connection = attempt->request ? attempt->request->connection.lock() : nullptr;
  if (!connection || !attempt->input_wait.continues(connection->unread_input(), now())) return false;
  deferred_attempts_.push_back(attempt);
  environment_.defer([this, attempt] {
    if (std::erase(deferred_attempts_, attempt) > 0) launch(attempt);
  });
  return true;
}

// Starts the attempt on the most recent idle connection or on a new one. If an idle connection turns out to
// be closed before any byte was written, the attempt continues with the next connection.
void Shard::launch(const AttemptPtr& attempt) {
  if (attempt->first_byte_sent_at > Time::zero()) return;  // already started on another connection
  if (defer_until_input_read(attempt)) return;
  attempt->commanded_at = now();
  auto* pool = this->pool(attempt->engine);
  // Between the selection of the engine and now, the engine may have started to drain, or this thread may
  // have stalled until after the deadline. Both are checked again so that the query runs neither on an engine
  // that is about to stop nor after its deadline; see may_start().
  if (pool == nullptr || !pool->accepts_work || !may_start(*attempt))
    return end_attempt(attempt, sql::StatementResult::not_written);
  if (environment_.send_as_message(attempt)) return;
  attempt->address = pool->address;
  while (const auto connection = pool->take_idle(attempt->commanded_at)) {
    if (connection->start(attempt)) return;
    metrics_.stale_connections->Increment();
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
  // Polling continues for a draining or removed engine, because it starts no new query.
  auto* pool = this->pool(attempt->engine);
  if (pool == nullptr)  // the engine was removed and had no connection left
    return delete_query(attempt, calls::attempt_result_of(calls::CallResult::broken));
  if (!descriptors_.evict_idle_connection()) return wait_for_descriptor(attempt);
  connect(*pool, attempt);
}

// ---- end of attempts -----------------------------------------------------------------------------------
// Ends an attempt that waits for a descriptor, for a deletion, or for its client's input to be read. Returns
// false if the attempt is not waiting.
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
  if (!attempt->request) return end_attempt(attempt, result);  // health checks need no deletion
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

void Shard::end_attempt(const AttemptPtr& attempt, sql::StatementResult observed, std::string_view code,
                        bool cancelled) {
  const bool cancelling = attempt->state == AttemptState::cancelling;
  if (attempt->state == AttemptState::finished || !apply(attempt->state, AttemptEvent::finish)) return;
  const auto verdict = sql::classify(observed, code, config_.engines.never_began, cancelled);
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

// ---- notices and parameters of engines -----------------------------------------------------------------
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

void Shard::handle_engine_parameter(const AttemptPtr& attempt, std::string_view name,
                                    std::string_view value) {
  const auto& fields = config_.module.load_fields;
  if (name != config_.engines.load_parameter || fields.empty()) return;
  if (attempt->ticket != 0 && !config_.module.load_reports_in_responses) return;
  attempt->load = read_load_parameter(value, fields);
}

}  // namespace heronwell::path
