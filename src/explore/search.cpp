#include "explore/search.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <thread>
#include <unordered_map>
#include <unordered_set>

namespace heronwell::explore {
namespace {

constexpr std::size_t kLongestFairWay = 20'000;  // steps; usual ones have some hundred

struct ByLow {
  std::size_t operator()(const Hash& hash) const { return hash.low; }
};
using Hashes = std::unordered_set<Hash, ByLow>;                 // asked only, never walked
using Places = std::unordered_map<Hash, std::uint32_t, ByLow>;  // of nodes; the same

// Steps that need not be tried here: another way to the same states has begun with them.
struct SleepSet {
  Choice choice;
  Footprint footprint;
};
using Sleep = std::vector<SleepSet>;

struct Node {
  std::uint32_t parent = 0;
  Choice choice;
  Hash names;
  Sleep sleep;
};

bool has(const Sleep& sleep, const Choice& choice) {
  return std::ranges::find(sleep, choice, &SleepSet::choice) != sleep.end();
}

struct Child {
  Choice choice;
  Hash hash, names;
  Sleep sleep;
};
struct Expanded {
  std::size_t asleep = 0;
  std::vector<Child> children;
  std::optional<Broken> broken;
  std::vector<Choice> way;  // of what broke
};

class Collector final : public path::TransitionObserver {
 public:
  void on_transition(std::string_view machine, std::string_view from, std::string_view event,
                     std::string_view to) override {
    auto& met = met_[{machine.data(), from.data(), event.data()}];
    ++met.times;
    met.to = to;
  }
  void add_to(std::map<Pair, Met>& all) const {
    for (const auto& [key, met] : met_) {
      auto& one =
          all[{std::string(std::get<0>(key)), std::string(std::get<1>(key)), std::string(std::get<2>(key))}];
      one.times += met.times;
      one.to = met.to;
    }
  }

 private:
  // Names are literals: equal names may stand at two addresses, which adding up puts right.
  std::map<std::tuple<const char*, const char*, const char*>, Met> met_;
};

struct Worker {
  Worker(const ModelPlan& plan, const Bounds& given) : setting(plan), bounds(given) {}

  void expand(const std::vector<Choice>& way, Sleep sleep, const Places& seen, Expanded& out) {
    std::vector<Choice> all;
    const bool reduce = bounds.reduce && !bounds.exact;
    {
      Model sim(setting);
      for (const auto& choice : way) sim.take(choice);
      sim.choices(all);
    }
    for (const auto& choice : all) {
      if (reduce && has(sleep, choice)) {
        ++out.asleep;
        continue;
      }
      Model sim(setting);
      for (const auto& one : way) sim.take(one);
      sim.take(choice);
      auto whole = way;
      whole.push_back(choice);
      if (sim.broken()) return fail(*sim.broken(), std::move(whole), out);
      const auto hash = sim.hash(bounds.exact);
      out.children.push_back({choice, hash, {}, {}});
      if (reduce) {
        auto& child = out.children.back();
        child.names = sim.names();
        const auto& mine = sim.footprint();
        std::ranges::copy_if(sleep, std::back_inserter(child.sleep),
                             [&mine](const SleepSet& one) { return one.footprint.apart(mine); });
        sleep.push_back({choice, mine});
      }
      if (!bounds.fair || seen.contains(hash)) continue;
      if (auto broken = go_on(sim, whole)) return fail(std::move(*broken), std::move(whole), out);
    }
  }

  // The fair way on, as far as it has not been gone before.
  std::optional<Broken> go_on(Model& sim, std::vector<Choice>& way) {
    const auto before = way.size();
    while (true) {
      if (way.size() > before + kLongestFairWay) {  // some event calls for itself again and again
        way.resize(before);
        return Broken{"the fair way on ends", fmt::format("{} steps, and no end", kLongestFairWay)};
      }
      if (!settled.insert(sim.hash(false)).second) return std::nullopt;
      const auto next = sim.fair();
      if (!next) break;
      sim.take(*next);
      way.push_back(*next);
      if (sim.broken()) return sim.broken();
    }
    sim.check_end();
    outcomes.insert(sim.outcome());
    return sim.broken();
  }

  static void fail(Broken broken, std::vector<Choice> way, Expanded& out) {
    if (out.broken && out.way.size() <= way.size()) return;
    out.broken = std::move(broken);
    out.way = std::move(way);
  }

