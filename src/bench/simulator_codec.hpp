// The simulator's protocol: batches of events in, replies with actions out. No decisions. All numbers are
// little-endian.
//
//   batch  = length:4 records:4 now:8 sequence:4, then the records; a record is a code:1 and its fields
//   reply  = length:4 records:4 sequence:4, then the records
//
// `length` counts the complete frame. A record belongs to the router instance that the last instance record
// before it names. Endpoint lists are sent once under a number and referred to by it. The simulator's names
// and codes are mapped to ours in simulator_codec.cpp, its settings in site/settings.cpp, and nowhere else.
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

// A router instance begins, or begins anew.
struct Start {
  std::uint64_t seed = 0;
  Settings settings;
};
// A router instance ends without a word, as a killed process does.
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
inline constexpr std::size_t kMaxFrameBytes = std::size_t{1} << 30;  // a length beyond it is damage

// Of a complete frame in bytes, from its first kLengthBytes. Throws Malformed where it is out of range.
[[nodiscard]] std::size_t frame_length(std::span<const std::uint8_t> first_bytes);

class FrameBytes;

// Reads batches, and remembers the numbered endpoint lists, which belong to no instance.
class BatchReader {
 public:
  // `frame`: complete, with its length. Throws Malformed, naming what is wrong.
  [[nodiscard]] Batch read(std::span<const std::uint8_t> frame);

 private:
  static constexpr std::size_t kMaxLists = 16;  // numbers 0 to 15, by the protocol

  [[nodiscard]] SimulatorEvent read_event(std::uint8_t code, FrameBytes& in) const;
  void read_endpoint_list(FrameBytes& in);
  [[nodiscard]] EndpointUpdate read_endpoint_update(FrameBytes& in) const;

  std::array<std::optional<std::vector<Endpoint>>, kMaxLists> lists_;
};

// Collects the actions of one batch's instances into its reply.
class ReplyWriter {
 public:
  void begin_instance(std::uint32_t id);  // the actions that follow are of this one
  void add_action(const Action& action);
  [[nodiscard]] std::vector<std::uint8_t> finish(std::uint32_t sequence);

 private:
  std::vector<std::uint8_t> body_;
  std::uint32_t records_ = 0;
};

}  // namespace heronwell::wire
