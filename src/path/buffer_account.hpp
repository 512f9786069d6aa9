// BufferAccount counts the bytes that one shard buffers, by kind. Each owner of buffers holds a BufferedBytes and
// keeps it up to date; when the owner is destroyed, its bytes leave the account.
//
// Failure: the size of a string is counted, but the process holds its capacity, which is larger after the string
// has grown or shrunk. A limit on counted bytes is then kept while the process exceeds its memory several times
// and is killed. Guard: owners report capacities, and release capacity that they do not need.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <numeric>
#include <string>
#include <string_view>
#include <utility>

namespace heronwell::path {

enum class BufferKind : std::uint8_t {
  client_input,   // frames that have not arrived completely
  statements,     // of requests and attempts, until the last of them needs it no longer
  client_output,  // responses that clients have not read
  engine_output,  // calls that are not written completely
  engine_input    // responses of engines, and results until they are passed on
};
inline constexpr std::size_t kBufferKindCount = 5;
// The name of the kind in metrics and log lines.
std::string_view name_of(BufferKind kind);

class BufferAccount {
 public:
  // An owner that held `before` bytes now holds `now`.
  void change(BufferKind kind, std::size_t before, std::size_t now) {
    auto& bytes = bytes_[static_cast<std::size_t>(kind)];
    bytes = bytes - before + now;
  }
  [[nodiscard]] std::size_t bytes(BufferKind kind) const { return bytes_[static_cast<std::size_t>(kind)]; }
  [[nodiscard]] std::size_t total() const {
    return std::accumulate(bytes_.begin(), bytes_.end(), std::size_t{0});
  }

 private:
  std::array<std::size_t, kBufferKindCount> bytes_{};
};
using BufferAccountPtr = std::shared_ptr<BufferAccount>;

// The bytes that one owner holds. A default-constructed object counts nothing.
class BufferedBytes {
 public:
  BufferedBytes() = default;
  BufferedBytes(BufferAccountPtr account, BufferKind kind) : account_(std::move(account)), kind_(kind) {}
  BufferedBytes(const BufferedBytes&) = delete;
  BufferedBytes& operator=(const BufferedBytes&) = delete;
  BufferedBytes(BufferedBytes&& other) noexcept { swap(other); }
  BufferedBytes& operator=(BufferedBytes&& other) noexcept {
    BufferedBytes moved(std::move(other));
    swap(moved);
    return *this;
  }
  ~BufferedBytes() { set(0); }

  void set(std::size_t bytes) {
    if (!account_) return;
    account_->change(kind_, bytes_, bytes);
    bytes_ = bytes;
  }

 private:
  void swap(BufferedBytes& other) noexcept {
    std::swap(account_, other.account_);
    std::swap(kind_, other.kind_);
    std::swap(bytes_, other.bytes_);
  }

  BufferAccountPtr account_;
  BufferKind kind_ = BufferKind::client_input;
  std::size_t bytes_ = 0;
};

// Capacity that an idle owner keeps in a buffer. A message of typical size fits into it.
inline constexpr std::size_t kMaxIdleBufferBytes = 4 << 10;

// Releases capacity of `buffer` beyond twice what it holds. Twice, so that a buffer that grows by appending is not
// copied at each step.
inline void release_unused(std::string& buffer) {
  if (buffer.capacity() > kMaxIdleBufferBytes && buffer.capacity() > 2 * buffer.size())
    buffer.shrink_to_fit();
}

}  // namespace heronwell::path
