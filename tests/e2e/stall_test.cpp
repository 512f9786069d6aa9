// A router process that had no turn for a while: deadlines run from the moment a request may have come.
#include <csignal>

#include "rehearsal/process.hpp"
#include "rig.hpp"

namespace heronwell::e2e {
namespace {

TEST(Routers, ThatWereStoppedAnswerWhatCameMeanwhileBeforeItsDeadline) {
  rehearsal::Process demo({HERONWELL_PROGRAM, "demo", "--port", "0"}, "");
  const auto line = demo.line(10s);
  const auto port = static_cast<std::uint16_t>(std::stoul(line.substr(line.rfind(':') + 1)));
  Client first(port);
  first.post(Rig::body("lookup", "a"));
  ASSERT_EQ(first.answer().status, 200);
  demo.signal(SIGSTOP);
  std::this_thread::sleep_for(100ms);
  const auto sent = std::chrono::steady_clock::now();
  first.post(Rig::body("lookup", "b", "work_ms=20000"), "heronwell-timeout-ms: 2500\r\n");
  std::this_thread::sleep_for(1500ms);
  demo.signal(SIGCONT);
  const auto answer = first.answer();
  const auto took = std::chrono::steady_clock::now() - sent;
  EXPECT_TRUE(answer.status == 504 || answer.status == 503) << answer.status << answer.body;
  EXPECT_LT(took, 2500ms);
  EXPECT_GT(took, 1400ms);
  first.post(Rig::body("lookup", "c"));  // and then all is as before
  EXPECT_EQ(first.answer().status, 200);
}

}  // namespace
}  // namespace heronwell::e2e
