#include "resource_grants.hpp"

namespace heronwell {
namespace {
// Grant without an estimate, as a multiple of the class's mean need: a query with too small a grant spills,
// which costs more than unused memory.
constexpr double kGrantPerMeanNeed = 3.2;

// Grant with an estimate, as a multiple of the corrected estimate. The margin covers the variation within a
// class.
constexpr double kGrantPerEstimatedNeed = 2.0;

// Priority of the first class in rank, and of small, usual and large queries of the other classes.
constexpr std::uint8_t kFirstClassPriority = 3;
constexpr std::uint8_t kSmallQueryPriority = 2;
constexpr std::uint8_t kUsualQueryPriority = 1;
constexpr std::uint8_t kLargeQueryPriority = 0;

// Queries below the first relative size are small, and queries from the second relative size on are large.
// Short queries gain more from going first than long queries lose.
constexpr double kSmallQuerySize = 0.7;
constexpr double kLargeQuerySize = 2.5;
}  // namespace

double ResourceGrants::memory_mb(const Request& request) const {
  const auto& cls = statistics_.of(request);
  const double estimate = request.arrival.estimated_memory_mb;
  if (!(estimate > 0)) return kGrantPerMeanNeed * cls.memory_mb;
  const double correction = cls.estimated_memory_mb > 0 ? cls.memory_mb / cls.estimated_memory_mb : 1;
  return kGrantPerEstimatedNeed * estimate * correction;
}

std::uint8_t ResourceGrants::priority(const Request& request) const {
  if (request.arrival.class_index == ranking_.front()) return kFirstClassPriority;
  if (request.relative_size < kSmallQuerySize) return kSmallQueryPriority;
  return request.relative_size < kLargeQuerySize ? kUsualQueryPriority : kLargeQueryPriority;
}

}  // namespace heronwell
