#include "path/tracing.hpp"

#include <array>

#include "http/message.hpp"

namespace heronwell::path {
namespace {

constexpr std::array<const char*, 8> kResults{"served",        "error", "turned_away", "timed_out",
                                              "not_connected", "reset", "called_off",  "moot"};
using Int = std::int64_t;

}  // namespace

void trace_begin(Shard& shard, Exchange& exchange, const http::Parser& request) {
  if (!shard.tracer().on()) return;
  exchange.trail = shard.tracer().begin(request.find("traceparent").value_or(""), shard.world().drawn(),
                                        shard.world().drawn());
  if (!exchange.trail) return;
  exchange.span = exchange.trail->root;
  exchange.trace_response =
      trace::traceparent(exchange.trail->context.trace, exchange.span, exchange.trail->context.sampled);
}

void trace_choice(const Shard& shard, Exchange& exchange, const std::optional<router::Knew>& knew,
                  EngineId engine) {
  auto* trail = exchange.trail.get();
  if (trail == nullptr) return;
  const auto now = shard.now();
  trail->add("hold", exchange.span, exchange.held_since, now);
  exchange.held_since = now;
  auto* span = trail->add("choice", exchange.span, now, now);
  if (span == nullptr) return;
  span->attributes = {{"class", shard.config().module.classes[exchange.cls].name}};
  if (engine != 0) span->attributes.emplace_back("engine", Int{engine});
  if (!knew) return;
  span->attributes.emplace_back("class.queued", static_cast<Int>(knew->cls.queued));
  span->attributes.emplace_back("class.running_threads", Int{knew->cls.running});
  span->attributes.emplace_back("class.budget_threads", knew->cls.budget);
  span->attributes.emplace_back("pool_threads", knew->pool);
  span->attributes.emplace_back("engine.threads_out", Int{knew->engine});
  span->attributes.emplace_back("engines_in_use", Int{knew->engines_out});
}

void trace_attempt(Time now, const Attempt& attempt, Result result, std::string_view code, bool called_off) {
  auto* exchange = attempt.exchange.get();
  auto* trail = exchange == nullptr ? nullptr : exchange->trail.get();
  if (trail == nullptr) return;
  exchange->held_since = now;
  const bool sent = attempt.sent > Time::zero();
  if (attempt.dialled || !sent) {
    auto* dial = trail->add("dial", exchange->span, attempt.started, sent ? attempt.sent : now);
    if (dial != nullptr) {
      dial->attributes = {{"engine", Int{attempt.engine}}};
      dial->error = !sent;
      if (!sent)
        dial->attributes.emplace_back("result", std::string(kResults[static_cast<std::size_t>(result)]));
    }
    if (!sent) return;
  }
  auto* span = trail->add("attempt", exchange->span, attempt.sent, now);
  if (span == nullptr) return;
  span->kind = trace::Kind::client;
  span->error = result != Result::served;
  span->attributes = {{"engine", Int{attempt.engine}},
                      {"attempt", Int{attempt.number}},
                      {"result", std::string(kResults[static_cast<std::size_t>(result)])}};
  if (!code.empty()) span->attributes.emplace_back("sqlstate", std::string(code));
  if (called_off) span->attributes.emplace_back("called_off", true);
}

void trace_end(Shard& shard, Exchange& exchange, router::Termination end, int status) {
  const auto trail = std::exchange(exchange.trail, nullptr);
  if (!trail) return;
  const auto now = shard.now();
  const bool taken = exchange.ticket != 0;
  const auto& cls = shard.config().module.classes[exchange.cls];
  const bool good = end.who == 'S' || end.who == 'E' || end.who == 'B';
  if (!good || exchange.attempts > 1 || (taken && now - exchange.began > cls.aim)) trail->trouble = true;
  if (exchange.stream_since > Time::zero()) trail->add("answer", exchange.span, exchange.stream_since, now);
  const bool statement = !exchange.client;
  auto* span = trail->add(statement ? "statement" : "request",
                          statement ? trail->root : trail->context.parent, exchange.began, now);
  if (span != nullptr) {
    span->id = exchange.span;
    span->detail = exchange.field;
    span->error = !good;
    span->attributes = {{"end", end.text()}};
    if (!statement) {
      span->kind = trace::Kind::server;
      span->attributes.emplace_back("http.response.status_code", Int{status});
    }
    if (taken) {
      span->attributes.emplace_back("class", cls.name);
      if (!exchange.group.empty()) span->attributes.emplace_back("group", exchange.group);
      if (exchange.limit != groups::Limit::none)
        span->attributes.emplace_back("group.limit", std::string(groups::name_of(exchange.limit)));
      span->attributes.emplace_back("attempts", Int{exchange.attempts});
      span->attributes.emplace_back("late", now - exchange.began > cls.aim);
    }
    if (trail->left_out > 0)
      span->attributes.emplace_back("spans_left_out", static_cast<Int>(trail->left_out));
  }
  if (!statement) shard.tracer().finish(trail);
}

}  // namespace heronwell::path
