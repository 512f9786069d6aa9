// Case: bad clients send large requests and take them back. The router must stay within the memory that it is
// given; the platform kills a router that does not, and all that it had taken is lost.
//
// With trouble, 80 bad clients send requests with statements of 20,000 to 260,000 bytes, one after the other, and
// take each back within 5 ms. Usual clients send short queries all the time. The stand-in for the platform reads
// the private memory of the router's process (RssAnon, the least of the kernel's figures; the program's own file is
// not in it) and kills the process when it is over memory_mb, as the platform does.
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <random>

#include "../rig/rig.hpp"

namespace {

constexpr double kDurationMs = 30000;
constexpr int kBadClients = 80, kUsualClients = 4;  // a third of 256 descriptors is 85
constexpr int kMemoryMb = 32, kSockets = 256;
constexpr int kSmallestStatement = 20000, kLargestStatement = 260000, kLongestWaitMs = 5;
constexpr std::uint32_t kRequestsOnAConnection = 200;

std::atomic<bool> stopping = false;
std::atomic<long> taken_back = 0;

void send_and_take_back(std::uint16_t port, unsigned seed) {
  std::mt19937 random(seed);
  const auto draw = [&](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random);
  };
  while (!stopping) {
    const int socket = rig::connect_to(port);
    if (socket < 0) {
      rig::sleep_ms(20);
      continue;
    }
    std::thread reader([socket] {
      char buffer[65536];
      while (::recv(socket, buffer, sizeof buffer, 0) > 0) continue;
    });
    for (std::uint32_t stream = 1; stream <= kRequestsOnAConnection && !stopping; ++stream) {
      const auto statement =
          rig::text("select * from maps_%d.places -- ", draw(0, 39)) +
          std::string(static_cast<std::size_t>(draw(kSmallestStatement, kLargestStatement)), 'x');
      const auto payload = rig::request_payload(stream % 2 == 1 ? "lookup" : "report", rig::new_id(), 4000,
                                                rig::tenant(static_cast<int>(seed)), statement);
      if (!rig::send_all(socket, rig::frame(2, stream, payload))) break;
      rig::sleep_ms(draw(0, kLongestWaitMs));
      if (!rig::send_all(socket, rig::frame(8, stream, ""))) break;
      ++taken_back;
    }
    ::shutdown(socket, SHUT_RDWR);
    reader.join();
    ::close(socket);
  }
}

void use_router(std::uint16_t port, rig::Client& client, int number) {
  (void)port;
  for (int i = number; !stopping && client.open(); ++i) {
    client.request("lookup", 4000, rig::tenant(i),
                   rig::text("select * from maps_%d.places /* work_ms=100 */", i % 40));
    rig::sleep_ms(200);
  }
}

// Private memory of the process in kB, or 0 if it cannot be read.
long private_memory_kb(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with("RssAnon:")) return std::atol(line.c_str() + 8);
  return 0;
}

}  // namespace

int main(int, char** arguments) {
  rig::open_record(arguments[1]);
  std::vector<std::unique_ptr<rig::Engine>> engines;
  std::vector<rig::Host> hosts;
  for (int i = 1; i <= 8; ++i) {
    engines.push_back(std::make_unique<rig::Engine>(rig::text("e%d", i)));
    hosts.push_back(engines.back()->host());
  }
  rig::Bus bus(hosts);
  rig::Router router(bus, rig::kClasses, "", {.memory_mb = kMemoryMb, .sockets = kSockets});
  if (!router.wait_until_ready()) return 2;

  std::vector<std::unique_ptr<rig::Client>> usual;
  std::vector<std::thread> threads;
  for (int i = 0; i < kUsualClients; ++i) {
    usual.push_back(std::make_unique<rig::Client>(router.port()));
    threads.emplace_back([&, i] { use_router(router.port(), *usual[static_cast<std::size_t>(i)], i); });
  }
  rig::sleep_ms(2000);
  if (rig::trouble())
    for (unsigned i = 0; i < kBadClients; ++i)
      threads.emplace_back([&, i] { send_and_take_back(router.port(), i); });

  long most = 0;
  bool killed = false;
  const auto end = rig::now_ms() + kDurationMs;
  for (int i = 0; rig::now_ms() < end && router.running(); ++i) {
    const auto memory = private_memory_kb(router.pid());
    most = std::max(most, memory);
    if (i % 25 == 0) rig::record(rig::text("router: %ld kB of private memory", memory));
    if (memory > kMemoryMb * 1024) {
      rig::record(rig::text("BROKEN: the router has %ld kB of private memory, of %d kB; it is killed", memory,
                            kMemoryMb * 1024));
      router.send_signal(SIGKILL);
      killed = true;
      break;
    }
    rig::sleep_ms(20);
  }
  const bool ended = !killed && !router.running();
  stopping = true;
  for (auto& thread : threads) thread.join();
  rig::sleep_ms(500);
  int sent = 0, open = 0;
  for (const auto& client : usual)
    for (const auto& request : client->requests()) {
      if (!request.whole) continue;
      ++sent;
      open += request.answers.empty() ? 1 : 0;
    }
  rig::record(rig::text(
      "result: at most %ld kB of private memory of %d kB; %ld requests taken back; %d requests of "
      "usual clients, %d without an answer at the end%s",
      most, kMemoryMb * 1024, taken_back.load(), sent, open, ended ? "; the router has ended" : ""));
  if (killed || ended) return 1;
  return sent > open ? 0 : 2;
}
