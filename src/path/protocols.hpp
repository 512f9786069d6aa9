// Interfaces through which a shard uses its connections, independent of the protocol. Client connections use
// HTTP or the platform's frames; engine connections use the PostgreSQL protocol or the platform's query
// calls. All calls are made on the thread of the shard.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include "path/client_request.hpp"

namespace heronwell::path {

class ClientProtocol {
 public:
  virtual ~ClientProtocol() = default;
  virtual void start() = 0;
  virtual void close_expired(Time now) = 0;  // closes it if one of its timeouts has expired
  virtual void begin_shutdown() = 0;         // the router is shutting down: closes it gracefully
  virtual void abort() = 0;                  // closes it at once, at the end of the process
  // The unread input of the client, which may contain a cancellation or be followed by the end of the
  // connection. Returns nullopt if nothing is unread, or if nothing is read at present.
  [[nodiscard]] virtual std::optional<UnreadInput> unread_input() const = 0;
  // Orders idle connections for eviction when descriptors run out; the smallest value is evicted first. A
  // connection that was just established is evicted last, because its first request may be in transit.
  struct IdleState {
    enum class EvictionOrder : std::uint8_t { no_request_yet, served_before, just_connected };
    EvictionOrder eviction_order = EvictionOrder::served_before;
    Time since{};
    bool ending = false;  // it is being closed gracefully
    auto operator<=>(const IdleState&) const = default;
  };
  // Returns nullopt if the connection is not idle, or if connections of its protocol are never evicted.
  [[nodiscard]] virtual std::optional<IdleState> idle_state() const { return std::nullopt; }
  // Closes the connection gracefully. A second call closes it at once.
  virtual void close_when_idle() {}

  // Orders the incomplete frames that occupy memory by which is rejected first when the limit on buffered
  // bytes is exceeded; the smallest value is rejected first.
  struct IncompleteFrame {
    bool requests_open = false;  // other requests are open on the connection
    Time since{};                // arrival of the first bytes of the frame
    auto operator<=>(const IncompleteFrame&) const = default;
  };
  // Returns nullopt if the connection holds no incomplete frame of notable size, or parses its input.
  [[nodiscard]] virtual std::optional<IncompleteFrame> incomplete_frame() const { return std::nullopt; }
  // Releases the memory of the incomplete frame. The client gets a rejection for it, and the connection stays
  // open. Must be called only if there is an incomplete_frame().
  virtual void reject_incomplete_frame() {}
};
// The client connections of a shard, by connection number.
using ClientMap = std::map<std::uint64_t, std::shared_ptr<ClientProtocol>>;

class EngineProtocol {
 public:
  virtual ~EngineProtocol() = default;
  // Opens the connection for this attempt. Must be called once.
  virtual void connect(AttemptPtr attempt) = 0;
  // Starts the attempt on this idle connection. Returns false if the connection turned out to be unusable
  // before a byte was written; the attempt may then start on another connection.
  virtual bool start(const AttemptPtr& attempt) = 0;
  // Cancels the attempt at the engine, or drops it if the connection is still being established.
  virtual void cancel(const AttemptPtr& attempt) = 0;
  // Permits the attempt's response to be streamed to its client.
  virtual void begin_stream() = 0;
  // Closes the connection without ending an attempt on it.
  virtual void close_unused() = 0;
  [[nodiscard]] virtual Time idle_since() const = 0;
  // Returns the time from which the idle connection may be used again.
  [[nodiscard]] virtual Time reusable_at() const { return idle_since(); }
};

}  // namespace heronwell::path
