// Tracer creates the trail of each request and decides which trails are written. A sink writes them; the
// daemon's sink appends to a file (daemon/trace_file.hpp). The tracer does no I/O and reads no clock.
//
// A trail is written if its trace is sampled, or if the request was rejected, failed, late or retried and
// trace.keep_trouble is on. The caller's traceparent decides whether a trace is sampled; without a valid one
// head sampling decides.
#pragma once

#include <functional>
#include <string>

#include "trace/trail.hpp"

namespace heronwell::trace {

// The `trace` section of the configuration.
struct Options {
  std::string file;          // empty: tracing is off
  double sample = 0;         // fraction of requests that are sampled, 0 to 1
  bool keep_trouble = true;  // also write rejected, failed, late and retried requests
  std::size_t queue = 4096;  // capacity for trails to be written: some seconds of a busy router's samples
  std::uint64_t file_bytes = 256 << 20;  // size at which the file is renamed to FILE.1, replacing the older
  bool comment = false;  // append traceparent to statements as a comment in sqlcommenter format
};

class Tracer {
 public:
  // Called for each trail to be written, on the thread that calls finish(), which may be any thread.
  using Sink = std::function<void(const TrailPtr&)>;
  // Tracing is off if `sink` is null.
  Tracer(Options options, Sink sink) : options_(std::move(options)), sink_(std::move(sink)) {}

  [[nodiscard]] bool on() const { return sink_ != nullptr; }
  [[nodiscard]] const Options& options() const { return options_; }
  // Returns a trail for a new request, or null if the request's trail could not be written whatever its
  // outcome. `traceparent` is the received header field or empty. `random_high` and `random_low` are random
  // numbers; they become the trace id if `traceparent` is not valid.
  [[nodiscard]] TrailPtr begin(std::string_view traceparent, std::uint64_t random_high,
                               std::uint64_t random_low) const;
  // Ends a request: passes its trail to the sink or drops it. `trail` must not be null.
  void finish(const TrailPtr& trail) const;

 private:
  Options options_;
  Sink sink_;
};

}  // namespace heronwell::trace
