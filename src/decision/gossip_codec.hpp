// encode() and decode() convert gossip messages between routers to and from bytes. Numbers are little-endian.
// A message consists of
//   'o', then for each engine its id (4 bytes) and the sender's own threads on it (1 byte), or
//   'r', the sender's own threads on all engines and its requests per second in 16ths (2 bytes each), then
//        for each load report the engine (4 bytes), its threads per core in 32nds (1 byte) and the age of the
//        report in ticks of 20 ms (1 byte).
// Text with any other length or first byte is not a message and is ignored as a whole.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "heronwell/decision_engine.hpp"

namespace heronwell {

enum class GossipKind { own_threads, load_reports };

struct GossipEntry {
  EngineId engine = 0;
  unsigned value = 0;      // own threads, or threads per core in 32nds
  unsigned age_ticks = 0;  // age of a load report
};

struct GossipMessage {
  GossipKind kind = GossipKind::own_threads;
  unsigned threads = 0;                  // the sender's own threads on all engines; with load reports only
  unsigned requests_per_16_seconds = 0;  // the sender's arrival rate; with load reports only
  std::vector<GossipEntry> entries;
};

// Leaves out the entries that do not fit into 256 bytes, and clamps numbers to the largest value of their
// field.
std::string encode(const GossipMessage& message);
// Returns nothing if `bytes` is not a well-formed message.
std::optional<GossipMessage> decode(const std::string& bytes);

}  // namespace heronwell
