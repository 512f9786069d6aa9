#include "experiment/score.hpp"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>

namespace heronwell::experiment {
namespace {

namespace bh = boost::histogram;
constexpr double kLeastMs = 0.1, kMostMs = 1e6;
constexpr unsigned kBins = 12 * 7;

double seconds(Time t) { return std::chrono::duration<double>(t).count(); }

void count(Tally& tally, const ClassSettings& cls, double share, const rehearsal::Fate& fate) {
  ++tally.asked;
  ++(fate.took      ? (share == 1 ? tally.in_time : tally.late)
     : fate.failed  ? tally.failed
     : fate.refused ? tally.refused
                    : tally.lost);
  tally.worth_asked += cls.worth;
  tally.worth_served += share * cls.worth;
}

}  // namespace

Score score_of(const rehearsal::Day& day, const emulator::Played& played) {
  Score score;
  for (const auto& cls : day.settings.classes) score.classes.push_back({.name = cls.name});
  for (const auto& tenant : day.settings.tenants) score.tenants.push_back({.name = tenant.name});
  score.seconds.resize(static_cast<std::size_t>(std::ceil(seconds(day.length))));
  using Axis = bh::axis::regular<double, bh::axis::transform::log>;
  std::vector histograms(score.classes.size(), bh::make_histogram(Axis(kBins, kLeastMs, kMostMs)));
  for (std::size_t i = 0; i < played.asks.size(); ++i) {
    const auto& ask = played.asks[i];
    const auto& fate = played.fates[i];
    const auto& cls = day.settings.classes[ask.cls];
    const double share = rehearsal::share_of_worth(cls, ask.work_ms, fate.took);
    count(score.all, cls, share, fate);
    count(score.classes[ask.cls], cls, share, fate);
    if (ask.tenant < score.tenants.size()) count(score.tenants[ask.tenant], cls, share, fate);
    auto& second =
        score.seconds[std::min(score.seconds.size() - 1, static_cast<std::size_t>(seconds(ask.at)))];
    second.worth_asked += cls.worth;
    second.worth_served += share * cls.worth;
    if (fate.took) histograms[ask.cls](std::clamp(milliseconds(*fate.took), kLeastMs, kMostMs * 0.999));
  }
  for (const auto& histogram : histograms) {
    auto& bins = score.times.emplace_back();
    for (auto&& bin : bh::indexed(histogram))
      if (*bin > 0) bins.push_back({bin.bin().upper(), static_cast<std::uint64_t>(*bin)});
  }
  score.bound = bound_of(day, played.asks);
  return score;
}

double bound_of(const rehearsal::Day& day, const std::vector<rehearsal::Ask>& asks) {
  Time longest{};
  std::vector<std::pair<double, double>> queries;  // work in core-seconds, worth
  for (const auto& ask : asks) {
    const auto& cls = day.settings.classes[ask.cls];
    longest = std::max(longest, cls.give_up);
    queries.emplace_back(std::max(1e-9, ask.work_ms / 1e3), cls.worth);
  }
  std::ranges::sort(queries,
                    [](const auto& a, const auto& b) { return a.second / a.first > b.second / b.first; });
  // A query's cores and disks work at the same time, at best: both together are what it can use.
  double left = day.engines * (day.traits.cores + day.traits.disks) * seconds(day.length + longest),
         worth = 0;
  for (const auto& [work, one] : queries) {
    const double part = std::min(1.0, left / work);
    worth += part * one;
    left -= part * work;
    if (left <= 0) break;
  }
  return worth;
}

double quantile(const std::vector<Bin>& bins, double part) {
  std::uint64_t all = 0, sum = 0;
  for (const auto& bin : bins) all += bin.answers;
  for (const auto& bin : bins) {
    sum += bin.answers;
    if (static_cast<double>(sum) >= part * static_cast<double>(all)) return bin.upto_ms;
  }
  return 0;
}

}  // namespace heronwell::experiment
