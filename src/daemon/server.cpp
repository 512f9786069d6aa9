#include "daemon/server.hpp"

#include <sys/resource.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <optional>
#include <random>
#include <thread>
#include <vector>

#include "daemon/decision_thread.hpp"
#include "daemon/graceful_shutdown.hpp"
#include "daemon/listener.hpp"
#include "daemon/load_schema.hpp"
#include "daemon/reload.hpp"
#include "daemon/shard_thread.hpp"
#include "daemon/signals.hpp"
#include "daemon/trace_file.hpp"
#include "path/graphql.hpp"

namespace heronwell::daemon {
namespace {

// Raises the soft limit of descriptors to the hard limit, which the administrator sets. With the usual soft
// limit of 1,024, accepting clients and connecting to engines would fail long before listen.connections is
// reached. If raising it is not permitted, the router runs with the existing limit (see listener.hpp).
void raise_descriptor_limit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

std::uint64_t random_seed() {
  std::random_device device;
  return static_cast<std::uint64_t>(device()) << 32 | device();
}

std::vector<std::unique_ptr<ShardThread>> create_shards(const config::Config& config, path::Metrics& metrics,
                                                        const router::QueryParser& query_parser,
                                                        trace::Tracer& tracer) {
  std::vector<std::unique_ptr<ShardThread>> shards;
  for (unsigned i = 0; i < config.threads; ++i)
    shards.push_back(std::make_unique<ShardThread>(config, metrics, query_parser, tracer, i));
  return shards;
}

}  // namespace

// Each member refers only to members above it and is destroyed before them. The optional members are created
// in the body of the constructor, so that the errors of a configuration are reported in a fixed order:
// settings, schema, port.
struct Server::Parts {
  explicit Parts(config::Config server_config)
      : config(std::move(server_config)),
        metrics(router::class_names(config.module)),
        query_parser(config.module),
        trace_file(TraceFile::create(config.trace, config.name, HERONWELL_VERSION, unix_offset())),
        tracer(TraceFile::tracer(config.trace, trace_file.get())),
        shards(create_shards(config, metrics, query_parser, tracer)),
        decision_thread(shards.front()->context(), config, metrics, config.seed.value_or(random_seed())) {
    if (config.graphql.served()) graphql.emplace(config, load_schema(config), steady_now);
    for (auto& shard : shards) {
      shard->bind(decision_thread.shard_events());
      if (graphql) shard->shard().serve(*graphql);
    }
    listener.emplace(config, metrics, shards);
    graceful_shutdown.emplace(config, metrics, shards, decision_thread, *listener);
  }

  config::Config config;
  path::Metrics metrics;
  router::QueryParser query_parser;
  std::unique_ptr<TraceFile> trace_file;  // null: tracing is off
  trace::Tracer tracer;
  std::optional<path::Graphql> graphql;  // only if the configuration has a schema
  std::vector<std::unique_ptr<ShardThread>> shards;
  DecisionThread decision_thread;
  std::optional<Listener> listener;
  std::optional<GracefulShutdown> graceful_shutdown;
};

Server::Server(config::Config config) {
  raise_descriptor_limit();
  parts_ = std::make_unique<Parts>(std::move(config));
}
Server::~Server() = default;

std::uint16_t Server::port() const { return parts_->listener->port(); }

void Server::stop(Time max_shutdown_duration) {
  asio::post(parts_->shards.front()->context(),
             [this, max_shutdown_duration] { parts_->graceful_shutdown->begin(max_shutdown_duration); });
}

void Server::run(const std::function<void()>& ready, Time max_shutdown_duration) {
  auto& parts = *parts_;
  auto& first_context = parts.shards.front()->context();
  Signals::Handlers handlers;
  handlers.terminate = [&] { parts.graceful_shutdown->begin(max_shutdown_duration); };
  if (parts.config.platform)
    handlers.reload = [&] { reload_platform_config(parts.config, parts.decision_thread); };
  Signals signals(first_context, std::move(handlers));
  signals.start();

  parts.decision_thread.on_ready(ready);
  std::vector<ShardThread*> shards;
  for (auto& shard : parts.shards) shards.push_back(shard.get());
  parts.decision_thread.start(shards);
  parts.listener->start();

  std::vector<std::thread> other_threads;
  for (std::size_t i = 1; i < shards.size(); ++i)
    other_threads.emplace_back([&shard = *shards[i]] {
      // Keeps run() from returning while the shard has no work yet.
      const auto work_guard = asio::make_work_guard(shard.context());
      shard.context().run();
    });
  first_context.run();
  for (auto& thread : other_threads) thread.join();
}

}  // namespace heronwell::daemon
