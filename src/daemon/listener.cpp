#include "daemon/listener.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

namespace heronwell::daemon {
namespace {

using namespace std::chrono_literals;

// The pause until the next accept when no descriptor is free. It is long enough for requests to end and
// release descriptors, and short enough to hardly delay a client in the kernel's accept queue.
constexpr auto kAcceptPause = 50ms;
// The maximum number of connections in the kernel's accept queue. After a restart of the router, all clients
// may reconnect within one tick. The kernel reduces this value to net.core.somaxconn.
constexpr int kListenBacklog = 4096;

}  // namespace

Listener::Listener(const config::Config& config, path::Metrics& metrics,
                   std::vector<std::unique_ptr<ShardThread>>& shards)
    : config_(config),
      metrics_(metrics),
      shards_(shards),
      acceptor_(shards.front()->context().get_executor()),
      pause_timer_(shards.front()->context().get_executor()) {
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(config.listen.at.host),
                                         config.listen.at.port);
  acceptor_.open(endpoint.protocol());
  // Allows a restarted router to bind its port while connections of the previous process are in TIME_WAIT.
  acceptor_.set_option(Acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen(kListenBacklog);
}

void Listener::close() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

void Listener::accept_next() {
  if (!acceptor_.is_open()) return;
  if (config_.platform && !shards_.front()->shard().can_accept_client()) return accept_after_pause();
  auto& shard = *shards_[next_shard_++ % shards_.size()];
  acceptor_.async_accept(shard.context().get_executor(),
                         [this, &shard](boost::system::error_code error, Socket socket) {
                           on_accepted(shard, error, std::move(socket));
                         });
}

void Listener::on_accepted(ShardThread& shard, boost::system::error_code error, Socket socket) {
  if (!acceptor_.is_open()) return;
  if (error) {
    if (config_.platform)
      shards_.front()->shard().free_client_descriptor();  // the only shard, which runs on this thread
    return accept_after_pause();
  }
  if (at_connection_limit()) {
    metrics_.connections_rejected->Increment();
  } else {
    hand_over(shard, std::move(socket));
  }
  accept_next();
}

// On the platform, the shard enforces the limit itself (can_accept_client).
bool Listener::at_connection_limit() const {
  return !config_.platform && metrics_.clients->Value() >= static_cast<double>(config_.listen.connections);
}

void Listener::hand_over(ShardThread& shard, Socket socket) {
  if (&shard == shards_.front().get()) return shard.serve(std::move(socket));
  // A posted task must be copyable, but a socket is not.
  auto shared_socket = std::make_shared<Socket>(std::move(socket));
  asio::post(shard.context(), [&shard, shared_socket] { shard.serve(std::move(*shared_socket)); });
}

void Listener::accept_after_pause() {
  pause_timer_.expires_after(kAcceptPause);
  pause_timer_.async_wait([this](boost::system::error_code) { accept_next(); });
}

}  // namespace heronwell::daemon
