// Listener owns the listening socket. It accepts client connections and distributes them to the shards in
// round-robin order.
//
// Thread: the first shard's thread. An accepted socket uses the io_context of its shard from the beginning.
// It is passed to a shard on another thread by a posted task.
//
// File descriptors: clients that open more and more connections could use up all file descriptors. Without
// guards, accept would fail and be repeated at once, in a busy loop that uses 100 % of a core on the first
// thread, and the router could not connect to engines any more, which would be reported as unreachable for
// `local` reasons. There are two guards:
//   - Connections beyond listen.connections are closed at once and counted as rejected. On the platform,
//     where the whole process has few descriptors, the listener asks the shard before each accept, and the
//     shard closes an idle client connection to release a descriptor.
//   - A failed accept is repeated after a pause.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "config/config.hpp"
#include "daemon/clock.hpp"
#include "daemon/shard_thread.hpp"
#include "path/metrics.hpp"

namespace heronwell::daemon {

class Listener {
 public:
  // Binds config.listen and listens on it; connections stay in the kernel's queue until start(). The
  // referenced objects must outlive this one, and `shards` must not be empty. Throws
  // boost::system::system_error if the address cannot be bound.
  Listener(const config::Config& config, path::Metrics& metrics,
           std::vector<std::unique_ptr<ShardThread>>& shards);

  [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  void start() { accept_next(); }
  // Closes the listening socket. The kernel resets connections that are not accepted yet and refuses new
  // ones.
  void close();

 private:
  using Acceptor = asio::basic_socket_acceptor<asio::ip::tcp, Executor>;

  void accept_next();
  void on_accepted(ShardThread& shard, boost::system::error_code error, Socket socket);
  void accept_after_pause();
  [[nodiscard]] bool at_connection_limit() const;
  void hand_over(ShardThread& shard, Socket socket);

  const config::Config& config_;
  path::Metrics& metrics_;
  std::vector<std::unique_ptr<ShardThread>>& shards_;
  Acceptor acceptor_;
  SteadyTimer pause_timer_;
  std::size_t next_shard_ = 0;  // incremented without limit; modulo the number of shards, it is an index
};

}  // namespace heronwell::daemon
