// BufferLimit limits the bytes that a shard buffers for all of its clients and engines together
// (buffer_account.hpp).
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
#include <optional>
#include <string>

#include "base/time.hpp"
#include "path/buffer_account.hpp"
#include "path/protocols.hpp"

namespace heronwell::path {

// Minimum time between two log lines about the limit. A burst of rejections lasts seconds; one line tells of it.
inline constexpr Time kWarningInterval = std::chrono::minutes(1);

class BufferLimit {
 public:
  // A `max_bytes` of 0 means no limit. `clients` must outlive this object.
  BufferLimit(std::size_t max_bytes, const ClientMap& clients)
      : max_bytes_(max_bytes), clients_(clients), account_(std::make_shared<BufferAccount>()) {}

  [[nodiscard]] const BufferAccountPtr& account() const { return account_; }
  [[nodiscard]] bool exceeded() const { return max_bytes_ > 0 && account_->total() > max_bytes_; }
  // Rejects incomplete frames until the limit holds, or until no client has an incomplete frame to reject.
  void enforce();
  // Counts a request that was rejected because of the limit.
  void count_rejection() { ++unreported_rejections_; }
  // Returns the details for a log line about the requests rejected since the last one, as members of a JSON
  // object: their number and the buffered bytes by kind. Returns nullopt if there are none, or if the last line
  // was less than kWarningInterval ago.
  [[nodiscard]] std::optional<std::string> take_warning(Time now);

 private:
  [[nodiscard]] std::shared_ptr<ClientProtocol> first_to_reject() const;

  std::size_t max_bytes_;
  const ClientMap& clients_;
  BufferAccountPtr account_;
  std::size_t unreported_rejections_ = 0;
  std::optional<Time> last_warning_at_;
};

}  // namespace heronwell::path
