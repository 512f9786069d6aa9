#include "path/graphql.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

#include "path/client_connection.hpp"
#include "path/page.hpp"
#include "path/tracing.hpp"

namespace heronwell::path {
namespace {

// Retry-After of a request that is rejected because no more idempotency keys can be stored. Keys expire
// continually at the end of their window, so space becomes available soon.
constexpr Time kKeyMemoryRetryAfter = std::chrono::seconds(1);

using namespace std::chrono_literals;
// Part of a request's timeout that its statements may not use, so that the response is written in time. It is
// at most 1/20 of the timeout.
constexpr Time kResponseReserve = 5ms;
constexpr int kResponseReserveDivisor = 20;
// Maximum length of a client's idempotency key. It fits any UUID or hash and bounds the memory for keys.
constexpr std::size_t kMaxKeyBytes = 255;

std::string error_body(const std::string& message, std::string_view code) {
  return graphql::request_errors({{"", message, {}}}, code);
}
std::string random_key(ShardEnvironment& environment) {
  std::array<unsigned char, 16> bytes{};
  environment.fill_random(bytes);
  std::string out;
  for (const auto byte : bytes) out += fmt::format("{:02x}", byte);
  return out;
}
// The header field is a structured string, "…"; an unquoted string is accepted too.
std::string unquoted_key(std::string_view field) {
  if (field.size() >= 2 && field.front() == '"' && field.back() == '"')
    field = field.substr(1, field.size() - 2);
  return std::string(field);
}

const graphql::Definition* select_operation(const graphql::Document& document, std::string_view name,
                                            std::string& error) {
  const graphql::Definition* found = nullptr;
  for (const auto& d : document.definitions) {
    if (d.kind == graphql::DefinitionKind::fragment || !d.executable()) continue;
    if (name.empty() && found != nullptr) {
      error = "\"operationName\" is missing, and the document has several operations";
      return nullptr;
    }
    if (name.empty() || d.name == name) found = &d;
  }
  if (found == nullptr) error = fmt::format("the document has no operation \"{}\"", name);
  return found;
}

}  // namespace

std::unique_ptr<graphql::Bound> bind_schema(const Config& config, std::string_view text,
                                            const std::string& name) {
  std::vector<graphql::ClassFacts> classes;
  for (const auto& cls : config.module.classes)
    classes.push_back({cls.name, cls.idempotency == Idempotency::idempotent,
                       cls.idempotency == Idempotency::idempotency_key &&
                           cls.deduplication_scope == DeduplicationScope::all,
                       cls.latency_objective});
  try {
    return std::make_unique<graphql::Bound>(std::string(text), std::move(classes));
  } catch (const graphql::SchemaError& error) {
    std::string messages;
    std::istringstream lines(error.what());
    for (std::string line; std::getline(lines, line);)
      messages += (messages.empty() ? "" : "\n") + name + ":" + line;
    throw yaml::Error(messages);
  }
}

Graphql::Graphql(const Config& config, std::shared_ptr<const graphql::Bound> bound, graphql::Clock now)
    : config_(config.graphql),
      now_(std::move(now)),
      tenant_names_(router::tenant_names(config.module)),
      bound_(std::move(bound)),
      documents_(std::make_unique<graphql::Documents>(bound_->schema(), config.graphql.limits,
                                                      config.graphql.documents, now_)),
      keys_(config.graphql.key_window, config.graphql.keys, config.graphql.key_bytes) {
  headers_ = bound_->headers();
  headers_.emplace_back("idempotency-key");
}

std::optional<std::uint32_t> Graphql::tenant(std::string_view name) const {
  const auto found = std::ranges::find(tenant_names_, name);
  if (found == tenant_names_.end()) return std::nullopt;
  return static_cast<std::uint32_t>(found - tenant_names_.begin());
}

graphql::Keys::Found Graphql::begin_key(const std::string& key, std::uint64_t fingerprint) {
  const std::lock_guard lock(mutex_);
  return keys_.begin(now_(), key, fingerprint);
}
void Graphql::complete_key(const std::string& key, std::string answer) {
  const std::lock_guard lock(mutex_);
  keys_.done(now_(), key, std::move(answer));
}
void Graphql::forget_key(const std::string& key) {
  const std::lock_guard lock(mutex_);
  keys_.forget(key);
}

// ---- one request ---------------------------------------------------------------------------------------
GraphqlRequest::GraphqlRequest(Shard& shard, Graphql& graphql, ClientRequestPtr client, graphql::HttpAsk ask,
                               Headers headers, Time timeout)
    : shard_(shard),
      graphql_(graphql),
      client_(std::move(client)),
      ask_(std::move(ask)),
      headers_(std::move(headers)),
      deadline_(client_->received_at + timeout -
                std::min<Time>(kResponseReserve, timeout / kResponseReserveDivisor)) {}
GraphqlRequest::~GraphqlRequest() = default;

void GraphqlRequest::start() {
  client_->response_handler = shared_from_this();
  shard_.metrics().graphql_open->Increment();
  operations_.resize(ask_.operations.size());
  for (std::size_t i = 0; i < operations_.size(); ++i) begin(operations_[i], i, ask_.operations[i]);
  advance();
}

void GraphqlRequest::reject(OperationState& state, const std::string& message, std::string_view code,
                            std::string_view rule) {
  state.response = graphql::request_errors({{std::string(rule), message, {}}}, code);
}

void GraphqlRequest::begin(OperationState& state, std::size_t number, const graphql::Operation& operation) {
  auto& documents = graphql_.documents();
  auto text = operation.query;
  if (!operation.sha256.empty()) {
    if (text.empty()) {
      const auto known = documents.persisted(operation.sha256);
      if (!known) return reject(state, "PersistedQueryNotFound", "PERSISTED_QUERY_NOT_FOUND");
      text = *known;
    } else if (graphql::sha256_hex(text) != operation.sha256) {
      return reject(state, "the document is not the one of this SHA-256", "PERSISTED_QUERY_MISMATCH");
    }
  }
  bool newly_prepared = false;
  state.prepared = documents.get(text, &newly_prepared);
  if (auto* trail = client_->trail.get(); trail != nullptr && newly_prepared) {
    const auto now = shard_.now();
    const auto parsed_at = now - state.prepared->validating;
    trail->add("parse", client_->span, parsed_at - state.prepared->parsing, parsed_at);
    trail->add("validate", client_->span, parsed_at, now);
  }
  const auto& prepared = *state.prepared;
  if (!prepared.errors.empty()) {
    const bool was_parsed = !prepared.errors.front().rule.empty();
    state.response = graphql::request_errors(
        prepared.errors, was_parsed ? "GRAPHQL_VALIDATION_FAILED" : "GRAPHQL_PARSE_FAILED");
    return;
  }
  if (!operation.sha256.empty()) documents.persist(operation.sha256, text);
  std::string error;
  const auto* definition = select_operation(prepared.document, operation.operation_name, error);
  if (definition == nullptr) return reject(state, error, "OPERATION_RESOLUTION_FAILURE");
  const bool mutation = definition->kind == graphql::DefinitionKind::mutation;
  if (mutation && ask_.get) {
    status_ = 405;
    return reject(state, "a mutation is sent by POST", "BAD_REQUEST");
  }
  if (mutation && ask_.batch) return reject(state, "a mutation can't stand in a batch", "BAD_REQUEST");
  auto variables = graphql::coerce_variables(graphql_.bound().schema(), prepared.document, *definition,
                                             operation.variables);
  if (!variables.errors.empty()) {
    state.response = graphql::request_errors(variables.errors, "BAD_USER_INPUT");
    return;
  }
  graphql::Asked asked;
  asked.variables = std::move(variables.values);
  asked.deadline = deadline_;
  asked.header = [this](std::string_view name) -> std::optional<std::string> {
    const auto found = headers_.find(name);
    return found == headers_.end() ? std::nullopt : std::optional(found->second);
  };
  asked.tenant = [this](std::string_view name) { return graphql_.tenant(name); };
  asked.hash = [](const std::string& value) { return XXH64(value.data(), value.size(), 0); };
  if (mutation) {
    if (!claim_key(state, operation, *definition)) return;
    asked.idempotency_key = state.key.empty() ? random_key(shard_.environment()) : state.key;
  }
  if (client_->origin) {
    state.origin = std::make_shared<Origin>(*client_->origin);
    state.origin->operation = definition->name;
    for (const auto& selection : definition->selections)
      if (selection.kind == graphql::SelectionKind::field)
        state.origin->root_fields.emplace_back(selection.name);
  }
  state.executed = true;
  const auto planning_started = shard_.now();
  state.execution = std::make_unique<graphql::Execution>(graphql_.bound(), prepared.document, *definition,
                                                         std::move(asked), graphql_.config().bounds);
  std::vector<graphql::Call> out;
  state.execution->start(shard_.now(), out);
  for (auto& call : out) pending_calls_.emplace_back(number, std::move(call));
  if (client_->trail) client_->trail->add("plan", client_->span, planning_started, shard_.now());
}

// Claims the client's idempotency key, if there is one. Returns false if the operation already has a
// response: the stored one of the key, or an error.
bool GraphqlRequest::claim_key(OperationState& state, const graphql::Operation& operation,
                               const graphql::Definition& definition) {
  const auto field = headers_.find("idempotency-key");
  if (field == headers_.end()) return true;
  const auto key = unquoted_key(field->second);
  if (key.empty() || key.size() > kMaxKeyBytes) {
    status_ = 400;
    reject(state, fmt::format("idempotency-key: expected from 1 to {} bytes", kMaxKeyBytes), "BAD_REQUEST");
    return false;
  }
  // The operation is repeatable if all its fields belong to classes with an idempotency key whose engines
  // also deduplicate retries of runs on other engines. Statements that may have run can then be sent again.
  state.repeatable = true;
  const auto& bound = graphql_.bound();
  for (const auto& selection : definition.selections) {
    const auto* field_definition =
        selection.kind == graphql::SelectionKind::field
            ? bound.schema().field(*bound.schema().root(definition.kind), selection.name)
            : nullptr;
    const auto* binding = field_definition == nullptr ? nullptr : bound.binding(*field_definition);
    state.repeatable = state.repeatable && binding != nullptr && bound.cls(*binding).keyed;
  }
  std::string fingerprinted = operation.operation_name + '\n' + operation.query + operation.sha256 + '\n';
  graphql::put_json(fingerprinted, operation.variables);
  using State = graphql::Keys::State;
  auto found = graphql_.begin_key(key, XXH64(fingerprinted.data(), fingerprinted.size(), 0));
  switch (found.state) {
    case State::fresh:
      state.key = key;
      return true;
    case State::known:
      state.executed = true;
      state.response = std::move(found.answer);
      return false;
    case State::in_progress:
      status_ = 409;
      reject(state, "a request with this idempotency key is not answered yet", "IDEMPOTENCY_KEY_IN_USE");
      return false;
    case State::mismatch:
      status_ = 422;
      reject(state, "this idempotency key was used for another request", "IDEMPOTENCY_KEY_REUSED");
      return false;
    case State::full:
      status_ = 503;
      retry_after_ = std::max(retry_after_, kKeyMemoryRetryAfter);
      reject(state, "no more idempotency keys can be remembered just now; nothing was run",
             "STATEMENT_REFUSED");
      return false;
  }
  return false;
}

// Submits pending statements and processes finished ones until neither are left. A statement may finish while
// it is being submitted: it is then only queued, and this loop processes it afterwards.
void GraphqlRequest::advance() {
  if (advancing_ || finished_) return;
  advancing_ = true;
  const auto self = shared_from_this();
  while (!finished_ && (!pending_calls_.empty() || !finished_statements_.empty())) {
    for (auto& [operation, call] : std::exchange(pending_calls_, {}))
      submit_statement(operation, std::move(call));
    for (auto& finished : std::exchange(finished_statements_, {})) {
      std::vector<graphql::Call> out;
      operations_[finished.operation].execution->ended(shard_.now(), finished.call, std::move(finished.reply),
                                                       out);
      for (auto& call : out) pending_calls_.emplace_back(finished.operation, std::move(call));
    }
  }
  advancing_ = false;
  for (auto& state : operations_)
    if (!state.done() && state.execution->done()) finish_operation(state);
  if (std::ranges::all_of(operations_, &OperationState::done)) respond();
}

void GraphqlRequest::submit_statement(std::size_t operation, graphql::Call call) {
  auto client_request = std::make_shared<ClientRequest>();
  const auto number = statement_count_++;
  client_request->response_handler = shared_from_this();
  client_request->connection = client_->connection;
  client_request->call_index = call.id << 16 | operation;
  client_request->statement_number = number;
  client_request->received_at = shard_.now();
  client_request->origin = operations_[operation].origin;
  if (client_->trail) {
    client_request->trail = client_->trail;
    client_request->span = client_->trail->fresh();
    client_request->field = call.field;
  }
  client_request->max_response_bytes = std::max<std::size_t>(1, call.most_bytes);
  client_request->statement = std::make_shared<const sql::Statement>(
      sql::Statement{std::string(call.statement), true, std::move(call.parameters)});
  router::RequestSpec spec;
  spec.request.class_index = call.cls;
  spec.request.tenant = call.tenant;
  spec.request.order_key = call.order_key;
  spec.request.data_group = call.data_group;
  spec.request.estimated_work = call.cost;
  spec.request.estimated_memory_mb = call.memory_mb;
  spec.request.time_left =
      std::min(call.deadline - client_request->received_at, shard_.config().module.classes[call.cls].timeout);
  open_statements_.emplace(number, client_request);
  shard_.metrics().graphql_statements->Increment();
  shard_.submit(client_request, std::move(spec));
}

void GraphqlRequest::on_statement_finished(const ClientRequestPtr& client_request, graphql::Reply reply) {
  if (finished_ || open_statements_.erase(client_request->statement_number) == 0) return;
  finished_statements_.push_back(
      {client_request->call_index & 0xffff, client_request->call_index >> 16, std::move(reply)});
  advance();
}

void GraphqlRequest::on_served(const ClientRequestPtr& client_request, AttemptResponse response) {
  graphql::Reply reply;
  if (response.sqlstate.empty()) {
    reply.table = std::move(response.table);
    return on_statement_finished(client_request, std::move(reply));
  }
  const auto& cls = shard_.config().module.classes[client_request->class_index];
  const bool idempotent = cls.idempotency == Idempotency::idempotent;
  auto& trouble = reply.trouble.emplace();
  trouble.code =
      response.truncated ? (idempotent ? "ANSWER_TOO_LARGE" : "OUTCOME_UNKNOWN") : "STATEMENT_ERROR";
  trouble.outcome = "served";
  trouble.message = response.error;
  trouble.sqlstate = response.sqlstate;
  trouble.retry_harmless = idempotent;
  trouble.may_have_run = response.truncated && !idempotent;
  trouble.attempts = client_request->attempts;
  on_statement_finished(client_request, std::move(reply));
}

graphql::Trouble graphql_error_of(const router::Problem& problem, const ClassSettings& cls, bool client_key) {
  const bool idempotent = cls.idempotency == Idempotency::idempotent;
  // A statement with an idempotency key can be reported as rejected although it may have run, because a retry
  // has no second effect. For the client's own retry this holds only if the client sends the key again.
  const bool keyed = cls.idempotency == Idempotency::idempotency_key &&
                     cls.deduplication_scope == DeduplicationScope::all && client_key;
  const bool unknown = !idempotent && !problem.provably_never_ran &&
                       !(keyed && problem.outcome == router::ProblemOutcome::rejected);
  graphql::Trouble trouble;
  trouble.code = unknown                                               ? "OUTCOME_UNKNOWN"
                 : problem.outcome == router::ProblemOutcome::rejected ? "STATEMENT_REFUSED"
                                                                       : "STATEMENT_FAILED";
  trouble.outcome = unknown ? "failed" : router::text_of(problem.outcome);
  trouble.message = unknown ? "it may have run" : problem.detail;
  trouble.retry_harmless = !unknown || keyed;
  trouble.may_have_run = unknown;
  trouble.pause = problem.retry_after;
  trouble.attempts = problem.attempts;
  return trouble;
}

void GraphqlRequest::on_failed(const ClientRequestPtr& client_request, const router::Problem& problem) {
  graphql::Reply reply;
  reply.trouble = graphql_error_of(problem, shard_.config().module.classes[client_request->class_index],
                                   headers_.contains("idempotency-key"));
  retry_after_ = std::max(retry_after_, problem.retry_after);
  on_statement_finished(client_request, std::move(reply));
}

void GraphqlRequest::finish_operation(OperationState& state) {
  state.response = state.execution->response();
  if (!state.key.empty()) {
    const bool unknown = state.execution->any_unknown();
    if (!state.execution->any_effect() || (unknown && state.repeatable))
      graphql_.forget_key(state.key);
    else
      graphql_.complete_key(state.key, state.response);
    state.key.clear();
  }
  state.execution = nullptr;
}

void GraphqlRequest::respond() {
  finished_ = true;
  std::string body;
  bool executed = true, errors = false;
  for (const auto& state : operations_) {
    executed = executed && state.executed;
    errors = errors || state.response.find("\"errors\":[") != std::string::npos;
    body += body.empty() ? (ask_.batch ? "[" : "") : ",";
    body += state.response;
  }
  if (ask_.batch) body += "]";
  const int status = status_ != 0 ? status_
                     : ask_.batch ? 200
                                  : graphql::http_status(ask_.media, executed, false);
  auto& metrics = shard_.metrics();
  (!executed ? metrics.graphql_rejected
   : errors  ? metrics.graphql_errors
             : metrics.graphql_served)
      ->Increment();
  const auto& log = shard_.config().log.requests;
  if (log == "all" || (log == "problems" && errors))
    shard_.environment().log(
        Level::info,
        fmt::format(
            R"({{"event":"graphql","router":{},"status":{},"ms":{:.3f},"statements":{},"errors":{}}})",
            quoted(shard_.config().name), status, milliseconds(shard_.now() - client_->received_at),
            statement_count_, errors));
  std::vector<http::Field> extra_fields;
  const auto retry_after = std::to_string(router::retry_after_seconds(retry_after_));
  if (retry_after_ > Time::zero()) extra_fields.push_back({"retry-after", retry_after});
  if (status == 405) extra_fields.push_back({"allow", "POST"});
  const auto client = std::exchange(client_, nullptr);
  trace_end(shard_, *client, {errors ? 'E' : executed ? 'S' : 'B', '-'}, status);
  client->response_handler = nullptr;
  shard_.metrics().graphql_open->Decrement();
  client->client->send_response(client, status, graphql::media_type(ask_.media), std::move(body),
                                extra_fields);
}

void GraphqlRequest::on_client_disconnected() {
  if (std::exchange(finished_, true)) return;
  shard_.metrics().graphql_disconnected->Increment();
  shard_.metrics().graphql_open->Decrement();
  for (auto& state : operations_) {
    if (state.key.empty()) continue;
    // The client may send the key again while statements of this request are still running, and their effect
    // must not happen twice. The key is therefore answered with "may have run" unless the engines
    // deduplicate.
    if (state.repeatable)
      graphql_.forget_key(state.key);
    else
      graphql_.complete_key(state.key,
                            R"({"data":null,"errors":[{"message":"its client left before it was answered; )"
                            R"(it may have run","extensions":{"code":"OUTCOME_UNKNOWN","outcome":"failed",)"
                            R"("retryHarmless":false}}]})");
  }
  for (const auto& [number, client_request] : std::exchange(open_statements_, {}))
    shard_.disconnect(client_request);
  if (client_) trace_end(shard_, *client_, {'C', '-'}, 0);
  client_ = nullptr;
}

