// heronwell list: a stand-in endpoint list, served as Consul's health API from a watched YAML file. Standard
// input takes `late_ms N` (answers are late by N ms) and `away 1` or `away 0` (it does not answer, or does
// again).
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

// Between two looks at the file. A rehearsed day changes it at moments of its own and expects the change to
// be served at once.
constexpr std::chrono::milliseconds kFileWatchInterval{10};

struct ListOptions {
  std::string file;
  std::uint16_t port = 0;
  std::string record;
};

void apply_fault(rehearsal::ListServer& server, rehearsal::Recorder& recorder, const std::string& command) {
  std::istringstream words(command);
  std::string what;
  double value = 0;
  words >> what >> value;
  recorder.write(rehearsal::steady_clock_now(), "fault",
                 fmt::format(R"("what":"{}","value":{})", what, value));
  constexpr double kNanosecondsPerMillisecond = 1e6;
  if (what == "late_ms")
    server.set_delay(Time(static_cast<std::int64_t>(value * kNanosecondsPerMillisecond)));
  if (what == "away") server.set_unavailable(value > 0);
}

// Serves the file's list, and again whenever its text has changed.
class WatchedFile {
 public:
  WatchedFile(boost::asio::io_context& context, rehearsal::ListServer& server, std::string path)
      : server_(server), path_(std::move(path)), timer_(context) {}

  // Now, and every kFileWatchInterval from then on. Throws yaml::Error where the file is wrong.
  void look() {
    std::ifstream stream(path_);
    std::stringstream text;
    text << stream.rdbuf();
    if (stream && text.str() != served_text_) {
      served_text_ = text.str();
      server_.set(fleet::read_yaml(served_text_, path_));
    }
    timer_.expires_after(kFileWatchInterval);
    timer_.async_wait([this](boost::system::error_code error) {
      if (!error) look();
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
  file.look();
  std::cout << "listening 127.0.0.1:" << server.port() << std::endl;
  context.run();
  recorder.write_end(rehearsal::steady_clock_now());
  return ExitCode::done;
}

}  // namespace

void add_list_command(CommandLine& line) {
  auto options = std::make_shared<ListOptions>();
  auto* command = line.add_command("list", "A stand-in engine list, served as Consul's health API",
                                   [options] { return run_list(*options); });
  command->add_option("file", options->file, "YAML file of engines, watched")->required();
  command->add_option("--port", options->port, "Port on 127.0.0.1; 0: any")->capture_default_str();
  command->add_option("--record", options->record, "File for what its sockets see");
}

}  // namespace heronwell::cli
