#include "path/tracing.hpp"

#include <array>

#include "http/message.hpp"

namespace heronwell::path {
namespace {

// Names of AttemptResult values. They are stored in trace files and must not change.
constexpr std::array<const char*, 8> kResultNames{"served",        "error", "turned_away", "timed_out",
                                                  "not_connected", "reset", "called_off",  "moot"};
using Int = std::int64_t;

}  // namespace

void trace_begin(Shard& shard, ClientRequest& client_request, const http::Parser& request) {
  if (!shard.tracer().on()) return;
  client_request.trail =
      shard.tracer().begin(request.find("traceparent").value_or(""), shard.environment().random_bits(),
                           shard.environment().random_bits());
  if (!client_request.trail) return;
  client_request.span = client_request.trail->root;
  client_request.trace_response = trace::traceparent(client_request.trail->context.trace, client_request.span,
                                                     client_request.trail->context.sampled);
}

void trace_decision(const Shard& shard, ClientRequest& client_request,
                    const std::optional<router::LoadSnapshot>& belief, EngineId engine) {
  auto* trail = client_request.trail.get();
  if (trail == nullptr) return;
  const auto now = shard.now();
  trail->add("hold", client_request.span, client_request.queued_since, now);
  client_request.queued_since = now;
  auto* span = trail->add("choice", client_request.span, now, now);
  if (span == nullptr) return;
  span->attributes = {{"class", shard.config().module.classes[client_request.class_index].name}};
  if (engine != 0) span->attributes.emplace_back("engine", Int{engine});
  if (!belief) return;
  span->attributes.emplace_back("class.queued", static_cast<Int>(belief->class_view.queued));
  span->attributes.emplace_back("class.running_threads", Int{belief->class_view.running_threads});
  span->attributes.emplace_back("class.budget_threads", belief->class_view.budget_threads);
  span->attributes.emplace_back("pool_threads", belief->pool_threads);
  span->attributes.emplace_back("engine.threads_out", Int{belief->engine_threads});
  span->attributes.emplace_back("engines_in_use", Int{belief->engines_in_use});
}

void trace_attempt(Time now, const Attempt& attempt, AttemptResult result, std::string_view code,
                   bool cancelled) {
  auto* client_request = attempt.request.get();
  auto* trail = client_request == nullptr ? nullptr : client_request->trail.get();
  if (trail == nullptr) return;
  client_request->queued_since = now;
  const bool sent = attempt.first_byte_sent_at > Time::zero();
  if (attempt.on_new_connection || !sent) {
    auto* dial = trail->add("dial", client_request->span, attempt.commanded_at,
                            sent ? attempt.first_byte_sent_at : now);
    if (dial != nullptr) {
      dial->attributes = {{"engine", Int{attempt.engine}}};
      dial->error = !sent;
      if (!sent)
        dial->attributes.emplace_back("result", std::string(kResultNames[static_cast<std::size_t>(result)]));
    }
    if (!sent) return;
  }
  auto* span = trail->add("attempt", client_request->span, attempt.first_byte_sent_at, now);
  if (span == nullptr) return;
  span->kind = trace::Kind::client;
  span->error = result != AttemptResult::served;
  span->attributes = {{"engine", Int{attempt.engine}},
                      {"attempt", Int{attempt.number}},
                      {"result", std::string(kResultNames[static_cast<std::size_t>(result)])}};
  if (!code.empty()) span->attributes.emplace_back("sqlstate", std::string(code));
  if (cancelled) span->attributes.emplace_back("called_off", true);
}

void trace_end(Shard& shard, ClientRequest& client_request, router::Termination end, int status) {
  const auto trail = std::exchange(client_request.trail, nullptr);
  if (!trail) return;
  const auto now = shard.now();
  const bool submitted = client_request.ticket != 0;
  const auto& cls = shard.config().module.classes[client_request.class_index];
  const bool good = end.cause == 'S' || end.cause == 'E' || end.cause == 'B';
  if (!good || client_request.attempts > 1 ||
      (submitted && now - client_request.received_at > cls.latency_objective))
    trail->trouble = true;
  if (client_request.streaming_since > Time::zero())
    trail->add("answer", client_request.span, client_request.streaming_since, now);
  const bool statement = !client_request.client;
  auto* span = trail->add(statement ? "statement" : "request",
                          statement ? trail->root : trail->context.parent, client_request.received_at, now);
  if (span != nullptr) {
    span->id = client_request.span;
    span->detail = client_request.field;
    span->error = !good;
    span->attributes = {{"end", end.text()}};
    if (!statement) {
      span->kind = trace::Kind::server;
      span->attributes.emplace_back("http.response.status_code", Int{status});
    }
    if (submitted) {
      span->attributes.emplace_back("class", cls.name);
      if (!client_request.group.empty()) span->attributes.emplace_back("group", client_request.group);
      if (client_request.limit != groups::Limit::none)
        span->attributes.emplace_back("group.limit", std::string(groups::name_of(client_request.limit)));
      span->attributes.emplace_back("attempts", Int{client_request.attempts});
      span->attributes.emplace_back("late", now - client_request.received_at > cls.latency_objective);
    }
    if (trail->left_out > 0)
      span->attributes.emplace_back("spans_left_out", static_cast<Int>(trail->left_out));
  }
  if (!statement) shard.tracer().finish(trail);
}

}  // namespace heronwell::path
