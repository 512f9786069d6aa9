// Which events may come next in the model: choices(), by the part that they happen to.
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "explore/model_parts.hpp"

namespace heronwell::explore {
namespace {

void add(std::vector<Choice>& out, Kind kind, std::size_t a = 0, unsigned b = 0) {
  out.push_back({kind, static_cast<std::uint16_t>(a), static_cast<std::uint8_t>(b)});
}

}  // namespace

void Model::choices(std::vector<Choice>& out) const {
  out.clear();
  add_router_choices(out);
  for (std::size_t client = 0; client < clients_.size(); ++client) add_client_choices(out, client);
  for (const auto& wire : wires_)
    if (!wire->closed) add_connection_choices(out, *wire);
  add_environment_choices(out);
}

void Model::add_router_choices(std::vector<Choice>& out) const {
  if (!told_.empty()) add(out, Kind::told);
  for (std::size_t i = 0; i < orders_.size(); ++i)
    if (!orders_[i].empty()) add(out, Kind::ordered, i);
  if (!deferred_.empty()) add(out, Kind::deferred);
  if (strand_->next_due() <= now_) add(out, Kind::due);
  for (std::size_t i = 0; i < timers_.size(); ++i)
    if (timers_[i]->alive && timers_[i]->due <= now_) add(out, Kind::timer, i);
}

void Model::add_client_choices(std::vector<Choice>& out, std::size_t number) const {
  const auto& client = clients_[number];
  const auto& wire = *wires_[client.wire];
  if (client.left || wire.closed || wire.end) return;
  const auto& script = setting_.plan.clients[number];
  const bool next =
      client.sent < script.size() && (setting_.plan.pipelined || client.answered == client.sent);
  if (!client.rest.empty() || next) add(out, Kind::send, number);
  if (client.rest.empty() && next && splits_ > 0) {
    add(out, Kind::send, number, 1);
    add(out, Kind::send, number, 2);
  }
  if (wire.room < setting_.plan.room) add(out, Kind::reads, number);
  if (leaves_ > 0 && client.sent > 0) {
    add(out, Kind::leave, number, 0);
    add(out, Kind::leave, number, 1);
  }
}

void Model::add_connection_choices(std::vector<Choice>& out, const WireState& wire) const {
  if (wire.connecting) {
    add(out, Kind::connected, wire.id);
    if (failures_ > 0) add(out, Kind::refused, wire.id);
    return;
  }
  if (wire.reading && !wire.to_router.empty()) {
    add(out, Kind::deliver, wire.id);
    if (splits_ > 0 && wire.to == WireState::To::engine && wire.to_router.size() > 1)
      add(out, Kind::deliver, wire.id, 1);
  }
  if (wire.reading && wire.end && wire.to_router.empty()) add(out, Kind::over, wire.id, 0);
  if (wire.reading && wire.reset) add(out, Kind::over, wire.id, 1);
  if (wire.to == WireState::To::engine && !wire.end && !wire.reset) add_engine_choices(out, wire);
}

void Model::add_engine_choices(std::vector<Choice>& out, const WireState& wire) const {
  const auto& session = wire.session;
  if (wire.room_wanted) {
    add(out, Kind::engine_reads, wire.id);
    if (failures_ > 0 && statement_incomplete(wire) && !session.rejected_early)
      for (const auto how : {EngineReply::early, EngineReply::reset})
        add(out, Kind::answer, wire.id, static_cast<unsigned>(how));
  }
  if (session.cancels != 0 || !session.removes.empty()) {
    if (!session.cancel_read) add(out, Kind::cancel, wire.id);
    return;
  }
  if (!session.running.empty()) return add_answer_choices(out, wire);
  if ((session.ready || session.statements > 0) && idle_closes_ > 0 && wire.to_router.empty()) {
    add(out, Kind::idle_close, wire.id, 0);
    add(out, Kind::idle_close, wire.id, 1);
  }
}

void Model::add_answer_choices(std::vector<Choice>& out, const WireState& wire) const {
  const auto& session = wire.session;
  const auto answer = [&](EngineReply how) { add(out, Kind::answer, wire.id, static_cast<unsigned>(how)); };
  if (!session.half.empty()) {
    add(out, Kind::finish, wire.id);
  } else {
    if (session.hung || stands_still(wire)) return;
    if (hangs_ > 0) answer(EngineReply::never);
    if (hangs_ > 0 && setting_.plan.platform) answer(EngineReply::blocked);
    answer(EngineReply::whole);
    if (splits_ > 0) answer(EngineReply::half);
    if (failures_ > 0 && (!setting_.plan.platform || session.posted)) answer(EngineReply::turned_away);
    if (failures_ > 0) answer(EngineReply::error);
  }
  if (failures_ > 0) answer(EngineReply::reset);
}

void Model::add_environment_choices(std::vector<Choice>& out) const {
  for (std::size_t engine = 0; drains_ > 0 && engine < draining_.size(); ++engine)
    if (!draining_[engine]) add(out, Kind::list, engine);
  for (std::size_t engine = 0; returns_ > 0 && engine < draining_.size(); ++engine)
    if (draining_[engine]) add(out, Kind::list, engine, 1);
  if (restarts_ > 0) add(out, Kind::restart);
  if (passes_ > 0 && (late_ > 0 || !pending_events())) add(out, Kind::pass);
  if (stalls_ > 0) add(out, Kind::stall);
}

}  // namespace heronwell::explore
