// Config holds the router's whole configuration, which is checked before any part of the router starts.
//
// read_config() reads it from the operators' YAML file (docs/operators/running.md explains each key), and
// read_platform() from the JSON with which the operators' platform starts a router
// (docs/operators/platform.md). The names of the keys are part of the public interface and never change. A
// member whose name differs from its key has the key in its comment.
//
// A configuration is constant during the lifetime of the process, except for the settings that a reload
// (daemon/reload.hpp) or a watched file replaces.
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
  std::string name;                   // the router's name, which engines see as application_name
  std::optional<std::uint64_t> seed;  // for the random numbers in decisions; none: a random seed
  unsigned threads = 1;               // number of shards, each of which has its own thread
  Settings module;                    // settings of the decision engine
  router::ConfiguredNames names;      // names of zones and machine types, by number

  // Client connections. Sizes are in bytes.
  struct Listen {
    Address at;                   // `host`, `port`
    http::Limits limits;          // of one request
    Time header_time{};           // time limit for a request's head, from its first byte
    Time idle_time{};             // maximum time between two requests of a connection
    Time stall_time{};            // maximum time in which a client reads no byte of a waiting response
    std::size_t connections = 0;  // maximum for all shards together
    std::size_t pipeline = 0;     // maximum number of unanswered requests per connection
    std::size_t hold = 0;         // a response up to this size is buffered completely, a longer one streamed
    std::size_t high_water = 0;   // reading from the engine pauses above about this size of unsent response
    std::size_t buffered = 0;  // maximum bytes buffered for all clients and engines, for all shards together
  } listen;

  // Connections to engines.
  struct Engines {
    std::string user;
    std::string database;
    std::size_t connections = 0;   // maximum per engine
    Time dial_timeout{};           // for a connection to become ready, including its start-up messages
    Time idle_close{};             // an idle connection is closed after this time
    Time cancel_wait{};            // for an engine to end a cancelled attempt; then its connection is closed
    Time probe_timeout{};          // timeout of a health check
    std::size_t most_message = 0;  // maximum bytes of one protocol message, such as a row
    std::vector<std::string> never_began;  // SQLSTATEs that prove that a statement never began
    std::string memory_setting;    // set by SET to the statement's memory grant before it; empty: none
    std::string priority_setting;  // set by SET to the statement's engine priority before it; empty: none
    std::string load_parameter;    // name of the ParameterStatus that contains a load report
    std::string probe_statement;   // statement of a health check
  } engines;

  // The source of the endpoint list (key `list`). Exactly one of `file` and `consul_servers` is set.
  struct EndpointList {
    std::string file;
    std::vector<Address> consul_servers;  // `consul`: used in round-robin order, the next after a failure
    std::string service;                  // name of the service in Consul
    Time poll_wait{};                     // `wait`: for which Consul holds a blocking query
    Time poll_timeout{};                  // `timeout`: of a query, in addition to the wait
    Time min_backoff{};                   // `retry_least`: backoff after the first failure
    Time max_backoff{};                   // `retry_most`
    Time file_watch_interval{};           // `watch`: interval between two reads of a watched file
  } endpoint_list;

  // Datagrams between routers (key `peers`).
  struct Gossip {
    std::optional<Address> listen;                           // `host`, `port`; none: no gossip
    std::string key_file;                                    // contains the key that all routers share
    std::vector<std::pair<std::uint32_t, Address>> members;  // by router index; may contain this router
  } gossip;

  struct Graphql {
    std::string schema;         // file with the schema
    std::string sdl;            // text of the schema; /graphql is not served if both are empty
    Time timeout{};             // of a request without its own timeout
    graphql::Limits limits;     // of a document
    graphql::Bounds bounds;     // of the execution of a document
    std::size_t batch = 0;      // maximum number of operations per request; 0: batches are rejected
    std::size_t documents = 0;  // maximum bytes of cached parsed documents
    Time key_window{};          // deduplication window of idempotency keys
    std::size_t keys = 0;       // maximum number of remembered idempotency keys
    std::size_t key_bytes = 0;  // maximum bytes of the answers that are remembered with the keys
    bool page = true;           // serve a page for trying queries to browsers that request /graphql
    [[nodiscard]] bool served() const { return !schema.empty() || !sdl.empty(); }
  } graphql;

  std::optional<groups::Plan> groups;  // resource groups; none: requests are not grouped

  // Settings of the operators' platform. There, clients send binary frames (frames/frames.hpp), the router
  // sends HTTP calls to engines (calls/calls.hpp), and an event bus replaces `endpoint_list`.
  struct Platform {
    std::string file;            // path of the configuration, which is read again on SIGHUP
    std::string initial_events;  // `known`: the event bus's events up to the start, JSON
    Address bus;                 // address of the event bus
    std::size_t sockets = 0;     // maximum number of open file descriptors of the process
    std::size_t memory_mb = 0;   // maximum memory of the process, MiB
    std::size_t ending = 0;      // maximum number of client connections that are being closed
    std::size_t removals = 0;    // maximum number of connections for query deletions
    Time frame_time{};           // time limit for a complete frame of a client, from its first byte
  };
  std::optional<Platform> platform;  // none: the router does not run on the platform

  trace::Options trace;

  struct Log {
    std::string file;      // empty: standard error
    std::string level;     // minimum level, by its name in spdlog
    std::string requests;  // which requests are logged: all, problems, none
  } log;
};

// Reads and checks a configuration in YAML. Throws yaml::Error with the text
// "FILE:LINE:COLUMN: FIELD: EXPECTED VALUE" if a value is invalid or a key is unknown.
Config read_config(yaml::Section file);

// Reads and checks the platform's configuration in JSON. Throws std::invalid_argument with the text
// "FIELD: expected VALUE"; FIELD is `file` if `json` is not a JSON object. Sets Platform::file to `file`.
Config read_platform(const std::string& json, const std::string& file);

// Returns all effective settings as YAML from which read_config() reads the same configuration.
std::string effective(const Config& config);

}  // namespace heronwell::config
