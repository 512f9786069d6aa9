// Case: bad clients fill what a router buffers with halves of requests. A usual client that has a request at an
// engine sends a second, larger one on the same connection. The first one must get its final answer.
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>

#include "../rig/rig.hpp"

namespace {

constexpr double kDurationMs = 40000;
constexpr int kUsualClients = 4;
constexpr int kBadClients = 50;
constexpr std::size_t kHalfRequestBytes = 250000;  // of a frame of 262,144, which the protocol allows
constexpr std::size_t kLoadStatementBytes = 100000;
constexpr double kPauseMs = 100;  // of a bad client before its next connection
constexpr int kReportWorkMs = 3000;

std::atomic<bool> stopping = false;
std::atomic<int> halves = 0;

// Sends the first 250,000 bytes of a request of 262,144 bytes, reads what it is sent, closes after 2 s at the
// latest, and begins again on a new connection.
void send_halves(std::uint16_t port) {
  const auto whole = rig::frame(
      2, 1,
      rig::request_payload("plan-load", rig::new_id(), 20000, "blue-sky-port", std::string(262000, 'x')));
  const auto half = whole.substr(0, kHalfRequestBytes);
  while (!stopping) {
    const int socket = rig::connect_to(port);
    if (socket < 0) {
      rig::sleep_ms(50);
      continue;
    }
    const timeval limit{2, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    const bool sent = rig::send_all(socket, half);
    if (sent) ++halves;
    rig::record(rig::text("bad client: %zu bytes of a request of %zu%s", half.size(), whole.size(),
                          sent ? "" : ": cut off by the router"));
    char buffer[4096];
    while (!stopping && ::recv(socket, buffer, sizeof buffer, 0) > 0) continue;
    ::close(socket);
    rig::sleep_ms(kPauseMs);
  }
}

struct Outcome {
  int judged = 0, lost = 0;
};

// A usual client: a report, and while it runs a load with a large statement on the same connection.
void use_router(std::uint16_t port, std::vector<std::unique_ptr<rig::Client>>& used) {
  const auto end = rig::now_ms() + kDurationMs;
  while (rig::now_ms() < end) {
    auto client = std::make_unique<rig::Client>(port);
    client->request("report", 15000, "blue-sky-port",
                    rig::text("select * from maps_%d.visits /* work_ms=%d */", rand() % 20, kReportWorkMs));
    rig::sleep_ms(1000);
    if (client->open()) {
      client->request("plan-load", 15000, "blue-sky-port",
                      "insert into maps_7.plans values /* work_ms=500 */ ('" +
                          std::string(kLoadStatementBytes, 'x') + "')");
    }
    rig::sleep_ms(4000);
    used.push_back(std::move(client));
  }
}

}  // namespace

int main(int, char** arguments) {
  rig::open_record(arguments[1]);
  rig::Engine engines[6] = {rig::Engine("e1"), rig::Engine("e2"), rig::Engine("e3"),
                            rig::Engine("e4"), rig::Engine("e5"), rig::Engine("e6")};
  std::vector<rig::Host> hosts;
  for (auto& engine : engines) hosts.push_back(engine.host());
  rig::Bus bus(hosts);
  rig::Router router(bus, rig::kClasses, "", {.memory_mb = 32, .sockets = 256});
  if (!router.wait_until_ready()) return 2;

  std::vector<std::thread> threads;
  if (rig::trouble())
    for (int i = 0; i < kBadClients; ++i) threads.emplace_back([&] { send_halves(router.port()); });
  rig::sleep_ms(1000);
  std::vector<std::vector<std::unique_ptr<rig::Client>>> clients(kUsualClients);
  std::vector<std::thread> users;
  for (auto& used : clients) users.emplace_back([&] { use_router(router.port(), used); });
  for (auto& user : users) user.join();
  rig::sleep_ms(12000);  // past the time of the last report
  stopping = true;
  for (auto& thread : threads) thread.join();

  std::map<std::string, std::string> ran;  // request id -> engine
  for (auto& engine : engines)
    for (const auto& query : engine.queries()) ran[query.id] = engine.name() + ", " + query.how;
  int asked = 0, answered = 0, lost = 0;
  for (const auto& used : clients) {
    for (const auto& client : used) {
      for (const auto& request : client->requests()) {
        if (request.class_name != "report" || !request.whole) continue;
        ++asked;
        answered += request.answers.empty() ? 0 : 1;
        const bool taken = ran.contains(request.id);
        if (!request.answers.empty() || !taken) continue;
        ++lost;
        rig::record(
            rig::text("BROKEN: %s was taken and ran (%s); its connection ended %.0f ms after it was sent, "
                      "with no answer to it",
                      request.id.c_str(), ran[request.id].c_str(), client->closed_at() - request.at));
      }
    }
  }
  rig::record(
      rig::text("result: %d reports sent, %d answered, %d taken, run and never answered; %d halves of "
                "requests sent by bad clients",
                asked, answered, lost, halves.load()));
  if (!router.running()) {
    rig::record("the router has ended");
    return 2;
  }
  if (lost > 0) return 1;
  return answered > 0 ? 0 : 2;
}
