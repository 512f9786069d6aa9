// Breadth-first search of a world: every order of its events, each state once, shortest stories first. Real
// code has no copies to go back to, so a state is reached again by playing its choices from the start.
//
// Partial-order reduction by sleep sets (Godefroid, 1996): where two steps have nothing in common, the second
// order is not tried again. Every state is still visited, by fewer steps; docs/explore.md has the argument.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "explore/model.hpp"

namespace heronwell::explore {

struct Bounds {
  std::size_t states = 200'000;  // at most, about: a level is finished
  std::size_t depth = 200;       // choices from the start
  unsigned threads = 1;
  bool exact = false;              // states by their whole history: nothing is merged
  bool fair = true;                // from each new state, the fair way on must end well
  bool reduce = true;              // by sleep sets, unless exact
  std::function<bool()> enough{};  // asked after each level: time or memory is used up
};

struct Trace {
  std::string world;
  Broken broken;
  std::vector<Choice> choices;
};

using Pair = std::tuple<std::string, std::string, std::string>;  // machine, state, event
struct Met {
  std::uint64_t times = 0;
  std::string to;  // empty: no line of the table
};

struct Found {
  std::size_t states = 0, edges = 0, depth = 0, unexplored = 0;  // unexplored: states left at the bound
  std::size_t asleep = 0;                                        // steps that the reduction left out
  std::map<Pair, Met> met;
  std::set<std::string> outcomes;  // of the fair ways on
  std::optional<Trace> story;      // with the fewest choices before the fair way on
};

// States, edges, ends and whether something is broken are the same for the same plan and bounds, whatever the
// number of threads; which of several stories is told, and how often a pair was met, may differ.
Found search(const ModelPlan& plan, const Bounds& bounds);

// The ground of the reduction, tried out: in every state of a search, both orders of each two steps that have
// nothing in common. Empty: they all end in one state; else what the first two are that do not.
struct Commuted {
  std::size_t pairs = 0;
  std::string wrong{};
};
Commuted commute(const ModelPlan& plan, const Bounds& bounds);

// Plays a story again, one line a choice; what broke, if it still does.
std::optional<Broken> replay(const ModelPlan& plan, const std::vector<Choice>& choices,
                             std::vector<std::string>& lines);

// A story as a file, YAML: the world, the property, and the choices with their texts as comments.
std::string write_story(const Trace& story, const ModelPlan& plan);
Trace read_story(const std::string& text, const std::string& name);  // throws yaml::Error

// The tables of path/state_tables.hpp, as Markdown.
std::string tables();

const std::vector<ModelPlan>& worlds();
const ModelPlan* world_named(std::string_view name);

}  // namespace heronwell::explore
