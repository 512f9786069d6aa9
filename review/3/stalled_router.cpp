// Case: a router stalls for less than 2 s, as routers do, and an engine begins to drain meanwhile. More than the
// grace period after the event was on the bus, the router must send that engine nothing new.
//
// Every few seconds an engine of eight begins to drain, and stays up. With trouble, the router is stopped 1.2 s
// before and continued 0.75 s after each of these events: stalls of 1.95 s, 3 s apart.
#include <csignal>
#include <cstdlib>

#include "../rig/rig.hpp"

namespace {

constexpr double kStallBeforeDrainMs = 1200, kStallAfterDrainMs = 750, kBetweenStallsMs = 3000;
constexpr int kDrains = 5;
constexpr double kGraceMs = 500;  // safety.drain-grace of the settings
constexpr double kSlackMs = 50;   // every time limit is this much longer on sockets

std::atomic<bool> stopping = false;

// Sends a request of each class by turns, as a usual client does.
void use_router(std::uint16_t port, std::vector<std::unique_ptr<rig::Client>>& used, double pause_ms) {
  for (int i = 0; !stopping; ++i) {
    if (used.empty() || !used.back()->open()) used.push_back(std::make_unique<rig::Client>(port));
    const int group = rand() % 40;
    if (i % 4 == 0)
      used.back()->request("plan-load", 20000, rig::tenant(i),
                           rig::text("insert into maps_%d.plans values (1) /* work_ms=400 */", group));
    else if (i % 4 == 1)
      used.back()->request("report", 20000, rig::tenant(i),
                           rig::text("select * from maps_%d.visits /* work_ms=600 rows=20 */", group));
    else
      used.back()->request("lookup", 4000, rig::tenant(i),
                           rig::text("select * from maps_%d.places /* work_ms=100 */", group));
    rig::sleep_ms(pause_ms);
  }
}

}  // namespace

int main(int, char** arguments) {
  rig::open_record(arguments[1]);
  std::vector<std::unique_ptr<rig::Engine>> engines;
  std::vector<rig::Host> hosts;
  for (int i = 1; i <= 8; ++i) {
    engines.push_back(std::make_unique<rig::Engine>(rig::text("e%d", i)));
    hosts.push_back(engines.back()->host());
  }
  rig::Bus bus(hosts);
  rig::Router router(bus, rig::kClasses, "", {});
  if (!router.wait_until_ready()) return 2;

  std::vector<std::vector<std::unique_ptr<rig::Client>>> clients(4);
  std::vector<std::thread> users;
  for (auto& used : clients) users.emplace_back([&] { use_router(router.port(), used, 150); });
  rig::sleep_ms(4000);
  std::map<std::string, double> told;  // engine -> time at which its drain was on the bus
  for (int i = 0; i < kDrains; ++i) {
    if (rig::trouble()) {
      router.send_signal(SIGSTOP);
      rig::record("router: stopped");
    }
    rig::sleep_ms(kStallBeforeDrainMs);
    auto host = engines[static_cast<std::size_t>(i)]->host();
    host.health = "draining";
    told[host.name] = bus.put(host);
    rig::sleep_ms(kStallAfterDrainMs);
    if (rig::trouble()) {
      router.send_signal(SIGCONT);
      rig::record("router: continued");
    }
    rig::sleep_ms(kBetweenStallsMs);
  }
  stopping = true;
  for (auto& user : users) user.join();
  rig::sleep_ms(3000);

  int sent = 0, served = 0, late = 0;
  for (const auto& used : clients)
    for (const auto& client : used)
      for (const auto& request : client->requests()) {
        ++sent;
        if (!request.answers.empty() && request.answers.front().code == 0) ++served;
      }
  for (const auto& engine : engines) {
    if (!told.contains(engine->name())) continue;
    for (const auto& query : engine->queries()) {
      const auto after = query.started - told[engine->name()];
      if (after <= kGraceMs + kSlackMs) continue;
      ++late;
      rig::record(rig::text("BROKEN: %s (%s) is started on %s %.0f ms after its drain was on the bus",
                            query.id.c_str(), query.class_name.c_str(), engine->name().c_str(), after));
    }
  }
  rig::record(
      rig::text("result: %d requests sent, %d served, %d queries started on a draining engine too late", sent,
                served, late));
  if (!router.running()) {
    rig::record("the router has ended");
    return 2;
  }
  if (late > 0) return 1;
  return served > sent / 2 ? 0 : 2;
}
