// ShardThread provides a shard (path/shard.hpp) with a clock, timers, sockets, random numbers and its queues.
// It makes no decisions itself.
//
// Each shard has an io_context that exactly one thread runs. A shard needs no locks, because its client
// connections, engine connections and requests are used by this thread only. The first shard shares its
// thread with the decision thread's work, the listener and the signal handling (server.hpp).
//
// Two queues connect it to the decision thread: one for events to that thread (publish) and one for commands
// from it (commands). No other data of a shard is shared between threads.
#pragma once

#include <array>
#include <functional>
#include <pcg_random.hpp>

#include "daemon/clock.hpp"
#include "daemon/log.hpp"
#include "daemon/message_queue.hpp"
#include "path/shard.hpp"

namespace heronwell::daemon {

using ShardEventQueue = MessageQueue<path::TimedEvent, Executor>;      // to the decision thread
using ShardCommandQueue = MessageQueue<path::ShardCommand, Executor>;  // from the decision thread

class ShardThread final : public path::ShardEnvironment {
 public:
  // The referenced objects must outlive this one. Throws std::runtime_error if libsodium cannot be
  // initialized.
  ShardThread(const config::Config& config, path::Metrics& metrics, const router::QueryParser& query_parser,
              trace::Tracer& tracer, unsigned index);

  asio::io_context& context() { return context_; }
  path::Shard& shard() { return shard_; }              // on this thread only, once it runs
  ShardCommandQueue& commands() { return commands_; }  // on any thread
  // Sets the queue to which events are published. Must be called before the thread runs.
  void bind(ShardEventQueue& events) { events_ = &events; }
  // Serves an accepted client connection. Must be called on this thread.
  void serve(Socket socket);

  [[nodiscard]] Time now() override { return steady_now(); }
  std::uint64_t random_bits() override { return random_(); }
  void fill_random(std::span<unsigned char> bytes) override;
  path::StreamPtr dial(const config::Address& address) override;
  path::TimerPtr create_timer(std::function<void()> on_expired) override;
  void defer(std::function<void()> task) override;
  void publish(path::TimedEvent event) override { events_->push(std::move(event)); }
  void log(path::Level level, std::string line) override { write_log(level, line); }

 private:
  // The maximum number of bytes per read. It limits the time for which one connection can occupy the thread
  // before other connections are handled.
  static constexpr std::size_t kReadBufferBytes = 16 << 10;

  asio::io_context context_{1};  // concurrency hint 1: a single thread runs it
  pcg64 random_;
  ShardEventQueue* events_ = nullptr;
  std::array<char, kReadBufferBytes> read_buffer_{};  // shared by all streams of this thread
  path::Shard shard_;
  ShardCommandQueue commands_;
};

}  // namespace heronwell::daemon
