#include "preferred_engines.hpp"

#include <algorithm>
#include <iterator>

namespace heronwell {
namespace {

// Number of engines that hold the data of one group: at least two, so that one may fail, and one in five of a
// large fleet.
constexpr std::size_t kMinPreferredEngines = 2;
constexpr std::size_t kFleetPerPreferredEngine = 5;

// Bytes that a choice uses besides its engines: its entries in the list and in the index.
constexpr std::size_t kChoiceOverheadBytes = 128;

// Order of the engines for a data group. It depends on ids only, so it is the same at every router (finalizer
// of splitmix64).
std::uint64_t preference_hash(std::int64_t data_group, EngineId id) {
  std::uint64_t x = (static_cast<std::uint64_t>(data_group) << 32) + id + 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

struct HashedEngine {
  std::uint64_t hash = 0;
  Engine* engine = nullptr;
};

}  // namespace

const std::vector<Engine*>& PreferredEngines::of(std::int64_t data_group) {
  if (const auto found = by_group_.find(data_group); found != by_group_.end()) {
    const auto choice = found->second;
    choices_.splice(choices_.begin(), choices_, choice);
    if (!choice->engines.empty()) return choice->engines;
    drop(choice);  // ejected engines become available again without a change of the fleet
  }
  choices_.push_front({data_group, choose(data_group)});
  by_group_[data_group] = choices_.begin();
  kept_bytes_ += bytes_of(choices_.front());
  while (kept_bytes_ > kMaxKeptBytes && choices_.size() > 1) drop(std::prev(choices_.end()));
  return choices_.front().engines;
}

bool PreferredEngines::contains(std::int64_t data_group, const Engine& engine) {
  return std::ranges::count(of(data_group), &engine) > 0;
}

void PreferredEngines::clear() {
  choices_.clear();
  by_group_.clear();
  kept_bytes_ = 0;
}

std::vector<Engine*> PreferredEngines::choose(std::int64_t data_group) const {
  const auto& ready = engines_.ready();
  std::vector<HashedEngine> candidates;
  candidates.reserve(ready.size());
  for (auto* engine : ready) {
    if (!engine->is_ejected()) candidates.push_back({preference_hash(data_group, engine->id()), engine});
  }
  const auto count =
      std::min(candidates.size(), std::max(kMinPreferredEngines, ready.size() / kFleetPerPreferredEngine));
  const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(count);
  std::ranges::nth_element(candidates, end, {}, &HashedEngine::hash);
  std::ranges::sort(candidates.begin(), end, {}, &HashedEngine::hash);
  std::vector<Engine*> engines;
  engines.reserve(count);
  std::transform(candidates.begin(), end, std::back_inserter(engines),
                 [](const HashedEngine& candidate) { return candidate.engine; });
  return engines;
}

std::size_t PreferredEngines::bytes_of(const Choice& choice) {
  return kChoiceOverheadBytes + choice.engines.capacity() * sizeof(Engine*);
}

void PreferredEngines::drop(Choices::iterator choice) {
  kept_bytes_ -= bytes_of(*choice);
  by_group_.erase(choice->data_group);
  choices_.erase(choice);
}

}  // namespace heronwell
