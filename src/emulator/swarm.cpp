#include "emulator/swarm.hpp"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <atomic>
#include <exception>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <pcg_random.hpp>
#include <random>
#include <thread>

#include "base/yaml.hpp"
#include "emulator/play.hpp"
#include "rehearsal/audit.hpp"

namespace heronwell::emulator {
namespace {

using rehearsal::FaultKind;

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : random_(seed) {}
  unsigned whole(unsigned least, unsigned most) {  // both may come
    return least + static_cast<unsigned>(random_(most - least + 1));
  }
  double part(double least, double most) {
    return least + (most - least) * std::generate_canonical<double, 32>(random_);
  }

 private:
  pcg64 random_;
};

// How large a trouble of this kind may be.
std::pair<double, double> sizes(FaultKind kind) {
  using enum FaultKind;
  switch (kind) {
    case engine_slow:
    case engine_age:
    case engine_noise:
      return {2, 10};
    case loads_late:
    case list_late:
      return {100, 3000};  // ms
    case burst:
      return {0.5, 3};
    case hot_group:
      return {0.2, 0.9};
    case hang_ups:
      return {0.05, 0.4};
    case clock_drift:
      return {10, 500};
    case clock_step:
      return {10, 100'000};
    case heavy:
      return {0.005, 0.03};  // as on the bench: docs/emulator.md says why not more
    default:
      return {0.05, 0.6};  // chances
  }
}

std::string milliseconds_text(double ms) { return fmt::format("{:.0f}ms", ms); }

YAML::Node draw_trouble(RandomSource& dice, unsigned gateways, unsigned engines, double length_ms) {
  // All kinds but a flood and a change of groups, which need tenants and plans.
  auto kind = static_cast<FaultKind>(dice.whole(0, static_cast<unsigned>(FaultKind::hang_ups)));
  if (kind == FaultKind::flood) kind = FaultKind::burst;
  YAML::Node trouble;
  trouble["kind"] = std::string(rehearsal::name_of(kind));
  const double at = dice.part(0, 0.7 * length_ms);
  trouble["at"] = milliseconds_text(at);
  trouble["for"] = milliseconds_text(dice.part(0.02, 0.28) * length_ms);
  const auto [least, most] = sizes(kind);
  trouble["size"] = fmt::format("{:.3f}", dice.part(least, most));
  const bool of_gateways = kind == FaultKind::gateway_stop || kind == FaultKind::gateway_kill ||
                           kind == FaultKind::busy_gateway || kind == FaultKind::clock_drift ||
                           kind == FaultKind::clock_step;
  const unsigned many = of_gateways ? gateways : kind <= FaultKind::loads_late ? engines : 0;
  if (many == 0) return trouble;
  const bool all = dice.whole(0, 7) == 0;
  const auto one = dice.whole(0, many - 1);
  for (unsigned i = 0; i < many; ++i)
    if (all || i == one || dice.whole(0, 4) == 0) trouble["targets"].push_back(i);
  return trouble;
}

std::pair<Time, Time> span_of(const YAML::Node& trouble) {
  const auto at = yaml::parse_duration(trouble["at"].as<std::string>()).value_or(Time::zero());
  return {at, at + yaml::parse_duration(trouble["for"].as<std::string>()).value_or(Time::zero())};
}

// What is stopped or dead can't be stopped or killed: records of it would contradict each other.
bool strikes_twice(const YAML::Node& troubles, const YAML::Node& one) {
  const auto strikes = [](const YAML::Node& trouble) {
    const auto kind = trouble["kind"].as<std::string>();
    return kind.ends_with("_kill") || kind.ends_with("_stop") || kind == "engine_hang" ||
           kind == "engine_taken";
  };
  if (!strikes(one)) return false;
  const auto [from, to] = span_of(one);
  return std::ranges::any_of(troubles, [&, begin = from, end = to](const YAML::Node& other) {
    const auto [other_from, other_to] = span_of(other);
    const bool same_side =
        one["kind"].as<std::string>().starts_with("g") == other["kind"].as<std::string>().starts_with("g");
    return strikes(other) && same_side && begin <= other_to && other_from <= end;
  });
}

YAML::Node draw_day(const YAML::Node& base, std::uint64_t seed, double length_ms) {
  RandomSource dice(seed);
  auto day = YAML::Clone(base);
  day["day"]["seed"] = seed;
  const auto gateways = dice.whole(1, 4), engines = dice.whole(2, 6);
  day["gateways"]["count"] = gateways;
  day["gateways"]["threads"] = dice.whole(1, 2);
  day["engines"]["count"] = engines;
  const auto cores = dice.whole(2, 8);
  day["engines"]["cores"] = cores;
  for (auto kind : day["router"]["kinds"]) kind.second["cores"] = cores;
  day["engines"]["sessions"] = dice.whole(8, 64);
  auto router = day["router"];
  router["allow"]["tell"] = dice.whole(0, 1) == 1;
  router["allow"]["second_copies"] = dice.whole(0, 1) == 1;
  router["engines"]["connections"] = dice.whole(4, 64);
  router["rules"]["max_attempts"] = dice.whole(2, 5);
  auto network = day["network"];
  network["delay"] = fmt::format("{}us", dice.whole(20, 2000));
  network["jitter"] = fmt::format("{}us", dice.whole(0, 3) == 0 ? dice.whole(100, 5000) : 0);
  network["lost"] = dice.whole(0, 3) == 0 ? dice.part(0.001, 0.05) : 0.0;
  network["cut"] = dice.whole(0, 3) == 0 ? dice.part(0.001, 0.02) : 0.0;
  for (auto load : day["clients"]["classes"]) {
    load.second["rate"] = fmt::format("{:.2f}", load.second["rate"].as<double>() * dice.part(0.4, 1.5));
    load.second["work_ms"] = fmt::format("{:.2f}", load.second["work_ms"].as<double>() * dice.part(0.5, 2));
  }
  day["troubles"] = YAML::Node(YAML::NodeType::Sequence);
  for (unsigned left = dice.whole(1, 8); left > 0; --left) {
    const auto trouble = draw_trouble(dice, gateways, engines, length_ms);
    if (!strikes_twice(day["troubles"], trouble)) day["troubles"].push_back(trouble);
  }
  return day;
}

struct Tried {
  std::string broken;  // empty: nothing
  Played played;
  std::uint64_t cases = 0;
};

Tried try_day(const YAML::Node& yaml, const std::string& file, bool fast) {
  std::ofstream(file) << YAML::Dump(yaml) << "\n";
  const auto records = file + ".records";
  const auto day = rehearsal::read_day(file);
  Tried tried;
  tried.played = play(day, fast, records);
  const auto audit = rehearsal::audit(records);
  std::filesystem::remove_all(records);
  tried.cases = audit.checked();
  if (!audit.violations.empty()) {
    const auto& first = audit.violations.front();
    tried.broken = fmt::format("rule {}: request {}, {}, {}: {}", first.rule, first.request, first.gateway,
                               first.engine, first.what);
  } else if (!audit.unreliable.empty()) {
    tried.broken = audit.unreliable.front();
  } else if (!tried.played.left.empty()) {
    tried.broken = tried.played.left.front();
  }
  return tried;
}

void note_pairs(const YAML::Node& troubles, Swept& swept) {
  for (std::size_t i = 0; i < troubles.size(); ++i)
    for (std::size_t j = 0; j < i; ++j) {
      const auto a = span_of(troubles[i]), b = span_of(troubles[j]);
      if (a.first > b.second || b.first > a.second) continue;
      auto x = troubles[i]["kind"].as<std::string>(), y = troubles[j]["kind"].as<std::string>();
      if (y < x) std::swap(x, y);
      swept.pairs.emplace(std::move(x), std::move(y));
    }
}

// Leaves out one trouble after the other, as long as something still breaks.
YAML::Node smaller(const YAML::Node& day, const std::string& file, bool fast) {
  auto smallest = YAML::Clone(day);
  for (std::size_t i = smallest["troubles"].size(); i-- > 0;) {
    auto less = YAML::Clone(smallest);
    less["troubles"].remove(i);
    if (!try_day(less, file, fast).broken.empty()) smallest = less;
  }
  return smallest;
}

}  // namespace

Swept swarm(const SwarmPlan& plan) {
  std::filesystem::create_directories(plan.folder);
  const auto checked = rehearsal::read_day(plan.base);  // its errors have places
  const double length_ms = milliseconds(checked.length);
  Swept swept;
  std::mutex mutex;
  std::atomic<unsigned> at = 0;
  std::exception_ptr failed;
  const auto work = [&] {
    try {
      const auto base = YAML::LoadFile(plan.base);
      for (unsigned i = at++; i < plan.days; i = at++) {
        const auto seed = plan.seed + i;
        const auto file = fmt::format("{}/day-{}.yaml", plan.folder, seed);
        const auto day = draw_day(base, seed, length_ms);
        const auto tried = try_day(day, file, plan.fast);
        std::optional<Finding> finding;
        if (!tried.broken.empty()) {
          const auto small = smaller(day, file, plan.fast);
          finding = Finding{seed, try_day(small, file, plan.fast).broken, file, day["troubles"].size(),
                            small["troubles"].size()};
        } else {
          std::filesystem::remove(file);
        }
        const std::lock_guard lock(mutex);
        ++swept.days;
        swept.cases += tried.cases;
        swept.events += tried.played.events;
        swept.virtual_time += tried.played.virtual_time;
        for (const auto& trouble : day["troubles"]) ++swept.troubles[trouble["kind"].as<std::string>()];
        note_pairs(day["troubles"], swept);
        if (finding) swept.findings.push_back(*finding);
      }
    } catch (...) {
      const std::lock_guard lock(mutex);
      failed = std::current_exception();
      at = plan.days;
    }
  };
  std::vector<std::thread> threads;
  for (unsigned i = 1; i < plan.threads; ++i) threads.emplace_back(work);
  work();
  for (auto& thread : threads) thread.join();
  if (failed) std::rethrow_exception(failed);
  std::ranges::sort(swept.findings, {}, &Finding::seed);
  return swept;
}

}  // namespace heronwell::emulator
