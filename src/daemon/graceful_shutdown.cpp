#include "daemon/graceful_shutdown.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace heronwell::daemon {
namespace {

using namespace std::chrono_literals;

// Between two looks at whether requests or connections are still open. Short against every limit below; the
// process is busy with little else by then.
constexpr auto kPollInterval = 5ms;

// On the platform, after SIGTERM. The platform kills a process after the longest time-out of a request, or
// kMaxKillDelay where that is less, and kKillSlack more.
constexpr Time kMaxKillDelay = 3s;
constexpr Time kKillSlack = 700ms;
// How long before the kill all requests are answered: for the answers to be sent, the attempts at engines to
// be cancelled and kCloseDuration.
constexpr Time kAnswerBeforeKill = 200ms;
// How long requests are still accepted after SIGTERM: until every client has heard that this router leaves.
constexpr auto kDrainDuration = 800ms;
// For clients to read their last answers and close, and for engines to confirm query deletions. Less than
// kAnswerBeforeKill, so that it ends before the kill.
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

// The gauges count a request from its reading to its answer, also while it is between two threads.
bool GracefulShutdown::requests_open() const {
  return metrics_.open_requests->Value() > 0 || metrics_.graphql_open->Value() > 0;
}

void GracefulShutdown::poll_again(std::function<void()> step) {
  timer_.expires_after(kPollInterval);
  timer_.async_wait([step = std::move(step)](boost::system::error_code) { step(); });
}

}  // namespace heronwell::daemon
