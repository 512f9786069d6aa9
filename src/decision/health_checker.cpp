#include "health_checker.hpp"

#include <algorithm>
#include <ranges>

namespace heronwell {
namespace {
using namespace std::chrono_literals;

// Age at which a report or check is renewed: a small part of the time in which an engine's load changes.
constexpr Time kStaleReportAge = 300ms;

// How long a request waits for the checks made for it: a round trip plus one tick.
constexpr Time kCheckWait = 40ms;

// Checks that each request adds to the budget, and the largest number of saved checks.
constexpr double kChecksPerRequest = 1;
constexpr double kMaxSavedChecks = 20;

// Largest number of engines that are checked for one heavy query. A check for any other query must leave one
// check less than this in the budget. The next heavy query adds the missing one when it arrives.
constexpr int kChecksForHeavyQuery = 4;

// A class is heavy if kHeavyRatio times its work exceeds the work of the heaviest class.
constexpr double kHeavyRatio = 2;
}  // namespace

void HealthChecker::add_budget() { budget_ = std::min(budget_ + kChecksPerRequest, kMaxSavedChecks); }

bool HealthChecker::check(Engine& engine) {
  if (!settings_.health_checks_enabled || budget_ < 1) return false;
  engine.checked_at.edit() = clock_.now;
  budget_ -= 1;
  actions_.append(StartHealthCheck{engine.id()});
  return true;
}

bool HealthChecker::check_if_stale(Engine& engine, double reserve) {
  const bool is_stale =
      clock_.now >= std::max(engine.load->reported_at, *engine.checked_at) + kStaleReportAge;
  return is_stale && !settings_.load_fields.empty() && budget_ >= 1 + reserve && check(engine);
}

void HealthChecker::check_stale_engines() {
  if (engines_.is_pool_small()) return;
  for (auto* engine : engines_.ready()) check_if_stale(*engine, 0);
}

bool HealthChecker::check_for(Request& request, const std::vector<Engine*>& engines) {
  if (!engines_.is_pool_small()) return false;
  auto& wait_until = request.health_checks_until.edit();
  if (wait_until > Time::zero()) return wait_until > clock_.now;
  wait_until = clock_.now;
  const bool is_heavy = kHeavyRatio * statistics_.of(request).work > statistics_.heaviest_work();
  const int checks = is_heavy ? kChecksForHeavyQuery : 1;
  const double reserve = is_heavy ? 0 : kChecksForHeavyQuery - 1;
  for (auto* engine : engines | std::views::take(checks))
    if (check_if_stale(*engine, reserve)) wait_until = clock_.now + kCheckWait;
  return wait_until > clock_.now;
}

}  // namespace heronwell
