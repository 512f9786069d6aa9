// A day as its YAML file has it: what runs, what clients ask, what goes wrong; and the list of arrivals drawn
// from it. The same file gives the same arrivals.
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
  double rate = 0;      // a second, over all gateways
  double work_ms = 10;  // mean, of all threads
  double io = 0.2;
  double memory_mb = 20;
  double rows = 1;
  double bytes = 20;            // a row
  double estimates = 0;         // 0: none given; else by how much they scatter (a log-normal's sigma)
  std::optional<Time> timeout;  // sent with each request; none: the class's give-up time holds
  std::uint64_t keys = 0;       // order keys; 0: none
  unsigned fields = 0;          // of one GraphQL document, a statement each; 0: by /v1/query
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
  engine_age,    // slower and slower, up to `size` times
  engine_noise,  // a neighbour's work: `size` times slower, on and off
  engine_taken,  // told as draining, gone and dead two seconds later, back cold at the end
  loads_late,
  list_late,
  list_away,
  gateway_stop,
  gateway_kill,
  burst,
  flood,
  hot_group,
  busy_gateway,  // `size` of the arrivals, of `tenant` if one is named, come to the targets
  clock_drift,   // the targets' steady clocks run `size` millionths fast, every other one slow
  clock_step,    // the targets' Unix time jumps `size` ms ahead, and back in the end
  heavy,         // a chance of `size` that a query is `factor` times the work and memory
  hang_ups,
  groups_change
};
std::string_view name_of(FaultKind kind);

struct Fault {
  FaultKind kind = FaultKind::burst;
  Time at{}, length{};
  std::vector<unsigned> targets;  // engines or gateways
  double size = 1;                // factor, chance, or as the kind has it
  double factor = 10;
  std::string tenant;
  std::string plan;  // of groups, that is in force meanwhile
};

// Between the processes of an emulated day; on loopback the machine's own holds.
struct Wires {
  Time delay = std::chrono::microseconds(50);  // one way
  Time jitter{};                               // up to so much more, drawn for each piece
  double refused = 0;                          // chance: of a dial
  double lost = 0;  // of a datagram; of a piece between router and engine, which comes 200 ms later then
  double cut = 0;   // of such a piece, to be cut at some byte and the connection reset
};

struct Day {
  std::string file;
  std::uint64_t seed = 1;
  Time length{}, tail{};
  unsigned gateways = 1, engines = 1, threads = 1;
  Traits traits;
  Wires wires;
  RelayFaults relay;   // of relays between routers and engines; none if all are 0
  std::string router;  // YAML of the router's settings
  Settings settings;   // as read from it
  router::ConfiguredNames names;
  std::vector<ClassLoad> loads;  // by class
  std::vector<double> tenants;   // weights
  // Plans of resource groups by name, as YAML; the first is in force unless a trouble says otherwise.
  std::vector<std::pair<std::string, std::string>> group_plans;
  unsigned groups = 1, retries = 0;
  Time progress{};
  std::vector<Fault> faults;
};

Day read_day(const std::string& path);  // throws yaml::Error
Day read_day_text(const std::string& text, const std::string& name);
// Zone and kind of engine i: dealt out in turn.
std::uint16_t zone_of(const Day& day, unsigned engine);
std::uint16_t kind_of(const Day& day, unsigned engine);

struct Ask {
  Time at{};  // from the start
  std::uint64_t number = 0;
  unsigned gateway = 0;
  ClassIndex cls = 0;
  std::uint32_t tenant = 0;
  std::uint64_t group = 0, key = 0;
  double work_ms = 0, memory_mb = 0;
  double estimate_ms = 0;       // 0: none
  std::optional<Time> hang_up;  // after sending
};
std::vector<Ask> draw(const Day& day);
// The statement and the JSON body of a request.
std::string body_of(const Day& day, const Ask& ask, const std::string& id, bool repeat);
// The schema that a day's routers serve, a field for each class that clients ask by GraphQL; empty: none do.
std::string schema_of(const Day& day);
// The GraphQL request for statements with these ids: fields f0, f1 ...
std::string graphql_body_of(const Day& day, const Ask& ask, const std::vector<std::string>& ids);

}  // namespace heronwell::rehearsal
