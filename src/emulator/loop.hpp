// Virtual time: one queue of events, in the order of their moments and, of one moment, as they were asked
// for. Nothing here reads a clock; the same events asked for come in the same order on any machine.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "base/time.hpp"

namespace heronwell::emulator {

class Process;

class Loop {
 public:
  explicit Loop(Time start) : now_(start) {}
  [[nodiscard]] Time now() const { return now_; }
  // A moment that has passed: now. `process`: whose business it is, if this life of it lasts until then.
  void at(Time when, std::function<void()> what, Process* process = nullptr);
  void after(Time pause, std::function<void()> what) { at(now_ + pause, std::move(what)); }
  bool step();  // false: nothing is left
  void end();   // drops what is left; nothing is taken on any more
  [[nodiscard]] std::uint64_t events() const { return taken_; }

 private:
  struct Due {
    Time when{};
    std::uint64_t number = 0;
    std::size_t event = 0;
  };
  struct Event {
    std::function<void()> what;
    Process* process = nullptr;
    std::uint64_t life = 0;
  };
  static bool later(const Due& a, const Due& b) {
    return a.when != b.when ? a.when > b.when : a.number > b.number;
  }
  Time now_;
  std::uint64_t numbers_ = 0, taken_ = 0;
  bool over_ = false;
  std::vector<Due> due_;       // a heap, the next one on top
  std::vector<Event> events_;  // places are used again
  std::vector<std::size_t> free_;
};

// What may be stopped, go on, die and begin anew: a router, an engine. What happens to it while it is stopped
// comes once it goes on, in order; what was meant for a life that is over never comes.
class Process {
 public:
  explicit Process(Loop& loop) : loop_(loop) {}
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() = default;
  void begin() { alive_ = true, stopped_ = false; }
  void stop() { stopped_ = alive_; }
  void go_on();
  void die();
  [[nodiscard]] bool alive() const { return alive_; }
  [[nodiscard]] bool stopped() const { return stopped_; }
  [[nodiscard]] std::uint64_t life() const { return life_; }
  // Now, or when it goes on. Called from the loop alone, never from within the process's own code.
  void run(std::function<void()> what);
  // The same at a moment, if this life lasts until then.
  void at(Time when, std::function<void()> what);
  Loop& loop() { return loop_; }

 private:
  Loop& loop_;
  bool alive_ = false, stopped_ = false;
  std::uint64_t life_ = 0;
  std::vector<std::function<void()>> held_;
};

}  // namespace heronwell::emulator
