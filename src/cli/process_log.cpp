#include "cli/process_log.hpp"

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>

namespace heronwell::cli {
namespace {

// A log file is flushed at this interval rather than after each line; a crash loses at most this much of it.
constexpr std::chrono::seconds kFileFlushInterval{1};

}  // namespace

void open_log(const config::Config::Log& log) {
  const bool to_file = !log.file.empty();
  auto logger =
      to_file ? spdlog::basic_logger_mt("heronwell", log.file) : spdlog::stderr_logger_mt("heronwell");
  logger->set_pattern(R"({"ts":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","data":%v})");
  logger->set_level(spdlog::level::from_str(log.level));
  if (!to_file) logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(logger);
  if (to_file) spdlog::flush_every(kFileFlushInterval);
}

}  // namespace heronwell::cli
