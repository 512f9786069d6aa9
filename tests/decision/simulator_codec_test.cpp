#include "bench/simulator_codec.hpp"

#include <gtest/gtest.h>

#include <initializer_list>
#include <string>

namespace heronwell::wire {
namespace {

using Frame = std::vector<std::uint8_t>;

void add(Frame& f, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) f.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
}

Frame batch(std::uint32_t records, const Frame& body) {
  Frame f;
  add(f, 20 + body.size(), 4);
  add(f, records, 4);
  add(f, 5000, 8);
  add(f, 9, 4);
  f.insert(f.end(), body.begin(), body.end());
  return f;
}

Frame hex(const std::string& text) {
  Frame f;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2)
    f.push_back(static_cast<std::uint8_t>(std::stoi(text.substr(i, 2), nullptr, 16)));
  return f;
}

const char* const kSettings =
    R"({"balancers": 3, "kinds": ["a"], "unheard-of": [1, {"x": 2}], "ceilings": {"max-attempts": 3},
        "safety": {}, "family-info": {"cpu-of-kind": [12], "width-by-class": [4]},
        "classes": [{"aim": 800000000, "give-up": 4000000000, "semantics": "safe", "bound-to": [0]}]})";

TEST(Wire, ReadsAnArrivalAfterItsContext) {
  const auto body =
      hex("8203000000"
          "1ec4913a5d0000"
          "00000000"
          "640ad2557c3bf091"
          "001c4e0e00000000"
          "001bb70000000000"
          "0000c043"
          "00003041"
          "01");
  BatchReader reader;
  const auto got = reader.read(batch(2, body));
  ASSERT_EQ(got.records.size(), 1U);
  EXPECT_EQ(got.records[0].instance, 3U);
  const auto& arrival = std::get<RequestArrived>(std::get<Event>(got.records[0].event));
  EXPECT_EQ(arrival.request, 0x5d3a91c4U);
  EXPECT_EQ(arrival.time_left, std::chrono::milliseconds(240));
  EXPECT_EQ(arrival.estimated_memory_mb, 384);
  EXPECT_EQ(arrival.data_group, 11);
  ASSERT_TRUE(arrival.estimated_work.has_value());
  EXPECT_EQ(*arrival.estimated_work, std::chrono::milliseconds(12));
}

TEST(Wire, ReadsAnEndpointListAndItsEndpoints) {
  const auto body =
      hex("7802000000"
          "02000000"
          "074a1203"
          "0000"
          "0000"
          "0000"
          "02"
          "0000803f"
          "0000000000000000"
          "f211902c"
          "0000"
          "0000"
          "0000"
          "00"
          "0000c03f"
          "009d966b01000000"
          "8203000000"
          "14"
          "02"
          "02000000"
          "29000000");
  BatchReader reader;
  const auto got = reader.read(batch(3, body));
  ASSERT_EQ(got.records.size(), 1U);
  const auto& list = std::get<EndpointUpdate>(std::get<Event>(got.records[0].event));
  EXPECT_EQ(list.kind, UpdateKind::cached);
  ASSERT_EQ(list.endpoints.size(), 2U);
  EXPECT_EQ(list.endpoints[0].engine, 0x03124a07U);
  EXPECT_EQ(list.endpoints[1].state, EndpointState::draining);
}

TEST(Wire, ReadsAnOutcomeWithItsCost) {
  const auto body =
      hex("8203000000"
          "32c4913a5d"
          "0000"
          "074a1203"
          "6400"
          "a0491a0100000000"
          "01"
          "60100100"
          "00");
  BatchReader reader;
  const auto got = reader.read(batch(2, body));
  const auto& outcome = std::get<AttemptFinished>(std::get<Event>(got.records[0].event));
  EXPECT_EQ(outcome.result, AttemptResult::served);
  EXPECT_TRUE(outcome.request_finished);
  EXPECT_EQ(*outcome.work, std::chrono::milliseconds(17));
  EXPECT_EQ(outcome.memory_mb, 4.0 * 0x060);
}

