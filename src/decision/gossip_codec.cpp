#include "gossip_codec.hpp"

#include <algorithm>

namespace heronwell {
namespace {
// Longest message that a peer accepts; it fits into one small datagram.
constexpr std::size_t kMaxMessageBytes = 256;

void append_number(std::string& bytes, unsigned value, int size) {
  for (; size > 0; --size) {
    bytes.push_back(static_cast<char>(value & 0xff));
    value >>= 8;
  }
}

unsigned read_number(const std::string& bytes, std::size_t at, std::size_t size) {
  unsigned value = 0;
  while (size-- > 0) value = value << 8 | static_cast<unsigned char>(bytes[at + size]);
  return value;
}
}  // namespace

std::string encode(const GossipMessage& message) {
  const bool has_reports = message.kind == GossipKind::load_reports;
  std::string bytes = has_reports ? "r" : "o";
  if (has_reports) {
    append_number(bytes, std::min(message.threads, 0xffffU), 2);
    append_number(bytes, std::min(message.requests_per_16_seconds, 0xffffU), 2);
  }
  for (const auto& entry : message.entries) {
    if (bytes.size() + 6 > kMaxMessageBytes) break;
    append_number(bytes, entry.engine, 4);
    append_number(bytes, std::min(entry.value, 0xffU), 1);
    if (has_reports) append_number(bytes, std::min(entry.age_ticks, 0xffU), 1);
  }
  return bytes;
}

std::optional<GossipMessage> decode(const std::string& bytes) {
  const bool has_reports = !bytes.empty() && bytes[0] == 'r';
  const bool is_known = has_reports || (!bytes.empty() && bytes[0] == 'o');
  const std::size_t header_size = has_reports ? 5 : 1;
  const std::size_t entry_size = has_reports ? 6 : 5;
  if (!is_known || bytes.size() > kMaxMessageBytes || bytes.size() < header_size ||
      (bytes.size() - header_size) % entry_size != 0)
    return std::nullopt;
  GossipMessage message;
  if (has_reports) {
    message.kind = GossipKind::load_reports;
    message.threads = read_number(bytes, 1, 2);
    message.requests_per_16_seconds = read_number(bytes, 3, 2);
  }
  for (std::size_t i = header_size; i < bytes.size(); i += entry_size)
    message.entries.push_back({read_number(bytes, i, 4), read_number(bytes, i + 4, 1),
                               has_reports ? read_number(bytes, i + 5, 1) : 0});
  return message;
}

}  // namespace heronwell
