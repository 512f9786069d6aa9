// Recorder writes what a stand-in saw on its sockets, as one JSON object per line. Each line is written at
// once, so that it is kept if the process is killed. The first line names the writer; the last line, of a
// writer that was not killed, says that the record is complete. Times are nanoseconds of the machine's
// monotonic clock, which all processes of a day share.
#pragma once

#include <string>
#include <string_view>

#include "base/time.hpp"

namespace heronwell::rehearsal {

class Recorder {
 public:
  Recorder() = default;  // writes nothing
  // Appends to `path`; "": writes nothing. Throws std::system_error.
  Recorder(const std::string& path, std::string_view role, std::string_view name, Time at);
  Recorder(const std::string& path, std::string_view role, std::string_view name);  // begins now
  ~Recorder();
  Recorder(const Recorder&) = delete;
  Recorder& operator=(const Recorder&) = delete;

  // `fields`: further members, as JSON text without braces, such as "\"id\":7"; may be empty.
  void write(Time at, std::string_view event, std::string_view fields = {});
  void write_end(Time at) { write(at, "whole"); }

 private:
  int file_ = -1;
};

Time steady_clock_now();

}  // namespace heronwell::rehearsal
