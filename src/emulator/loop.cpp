#include "emulator/loop.hpp"

#include <algorithm>
#include <utility>

namespace heronwell::emulator {

void Loop::at(Time when, std::function<void()> what, Process* process) {
  if (over_) return;
  if (free_.empty()) {
    free_.push_back(events_.size());
    events_.emplace_back();
  }
  const auto place = free_.back();
  free_.pop_back();
  events_[place] = {std::move(what), process, process != nullptr ? process->life() : 0};
  due_.push_back({std::max(when, now_), ++numbers_, place});
  std::ranges::push_heap(due_, later);
}

bool Loop::step() {
  if (due_.empty()) return false;
  std::ranges::pop_heap(due_, later);
  const auto due = due_.back();
  due_.pop_back();
  auto event = std::move(events_[due.event]);
  events_[due.event].what = nullptr;
  free_.push_back(due.event);
  now_ = due.when;
  ++taken_;
  if (event.process == nullptr)
    event.what();
  else if (event.process->life() == event.life)
    event.process->run(std::move(event.what));
  return true;
}

void Loop::end() {
  over_ = true;
  due_.clear();
  free_.clear();
  const auto dropped = std::exchange(events_, {});
}

void Process::run(std::function<void()> what) {
  if (!alive_) return;
  if (stopped_ || !held_.empty()) return held_.push_back(std::move(what));
  what();
}

void Process::at(Time when, std::function<void()> what) { loop_.at(when, std::move(what), this); }

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
