#include "config/config.hpp"

#include <gtest/gtest.h>

#include "daemon/gossip_datagram.hpp"

namespace heronwell::daemon {
using config::effective;
using config::read_config;
namespace {

using namespace std::chrono_literals;

const std::string kBase = R"(listen: {port: 8080}
list: {file: engines.yaml}
kinds: {small: {cores: 4}}
classes:
  lookup: {aim: 500ms, give_up: 5s}
)";

std::string error_of(const std::string& text) {
  try {
    read_config(yaml::Section::text(text, "f.yaml"));
  } catch (const yaml::Error& error) {
    return error.what();
  }
  return "";
}

TEST(Config, ReadsUnitsAndDefaults) {
  const auto config = read_config(yaml::Section::text(kBase, "f.yaml"));
  EXPECT_EQ(config.module.classes[0].timeout, Time(5s));
  EXPECT_EQ(config.listen.limits.body, 1U << 20);
  EXPECT_EQ(config.name, "gateway-0");
}

TEST(Config, ErrorsNamePositionFieldAndExpectedValue) {
  EXPECT_EQ(error_of(kBase + "lisen: {}\n"),
            "f.yaml:6:8: lisen: unknown key; the nearest known one is \"listen\"");
  EXPECT_EQ(error_of(kBase + "rules: {drain_grace: 500}\n"),
            "f.yaml:6:22: rules.drain_grace: expected a duration with its unit, such as 800ms, not \"500\"");
  EXPECT_EQ(
      error_of(kBase + "rules: {drain_grace: 64MiB}\n"),
      "f.yaml:6:22: rules.drain_grace: expected a duration with its unit, such as 800ms, not \"64MiB\"");
  EXPECT_EQ(error_of(kBase + "gateway: {number: 3, of: 2}\n"),
            "f.yaml:6:19: gateway.number: expected a number less than gateway.of");
  EXPECT_EQ(error_of(kBase + "rules: {max_attempts: many}\n"),
            "f.yaml:6:23: rules.max_attempts: expected a whole number, not \"many\"");
  EXPECT_EQ(error_of(kBase + "allow: {tell: true}\ngateway: {of: 2}\n"),
            "f.yaml:1:1: peers.port: missing; allow.tell requires it");
  EXPECT_EQ(error_of(kBase + "zones: [a, b]\ngateway: {zone: c}\n"),
            "f.yaml:7:17: gateway.zone: expected one of the configured zones");
  EXPECT_EQ(error_of(kBase + "loads: {fields: [cpu]}\n"),
            "f.yaml:6:17: loads.fields: expected names among inflight, queue, util, latency_ms, served, "
            "failed, memory_share, disk_share, not \"cpu\"");
  EXPECT_EQ(error_of("listen: [\n").substr(0, 8), "f.yaml:2");
  EXPECT_EQ(error_of("listen: {port: 1}\nlist: {file: a}\nkinds: {s: {cores: 1}}\nclasses:\n  a: {aim: 2s, "
                     "give_up: 1s}\n"),
            "f.yaml:5:25: classes.a.give_up: expected a duration of at least the aim");
}

TEST(Config, EffectiveSettingsRoundTrip) {
  const std::string text =
      kBase + R"(  load: {aim: 2s, give_up: 20s, effect: unsafe, zones: [b], kinds: [small], threads: 2}
zones: [a, b]
tenants: {blue: {share: 0.5, quota_per_s: 10}}
gateway: {of: 3, number: 1, zone: b, seed: 4}
rules: {retry_budget: {span: 5s}, tip_multiple: 3}
allow: {tell: true}
peers: {port: 99, key_file: k, members: [{number: 0, port: 98}]}
engines: {never_began: ["53300"]}
)";
  const auto once = effective(read_config(yaml::Section::text(text, "f.yaml")));
  EXPECT_EQ(effective(read_config(yaml::Section::text(once, "again"))), once);
  EXPECT_NE(once.find("zones: [\"b\"]"), std::string::npos);
}

TEST(Units, ParsesOnlyValuesWithAUnit) {
  EXPECT_EQ(yaml::parse_duration("1.5s"), Time(1500ms));
  for (const auto* text : {"", "5", "s", "5 s", "-5s", "5sec", "nans", "1e300h", "infs"})
    EXPECT_FALSE(yaml::parse_duration(text)) << text;
  EXPECT_EQ(yaml::parse_size("2KiB"), 2048U);
  EXPECT_FALSE(yaml::parse_size("2KB"));
  EXPECT_EQ(yaml::duration_text(90s), "90s");
  EXPECT_EQ(yaml::duration_text(2h), "2h");
}

// ---- gossip datagrams ---------------------------------------------------------------------------------
const std::string kKey = "0123456789abcdef0123456789abcdef";

// Datagrams may arrive out of order, twice or very late, and anyone on the network may replay them. Each
// message must be accepted at most once, and a message that is too old to be distinguished from a replay is
// rejected.
TEST(Peers, AcceptsEachMessageOnlyOnce) {
  GossipDatagramCodec a(kKey, 0, 10), b(kKey + "\n", 1, 10);
  const auto first = a.seal("hello"), second = a.seal("again"), third = a.seal("more");
  EXPECT_EQ(b.open(first).payload, "hello");
  EXPECT_EQ(b.open(first).fault, DatagramFault::replayed);
  EXPECT_EQ(b.open(third).payload, "more");
  EXPECT_EQ(b.open(second).payload, "again") << "expected to accept a new message that arrives out of order";
  EXPECT_EQ(b.open(second).fault, DatagramFault::replayed);
  EXPECT_EQ(a.open(first).fault, DatagramFault::own);
  for (int i = 0; i < 100; ++i) (void)a.seal("");
  EXPECT_EQ(b.open(a.seal("late")).fault, DatagramFault::none);
  EXPECT_EQ(b.open(third).fault, DatagramFault::replayed)
      << "expected to reject a message too old to be distinguished from a replay";
}

// After a router restarts, messages of its earlier incarnation may still arrive or be replayed; they describe
// outdated state and must be rejected. Modified messages and messages sealed with another key must be
// rejected as forged.
TEST(Peers, RejectsForgedMessagesAndThoseOfEarlierIncarnations) {
  GossipDatagramCodec before_restart(kKey, 0, 10), after_restart(kKey, 0, 11),
      other("another key, also of thirty-two by", 0, 12), b(kKey, 1, 1);
  const auto old = before_restart.seal("old");
  EXPECT_EQ(b.open(other.seal("x")).fault, DatagramFault::forged);
  auto flipped = after_restart.seal("hello");
  for (std::size_t i = 4; i < flipped.size(); ++i) {
    flipped[i] = static_cast<char>(flipped[i] ^ 1);
    EXPECT_EQ(b.open(flipped).fault, DatagramFault::forged) << i;
    flipped[i] = static_cast<char>(flipped[i] ^ 1);
  }
  EXPECT_EQ(b.open(flipped).fault, DatagramFault::none);
  EXPECT_EQ(b.open(old).fault, DatagramFault::replayed);
  EXPECT_EQ(b.open("hwp1").fault, DatagramFault::malformed);
  EXPECT_EQ(b.open(after_restart.seal(std::string(257, 'x'))).fault, DatagramFault::malformed);
  EXPECT_THROW(GossipDatagramCodec("short", 0, 0), std::invalid_argument);
}

}  // namespace
}  // namespace heronwell::daemon
