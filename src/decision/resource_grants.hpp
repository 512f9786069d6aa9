// ResourceGrants sets the memory grant and the engine priority of an attempt. Its inputs are the memory that
// recent queries of the class needed and were estimated to need (MB), the request's estimate, its relative
// size and its class's rank. Its outputs are the memory grant in MB (0: the engine chooses) and the priority
// (3 is the highest). A query with a grant below its need spills to disk and holds its threads for much
// longer. Grants are therefore a multiple of the need, as estimates are wrong by a factor that differs from
// class to class.
#pragma once

#include <cstdint>

#include "class_ranking.hpp"
#include "class_statistics.hpp"
#include "request_table.hpp"

namespace heronwell {

class ResourceGrants {
 public:
  ResourceGrants(const ClassStatistics& statistics, const ClassRanking& ranking)
      : statistics_(statistics), ranking_(ranking) {}

  [[nodiscard]] double memory_mb(const Request& request) const;
  [[nodiscard]] std::uint8_t priority(const Request& request) const;

 private:
  const ClassStatistics& statistics_;
  const ClassRanking& ranking_;
};

}  // namespace heronwell
