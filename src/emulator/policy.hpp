// Who decides in an emulated gateway: the router's own strand, or one of the textbook policies that it is
// compared with.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "path/decision_loop.hpp"

namespace heronwell::emulator {

// Textbook policies see what a gateway sees: its own requests, its own attempts, the engine list.
//   random              any ready engine, at once
//   round_robin         the next one, at once
//   least_outstanding   the one with the fewest threads of this gateway, at once
//   power_of_two        of two drawn at random the one with fewer threads of this gateway, at once
//   static_limit        first come, first served, at most an even part of what the engines run at their peak;
//                       then as least_outstanding
//   adaptive_limit      the same with a limit that follows the latency (a gradient between a long and a short
//                       average, and room for a queue of the square root of the limit)
enum class Policy {
  heronwell,
  random,
  round_robin,
  least_outstanding,
  power_of_two,
  static_limit,
  adaptive_limit
};
std::string_view name_of(Policy policy);
std::optional<Policy> policy_of(std::string_view name);

class PolicyUnderTest {
 public:
  virtual ~PolicyUnderTest() = default;
  virtual void receive(const std::vector<path::TimedEvent>& told) = 0;
  virtual void run() = 0;
  [[nodiscard]] virtual Time next_due() const = 0;
  virtual void on_ready(std::function<void()> then) = 0;
  virtual void update_metrics() = 0;
  virtual void reload_groups(const std::string& text) = 0;
  [[nodiscard]] virtual std::size_t open_count() const = 0;        // requests without a final answer
  [[nodiscard]] virtual std::size_t remembered_count() const = 0;  // those, and others not yet forgotten
};

// `world`, `config` and `metrics` outlive it.
std::unique_ptr<PolicyUnderTest> policy_under_test(Policy policy, path::DecisionEnvironment& world,
                                                   const config::Config& config, path::Metrics& metrics,
                                                   std::uint64_t seed, std::size_t shards);

}  // namespace heronwell::emulator
