// What the parts of the model share: its connections, the names of engines and the bytes that stand for an
// event. For this package alone.
#pragma once

#include <algorithm>

#include "explore/model.hpp"

namespace heronwell::explore {

struct Model::WireState final : path::Stream {
  enum class To { client, engine };
  Model* sim = nullptr;
  std::uint16_t id = 0, shard = 0, peer = 0, ordinal = 0;
  To to = To::client;
  std::weak_ptr<path::StreamObserver> user;
  bool connecting = false, reading = false, closed = false, room_wanted = false;
  std::string to_router;
  std::optional<Time> arrived;      // since when bytes of it wait, where a stall has hit them
  bool end = false, reset = false;  // on their way to the router, after what waits
  bool seen = false;                // that it is known to the router's kernel
  std::size_t room = 0;             // where the client's or engine's side has a limit
  bool gone = false;                // its end was read
  bool refused = false;             // by the machine: no process listens there
  Session session;
  Hash transcript;

  void log(std::string_view what, std::string_view bytes = {}) {
    std::string line;
    put(line, sim->now_);
    put(line, what);
    line += bytes;
    mix(transcript, line);
  }
  void attach(std::weak_ptr<path::StreamObserver> given) override { user = std::move(given); }
  std::optional<std::size_t> write(std::span<const std::string_view> pieces) override {
    sim->footprint_.wire(id);
    if (closed || (seen && reset)) return std::nullopt;
    std::string bytes;
    for (const auto piece : pieces) bytes += piece;
    if (to == To::engine && sim->setting_.plan.engine_window > 0) {
      bytes.resize(std::min<std::size_t>(bytes.size(), room));
      room -= bytes.size();
    }
    log("write", bytes);
    if (session.rejection_read && !bytes.empty()) sim->properties_.written_after_rejection(peer);
    if (to == To::engine && seen && end && !bytes.starts_with('X')) sim->properties_.written_past_end(peer);
    if (reset || end) return bytes.size();  // it crosses the end, and nobody reads it
    if (to == To::client) {
      if (sim->setting_.plan.room > 0) bytes.resize(std::min<std::size_t>(bytes.size(), room));
      room -= bytes.size();
      sim->setting_.plan.platform ? sim->client_reads_frames(*this, bytes) : sim->client_reads(*this, bytes);
    } else {
      session.in += bytes;
      sim->setting_.plan.platform ? sim->engine_reads_calls(*this) : sim->engine_reads(*this);
    }
    return bytes.size();
  }
  void notify_when_writable() override {
    sim->footprint_.wire(id);
    room_wanted = true;
  }
  void set_reading(bool on) override {
    sim->footprint_.wire(id);
    reading = on;
  }
  bool nothing_to_read() override {
    sim->footprint_.wire(id);
    return !(seen && (end || reset || !to_router.empty()));
  }
  std::size_t unread_bytes() override {
    sim->footprint_.wire(id);
    return seen ? to_router.size() : 0;
  }
  [[nodiscard]] path::DialFailure dial_failure() const override {
    return refused ? path::DialFailure::refused : path::DialFailure::unknown;
  }
  void shut_down_writing() override {
    sim->footprint_.wire(id);
    log("shut");
    if (to == To::client) end = true, seen = true;  // its client closes in turn
  }
  void close(bool as_reset) override {
    sim->footprint_.wire(id);
    sim->footprint_.add(Footprint::properties);
    log(as_reset ? "reset" : "close");
    closed = true;
    user.reset();
    if (!sim->setting_.plan.platform) sim->properties_.wire_lost(id);
    session.running.clear();
  }
};

// The configuration of a world of the platform's; `window`: of its keyed class.
config::Config platform_config(const ModelPlan& plan, Time window);

// Bytes that stand for what is published or commanded: equal bytes, equal effect.
std::string encoded(const path::TimedEvent& event);
std::string encoded(const path::ShardCommand& command);

}  // namespace heronwell::explore
