// TraceFile writes the traces of finished requests (trails) to a file as OTLP JSON lines, on its own thread.
//
// Requests never wait for the file: trails are put into a queue of at most trace.queue entries. Trails that
// do not fit into the queue or cannot be written are dropped and counted. A file that would exceed
// trace.file_bytes is renamed to FILE.1, which replaces the previous FILE.1, so that traces occupy about
// twice that size on disk.
//
// Threads: enqueue() may be called from any thread; only the writer's thread uses the file. The destructor
// waits until the writer has written the queue and ended.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include "trace/tracer.hpp"

namespace heronwell::daemon {

class TraceFile {
 public:
  // `router` and `version` identify the sender in each line. `unix_offset` is Unix time minus the clock of
  // the spans. Throws std::system_error if the file cannot be opened.
  TraceFile(trace::Options options, std::string router, std::string version, Time unix_offset);
  ~TraceFile();
  TraceFile(const TraceFile&) = delete;
  TraceFile& operator=(const TraceFile&) = delete;

  // Returns null if the options have no file.
  static std::unique_ptr<TraceFile> create(const trace::Options& options, const std::string& router,
                                           const std::string& version, Time unix_offset);
  // Returns a tracer that writes to `file`, which must outlive it. If `file` is null, the tracer is off.
  static trace::Tracer tracer(const trace::Options& options, TraceFile* file);

  void enqueue(const trace::TrailPtr& trail);

  [[nodiscard]] std::uint64_t written() const { return written_; }
  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

 private:
  void open();
  void run_writer();
  void write_batch(const std::deque<trace::TrailPtr>& batch);
  void rotate();
  // Returns the number of bytes written, which is less than the size of `text` if the disk is full or the
  // file could not be opened.
  std::size_t append(std::string_view text);

  trace::Options options_;
  std::string router_;
  std::string version_;
  Time unix_offset_{};
  int descriptor_ = -1;           // -1: could not be opened; trails are dropped until the next rotation
  std::uint64_t file_bytes_ = 0;  // current size of the file
  std::atomic<std::uint64_t> written_{0};  // trails
  std::atomic<std::uint64_t> dropped_{0};  // trails
  std::mutex mutex_;                       // guards queue_ and stopping_
  std::condition_variable wake_writer_;
  std::deque<trace::TrailPtr> queue_;
  bool stopping_ = false;
  std::thread writer_;
};

}  // namespace heronwell::daemon
