// check() validates Settings before the decision engine is constructed from them.
#pragma once

#include "heronwell/decision_engine.hpp"

namespace heronwell {

// Throws std::invalid_argument that names the first invalid field by its name in the settings document.
void check(const Settings& settings);

}  // namespace heronwell
