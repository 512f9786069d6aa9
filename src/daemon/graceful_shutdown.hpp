// GracefulShutdown ends the process after SIGTERM or SIGINT.
//
// It ensures that every admitted request is answered and that its client can read the answer, within the time
// limits below.
//
// All of it runs on the first shard's thread; tasks for shards on other threads are posted to them. The steps
// on the platform differ from those elsewhere, because the platform still sends requests to a router that is
// shutting down, while elsewhere a load balancer or the client switches to another router at once.
//
// Outside the platform (`serve`, `demo`):
//
//   1. The listener is closed, so that the kernel refuses new connections.
//   2. Each shard stops serving: it accepts no new requests, closes connections when they become idle, and
//      reports that it is not ready.
//   3. Every kPollInterval, it is checked whether any request is open. Step 4 follows when none is open or
//      when `max_duration` is over.
//   4. The decision thread and all shards stop. Requests that are still open are aborted, and their clients
//      see the connection close.
//
// On the platform (`node`, which has one shard and therefore one thread for all of it):
//
//   1. The router reports that it is not ready. It still accepts and answers connections and requests for
//      kDrainDuration, because clients learn of the shutdown with a delay.
//   2. Every kPollInterval, it is checked whether any request is open. Step 3 follows when none is open or
//      when the answer deadline is reached. The answer deadline is kAnswerBeforeKill before the earliest time
//      at which the platform may kill the process, which is
//      SIGTERM + min(longest timeout of a class, kMaxKillDelay) + kKillSlack.
//   3. The listener is closed and the shard begins its shutdown: it reads no new requests, announces the
//      shutdown to each client, and half-closes each connection when all answers on it are sent.
//   4. Every kPollInterval, for kCloseDuration at most, the decision loop answers all open requests: it
//      rejects a request if a retry at another router is safe, and fails it otherwise. This is repeated
//      because a request that a shard has read may still be queued for the decision loop. The step ends when
//      all clients have closed their connections and engines have confirmed all query deletions.
//   5. The decision thread and the shard stop.
//
// Unread bytes: if a TCP connection is closed while bytes of the peer are unread in the receive buffer, the
// kernel sends a reset, which discards all bytes that the peer has not yet read, including the last answer.
// Clients then report "connection reset" for requests that are answered according to the router's log. To
// prevent this, each connection is half-closed at the end (shutdown of the sending side) and read until the
// client closes its side. Only then, or after kCloseDuration, it is closed.
//
// For an operator: from step 1, the router is not ready and /healthz returns `stopping`; the gauges of open
// requests decrease to 0; the process exits with 0. A second signal has no effect. A process that runs longer
// than these limits hangs and must be ended with SIGKILL.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "config/config.hpp"
#include "daemon/clock.hpp"
#include "daemon/decision_thread.hpp"
#include "daemon/listener.hpp"
#include "daemon/shard_thread.hpp"
#include "path/metrics.hpp"

namespace heronwell::daemon {

class GracefulShutdown {
 public:
  // The referenced objects must outlive this one.
  GracefulShutdown(const config::Config& config, path::Metrics& metrics,
                   std::vector<std::unique_ptr<ShardThread>>& shards, DecisionThread& decision_thread,
                   Listener& listener);

  // Starts the shutdown. Must be called on the first shard's thread; later calls have no effect.
  // `max_duration` is the maximum wait for open requests outside the platform, and the longest timeout of a
  // class on the platform.
  void begin(Time max_duration);

 private:
  void begin_drain(Time max_duration);
  void wait_for_answers(Time deadline);
  void close_connections();
  void wait_for_closes(Time deadline);
  void stop_all();
  [[nodiscard]] bool requests_open() const;
  void poll_again(std::function<void()> step);

  const config::Config& config_;
  path::Metrics& metrics_;
  std::vector<std::unique_ptr<ShardThread>>& shards_;
  DecisionThread& decision_thread_;
  Listener& listener_;
  SteadyTimer timer_;
  bool begun_ = false;
};

}  // namespace heronwell::daemon
