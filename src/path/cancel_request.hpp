// CancelRequest sends the CancelRequest message of the PostgreSQL protocol. The protocol requires a separate
// connection for it; the message identifies the connection whose statement the engine must cancel. The engine
// closes the separate connection after it has read the message and does not report the outcome. A lost
// message is not repeated, because the cancelled connection has a timeout (`engines.cancel_wait`).
#pragma once

#include <memory>
#include <string>

#include "path/shard.hpp"

namespace heronwell::path {

class CancelRequest final : public std::enable_shared_from_this<CancelRequest>, public StreamObserver {
 public:
  // `process` and `secret` identify the connection to cancel (BackendKeyData of its start-up).
  CancelRequest(Shard& shard, std::uint64_t number, std::uint32_t process, std::uint32_t secret);
  // Connects to the engine at `address` and sends the message. Must be called once.
  void dial(const config::Address& address);
  void close();

  void on_connected() override;
  void on_data(std::string_view bytes) override;
  void on_writable() override;
  void on_closed(bool broken) override;

 private:
  Shard& shard_;
  std::uint64_t number_;
  std::string write_buffer_;
  StreamPtr stream_;
  TimerPtr timer_;
};

}  // namespace heronwell::path