void serve_graphql(Shard& shard, Graphql& graphql, const ClientRequestPtr& client_request,
                   const http::Parser& request, std::string_view body) {
  graphql::HttpRequest http;
  http.method = request.method();
  http.target = request.target();
  http.body = body;
  http.header = [&](std::string_view name) { return request.find(name); };
  auto read = graphql::read_http(http, graphql.config().batch, graphql.config().page);
  auto& client = *client_request->client;
  if (std::holds_alternative<graphql::HttpPage>(read))
    return client.send_response(client_request, 200, "text/html; charset=utf-8", std::string(kQueryPage));
  const auto reject = [&](const graphql::HttpWrong& error) {
    shard.metrics().graphql_rejected->Increment();
    std::vector<http::Field> extra_fields;
    if (!error.allow.empty()) extra_fields.push_back({"allow", error.allow});
    client.send_response(client_request, error.status, graphql::media_type(error.media),
                         error_body(error.message, "BAD_REQUEST"), extra_fields);
  };
  if (const auto* error = std::get_if<graphql::HttpWrong>(&read)) return reject(*error);
  auto& ask = std::get<graphql::HttpAsk>(read);
  if (shard.stopping()) return reject({503, ask.media, "this router is stopping", {}});
  auto timeout = graphql.config().timeout;
  if (const auto field = request.find("heronwell-timeout-ms")) {
    std::int64_t ms = 0;
    const auto [end, error] = std::from_chars(field->data(), field->data() + field->size(), ms);
    if (error != std::errc{} || end != field->data() + field->size() || ms < 1)
      return reject(
          {400, ask.media, "heronwell-timeout-ms: expected a whole number of milliseconds from 1", {}});
    if (ms < timeout / 1ms) timeout = std::chrono::milliseconds(ms);
  }
  GraphqlRequest::Headers headers;
  for (const auto& name : graphql.headers())
    if (const auto field = request.find(name)) headers.emplace(name, *field);
  std::make_shared<GraphqlRequest>(shard, graphql, client_request, std::move(ask), std::move(headers),
                                   timeout)
      ->start();
}

}  // namespace heronwell::path
