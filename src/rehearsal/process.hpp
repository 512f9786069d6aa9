// Process is a child process of a day. Its owner writes to its standard input, reads its standard output and
// sends it signals; it does not outlive its owner.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "base/time.hpp"

namespace heronwell::rehearsal {

class Process {
 public:
  Process() = default;
  // Starts a program; its standard error goes to `log` (appended). Throws std::system_error.
  Process(const std::vector<std::string>& arguments, const std::string& log);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process();  // kills it if it still runs
  Process(Process&& other) noexcept;
  Process& operator=(Process&& other) noexcept;

  // Returns the next line of its standard output; throws std::runtime_error if the output ends or after
  // `longest`.
  std::string read_line(Time longest);
  void write_line(const std::string& line);  // to its standard input
  void signal(int number);
  int wait();               // returns its exit code; 128 + signal if killed
  bool wait(Time longest);  // false: it still runs
  [[nodiscard]] pid_t id() const { return pid_; }

 private:
  void terminate();
  pid_t pid_ = -1;
  int in_ = -1, out_ = -1, code_ = -1;
  std::string buffer_, name_;  // name_: for error messages
};

}  // namespace heronwell::rehearsal
