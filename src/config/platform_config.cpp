// Reads the configuration with which the operators' platform starts a router (docs/operators/platform.md). It
// is JSON with the router's name and addresses, the settings object that is also used by the simulator
// (site/settings.hpp), the events of the event bus up to the start, and limits of descriptors and memory. The
// settings that the platform does not provide have fixed values here.
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "base/address.hpp"
#include "config/config.hpp"
#include "site/settings.hpp"

namespace heronwell::config {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

// ---- limits on descriptors and memory ------------------------------------------------------------------

// Descriptors of the process itself: the standard streams, three of the reactor, two for signals, the
// listening socket, the event bus connection and the configuration file during a reload, plus a reserve.
constexpr std::size_t kOwnDescriptors = 16;
// limits.sockets. With fewer than the minimum, the division below would leave too few engine connections for
// one per class.
constexpr std::size_t kMinSockets = 64;
constexpr std::size_t kDefaultSockets = 256;
// limits.memory_mb. The minimum is enough for the process and a few requests.
constexpr std::size_t kMinMemoryMb = 16;
constexpr std::size_t kDefaultMemoryMb = 64;

// The remaining descriptors are divided into kParts parts, so that each use has its own share: clients that
// open more and more connections must not prevent the router from connecting to engines or from cancelling
// attempts.
constexpr std::size_t kClientPart = 7;  // the platform's own clients use at most a third of these
constexpr std::size_t kEnginePart = 7;
constexpr std::size_t kDeletionPart = 1;  // connections for query deletions
constexpr std::size_t kParts = 16;
constexpr std::size_t kClosingDivisor = 32;  // 1/32 of them for client connections that are being closed

// 1/4 of the process's memory is for bytes that clients have sent or have not yet read. The rest is for
// parsing, tables and the process itself.
constexpr std::size_t kBufferedBytesDivisor = 4;

// ---- client connections ---------------------------------------------------------------------------------

// The maximum number of open requests per client connection, which the platform's protocol also announces to
// the clients.
constexpr std::size_t kMaxPipelinedRequests = 32;
// The maximum time between two bytes of a frame.
constexpr Time kFrameByteTimeout = 1500ms;
// The time limit for a complete frame. The platform requires that the connection of a faulty client is closed
// within 3 s; the rest of that time is for detecting the timeout and closing in order.
constexpr Time kFrameTimeout = 2300ms;
constexpr Time kClientIdleTimeout = 20s;
// The maximum time for which a client reads nothing although responses are ready. It is longer than any pause
// of a process that is still running.
constexpr Time kClientStallTimeout = 5s;
// The maximum size of the buffered response of one client; above it, reading from the engine pauses.
constexpr std::size_t kResponseBufferBytes = 256 << 10;

// ---- engine connections ---------------------------------------------------------------------------------

// Values of missing keys in settings.ceilings.
constexpr Time kDefaultDialTimeout = 250ms;
constexpr Time kDefaultEngineIdleClose = 15s;
// The timeout for an engine's confirmation of a query deletion. It is far longer than a round trip within one
// site.
constexpr Time kCancelTimeout = 100ms;
constexpr Time kHealthCheckTimeout = 250ms;

[[noreturn]] void reject(const std::string& field, const char* expected) {
  throw std::invalid_argument(fmt::format("{}: expected {}", field, expected));
}

const Json& required(const Json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end()) reject(key, "a value, but the key is missing");
  return *found;
}

std::string required_text(const Json& object, const char* key) {
  const auto& value = required(object, key);
  if (!value.is_string()) reject(key, "a string");
  return value.get<std::string>();
}

Address required_address(const Json& object, const char* key) {
  auto parsed = read_address(required_text(object, key));
  if (!parsed) reject(key, "address:port");
  return {std::move(parsed->first), parsed->second};
}

// Reads the optional seed in hexadecimal digits. It is a string, or a number if all digits are decimal.
std::optional<std::uint64_t> read_seed(const Json& json) {
  const auto found = json.find("seed");
  if (found == json.end()) return std::nullopt;
  const auto digits = found->is_string() ? found->get<std::string>() : found->dump();
  std::uint64_t seed = 0;
  const auto* end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, seed, 16);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    reject("seed", "the hexadecimal digits of a 64-bit number");
  return seed;
}

