#include "explore/search.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <thread>
#include <unordered_set>

namespace heronwell::explore {
namespace {

struct ByLow {
  std::size_t operator()(const Hash& hash) const { return hash.low; }
};
using Hashes = std::unordered_set<Hash, ByLow>;  // asked only, never walked

struct Node {
  std::uint32_t parent = 0;
  Choice choice;
};

struct Child {
  Choice choice;
  Hash hash;
};
struct Expanded {
  std::vector<Child> children;
  std::optional<Broken> broken;
  std::vector<Choice> way;  // of what broke
};

class Collector final : public path::Steps {
 public:
  void stepped(std::string_view machine, std::string_view from, std::string_view event,
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
  Worker(const Plan& plan, const Bounds& given) : setting(plan), bounds(given) {}

  void expand(const std::vector<Choice>& way, const Hashes& seen, Expanded& out) {
    std::vector<Choice> all;
    {
      Sim sim(setting);
      for (const auto& choice : way) sim.take(choice);
      sim.choices(all);
    }
    for (const auto& choice : all) {
      Sim sim(setting);
      for (const auto& one : way) sim.take(one);
      sim.take(choice);
      auto whole = way;
      whole.push_back(choice);
      if (sim.broken()) return fail(*sim.broken(), std::move(whole), out);
      const auto hash = sim.hash(bounds.exact);
      out.children.push_back({choice, hash});
      if (!bounds.fair || seen.contains(hash)) continue;
      if (auto broken = go_on(sim, whole)) return fail(std::move(*broken), std::move(whole), out);
    }
  }

  // The fair way on, as far as it has not been gone before.
  std::optional<Broken> go_on(Sim& sim, std::vector<Choice>& way) {
    while (true) {
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

}  // namespace

Found search(const Plan& plan, const Bounds& bounds) {
  Found found;
  std::vector<std::unique_ptr<Worker>> workers;
  for (unsigned i = 0; i < std::max(1U, bounds.threads); ++i)
    workers.push_back(std::make_unique<Worker>(plan, bounds));
  std::vector<Node> nodes{{}};
  Hashes seen;
  {
    const Sim start(workers.front()->setting);
    seen.insert(start.hash(bounds.exact));
  }
  std::vector<std::uint32_t> level{0};
  while (!level.empty() && !found.story && nodes.size() < bounds.states && found.depth < bounds.depth) {
    std::vector<Expanded> expanded(level.size());
    std::atomic<std::size_t> at = 0;
    const auto work = [&](Worker& worker) {
      path::steps = &worker.collector;
      for (std::size_t i = at++; i < level.size(); i = at++)
        worker.expand(way_to(nodes, level[i]), seen, expanded[i]);
      path::steps = nullptr;
    };
    std::vector<std::thread> threads;
    for (std::size_t i = 1; i < workers.size(); ++i) threads.emplace_back([&, i] { work(*workers[i]); });
    work(*workers.front());
    for (auto& thread : threads) thread.join();
    ++found.depth;
    std::vector<std::uint32_t> next;
    for (std::size_t i = 0; i < level.size(); ++i) {
      auto& one = expanded[i];
      found.edges += one.children.size();
      if (one.broken && (!found.story || one.way.size() < found.story->choices.size()))
        found.story = Story{plan.name, *one.broken, one.way};
      for (const auto& child : one.children) {
        if (!seen.insert(child.hash).second) continue;
        nodes.push_back({level[i], child.choice});
        next.push_back(static_cast<std::uint32_t>(nodes.size() - 1));
      }
    }
    level = std::move(next);
  }
  found.states = nodes.size();
  found.unexplored = level.size();
  for (const auto& worker : workers) {
    worker->collector.add_to(found.met);
    found.outcomes.insert(worker->outcomes.begin(), worker->outcomes.end());
  }
  return found;
}

std::optional<Broken> replay(const Plan& plan, const std::vector<Choice>& choices,
                             std::vector<std::string>& lines) {
  Setting setting(plan);
  Sim sim(setting);
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
  return table_of("Connection to an engine", path::kLinkTable) +
         table_of("Connection of a client", path::kDoorTable) + table_of("Attempt", path::kTryTable) +
         table_of("Answer", path::kReplyTable);
}

std::string write_story(const Story& story, const Plan& plan) {
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

Story read_story(const std::string& text, const std::string& name) {
  auto file = yaml::Section::text(text, name);
  Story story;
  story.world = file.string("world");
  story.broken.property = file.string("property", "");
  story.broken.detail = file.string("detail", "");
  for (const auto& line : file.strings("choices")) {
    unsigned kind = 0, a = 0, b = 0;
    if (std::sscanf(line.c_str(), "%u %u %u", &kind, &a, &b) != 3 ||
        kind > static_cast<unsigned>(Kind::reads))
      file.fail("choices", "expected three whole numbers, such as \"4 0 0\", not \"" + line + "\"");
    story.choices.push_back(
        {static_cast<Kind>(kind), static_cast<std::uint16_t>(a), static_cast<std::uint8_t>(b)});
  }
  file.close();
  return story;
}

}  // namespace heronwell::explore
