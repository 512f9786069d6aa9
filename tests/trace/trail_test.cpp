#include "trace/trail.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "daemon/trace_file.hpp"
#include "trace/otlp.hpp"
#include "trace/timeline.hpp"
#include "trace/tracer.hpp"

namespace heronwell::trace {
namespace {

using namespace std::chrono_literals;

TEST(TraceparentTest, AcceptsValidFieldsAndRejectsInvalidOnes) {
  const std::string good = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  const auto context = read_traceparent(good);
  ASSERT_TRUE(context);
  EXPECT_EQ(context->trace.hex(), "0af7651916cd43dd8448eb211c80319c");
  EXPECT_EQ(hex(context->parent), "b7ad6b7169203331");
  EXPECT_TRUE(context->sampled);
  EXPECT_EQ(traceparent(context->trace, context->parent, true), good);
  EXPECT_FALSE(read_traceparent("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00")->sampled);
  EXPECT_TRUE(read_traceparent("cc-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-03-what-comes"))
      << "fields of later versions may be longer";
  for (const auto* bad : {"", "00", "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                          "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
                          "00-00000000000000000000000000000000-b7ad6b7169203331-01",
                          "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
                          "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-more",
                          "cc-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01more",
                          "00-0af7651916cd43dd8448eb211c80319g-b7ad6b7169203331-01",
                          "00_0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"})
    EXPECT_FALSE(read_traceparent(bad)) << bad;
}

TEST(HeadTest, SamplesTheGivenFractionByTraceIdAlone) {
  std::size_t sampled = 0;
  Trail trail({}, 1);
  for (int i = 0; i < 10'000; ++i) {
    const TraceId id{trail.fresh(), trail.fresh()};
    sampled += head_samples(id, 0.1) ? 1 : 0;
    EXPECT_FALSE(head_samples(id, 0));
    EXPECT_TRUE(head_samples(id, 1));
    EXPECT_LE(head_samples(id, 0.1), head_samples(id, 0.2));
  }
  EXPECT_NEAR(static_cast<double>(sampled), 1000, 120);
}

Trail sample_trail() {
  Trail trail(*read_traceparent("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"), 7);
  auto* hold = trail.add("hold", trail.root, 1s, 2s);
  hold->attributes = {
      {"class", std::string("look\"up")}, {"queued", std::int64_t{3}}, {"budget", 1.5}, {"late", true}};
  auto* attempt = trail.add("attempt", trail.root, 2s, 5s);
  attempt->error = true;
  auto* root = trail.add("request", trail.context.parent, 1s, 5s);
  root->id = trail.root;
  root->kind = Kind::server;
  return trail;
}

TEST(OtlpTest, EncodesATrailAsTracesDataInJson) {
  const auto line = otlp_line(sample_trail(), "gw-1", "0.2", 100s);
  EXPECT_EQ(line.back(), '\n');
  const auto json = nlohmann::json::parse(line);
  const auto& resource = json["resourceSpans"][0];
  EXPECT_EQ(resource["resource"]["attributes"][1]["value"]["stringValue"], "gw-1");
  const auto& spans = resource["scopeSpans"][0]["spans"];
  ASSERT_EQ(spans.size(), 3U);
  EXPECT_EQ(spans[0]["traceId"], "0af7651916cd43dd8448eb211c80319c");
  EXPECT_EQ(spans[0]["startTimeUnixNano"], "101000000000");
  EXPECT_EQ(spans[0]["attributes"][0]["value"]["stringValue"], "look\"up");
  EXPECT_EQ(spans[0]["attributes"][1]["value"]["intValue"], "3");
  EXPECT_EQ(spans[0]["attributes"][2]["value"]["doubleValue"], 1.5);
  EXPECT_EQ(spans[0]["attributes"][3]["value"]["boolValue"], true);
  EXPECT_EQ(spans[1]["status"]["code"], 2);
  EXPECT_EQ(spans[2]["parentSpanId"], "b7ad6b7169203331");
  EXPECT_EQ(spans[0]["parentSpanId"], spans[2]["spanId"]);
}

TEST(TimelineTest, MergesFilesOfSeveralRoutersAndSkipsLinesThatAreNotOtlp) {
  std::size_t malformed = 0;
  const std::string id = "0af7651916cd43dd8448eb211c80319c";
  const auto text = timeline({otlp_line(sample_trail(), "gw-1", "", 100s), "{\"x\":\"" + id + "\"}",
                              id + " no json", otlp_line(sample_trail(), "gw-2", "", 200s)},
                             id, malformed);
  EXPECT_EQ(malformed, 2U);
  EXPECT_NE(text.find("      0.000    4000.000  request  on gw-1"), std::string::npos) << text;
  EXPECT_NE(text.find("   1000.000    3000.000    attempt !"), std::string::npos) << text;
  EXPECT_EQ(timeline({otlp_line(sample_trail(), "gw-1", "", 100s)}, std::string(32, 'a'), malformed), "");
}

TEST(TrailTest, LimitsTheNumberOfSpansAndCountsTheRest) {
  Trail trail({}, 1);
  for (std::size_t i = 0; i < kMaxSpans; ++i) ASSERT_NE(trail.add("hold", 0, 0s, 0s), nullptr);
  EXPECT_EQ(trail.add("hold", 0, 0s, 0s), nullptr);
  EXPECT_EQ(trail.left_out, 1U);
}

TEST(TracerTest, WritesRejectedOrFailedRequestsEvenIfNotSampled) {
  std::vector<TrailPtr> written;
  const Tracer tracer({"on", 0, true}, [&](const TrailPtr& trail) { written.push_back(trail); });
  for (const bool trouble : {false, true, false}) {
    const auto trail = tracer.begin("", 1, 2);
    ASSERT_TRUE(trail);
    trail->trouble = trouble;
    tracer.finish(trail);
  }
  const auto sampled_by_caller =
      tracer.begin("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", 1, 2);
  tracer.finish(sampled_by_caller);
  ASSERT_EQ(written.size(), 2U) << "expected the trail with `trouble` set and the one sampled by the caller";
  EXPECT_TRUE(written[0]->trouble);
  EXPECT_EQ(written[1], sampled_by_caller);
}

TEST(TracerTest, CreatesNoTrailThatCouldNotBeWritten) {
  const Tracer off({"on", 1, true}, nullptr), sampled_only({"on", 0, false}, [](const TrailPtr&) {});
  EXPECT_EQ(off.begin("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", 1, 2), nullptr);
  EXPECT_EQ(sampled_only.begin("", 1, 2), nullptr);
  EXPECT_NE(sampled_only.begin("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", 1, 2), nullptr);
}

// ---- daemon::TraceFile -----------------------------------------------------------------------------------
TEST(TraceFileTest, IsRotatedAtItsSizeLimitWhileEachTrailIsWritten) {
  const auto file =
      std::filesystem::temp_directory_path() / ("heronwell-trace-" + std::to_string(::getpid()));
  {
    daemon::TraceFile trails({file, 1, true, 4096, 2000}, "gw", "", Time::zero());
    for (int i = 0; i < 9; ++i) {
      trails.enqueue(std::make_shared<Trail>(sample_trail()));
      while (trails.written() <= static_cast<std::uint64_t>(i)) std::this_thread::sleep_for(1ms);
    }
  }
  EXPECT_LE(std::filesystem::file_size(file), 2000U);
  EXPECT_TRUE(std::filesystem::remove(file));
  EXPECT_TRUE(std::filesystem::remove(file.string() + ".1"));
}

TEST(TraceFileTest, WritesQueuedTrailsOnDestruction) {
  const auto file =
      std::filesystem::temp_directory_path() / ("heronwell-trace-" + std::to_string(::getpid()));
  {
    daemon::TraceFile trails({file, 1, true, 100}, "gw", "", Time::zero());
    for (int i = 0; i < 50; ++i) trails.enqueue(std::make_shared<Trail>(sample_trail()));
  }
  std::ifstream in(file);
  std::size_t lines = 0;
  for (std::string line; std::getline(in, line);) ++lines;
  EXPECT_EQ(lines, 50U);
  std::filesystem::remove(file);
  EXPECT_EQ(daemon::TraceFile::create({}, "gw", "", Time::zero()), nullptr);
}

}  // namespace
}  // namespace heronwell::trace
