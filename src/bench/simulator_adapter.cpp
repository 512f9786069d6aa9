// Runs decision engines for the simulator. It reads batches of events from standard input and writes replies
// to standard output. The exit status is 0 at the end of input, and 1 if a batch is malformed or a reply
// cannot be written; in that case one line on standard error gives the reason.
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

// Reads one frame. Returns false at the end of input. Throws wire::Malformed if the frame is truncated.
bool read_frame(std::vector<std::uint8_t>& frame) {
  frame.resize(wire::kLengthBytes);
  const auto bytes_read = std::fread(frame.data(), 1, frame.size(), stdin);
  if (bytes_read == 0 && std::feof(stdin) != 0) return false;
  if (bytes_read != frame.size()) throw wire::Malformed("frame: truncated");
  const auto length = wire::frame_length(frame);
  // The buffer grows as bytes arrive, so that a corrupt length does not allocate a gigabyte at once.
  constexpr std::size_t kMaxChunkBytes = std::size_t{1} << 20;
  while (frame.size() < length) {
    const auto offset = frame.size();
    const auto chunk = std::min(kMaxChunkBytes, length - offset);
    frame.resize(offset + chunk);
    if (std::fread(frame.data() + offset, 1, chunk, stdin) != chunk)
      throw wire::Malformed("frame: truncated");
  }
  return true;
}

// The router instances of a simulation. Each instance is a decision engine without a request registry,
// because the simulator itself transports the requests.
class SimulatedRouters {
 public:
  std::vector<std::uint8_t> process(const wire::Batch& batch) {
    wire::ReplyWriter reply;
    std::vector<Event> events;
    std::optional<std::uint32_t> current_instance;
    const auto flush = [&] {
      if (current_instance && !events.empty()) decide(batch.now, *current_instance, events, reply);
      events.clear();
    };
    for (const auto& record : batch.records) {
      if (current_instance != record.instance) flush();
      current_instance = record.instance;
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
  void decide(heronwell::Time now, std::uint32_t instance, const std::vector<Event>& events,
              wire::ReplyWriter& reply) {
    const auto found = engines_.find(instance);
    if (found == engines_.end()) throw wire::Malformed("frame: event for an instance that is not running");
    std::vector<Action> actions;
    found->second.handle(now, events, actions);
    if (actions.empty()) return;
    reply.begin_instance(instance);
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
      const auto reply = routers.process(reader.read(frame));
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
