// A choice in words, for people who read a trace.
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "explore/model_parts.hpp"

namespace heronwell::explore {

std::string Model::text(const Choice& choice) const {
  const auto wire = [this](std::uint16_t id) {
    const auto& w = *wires_[id];
    if (w.to == WireState::To::client) return fmt::format("client {}", w.peer + 1);
    if (w.session.cancels != 0) return fmt::format("a cancel request to {}", engine_name(w.peer));
    if (!w.session.removes.empty()) return fmt::format("a call that gives up to {}", engine_name(w.peer));
    return fmt::format("connection {} to {}", w.ordinal + 1, engine_name(w.peer));
  };
  const auto more = [this](std::uint16_t id) {
    const auto& running = wires_[id]->session.running;
    return running.empty() ? std::string() : " " + running;
  };
  switch (choice.kind) {
    case Kind::send: {
      const auto& client = clients_[choice.a];
      if (!client.rest.empty()) return fmt::format("client {} sends the rest", choice.a + 1);
      const auto& asked = setting_.plan.clients[choice.a][client.sent];
      return fmt::format("client {} sends {} ({}){}", choice.a + 1, asked.id,
                         asked.graphql.empty() ? asked.cls : asked.graphql,
                         choice.b == 0   ? ""
                         : choice.b == 1 ? ", its first byte"
                                         : ", all but its last byte");
    }
    case Kind::leave:
      return fmt::format("client {} {} its connection", choice.a + 1, choice.b == 0 ? "closes" : "resets");
    case Kind::connected:
      return fmt::format("{} stands", wire(choice.a));
    case Kind::refused:
      return fmt::format("{} is refused", wire(choice.a));
    case Kind::deliver:
      return fmt::format(
          "the router reads {} from {}",
          choice.b == 0 ? fmt::format("{} bytes", wires_[choice.a]->to_router.size()) : "one byte",
          wire(choice.a));
    case Kind::over:
      return fmt::format("the router reads the {} of {}", choice.b == 0 ? "end" : "reset", wire(choice.a));
    case Kind::answer: {
      constexpr std::array<const char*, 8> how{"answers",
                                               "answers the first half of",
                                               "turns away (53300)",
                                               "answers an error to",
                                               "resets instead of answering",
                                               "will never answer",
                                               "is blocked by a load in",
                                               "rejects a part of a statement"};
      return fmt::format("{} {}{} on {}", engine_name(wires_[choice.a]->peer), how.at(choice.b),
                         more(choice.a), wire(choice.a));
    }
    case Kind::finish:
      return fmt::format("{} sends the rest of{}", engine_name(wires_[choice.a]->peer), more(choice.a));
    case Kind::idle_close:
      return fmt::format("{} closes {}{}", engine_name(wires_[choice.a]->peer), wire(choice.a),
                         choice.b == 1 ? ", and its end is here" : "");
    case Kind::cancel:
      return fmt::format("{} reads the cancel request", engine_name(wires_[choice.a]->peer));
    case Kind::told:
      return fmt::format("the strand reads {} events", told_.size());
    case Kind::ordered:
      return fmt::format("shard {} reads {} orders", choice.a + 1, orders_[choice.a].size());
    case Kind::timer:
      return fmt::format("timer {} fires", choice.a + 1);
    case Kind::deferred:
      return "a deferred call runs";
    case Kind::due:
      return "the strand's own time has come";
    case Kind::list:
      return fmt::format("{} is listed as {}", engine_name(choice.a),
                         choice.b == 0 ? "draining" : "ready again");
    case Kind::pass:
      return "time passes";
    case Kind::stall:
      return fmt::format("the router has no turn for {} ms", setting_.plan.stall.count());

    case Kind::restart:
      return "the router dies and begins anew; its clients connect again";
    case Kind::reads:
      return fmt::format("client {} reads what has come", choice.a + 1);
    case Kind::engine_reads:
      return fmt::format("{} reads what has come on {}", engine_name(wires_[choice.a]->peer), wire(choice.a));
  }
  return "";
}

}  // namespace heronwell::explore
