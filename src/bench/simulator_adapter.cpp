// Runs decision engines for the simulator: batches on standard input, replies on standard output. Exit status
// 0 at the end of input; 1 when a batch is malformed or the reply cannot be written, with one line on
// standard error.
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <map>
#include <optional>
#include <vector>

#include "bench/simulator_codec.hpp"
#include "heronwell/decision_engine.hpp"

namespace {

using heronwell::Action;
using heronwell::DecisionEngine;
using heronwell::Event;
namespace wire = heronwell::wire;

// False at the end of input; a frame cut short is malformed.
bool read_frame(std::vector<std::uint8_t>& frame) {
  frame.resize(wire::kLengthBytes);
  const auto got = std::fread(frame.data(), 1, frame.size(), stdin);
  if (got == 0 && std::feof(stdin) != 0) return false;
  if (got != frame.size()) throw wire::Malformed("frame: truncated");
  const auto length = wire::frame_length(frame);
  // Failure: a damaged length asks for a gigabyte at once. Guard: memory grows as bytes arrive.
  constexpr std::size_t kChunk = std::size_t{1} << 20;
  while (frame.size() < length) {
    const auto at = frame.size();
    const auto part = std::min(kChunk, length - at);
    frame.resize(at + part);
    if (std::fread(frame.data() + at, 1, part, stdin) != part) throw wire::Malformed("frame: truncated");
  }
  return true;
}

// The router instances of a simulation, each a decision engine without a registry: the simulator itself
// carries requests.
class SimulatedRouters {
 public:
  std::vector<std::uint8_t> answer(const wire::Batch& batch) {
    wire::ReplyWriter reply;
    std::vector<Event> events;
    std::optional<std::uint32_t> current;
    const auto flush = [&] {
      if (current && !events.empty()) decide(batch.now, *current, events, reply);
      events.clear();
    };
    for (const auto& record : batch.records) {
      if (current != record.instance) flush();
      current = record.instance;
      if (const auto* start = std::get_if<wire::Start>(&record.event)) {
        flush();
        engines_.insert_or_assign(record.instance, DecisionEngine(start->settings, start->seed));
      } else if (std::holds_alternative<wire::Stop>(record.event)) {
        events.clear();
        engines_.erase(record.instance);
      } else {
        events.push_back(std::get<Event>(record.event));
      }
    }
    flush();
    return reply.finish(batch.sequence);
  }

 private:
  void decide(heronwell::Time now, std::uint32_t id, const std::vector<Event>& events,
              wire::ReplyWriter& reply) {
    const auto found = engines_.find(id);
    if (found == engines_.end()) throw wire::Malformed("frame: an event for an instance that is not running");
    std::vector<Action> actions;
    found->second.handle(now, events, actions);
    if (actions.empty()) return;
    reply.begin_instance(id);
    for (const auto& action : actions) reply.add_action(action);
  }

  std::map<std::uint32_t, DecisionEngine> engines_;
};

}  // namespace

int main() {
  try {
    wire::BatchReader reader;
    SimulatedRouters routers;
    std::vector<std::uint8_t> frame;
    while (read_frame(frame)) {
      const auto reply = routers.answer(reader.read(frame));
      if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0) {
        std::fputs("heronwell_simulator_adapter: cannot write the reply\n", stderr);
        return 1;
      }
    }
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "heronwell_simulator_adapter: %s\n", error.what());
    return 1;
  }
}
