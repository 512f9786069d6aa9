#include "daemon/trace_file.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <system_error>

namespace heronwell::daemon {

TraceFile::TraceFile(trace::Options options, std::string gateway, std::string version, Time unix_offset)
    : options_(std::move(options)),
      gateway_(std::move(gateway)),
      version_(std::move(version)),
      offset_(unix_offset) {
  open();
  thread_ = std::thread([this] { write(); });
}

TraceFile::~TraceFile() {
  {
    const std::lock_guard lock(mutex_);
    over_ = true;
  }
  ready_.notify_one();
  thread_.join();
  ::close(file_);
}

void TraceFile::open() {
  file_ = ::open(options_.file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (file_ < 0) throw std::system_error(errno, std::generic_category(), options_.file);
  struct stat now {};
  bytes_ = ::fstat(file_, &now) == 0 ? static_cast<std::uint64_t>(now.st_size) : 0;
}

std::unique_ptr<TraceFile> TraceFile::of(const trace::Options& options, const std::string& gateway,
                                         const std::string& version, Time unix_offset) {
  return options.file.empty() ? nullptr : std::make_unique<TraceFile>(options, gateway, version, unix_offset);
}

trace::Tracer TraceFile::tracer(const trace::Options& options, TraceFile* file) {
  if (file == nullptr) return {options, nullptr};
  return {options, [file](const trace::TrailPtr& trail) { file->keep(trail); }};
}

void TraceFile::keep(const trace::TrailPtr& trail) {
  {
    const std::lock_guard lock(mutex_);
    if (waiting_.size() >= options_.queue) {
      ++dropped_;
      return;
    }
    waiting_.push_back(trail);
    if (waiting_.size() > 1) return;  // the writer is awake, or was called
  }
  ready_.notify_one();
}

void TraceFile::write() {
  std::deque<trace::TrailPtr> taken;
  std::unique_lock lock(mutex_);
  while (true) {
    ready_.wait(lock, [this] { return over_ || !waiting_.empty(); });
    taken.swap(waiting_);
    const bool last = over_;
    lock.unlock();
    std::string out;
    for (const auto& trail : taken) out += trace::otlp_line(*trail, gateway_, version_, offset_);
    if (bytes_ > 0 && bytes_ + out.size() > options_.file_bytes) {
      ::close(file_);
      std::rename(options_.file.c_str(), (options_.file + ".1").c_str());
      try {
        open();
      } catch (const std::system_error&) {
        file_ = -1;
      }
    }
    std::size_t done = 0;
    while (file_ >= 0 && done < out.size()) {
      const auto wrote = ::write(file_, out.data() + done, out.size() - done);
      if (wrote < 0 && errno == EINTR) continue;
      if (wrote <= 0) break;
      done += static_cast<std::size_t>(wrote);
    }
    (done == out.size() ? written_ : dropped_) += taken.size();
    bytes_ += done;
    taken.clear();
    lock.lock();
    if (last && waiting_.empty()) return;
  }
}

}  // namespace heronwell::daemon
