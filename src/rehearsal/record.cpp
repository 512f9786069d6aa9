#include "rehearsal/record.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace heronwell::rehearsal {

Time steady_clock_now() { return std::chrono::steady_clock::now().time_since_epoch(); }

Recorder::Recorder(const std::string& path, std::string_view role, std::string_view name)
    : Recorder(path, role, name, steady_clock_now()) {}

Recorder::Recorder(const std::string& path, std::string_view role, std::string_view name, Time at) {
  if (path.empty()) return;
  file_ = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (file_ < 0) throw std::system_error(errno, std::generic_category(), path);
  write(at, "begin", fmt::format(R"("role":"{}","name":"{}")", role, name));
}

Recorder::~Recorder() {
  if (file_ >= 0) ::close(file_);
}

void Recorder::write(Time at, std::string_view event, std::string_view fields) {
  if (file_ < 0) return;
  const auto line =
      fmt::format("{{\"t\":{},\"e\":\"{}\"{}{}}}\n", at.count(), event, fields.empty() ? "" : ",", fields);
  // One write() for each line, so that lines of several threads or of a restarted process do not mix. If the
  // disk is full, the audit finds a record that is cut short.
  if (::write(file_, line.data(), line.size()) < 0) return;
}

}  // namespace heronwell::rehearsal
