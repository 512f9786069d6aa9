#include "fleet/endpoint_registry.hpp"

#include <gtest/gtest.h>

#include <map>
#include <stdexcept>
#include <string>

#include "base/yaml.hpp"

namespace heronwell::fleet {
namespace {

using namespace std::chrono_literals;

EndpointEntry ready_engine(const std::string& name) {
  EndpointEntry entry;
  entry.name = name;
  entry.host = "127.0.0.1";
  entry.port = 5432;
  entry.zone = "a";
  entry.machine_type = "small";
  return entry;
}

TEST(Fleet, KeepsIdsAndTimesAcrossLists) {
  EndpointRegistry endpoints({"a"}, {"small"}, 0s);
  auto change = endpoints.apply({ready_engine("x"), ready_engine("y")}, 1s);
  ASSERT_EQ(change.update.endpoints.size(), 2U);
  EXPECT_TRUE(change.changed);
  const auto id = change.update.endpoints[0].engine;
  EXPECT_EQ(id, EndpointRegistry::id_of("x"));
  EXPECT_FALSE(endpoints.apply({ready_engine("x"), ready_engine("y")}, 2s).changed);
  auto drained = ready_engine("x");
  drained.state = EndpointState::draining;
  endpoints.apply({drained, ready_engine("y")}, 3s);
  EXPECT_EQ(endpoints.find(id)->not_ready_since, Time(3s));
  endpoints.apply({ready_engine("y")}, 4s);
  EXPECT_EQ(endpoints.find(id)->not_ready_since, Time(3s))
      << "expected the time at which the removed engine started to drain";
  EXPECT_EQ(endpoints.find(id)->entry.state, EndpointState::removed);
  endpoints.apply({ready_engine("x")}, 5s);
  EXPECT_FALSE(endpoints.find(id)->not_ready_since);
}

// Two names have the same hash, and another name is listed twice. If two engines shared an id, the load and
// the failures of one would be attributed to the other. The later entry is rejected and the rest of the list
// is used.
TEST(Fleet, RejectsEntriesWithADuplicateIdOrName) {
  // Searches for two names with the same id.
  std::map<EngineId, std::string> names_by_id;
  std::string a, b;
  for (int i = 0; a.empty(); ++i) {
    const auto name = "engine-" + std::to_string(i);
    const auto [found, inserted] = names_by_id.emplace(EndpointRegistry::id_of(name), name);
    if (!inserted) a = found->second, b = name;
  }
  EndpointRegistry endpoints({"a"}, {"small"}, 0s);
  const auto change =
      endpoints.apply({ready_engine(a), ready_engine(b), ready_engine("z"), ready_engine("z")}, 1s);
  EXPECT_EQ(change.update.endpoints.size(), 2U);
  ASSERT_EQ(change.rejected.size(), 2U);
  EXPECT_EQ(change.rejected[0].text(), b + ": has the same id as " + a);
  EXPECT_EQ(change.rejected[1].text(), "z: is listed twice");
  auto unknown_zone = ready_engine("w");
  unknown_zone.zone = "moon";
  EXPECT_EQ(endpoints.apply({unknown_zone}, 2s).rejected[0].text(), "w: zone \"moon\" is not configured");
}

TEST(Fleet, ConvertsStartTimesToTheRoutersClock) {
  EndpointRegistry endpoints({"a"}, {"small"}, 1000s);
  auto started = ready_engine("x");
  started.started_ms = 1'005'000;
  EXPECT_EQ(endpoints.apply({started}, 10s).update.endpoints[0].last_started, Time(5s));
  started.started_ms = 1;  // before the router's clock started
  EXPECT_EQ(endpoints.apply({started}, 10s).update.endpoints[0].last_started, Time(0));
}

TEST(Fleet, ReadsConsulResponses) {
  auto draining = ready_engine("x"), removed = ready_engine("y");
  draining.state = EndpointState::draining;
  draining.cell = 3;
  draining.started_ms = 77;
  removed.state = EndpointState::removed;
  EXPECT_EQ(read_consul(write_consul({draining, removed, ready_engine("z")}, "sql")),
            (std::vector<EndpointEntry>{draining, removed, ready_engine("z")}));
  const auto read = read_consul(
      R"([{"Node":{"Node":"n","Address":"10.0.0.1"},"Service":{"ID":"e","Address":"","Port":5432,"Meta":null},
          "Checks":[{"CheckID":"_node_maintenance","Status":"critical"},{"CheckID":"x","Status":"warning"}]}])");
  EXPECT_EQ(read[0].host, "10.0.0.1");
  EXPECT_EQ(read[0].state, EndpointState::draining);
  for (const auto* bad : {"{}", "[{}]", "[{\"Service\":{\"ID\":\"a\",\"Address\":\"b\",\"Port\":0}}]",
                          "[{\"Service\":{\"Port\":1}}]", "nonsense"})
    EXPECT_THROW(read_consul(bad), std::invalid_argument) << bad;
}

// A list server sends a Content-Length that is too small. Engines must not vanish from the list by it.
TEST(Fleet, NoPartOfAConsulResponseIsRead) {
  const auto whole = write_consul({ready_engine("x"), ready_engine("y")}, "sql");
  for (std::size_t length = 0; length < whole.size(); ++length)
    EXPECT_THROW(read_consul(whole.substr(0, length)), std::invalid_argument) << length;
}

TEST(Fleet, FileErrorsNamePositionAndField) {
  EXPECT_EQ(read_yaml("engines:\n  - {name: a, port: 5, state: draining}\n", "l.yaml")[0].state,
            EndpointState::draining);
  try {
    read_yaml("engines:\n  - {name: a, port: 5, sate: ready}\n", "l.yaml");
    FAIL();
  } catch (const yaml::Error& error) {
    EXPECT_STREQ(error.what(),
                 "l.yaml:2:30: engines[0].sate: unknown key; the nearest known one is \"state\"");
  }
}

}  // namespace
}  // namespace heronwell::fleet
