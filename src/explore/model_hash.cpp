// The state of the model as a hash: equal hashes, equal futures.
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "explore/model_parts.hpp"

namespace heronwell::explore {

std::string encoded(const path::TimedEvent& event) {
  std::string out;
  put(out, event.at);
  put(out, event.event.index());
  std::visit(
      [&out](const auto& what) {
        using W = std::decay_t<decltype(what)>;
        if constexpr (std::is_same_v<W, path::RequestReceived>) {
          put(out, what.spec.ticket);
          put(out, what.spec.request.class_index);
          put(out, what.spec.request.time_left);
        } else if constexpr (std::is_same_v<W, path::ClientDisconnected>) {
          put(out, what.ticket);
        } else if constexpr (std::is_same_v<W, router::AttemptEnd>) {
          put(out, what.ticket);
          put(out, what.attempt);
          put(out, static_cast<std::uint64_t>(what.result));
          put(out, what.at);
        } else if constexpr (std::is_same_v<W, path::ResponseOverflowed>) {
          put(out, what.ticket);
          put(out, what.attempt);
        } else if constexpr (std::is_same_v<W, path::HealthCheckFinished>) {
          put(out, what.engine);
          put(out, static_cast<std::uint64_t>(what.result));
          put(out, what.latency);
        } else if constexpr (std::is_same_v<W, path::EndpointsChanged>) {
          for (const auto& entry : what.entries) put(out, static_cast<std::uint64_t>(entry.state));
        }
      },
      event.event);
  return out;
}

std::string encoded(const path::ShardCommand& command) {
  std::string out;
  put(out, command.index());
  if (const auto* routed = std::get_if<router::Command>(&command)) {
    put(out, routed->index());
    std::visit(
        [&out](const auto& c) {
          if constexpr (requires { c.ticket; }) put(out, c.ticket);
          if constexpr (requires { c.attempt; }) put(out, c.attempt);
          if constexpr (requires { c.engine; }) put(out, c.engine);
          if constexpr (requires { c.deadline; }) put(out, c.deadline);
          if constexpr (requires { c.status; }) put(out, static_cast<std::uint64_t>(c.status));
          if constexpr (requires { c.retry_after; }) put(out, c.retry_after);
        },
        *routed);
  } else if (const auto* fleet = std::get_if<std::shared_ptr<const path::EndpointMap>>(&command)) {
    for (const auto& [id, known] : **fleet) put(out, static_cast<std::uint64_t>(known.entry.state));
  }
  return out;
}

Hash Model::hash(bool exact) const {
  if (exact) return history_;
  auto& out = scratch_;
  out.clear();
  put(out, now_);
  for (const auto budget : {splits_, leaves_, failures_, drains_, idle_closes_, late_, stalls_, passes_,
                            restarts_, returns_, hangs_})
    put(out, budget);
  put(out, drawn_);
  hash_clients(out);
  hash_connections(out);
  for (const auto& [key, query] : queries_) {
    put(out, static_cast<std::uint64_t>(key.first) << 1 | (query.ended ? 1U : 0U));
    put(out, key.second);
    put(out, query.asked);
  }
  hash_router(out);
  properties_.digest(out);
  for (const bool one : draining_) put(out, one ? 1U : 0U);
  return hash_of(out);
}

void Model::hash_clients(std::string& out) const {
  for (const auto& client : clients_) {
    put(out, client.sent << 32 | client.answered << 1 | (client.left ? 1U : 0U));
    put(out, client.rest);
    put(out, client.in.size());
  }
}

// In an order that does not depend on which connection was opened first.
void Model::hash_connections(std::string& out) const {
  std::vector<const WireState*> sorted;
  sorted.reserve(wires_.size());
  for (const auto& wire : wires_) sorted.push_back(wire.get());
  std::ranges::sort(sorted, {},
                    [](const WireState* w) { return std::tuple(w->to, w->shard, w->peer, w->ordinal); });
  for (const auto* wire : sorted) {
    const auto& s = wire->session;
    put(out, static_cast<std::uint64_t>(wire->to) << 48 | static_cast<std::uint64_t>(wire->shard) << 32 |
                 static_cast<std::uint64_t>(wire->peer) << 16 | wire->ordinal);
    put(out, wire->transcript);
    put(out, wire->to_router);
    put(out, flags_of(*wire));
    put(out, wire->room << 1 | (wire->room_wanted ? 1U : 0U));
    put(out, wire->arrived.value_or(Time::zero()));
    put(out, s.running);
    put(out, s.ended);
    put(out, s.half.size());
    put(out, s.cancel_target);
    put(out, s.removes);
    put(out, s.posted ? 1U : 0U);
  }
}

// One bit for each flag of a connection.
std::uint64_t Model::flags_of(const WireState& wire) {
  const auto& s = wire.session;
  std::uint64_t flags = 0;
  unsigned bit = 0;
  for (const bool flag : {wire.connecting, wire.reading, wire.closed, wire.end, wire.reset, wire.seen,
                          s.cancel_read, s.unrun, wire.gone, s.hung, s.rejected_early, s.rejection_read})
    flags |= static_cast<std::uint64_t>(flag) << bit++;
  return flags;
}

void Model::hash_router(std::string& out) const {
  put(out, strand_history_);
  for (const auto& told : told_) out += encoded(told);
  for (const auto& orders : orders_) {
    put(out, orders.size());
    for (const auto& order : orders) out += encoded(order);
  }
  for (const auto& [key, given] : ordered_) {
    put(out, key);
    put(out, given);
  }
  std::vector<Time> dues;
  for (const auto& timer : timers_)
    if (timer->alive && timer->due != Time::max()) dues.push_back(timer->due);
  std::ranges::sort(dues);
  for (const auto due : dues) put(out, due);
  put(out, deferred_.size());
  for (const auto& shard : shards_) {
    const auto counts = shard->counts();
    put(out, counts.last_run_at);
    put(out, counts.suspect_from);
    put(out, counts.suspect_until);
    put(out, counts.requests << 32 | counts.attempts << 16 | counts.idle_connections << 8 |
                 counts.cancel_requests);
  }
}

Hash Model::names() const {
  auto& out = scratch_;
  out.clear();
  for (const auto& wire : wires_) {
    put(out, static_cast<std::uint64_t>(wire->to));
    put(out, static_cast<std::uint64_t>(wire->shard) << 32 | static_cast<std::uint64_t>(wire->peer) << 16 |
                 wire->ordinal);
  }
  for (const auto& timer : timers_) put(out, timer->alive ? timer->due : Time::min());
  return hash_of(out);
}

}  // namespace heronwell::explore
