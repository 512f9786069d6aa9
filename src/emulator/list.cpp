#include "emulator/list.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "emulator/emulated_router.hpp"
#include "rehearsal/list_record.hpp"

namespace heronwell::emulator {

ListServer::ListServer(Network& network, rehearsal::Recorder& recorder, std::uint64_t seed)
    : network_(network), recorder_(recorder), process_(network.loop()), random_(seed) {
  process_.begin();
}

void ListServer::ask(EmulatedRouter& gateway, std::uint64_t known) {
  process_.at(network_.loop().now() + network_.way(),
              [this, one = Waiting{&gateway, known, ++numbers_, gateway.process().life()}] {
                if (one.life != one.gateway->process().life()) return;
                if (away_) return fail(one);
                if (one.known < index_) return answer(one);
                waiting_.push_back(one);
                const auto wait = one.gateway->config().endpoint_list.poll_wait;
                process_.at(network_.loop().now() + wait, [this, number = one.number] {
                  const auto found = std::ranges::find(waiting_, number, &Waiting::number);
                  if (found != waiting_.end()) answer(*found);
                });
              });
}

void ListServer::answer(const Waiting& asked) {
  const auto one = asked;  // which may stand in waiting_
  std::erase_if(waiting_, [&one](const Waiting& other) { return other.number == one.number; });
  auto& to = one.gateway->process();
  if (one.life != to.life()) return;
  pause_.erase(one.gateway);
  recorder_.write(network_.loop().now(), "told",
                  rehearsal::endpoint_list_record(one.gateway->config().name, index_, entries_));
  to.at(network_.loop().now() + network_.way(),
        [this, gateway = one.gateway, index = index_, entries = entries_] {
          gateway->listed({false, entries});
          ask(*gateway, index);
        });
}

// The router hears that nobody answers, and asks again after a pause that grows.
void ListServer::fail(const Waiting& one) {
  auto& to = one.gateway->process();
  if (one.life != to.life()) return;
  const auto& settings = one.gateway->config().endpoint_list;
  auto& pause = pause_[one.gateway];
  pause = pause == Time::zero() ? settings.min_backoff : std::min(2 * pause, settings.max_backoff);
  const auto drawn =
      pause / 2 + Time(static_cast<std::int64_t>(
                      random_() % static_cast<std::uint64_t>(std::max<std::int64_t>(1, pause.count() / 2))));
  to.at(network_.loop().now() + network_.way(), [this, gateway = one.gateway, drawn] {
    gateway->listed({true, {}});
    gateway->process().at(network_.loop().now() + drawn, [this, gateway] { ask(*gateway, 0); });
  });
}

void ListServer::set(std::vector<fleet::EndpointEntry> entries) {
  process_.at(network_.loop().now() + late_, [this, entries = std::move(entries)] {
    entries_ = entries;
    ++index_;
    if (away_) return;
    for (const auto& one : std::exchange(waiting_, {})) answer(one);
  });
}

void ListServer::away(bool is) {
  away_ = is;
  if (is)
    for (const auto& one : std::exchange(waiting_, {})) fail(one);
}

}  // namespace heronwell::emulator
