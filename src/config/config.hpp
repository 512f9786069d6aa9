// The router's whole configuration, checked before anything starts.
//
// Two readers fill it: read_config() from the operators' YAML (docs/operators/running.md explains each key),
// and read_platform() from the JSON that the operators' platform hands a router (docs/operators/platform.md).
// The keys' names belong to the operators and never change; the members here carry the code's own terms.
// Where the two differ, the member's comment names the key.
//
// A configuration is fixed for the life of the process, except for what reload (daemon/reload.hpp) and the
// watched files replace.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.hpp"
#include "base/yaml.hpp"
#include "graphql/execute.hpp"
#include "groups/plan.hpp"
#include "heronwell/decision_engine.hpp"
#include "http/message.hpp"
#include "router/settings_reader.hpp"
#include "trace/tracer.hpp"

namespace heronwell::config {

struct Address {
  std::string host;  // an IP address; names are not resolved
  std::uint16_t port = 0;
  bool operator==(const Address&) const = default;
};

struct Config {
  std::string name;                   // of this router; the engines see it as application_name
  std::optional<std::uint64_t> seed;  // of the random numbers in decisions; none: drawn at the start
  unsigned threads = 1;               // shards, each with a thread of its own
  Settings module;                    // of the decision engine
  router::ConfiguredNames names;      // of zones and machine types, by number

  // Client connections. Sizes in bytes.
  struct Listen {
    Address at;
    http::Limits limits;          // of one request
    Time header_time{};           // for a request's head to arrive, from its first byte
    Time idle_time{};             // between two requests of a connection
    Time stall_time{};            // without a byte read by the client while an answer waits
    std::size_t connections = 0;  // at most, of all shards together
    std::size_t pipeline = 0;     // requests of a connection that wait for their answer, at most
    std::size_t hold = 0;         // an answer up to this size is buffered whole, a longer one streamed
    std::size_t high_water = 0;   // on their way to one client, at most, about; then the engine is not read
  } listen;

  // Connections to engines.
  struct Engines {
    std::string user;
    std::string database;
    std::size_t connections = 0;   // to one engine, at most
    Time dial_timeout{};           // for a connection to be ready, its start-up messages included
    Time idle_close{};             // after which an idle connection is closed
    Time cancel_wait{};            // for an engine to end a cancelled attempt; then its connection is closed
    Time probe_timeout{};          // of a health check
    std::size_t most_message = 0;  // bytes of one protocol message, such as a row
    std::vector<std::string> never_began;  // SQLSTATEs that prove that a statement never began
    std::string memory_setting;            // SET before a statement to its memory grant; empty: none
    std::string priority_setting;          // SET before a statement to its engine priority; empty: none
    std::string load_parameter;            // ParameterStatus that carries a load report
    std::string probe_statement;           // of a health check
  } engines;

  // Where the endpoint list comes from (key `list`): exactly one of `file` and `consul_servers`.
  struct EndpointList {
    std::string file;
    std::vector<Address> consul_servers;  // `consul`; the next one after a failure, round and round
    std::string service;                  // its name in Consul
    Time poll_wait{};                     // `wait`: how long Consul holds a blocking query
    Time poll_timeout{};                  // `timeout`: of a query, beyond the wait
    Time min_backoff{};                   // `retry_least`: after the first failure
    Time max_backoff{};                   // `retry_most`
    Time file_watch_interval{};           // `watch`: between two looks at a watched file
  } endpoint_list;

  // Datagrams between routers (key `peers`).
  struct Gossip {
    std::optional<Address> listen;                           // none: no gossip
    std::string key_file;                                    // of the key that all routers share
    std::vector<std::pair<std::uint32_t, Address>> members;  // by router index; may contain this router
  } gossip;

  struct Graphql {
    std::string schema;         // a file; or
    std::string sdl;            // the text itself; both empty: /graphql is not served
    Time timeout{};             // of a request that names none
    graphql::Limits limits;     // of a document
    graphql::Bounds bounds;     // of its execution
    std::size_t batch = 0;      // operations in one request at most; 0: no batches
    std::size_t documents = 0;  // bytes of parsed documents that are cached
    Time key_window{};          // deduplication window of idempotency keys
    std::size_t keys = 0;       // idempotency keys remembered at most
    std::size_t key_bytes = 0;  // of the answers remembered with them
    bool page = true;           // a browser that asks for /graphql gets a page to try queries on
    [[nodiscard]] bool served() const { return !schema.empty() || !sdl.empty(); }
  } graphql;

  std::optional<groups::Plan> groups;  // resource groups; none: requests are not grouped

  // The operators' platform: frames to clients, query calls to engines, an event bus in place of
  // `endpoint_list`.
  struct Platform {
    std::string file;            // the configuration itself, read again on SIGHUP
    std::string initial_events;  // `known`: the event bus's events up to the start, JSON
    Address bus;                 // the event bus
    std::size_t sockets = 0;     // file descriptors the process may have open
    std::size_t memory_mb = 0;   // memory the process may use
    std::size_t ending = 0;      // connections of clients that are being closed, at most
    std::size_t removals = 0;    // connections for query deletions, at most
    std::size_t held_bytes = 0;  // received from clients or buffered for them, all together, at most
    Time frame_time{};           // for a client's frame to arrive whole, from its first byte
  };
  std::optional<Platform> platform;  // none: not on the platform

  trace::Options trace;

  struct Log {
    std::string file;      // empty: standard error
    std::string level;     // of spdlog
    std::string requests;  // which requests are logged: all, problems, none
  } log;
};

// Reads and checks a configuration in YAML. Throws yaml::Error, "FILE:LINE:COLUMN: field: what was expected",
// also for a key that has no meaning. `file` names the file in errors.
Config read_config(yaml::Section file);

// Reads and checks the configuration that the platform hands a router, JSON. Throws std::invalid_argument,
// "FIELD: expected WHAT"; `file` stands for the whole text and becomes Platform::file.
Config read_platform(const std::string& json, const std::string& file);

// All settings in force, as YAML that read_config() reads to the same.
std::string effective(const Config& config);

}  // namespace heronwell::config
