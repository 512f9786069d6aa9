// Guards against a renamed member of Settings that changes the external name of a setting, which would make
// the router ignore or reject settings stored at sites. The keys in the platform's JSON and in heronwell's
// YAML are part of the interface. Each text below contains every existing key with a value other than its
// default, and the tests compare every member.
#include <gtest/gtest.h>

#include "base/yaml.hpp"
#include "router/settings_reader.hpp"
#include "site/settings.hpp"

namespace heronwell {
namespace {

using namespace std::chrono_literals;

const char* const kStoredJson = R"({
  "balancers": 7, "me": 3, "az": 1, "step": 6000000, "zones": ["east", "west"], "kinds": ["std", "big"],
  "over-share-worth": 0.25, "prices": {"cross-zone": 0.125}, "membership-mode": "on_request",
  "classes": [
    {"name": "lookup", "aim": 800000000, "aim-stretch": 1.5, "give-up": 4000000000, "credit": 2.5, "late-share": 0.5,
     "semantics": "safe", "group": "zone", "window": 9000000000, "in-order": true,
     "zones-allowed": [1], "bound-to": [0, 1]},
    {"name": "load", "aim": 1, "give-up": 2, "semantics": "keyed", "group": "cell"},
    {"name": "admin", "aim": 1, "give-up": 2, "semantics": "unsafe", "group": "all"}],
  "tenants": [{"name": "acme", "portion": 0.75, "quota-rps": 12}],
  "ceilings": {"max-attempts": 4, "most-held": 900, "cancel": true, "probing": true, "may-tell": true,
               "second-copies": true, "retry-after": true, "max-retry-after": 700000000},
  "safety": {"drain-grace": 500000000, "grace-to-answer": 30000000, "cold-from": 0.3, "ramp-time": 20000000000,
             "tip-multiple": 2, "fall": 3000000000, "turn-gap": 40000000, "ask-within": 50000000,
             "resend-span": 10000000000, "free-resends": 5, "further-ratio": 0.2},
  "family-info": {"width-by-class": [2, 3, 4], "loads": [false, true, false], "class-waits": [true, false, false],
                  "cpu-of-kind": [8, 16], "ram-of-kind-mb": [4096, 8192], "grants": true, "takes-priority": true,
                  "tells-cost": true, "max-grant-share": 0.5, "progress-pace": 250000000, "out-of-memory": "cut"},
  "report": {"how": "piggyback",
             "fields": ["busy_reqs", "pending", "cpu_share", "svc_ms", "served_ps", "failed_ps", "x0", "x1", "new"]}
})";

const char* const kStoredYaml = R"(
gateway: {of: 7, number: 3, zone: west}
zones: [east, west]
kinds: {std: {cores: 8, memory: 4GiB}, big: {cores: 16}}
classes:
  lookup: {aim: 800ms, aim_stretch: 1.5, give_up: 4s, worth: 2.5, late_share: 0.5, effect: safe, repeat_group: zone,
           repeat_window: 9s, in_order: true, zones: [west], kinds: [std, big], threads: 2, waits_for_group: true}
  load: {aim: 1s, give_up: 2s, effect: keyed, repeat_group: cell, holds_group: true}
  admin: {aim: 1s, give_up: 2s, effect: unsafe, repeat_group: all}
tenants: {acme: {share: 0.75, quota_per_s: 12}}
rules: {drain_grace: 600ms, answer_grace: 30ms, cold_from: 0.3, ramp_time: 20s, tip_multiple: 2, tip_window: 3s,
        order_rest: 40ms, max_attempts: 4, retry_budget: {span: 11s, free: 5, ratio: 0.3}}
allow: {call_off: false, probe: false, tell: true, second_copies: true, retry_after: false, max_retry_after: 700ms,
        grants: true, priorities: true, max_grant_share: 0.5, max_open: 900}
loads: {fields: [inflight, queue, util, latency_ms, served, failed, memory_share, disk_share], in_answers: true,
        tells_cost: true, progress_pace: 250ms, memory_shortage: shrink}
