// KeyOrder holds the requests of each ordering key in the order of their arrival, and the quiet periods of
// keys. It makes no decisions; forwarding_rules queries it. A request stays in the order until none of its
// attempts is in flight. If it is unknown whether an attempt has ended at the engine, its key has a quiet
// period, so that the next request cannot overtake the attempt there.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>

#include "heronwell/decision_engine.hpp"

namespace heronwell {

class KeyOrder {
 public:
  void add(std::uint64_t key, RequestId request) { requests_[key].push_back(request); }
  void remove(std::uint64_t key, RequestId request) {
    const auto entry = requests_.find(key);
    std::erase(entry->second, request);
    if (entry->second.empty()) requests_.erase(entry);
  }
  void start_quiet_period(std::uint64_t key, Time until) { quiet_until_[key] = until; }
  [[nodiscard]] bool is_first(std::uint64_t key, RequestId request) const {
    return requests_.at(key).front() == request;
  }
  [[nodiscard]] bool is_quiet(std::uint64_t key, Time now) const {
    const auto entry = quiet_until_.find(key);
    return entry != quiet_until_.end() && now < entry->second;
  }
  void remove_ended_quiet_periods(Time now) {
    std::erase_if(quiet_until_, [now](const auto& entry) { return entry.second <= now; });
  }

 private:
  std::map<std::uint64_t, std::deque<RequestId>> requests_;  // by key, in the order of arrival
  std::map<std::uint64_t, Time> quiet_until_;                // by key: end of its quiet period
};

}  // namespace heronwell
