// Day is the content of a day's YAML file: the processes, the load of the clients and the faults. draw()
// draws the clients' requests from it; the same file gives the same requests.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/yaml.hpp"
#include "rehearsal/model.hpp"
#include "rehearsal/relay.hpp"
#include "router/settings_reader.hpp"

namespace heronwell::rehearsal {

struct ClassLoad {
  std::string name;
  double rate = 0;      // requests per second, over all gateways
  double work_ms = 10;  // mean, over all threads
  double io = 0.2;
  double memory_mb = 20;
  double rows = 1;
  double bytes = 20;            // per row
  double estimates = 0;         // 0: no estimates; else the sigma of their log-normal error
  std::optional<Time> timeout;  // sent with each request; none: the class's timeout applies
  std::uint64_t keys = 0;       // number of ordering keys; 0: none
  unsigned fields = 0;          // of a GraphQL document, one statement each; 0: uses /v1/query
};

enum class FaultKind {
  engine_kill,
  engine_hang,
  engine_slow,
  engine_swallow,
  engine_fail,
  engine_reset_before,
  engine_reset_after,
  engine_cut,
  engine_turn_away,
  engine_drain,
  engine_age,    // becomes slower in steps, up to `size` times
  engine_noise,  // a noisy neighbour: `size` times slower at random times
  engine_taken,  // draining in the list, gone and killed two seconds later, restarted cold at the end
  loads_late,
  list_late,
  list_away,
  gateway_stop,
  gateway_kill,
  burst,
  flood,
  hot_group,
  busy_gateway,  // the targets get a share `size` of the requests, or of those of `tenant`
  clock_drift,   // the targets' steady clocks run `size` ppm fast, every other one slow
  clock_step,    // the targets' Unix time jumps `size` ms ahead, and back at the end
  heavy,         // with probability `size` a query needs `factor` times the work and memory
  hang_ups,
  groups_change
};
std::string_view name_of(FaultKind kind);

struct Fault {
  FaultKind kind = FaultKind::burst;
  Time at{}, length{};
  std::vector<unsigned> targets;  // engines or gateways
  double size = 1;                // factor, probability or other quantity of the kind
  double factor = 10;
  std::string tenant;
  std::string plan;  // the plan of resource groups during the fault
};

// The network between the processes of an emulated day. Real processes use the loopback device as it is.
struct Wires {
  Time delay = std::chrono::microseconds(50);  // one way
  Time jitter{};                               // the largest additional delay, drawn for each segment
  double refused = 0;                          // probability that a connection attempt is refused
  // Probability that a datagram is lost, or that a segment between router and engine arrives 200 ms later.
  double lost = 0;
  double cut = 0;  // probability that such a segment is cut at some byte and the connection reset
};

struct Day {
  std::string file;
  std::uint64_t seed = 1;
  Time length{}, tail{};
  unsigned gateways = 1, engines = 1, threads = 1;
  Traits traits;
  Wires wires;
  RelayFaults relay;   // of the relays between routers and engines; no relays if all are 0
  std::string router;  // the router's settings as YAML
  Settings settings;   // parsed from `router`
  router::ConfiguredNames names;
  std::vector<ClassLoad> loads;  // by class
  std::vector<double> tenants;   // weights
  // Plans of resource groups by name, as YAML; the first applies unless a fault names another.
  std::vector<std::pair<std::string, std::string>> group_plans;
  unsigned groups = 1, retries = 0;
  Time progress{};
  std::vector<Fault> faults;
};

Day read_day(const std::string& path);  // throws yaml::Error
Day read_day_text(const std::string& text, const std::string& name);
// Zone and machine type of an engine, as indexes; assigned round-robin.
std::uint16_t zone_of(const Day& day, unsigned engine);
std::uint16_t kind_of(const Day& day, unsigned engine);

// A request that a client sends.
struct Ask {
  Time at{};  // from the day's start
  std::uint64_t number = 0;
  unsigned gateway = 0;
  ClassIndex cls = 0;
  std::uint32_t tenant = 0;
  std::uint64_t group = 0, key = 0;
  double work_ms = 0, memory_mb = 0;
  double estimate_ms = 0;       // 0: none
  std::optional<Time> hang_up;  // when the client closes the connection, from sending
};
// Draws the day's requests, in the order of their times.
std::vector<Ask> draw(const Day& day);
// Returns the JSON body of a request, with its statement.
std::string body_of(const Day& day, const Ask& ask, const std::string& id, bool repeat);
// Returns the GraphQL schema of a day's routers, with a field for each class that clients send by GraphQL;
// empty if there is none.
std::string schema_of(const Day& day);
// Returns the GraphQL request for statements with these ids, as fields f0, f1 ...
std::string graphql_body_of(const Day& day, const Ask& ask, const std::vector<std::string>& ids);

}  // namespace heronwell::rehearsal