  Setting setting;
  const Bounds& bounds;
  Hashes settled;
  std::set<std::string> outcomes;
  Collector collector;
};

std::vector<Choice> way_to(const std::vector<Node>& nodes, std::uint32_t node) {
  std::vector<Choice> way;
  for (; node != 0; node = nodes[node].parent) way.push_back(nodes[node].choice);
  std::ranges::reverse(way);
  return way;
}

// A breadth-first search, level by level: all states that as many events lead to.
class Search {
 public:
  Search(const ModelPlan& plan, const Bounds& bounds) : plan_(plan), bounds_(bounds), nodes_(1) {
    for (unsigned i = 0; i < std::max(1U, bounds.threads); ++i)
      workers_.push_back(std::make_unique<Worker>(plan, bounds));
    const Model start(workers_.front()->setting);
    seen_.emplace(start.hash(bounds.exact), 0);
    nodes_.front().names = start.names();
  }

  Found run() {
    while (!level_.empty() && !found_.story && nodes_.size() < bounds_.states &&
           found_.depth < bounds_.depth) {
      take_in(expand_level());
      ++found_.depth;
      if (bounds_.enough && bounds_.enough()) break;
    }
    found_.states = nodes_.size();
    found_.unexplored = level_.size();
    for (const auto& worker : workers_) {
      worker->collector.add_to(found_.met);
      found_.outcomes.insert(worker->outcomes.begin(), worker->outcomes.end());
    }
    return std::move(found_);
  }

 private:
  // By all workers at once; the result does not depend on which of them had which state.
  std::vector<Expanded> expand_level() {
    std::vector<Expanded> expanded(level_.size());
    std::atomic<std::size_t> at = 0;
    const auto work = [&](Worker& worker) {
      path::transition_observer = &worker.collector;
      for (std::size_t i = at++; i < level_.size(); i = at++)
        worker.expand(way_to(nodes_, level_[i]), nodes_[level_[i]].sleep, seen_, expanded[i]);
      path::transition_observer = nullptr;
    };
    std::vector<std::thread> threads;
    for (std::size_t i = 1; i < workers_.size(); ++i) threads.emplace_back([&, i] { work(*workers_[i]); });
    work(*workers_.front());
    for (auto& thread : threads) thread.join();
    return expanded;
  }

  void take_in(std::vector<Expanded> expanded) {
    next_.clear();
    waits_.assign(nodes_.size(), false);
    for (std::size_t i = 0; i < level_.size(); ++i) {
      auto& one = expanded[i];
      found_.edges += one.children.size();
      if (one.broken && (!found_.story || one.way.size() < found_.story->choices.size()))
        found_.story = Trace{plan_.name, *one.broken, one.way};
      found_.asleep += one.asleep;
      for (auto& child : one.children) take_in(level_[i], child);
    }
    level_ = std::move(next_);
  }

  void take_in(std::uint32_t parent, Child& child) {
    const auto [place, added] = seen_.emplace(child.hash, static_cast<std::uint32_t>(nodes_.size()));
    if (added) {
      nodes_.push_back({parent, child.choice, child.names, std::move(child.sleep)});
      next_.push_back(place->second);
      waits_.push_back(true);
      return;
    }
    // Reached once more: only what need not be tried on either way sleeps. Where that is less than was
    // left out before, the state is looked at again.
    auto& node = nodes_[place->second];
    const auto before = node.sleep.size();
    if (node.names != child.names) node.sleep.clear();
    std::erase_if(node.sleep, [&child](const SleepSet& other) { return !has(child.sleep, other.choice); });
    if (node.sleep.size() == before || waits_[place->second]) return;
    next_.push_back(place->second);
    waits_[place->second] = true;
  }

  const ModelPlan& plan_;
  const Bounds& bounds_;
  Found found_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<Node> nodes_;  // states, the first of them the start
  Places seen_;
  std::vector<std::uint32_t> level_{0}, next_;
  std::vector<bool> waits_;  // by node: stands in next_
};

// Looks for pairs of steps that are said to have nothing in common, and are not one state in either order.
class CommuteCheck {
 public:
  explicit CommuteCheck(const ModelPlan& plan) : setting_(plan) {}

  Commuted run(const Bounds& bounds) {
    std::vector<std::vector<Choice>> level{{}};
    for (std::size_t depth = 0; depth < bounds.depth && !level.empty() && seen_.size() < bounds.states;
         ++depth) {
      std::vector<std::vector<Choice>> next;
      for (const auto& way : level) {
        check_pairs(way, steps_after(way, next));
        if (!commuted_.wrong.empty()) return std::move(commuted_);
      }
      level = std::move(next);
    }
    return std::move(commuted_);
  }

 private:
  // The model after `way` and then `more`; null: one of those could not come there.
  std::unique_ptr<Model> after(const std::vector<Choice>& way, std::initializer_list<Choice> more) {
    auto sim = std::make_unique<Model>(setting_);
    for (const auto& choice : way) sim->take(choice);
    for (const auto& choice : more) {
      std::vector<Choice> open;
      sim->choices(open);
      if (std::ranges::find(open, choice) == open.end()) return nullptr;
      sim->take(choice);
    }
    return sim;
  }