void read_settings(const Json& settings, Config& config) {
  config.module = site::parse_settings(settings.dump());
  if (const auto zones = settings.find("zones"); zones != settings.end())
    for (const auto& zone : *zones)
      config.names.zones.push_back(zone.is_string() ? zone.get<std::string>() : "");
  for (const auto& machine_type : config.module.machine_types)
    config.names.machine_types.push_back(machine_type.name);
}

std::size_t read_limit(const Json& limits, const char* key, std::size_t min, std::size_t default_value) {
  const auto found = limits.find(key);
  if (found == limits.end()) return default_value;
  if (!found->is_number() || found->get<double>() < static_cast<double>(min))
    reject(std::string("limits.") + key, "a number not below the minimum (sockets: 64, memory_mb: 16)");
  return static_cast<std::size_t>(found->get<double>());
}

Config::Platform read_platform_settings(const Json& json, const std::string& file) {
  Config::Platform platform;
  platform.file = file;
  platform.bus = required_address(json, "bus");
  platform.initial_events = required(json, "known").dump();
  const auto found = json.find("limits");
  const Json limits = found == json.end() ? Json::object() : *found;
  platform.sockets = read_limit(limits, "sockets", kMinSockets, kDefaultSockets);
  platform.memory_mb = read_limit(limits, "memory_mb", kMinMemoryMb, kDefaultMemoryMb);
  platform.frame_time = kFrameTimeout;
  return platform;
}

void divide_descriptors(Config& config, Config::Platform& platform) {
  const auto available = platform.sockets - kOwnDescriptors;
  config.listen.connections = available * kClientPart / kParts;
  config.engines.connections = available * kEnginePart / kParts;
  platform.removals = std::max<std::size_t>(1, available * kDeletionPart / kParts);
  platform.ending = std::max<std::size_t>(1, available / kClosingDivisor);
}

void set_client_limits(Config& config) {
  auto& listen = config.listen;
  listen.pipeline = kMaxPipelinedRequests;
  if (config.module.max_open_requests == 0)
    config.module.max_open_requests = listen.connections * listen.pipeline;
  listen.header_time = kFrameByteTimeout;
  listen.idle_time = kClientIdleTimeout;
  listen.stall_time = kClientStallTimeout;
  listen.hold = kResponseBufferBytes;
  listen.high_water = kResponseBufferBytes;
}

// Reads a duration in nanoseconds from `ceilings`. Returns `default_value` if it is missing, not a number or
// not positive.
Time read_ceiling(const Json& ceilings, const char* key, Time default_value) {
  if (!ceilings.is_object()) return default_value;
  const auto found = ceilings.find(key);
  if (found == ceilings.end() || !found->is_number() || found->get<double>() <= 0) return default_value;
  return Time(static_cast<std::int64_t>(found->get<double>()));
}

void set_engine_limits(const Json& settings, Config::Engines& engines) {
  const auto& ceilings = required(settings, "ceilings");
  engines.dial_timeout = read_ceiling(ceilings, "dial-timeout", kDefaultDialTimeout);
  // The router closes an idle connection well before the engine does. A statement that is written when the
  // engine closes the connection would be lost, and the router could not prove that it never began.
  engines.idle_close = read_ceiling(ceilings, "idle-close", kDefaultEngineIdleClose) * 3 / 4;
  engines.cancel_wait = kCancelTimeout;
  engines.probe_timeout = kHealthCheckTimeout;
}

}  // namespace

Config read_platform(const std::string& json, const std::string& file) {
  const auto parsed = Json::parse(json, nullptr, false);
  if (!parsed.is_object()) reject(file, "a JSON object");
  Config config;
  config.name = required_text(parsed, "name");
  config.listen.at = required_address(parsed, "listen");
  config.seed = read_seed(parsed);
  const auto& settings = required(parsed, "settings");
  read_settings(settings, config);
  auto platform = read_platform_settings(parsed, file);
  divide_descriptors(config, platform);
  set_client_limits(config);
  config.listen.buffered = (platform.memory_mb << 20) / kBufferedBytesDivisor;
  set_engine_limits(settings, config.engines);
  config.platform = std::move(platform);
  // The only log on the platform is standard error, to which only warnings are written.
  config.log.level = "warn";
  config.log.requests = "none";
  return config;
}

}  // namespace heronwell::config
