// The daemon's timers on Asio: a wait that is over in the very turn in which it is cancelled.
#include <gtest/gtest.h>

#include <boost/asio/post.hpp>
#include <thread>

#include "daemon/shard_thread.hpp"

namespace heronwell::daemon {
namespace {

using namespace std::chrono_literals;

TEST(Timers, OneThatIsCancelledOrSetAnewInTheTurnInWhichItIsOverDoesNotCall) {
  config::Config config;
  config.module.classes = {{.name = "lookup", .latency_objective = 1s, .timeout = 4s}};
  config.module.machine_types = {{.name = "std", .cores = 1}};
  path::Metrics metrics(router::class_names(config.module));
  const router::QueryParser query_parser(config.module);
  trace::Tracer tracer({}, nullptr);
  for (const bool reset_timer : {false, true}) {
    ShardThread thread(config, metrics, query_parser, tracer, 0);
    auto& context = thread.context();
    int calls = 0;
    const auto timer = thread.create_timer([&] { ++calls; });
    timer->set(steady_now() + 1ms);
    asio::post(context, [&] {
      std::this_thread::sleep_for(5ms);
      // The reactor looks between this and the next, and queues the call behind it.
      asio::post(context, [&] {
        if (reset_timer) return timer->set(steady_now() + 1h);
        timer->cancel();
      });
    });
    context.run_for(50ms);
    EXPECT_EQ(calls, 0) << (reset_timer ? "set anew" : "cancelled");
  }
}

}  // namespace
}  // namespace heronwell::daemon
