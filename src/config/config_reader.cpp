// Reads the operators' YAML file, with one function per section. Sections are read in the order of the
// documentation, so that the first error of a file with several is the first one in that order.
#include <fmt/format.h>

#include "config/config.hpp"

namespace heronwell::config {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kMaxPort = 65535;
constexpr std::uint64_t kConsulPort = 8500;  // default port of Consul

// A duration below the resolution of the timers, or above the lifetime of any request or connection, is
// rejected as an error in the unit.
constexpr Time kMinDuration = 1ms;
constexpr Time kMaxDuration = 24h;

// The maximum number of shards. Each shard has a thread and its own connections to every engine; far more
// shards than the machine has cores would only increase the number of idle connections.
constexpr std::uint64_t kMaxThreads = 64;

// Limits of objects that the process holds in memory. They only detect typing errors; the operator is
// responsible for the memory that values below them need.
constexpr std::uint64_t kMaxClientConnections = 1'000'000;  // more than one process can serve
constexpr std::uint64_t kMaxEngineConnections = 100'000;    // to one engine
constexpr std::uint64_t kMaxPerConnection = 10'000;         // headers per request, pipelined requests
constexpr std::uint64_t kMaxQueuedTrails = 10'000'000;
constexpr std::uint64_t kMaxIdempotencyKeys = 10'000'000;

// A request with a few headers, such as a trace context, must fit into the header limit, and the head of a
// response and its first bytes must fit below the high-water mark.
constexpr std::uint64_t kMinHeaderBytes = 256;
constexpr std::uint64_t kMinHighWaterBytes = 1024;

constexpr std::size_t kSqlstateLength = 5;  // defined by the SQL standard

// Limits of a GraphQL document and its execution. The depth is limited to a low value because documents are
// checked and executed recursively.
constexpr std::uint64_t kMaxDocumentDepth = 200;
constexpr std::uint64_t kMaxDocumentParts = 1'000'000;    // fields, aliases, directives
constexpr std::uint64_t kMaxDocumentTokens = 10'000'000;  // tokens; also fields after fragments are expanded
constexpr std::uint64_t kMaxParallelStatements = 1'000;   // per request
constexpr std::uint64_t kMaxParents = 1'000'000;          // rows whose fields one statement reads
constexpr std::uint64_t kMaxErrors = 100'000;             // per response
constexpr std::uint64_t kMaxBatchOperations = 1'000;      // per request

Address read_address(yaml::Section& section, std::optional<std::uint64_t> default_port = std::nullopt) {
  Address address;
  address.host = section.string("host", "127.0.0.1");
  const auto port =
      default_port ? section.count("port", *default_port, 0, kMaxPort) : section.count("port", 0, kMaxPort);
  address.port = static_cast<std::uint16_t>(port);
  return address;
}

Time read_duration(yaml::Section& section, const std::string& key, Time default_value) {
  const auto value = section.duration(key, default_value);
  if (value < kMinDuration || value > kMaxDuration) section.fail(key, "expected a duration from 1ms to 24h");
  return value;
}

// Reads the keys of the section `gateway` that router::read_settings() has not read. It has read `zone`,
// `number` and `of`; has() marks them as known for close().
void read_gateway(yaml::Section section, Config& config) {
  config.name = section.string("name", fmt::format("gateway-{}", config.module.router_index));
  if (section.has("seed")) config.seed = section.count("seed", 0, UINT64_MAX);
  config.threads = static_cast<unsigned>(section.count("threads", 1, 1, kMaxThreads));
  for (const auto* key : {"of", "number", "zone"}) (void)section.has(key);
  section.close();
}

void read_listen(yaml::Section section, Config::Listen& listen) {
  listen.at = read_address(section);
  // Enough for the URL and headers of usual clients, with cookies and tokens of some KiB.
  listen.limits.start_line = section.size("request_line", 8 << 10);
  listen.limits.header_bytes = section.size("header_bytes", 32 << 10);
  listen.limits.header_count = section.count("header_count", 100, 1, kMaxPerConnection);
  // Enough for a statement with a long list of keys; larger bodies are probably errors.
  listen.limits.body = section.size("body", 1 << 20);
  // A head consists of one or two packets; five seconds allow for several retransmissions.
  listen.header_time = read_duration(section, "header_time", 5s);
  listen.idle_time = read_duration(section, "idle_time", 60s);
  // A client that reads nothing for this long has probably ended; the memory of its response is released.
  listen.stall_time = read_duration(section, "stall_time", 30s);
  listen.connections = section.count("connections", 20'000, 1, kMaxClientConnections);
  listen.pipeline = section.count("pipeline", 16, 1, kMaxPerConnection);
  // Nearly all responses are short enough to be buffered completely, so that an attempt that fails during its
  // response can be retried.
  listen.hold = section.size("hold", 256 << 10);
  listen.high_water = section.size("high_water", 256 << 10);
  // Some hundred requests of the largest size at once, and well below the memory of a usual machine.
  listen.buffered = section.size("buffered", 256 << 20);
  if (listen.limits.header_bytes < kMinHeaderBytes) section.fail("header_bytes", "expected at least 256B");
  if (listen.buffered < listen.limits.body) section.fail("buffered", "expected at least the size of `body`");
  if (listen.high_water < kMinHighWaterBytes) section.fail("high_water", "expected at least 1KiB");
  section.close();
}

void read_engines(yaml::Section section, Config::Engines& engines) {
  engines.user = section.string("user", "heronwell");
  engines.database = section.string("database", "heronwell");
  engines.connections = section.count("connections", 64, 1, kMaxEngineConnections);
  // Connecting to an engine at the same site takes a millisecond. If it takes longer than this limit,
  // trying another engine is more promising.
  engines.dial_timeout = read_duration(section, "dial_timeout", 250ms);
  engines.idle_close = read_duration(section, "idle_close", 30s);
  // A cancelled statement usually ends at once; after this time its connection is closed instead of reused.
  engines.cancel_wait = read_duration(section, "cancel_wait", 100ms);
  engines.probe_timeout = read_duration(section, "probe_timeout", 500ms);
  engines.most_message = section.size("most_message", 16 << 20);
  engines.never_began = section.strings("never_began");
  for (const auto& code : engines.never_began)
    if (code.size() != kSqlstateLength) section.fail("never_began", "expected SQLSTATEs of five characters");
  engines.memory_setting = section.string("memory_setting", "work_mem");
  engines.priority_setting = section.string("priority_setting", "");
  engines.load_parameter = section.string("load_parameter", "heronwell.load");
  engines.probe_statement = section.string("probe_statement", "select 1");
  section.close();
}

void read_endpoint_list(yaml::Section section, Config::EndpointList& list) {
  list.file = section.string("file", "");
  for (auto& server : section.sections("consul")) {
    list.consul_servers.push_back(read_address(server, kConsulPort));
    server.close();
  }
  if (list.file.empty() == list.consul_servers.empty())
    section.fail("", "expected either `file` or `consul`");
  list.service = section.string("service", "sql");
  list.poll_wait = read_duration(section, "wait", 60s);
  list.poll_timeout = read_duration(section, "timeout", 5s);
  list.min_backoff = read_duration(section, "retry_least", 100ms);
  list.max_backoff = read_duration(section, "retry_most", 5s);
  list.file_watch_interval = read_duration(section, "watch", 200ms);
  if (list.max_backoff < list.min_backoff) section.fail("retry_most", "expected at least retry_least");
  section.close();
}

void read_document_limits(yaml::Section& section, graphql::Limits& limits) {
  limits.bytes = section.size("document_bytes", limits.bytes);
  limits.tokens = section.count("tokens", limits.tokens, 1, kMaxDocumentTokens);
  limits.depth = section.count("depth", limits.depth, 1, kMaxDocumentDepth);
  limits.fields = section.count("fields", limits.fields, 1, kMaxDocumentParts);
  limits.aliases = section.count("aliases", limits.aliases, 0, kMaxDocumentParts);
  limits.directives = section.count("directives", limits.directives, 0, kMaxDocumentParts);
  limits.spread = section.count("spread", limits.spread, 1, kMaxDocumentTokens);
}

void read_execution_bounds(yaml::Section& section, graphql::Bounds& bounds) {
  bounds.parallel = section.count("parallel", bounds.parallel, 1, kMaxParallelStatements);
  bounds.parents = section.count("parents", bounds.parents, 1, kMaxParents);
  bounds.answer = section.size("answer", bounds.answer);
  bounds.errors = section.count("errors", bounds.errors, 1, kMaxErrors);
}

void read_graphql(yaml::Section section, Config::Graphql& graphql) {
  graphql.schema = section.string("schema", "");
  graphql.sdl = section.string("sdl", "");
  if (!graphql.schema.empty() && !graphql.sdl.empty())
    section.fail("sdl", "expected either `schema` (a file) or `sdl` (the text)");
  graphql.timeout = read_duration(section, "timeout", 30s);
  read_document_limits(section, graphql.limits);
  read_execution_bounds(section, graphql.bounds);
  graphql.batch = section.count("batch", 0, 0, kMaxBatchOperations);
  graphql.documents = section.size("documents", 32 << 20);
  // Longer than clients retry a mutation after they got no answer.
  graphql.key_window = read_duration(section, "key_window", 10min);
  graphql.keys = section.count("keys", 100'000, 1, kMaxIdempotencyKeys);
  graphql.key_bytes = section.size("key_bytes", 64 << 20);
  graphql.page = section.boolean("page", true);
  section.close();
}

// Reads the groups from the section itself, or from the separate, watched file that `groups.file` names.
void read_groups(yaml::Section section, Config& config) {
  if (section.has("file")) {
    const auto path = section.string("file");
    section.close();
    auto groups_file = yaml::Section::file(path);
    config.groups = groups::Plan::read(groups_file);
    config.groups->file = path;
  } else {
    config.groups = groups::Plan::read(section);
  }
  config.groups->settings.gateways = config.module.router_count;
}

void read_trace(yaml::Section section, trace::Options& trace) {
  // A small sample is enough to show what usual requests look like. With `keep_trouble`, requests that are
  // rejected, failed, late or retried are written even if they are not in the sample.
  constexpr double kDefaultSample = 0.01;
  trace.file = section.string("file", "");
  trace.sample = section.number("sample", kDefaultSample, 0, 1);
  trace.keep_trouble = section.boolean("keep_trouble", true);
  trace.queue = section.count("queue", trace.queue, 1, kMaxQueuedTrails);
  trace.file_bytes = section.size("file_bytes", trace.file_bytes);
  trace.comment = section.boolean("comment", false);
  section.close();
}

void read_gossip(yaml::Section section, Config& config) {
  if (section.has("port")) {
    config.gossip.listen = read_address(section);
    config.gossip.key_file = section.string("key_file");
    for (auto& member : section.sections("members")) {
      const auto router_index = member.count("number", 0, config.module.router_count - 1);
      config.gossip.members.emplace_back(static_cast<std::uint32_t>(router_index), read_address(member));
      member.close();
    }
  } else if (config.module.gossip_enabled && config.module.router_count > 1) {
    section.fail("port", "missing; allow.tell requires it");
  }
  section.close();
}

void read_log(yaml::Section section, Config::Log& log) {
  const std::vector<std::string> levels{"info", "debug", "warn", "error", "off"};  // the first is the default
  const std::vector<std::string> requests{"all", "problems", "none"};
  log.file = section.string("file", "");
  log.level = levels[section.choice("level", levels, 0)];
  log.requests = requests[section.choice("requests", requests, 0)];
  section.close();
}

}  // namespace

Config read_config(yaml::Section file) {
  Config config;
  config.module = router::read_settings(file);
  config.names = router::read_names(file);
  read_gateway(file.section("gateway"), config);
  read_listen(file.section("listen"), config.listen);
  read_engines(file.section("engines"), config.engines);
  read_endpoint_list(file.section("list"), config.endpoint_list);
  read_graphql(file.section("graphql"), config.graphql);
  if (file.has("groups")) read_groups(file.section("groups"), config);
  read_trace(file.section("trace"), config.trace);
  read_gossip(file.section("peers"), config);
  read_log(file.section("log"), config.log);
  file.close();
  return config;
}

}  // namespace heronwell::config