cross_zone_price: 0.125
over_share_worth: 0.25
)";

// Checks the members that have the same value in both texts.
void expect_common(const Settings& s) {
  EXPECT_EQ(s.router_count, 7U);
  EXPECT_EQ(s.router_index, 3U);
  EXPECT_EQ(s.zone, 1);
  EXPECT_EQ(s.zone_count, 2U);
  EXPECT_EQ(s.over_quota_weight, 0.25);
  EXPECT_EQ(s.cross_zone_cost, 0.125);
  ASSERT_EQ(s.classes.size(), 3U);
  const auto& lookup = s.classes[0];
  EXPECT_EQ(lookup.name, "lookup");
  EXPECT_EQ(lookup.latency_objective, Time(800ms));
  EXPECT_EQ(lookup.latency_objective_per_work, 1.5);
  EXPECT_EQ(lookup.timeout, Time(4s));
  EXPECT_EQ(lookup.priority_weight, 2.5);
  EXPECT_EQ(lookup.late_weight_ratio, 0.5);
  EXPECT_EQ(lookup.idempotency, Idempotency::idempotent);
  EXPECT_EQ(lookup.deduplication_scope, DeduplicationScope::zone);
  EXPECT_EQ(lookup.deduplication_window, Time(9s));
  EXPECT_TRUE(lookup.ordered_by_key);
  EXPECT_EQ(lookup.allowed_zones, (std::vector<std::uint16_t>{1}));
  EXPECT_EQ(lookup.allowed_machine_types, (std::vector<std::uint16_t>{0, 1}));
  EXPECT_EQ(lookup.threads, 2U);
  EXPECT_FALSE(lookup.holds_data_group);
  EXPECT_TRUE(lookup.waits_for_data_group);
  const auto& load = s.classes[1];
  EXPECT_EQ(load.idempotency, Idempotency::idempotency_key);
  EXPECT_EQ(load.deduplication_scope, DeduplicationScope::cell);
  EXPECT_TRUE(load.holds_data_group);
  EXPECT_FALSE(load.waits_for_data_group);
  EXPECT_FALSE(load.ordered_by_key);
  EXPECT_FALSE(load.allowed_zones);
  EXPECT_FALSE(load.allowed_machine_types);
  EXPECT_EQ(s.classes[2].idempotency, Idempotency::not_idempotent);
  EXPECT_EQ(s.classes[2].deduplication_scope, DeduplicationScope::all);
  ASSERT_EQ(s.machine_types.size(), 2U);
  EXPECT_EQ(s.machine_types[0].name, "std");
  EXPECT_EQ(s.machine_types[0].cores, 8);
  EXPECT_EQ(s.machine_types[0].memory_mb, 4096);
  EXPECT_EQ(s.machine_types[1].name, "big");
  EXPECT_EQ(s.machine_types[1].cores, 16);
  ASSERT_EQ(s.tenants.size(), 1U);
  EXPECT_EQ(s.tenants[0].name, "acme");
  EXPECT_EQ(s.tenants[0].quota_ratio, 0.75);
  EXPECT_EQ(s.tenants[0].quota_per_second, 12);
  EXPECT_EQ(s.max_attempts, 4U);
  EXPECT_EQ(s.max_open_requests, 900U);
  EXPECT_TRUE(s.gossip_enabled);
  EXPECT_TRUE(s.hedging_enabled);
  EXPECT_EQ(s.max_retry_after, Time(700ms));
  EXPECT_TRUE(s.memory_grants_enabled);
  EXPECT_TRUE(s.engine_priorities_enabled);
  EXPECT_TRUE(s.cost_reported);
  EXPECT_EQ(s.max_memory_grant_ratio, 0.5);
  EXPECT_EQ(s.memory_shortage_policy, MemoryShortagePolicy::shrink);
  EXPECT_EQ(s.progress_interval, Time(250ms));
  EXPECT_TRUE(s.load_reports_in_responses);
  EXPECT_EQ(s.answer_grace_period, Time(30ms));
  EXPECT_EQ(s.slow_start_initial_capacity, 0.3);
  EXPECT_EQ(s.slow_start_duration, Time(20s));
  EXPECT_EQ(s.slow_start_overload_ratio, 2);
  EXPECT_EQ(s.slow_start_overload_window, Time(3s));
  EXPECT_EQ(s.ordering_quiet_period, Time(40ms));
}

