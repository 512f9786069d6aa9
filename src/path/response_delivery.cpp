#include "path/response_delivery.hpp"

#include <fmt/format.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "path/client_connection.hpp"
#include "path/shard.hpp"
#include "path/tracing.hpp"

namespace heronwell::path {
namespace {

// HTTP status codes of finished requests.
constexpr int kOk = 200, kStatementError = 422, kBadGateway = 502;

}  // namespace

bool ResponseDelivery::past_deadline(const ClientRequestPtr& request) {
  // After the first byte the client keeps reading. The decision engine ends a stream that is too late.
  if (request->streaming() || shard_.now() <= request->deadline) return false;
  shard_.publish(ClientDisconnected{request->ticket});  // an attempt that is still in flight is stopped
  shard_.forget_request(request);
  router::FinishRequest finish;
  finish.ticket = request->ticket;
  finish.status = router::FinalStatus::deadline_exceeded;
  finish.attempts = request->attempts;
  finish.last_result = AttemptResult::timed_out;
  finish.provably_never_ran = false;
  const auto problem = router::problem_of(finish);
  shard_.metrics().classes[request->class_index].deadline_exceeded->Increment();
  record_finished(request, {'D', 'A'}, problem.status);
  respond_with_problem(request, problem);
  return true;
}

void ResponseDelivery::deliver(const router::DeliverResponse& command) {
  const auto request = shard_.find_request(command.ticket);
  if (!request || past_deadline(request)) return;
  auto response = std::move(request->responses[command.attempt]);
  request->responses.clear();
  shard_.forget_request(request);
  const bool error = !response.sqlstate.empty();
  if (request->streaming()) return finish_stream(request, error);
  auto& counters = shard_.metrics().classes[request->class_index];
  (error ? counters.error : counters.served)->Increment();
  record_finished(request, {error ? 'E' : 'S', 'A'}, error ? kStatementError : kOk);
  if (!request->client) return request->response_handler->on_served(request, std::move(response));
  if (!error)
    return request->client->send_response(request, kOk, "application/json", std::move(response.json));
  router::Problem problem;
  problem.status = kStatementError;
  problem.outcome = router::ProblemOutcome::statement_error;
  problem.sqlstate = response.sqlstate;
  problem.detail = response.error;
  problem.retry_is_safe = retry_is_safe(*request);
  respond_with_problem(request, problem);
}

// If the statement failed after some rows were sent, the connection is closed abruptly, so that the client
// does not mistake these rows for the complete result.
void ResponseDelivery::finish_stream(const ClientRequestPtr& request, bool engine_error) {
  auto& counters = shard_.metrics().classes[request->class_index];
  (engine_error ? counters.aborted : counters.served)->Increment();
  record_finished(request, {engine_error ? 'E' : 'S', 'D'}, kOk);
  if (!engine_error) return request->client->end_response(request);
  apply(request->response_state, ResponseEvent::finish);
  request->client->abort_response();
}

void ResponseDelivery::abort_stream(const router::AbortStream& command) {
  const auto request = shard_.find_request(command.ticket);
  if (!request) return;
  shard_.metrics().classes[request->class_index].aborted->Increment();
  record_finished(request, {'X', 'D'}, kOk);
  shard_.forget_request(request);
  if (request->streaming()) {
    apply(request->response_state, ResponseEvent::finish);
    return request->client->abort_response();
  }
  router::Problem problem;  // no byte was sent, so the client can still get an error response
  problem.status = kBadGateway;
  problem.outcome = router::ProblemOutcome::failed;
  problem.detail = "the engine was lost in the middle of the answer";
  problem.provably_never_ran = false;
  problem.retry_is_safe = retry_is_safe(*request);
  respond_with_problem(request, problem);
}

void ResponseDelivery::finish(const router::FinishRequest& command) {
  const auto request = shard_.find_request(command.ticket);
  if (!request) return;
  shard_.forget_request(request);
  trace_decision(shard_, *request, command.load_snapshot, 0);
  request->limit = command.limit;
  auto problem = router::problem_of(command);
  if (command.limit != groups::Limit::none) problem.detail += ", group " + request->group;
  auto& counters = shard_.metrics().classes[request->class_index];
  char ended_by = 'D';
  auto* counter = counters.deadline_exceeded;
  if (command.status == router::FinalStatus::rejected) {
    ended_by = 'R';
    counter = counters.rejected;
  } else if (command.status == router::FinalStatus::failed) {
    ended_by = 'F';
    counter = counters.failed;
  }
  counter->Increment();
  record_finished(request, {ended_by, command.attempts > 0 ? 'A' : 'H'}, problem.status);
  respond_with_problem(request, problem);
}

void ResponseDelivery::respond_with_problem(const ClientRequestPtr& request, const router::Problem& problem) {
  if (!request->client) return request->response_handler->on_failed(request, problem);
  // http::Field holds views: this string must outlive the fields.
  const auto retry_after = std::to_string(router::retry_after_seconds(problem.retry_after));
  std::vector<http::Field> fields;
  if (problem.outcome == router::ProblemOutcome::rejected && problem.retry_after > Time::zero())
    fields.push_back({"retry-after", retry_after});
  request->client->send_response(request, problem.status, "application/problem+json",
                                 router::problem_body(problem), fields);
}

bool ResponseDelivery::retry_is_safe(const ClientRequest& request) const {
  return shard_.config().module.classes[request.class_index].idempotency == Idempotency::idempotent;
}

void ResponseDelivery::record_finished(const ClientRequestPtr& request, router::Termination end, int status) {
  trace_end(shard_, *request, end, status);
  const auto& config = shard_.config();
  const auto duration = shard_.now() - request->received_at;
  const bool good = end.cause == 'S' || end.cause == 'E';
  if (good)
    shard_.metrics().classes[request->class_index].duration_seconds->Observe(
        std::chrono::duration<double>(duration).count());
  if (config.log.requests == "none" || (config.log.requests == "problems" && good)) return;
  const auto& cls = config.module.classes[request->class_index];
  std::string group_fields;
  if (!request->group.empty()) group_fields = ",\"group\":" + quoted(request->group);
  if (request->limit != groups::Limit::none)
    group_fields += fmt::format(",\"limit\":\"{}\"", groups::name_of(request->limit));
  shard_.environment().log(
      Level::info,
      fmt::format(
          R"({{"event":"request","router":{},"ticket":{},"class":{},"end":"{}","status":{},"ms":{:.3f},"attempts":{},"engine":{}{}}})",
          quoted(config.name), request->ticket, quoted(request->ticket == 0 ? "" : cls.name), end.text(),
          status, milliseconds(duration), request->attempts, request->engine, group_fields));
}

}  // namespace heronwell::path
