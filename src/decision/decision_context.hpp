// Definitions that all parts of the decision engine share: the clock, the source of random numbers, the list
// of actions, unit conversions, and a wrapper that states which part may change a piece of state.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

#include "heronwell/decision_engine.hpp"

namespace heronwell {

inline double to_seconds(Time time) { return std::chrono::duration<double>(time).count(); }
inline Time from_seconds(double seconds) { return Time(static_cast<std::int64_t>(seconds * 1e9)); }

// Interval between checks of deadlines and timers. Twenty milliseconds is well below the shortest latency
// objective, and costs little CPU time.
constexpr Time kTickInterval = std::chrono::milliseconds(20);

// Final answers and attempt deadlines are set this long before the client's deadline: two ticks and the time
// to send the answer, so that an answer that is decided at a late tick still arrives in time.
constexpr Time kAnswerMargin = std::chrono::milliseconds(45);

// The time as reported by the caller. Only DecisionEngine changes it, at the start of each call.
struct Clock {
  Time now{};
  Time pause{};  // how long this router process was paused before this call; 0: it was not paused
};

// The only source of random numbers. Replay and the simulator depend on the order of the draws.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : generator_(seed) {}
  double fraction() { return std::generate_canonical<double, 32>(generator_); }  // from 0 to 1
  std::uint64_t below(std::uint64_t limit) { return generator_() % limit; }

 private:
  std::mt19937_64 generator_;
};

// The list to which actions are appended, in the order in which the caller carries them out.
class ActionList {
 public:
  void append_to(std::vector<Action>& actions) { actions_ = &actions; }
  template <class T>
  void append(T action) {
    actions_->emplace_back(std::move(action));
  }

 private:
  std::vector<Action>* actions_ = nullptr;
};

// State that every part may read and only `Owner` may change.
template <class T, class Owner>
class OwnedBy {
 public:
  const T& operator*() const { return value_; }
  const T* operator->() const { return &value_; }

 private:
  friend Owner;
  T& edit() { return value_; }
  T value_{};
};

}  // namespace heronwell
