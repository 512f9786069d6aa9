// Prints the effective settings as YAML, with one function per section. config_reader.cpp reads the same
// configuration from the result.
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <iterator>

#include "base/json.hpp"
#include "config/config.hpp"

namespace heronwell::config {
namespace {

using yaml::duration_text;
using yaml::size_text;

void print_gateway(std::string& out, const Config& config) {
  auto to = std::back_inserter(out);
  fmt::format_to(to, "gateway:\n  name: {}\n  number: {}\n  of: {}\n  threads: {}\n", config.name,
                 config.module.router_index, config.module.router_count, config.threads);
  const auto& zone = config.names.zones[config.module.zone];
  if (!zone.empty()) fmt::format_to(to, "  zone: {}\n", zone);
  if (config.seed) fmt::format_to(to, "  seed: {}\n", *config.seed);
}

void print_listen(std::string& out, const Config::Listen& listen) {
  fmt::format_to(
      std::back_inserter(out),
      "listen:\n  host: {}\n  port: {}\n  request_line: {}\n  header_bytes: {}\n  header_count: {}\n"
      "  body: {}\n  header_time: {}\n  idle_time: {}\n  stall_time: {}\n  connections: {}\n"
      "  pipeline: {}\n  hold: {}\n  high_water: {}\n  buffered: {}\n",
      listen.at.host, listen.at.port, size_text(listen.limits.start_line),
      size_text(listen.limits.header_bytes), listen.limits.header_count, size_text(listen.limits.body),
      duration_text(listen.header_time), duration_text(listen.idle_time), duration_text(listen.stall_time),
      listen.connections, listen.pipeline, size_text(listen.hold), size_text(listen.high_water),
      size_text(listen.buffered));
}

void print_engines(std::string& out, const Config::Engines& engines) {
  fmt::format_to(
      std::back_inserter(out),
      "engines:\n  user: {}\n  database: {}\n  connections: {}\n  dial_timeout: {}\n  idle_close: {}\n"
      "  cancel_wait: {}\n  probe_timeout: {}\n  most_message: {}\n  never_began: [{}]\n"
      "  memory_setting: \"{}\"\n  priority_setting: \"{}\"\n  load_parameter: {}\n  probe_statement: {}\n",
      engines.user, engines.database, engines.connections, duration_text(engines.dial_timeout),
      duration_text(engines.idle_close), duration_text(engines.cancel_wait),
      duration_text(engines.probe_timeout), size_text(engines.most_message),
      fmt::join(engines.never_began, ", "), engines.memory_setting, engines.priority_setting,
      engines.load_parameter, engines.probe_statement);
}

void print_endpoint_list(std::string& out, const Config::EndpointList& list) {
  auto to = std::back_inserter(out);
  out += "list:\n";
  if (!list.file.empty()) fmt::format_to(to, "  file: {}\n", list.file);
  if (!list.consul_servers.empty()) out += "  consul:\n";
  for (const auto& server : list.consul_servers)
    fmt::format_to(to, "    - {{host: {}, port: {}}}\n", server.host, server.port);
  fmt::format_to(
      to, "  service: {}\n  wait: {}\n  timeout: {}\n  retry_least: {}\n  retry_most: {}\n  watch: {}\n",
      list.service, duration_text(list.poll_wait), duration_text(list.poll_timeout),
      duration_text(list.min_backoff), duration_text(list.max_backoff),
      duration_text(list.file_watch_interval));
}

void print_gossip(std::string& out, const Config::Gossip& gossip) {
  if (!gossip.listen) return;
  auto to = std::back_inserter(out);
  fmt::format_to(to, "peers:\n  host: {}\n  port: {}\n  key_file: {}\n  members:\n", gossip.listen->host,
                 gossip.listen->port, gossip.key_file);
  for (const auto& [router_index, address] : gossip.members)
    fmt::format_to(to, "    - {{number: {}, host: {}, port: {}}}\n", router_index, address.host,
                   address.port);
}

void print_graphql(std::string& out, const Config::Graphql& graphql) {
  if (!graphql.served()) return;
  auto to = std::back_inserter(out);
  const auto& limits = graphql.limits;
  const auto& bounds = graphql.bounds;
  fmt::format_to(to,
                 "graphql:\n  timeout: {}\n  document_bytes: {}\n  tokens: {}\n  depth: {}\n  fields: {}\n"
                 "  aliases: {}\n  directives: {}\n  spread: {}\n",
                 duration_text(graphql.timeout), size_text(limits.bytes), limits.tokens, limits.depth,
                 limits.fields, limits.aliases, limits.directives, limits.spread);
  fmt::format_to(to, "  parallel: {}\n  parents: {}\n  answer: {}\n  errors: {}\n  batch: {}\n",
                 bounds.parallel, bounds.parents, size_text(bounds.answer), bounds.errors, graphql.batch);
  fmt::format_to(to, "  documents: {}\n  key_window: {}\n  keys: {}\n  key_bytes: {}\n  page: {}\n",
                 size_text(graphql.documents), duration_text(graphql.key_window), graphql.keys,
                 size_text(graphql.key_bytes), graphql.page);
  if (!graphql.schema.empty()) fmt::format_to(to, "  schema: {}\n", graphql.schema);
  if (graphql.sdl.empty()) return;
  out += "  sdl: ";
  put_json_text(out, graphql.sdl);
  out += "\n";
}

void print_groups(std::string& out, const std::optional<groups::Plan>& groups) {
  if (!groups) return;
  auto to = std::back_inserter(out);
  if (groups->file.empty()) {
    fmt::format_to(to, "groups: {}\n", groups->text);
  } else {
    fmt::format_to(to, "groups:\n  file: {}\n", groups->file);
  }
}

void print_trace(std::string& out, const trace::Options& trace) {
  if (trace.file.empty()) return;
  fmt::format_to(std::back_inserter(out),
                 "trace:\n  file: {}\n  sample: {}\n  keep_trouble: {}\n  queue: {}\n  file_bytes: {}\n"
                 "  comment: {}\n",
                 trace.file, trace.sample, trace.keep_trouble, trace.queue, size_text(trace.file_bytes),
                 trace.comment);
}

void print_log(std::string& out, const Config::Log& log) {
  fmt::format_to(std::back_inserter(out), "log:\n  file: \"{}\"\n  level: {}\n  requests: {}\n", log.file,
                 log.level, log.requests);
}

}  // namespace

std::string effective(const Config& config) {
  std::string out;
  print_gateway(out, config);
  print_listen(out, config.listen);
  print_engines(out, config.engines);
  print_endpoint_list(out, config.endpoint_list);
  print_gossip(out, config.gossip);
  print_graphql(out, config.graphql);
  print_groups(out, config.groups);
  print_trace(out, config.trace);
  print_log(out, config.log);
  return out + router::effective_settings_yaml(config.module, config.names);
}

}  // namespace heronwell::config
