// What each step of the model does: act(), and what the step may read or change: touch().
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "explore/model_parts.hpp"

namespace heronwell::explore {

std::uint64_t Model::order_key(const path::ShardCommand& order) {
  const auto* command = std::get_if<router::Command>(&order);
  if (command == nullptr) return 0;
  return std::visit(
      [](const auto& c) -> std::uint64_t {
        if constexpr (requires { c.ticket; }) return c.ticket;
        return 0;
      },
      *command);
}

// The engine has ended the statement, and the answer is on its way.
void Model::ended(WireState& wire, bool proven_unrun) {
  wire.session.ended = std::exchange(wire.session.running, {});
  wire.session.extended = wire.session.hung = false;
  wire.session.unrun = proven_unrun;
  if (proven_unrun) footprint_.add(Footprint::properties);
  if (proven_unrun) properties_.never_began(wire.session.ended);
}

// What this shows the router: a request is whole, an attempt over.
void Model::delivered(WireState& wire) {
  if (wire.to == WireState::To::client) {
    auto& client = clients_[wire.peer];
    if (wire.to_router.empty()) {
      for (std::size_t n = 0; n + (client.rest.empty() ? 0 : 1) < client.sent; ++n)
        properties_.request_arrived(setting_.plan.clients[wire.peer][n].id, wire.arrived.value_or(now_));
    }
    return;
  }
  if (wire.to_router.empty()) wire.session.rejection_read = wire.session.rejected_early;
  if (wire.to_router.empty() && wire.session.running.empty() && !wire.session.ended.empty()) {
    properties_.attempt_over(std::exchange(wire.session.ended, {}), wire.id, wire.session.unrun);
  }
}

void Model::send_request(const Choice& choice) {
  auto& client = clients_[choice.a];
  auto& wire = *wires_[client.wire];
  if (!client.rest.empty()) {
    wire.to_router += std::exchange(client.rest, {});
    return;
  }
  const auto& asked = setting_.plan.clients[choice.a][client.sent++];
  auto text = setting_.plan.platform ? request_frame(asked, static_cast<std::uint32_t>(client.sent))
                                     : request_message(asked);
  if (choice.b != 0) {
    --splits_;
    const auto cut = choice.b == 1 ? 1 : text.size() - 1;
    client.rest = text.substr(cut);
    text.resize(cut);
  }
  wire.to_router += text;
}

void Model::leave_router(const Choice& choice) {
  --leaves_;
  auto& client = clients_[choice.a];
  client.left = true;
  auto& wire = *wires_[client.wire];
  (choice.b == 0 ? wire.end : wire.reset) = true;
  if (setting_.plan.platform) wire.seen = true;  // it lies unread in the router's kernel
}

void Model::finish_connect(const Choice& choice) {
  auto& wire = *wires_[choice.a];
  wire.connecting = false;
  wire.log("connected");
  if (const auto user = wire.user.lock()) user->on_connected();
}

void Model::refuse_connect(const Choice& choice) {
  --failures_;
  auto& wire = *wires_[choice.a];
  wire.connecting = false;
  wire.log("refused");
  if (setting_.plan.platform) wire.refused = true, process_gone(wire.peer);
  if (const auto user = wire.user.lock()) user->on_closed(true);
}

void Model::deliver_bytes(const Choice& choice) {
  auto wire = wires_[choice.a];
  auto bytes = wire->to_router;
  if (choice.b == 1) {
    --splits_;
    bytes.resize(1);
  }
  wire->to_router.erase(0, bytes.size());
  wire->log("deliver", bytes);
  delivered(*wire);
  if (const auto user = wire->user.lock()) user->on_data(bytes);
  if (wire->to_router.empty()) wire->arrived.reset();
}

void Model::deliver_end(const Choice& choice) {
  auto wire = wires_[choice.a];
  wire->log("over", choice.b == 0 ? "end" : "reset");
  wire->to_router.clear();
  wire->reading = false;
  wire->seen = true;
  wire->end = wire->reset = false;
  wire->gone = true;
  if (wire->to == WireState::To::engine) {
    if (!setting_.plan.platform) properties_.wire_lost(wire->id);
    wire->session.running.clear();
  }
  if (const auto user = wire->user.lock()) user->on_closed(choice.b == 1);
}

void Model::answer_statement(const Choice& choice) {
  auto& wire = *wires_[choice.a];
  const auto how = static_cast<EngineReply>(choice.b);
  if (how == EngineReply::early) return reject_early(wire);
  const bool as_call = setting_.plan.platform && how != EngineReply::never && how != EngineReply::reset;
  if (how == EngineReply::half) --splits_;
  if (how == EngineReply::turned_away || how == EngineReply::error || how == EngineReply::reset) --failures_;
  if (how == EngineReply::never || (as_call && how == EngineReply::blocked)) --hangs_;
  return as_call ? answer_call(wire, how) : answer_session(wire, how);
}

void Model::answer_session(WireState& wire, EngineReply how) {
  auto& session = wire.session;
  switch (how) {
    case EngineReply::whole:
      wire.to_router += answer_of(session);
      return ended(wire, false);
    case EngineReply::half: {
      const auto all = answer_of(session);
      wire.to_router += all.substr(0, all.size() / 2);
      session.half = all.substr(all.size() / 2);
      return;
    }
    case EngineReply::turned_away:
      sql::put_error(wire.to_router, {"ERROR", "53300", "too many connections"});
      sql::put_ready(wire.to_router);
      return ended(wire, true);
    case EngineReply::error:
      sql::put_error(wire.to_router, {"ERROR", "22012", "division by zero"});
      sql::put_ready(wire.to_router);
      return ended(wire, false);
    case EngineReply::never:
      session.hung = true;
      return;
    case EngineReply::blocked:  // the platform's alone
    case EngineReply::early:    // reject_early()
      return;
    case EngineReply::reset:
      wire.reset = true;
      session.running.clear();
      session.half.clear();
      return;
  }
}

void Model::finish_answer(const Choice& choice) {
  auto& wire = *wires_[choice.a];
  wire.to_router += std::exchange(wire.session.half, {});
  if (!setting_.plan.platform) return ended(wire, false);
  query_over(wire.peer, wire.session.running, false);
  wire.session.running.clear();
}

void Model::close_idle_connection(const Choice& choice) {
  --idle_closes_;
  auto& wire = *wires_[choice.a];
  wire.end = true;
  wire.seen = choice.b == 1;
}

void Model::read_cancel_request(const Choice& choice) {
  auto& wire = *wires_[choice.a];
  auto& s = wire.session;
  if (setting_.plan.platform) return removal_read(wire);
  s.cancel_read = true;
  wire.end = true;
  auto& target = *named(s.cancels);
  footprint_.wire(target.id);
  auto& running = target.session;
  if (target.closed || target.end || target.reset || running.running.empty()) return;
  properties_.cancel_met(s.running, running.running, running.statements == s.cancel_target);
  running.half.clear();
  sql::put_error(target.to_router, {"ERROR", "57014", "canceling statement due to user request"});
  sql::put_ready(target.to_router);
  return ended(target, false);
}

void Model::receive_events() {
  auto told = std::exchange(told_, {});
  std::string line;
  put(line, now_);
  for (const auto& one : told) line += encoded(one);
  mix(strand_history_, line);
  strand_->receive(told);
}

void Model::execute_commands(const Choice& choice) {
  auto orders = std::exchange(orders_[choice.a], {});
  for (auto& order : orders) {
    if (const auto* fleet = std::get_if<std::shared_ptr<const path::EndpointMap>>(&order))
      for (std::size_t e = 0; e < draining_.size(); ++e) {
        const auto known = (*fleet)->find(fleet::EndpointRegistry::id_of(engine_name(e)));
        if (known != (*fleet)->end())
          properties_.drain_known(static_cast<std::uint16_t>(e),
                                  known->second.entry.state != EndpointState::ready);
      }
    std::string line;
    put(line, now_);
    line += encoded(order);
    mix(ordered_[order_key(order)], line);
    std::vector<path::ShardCommand> one;
    one.push_back(std::move(order));
    shards_[choice.a]->execute(one);
  }
}

void Model::fire_timer(const Choice& choice) {
  const auto timer = timers_[choice.a];
  timer->due = Time::max();
  timer->then();
}

void Model::run_deferred() {
  const auto then = std::move(deferred_.front());
  deferred_.pop_front();
  then();
}

void Model::run_decision_loop() {
  std::string line;
  put(line, now_);
  mix(strand_history_, line);
  strand_->run();
}

void Model::change_endpoint_state(const Choice& choice) {
  --(choice.b == 0 ? drains_ : returns_);
  draining_[choice.a] = choice.b == 0;
  if (choice.b == 0)
    properties_.drain_told(choice.a, now_);
  else
    properties_.drain_over(choice.a);
  told_.push_back({now_, listed()});
}

void Model::restart_router() {
  --restarts_;
  die();
  std::string line;
  put(line, now_);
  mix(strand_history_, line);
  return boot();
}

void Model::read_response_bytes(const Choice& choice) {
  auto& wire = *wires_[clients_[choice.a].wire];
  wire.room = setting_.plan.room;
  wire.log("room");
  if (!std::exchange(wire.room_wanted, false)) return;
  if (const auto user = wire.user.lock()) user->on_writable();
}

void Model::read_statement_bytes(const Choice& choice) {
  auto& wire = *wires_[choice.a];
  wire.room = setting_.plan.engine_window;
  wire.room_wanted = false;
  wire.log("window");
  if (const auto user = wire.user.lock()) user->on_writable();
}

// Whether the engine has received a part of a statement, and enough of it to reject it.
bool Model::statement_incomplete(const WireState& wire) const {
  const auto& session = wire.session;
  if (!session.running.empty()) return false;
  if (setting_.plan.platform)
    return session.in.starts_with("POST") && session.in.find("\r\n\r\n") != std::string::npos;
  return session.ready && session.in.starts_with('Q');
}

void Model::reject_early(WireState& wire) {
  --failures_;
  wire.session.rejected_early = true;
  if (setting_.plan.platform) {
    wire.to_router += "HTTP/1.1 503 Full\r\nX-No-Effect: 1\r\nContent-Length: 0\r\n\r\n";
    return;
  }
  sql::put_error(wire.to_router, {"ERROR", "53300", "too many connections"});
  sql::put_ready(wire.to_router);
}

void Model::act(const Choice& choice) {
  scratch_.clear();
  put(scratch_,
      static_cast<std::uint64_t>(choice.kind) << 32 | static_cast<std::uint64_t>(choice.a) << 8 | choice.b);
  mix(history_, scratch_);
  switch (choice.kind) {
    case Kind::send:
      return send_request(choice);
    case Kind::leave:
      return leave_router(choice);
    case Kind::connected:
      return finish_connect(choice);
    case Kind::refused:
      return refuse_connect(choice);
    case Kind::deliver:
      return deliver_bytes(choice);
    case Kind::over:
      return deliver_end(choice);
    case Kind::answer:
      return answer_statement(choice);
    case Kind::finish:
      return finish_answer(choice);
    case Kind::idle_close:
      return close_idle_connection(choice);
    case Kind::cancel:
      return read_cancel_request(choice);
    case Kind::told:
      return receive_events();
    case Kind::ordered:
      return execute_commands(choice);
    case Kind::timer:
      return fire_timer(choice);
    case Kind::deferred:
      return run_deferred();
    case Kind::due:
      return run_decision_loop();
    case Kind::list:
      return change_endpoint_state(choice);
    case Kind::pass:
      if (passes_ > 0) --passes_;
      if (pending_events() && late_ > 0) --late_;
      return pass(false);
    case Kind::stall:
      --stalls_;
      return pass(true);
    case Kind::restart:
      return restart_router();
    case Kind::reads:
      return read_response_bytes(choice);
    case Kind::engine_reads:
      return read_statement_bytes(choice);
  }
}

void Model::touch(const Choice& choice) {
  footprint_ = {};
  const auto wire = [this](std::uint16_t id) {
    footprint_.wire(id);
    runs(wires_[id]->shard);
  };
  switch (choice.kind) {
    case Kind::send:
      footprint_.wire(clients_[choice.a].wire);
      if (choice.b != 0) footprint_.add(Footprint::splits);
      return;
    case Kind::leave:
      footprint_.wire(clients_[choice.a].wire);
      return footprint_.add(Footprint::leaves);
    case Kind::refused:
      footprint_.add(Footprint::failures);
      if (setting_.plan.platform) footprint_.add(Footprint::properties);
      return wire(choice.a);
    case Kind::deliver:
      if (choice.b == 1) footprint_.add(Footprint::splits);
      footprint_.add(Footprint::properties);
      return wire(choice.a);
    case Kind::over:
      footprint_.add(Footprint::properties);
      return wire(choice.a);
    case Kind::connected:
      return wire(choice.a);
    case Kind::answer:
      footprint_.wire(choice.a);
      if (choice.b == static_cast<unsigned>(EngineReply::half)) footprint_.add(Footprint::splits);
      if (choice.b > static_cast<unsigned>(EngineReply::half))
        footprint_.add(Footprint::failures);  // or hangs
      if (properties_.data_group(wires_[choice.a]->session.running) != 0) footprint_.all();
      if (setting_.plan.platform)
        footprint_.add(Footprint::properties);  // an engine's queries are no connection's
      return;
    case Kind::finish:
    case Kind::cancel:
      if (setting_.plan.platform) footprint_.add(Footprint::properties);
      if (properties_.data_group(wires_[choice.a]->session.running) != 0) footprint_.all();
      return footprint_.wire(choice.a);
    case Kind::told:
      footprint_.add(Footprint::told);
      return footprint_.add(Footprint::strand);
    case Kind::due:
      return footprint_.add(Footprint::strand);
    case Kind::ordered:
      footprint_.orders(choice.a);
      footprint_.add(Footprint::properties);  // a drain becomes known
      return runs(choice.a);
    case Kind::timer:
      return runs(timers_[choice.a]->shard);
    case Kind::deferred:
      footprint_.add(Footprint::deferred);
      for (std::size_t i = 0; i < shards_.size(); ++i) footprint_.shard(i);
      return;
    case Kind::reads:
      return wire(clients_[choice.a].wire);
    case Kind::engine_reads:
      return wire(choice.a);
    case Kind::idle_close:  // whose budget has no bit
    case Kind::list:
    case Kind::pass:
    case Kind::stall:
    case Kind::restart:
      return footprint_.all();
  }
}

}  // namespace heronwell::explore
