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

void count(Tally& tally, const ClassSettings& cls, double share, const rehearsal::RequestOutcome& fate) {
  ++tally.asked;
  ++(fate.took      ? (share == 1 ? tally.in_time : tally.late)
     : fate.failed  ? tally.failed
     : fate.refused ? tally.refused
                    : tally.lost);
  tally.worth_asked += cls.priority_weight;
  tally.worth_served += share * cls.priority_weight;
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
    second.worth_asked += cls.priority_weight;
    second.worth_served += share * cls.priority_weight;
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

namespace {

// The most work a second that an engine does whatever runs on it, of queries whose part of reading and
// writing is from `least` to `most`: cores and disks are shared by what all ask for, so a mix does most where
// it holds the extremes only (the sum of shares is convex in that part). Never over cores and disks together.
double fastest(const rehearsal::Traits& traits, double least, double most) {
  double best = 0;
  constexpr int steps = 1000;
  for (int i = 0; i <= steps; ++i) {
    const double mean = least + (most - least) * i / steps;
    const double of_most = most > least ? (mean - least) / (most - least) : 0;
    const auto rate = [&](double io) {
      return 1 / ((1 - io) * (1 - mean) / traits.cores + io * mean / traits.disks);
    };
    best = std::max(best, (1 - of_most) * rate(least) + of_most * rate(most));
  }
  return best * 1.001;  // between two steps
}

// Whether nothing else befalls that engine meanwhile, which might end this trouble early.
bool alone(const rehearsal::Day& day, const rehearsal::Fault& t, unsigned engine) {
  using enum rehearsal::FaultKind;
  return std::ranges::none_of(day.faults, [&](const rehearsal::Fault& other) {
    const bool strikes = other.kind == engine_kill || other.kind == engine_hang ||
                         other.kind == engine_slow || other.kind == engine_age ||
                         other.kind == engine_noise || other.kind == engine_taken;
    return &other != &t && strikes && other.at <= t.at + t.length && t.at <= other.at + other.length &&
           std::ranges::find(other.targets, engine) != other.targets.end();
  });
}

// Work that the engines can do in each bin: none of one that is dead or hangs, less of a slow one.
std::vector<double> capacity(const rehearsal::Day& day, std::size_t bins, double bin, double each) {
  std::vector<double> out(bins, each * day.engines * bin);
  for (const auto& t : day.faults) {
    using enum rehearsal::FaultKind;
    const bool away = t.kind == engine_kill || t.kind == engine_hang;
    if (!away && (t.kind != engine_slow || t.size <= 1)) continue;
    const double lost = each * (away ? 1 : 1 - 1 / t.size) *
                        static_cast<double>(std::ranges::count_if(
                            t.targets, [&](unsigned engine) { return alone(day, t, engine); }));
    for (std::size_t b = 0; b < bins; ++b) {
      const double from = std::max(seconds(t.at), static_cast<double>(b) * bin),
                   to = std::min(seconds(t.at + t.length), static_cast<double>(b + 1) * bin);
      if (to > from) out[b] -= lost * (to - from);
    }
  }
  return out;
}

}  // namespace

// Queries may be done in parts, in any of the bins from arrival to give-up time: what fits is a polymatroid,
// and taking the worthiest for their work first is best. A set of amounts fits if for all bins from s to t
// those that must be done within them are no more than their capacity (Hall's condition, for intervals).
double bound_of(const rehearsal::Day& day, const std::vector<rehearsal::Ask>& asks) {
  const double bin = std::max(0.25, seconds(day.length) / 64);
  struct Query {
    double need = 0, worth = 0;
    std::size_t from = 0, to = 0;
  };
  std::vector<Query> queries;
  double least = 1, most = 0;  // part of reading and writing
  std::size_t bins = 1;
  for (const auto& ask : asks) {
    const auto& cls = day.settings.classes[ask.cls];
    const double at = seconds(ask.at);
    least = std::min(least, day.loads[ask.cls].io);
    most = std::max(most, day.loads[ask.cls].io);
    Query query{ask.work_ms / 1e3, cls.priority_weight, static_cast<std::size_t>(at / bin), 0};
    query.to =
        std::max(query.from, static_cast<std::size_t>(std::ceil((at + seconds(cls.timeout)) / bin)) - 1);
    bins = std::max(bins, query.to + 1);
    queries.push_back(query);
  }
  const auto able = capacity(day, bins, bin, fastest(day.traits, std::min(least, most), most));
  std::vector<double> room(bins * bins);  // of the bins from s to t
  for (std::size_t s = 0; s < bins; ++s)
    for (std::size_t t = s; t < bins; ++t)
      room[s * bins + t] = able[t] + (t > s ? room[s * bins + t - 1] : 0);
  std::ranges::stable_sort(
      queries, [](const Query& a, const Query& b) { return a.worth * b.need > b.worth * a.need; });
  double worth = 0;
  for (const auto& query : queries) {
    double amount = query.need;
    for (std::size_t s = 0; s <= query.from; ++s)
      for (std::size_t t = query.to; t < bins; ++t) amount = std::min(amount, room[s * bins + t]);
    worth += query.need > 0 ? query.worth * std::max(0.0, amount) / query.need : query.worth;
    if (amount <= 0) continue;
    for (std::size_t s = 0; s <= query.from; ++s)
      for (std::size_t t = query.to; t < bins; ++t) room[s * bins + t] -= amount;
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
