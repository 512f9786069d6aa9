// Encodes and decodes the simulator's protocol: the simulator sends batches of events and receives replies
// with actions. All numbers are little-endian; the numbers after the field names below are sizes in bytes.
//
//   batch  = length:4 records:4 now:8 sequence:4, then the records; a record is a code:1 and its fields
//   reply  = length:4 records:4 sequence:4, then the records
//
// `length` is the size of the complete frame. A record belongs to the router instance of the last instance
// record before it. An endpoint list is sent once with a number, and later records refer to it by that
// number. Only simulator_codec.cpp maps the simulator's names and codes to heronwell's, and only
// site/settings.cpp maps its settings.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "heronwell/decision_engine.hpp"
#include "site/settings.hpp"

namespace heronwell::wire {

using site::Malformed;
using site::parse_settings;

// A router instance starts or restarts.
struct Start {
  std::uint64_t seed = 0;
  Settings settings;
};
// A router instance ends without a shutdown, like a killed process.
struct Stop {};
using SimulatorEvent = std::variant<Start, Stop, Event>;

struct Record {
  std::uint32_t instance = 0;
  SimulatorEvent event;
};

struct Batch {
  Time now{};
  std::uint32_t sequence = 0;
  std::vector<Record> records;
};

inline constexpr std::size_t kLengthBytes = 4;
inline constexpr std::size_t kHeaderBytes = 20;                      // of a batch
inline constexpr std::size_t kMaxFrameBytes = std::size_t{1} << 30;  // a larger length is corrupt

// Returns the size of a complete frame in bytes from its first kLengthBytes bytes. Throws Malformed if it is
// out of range.
[[nodiscard]] std::size_t frame_length(std::span<const std::uint8_t> first_bytes);

class FrameBytes;

// Reads batches and stores the numbered endpoint lists, which all instances share.
class BatchReader {
 public:
  // `frame`: a complete frame, including its length. Throws Malformed with the reason.
  [[nodiscard]] Batch read(std::span<const std::uint8_t> frame);

 private:
  static constexpr std::size_t kMaxLists = 16;  // the protocol numbers lists from 0 to 15

  [[nodiscard]] SimulatorEvent read_event(std::uint8_t code, FrameBytes& in) const;
  void read_endpoint_list(FrameBytes& in);
  [[nodiscard]] EndpointUpdate read_endpoint_update(FrameBytes& in) const;

  std::array<std::optional<std::vector<Endpoint>>, kMaxLists> lists_;
};

// Builds the reply to one batch from the actions of its instances.
class ReplyWriter {
 public:
  void begin_instance(std::uint32_t id);  // the actions added next belong to this instance
  void add_action(const Action& action);
  [[nodiscard]] std::vector<std::uint8_t> finish(std::uint32_t sequence);

 private:
  std::vector<std::uint8_t> body_;
  std::uint32_t records_ = 0;
};

}  // namespace heronwell::wire
