#include "graphql/collect.hpp"

#include <algorithm>
#include <set>

namespace heronwell::graphql {
namespace {

constexpr std::size_t kFew = 12;  // fields, up to which a scan is the faster look-up

}  // namespace

struct Collector::State {
  std::vector<Field> fields;
  std::unordered_map<std::string_view, std::size_t> at;  // once there are many
  std::set<std::string_view> spread;

  Field* find(std::string_view key) {
    if (fields.size() <= kFew) {
      const auto found = std::ranges::find(fields, key, &Field::key);
      return found == fields.end() ? nullptr : &*found;
    }
    if (at.empty())
      for (std::size_t i = 0; i < fields.size(); ++i) at.emplace(fields[i].key, i);
    const auto found = at.find(key);
    return found == at.end() ? nullptr : &fields[found->second];
  }
  void add(Field field) {
    if (!at.empty()) at.emplace(field.key, fields.size());
    fields.push_back(std::move(field));
  }
};

Collector::Collector(const Schema& schema, const Document& document, const Variables& variables)
    : schema_(schema), variables_(variables) {
  for (const auto& d : document.definitions)
    if (d.kind == DefinitionKind::fragment) fragments_.emplace(d.name, &d);
}

bool Collector::left_out(const Selection& selection) const {
  for (const auto& d : selection.directives) {
    if (d.name != "skip" && d.name != "include") continue;
    const auto& condition = d.arguments.front().value;
    const auto found = variables_.find(condition.text);
    const bool holds = condition.kind == ValueKind::variable
                           ? found != variables_.end() && found->second.text == "true"
                           : condition.text == "true";
    if (holds == (d.name == "skip")) return true;
  }
  return false;
}

void Collector::add(std::span<const Selection> set, const Type& type, State& state) const {
  for (const auto& s : set) {
    if (!s.directives.empty() && left_out(s)) continue;
    if (s.kind == SelectionKind::field) {
      auto* known = state.find(s.key());
      if (known == nullptr) {
        state.add({s.key(), schema_.field(type, s.name), &s, {}});
        known = state.find(s.key());
      }
      if (!s.selections.empty()) known->below.push_back(s.selections);
      continue;
    }
    auto on = s.on;
    auto selections = s.selections;
    if (s.kind == SelectionKind::spread) {
      if (!state.spread.insert(s.name).second) continue;
      const auto& definition = fragment(s.name);
      on = definition.on;
      selections = definition.selections;
    }
    if (!on.empty() && on != type.name && !schema_.type(on)->possible.contains(type.name)) continue;
    add(selections, type, state);
  }
}

std::vector<Field> Collector::collect(const Sets& sets, const Type& type) const {
  State state;
  for (const auto& set : sets) add(set, type, state);
  return std::move(state.fields);
}

}  // namespace heronwell::graphql
