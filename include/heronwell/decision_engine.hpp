// The decision engine of heronwell turns events into actions. It decides on admission, queueing, engine
// selection, retries, hedging, health and slow start. It does no I/O, reads no clock and starts no thread.
// This header includes the whole interface: settings.hpp, events.hpp and actions.hpp. src/decision holds the
// implementation, with one rule per file.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "heronwell/actions.hpp"
#include "heronwell/events.hpp"
#include "heronwell/settings.hpp"

namespace heronwell {

// Current state of one class, for metrics.
struct ClassView {
  std::size_t queued = 0;        // requests that wait in this router's queue
  unsigned running_threads = 0;  // threads of the class's attempts in flight
  // Threads that the class may use before other classes; beyond these it gets only threads left over.
  double budget_threads = 0;
};

// Chooses which queued requests of a class may start. The caller implements it where classes are divided
// further, into resource groups. The decision engine still decides on the class, the time and the engine. It
// calls both functions within handle().
class DispatchOrder {
 public:
  virtual ~DispatchOrder() = default;
  // Returns the requests of the class that may start now, in the order in which they should start. Requests
  // that are not queued are skipped. The list stays valid until the next call of either function.
  virtual const std::vector<RequestId>& next_requests(ClassIndex cls) = 0;
  // Reports that an attempt of the request starts; retries and hedges are reported too.
  virtual void attempt_started(RequestId request) = 0;
};

// Turns events into actions. The same settings, seed and calls give the same actions. An instance is not
// thread-safe: only one thread may use it at a time.
//
//   heronwell::Settings settings;
//   settings.classes = {{.name = "lookup", .latency_objective = 1s, .timeout = 5s}};
//   settings.machine_types = {{.name = "eight cores", .cores = 8}};
//   heronwell::DecisionEngine engine(settings, /*seed=*/1);
//   std::vector<heronwell::Action> actions;
//   engine.handle(now, {heronwell::EndpointUpdate{.endpoints = {{.engine = 7}}}}, actions);
//   engine.handle(now, {heronwell::RequestArrived{.request = 1, .time_left = 5s}}, actions);
//   // actions now hold a SetTimer, and a StartAttempt of request 1 at endpoint 7.
//
// The caller carries out the actions in their order and reports the results as events. Events that name an
// unknown request, attempt or engine are ignored. No event makes handle() throw, except for std::bad_alloc.
class DecisionEngine {
 public:
  // Throws std::invalid_argument that names the first invalid setting. `order` must outlive the decision
  // engine; null: each class is one queue.
  DecisionEngine(Settings settings, std::uint64_t seed, DispatchOrder* order = nullptr);
  ~DecisionEngine();
  DecisionEngine(const DecisionEngine&) = delete;
  DecisionEngine& operator=(const DecisionEngine&) = delete;
  DecisionEngine(DecisionEngine&&) noexcept;
  DecisionEngine& operator=(DecisionEngine&&) noexcept;

  // Processes the events that happened up to `now` and appends the resulting actions to `actions`. `now` must
  // never decrease.
  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions);

  // Throws std::out_of_range for a class index that is not in the settings.
  [[nodiscard]] ClassView class_view(ClassIndex cls) const;
  // Threads that this router may use at once: its share of the ready engines that are not ejected.
  [[nodiscard]] double pool_threads() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heronwell
