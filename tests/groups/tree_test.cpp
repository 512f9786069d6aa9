#include "groups/tree.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <numeric>
#include <pcg_random.hpp>
#include <random>

namespace heronwell::groups {
namespace {

using namespace std::chrono_literals;

Tree tree(const std::string& text) {
  auto section = yaml::Section::text(text, "g.yaml");
  auto tree = Tree::read(section);
  section.close();
  return tree;
}
// Returns "path=threads ..." for all groups that get threads.
std::string divided(const Tree& t, double threads, const std::map<std::string, double>& wanted) {
  std::vector<double> want(t.groups().size());
  for (const auto& [path, threads_wanted] : wanted) want[t.index(*t.find(path))] = threads_wanted;
  const auto given = divide(t, threads, want);
  std::string out;
  for (std::size_t i = 1; i < given.size(); ++i)
    if (given[i] > 0) out += fmt::format("{}{}={:.6g}", out.empty() ? "" : " ", t.groups()[i].path, given[i]);
  return out;
}

TEST(DivideTest, DividesByWeightAmongGroupsWithDemand) {
  const auto t = tree("groups: {a: {weight: 3}, b: {}, c: {}}");
  EXPECT_EQ(divided(t, 20, {{"a", 100}, {"b", 100}}), "a=15 b=5");
  EXPECT_EQ(divided(t, 20, {{"a", 100}, {"b", 100}, {"c", 1}}), "a=14.25 b=4.75 c=1");
  EXPECT_EQ(divided(t, 20, {{"b", 100}}), "b=20") << "expected idle shares to be lent";
  EXPECT_EQ(divided(t, 20, {{"a", 2}, {"b", 3}}), "a=2 b=3");
  EXPECT_EQ(divided(t, 20, {}), "");
}

TEST(DivideTest, ServesMinimaFirstAndLendsUnusedOnes) {
  const auto t = tree("groups: {a: {min_threads: 12}, b: {weight: 100}}");
  EXPECT_EQ(divided(t, 16, {{"a", 50}, {"b", 50}}), "a=12 b=4");
  EXPECT_EQ(divided(t, 16, {{"a", 3}, {"b", 50}}), "a=3 b=13");
  EXPECT_EQ(divided(t, 6, {{"a", 50}, {"b", 50}}), "a=6") << "expected the minima to take all threads";
}

TEST(DivideTest, RespectsCeilingsOnEveryLevel) {
  const auto t =
      tree("groups: {a: {max_threads: 10, groups: {x: {}, y: {max_threads: 2}}}, b: {max_threads: 4}}");
  EXPECT_EQ(divided(t, 100, {{"a.x", 50}, {"a.y", 50}, {"b", 50}}), "a=10 a.x=8 a.y=2 b=4");
}

TEST(DivideTest, DividesStrictInOrderAndFirstComeByDemand) {
  const auto strict = tree("policy: strict\ngroups: {a: {}, b: {min_threads: 2}, c: {}}");
  EXPECT_EQ(divided(strict, 10, {{"a", 7}, {"b", 7}, {"c", 7}}), "a=7 b=3");
  const auto first_come = tree("policy: first_come\ngroups: {a: {weight: 100}, b: {}}");
  EXPECT_EQ(divided(first_come, 10, {{"a", 10}, {"b", 30}}), "a=2.5 b=7.5");
}

struct InvalidText {
  const char* text;
  const char* expected_error;
};
class BadTrees : public testing::TestWithParam<InvalidText> {};
TEST_P(BadTrees, AreRejectedWithTheirPosition) {
  std::string error_text;
  try {
    (void)tree(GetParam().text);
  } catch (const yaml::Error& error) {
    error_text = error.what();
  }
  EXPECT_EQ(error_text, GetParam().expected_error);
}
INSTANTIATE_TEST_SUITE_P(
    , BadTrees,
    testing::Values(
        InvalidText{"groups: {a: {weigt: 1}}",
                    "g.yaml:1:21: groups.a.weigt: unknown key; the nearest known one is \"weight\""},
        InvalidText{"groups: {a.b: {}}",
                    "g.yaml:1:15: groups.a.b: expected a name of at most 64 letters, digits, _ and -"},
        InvalidText{"groups: {a: {weight: 0}}",
                    "g.yaml:1:22: groups.a.weight: expected a number from 0.001 to 1000000"},
        InvalidText{"groups: {a: {min_threads: 4, max_threads: 3}}",
                    "g.yaml:1:27: groups.a.min_threads: expected at most max_threads"},
        InvalidText{"groups: {a: {max_threads: 5, groups: {b: {min_threads: 3}, c: {min_threads: 3}}}}",
                    "g.yaml:1:77: groups.a.groups.c.min_threads: the minima of these groups sum to 6, more "
                    "than the max_threads 5 of their parent"}));

TEST(TreeTest, AddsGroupsOnlyBelowExistingParents) {
  auto t = tree("groups: {team: {}}");
  EXPECT_NE(t.add("team.maps"), nullptr);
  EXPECT_EQ(t.add("team.maps"), nullptr) << "the name is taken";
  EXPECT_EQ(t.add("none.maps"), nullptr) << "the parent does not exist";
  EXPECT_EQ(t.add("team."), nullptr);
  EXPECT_EQ(t.find("team.maps")->depth, 2U);
  std::string path = "team";
  for (unsigned i = 2; i <= Tree::kMaxDepth; ++i) EXPECT_NE(t.add(path += ".x"), nullptr) << i;
  EXPECT_EQ(t.add(path + ".x"), nullptr) << "the level limit is reached";
}

constexpr double kTolerance = 1e-6;

double real(pcg64& random, double from, double to) {
  return std::uniform_real_distribution<double>(from, to)(random);
}

// Four groups of three leaves each, with random weights, minima, ceilings and policies.
Tree random_tree(pcg64& random) {
  std::string text = "groups: {";
  for (int a = 0; a < 4; ++a) {
    const double ceiling = real(random, 4, 60);
    text +=
        fmt::format("g{}: {{weight: {:.3f}, min_threads: {:.3f}, max_threads: {:.3f}, policy: {}, groups: {{",
                    a, real(random, 0.1, 9), real(random, 0, 4), ceiling,
                    std::array{"fair", "strict", "first_come"}[random() % 3]);
    for (int b = 0; b < 3; ++b)
      text += fmt::format("l{}: {{weight: {:.3f}, min_threads: {:.3f}}},", b, real(random, 0.1, 9),
                          real(random, 0, ceiling / 3));
    text += "}},";
  }
  return tree(text + "}");
}

// Total threads that the groups can use: the demands, limited by the ceilings.
double usable_threads(const Tree& t, const std::vector<double>& want) {
  double sum = 0;
  for (const auto child : t.groups()[0].children) {
    double below = 0;
    for (const auto leaf : t.groups()[child].children) below += want[leaf];
    sum += std::min(below, t.groups()[child].max_threads);
  }
  return sum;
}

// Checks that no sibling above its minimum has more threads per weight than one with unmet demand.
void expect_fair(const Tree& t, const Group& group, const std::vector<double>& want,
                 const std::vector<double>& given) {
  for (const auto a : group.children)
    for (const auto b : group.children)
      if (given[a] + kTolerance < want[a] &&
          given[b] > std::min(t.groups()[b].min_threads, want[b]) + kTolerance) {
        ASSERT_GE(given[a] / t.groups()[a].weight + kTolerance, given[b] / t.groups()[b].weight);
      }
}

void expect_within_limits(const Tree& t, std::size_t number, const std::vector<double>& want,
                          const std::vector<double>& given) {
  const auto& group = t.groups()[number];
  ASSERT_GE(given[number], -kTolerance);
  ASSERT_LE(given[number], group.max_threads + kTolerance);
  if (group.children.empty()) {
    ASSERT_LE(given[number], want[number] + kTolerance);
    return;
  }
  double children = 0;
  for (const auto child : group.children) children += given[child];
  ASSERT_NEAR(children, given[number], kTolerance)
      << "expected the threads of the children to sum to those of the group";
  if (group.policy == Policy::fair) expect_fair(t, group, want, given);
}

// Checks limits, sums, fairness and work conservation for random trees and demands.
TEST(DivideProperties, HoldForRandomTrees) {
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    SCOPED_TRACE(fmt::format("seed {}", seed));
    pcg64 random(seed);
    const auto t = random_tree(random);
    std::vector<double> want(t.groups().size());
    for (std::size_t i = 1; i < want.size(); ++i)
      if (t.groups()[i].children.empty() && random() % 3 > 0) want[i] = real(random, 0, 40);
    const double threads = real(random, 0, 120);
    const auto given = divide(t, threads, want);
    double sum = 0;
    for (std::size_t i = 1; i < given.size(); ++i) {
      expect_within_limits(t, i, want, given);
      ASSERT_FALSE(testing::Test::HasFatalFailure());
      if (t.groups()[i].children.empty()) sum += given[i];
    }
    ASSERT_NEAR(sum, std::min(threads, usable_threads(t, want)), kTolerance)
        << "expected no idle threads while a group has demand";
  }
}

TEST(DivideTest, DividesFiveThousandLeavesOnTenLevelsWithinASecond) {
  Tree t;
  for (int a = 0; a < 500; ++a) {
    std::string path = fmt::format("g{}", a);
    ASSERT_NE(t.add(path), nullptr);
    for (int d = 0; d < 8; ++d) ASSERT_NE(t.add(path += ".d"), nullptr);
    for (int leaf = 0; leaf < 10; ++leaf) ASSERT_NE(t.add(fmt::format("{}.l{}", path, leaf)), nullptr);
  }
  std::vector<double> want(t.groups().size());
  for (std::size_t i = 1; i < want.size(); ++i) want[i] = t.groups()[i].children.empty() ? 1 : 0;
  const auto start = std::chrono::steady_clock::now();
  const auto given = divide(t, 2500, want);
  EXPECT_LT(std::chrono::steady_clock::now() - start, 1s);
  EXPECT_NEAR(given[t.index(*t.find("g7.d.d.d.d.d.d.d.d.l3"))], 0.5, 1e-9);
}

}  // namespace
}  // namespace heronwell::groups
