#include "settings_check.hpp"

#include <stdexcept>
#include <string>

namespace heronwell {
namespace {
void require(bool condition, const char* what) {
  if (!condition) throw std::invalid_argument(std::string("heronwell settings: ") + what);
}
}  // namespace

void check(const Settings& settings) {
  require(settings.router_count != 0, "gateways must be 1 or more");
  require(!settings.classes.empty(), "classes must not be empty");
  require(!settings.machine_types.empty(), "kinds must not be empty");
  require(settings.max_attempts != 0, "max_attempts must be 1 or more");
  const double initial_capacity = settings.slow_start_initial_capacity;
  require(!(initial_capacity <= 0) && !(initial_capacity > 1), "cold_from must be above 0 and at most 1");
  for (const auto& cls : settings.classes) {
    require(cls.latency_objective > Time::zero(), "classes[].aim must be above 0");
    require(cls.threads != 0, "classes[].threads must be 1 or more");
  }
  for (const auto& type : settings.machine_types) require(type.cores > 0, "kinds[].cores must be above 0");
  if (settings.retry_budget)
    require(settings.retry_budget->window > Time::zero(), "retry_budget.span must be above 0");
}

}  // namespace heronwell
