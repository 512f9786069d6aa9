// Measures the private memory of `heronwell node` while it is idle, under 500 requests a second, and while clients
// send large requests and take each back; and its processor time for each of the 500. Started by platform_memory.sh. The platform kills a router whose memory
// exceeds `memory_mb`; this program then ends with exit code 1.
//
// usage: heronwell_platform_memory RECORD MEMORY_MB
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <random>
#include <sstream>

#include "../review/rig/rig.hpp"

namespace {

constexpr int kSockets = 256;
constexpr int kEngines = 8;
constexpr int kUsualClients = 10;
constexpr double kRequestsPerSecond = 500;
// A third of the descriptors is the most that clients hold.
constexpr int kLargeRequestClients = 70;
constexpr int kSmallestStatementBytes = 20'000, kLargestStatementBytes = 260'000;
constexpr int kMaxPauseMs = 5;  // before a request is taken back
constexpr std::uint32_t kRequestsPerConnection = 200;
constexpr double kPhaseMs = 15'000;
constexpr double kSampleMs = 20;

std::atomic<bool> stopping = false;
std::atomic<long> requests_taken_back = 0;

// Private memory of the process in kB, or 0 if it cannot be read.
long private_memory_kb(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with("RssAnon:")) return std::atol(line.c_str() + 8);
  return 0;
}

// Processor time of the process so far, in microseconds.
double processor_time_us(pid_t process) {
  std::ifstream stat("/proc/" + std::to_string(process) + "/stat");
  std::string line;
  std::getline(stat, line);
  // The fields after the name in parentheses: the 12th and 13th are the ticks in user and system mode.
  std::istringstream fields(line.substr(line.rfind(')') + 2));
  std::vector<std::string> all{std::istream_iterator<std::string>(fields), {}};
  const auto ticks = std::atol(all.at(11).c_str()) + std::atol(all.at(12).c_str());
  return static_cast<double>(ticks) * 1e6 / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::size_t count_answers(const std::vector<std::unique_ptr<rig::Client>>& clients) {
  std::size_t answered = 0;
  for (const auto& client : clients)
    for (const auto& request : client->requests()) answered += request.answers.empty() ? 0 : 1;
  return answered;
}

void send_one_connection(int socket, unsigned seed, std::minstd_rand& random) {
  const auto draw = [&](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random);
  };
  for (std::uint32_t stream = 1; stream <= kRequestsPerConnection && !stopping; ++stream) {
    const auto spaces = static_cast<std::size_t>(draw(kSmallestStatementBytes, kLargestStatementBytes));
    const auto statement = rig::text("select * from maps_%d.places ", draw(0, 39)) + std::string(spaces, ' ');
    const auto payload =
        rig::request_payload("lookup", rig::new_id(), 4000, rig::tenant(static_cast<int>(seed)), statement);
    if (!rig::send_all(socket, rig::frame(2, stream, payload))) return;
    rig::sleep_ms(draw(0, kMaxPauseMs));
    if (!rig::send_all(socket, rig::frame(8, stream, ""))) return;
    ++requests_taken_back;
  }
}

// Sends large requests, one after the other, and takes each back.
void send_large_requests(std::uint16_t port, unsigned seed) {
  std::minstd_rand random(seed + 1);
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
    send_one_connection(socket, seed, random);
    ::shutdown(socket, SHUT_RDWR);
    reader.join();
    ::close(socket);
  }
}

// Sends short queries at `per_second` until stopped.
void send_queries(rig::Client& client, double per_second, int seed) {
  auto next = rig::now_ms();
  for (int i = seed; !stopping && client.open(); ++i) {
    client.request("lookup", 4000, rig::tenant(i),
                   rig::text("select * from maps_%d.places /* work_ms=5 */", i % 40));
    next += 1000 / per_second;
    rig::sleep_ms(std::max(0.0, next - rig::now_ms()));
  }
}

// Samples the memory for one phase and prints the maximum. Returns false if the router has ended or exceeded its
// memory.
bool measure(rig::Router& router, const char* phase, long limit_kb) {
  long most = 0;
  const auto end = rig::now_ms() + kPhaseMs;
  while (rig::now_ms() < end && router.running()) {
    most = std::max(most, private_memory_kb(router.pid()));
    rig::sleep_ms(kSampleMs);
  }
  std::printf("%-32s %6ld kB of %ld kB\n", phase, most, limit_kb);
  return router.running() && most <= limit_kb;
}

}  // namespace

int main(int argument_count, char** arguments) {
  if (argument_count != 3) return 2;
  rig::open_record(arguments[1]);
  const int memory_mb = std::atoi(arguments[2]);
  const long limit_kb = memory_mb * 1024L;
  std::vector<std::unique_ptr<rig::Engine>> engines;
  std::vector<rig::Host> hosts;
  for (int i = 1; i <= kEngines; ++i) {
    engines.push_back(std::make_unique<rig::Engine>(rig::text("e%d", i)));
    hosts.push_back(engines.back()->host());
  }
  rig::Bus bus(hosts);
  rig::Router router(bus, rig::kClasses, "", {.memory_mb = memory_mb, .sockets = kSockets});
  if (!router.wait_until_ready()) return 2;

  bool kept = measure(router, "idle", limit_kb);
  std::vector<std::unique_ptr<rig::Client>> clients;
  std::vector<std::thread> threads;
  for (int i = 0; i < kUsualClients; ++i) {
    clients.push_back(std::make_unique<rig::Client>(router.port()));
    threads.emplace_back(
        [&client = *clients.back(), i] { send_queries(client, kRequestsPerSecond / kUsualClients, i); });
  }
  const auto cpu_before = processor_time_us(router.pid());
  kept = measure(router, "500 requests a second", limit_kb) && kept;
  std::printf("processor time: %.0f us a request\n",
              (processor_time_us(router.pid()) - cpu_before) / static_cast<double>(count_answers(clients)));
  for (unsigned i = 0; i < kLargeRequestClients; ++i)
    threads.emplace_back([&, i] { send_large_requests(router.port(), i); });
  kept = measure(router, "and large requests taken back", limit_kb) && kept;
  stopping = true;
  for (auto& thread : threads) thread.join();
  rig::sleep_ms(500);
  std::size_t sent = 0;
  for (const auto& client : clients)
    for (const auto& request : client->requests()) sent += request.whole ? 1 : 0;
  std::printf("%zu of %zu short queries answered, %ld large requests taken back\n", count_answers(clients),
              sent, requests_taken_back.load());
  return kept ? 0 : 1;
}
