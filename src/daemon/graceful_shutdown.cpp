#include "daemon/graceful_shutdown.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace heronwell::daemon {
namespace {

using namespace std::chrono_literals;

// Interval between two checks whether requests or connections are still open. It is short compared to all
// limits below, and the process has little other work during a shutdown.
constexpr auto kPollInterval = 5ms;

// The platform kills a process kKillSlack after the longest timeout of a class has passed since SIGTERM, or
// kKillSlack after kMaxKillDelay if this is shorter.
constexpr Time kMaxKillDelay = 3s;
constexpr Time kKillSlack = 700ms;
// All requests are answered at the latest this long before the platform kills the process. The time is needed
// to send the answers, to cancel the attempts at engines and for kCloseDuration.
constexpr Time kAnswerBeforeKill = 200ms;
// On the platform, requests are still accepted for this long after SIGTERM, until all clients have learned
// that this router is shutting down.
constexpr auto kDrainDuration = 800ms;
// The time for clients to read their last answers and close, and for engines to confirm query deletions. It
// is less than kAnswerBeforeKill, so that it ends before the platform kills the process.
constexpr Time kCloseDuration = 150ms;
static_assert(kCloseDuration < kAnswerBeforeKill);

}  // namespace

GracefulShutdown::GracefulShutdown(const config::Config& config, path::Metrics& metrics,
                                   std::vector<std::unique_ptr<ShardThread>>& shards,
                                   DecisionThread& decision_thread, Listener& listener)
    : config_(config),
      metrics_(metrics),
      shards_(shards),
      decision_thread_(decision_thread),
      listener_(listener),
      timer_(shards.front()->context().get_executor()) {}

void GracefulShutdown::begin(Time max_duration) {
  if (std::exchange(begun_, true)) return;
  if (config_.platform) return begin_drain(max_duration);
  listener_.close();
  for (auto& shard : shards_)
    asio::post(shard->context(), [&shard = *shard] { shard.shard().stop_serving(); });
  wait_for_answers(steady_now() + max_duration);
}

void GracefulShutdown::begin_drain(Time max_duration) {
  for (auto& shard : shards_) shard->shard().stop_serving();
  const auto kill_at = steady_now() + std::min(max_duration, kMaxKillDelay) + kKillSlack;
  const auto answer_deadline = kill_at - kAnswerBeforeKill;
  timer_.expires_after(kDrainDuration);
  timer_.async_wait(
      [this, answer_deadline](boost::system::error_code) { wait_for_answers(answer_deadline); });
}

void GracefulShutdown::wait_for_answers(Time deadline) {
  if (requests_open() && steady_now() < deadline)
    return poll_again([this, deadline] { wait_for_answers(deadline); });
  if (!config_.platform) return stop_all();
  close_connections();
}

void GracefulShutdown::close_connections() {
  listener_.close();
  shards_.front()->shard().begin_shutdown();
  wait_for_closes(steady_now() + kCloseDuration);
}

void GracefulShutdown::wait_for_closes(Time deadline) {
  if (requests_open()) decision_thread_.begin_shutdown();
  if (shards_.front()->shard().shutdown_complete() || steady_now() >= deadline) return stop_all();
  poll_again([this, deadline] { wait_for_closes(deadline); });
}

void GracefulShutdown::stop_all() {
  decision_thread_.stop();
  for (auto& shard : shards_) shard->context().stop();
}

// The gauges count a request from the time it is read until it is answered, also while it is queued between
// two threads.
bool GracefulShutdown::requests_open() const {
  return metrics_.open_requests->Value() > 0 || metrics_.graphql_open->Value() > 0;
}

void GracefulShutdown::poll_again(std::function<void()> step) {
  timer_.expires_after(kPollInterval);
  timer_.async_wait([step = std::move(step)](boost::system::error_code) { step(); });
}

}  // namespace heronwell::daemon
