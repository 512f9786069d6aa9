// The named worlds: each small enough to be searched, and about one hard case.
#include "explore/search.hpp"

namespace heronwell::explore {
namespace {

using namespace std::chrono_literals;

// One request or two: attempts, connections, cancels, stalls.
void add_attempt_worlds(std::vector<ModelPlan>& plans) {
  plans.push_back({.name = "one",
                   .about = "one request, one engine: failures, a cut message, a client that leaves",
                   .clients = {{{.id = "q1", .cls = "lookup"}}},
                   .splits = 1,
                   .leaves = 1,
                   .failures = 1,
                   .passes = 4});
  plans.push_back({.name = "unsafe",
                   .about = "one unsafe request, two engines: what may have run is not sent again",
                   .engines = 2,
                   .clients = {{{.id = "w1", .cls = "load"}}},
                   .leaves = 1,
                   .failures = 2,
                   .passes = 4});
  plans.push_back({.name = "keyed",
                   .about = "one keyed request, two engines: repeated only within its window",
                   .engines = 2,
                   .clients = {{{.id = "b1", .cls = "booking"}}},
                   .failures = 2,
                   .passes = 4});
  plans.push_back({.name = "retry",
                   .about = "one safe request, two engines, failures: retries and their ends",
                   .engines = 2,
                   .clients = {{{.id = "q1", .cls = "lookup"}}},
                   .failures = 2,
                   .passes = 4});
  plans.push_back({.name = "drain",
                   .about = "an engine is told draining while a dial or a retry is on its way",
                   .engines = 2,
                   .clients = {{{.id = "q1", .cls = "lookup"}}},
                   .failures = 1,
                   .drains = 1,
                   .late = 2,
                   .passes = 3});
  plans.push_back(
      {.name = "pool",
       .about =
           "two requests of a client, one after the other, on a pooled connection that the engine may close",
       .clients = {{{.id = "q1", .cls = "lookup"}, {.id = "w1", .cls = "load"}}},
       .idle_closes = 1,
       .passes = 2});
  plans.push_back(
      {.name = "cancel",
       .about =
           "a client leaves as its answer lands; its cancel crosses ReadyForQuery; another uses the engine",
       .clients = {{{.id = "q1", .cls = "lookup"}}, {{.id = "q2", .cls = "lookup"}}},
       .leaves = 1,
       .passes = 2});
  plans.push_back({.name = "late",
                   .about = "a deadline passes while things are on their way",
                   .clients = {{{.id = "q1", .cls = "lookup", .timeout = 400ms}}},
                   .late = 2,
                   .passes = 5});
  plans.push_back({.name = "stall",
                   .about = "the router has no turn past the deadline and resumes with all things old",
                   .clients = {{{.id = "q1", .cls = "lookup", .timeout = 300ms}}},
                   .leaves = 1,
                   .drains = 1,
                   .stalls = 1,
                   .passes = 3});
  plans.push_back(
      {.name = "pool-stall",
       .about = "the router has no turn while a request is on its way to a pooled connection",
       .clients = {{{.id = "q1", .cls = "lookup"}, {.id = "q2", .cls = "lookup", .timeout = 300ms}}},
       .stalls = 1,
       .passes = 2});
  plans.push_back({.name = "shards",
                   .about = "two shards and one strand: commands overtake events",
                   .shards = 2,
                   .clients = {{{.id = "q1", .cls = "lookup"}}, {{.id = "q2", .cls = "lookup"}}},
                   .failures = 1,
                   .passes = 1});
}

// Answers: their order, streams, and documents of several statements.
void add_answer_worlds(std::vector<ModelPlan>& plans) {
  plans.push_back(
      {.name = "pipeline",
       .about = "two requests sent at once on one connection: answers keep their order",
       .clients = {{{.id = "q1", .cls = "lookup"}, {.id = "q2", .cls = "lookup", .keep_alive = false}}},
       .leaves = 1,
       .failures = 1,
       .passes = 1,
       .pipelined = true});
  plans.push_back({.name = "stream",
                   .about = "an answer that outgrows what is held: it begins, is cut, cancelled or left",
                   .clients = {{{.id = "q1", .cls = "lookup", .timeout = 300ms, .rows = 8}}},
                   .hold = 40,
                   .splits = 1,
                   .leaves = 1,
                   .failures = 1,
                   .stalls = 1,
                   .passes = 2});
  plans.push_back({.name = "slow",
                   .about = "a client that reads slowly while an answer streams, and may leave",
                   .clients = {{{.id = "q1", .cls = "lookup", .keep_alive = false, .rows = 8}}},
                   .hold = 40,
                   .leaves = 1,
                   .passes = 1,
                   .room = 100});
  plans.push_back({.name = "two-loads",
                   .about = "a GraphQL document of two loads, the outcome of the first not known",
                   .engines = 2,
                   .clients = {{{.id = "d1", .graphql = "mutation{g1 g2}", .statements = {"g1", "g2"}}}},
                   .leaves = 1,
                   .failures = 1,
                   .passes = 2});
  plans.push_back({.name = "key",
                   .about = "a client repeats its idempotency key while the first run is out",
                   .clients = {{{.id = "d1", .graphql = "mutation{g1}", .key = "k", .statements = {"g1"}}},
                               {{.id = "d2", .graphql = "mutation{g1}", .key = "k", .statements = {"g1"}}}},
                   .leaves = 1,
                   .failures = 1,
                   .passes = 1});
  plans.push_back({.name = "document",
                   .about = "a GraphQL document of two lookups, and a client that leaves",
                   .clients = {{{.id = "d1", .graphql = "{r1 r2}", .statements = {"r1", "r2"}}}},
                   .leaves = 1,
                   .failures = 1,
                   .passes = 1});
  plans.push_back(
      {.name = "doc-stall",
       .about = "the router has no turn while a document's lookups are out",
       .clients = {{{.id = "d1", .timeout = 300ms, .graphql = "{r1 r2}", .statements = {"r1", "r2"}}}},
       .stalls = 1,
       .passes = 2});
}

// Queueing, groups, hedges and health checks.
void add_decision_worlds(std::vector<ModelPlan>& plans) {
  plans.push_back({.name = "three",
                   .about = "three engines that fail one after the other: all attempts used up",
                   .engines = 3,
                   .clients = {{{.id = "q1", .cls = "lookup"}}},
                   .failures = 3,
                   .passes = 2});
  plans.push_back({.name = "thirds",
                   .about = "a lookup, a load and a booking of three clients on one engine",
                   .clients = {{{.id = "q1", .cls = "lookup"}},
                               {{.id = "w1", .cls = "load"}},
                               {{.id = "b1", .cls = "booking"}}},
                   .failures = 1,
                   .passes = 1});
  plans.push_back({.name = "hold",
                   .about = "a load that holds its data group, and a reader that stands still meanwhile",
                   .engines = 2,
                   .clients = {{{.id = "w1", .cls = "load", .data_group = 7}},
                               {{.id = "q1", .cls = "lookup", .timeout = 400ms, .data_group = 7}}},
                   .failures = 1,
                   .passes = 3});
  plans.push_back({.name = "turns",
                   .about = "two requests of one order key, failures and a client that leaves",
                   .engines = 2,
                   .clients = {{{.id = "t1", .cls = "turn", .order_key = "a"}},
                               {{.id = "t2", .cls = "turn", .order_key = "a"}}},
                   .leaves = 1,
                   .failures = 1,
                   .passes = 1});
  plans.push_back({.name = "group",
                   .about = "a group with room for one: the second waits too long, or is refused at once",
                   .clients = {{{.id = "q1", .cls = "lookup"}},
                               {{.id = "q2", .cls = "lookup"}},
                               {{.id = "w1", .cls = "load"}}},
                   .leaves = 1,
                   .passes = 3,
                   .more = "groups: {groups: {team: {max_threads: 1, max_queued: 1, longest_wait: 200ms, "
                           "query_time: 400ms}}, default: team}\n"});
  plans.push_back({.name = "copies",
                   .about = "second copies allowed: the first attempt hangs, both may answer",
                   .engines = 2,
                   .clients = {{{.id = "q1", .cls = "lookup"}}},
                   .failures = 1,
                   .passes = 3,
                   .more = "allow: {second_copies: true}\n"});
  plans.push_back({.name = "no-copies",
                   .about = "the same where second copies are off",
                   .engines = 2,
                   .clients = {{{.id = "q1", .cls = "lookup"}}},
                   .failures = 1,
                   .passes = 3});
  plans.push_back({.name = "third-copy",
                   .about = "second copies, three engines, nobody answers for long: never three out",
                   .engines = 3,
                   .clients = {{{.id = "q1", .cls = "lookup"}}},
                   .passes = 6,
                   .hangs = 2,
                   .more = "allow: {second_copies: true}\n"});
  plans.push_back({.name = "probe",
                   .about = "engines are asked for their load; answers late, lost or in error",
                   .engines = 2,
                   .clients = {{{.id = "q1", .cls = "lookup"}}},
                   .failures = 2,
                   .passes = 4,
                   .more = "loads: {fields: [inflight, util]}\n"});
}

// Routers that restart, engines that hang or return.
void add_failure_worlds(std::vector<ModelPlan>& plans) {
  plans.push_back({.name = "restart",
                   .about = "the router dies with a request in it; clients connect again",
                   .engines = 2,
                   .clients = {{{.id = "w1", .cls = "load"}, {.id = "q1", .cls = "lookup"}}},
                   .failures = 1,
                   .drains = 1,
                   .passes = 2,
                   .restarts = 1});
  plans.push_back(
      {.name = "hang",
       .about = "an engine never answers: time-out, cancel, its end",
       .engines = 2,
       .clients = {{{.id = "q1", .cls = "lookup", .timeout = 400ms}, {.id = "q2", .cls = "lookup"}}},
       .leaves = 1,
       .passes = 3,
       .hangs = 1});
  plans.push_back({.name = "return",
                   .about = "an engine drains and is listed as ready again while requests are on their way",
                   .engines = 2,
                   .clients = {{{.id = "q1", .cls = "lookup"}, {.id = "q2", .cls = "lookup"}}},
                   .failures = 1,
                   .drains = 1,
                   .passes = 1,
                   .returns = 1});
}

// The operators' platform.
void add_platform_worlds(std::vector<ModelPlan>& plans) {
  plans.push_back(
      {.name = "node",
       .about = "the platform: a safe request, two engines; lost connections, a client that leaves",
       .engines = 2,
       .clients = {{{.id = "q1", .cls = "lookup"}}},
       .leaves = 1,
       .failures = 1,
       .passes = 4,
       .platform = true});
  plans.push_back({.name = "node-unsafe",
                   .about = "the platform: an unsafe request, two engines, failures and a drain",
                   .engines = 2,
                   .clients = {{{.id = "w1", .cls = "load"}}},
                   .failures = 2,
                   .drains = 1,
                   .passes = 3,
                   .platform = true});
  plans.push_back({.name = "node-hang",
                   .about = "the platform: an engine never answers a call; it is asked again, or given up",
                   .engines = 2,
                   .clients = {{{.id = "b1", .cls = "booking"}, {.id = "q1", .cls = "lookup"}}},
                   .leaves = 1,
                   .passes = 4,
                   .hangs = 1,
                   .platform = true});
  plans.push_back({.name = "node-late",
                   .about = "the platform: connections late to come up, others opened beside them",
                   .clients = {{{.id = "q1", .cls = "lookup"}}},
                   .leaves = 1,
                   .late = 2,
                   .passes = 3,
                   .platform = true});
  plans.push_back(
      {.name = "node-pool",
       .about = "the platform: requests at once on a connection, calls on a pooled one that may close",
       .clients = {{{.id = "q1", .cls = "lookup"}, {.id = "w1", .cls = "load"}}},
       .splits = 1,
       .leaves = 1,
       .idle_closes = 1,
       .passes = 2,
       .pipelined = true,
       .platform = true});
}

// Statements that reach their engine in parts. The engine may reject one before it has received all of it.
void add_partial_write_worlds(std::vector<ModelPlan>& plans) {
  plans.push_back({.name = "partial",
                   .about = "a statement reaches its engine in parts, and may be rejected before it is whole",
                   .clients = {{{.id = "w1", .cls = "load"}, {.id = "q1", .cls = "lookup"}}},
                   .leaves = 1,
                   .failures = 1,
                   .passes = 2,
                   .engine_window = 30});
  plans.push_back({.name = "node-partial",
                   .about = "the platform: a start reaches its engine in parts, and may be rejected before",
                   .clients = {{{.id = "w1", .cls = "load"}, {.id = "q1", .cls = "lookup"}}},
                   .leaves = 1,
                   .failures = 1,
                   .passes = 2,
                   .engine_window = 135,
                   .platform = true});
}

std::vector<ModelPlan> all() {
  std::vector<ModelPlan> plans;
  add_attempt_worlds(plans);
  add_answer_worlds(plans);
  add_decision_worlds(plans);
  add_failure_worlds(plans);
  add_platform_worlds(plans);
  add_partial_write_worlds(plans);
  return plans;
}

}  // namespace

const std::vector<ModelPlan>& worlds() {
  static const auto plans = all();
  return plans;
}

const ModelPlan* world_named(std::string_view name) {
  for (const auto& plan : worlds())
    if (plan.name == name) return &plan;
  return nullptr;
}

}  // namespace heronwell::explore
