// Selectors choose the group of the tree to which a request belongs. The rules are tried in order; the first
// one that matches names the group. A request that matches no rule gets the default group or is rejected,
// never assigned to the root. No I/O, no clock.
//
//   selectors:
//     - {class: report, tenant: [harbour, station], group: reports}
//     - {header: {x-team: {pattern: "(?P<team>[a-z]+)-.*"}}, group: "teams.${team}"}
//     - {network: [10.0.0.0/8], tag: batch, group: batch}
//   default: other
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/time.hpp"
#include "base/yaml.hpp"
#include "groups/tree.hpp"

namespace heronwell::groups {

// The attributes of a request that rules can test. An empty string means that the attribute is unknown.
struct RequestAttributes {
  std::string cls, tenant;
  std::string operation;                 // name of the GraphQL operation
  std::vector<std::string> root_fields;  // root fields of the GraphQL document
  std::string statement;                 // first word of the SQL, in lower case: select, insert ...
  std::string subject;                   // the authenticated subject, never one claimed by a header
  std::string address;                   // IPv4 or IPv6 address of the client
  std::vector<std::string> tags;         // tags sent by the client
  // Looks up a header field by its lower-case name.
  std::function<std::optional<std::string>(std::string_view)> header;
};

// Returns the first word of a SQL statement in lower case, skipping comments; "" if it does not begin with a
// letter.
std::string first_word(std::string_view statement);

// TextMatcher matches a text against one string, a set of strings, or an RE2 pattern that must match the
// whole text. RE2 takes time linear in the length of the text.
class TextMatcher {
 public:
  // Reads a condition: a scalar must be equal, of a list one element must be equal, {pattern: "..."} must
  // match. Throws yaml::Error with the position.
  static TextMatcher read(yaml::Section& section, const std::string& key);

  // Whether the text matches. Adds the text of each named capture of the pattern to `captured`.
  [[nodiscard]] bool matches(std::string_view text, std::map<std::string, std::string>& captured) const;
  [[nodiscard]] std::string description() const;
  [[nodiscard]] std::vector<std::string> capture_names() const;  // names of the captures of the pattern

 private:
  struct Pattern;
  std::set<std::string, std::less<>> any_;
  std::shared_ptr<const Pattern> pattern_;  // null: any_ applies
};

struct Network {
  std::array<std::uint8_t, 16> bytes{};
  unsigned bits = 0;  // length of the prefix
  bool v6 = false;
  // Reads "10.0.0.0/8", "2001:db8::/32" or a single address; nullopt if the text is invalid.
  static std::optional<Network> read(std::string_view text);
  [[nodiscard]] bool contains(std::string_view address) const;
};

// A rule assigns the requests that meet all of its conditions to a group. Conditions on header fields and
// tags, which a client can set freely, apply only to clients without an authenticated subject, or in rules
// that also test the subject. A client therefore cannot enter another client's group by a false claim.
struct Rule {
  unsigned number = 0;  // position in the configuration, from 1
  // Conditions by attribute name: class, tenant, operation, field ...
  std::vector<std::pair<std::string, TextMatcher>> attributes;
  std::vector<std::pair<std::string, TextMatcher>> headers;
  std::vector<Network> networks;
  std::string group;           // path; may contain ${name} for attributes and captures
  bool creates_group = false;  // the path contains ${name}: the group is created on demand
};

// The result of Selectors::choose.
struct GroupSelection {
  std::string group;           // path; empty: no group, see `reason`
  unsigned rule = 0;           // number of the rule; 0: the default group
  bool from_template = false;  // the path was filled in from a template
  std::string reason;
};

class Selectors {
 public:
  // Reads the keys "selectors" and "default" of a section. Throws yaml::Error for unknown attributes, invalid
  // patterns and networks, and a ${name} that the rule does not define. With a tree, it also throws for a
  // group that is missing in the tree or has children, and for a template whose parent is missing.
  static Selectors read(yaml::Section& section, const Tree* tree = nullptr);

  [[nodiscard]] GroupSelection choose(const RequestAttributes& request) const;
  // Describes for operators each rule up to the one that matched, with the condition that was not met.
  [[nodiscard]] std::string explain(const RequestAttributes& request) const;
  [[nodiscard]] const std::vector<Rule>& rules() const { return rules_; }
  // Names of the header fields that rules test, in lower case.
  [[nodiscard]] std::vector<std::string> headers() const;

 private:
  [[nodiscard]] std::string mismatch(const Rule& rule, const RequestAttributes& request,
                                     std::map<std::string, std::string>& captured) const;
  [[nodiscard]] GroupSelection fill_in(const Rule& rule,
                                       const std::map<std::string, std::string>& captured) const;

  std::vector<Rule> rules_;
  std::string default_;
};

// OnDemandGroups tracks groups created from templates. It limits their number and removes idle ones.
class OnDemandGroups {
 public:
  OnDemandGroups(std::size_t max_groups, Time idle) : max_groups_(max_groups), idle_(idle) {}

  // Counts a request that enters the group. Returns false if the group is new and the limit is reached; the
  // request must then be rejected.
  bool enter(Time now, const std::string& group);
  void leave(Time now, const std::string& group);
  // Removes and returns the groups that were idle for long enough, the longest idle first.
  std::vector<std::string> sweep(Time now);
  [[nodiscard]] std::size_t size() const { return groups_.size(); }

 private:
  struct Use {
    std::size_t requests = 0;
    Time since{};  // start of the idle time
  };
  std::size_t max_groups_;
  Time idle_;
  std::map<std::string, Use> groups_;
  std::set<std::pair<Time, std::string>> idle_since_;
};

}  // namespace heronwell::groups
