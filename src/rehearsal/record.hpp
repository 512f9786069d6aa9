// What a stand-in saw on its sockets, a JSON object a line. Each line is written at once, so that it outlives
// a killed process; the first line says who writes, the last, where the writer ended by itself, that it is
// whole. Times are nanoseconds on the machine's monotonic clock, which all processes of a day share.
#pragma once

#include <string>
#include <string_view>

#include "base/time.hpp"

namespace heronwell::rehearsal {

class Recorder {
 public:
  Recorder() = default;  // keeps nothing
  // Appends to `path`; "": keeps nothing. Throws std::system_error.
  Recorder(const std::string& path, std::string_view role, std::string_view name, Time at);
  Recorder(const std::string& path, std::string_view role, std::string_view name);  // at this moment
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
