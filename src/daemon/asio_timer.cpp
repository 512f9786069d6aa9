#include "daemon/asio_timer.hpp"

namespace heronwell::daemon {

AsioTimer::AsioTimer(Executor executor, std::function<void()> on_expired)
    : timer_(executor), callback_(std::make_shared<Callback>(Callback{std::move(on_expired)})) {}

// An expired wait cannot be cancelled any more, although its handler may still be queued behind the handler
// that calls cancel(). Without a guard, the timeout would fire for a request that is already answered.
// Therefore each wait stores the generation in which it was started, set() and cancel() increment the
// generation, and a handler of an earlier generation does nothing.
void AsioTimer::set(Time moment) {
  timer_.expires_at(to_time_point(moment));
  const auto generation = ++callback_->generation;
  timer_.async_wait([weak = std::weak_ptr(callback_), generation](boost::system::error_code error) {
    const auto callback = weak.lock();
    if (!error && callback && callback->generation == generation) callback->call();
  });
}

void AsioTimer::cancel() {
  ++callback_->generation;
  timer_.cancel();
}

}  // namespace heronwell::daemon
