// Tests of router processes: one that was stopped for a while, and the format of the log. After a stop the
// router counts a request's deadline from the earliest time at which the request may have arrived.
#include <csignal>
#include <set>

#include "rehearsal/process.hpp"
#include "test_system.hpp"

namespace heronwell::e2e {
namespace {

TEST(Routers, AStoppedRouterAnswersRequestsReceivedMeanwhileBeforeTheirDeadline) {
  rehearsal::Process demo({HERONWELL_PROGRAM, "demo", "--port", "0"}, "");
  const auto line = demo.read_line(10s);
  const auto port = static_cast<std::uint16_t>(std::stoul(line.substr(line.rfind(':') + 1)));
  Client first(port);
  first.post(TestSystem::query_body("lookup", "a"));
  ASSERT_EQ(first.read_response().status, 200);
  demo.signal(SIGSTOP);
  std::this_thread::sleep_for(100ms);
  const auto sent = std::chrono::steady_clock::now();
  first.post(TestSystem::query_body("lookup", "b", "work_ms=20000"), "heronwell-timeout-ms: 2500\r\n");
  std::this_thread::sleep_for(1500ms);
  demo.signal(SIGCONT);
  const auto response = first.read_response();
  const auto duration = std::chrono::steady_clock::now() - sent;
  EXPECT_TRUE(response.status == 504 || response.status == 503) << response.status << response.body;
  EXPECT_LT(duration, 2500ms);
  EXPECT_GT(duration, 1400ms);
  first.post(TestSystem::query_body("lookup", "c"));  // the connection still works afterwards
  EXPECT_EQ(first.read_response().status, 200);
}

TEST(Logs, EachLineIsOneJsonObjectEvenIfNamesContainQuotes) {
  const auto folder = std::filesystem::temp_directory_path() / fmt::format("heronwell-log-{}", ::getpid());
  std::filesystem::create_directories(folder);
  std::ofstream(folder / "list.yaml") << "engines: [{name: 'a\"b', port: 9, zone: 'no \"such\" zone', kind: "
                                         "k}, {name: c, port: 9, kind: k}]\n";
  std::ofstream(folder / "router.yaml") << fmt::format(
      "gateway: {{name: 'gw \"1\"'}}\nlisten: {{port: 0}}\nlist: {{file: {}/list.yaml}}\nkinds: {{k: "
      "{{cores: 1}}}}\n"
      "classes: {{'a \"class\"': {{aim: 100ms, give_up: 200ms}}}}\n",
      folder.string());
  {
    rehearsal::Process router({HERONWELL_PROGRAM, "serve", "--config", folder / "router.yaml"},
                              folder / "log");
    const auto line = router.read_line(10s);
    Client client(static_cast<std::uint16_t>(std::stoul(line.substr(line.rfind(':') + 1))));
    client.post(R"({"statement":"select 1","class":"a \"class\""})");
    EXPECT_EQ(client.read_response().status, 503);  // nothing listens on port 9
    client.post("nonsense");
    EXPECT_EQ(client.read_response().status, 400);
    router.signal(SIGTERM);
    EXPECT_TRUE(router.wait(5s));
    EXPECT_EQ(router.wait(), 0);
  }
  std::ifstream log(folder / "log");
  std::set<std::string> events;
  for (std::string text; std::getline(log, text);) {
    const auto json = nlohmann::json::parse(text, nullptr, false);
    ASSERT_TRUE(json.is_object()) << text;
    events.insert(json["data"]["event"].get<std::string>() + " " + json["data"].value("end", ""));
  }
  for (const auto* event : {"endpoint_rejected ", "endpoints_updated ", "decision ", "request B-"})
    EXPECT_TRUE(events.contains(event)) << event;
  EXPECT_TRUE(events.contains("request RA") || events.contains("request RH"));
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace heronwell::e2e
