// Case 7: in a grown fleet, the router's memory grows with each group of tables until it is killed.
//
// The disruption is the size of the fleet alone: 3,200 SQL engines and 900 routers instead of 200 and 56. The engines
// are at loopback addresses of their own. All of them are sound, the list does not change, and the traffic is the
// same. Each request reads one of two groups of tables for each engine, some far more often than others. As the
// platform does, the case kills the router once it is over limits.memory_mb; only its own private memory (RssAnon) is
// counted.
#include <cmath>

#include "../stand_in_2/world.hpp"

using namespace review2;

namespace {

constexpr int kUsualEngines = 200, kGrownEngines = 3200, kGroupsPerEngine = 2;
constexpr int kUsualRouters = 56, kGrownRouters = 900;  // the capacity for each router stays the same
constexpr int kMemoryMb = 64, kSockets = 512, kClients = 10;
constexpr double kPerSecond = 60, kSeconds = 95, kQuerySeconds = 0.15, kZipf = 0.7;

// Draws groups of tables by Zipf's law, with a fixed seed.
class Groups {
 public:
  explicit Groups(int count) {
    double sum = 0;
    for (int i = 1; i <= count; ++i) sums_.push_back(sum += std::pow(i, -kZipf));
  }
  int draw() {
    state_ = state_ * 6364136223846793005ULL + 1442695040888963407ULL;
    const double at = static_cast<double>(state_ >> 11) / 9007199254740992.0 * sums_.back();
    return static_cast<int>(std::ranges::lower_bound(sums_, at) - sums_.begin());
  }

 private:
  std::vector<double> sums_;
  std::uint64_t state_ = 20261205;
};

}  // namespace

int main(int count, char** arguments) {
  const Case test(count, arguments);
  const int engine_count = trouble() ? kGrownEngines : kUsualEngines;
  rlimit descriptors{};
  ::getrlimit(RLIMIT_NOFILE, &descriptors);
  descriptors.rlim_cur = descriptors.rlim_max;  // of this process, which listens at each engine's address
  ::setrlimit(RLIMIT_NOFILE, &descriptors);
  if (descriptors.rlim_cur < static_cast<rlim_t>(engine_count) + 500)
    could_not_run("too few descriptors for the stand-in engines");

  Bus bus;
  std::vector<std::unique_ptr<Engine>> engines;
  std::vector<Host> hosts;
  const auto port = free_port();
  for (int i = 0; i < engine_count; ++i) {
    char name[16];
    std::snprintf(name, sizeof name, "s-%08x", static_cast<unsigned>(i) * 2654435761U);
    const auto address = "127.1." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1);
    engines.push_back(std::make_unique<Engine>(name, address, port, [](const std::string&) {
      return Result{kQuerySeconds, {"a\tb\tc\n"}};
    }));
    engines.back()->quiet = true;
    hosts.push_back({name, address, port});
  }
  bus.publish(hosts, true);
  note("%d engines, %d groups of tables, limits.memory_mb %d", engine_count, engine_count * kGroupsPerEngine,
       kMemoryMb);
  Router router(test.temporary, bus.port(), bus.read(0),
                small_deployment(trouble() ? kGrownRouters : kUsualRouters), kMemoryMb, kSockets);
  router.wait_until_ready();

  std::vector<ClientPtr> clients;
  std::vector<RequestPtr> requests;
  std::map<int, bool> groups_seen;
  int codes[3] = {};
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<Client>(router.port(), "acme"));
    clients.back()->on_answer = [&codes](const RequestPtr& request) { ++codes[std::min(2, request->code)]; };
  }
  Groups groups(engine_count * kGroupsPerEngine);
  bool killed = false;
  const double begin = now();
  double next = begin, next_line = begin;
  while (!killed && now() < begin + kSeconds) {
    for (; next <= now(); next += 1 / kPerSecond) {
      const int group = groups.draw();
      groups_seen[group] = true;
      requests.push_back(clients[requests.size() % kClients]->send(
          "lookup", 4000, "select a, b, c from maps_" + std::to_string(group) + ".routes"));
    }
    loop().run(0.005);
    if (router.ended()) could_not_run("the router ended, " + router.how_it_ended());
    const auto private_kib = router.status_kib("RssAnon");
    if (now() >= next_line || private_kib > kMemoryMb * 1024L) {
      next_line += 5;
      note("sent %zu of %zu groups, served %d, refused %d, failed %d; router: RssAnon %ld KiB, VmRSS %ld KiB",
           requests.size(), groups_seen.size(), codes[0], codes[1], codes[2], private_kib,
           router.status_kib("VmRSS"));
    }
    if (private_kib <= kMemoryMb * 1024L) continue;
    killed = true;
    note("the router is over %d MB: the platform kills it", kMemoryMb);
    router.record_log();
    router.stop(SIGKILL);
    loop().run(1);
  }
  int open = 0;
  for (const auto& request : requests) open += request->connection_ended ? 1 : 0;
  if (!killed) router.record_log();
  if (codes[0] == 0) could_not_run("nothing was served");
  return Case::verdict(
      killed,
      killed ? "over its memory limit after " + std::to_string(static_cast<int>(now() - begin - 1)) +
                   " s and " + std::to_string(groups_seen.size()) + " groups of tables; " +
                   std::to_string(open) + " requests were lost as it was killed"
             : "the memory limit was kept with " + std::to_string(groups_seen.size()) + " groups of tables");
}
