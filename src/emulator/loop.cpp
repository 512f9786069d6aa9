#include "emulator/loop.hpp"

#include <algorithm>
#include <utility>

namespace heronwell::emulator {

void Loop::at(Time when, std::function<void()> what) {
  if (over_) return;
  events_.push_back({std::max(when, now_), ++numbers_, std::move(what)});
  std::push_heap(events_.begin(), events_.end(), later);
}

bool Loop::step() {
  if (events_.empty()) return false;
  std::pop_heap(events_.begin(), events_.end(), later);
  auto event = std::move(events_.back());
  events_.pop_back();
  now_ = event.when;
  ++taken_;
  event.what();
  return true;
}

void Loop::end() {
  over_ = true;
  const auto dropped = std::exchange(events_, {});
}

void Process::run(std::function<void()> what) {
  if (!alive_) return;
  if (stopped_ || !held_.empty()) return held_.push_back(std::move(what));
  what();
}

void Process::at(Time when, std::function<void()> what) {
  loop_.at(when, [this, life = life_, what = std::move(what)]() mutable {
    if (life == life_) run(std::move(what));
  });
}

// What was held comes first, whatever comes meanwhile after it.
void Process::go_on() {
  if (!stopped_) return;
  stopped_ = false;
  const auto life = life_;
  while (!held_.empty() && life == life_) {
    const auto now = std::exchange(held_, {});
    for (const auto& what : now)
      if (life == life_) what();
  }
}

void Process::die() {
  alive_ = stopped_ = false;
  ++life_;
  held_.clear();
}

}  // namespace heronwell::emulator
