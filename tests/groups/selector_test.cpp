#include "groups/selector.hpp"

#include <gtest/gtest.h>

namespace heronwell::groups {
namespace {

using namespace std::chrono_literals;

constexpr const char* kRules = R"(selectors:
  - {class: report, tenant: [harbour, station], group: reports}
  - {field: {pattern: "plan.*"}, group: loads}
  - {subject: {pattern: "(?P<team>[a-z]+)/.*"}, group: "teams.${team}"}
  - {header: {X-Team: {pattern: ".+"}}, class: lookup, group: "claimed.${class}"}
  - {network: [10.0.0.0/8, "2001:db8::/33"], tag: batch, group: batch}
  - {operation: Kiosk, group: kiosks}
  - {statement: [insert, update], group: writes}
  - {tenant: {pattern: ".*"}, class: open, group: "open.${tenant}"}
default: other
)";

Selectors selectors(const std::string& text = kRules) {
  auto section = yaml::Section::text(text, "g.yaml");
  auto all = Selectors::read(section);
  section.close();
  return all;
}

struct Case {
  const char* name;
  RequestAttributes request;
  const char* expected_group;
  unsigned expected_rule;
};
RequestAttributes request_of(std::string cls, std::string tenant = "") {
  RequestAttributes r;
  r.cls = std::move(cls);
  r.tenant = std::move(tenant);
  return r;
}
std::vector<Case> cases() {
  std::vector<Case> all{{"set", request_of("report", "station"), "reports", 1},
                        {"tenant_not_in_the_set", request_of("report", "museum"), "other", 0},
                        {"no_known_attributes", request_of(""), "other", 0},
                        {"template_of_an_attribute", request_of("open", "harbour-2"), "open.harbour-2", 8},
                        {"path_as_a_name", request_of("open", "harbour.reports"), "", 8},
                        {"empty_name", request_of("open", ""), "other", 0}};
  all.push_back({"second_root_field", request_of("lookup"), "loads", 2});
  all.back().request.root_fields = {"shop", "planLoad"};
  all.push_back({"subject", request_of("lookup"), "teams.maps", 3});
  all.back().request.subject = "maps/kiosk-7";
  all.push_back({"header_does_not_set_the_subject", request_of("lookup"), "claimed.lookup", 4});
  all.back().request.header = [](std::string_view name) -> std::optional<std::string> {
    if (name == "x-team" || name == "subject") return "maps/kiosk-7";
    return std::nullopt;
  };
  all.push_back({"authenticated_subject_precedes_header", all.back().request, "teams.rail", 3});
  all.back().request.subject = "rail/desk";
  for (const auto& [address, group] : {std::pair{"10.255.0.1", "batch"},
                                       {"11.0.0.1", "other"},
                                       {"::ffff:10.0.0.1", "batch"},
                                       {"2001:db8:7fff::1", "batch"},
                                       {"2001:db8:8000::1", "other"},
                                       {"", "other"},
                                       {"x", "other"}}) {
    all.push_back({address, request_of("lookup"), group, std::string(group) == "batch" ? 5U : 0U});
    all.back().request.address = address;
    all.back().request.tags = {"nightly", "batch"};
  }
  all.push_back({"operation", request_of("lookup"), "kiosks", 6});
  all.back().request.operation = "Kiosk";
  all.push_back({"statement", request_of("lookup"), "writes", 7});
  all.back().request.statement = "update";
  return all;
}

TEST(SelectorsTest, ChoosesTheGroupOfTheFirstMatchingRule) {
  const auto all = selectors();
  for (const auto& one : cases()) {
    const auto chosen = all.choose(one.request);
    EXPECT_EQ(chosen.group, one.expected_group) << one.name << ": " << chosen.reason;
    EXPECT_EQ(chosen.rule, one.expected_rule) << one.name;
    EXPECT_EQ(chosen.group.empty(), !chosen.reason.empty()) << one.name;
    // The explanation must agree with the choice.
    const auto explanation = all.explain(one.request);
    EXPECT_NE(explanation.find(chosen.group.empty() ? "refused\n" : "group " + chosen.group + "\n"),
              std::string::npos)
        << explanation;
  }
}

TEST(SelectorsTest, RejectsAnUnmatchedRequestWithAReasonIfThereIsNoDefault) {
  const auto all = selectors("selectors: [{class: a, group: a}]\n");
  const auto chosen = all.choose(request_of("b"));
  EXPECT_EQ(chosen.group, "");
  EXPECT_EQ(chosen.reason, "no selector matches, and there is no default group");
  EXPECT_EQ(
      all.explain(request_of("b")),
      "selector 1: class is \"b\", not a\nno selector matches, and there is no default group\nrefused\n");
}

struct InvalidText {
  const char* text;
  const char* expected_error;
};
class BadRules : public testing::TestWithParam<InvalidText> {};
TEST_P(BadRules, AreRejectedWithTheirPosition) {
  std::string error_text;
  try {
    (void)selectors(GetParam().text);
  } catch (const yaml::Error& error) {
    error_text = error.what();
  }
  EXPECT_EQ(error_text, GetParam().expected_error);
}
INSTANTIATE_TEST_SUITE_P(
    , BadRules,
    testing::Values(
        InvalidText{"selectors: [{class: a}]", "g.yaml:1:13: selectors[0].group: missing; text is needed"},
        InvalidText{"selectors: [{klass: a, group: g}]",
                    "g.yaml:1:21: selectors[0].klass: unknown key; the nearest known one is \"class\""},
        InvalidText{"selectors: [{class: {pattern: \"(\"}, group: g}]",
                    "g.yaml:1:31: selectors[0].class.pattern: expected an RE2 pattern: missing ): ("},
        InvalidText{"selectors: [{class: [], group: g}]",
                    "g.yaml:1:21: selectors[0].class: expected at least one string"},
        InvalidText{
            "selectors: [{network: 10.0.0.1/8, group: g}]",
            "g.yaml:1:23: selectors[0].network: expected networks such as 10.0.0.0/8, not \"10.0.0.1/8\""},
        InvalidText{
            "selectors: [{network: [10.0.0.0/33], group: g}]",
            "g.yaml:1:23: selectors[0].network: expected networks such as 10.0.0.0/8, not \"10.0.0.0/33\""},
        InvalidText{"selectors: [{class: a, group: \"t.${tenant}\"}]",
                    "g.yaml:1:31: selectors[0].group: \"${tenant}\" is neither an attribute in a "
                    "condition of this rule nor a capture of its patterns"},
        InvalidText{"selectors: [{class: a, group: \"t.${class\"}]",
                    "g.yaml:1:31: selectors[0].group: \"${\" without a closing \"}\""},
        InvalidText{
            "selectors: [{class: a, group: \"t..b\"}]",
            "g.yaml:1:31: selectors[0].group: expected names of letters, digits, _ and -, separated by dots"},
        InvalidText{"default: \".\"",
                    "g.yaml:1:10: default: expected names of letters, digits, _ and -, separated by dots"}));

TEST(SelectorsTest, MatchesPatternsInLinearTime) {
  const auto all = selectors("selectors: [{tenant: {pattern: \"(a*)*(a*)*b\"}, group: g}]\ndefault: other\n");
  const std::string text(100'000, 'a');
  const auto start = std::chrono::steady_clock::now();
  EXPECT_EQ(all.choose(request_of("", text)).group, "other");
  EXPECT_LT(std::chrono::steady_clock::now() - start, 2s);
}

TEST(MadeTest, LimitsTheNumberOfGroupsAndRemovesIdleOnes) {
  OnDemandGroups groups(2, 10s);
  EXPECT_TRUE(groups.enter(0s, "a"));
  EXPECT_TRUE(groups.enter(0s, "b"));
  EXPECT_FALSE(groups.enter(0s, "c")) << "the limit of two groups is reached";
  EXPECT_TRUE(groups.enter(0s, "a"));
  groups.leave(1s, "a");
  EXPECT_TRUE(groups.sweep(100s).empty()) << "one request is still in the group";
  groups.leave(100s, "a");
  groups.leave(101s, "b");
  EXPECT_FALSE(groups.enter(109s, "c"));
  EXPECT_TRUE(groups.enter(110s, "c")) << "a was idle for long enough, so its place is free";
  EXPECT_TRUE(groups.enter(110s, "b")) << "b exists and is in use again";
  EXPECT_TRUE(groups.sweep(200s).empty());
  EXPECT_EQ(groups.size(), 2U);
  groups.leave(200s, "b");
  groups.leave(200s, "b");
  groups.leave(200s, "nothing");
  EXPECT_EQ(groups.sweep(210s), std::vector<std::string>{"b"});
}

// An authenticated client must not enter the group of another team by a header or tag.
TEST(SelectorsTest, IgnoresHeaderAndTagRulesForAnAuthenticatedSubject) {
  auto section = yaml::Section::text(
      "selectors:\n  - {header: {x-team: red}, group: red}\n  - {tag: red, group: red}\n"
      "  - {subject: ann, header: {x-team: blue}, group: blue}\n  - {subject: ann, group: ann}\n",
      "test");
  const auto selectors = Selectors::read(section);
  RequestAttributes request;
  request.tags = {"red"};
  std::string team = "red";
  request.header = [&](std::string_view) { return std::optional(team); };
  EXPECT_EQ(selectors.choose(request).group, "red");
  request.subject = "ann";
  EXPECT_EQ(selectors.choose(request).group, "ann");
  EXPECT_NE(selectors.explain(request).find("does not count"), std::string::npos);
  team = "blue";
  EXPECT_EQ(selectors.choose(request).group, "blue");
}

TEST(SelectorsTest, ReadsTheFirstWordOfAStatement) {
  EXPECT_EQ(first_word("  /* insert */ -- update\n (SELECT 1)"), "select");
  EXPECT_EQ(first_word("with x as (select 1) insert"), "with");
  EXPECT_EQ(first_word("/* never ends"), "");
  EXPECT_EQ(first_word("1 = 1"), "");
}

// Rules may name only leaves of the tree; errors give the position of the rule.
TEST(SelectorsTest, RejectsGroupsThatAreMissingInTheTreeOrHaveChildren) {
  auto groups = yaml::Section::text("groups: {a: {groups: {x: {}}}, t: {}}", "test");
  const auto tree = Tree::read(groups);
  for (const auto* wrong : {"a", "b", "a.y", "t.${class}.z"}) {
    auto section =
        yaml::Section::text(std::string("selectors:\n  - {class: c, group: \"") + wrong + "\"}\n", "test");
    try {
      (void)Selectors::read(section, &tree);
      ADD_FAILURE() << wrong;
    } catch (const yaml::Error& error) {
      EXPECT_NE(std::string(error.what()).find("test:2:"), std::string::npos) << error.what();
    }
  }
  auto section =
      yaml::Section::text("selectors:\n  - {class: c, group: \"t.${class}\"}\ndefault: a.x\n", "test");
  EXPECT_EQ(Selectors::read(section, &tree).rules().size(), 1u);
}

}  // namespace
}  // namespace heronwell::groups
