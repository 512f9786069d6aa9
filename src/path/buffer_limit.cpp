#include "path/buffer_limit.hpp"

#include <optional>

namespace heronwell::path {

void BufferLimit::enforce() {
  while (exceeded()) {
    const auto client = first_to_reject();
    if (!client) return;
    client->reject_incomplete_frame();
  }
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