using enum LoadField;

TEST(StoredSettings, OfThePlatformSetEveryMember) {
  const auto s = site::parse_settings(kStoredJson);
  expect_common(s);
  EXPECT_EQ(s.min_call_interval, Time(6ms));
  EXPECT_EQ(s.classes[0].threads + s.classes[1].threads + s.classes[2].threads, 2U + 3U + 4U);
  EXPECT_EQ(s.classes[1].name, "load");
  EXPECT_EQ(s.machine_types[1].memory_mb, 8192);
  EXPECT_TRUE(s.poll_endpoints);
  EXPECT_TRUE(s.cancellation_enabled);
  EXPECT_TRUE(s.health_checks_enabled);
  EXPECT_TRUE(s.retry_after_enabled);
  EXPECT_EQ(s.drain_grace_period, Time(500ms));
  EXPECT_EQ(s.endpoint_poll_deadline, Time(50ms));
  ASSERT_TRUE(s.retry_budget);
  EXPECT_EQ(s.retry_budget->window, Time(10s));
  EXPECT_EQ(s.retry_budget->min_retries, 5);
  EXPECT_EQ(s.retry_budget->retries_per_request, 0.2);
  EXPECT_EQ(s.load_fields, (std::vector{in_flight, queue, utilization, latency_ms, served, failed,
                                        memory_share, disk_share, unknown}));
}

TEST(StoredSettings, OfAConfigurationFileSetEveryMember) {
  auto file = yaml::Section::text(kStoredYaml, "stored.yaml");
  const auto s = router::read_settings(file);
  file.close();  // throws if a key was not read
  expect_common(s);
  EXPECT_FALSE(s.cancellation_enabled);
  EXPECT_FALSE(s.health_checks_enabled);
  EXPECT_FALSE(s.retry_after_enabled);
  EXPECT_EQ(s.drain_grace_period, Time(600ms));
  ASSERT_TRUE(s.retry_budget);
  EXPECT_EQ(s.retry_budget->window, Time(11s));
  EXPECT_EQ(s.retry_budget->min_retries, 5);
  EXPECT_EQ(s.retry_budget->retries_per_request, 0.3);
  EXPECT_EQ(s.load_fields, (std::vector{in_flight, queue, utilization, latency_ms, served, failed,
                                        memory_share, disk_share}));
}

TEST(StoredSettings, KeepTheNamesOfMemoryShortagePolicies) {
  const auto json_policy = [](const std::string& name) {
    return site::parse_settings(R"({"balancers": 1, "classes": [], "kinds": [], "ceilings": {}, "safety": {},
                                    "family-info": {"out-of-memory": ")" +
                                name + R"("}})")
        .memory_shortage_policy;
  };
  EXPECT_EQ(json_policy("line_up"), MemoryShortagePolicy::wait);
  EXPECT_EQ(json_policy("cut"), MemoryShortagePolicy::shrink);
  EXPECT_EQ(json_policy("overcommit"), MemoryShortagePolicy::overcommit);
  const auto yaml_policy = [](const std::string& name) {
    auto file = yaml::Section::text(
        "kinds: {s: {cores: 1}}\nclasses: {a: {aim: 1s, give_up: 2s}}\nloads: {memory_shortage: " + name +
            "}\n",
        "stored.yaml");
    return router::read_settings(file).memory_shortage_policy;
  };
  EXPECT_EQ(yaml_policy("wait"), MemoryShortagePolicy::wait);
  EXPECT_EQ(yaml_policy("shrink"), MemoryShortagePolicy::shrink);
  EXPECT_EQ(yaml_policy("overcommit"), MemoryShortagePolicy::overcommit);
}

}  // namespace
}  // namespace heronwell
