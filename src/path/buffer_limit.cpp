#include "path/buffer_limit.hpp"

#include <fmt/format.h>

#include <optional>
#include <utility>

namespace heronwell::path {

void BufferLimit::enforce() {
  while (exceeded()) {
    const auto client = first_to_reject();
    if (!client) return;
    client->reject_incomplete_frame();
  }
}

std::optional<std::string> BufferLimit::take_warning(Time now) {
  if (unreported_rejections_ == 0 || (last_warning_at_ && now < *last_warning_at_ + kWarningInterval))
    return std::nullopt;
  last_warning_at_ = now;
  auto details =
      fmt::format(R"("rejected":{},"limit_bytes":{})", std::exchange(unreported_rejections_, 0), max_bytes_);
  for (std::size_t i = 0; i < kBufferKindCount; ++i) {
    const auto kind = static_cast<BufferKind>(i);
    details += fmt::format(R"(,"{}_bytes":{})", name_of(kind), account_->bytes(kind));
  }
  return details;
}

std::shared_ptr<ClientProtocol> BufferLimit::first_to_reject() const {
  std::optional<ClientProtocol::IncompleteFrame> first_frame;
  std::shared_ptr<ClientProtocol> first;
  for (const auto& [number, client] : clients_) {
    const auto frame = client->incomplete_frame();
    if (!frame || (first_frame && *first_frame <= *frame)) continue;
    first_frame = frame;
    first = client;
  }
  return first;
}

}  // namespace heronwell::path
