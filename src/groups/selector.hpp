// Selectors: which group of the tree a request belongs to. Rules are tried in order, the first that matches
// names the group; nothing falls to the root in silence. No I/O and no clock.
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

// What is known of a request. Empty texts: not known.
struct RequestAttributes {
  std::string cls, tenant;
  std::string operation;                 // GraphQL operation's name
  std::vector<std::string> root_fields;  // of its document
  std::string statement;                 // first word of the SQL, in lower case: select, insert ...
  std::string subject;                   // as authenticated; never what a header claims
  std::string address;                   // of the client, IPv4 or IPv6
  std::vector<std::string> tags;         // of the client
  std::function<std::optional<std::string>(std::string_view)> header;  // by lower-case name
};

// The first word of a statement, in lower case, comments passed over; "" if it begins with none.
std::string first_word(std::string_view statement);

// A text against one text, a set of them, or a pattern (RE2: linear in the text) that matches all of it.
class TextMatcher {
 public:
  // Throws yaml::Error with the place. Scalar: exactly it; list: one of them; {pattern: "..."}: RE2.
  static TextMatcher read(yaml::Section& section, const std::string& key);

  // `captured`: texts of a pattern's named groups, added.
  [[nodiscard]] bool matches(std::string_view text, std::map<std::string, std::string>& captured) const;
  [[nodiscard]] std::string description() const;
  [[nodiscard]] std::vector<std::string> capture_names() const;  // of a pattern's named groups

 private:
  struct Pattern;
  std::set<std::string, std::less<>> any_;
  std::shared_ptr<const Pattern> pattern_;  // null: any_
};

struct Network {
  std::array<std::uint8_t, 16> bytes{};
  unsigned bits = 0;  // that count
  bool v6 = false;
  static std::optional<Network> read(std::string_view text);  // "10.0.0.0/8", "2001:db8::/32", or one address
  [[nodiscard]] bool contains(std::string_view address) const;
};

// What a client only claims (header fields, tags) counts where nobody has authenticated it, or where the rule
// also names the subject: no client takes another's place by a claim.
struct Rule {
  unsigned number = 0;  // from 1, as written
  std::vector<std::pair<std::string, TextMatcher>>
      attributes;  // by attribute: class, tenant, operation, field ...
  std::vector<std::pair<std::string, TextMatcher>> headers;
  std::vector<Network> networks;
  std::string group;           // path, with ${name} for attributes and captures
  bool creates_group = false;  // it has some: the group is made on demand
};

struct GroupSelection {
  std::string group;           // path; empty: none, see `reason`
  unsigned rule = 0;           // 0: the default
  bool from_template = false;  // the path was filled in from a template
  std::string reason;
};

class Selectors {
 public:
  // Reads "selectors" and "default" of a section. Throws yaml::Error: unknown attributes, bad patterns and
  // networks, ${names} that the rule does not give; with a tree also groups that it does not have, or that
  // have children, and templates without a parent in it.
  static Selectors read(yaml::Section& section, const Tree* tree = nullptr);

  [[nodiscard]] GroupSelection choose(const RequestAttributes& request) const;
  // For people: each rule up to the one that matched, and what did not fit.
  [[nodiscard]] std::string explain(const RequestAttributes& request) const;
  [[nodiscard]] const std::vector<Rule>& rules() const { return rules_; }
  // Names of the header fields that rules look at, in lower case.
  [[nodiscard]] std::vector<std::string> headers() const;

 private:
  [[nodiscard]] std::string mismatch(const Rule& rule, const RequestAttributes& request,
                                     std::map<std::string, std::string>& captured) const;
  [[nodiscard]] GroupSelection fill_in(const Rule& rule,
                                       const std::map<std::string, std::string>& captured) const;

  std::vector<Rule> rules_;
  std::string default_;
};

// Groups that templates make on demand: at most so many, gone once idle for so long.
class OnDemandGroups {
 public:
  OnDemandGroups(std::size_t most, Time idle) : most_(most), idle_(idle) {}

  // A request enters the group; false: as many groups as may be made exist, and the request must be
  // rejected.
  bool enter(Time now, const std::string& group);
  void leave(Time now, const std::string& group);
  // Removes and returns those idle for long enough, the longest idle first.
  std::vector<std::string> sweep(Time now);
  [[nodiscard]] std::size_t size() const { return groups_.size(); }

 private:
  struct Use {
    std::size_t requests = 0;
    Time since{};  // idle since
  };
  std::size_t most_;
  Time idle_;
  std::map<std::string, Use> groups_;
  std::set<std::pair<Time, std::string>> idle_since_;
};

}  // namespace heronwell::groups
