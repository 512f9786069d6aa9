// ShareContext holds the values that all classes of the resource groups read and only `Shares` writes:
// settings, properties of the query classes, the current time, and the threads of this router and of the
// fleet. The classes get it as a const reference, so that all decisions of one call use the same time and
// pool size.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "groups/share_settings.hpp"
#include "heronwell/decision_engine.hpp"

namespace heronwell::groups {

// Properties of a query class.
struct ClassFacts {
  unsigned threads = 1;  // threads of one query
  // The queries have ordering keys: the first queued one may have to wait while a later one may start.
  bool in_order = false;
};

// The properties of a query to which the limits of groups apply.
struct Query {
  ClassIndex cls = 0;
  double memory_mb = 0;      // 0: no estimate
  std::optional<Time> work;  // estimate, summed over all threads
};

struct ShareContext {
  ShareSettings settings;
  std::vector<ClassFacts> classes;
  unsigned max_query_threads = 1;  // maximum over all classes
  Time now{};                      // never decreases
  double pool_threads = 1;         // of this router
  double fleet_threads = 1;  // of this router and those whose gossip is recent, assumed to be of equal size
  std::uint64_t freed_threads = 0;  // sum of the threads of ended attempts, since the start
};

inline double seconds(Time time) { return std::chrono::duration<double>(time).count(); }

}  // namespace heronwell::groups
