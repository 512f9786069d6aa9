#include "daemon/server.hpp"

#include <spdlog/spdlog.h>
#include <sys/resource.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <random>
#include <thread>

#include "daemon/decisions.hpp"
#include "daemon/graphql.hpp"

namespace heronwell::daemon {
namespace {

using namespace std::chrono_literals;
using Acceptor = asio::basic_socket_acceptor<asio::ip::tcp, Executor>;
constexpr auto kAcceptPause = 50ms;  // when out of file descriptors

void raise_file_limit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

std::uint64_t drawn_seed() {
  std::random_device device;
  return static_cast<std::uint64_t>(device()) << 32 | device();
}

}  // namespace

struct Server::Parts {
  explicit Parts(Config given)
      : config(std::move(given)),
        metrics(router::class_names(config.module)),
        front(config.module),
        tracer(config.trace, config.name, HERONWELL_VERSION, unix_offset()) {
    for (unsigned i = 0; i < config.threads; ++i)
      shards.push_back(std::make_unique<Shard>(config, metrics, front, tracer, i, config.threads));
    auto& first = shards.front()->context();
    decisions = std::make_unique<Decisions>(first, config, metrics, config.seed.value_or(drawn_seed()));
    if (config.graphql.served()) graphql.emplace(config);
    for (auto& shard : shards) {
      shard->bind(decisions->inbox());
      if (graphql) shard->serve(*graphql);
    }
    acceptor = std::make_unique<Acceptor>(first.get_executor());
    retry = std::make_unique<Timer>(first.get_executor());
    const asio::ip::tcp::endpoint at(asio::ip::make_address(config.listen.at.host), config.listen.at.port);
    acceptor->open(at.protocol());
    acceptor->set_option(Acceptor::reuse_address(true));
    acceptor->bind(at);
    acceptor->listen(4096);
  }

  void accept() {
    auto& shard = *shards[next++ % shards.size()];
    acceptor->async_accept(
        shard.context().get_executor(), [this, &shard](boost::system::error_code error, Socket socket) {
          if (!acceptor->is_open()) return;
          if (error) {
            retry->expires_after(kAcceptPause);
            retry->async_wait([this](boost::system::error_code) { accept(); });
            return;
          }
          if (metrics.clients->Value() >= static_cast<double>(config.listen.connections)) {
            metrics.connections_refused->Increment();
          } else if (&shard == shards.front().get()) {
            shard.serve(std::move(socket));
          } else {
            auto handed = std::make_shared<Socket>(std::move(socket));
            asio::post(shard.context(), [&shard, handed] { shard.serve(std::move(*handed)); });
          }
          accept();
        });
  }

  void stop(Time longest) {
    if (std::exchange(stopping, true)) return;
    boost::system::error_code ignored;
    acceptor->close(ignored);
    for (auto& shard : shards) asio::post(shard->context(), [&shard] { shard->stop_serving(); });
    await_end(steady_now() + longest);
  }

  void await_end(Time until) {
    if ((metrics.open->Value() <= 0 && metrics.graphql_open->Value() <= 0) || steady_now() >= until) {
      decisions->stop();
      for (auto& shard : shards) shard->context().stop();
      return;
    }
    retry->expires_after(5ms);
    retry->async_wait([this, until](boost::system::error_code) { await_end(until); });
  }

  Config config;
  Metrics metrics;
  router::Front front;
  trace::Tracer tracer;
  std::optional<Graphql> graphql;
  std::vector<std::unique_ptr<Shard>> shards;
  std::unique_ptr<Decisions> decisions;
  std::unique_ptr<Acceptor> acceptor;
  std::unique_ptr<Timer> retry;
  std::size_t next = 0;
  bool stopping = false;
};

Server::Server(Config config) {
  raise_file_limit();
  parts_ = std::make_unique<Parts>(std::move(config));
}
Server::~Server() = default;

std::uint16_t Server::port() const { return parts_->acceptor->local_endpoint().port(); }

void Server::stop(Time longest) {
  asio::post(parts_->shards.front()->context(), [this, longest] { parts_->stop(longest); });
}

void Server::run(const std::function<void()>& ready, Time longest) {
  auto& parts = *parts_;
  auto& first = parts.shards.front()->context();
  asio::signal_set signals(first, SIGINT, SIGTERM);
  signals.async_wait([&](boost::system::error_code error, int) {
    if (!error) parts.stop(longest);
  });
  parts.decisions->on_ready(ready);
  std::vector<Shard*> all;
  for (auto& shard : parts.shards) all.push_back(shard.get());
  parts.decisions->start(all);
  parts.accept();
  std::vector<std::thread> threads;
  for (std::size_t i = 1; i < parts.shards.size(); ++i)
    threads.emplace_back([&shard = *parts.shards[i]] {
      const auto guard = asio::make_work_guard(shard.context());
      shard.context().run();
    });
  first.run();
  for (auto& thread : threads) thread.join();
}

}  // namespace heronwell::daemon
