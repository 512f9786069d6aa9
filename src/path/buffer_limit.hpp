// BufferLimit limits the bytes that a shard buffers for all of its clients together: incomplete frames, the
// statements of open requests, and responses that the clients have not read yet.
//
// Without it, many clients that each stay within the limits of one connection can together exhaust the memory
// of the process, and the operating system kills the process. While the limit is exceeded, the shard admits
// no further request, and incomplete frames are rejected until the limit holds again.
//
// Failure: clients that send incomplete frames fill the buffers; the connection of another client that sends
// a frame just then is closed, and its open requests are never answered. Guard: only the incomplete frame is
// rejected, on its own stream, and the rest of it is discarded as it arrives. The connection stays open. The
// frames of clients without open requests are rejected first, and among these the one that began first: a
// client that sends at a usual speed completes its frame long before it becomes the oldest.
#pragma once

#include <cstddef>

#include "path/protocols.hpp"

namespace heronwell::path {

class BufferLimit {
 public:
  // A `max_bytes` of 0 means no limit. HTTP clients use 0, because each HTTP connection has its own limits.
  // `clients` must outlive this object.
  BufferLimit(std::size_t max_bytes, const ClientMap& clients) : max_bytes_(max_bytes), clients_(clients) {}

  // Updates the total for one client: `before` is the size that it reported last, `now` its size in bytes
  // now.
  void account(std::size_t before, std::size_t now) { buffered_bytes_ = buffered_bytes_ - before + now; }
  [[nodiscard]] bool exceeded() const { return max_bytes_ > 0 && buffered_bytes_ > max_bytes_; }
  // Rejects incomplete frames until the limit holds, or until no client has an incomplete frame to reject.
  // Must not be called while a client parses its input.
  void enforce();

 private:
  [[nodiscard]] std::shared_ptr<ClientProtocol> first_to_reject() const;

  std::size_t max_bytes_, buffered_bytes_ = 0;
  const ClientMap& clients_;
};

}  // namespace heronwell::path
