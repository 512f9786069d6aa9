// The sub-command `list` runs a stand-in endpoint list, which serves the engines of a watched YAML file
// through Consul's health API. It reads faults from standard input: `late_ms N` delays responses by N ms,
// `away 1` stops responses, `away 0` resumes them.
#include "rehearsal/list.hpp"

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

#include "cli/commands.hpp"
#include "cli/stand_in_process.hpp"
#include "fleet/endpoint_registry.hpp"

namespace heronwell::cli {
namespace {

// Polling interval of the YAML file. A day changes the file at scheduled times and expects the change to be
// served without noticeable delay.
constexpr std::chrono::milliseconds kFileWatchInterval{10};

struct ListOptions {
  std::string file;
  std::uint16_t port = 0;
  std::string record;
};

void apply_fault(rehearsal::ListServer& server, rehearsal::Recorder& recorder, const std::string& command) {
  std::istringstream words(command);
  std::string fault;
  double value = 0;
  words >> fault >> value;
  recorder.write(rehearsal::steady_clock_now(), "fault",
                 fmt::format(R"("what":"{}","value":{})", fault, value));
  constexpr double kNanosecondsPerMillisecond = 1e6;
  if (fault == "late_ms")
    server.set_delay(Time(static_cast<std::int64_t>(value * kNanosecondsPerMillisecond)));
  if (fault == "away") server.set_unavailable(value > 0);
}

// Loads the endpoint list from a file into the server, and reloads it whenever the file's content has
// changed.
class WatchedFile {
 public:
  WatchedFile(boost::asio::io_context& context, rehearsal::ListServer& server, std::string path)
      : server_(server), path_(std::move(path)), timer_(context) {}

  // Loads the file if it has changed, and schedules the next check after kFileWatchInterval. Throws
  // yaml::Error if the content is invalid. An unreadable file leaves the previous list in place.
  void poll_file() {
    std::ifstream stream(path_);
    std::stringstream text;
    text << stream.rdbuf();
    if (stream && text.str() != served_text_) {
      served_text_ = text.str();
      server_.set(fleet::read_yaml(served_text_, path_));
    }
    timer_.expires_after(kFileWatchInterval);
    timer_.async_wait([this](boost::system::error_code error) {
      if (!error) poll_file();
    });
  }

 private:
  rehearsal::ListServer& server_;
  std::string path_;
  boost::asio::steady_timer timer_;
  std::string served_text_;
};

ExitCode run_list(const ListOptions& options) {
  boost::asio::io_context context(1);
  rehearsal::Recorder recorder(options.record, "list", "list");
  rehearsal::ListServer server(context, options.port, recorder);
  StandInProcess process(context,
                         [&](const std::string& command) { apply_fault(server, recorder, command); });
  process.start();
  WatchedFile file(context, server, options.file);
  file.poll_file();
  std::cout << "listening 127.0.0.1:" << server.port() << std::endl;
  context.run();
  recorder.write_end(rehearsal::steady_clock_now());
  return ExitCode::done;
}

}  // namespace

void add_list_command(CommandLine& line) {
  auto options = std::make_shared<ListOptions>();
  auto* command = line.add_command("list", "Run a stand-in endpoint list with Consul's health API",
                                   [options] { return run_list(*options); });
  command->add_option("file", options->file, "YAML file of engines; changes are served")->required();
  command->add_option("--port", options->port, "Port on 127.0.0.1; 0: any free port")->capture_default_str();
  command->add_option("--record", options->record, "File to record socket events in");
}

}  // namespace heronwell::cli
