#include "daemon/shard_thread.hpp"

#include <sodium.h>

#include <boost/asio/post.hpp>
#include <random>

#include "daemon/asio_timer.hpp"
#include "daemon/tcp_stream.hpp"

namespace heronwell::daemon {

ShardThread::ShardThread(const config::Config& config, path::Metrics& metrics,
                         const router::QueryParser& query_parser, trace::Tracer& tracer, unsigned index)
    : random_(pcg_extras::seed_seq_from<std::random_device>()),
      shard_(*this, config, metrics, query_parser, tracer, index, config.threads),
      commands_(context_.get_executor(),
                [this](std::vector<path::ShardCommand>& commands) { shard_.execute(commands); }) {
  if (sodium_init() < 0) throw std::runtime_error("libsodium: initialization failed");
}

void ShardThread::serve(Socket socket) {
  boost::system::error_code error;
  const auto peer = socket.remote_endpoint(error);
  auto stream = std::make_shared<TcpStream>(std::move(socket), read_buffer_);
  stream->configure();
  // Only selectors of resource groups use the client's address.
  const bool address_needed = shard_.selectors() != nullptr && !error;
  shard_.serve(std::move(stream), address_needed ? peer.address().to_string() : std::string());
}

void ShardThread::fill_random(std::span<unsigned char> bytes) { randombytes_buf(bytes.data(), bytes.size()); }

path::StreamPtr ShardThread::dial(const config::Address& address) {
  auto stream = std::make_shared<TcpStream>(Socket(context_.get_executor()), read_buffer_);
  stream->connect(address);
  return stream;
}

path::TimerPtr ShardThread::create_timer(std::function<void()> on_expired) {
  return std::make_unique<AsioTimer>(context_.get_executor(), std::move(on_expired));
}

void ShardThread::defer(std::function<void()> task) { asio::post(context_, std::move(task)); }

}  // namespace heronwell::daemon
