#include "daemon/trace_file.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <system_error>

#include "trace/otlp.hpp"

namespace heronwell::daemon {

TraceFile::TraceFile(trace::Options options, std::string router, std::string version, Time unix_offset)
    : options_(std::move(options)),
      router_(std::move(router)),
      version_(std::move(version)),
      unix_offset_(unix_offset) {
  open();
  writer_ = std::thread([this] { run_writer(); });
}

TraceFile::~TraceFile() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_writer_.notify_one();
  writer_.join();
  ::close(descriptor_);
}

std::unique_ptr<TraceFile> TraceFile::create(const trace::Options& options, const std::string& router,
                                             const std::string& version, Time unix_offset) {
  if (options.file.empty()) return nullptr;
  return std::make_unique<TraceFile>(options, router, version, unix_offset);
}

trace::Tracer TraceFile::tracer(const trace::Options& options, TraceFile* file) {
  if (file == nullptr) return {options, nullptr};
  return {options, [file](const trace::TrailPtr& trail) { file->enqueue(trail); }};
}

void TraceFile::open() {
  descriptor_ = ::open(options_.file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (descriptor_ < 0) throw std::system_error(errno, std::generic_category(), options_.file);
  struct stat status {};
  file_bytes_ = ::fstat(descriptor_, &status) == 0 ? static_cast<std::uint64_t>(status.st_size) : 0;
}

void TraceFile::enqueue(const trace::TrailPtr& trail) {
  {
    const std::lock_guard lock(mutex_);
    if (queue_.size() >= options_.queue) {
      ++dropped_;
      return;
    }
    queue_.push_back(trail);
    if (queue_.size() > 1) return;  // the writer is already notified and takes the whole queue
  }
  wake_writer_.notify_one();
}

void TraceFile::run_writer() {
  std::deque<trace::TrailPtr> batch;
  std::unique_lock lock(mutex_);
  while (true) {
    wake_writer_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
    batch.swap(queue_);
    const bool last = stopping_;
    lock.unlock();
    write_batch(batch);
    batch.clear();
    lock.lock();
    if (last && queue_.empty()) return;
  }
}

void TraceFile::write_batch(const std::deque<trace::TrailPtr>& batch) {
  std::string text;
  for (const auto& trail : batch) text += trace::otlp_line(*trail, router_, version_, unix_offset_);
  if (file_bytes_ > 0 && file_bytes_ + text.size() > options_.file_bytes) rotate();
  const auto appended = append(text);
  auto& counter = appended == text.size() ? written_ : dropped_;
  counter += batch.size();
  file_bytes_ += appended;
}

void TraceFile::rotate() {
  ::close(descriptor_);
  std::rename(options_.file.c_str(), (options_.file + ".1").c_str());
  try {
    open();
  } catch (const std::system_error&) {
    descriptor_ = -1;
  }
}

std::size_t TraceFile::append(std::string_view text) {
  std::size_t done = 0;
  while (descriptor_ >= 0 && done < text.size()) {
    const auto bytes = ::write(descriptor_, text.data() + done, text.size() - done);
    if (bytes < 0 && errno == EINTR) continue;
    if (bytes <= 0) break;
    done += static_cast<std::size_t>(bytes);
  }
  return done;
}

}  // namespace heronwell::daemon
