// Tests the daemon's Asio timers: a timer that is cancelled or set again in the same event loop turn in which
// it expires must not call its callback.
#include <gtest/gtest.h>

#include <boost/asio/post.hpp>
#include <thread>

#include "daemon/shard_thread.hpp"

namespace heronwell::daemon {
namespace {

using namespace std::chrono_literals;

TEST(Timers, CancelledOrSetAgainInTheTurnOfItsExpiryDoesNotFire) {
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
      // Between this handler and the next one, the reactor detects the expiry and queues the callback after
      // it.
      asio::post(context, [&] {
        if (reset_timer) return timer->set(steady_now() + 1h);
        timer->cancel();
      });
    });
    context.run_for(50ms);
    EXPECT_EQ(calls, 0) << (reset_timer ? "expected no call after the timer is set again"
                                        : "expected no call after the timer is cancelled");
  }
}

}  // namespace
}  // namespace heronwell::daemon
