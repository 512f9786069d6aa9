// Begins trails and chooses which are kept. Where they are kept is the sink's business: the daemon's writes a
// file (daemon/trace_file.hpp). No I/O and no clock.
#pragma once

#include <functional>
#include <string>

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
  // Called by any thread, for each trail that is kept, when it is finished.
  using Sink = std::function<void(const TrailPtr&)>;
  // Without a sink it is off.
  Tracer(Options options, Sink sink) : options_(std::move(options)), sink_(std::move(sink)) {}

  [[nodiscard]] bool on() const { return sink_ != nullptr; }
  [[nodiscard]] const Options& options() const { return options_; }
  // Null: nothing of this request can be kept. `traceparent`: as it came, or empty.
  [[nodiscard]] TrailPtr begin(std::string_view traceparent, std::uint64_t drawn_high,
                               std::uint64_t drawn_low) const;
  void finish(const TrailPtr& trail) const;

 private:
  Options options_;
  Sink sink_;
};

}  // namespace heronwell::trace
