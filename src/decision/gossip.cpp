#include "gossip.hpp"

#include <algorithm>
#include <string>

namespace heronwell {
namespace {
using namespace std::chrono_literals;

// Interval between two messages of a router: about a tenth of the lifetime of a report.
constexpr Time kGossipInterval = 200ms;

// Largest number of routers at which each sends to all others. With more, messages to all would cost more
// than the requests.
constexpr unsigned kMaxRoutersForBroadcast = 10;

// Bytes of load reports that each request adds to the budget, and the number of requests whose bytes may be
// saved up: about two messages.
constexpr double kBytesPerRequest = 150;
constexpr double kMaxSavedRequests = 4;

// Units of the message: threads per core in 32nds, and requests per second in 16ths. An age of 255 ticks
// means 255 ticks or more.
constexpr double kThreadsPerCoreUnits = 32;
constexpr double kRateUnits = 16;
constexpr unsigned kMaxAgeTicks = 255;
}  // namespace

void Gossip::add_budget() {
  budget_bytes_ = std::min(budget_bytes_ + kBytesPerRequest, kMaxSavedRequests * kBytesPerRequest);
}

void Gossip::send_if_due() {
  if (!settings_.gossip_enabled || settings_.router_count < 2 || clock_.now < sent_at_ + kGossipInterval)
    return;
  sent_at_ = clock_.now;
  if (settings_.router_count > kMaxRoutersForBroadcast) {
    send_load_reports();
  } else {
    send_own_threads();
  }
}

void Gossip::send_own_threads() {
  GossipMessage message;
  for (const auto id : parts_.engines.busy())
    message.entries.push_back({id, parts_.engines.at(id).usage->threads});
  actions_.append(SendGossip{std::nullopt, encode(message)});
}

void Gossip::send_load_reports() {
  GossipMessage message;
  message.kind = GossipKind::load_reports;
  message.threads = static_cast<unsigned>(parts_.requests.running_threads());
  message.requests_per_16_seconds = static_cast<unsigned>(parts_.admission.arrival_rate() * kRateUnits);
  for (const auto& [reported_at, engine] : parts_.load.recent_reports()) {
    const auto age_ticks = static_cast<unsigned>((clock_.now - reported_at) / kTickInterval);
    const double threads = engine->load->other_threads + engine->usage->threads;
    const double value = threads / parts_.engines.cores(*engine) * kThreadsPerCoreUnits;
    if (age_ticks < kMaxAgeTicks && engine->load->reported_at == reported_at)
      message.entries.push_back({engine->id(), static_cast<unsigned>(value), age_ticks});
  }
  const auto bytes = encode(message);
  const auto size = static_cast<double>(bytes.size());
  for (; budget_bytes_ >= size; budget_bytes_ -= size) {
    const auto drawn = static_cast<std::uint32_t>(random_.below(settings_.router_count - 1));
    const auto peer = drawn < settings_.router_index ? drawn : drawn + 1;  // any router except this one
    actions_.append(SendGossip{peer, bytes});
  }
}

void Gossip::receive(const GossipReceived& received) {
  const auto message = decode(received.bytes);
  if (!message) return;
  if (message->kind == GossipKind::own_threads)
    return parts_.load.record_peer_threads(received.from_router, message->entries);
  parts_.load.record_peer_rate(message->threads, message->requests_per_16_seconds / kRateUnits);
  for (const auto& entry : message->entries) {
    auto* engine = parts_.engines.find(entry.engine);
    const Time reported_at = clock_.now - entry.age_ticks * kTickInterval;
    if (engine == nullptr || !engine->is_ready() || reported_at <= engine->load->reported_at) continue;
    parts_.slow_start.record_liveness(*engine, reported_at);
    const double threads = entry.value / kThreadsPerCoreUnits * parts_.engines.cores(*engine);
    parts_.load.record_report(*engine, threads, reported_at);
  }
}

}  // namespace heronwell
