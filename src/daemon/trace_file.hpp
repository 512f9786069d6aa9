// Writes trails to a file, on a thread of its own. What the queue or the file has no room for is dropped and
// counted: requests never wait for it.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "trace/tracer.hpp"

namespace heronwell::daemon {

class TraceFile {
 public:
  // `unix_offset`: Unix time less the clock of the spans. Throws std::system_error where the file can't be
  // opened.
  TraceFile(trace::Options options, std::string gateway, std::string version, Time unix_offset);
  ~TraceFile();  // writes what is waiting
  TraceFile(const TraceFile&) = delete;

  void keep(const trace::TrailPtr& trail);
  // Null where the options name no file.
  static std::unique_ptr<TraceFile> of(const trace::Options& options, const std::string& gateway,
                                       const std::string& version, Time unix_offset);
  static trace::Tracer tracer(const trace::Options& options, TraceFile* file);

  [[nodiscard]] std::uint64_t written() const { return written_; }
  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

 private:
  void write();
  void open();

  trace::Options options_;
  std::string gateway_, version_;
  Time offset_{};
  int file_ = -1;
  std::uint64_t bytes_ = 0;
  std::atomic<std::uint64_t> written_{0}, dropped_{0};
  std::mutex mutex_;
  std::condition_variable ready_;
  std::deque<trace::TrailPtr> waiting_;
  bool over_ = false;
  std::thread thread_;
};

}  // namespace heronwell::daemon
