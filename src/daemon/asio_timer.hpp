// AsioTimer implements a timer of a shard with Asio. All of its functions must be called on the shard's
// thread, and the callback runs there.
#pragma once

#include <functional>
#include <memory>

#include "daemon/clock.hpp"
#include "path/environment.hpp"

namespace heronwell::daemon {

class AsioTimer final : public path::Timer {
 public:
  // `on_expired` runs on `executor`, once for each call of set() that is neither cancelled nor replaced by a
  // later one.
  AsioTimer(Executor executor, std::function<void()> on_expired);
  void set(Time moment) override;
  void cancel() override;

 private:
  // The pending handler holds a weak pointer to it, so that a handler that runs after the destruction of its
  // timer does nothing.
  struct Callback {
    std::function<void()> call;
    std::uint64_t generation = 0;  // incremented by each set() and cancel()
  };
  SteadyTimer timer_;
  std::shared_ptr<Callback> callback_;
};

}  // namespace heronwell::daemon