TEST(Wire, EveryTruncationOfARecordIsRefused) {
  const auto body =
      hex("8203000000"
          "32c4913a5d"
          "0000"
          "074a1203"
          "6400"
          "a0491a0100000000"
          "01"
          "60100100"
          "00");
  for (std::size_t cut = 0; cut < body.size(); ++cut) {
    BatchReader reader;
    const Frame part(body.begin(), body.begin() + static_cast<std::ptrdiff_t>(cut));
    EXPECT_THROW((void)reader.read(batch(2, part)), Malformed) << cut;
  }
}

TEST(Wire, RefusesWhatItDoesNotKnow) {
  const auto refused = [](std::uint32_t records, const std::string& text) {
    BatchReader reader;
    EXPECT_THROW((void)reader.read(batch(records, hex(text))), Malformed) << text;
  };
  refused(2,
          "8203000000"
          "07");             // event code
  refused(1, "4600000000");  // no context
  refused(1,
          "7810000000"
          "00000000");  // list number
  refused(2,
          "8203000000"
          "14"
          "01"
          "05000000"
          "00000000");  // a list never told
  refused(1,
          "7800000000"
          "ffffffff");  // absurd count
  refused(1,
          "8203000000"
          "00");  // bytes left over
  refused(2,
          "8203000000"
          "0a"
          "0000000000000000"
          "ffffffff");  // settings past the frame
  BatchReader reader;
  Frame cut = batch(0, {});
  cut.pop_back();
  EXPECT_THROW((void)reader.read(cut), Malformed);
  EXPECT_THROW((void)frame_length(hex("ffffffff")), Malformed);
  EXPECT_THROW((void)frame_length(hex("0300")), Malformed);
}

TEST(Wire, WritesWhatThePageShows) {
  ReplyWriter writer;
  writer.begin_instance(3);
  writer.add_action(StartAttempt{0x5d3a91c4, 0x03124a07, Time(0x01fa2d7390)});
  EXPECT_EQ(writer.finish(12), hex("22000000"
                                   "02000000"
                                   "0c000000"
                                   "5a03000000"
                                   "64c4913a5d"
                                   "90732dfa01000000"
                                   "074a1203"));
}

TEST(SettingsText, UnknownKeysAreIgnoredAndTheRestIsRead) {
  const auto s = parse_settings(kSettings);
  EXPECT_EQ(s.router_count, 3U);
  EXPECT_EQ(s.machine_types[0].cores, 12);
  EXPECT_EQ(s.classes[0].threads, 4U);
  EXPECT_EQ(s.classes[0].latency_objective, std::chrono::milliseconds(800));
  ASSERT_TRUE(s.classes[0].allowed_machine_types.has_value());
  EXPECT_FALSE(s.retry_budget.has_value());
}

TEST(SettingsText, BadOnesAreRefusedByName) {
  EXPECT_THROW((void)parse_settings("{"), Malformed);
  EXPECT_THROW((void)parse_settings("[]"), Malformed);
  std::string text = kSettings;
  text.replace(text.find("balancers"), 9, "balancerz");
  try {
    (void)parse_settings(text);
    FAIL();
  } catch (const Malformed& error) {
    EXPECT_NE(std::string(error.what()).find("balancers"), std::string::npos);
  }
  text = kSettings;
  text.replace(text.find("\"safe\""), 6, "\"what\"");
  EXPECT_THROW((void)parse_settings(text), Malformed);
  text = kSettings;
  text.replace(text.find("800000000"), 9, "\"soon\"   ");
  EXPECT_THROW((void)parse_settings(text), Malformed);
  text = kSettings;
  text.insert(text.find('{') + 1, R"("report": {"how": "pull", "fields": [7]}, )");
  EXPECT_THROW((void)parse_settings(text), Malformed);
}

}  // namespace
}  // namespace heronwell::wire
