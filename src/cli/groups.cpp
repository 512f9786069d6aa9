// The sub-command `groups` prints the current tree of resource groups of a running router; `groups explain`
// prints which selector of a configuration matches a request.
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <cctype>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

#include "cli/commands.hpp"
#include "config/config.hpp"
#include "groups/selector.hpp"

namespace heronwell::cli {
namespace {

// Limit for a whole GET request; a router that exceeds it is treated as unreachable.
constexpr std::chrono::seconds kHttpTimeout{5};

std::string http_get(const std::string& host, std::uint16_t port, const std::string& path) {
  boost::asio::ip::tcp::iostream stream;
  stream.expires_after(kHttpTimeout);
  stream.connect(host, std::to_string(port));
  stream << "GET " << path << " HTTP/1.1\r\nhost: " << host << "\r\nconnection: close\r\n\r\n" << std::flush;
  const std::string response((std::istreambuf_iterator<char>(stream)), {});
  const auto head_end = response.find("\r\n\r\n");
  if (!response.starts_with("HTTP/1.1 200") || head_end == std::string::npos)
    throw std::runtime_error("no resource groups received from " + host + ":" + std::to_string(port) +
                             (response.empty() ? "" : " (" + response.substr(9, 3) + ")"));
  return response.substr(head_end + 4);
}

// Returns the last part of the group's path, indented by depth; groups created from a template are marked
// with a star.
std::string displayed_name(const nlohmann::json& group) {
  const auto path = group["path"].get<std::string>();
  const auto dot = path.rfind('.');
  std::string name(2 * group["depth"].get<std::size_t>(), ' ');
  if (path.empty()) {
    name += "root";
  } else {
    name += dot == std::string::npos ? path : path.substr(dot + 1);
  }
  if (group["made"].get<bool>()) name += " *";
  return name;
}

std::string rejections_by_limit(const nlohmann::json& group) {
  std::string text;
  for (const auto& [limit, count] : group["refused"].items())
    text += fmt::format("{}{} {}", text.empty() ? "" : ", ", limit, count.get<std::uint64_t>());
  return text.empty() ? "-" : text;
}

std::string table_row(const nlohmann::json& group) {
  constexpr double kPercent = 100;
  const double lent = group["lent"];  // share lent to other groups; negative: borrowed
  return fmt::format("{:<40} {:>7.1f} {:>7.1f} {:>7.1f} {:>7.1f} {:>7} {:>7} {:>10.1f}  {}\n",
                     displayed_name(group), kPercent * group["share_set"].get<double>(),
                     kPercent * group["share_got"].get<double>(), kPercent * std::max(0.0, lent),
                     kPercent * std::max(0.0, -lent), group["running_threads"].get<unsigned>(),
                     group["queued"].get<std::size_t>(), group["engine_seconds"].get<double>(),
                     rejections_by_limit(group));
}

std::string groups_table(const std::string& text) {
  const auto json = nlohmann::json::parse(text);
  std::string table =
      fmt::format("gateway {}, pool {:.1f} threads, schedules: ", json["gateway"].get<std::string>(),
                  json["pool_threads"].get<double>());
  const std::vector<std::string> schedules = json["schedules"];
  table += fmt::format("{}\n{:<40} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>10}  {}\n",
                       schedules.empty() ? "none" : fmt::format("{}", fmt::join(schedules, ", ")), "group",
                       "set %", "got %", "lent %", "borr. %", "running", "queued", "engine s", "refused");
  for (const auto& group : json["groups"]) table += table_row(group);
  return table;
}

struct ShowOptions {
  std::string host = "127.0.0.1";
  std::uint16_t port = 8080;
  std::string every = "0s";
};

ExitCode show_groups(const ShowOptions& options) {
  const auto interval = parse_duration_option("every", options.every);
  while (true) {
    std::cout << groups_table(http_get(options.host, options.port, "/groups")) << std::flush;
    if (interval <= Time::zero()) return ExitCode::done;
    std::this_thread::sleep_for(interval);
    std::cout << "\n";
  }
}

struct ExplainOptions {
  groups::RequestAttributes request;
  std::vector<std::string> headers;  // each "name: value"
  std::string statement;
};

using Headers = std::map<std::string, std::string, std::less<>>;  // values by lower-case name

Headers parse_headers(const std::vector<std::string>& lines) {
  Headers headers;
  for (const auto& line : lines) {
    const auto colon = line.find(':');
    if (colon == std::string::npos) throw yaml::Error("command line:1:1: --header: expected name: value");
    auto name = line.substr(0, colon);
    std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
    const auto value = line.substr(colon + 1);
    headers[name] = value.substr(std::min(value.find_first_not_of(' '), value.size()));
  }
  return headers;
}

// Returns `failed` if no selector matches.
ExitCode explain_group(const std::string& config_file, ExplainOptions options) {
  const auto config = config::read_config(yaml::Section::file(config_file));
  if (!config.groups) throw yaml::Error(config_file + ":1:1: groups: missing");
  const auto headers = parse_headers(options.headers);
  auto& request = options.request;
  request.statement = groups::first_word(options.statement);
  request.header = [&headers](std::string_view name) -> std::optional<std::string> {
    const auto found = headers.find(name);
    return found == headers.end() ? std::nullopt : std::optional(found->second);
  };
  const auto& selectors = config.groups->selectors;
  std::cout << selectors.explain(request);
  return selectors.choose(request).group.empty() ? ExitCode::failed : ExitCode::done;
}

void add_explain(CommandLine& line, CLI::App* group) {
  auto options = std::make_shared<ExplainOptions>();
  auto& request = options->request;
  auto* explain = line.add_command_in(group, "explain", "Print which selector a request matches, and why",
                                      [&line, options] { return explain_group(line.config_file, *options); });
  explain->add_option("--config", line.config_file, "Configuration file of the router, YAML")->required();
  explain->add_option("--class", request.cls);
  explain->add_option("--tenant", request.tenant);
  explain->add_option("--statement", options->statement);
  explain->add_option("--operation", request.operation, "Name of the GraphQL operation");
  explain->add_option("--field", request.root_fields, "Root field of the GraphQL operation");
  explain->add_option("--subject", request.subject, "Authenticated subject of the client");
  explain->add_option("--address", request.address, "IP address of the client");
  explain->add_option("--tag", request.tags);
  explain->add_option("--header", options->headers, "name: value");
}

}  // namespace

void add_groups_commands(CommandLine& line) {
  auto options = std::make_shared<ShowOptions>();
  auto* groups = line.add_command("groups", "Print the current resource groups of a running router",
                                  [options] { return show_groups(*options); });
  groups->add_option("--host", options->host)->capture_default_str();
  groups->add_option("--port", options->port, "Port of the router")->capture_default_str();
  groups->add_option("--every", options->every, "Interval at which to print again; 0s: print once")
      ->capture_default_str();
  add_explain(line, groups);
}

}  // namespace heronwell::cli
