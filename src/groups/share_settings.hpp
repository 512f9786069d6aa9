// ShareSettings are the operator's settings of how strictly shares are enforced, configured beside the tree.
// docs/operators/groups.md explains each key.
#pragma once

#include <chrono>
#include <cstddef>

#include "base/time.hpp"
#include "base/yaml.hpp"

namespace heronwell::groups {

struct ShareSettings {
  // Engine time by which a group may be ahead of a waiting sibling. It keeps capacity in use for short
  // classes.
  Time slack{std::chrono::milliseconds(200)};
  // The first group in order holds its siblings back while threads become free for its query, or for this
  // time while enough threads are free. If it starts nothing, its siblings may start requests for the same
  // time, then for twice as long, and so on.
  Time patience{std::chrono::milliseconds(250)};
  Time credit{std::chrono::milliseconds(500)};  // maximum unused engine time that a returning group keeps
  Time debt{std::chrono::seconds(30)};          // maximum engine time by which a group can be ahead
  Time fade{std::chrono::seconds(10)};      // time constant of the decay of credit and debt of an idle group
  std::size_t most_made = 1000;             // maximum number of groups created from templates
  Time made_idle{std::chrono::minutes(5)};  // time without requests after which such a group is removed
  unsigned gateways = 1;  // number of routers; each has an equal part of the threads configured in the tree
  // Throws yaml::Error.
  static ShareSettings read(yaml::Section& section);
};

}  // namespace heronwell::groups
