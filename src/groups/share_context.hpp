// What every part of the shares reads and only `Shares` writes: settings, facts of the query classes, the
// time and the threads that this router and the fleet have. Handed to the parts as const&, so that each
// decision of one call sees one time and one size of the pool.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "groups/share_settings.hpp"
#include "heronwell/decision_engine.hpp"

namespace heronwell::groups {

// Of a query class.
struct ClassFacts {
  unsigned threads = 1;  // of one query
  bool in_order =
      false;  // its queries keep an order by key: the first may have to wait while a later one may go
};

// What a group's limits look at.
struct Query {
  ClassIndex cls = 0;
  double memory_mb = 0;      // 0: no estimate
  std::optional<Time> work;  // estimate, of all threads
};

struct ShareContext {
  ShareSettings settings;
  std::vector<ClassFacts> classes;
  unsigned max_query_threads = 1;   // threads, of all classes
  Time now{};                       // never falls
  double pool_threads = 1;          // of this router
  double fleet_threads = 1;         // of this router and those whose gossip is recent, taken to be alike
  std::uint64_t freed_threads = 0;  // by attempts that ended, since the start
};

inline double seconds(Time time) { return std::chrono::duration<double>(time).count(); }

}  // namespace heronwell::groups
