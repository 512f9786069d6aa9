// Begins trails, chooses which are kept and writes them to a file on a thread of its own. What the queue or
// the file has no room for is dropped and counted: requests never wait for it.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

#include "trace/trail.hpp"

namespace heronwell::trace {

struct Options {
  std::string file;                      // empty: off
  double sample = 0;                     // part of all requests that is kept
  bool keep_trouble = true;              // refused, failed, late and retried ones as well
  std::size_t queue = 4096;              // trails waiting to be written
  std::uint64_t file_bytes = 256 << 20;  // then it becomes FILE.1, in place of the one before
  bool comment = false;                  // statements carry traceparent in a comment, as sqlcommenter has it
};

class Tracer {
 public:
  // `unix_offset`: Unix time less the clock of the spans. Throws std::system_error where the file can't be
  // opened.
  Tracer(Options options, std::string gateway, std::string version, Time unix_offset);
  ~Tracer();  // writes what is waiting

  [[nodiscard]] bool on() const { return !options_.file.empty(); }
  [[nodiscard]] const Options& options() const { return options_; }
  // Null: nothing of this request can be kept. `traceparent`: as it came, or empty.
  TrailPtr begin(std::string_view traceparent, std::uint64_t drawn_high, std::uint64_t drawn_low) const;
  void finish(const TrailPtr& trail);

  [[nodiscard]] std::uint64_t written() const { return written_; }
  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

 private:
  void write();
  void open();

  Options options_;
  std::string gateway_, version_;
  Time offset_{};
  int file_ = -1;
  std::uint64_t bytes_ = 0;
  std::atomic<std::uint64_t> written_{0}, dropped_{0};
  std::mutex mutex_;
  std::condition_variable ready_;
  std::deque<TrailPtr> waiting_;
  bool over_ = false;
  std::thread thread_;
};

}  // namespace heronwell::trace
