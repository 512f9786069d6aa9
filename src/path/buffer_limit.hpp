// BufferLimit limits the bytes that a shard buffers for all of its clients together: incomplete frames, the
// statements of open requests, and responses that the clients have not read yet.
//
// Without it, many clients that each stay within the limits of one connection can together exhaust the memory
// of the process, and the operating system kills the process. While the limit is exceeded, the shard admits
// no further request and closes a client that has much data buffered. It continues to serve the others.
#pragma once

#include <cstddef>

namespace heronwell::path {

class BufferLimit {
 public:
  // A `max_bytes` of 0 means no limit. HTTP clients use 0, because each HTTP connection has its own limits.
  explicit BufferLimit(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Updates the total for one client: `before` is the size that it reported last, `now` its size in bytes
  // now.
  void account(std::size_t before, std::size_t now) { buffered_bytes_ = buffered_bytes_ - before + now; }
  [[nodiscard]] bool exceeded() const { return max_bytes_ > 0 && buffered_bytes_ > max_bytes_; }

 private:
  std::size_t max_bytes_, buffered_bytes_ = 0;
};

}  // namespace heronwell::path
