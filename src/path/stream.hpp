// Stream is the interface to a byte stream to another process. The daemon implements it with sockets; the
// explorer and the emulator have their own implementations.
//
// A stream never calls its observer from within a call to the stream. Otherwise a connection could be
// re-entered and its state changed while it is still calling the stream. Actions that must happen later are
// scheduled with ShardEnvironment::defer().
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace heronwell::path {

// StreamObserver receives the events of a stream. All calls are made on the thread of the shard, one at a
// time, never from within a call to the stream, and never after close().
class StreamObserver {
 public:
  virtual ~StreamObserver() = default;
  // A stream that was dialled is established. Called before all others.
  virtual void on_connected() {}
  // `bytes` is never empty. Called only while reading is enabled.
  virtual void on_data(std::string_view bytes) = 0;
  // Called once after each notify_when_writable().
  virtual void on_writable() = 0;
  // `broken` is true if no data can pass in either direction (reset, unreachable). Otherwise the peer sends
  // no more data, but may still read. Called only while reading is enabled, or while a dial or
  // notify_when_writable() is pending.
  virtual void on_closed(bool broken) = 0;
};

// Why a stream that was dialled was closed before it was connected.
enum class DialFailure : std::uint8_t {
  unknown,
  refused,  // by the remote machine: no process listens at the address
  local     // no local descriptor or port is available; the state of the remote end is unknown
};

// No call blocks.
class Stream {
 public:
  virtual ~Stream() = default;
  virtual void attach(std::weak_ptr<StreamObserver> observer) = 0;
  // Writes the pieces in order, as far as there is buffer space, and returns the number of bytes written.
  // Returns 0 if there is no buffer space at present, and nullopt if the stream can't be written to any more.
  virtual std::optional<std::size_t> write(std::span<const std::string_view> pieces) = 0;
  // Requests one call of on_writable() as soon as there is buffer space again.
  virtual void notify_when_writable() = 0;
  // Enables or disables reading, which is disabled initially.
  virtual void set_reading(bool on) = 0;
  // Returns whether there is nothing to read, neither bytes nor the end of the stream.
  [[nodiscard]] virtual bool nothing_to_read() = 0;
  // Returns the number of bytes that have arrived and are unread.
  [[nodiscard]] virtual std::size_t unread_bytes() = 0;
  // Sends the end of the stream after the data that was written.
  virtual void shut_down_writing() = 0;
  // If `reset` is true, data that is not delivered yet is discarded, and the peer sees a connection reset
  // instead of an end of the stream.
  virtual void close(bool reset) = 0;
  [[nodiscard]] virtual DialFailure dial_failure() const { return DialFailure::unknown; }
};
using StreamPtr = std::shared_ptr<Stream>;

// Writes as much of `out` as there is buffer space for and removes it from the front of `out`. If data is
// left, requests a notification and sets `awaiting_writable`. Returns false if the stream can't be written to
// any more.
inline bool flush(Stream& stream, std::string& out, bool& awaiting_writable) {
  while (!out.empty() && !awaiting_writable) {
    const std::string_view unwritten = out;
    const auto written = stream.write({&unwritten, 1});
    if (!written) return false;
    out.erase(0, *written);
    if (*written > 0) continue;
    awaiting_writable = true;
    stream.notify_when_writable();
  }
  return true;
}

}  // namespace heronwell::path
