// The sub-command `follow` prints the spans of one trace as a timeline, read from the routers' trace files.
// The exit code is `failed` if no file contains the trace.
#include <fstream>
#include <iostream>
#include <memory>
#include <vector>

#include "base/yaml.hpp"
#include "cli/commands.hpp"
#include "trace/timeline.hpp"
#include "trace/trail.hpp"

namespace heronwell::cli {
namespace {

constexpr std::size_t kTraceIdDigits = 32;  // W3C Trace Context: 16 bytes in hex

struct FollowOptions {
  std::string trace;  // trace id, or a traceparent value
  std::vector<std::string> files;
};

std::string parse_trace_id(const std::string& text) {
  const auto context = trace::read_traceparent(text);
  const auto id = context ? context->trace.hex() : text;
  if (id.size() != kTraceIdDigits || id.find_first_not_of("0123456789abcdef") != std::string::npos)
    throw yaml::Error("command line:1:1: trace: expected 32 hex digits, or a traceparent");
  return id;
}

std::vector<std::string> read_lines_containing(const std::string& id, const std::vector<std::string>& files) {
  std::vector<std::string> lines;
  for (const auto& file : files) {
    std::ifstream stream(file);
    if (!stream) throw yaml::Error(file + ":1:1: cannot read the file");
    for (std::string line; std::getline(stream, line);)
      if (line.find(id) != std::string::npos) lines.push_back(std::move(line));
  }
  return lines;
}

ExitCode follow(const FollowOptions& options) {
  const auto id = parse_trace_id(options.trace);
  const auto lines = read_lines_containing(id, options.files);
  std::size_t malformed = 0;
  const auto text = trace::timeline(lines, id, malformed);
  std::cout << text;
  if (malformed > 0) std::cerr << malformed << " lines are not valid OTLP" << std::endl;
  if (text.empty()) std::cerr << "trace " << id << " was not found in these files" << std::endl;
  return text.empty() ? ExitCode::failed : ExitCode::done;
}

}  // namespace

void add_follow_command(CommandLine& line) {
  auto options = std::make_shared<FollowOptions>();
  auto* command =
      line.add_command("follow", "Print the timeline of one request from the routers' trace files",
                       [options] { return follow(*options); });
  command->add_option("trace", options->trace, "Trace id of the request (32 hex digits), or a traceparent")
      ->required();
  command->add_option("files", options->files, "Trace files of the routers")->required();
}

}  // namespace heronwell::cli