  // All steps that may come after `way`; new states go to `next`.
  Sleep steps_after(const std::vector<Choice>& way, std::vector<std::vector<Choice>>& next) {
    std::vector<Choice> all;
    after(way, {})->choices(all);
    Sleep steps;
    for (const auto& choice : all) {
      const auto sim = after(way, {choice});
      steps.push_back({choice, sim->footprint()});
      if (!seen_.insert(sim->hash()).second) continue;
      next.push_back(way);
      next.back().push_back(choice);
    }
    return steps;
  }

  void check_pairs(const std::vector<Choice>& way, const Sleep& steps) {
    for (std::size_t a = 0; a < steps.size(); ++a)
      for (std::size_t b = a + 1; b < steps.size(); ++b) {
        if (!steps[a].footprint.apart(steps[b].footprint)) continue;
        ++commuted_.pairs;
        const auto one = after(way, {steps[a].choice, steps[b].choice});
        const auto other = after(way, {steps[b].choice, steps[a].choice});
        if (one && other && one->hash() == other->hash() && one->names() == other->names()) continue;
        const auto here = after(way, {});
        commuted_.wrong = here->text(steps[a].choice) + " / " + here->text(steps[b].choice);
        return;
      }
  }

  Setting setting_;
  Commuted commuted_;
  Hashes seen_;
};

}  // namespace

Found search(const ModelPlan& plan, const Bounds& bounds) { return Search(plan, bounds).run(); }

Commuted commute(const ModelPlan& plan, const Bounds& bounds) { return CommuteCheck(plan).run(bounds); }

std::optional<Broken> replay(const ModelPlan& plan, const std::vector<Choice>& choices,
                             std::vector<std::string>& lines) {
  Setting setting(plan);
  Model sim(setting);
  const auto start = sim.now();
  for (const auto& choice : choices) {
    std::vector<Choice> all;
    sim.choices(all);
    const bool open = std::ranges::find(all, choice) != all.end() || choice.kind == Kind::pass;
    lines.push_back(fmt::format("{:3}. {:7.1f} ms  {}", lines.size() + 1, milliseconds(sim.now() - start),
                                open ? sim.text(choice) : "can't happen here any more"));
    if (!open) return std::nullopt;
    sim.take(choice);
    if (sim.broken()) return sim.broken();
  }
  if (!sim.fair()) sim.check_end();
  return sim.broken();
}

namespace {
std::string table_of(std::string_view title, const auto& lines) {
  auto out = fmt::format("**{}**\n\n| state | event | next state |\n|---|---|---|\n", title);
  for (const auto& line : lines)
    out += fmt::format("| {} | {} | {} |\n", name_of(line.from), name_of(line.event), name_of(line.to));
  return out + "\n";
}
}  // namespace

std::string tables() {
  return table_of("Connection to an engine", path::kEngineConnectionTransitions) +
         table_of("Connection of a client", path::kClientConnectionTransitions) +
         table_of("Attempt", path::kAttemptTransitions) + table_of("Answer", path::kResponseTransitions);
}

std::string write_story(const Trace& story, const ModelPlan& plan) {
  std::vector<std::string> lines;
  (void)replay(plan, story.choices, lines);
  auto out = fmt::format("world: {}\nproperty: \"{}\"\ndetail: \"{}\"\nchoices:  # kind, a, b\n", story.world,
                         story.broken.property, story.broken.detail);
  for (std::size_t i = 0; i < story.choices.size(); ++i) {
    const auto& c = story.choices[i];
    out += fmt::format("  - \"{} {} {}\"  # {}\n", static_cast<unsigned>(c.kind), c.a, c.b,
                       i < lines.size() ? lines[i] : "");
  }
  return out;
}

Trace read_story(const std::string& text, const std::string& name) {
  auto file = yaml::Section::text(text, name);
  Trace story;
  story.world = file.string("world");
  story.broken.property = file.string("property", "");
  story.broken.detail = file.string("detail", "");
  for (const auto& line : file.strings("choices")) {
    unsigned kind = 0, a = 0, b = 0;
    if (std::sscanf(line.c_str(), "%u %u %u", &kind, &a, &b) != 3 ||
        kind > static_cast<unsigned>(Kind::restart))
      file.fail("choices", "expected three whole numbers, such as \"4 0 0\", not \"" + line + "\"");
    story.choices.push_back(
        {static_cast<Kind>(kind), static_cast<std::uint16_t>(a), static_cast<std::uint8_t>(b)});
  }
  file.close();
  return story;
}

}  // namespace heronwell::explore
