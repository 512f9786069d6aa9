// Case: an engine's answer whose Content-Length is too short for its rows. A client must not get a part of a
// result as 'served'.
//
// Three engines serve short queries and reports with results of one to four pages. With trouble, one good answer
// or page in ten (drawn for each) has a Content-Length that does not fit: a length drawn evenly from those below
// the true one. All its bytes are sent.
#include <cstdlib>
#include <mutex>
#include <random>

#include "../rig/rig.hpp"

namespace {

constexpr double kSpoiltShare = 0.1;
constexpr double kDurationMs = 45000;
constexpr int kClients = 6;

std::mutex random_mutex;
std::mt19937_64 random_numbers(20261204);

double fraction() {
  const std::lock_guard lock(random_mutex);
  return std::uniform_real_distribution<double>(0, 1)(random_numbers);
}

// An answer with all its rows behind a head whose Content-Length may be too short.
std::string answer_with_length(const std::string& head, const std::string& rows, const std::string& id) {
  auto length = rows.size();
  if (rig::trouble() && fraction() < kSpoiltShare) {
    length = static_cast<std::size_t>(fraction() * static_cast<double>(rows.size()));
    rig::record(
        rig::text("answer for %s: Content-Length %zu, %zu bytes of rows", id.c_str(), length, rows.size()));
  }
  return head + rig::text("Content-Length: %zu\r\n\r\n", length) + rows;
}

}  // namespace

int main(int, char** arguments) {
  rig::open_record(arguments[1]);
  rig::Engine engines[3] = {rig::Engine("e1"), rig::Engine("e2"), rig::Engine("e3")};
  std::vector<rig::Host> hosts;
  for (auto& engine : engines) {
    engine.spoil = answer_with_length;
    hosts.push_back(engine.host());
  }
  rig::Bus bus(hosts);
  rig::Router router(bus, rig::kClasses, "", {});
  if (!router.wait_until_ready()) return 2;

  std::vector<std::unique_ptr<rig::Client>> clients;
  std::vector<std::map<std::size_t, int>> rows(kClients);  // rows of each request's result
  for (int i = 0; i < kClients; ++i) clients.push_back(std::make_unique<rig::Client>(router.port()));
  const auto end = rig::now_ms() + kDurationMs;
  for (int i = 0; rig::now_ms() < end; ++i) {
    const auto at = static_cast<std::size_t>(i % kClients);
    const bool report = i % 10 == 9;
    const int wanted =
        report ? 400 + static_cast<int>(fraction() * 1200) : 1 + static_cast<int>(fraction() * 30);
    const auto statement = rig::text("select name, gate, state from maps_%d.places /* work_ms=%d rows=%d */",
                                     static_cast<int>(fraction() * 20), report ? 200 : 30, wanted);
    const auto place =
        clients[at]->request(report ? "report" : "lookup", report ? 20000 : 4000, rig::tenant(i), statement);
    rows[at][place] = wanted;
    rig::sleep_ms(25);
  }
  rig::sleep_ms(3000);

  int served = 0, refused = 0, failed = 0, open = 0, wrong = 0;
  for (std::size_t at = 0; at < clients.size(); ++at) {
    const auto requests = clients[at]->requests();
    for (std::size_t place = 0; place < requests.size(); ++place) {
      const auto& request = requests[place];
      if (request.answers.empty()) {
        ++open;
        continue;
      }
      const auto& answer = request.answers.front();
      served += answer.code == 0 ? 1 : 0;
      refused += answer.code == 1 ? 1 : 0;
      failed += answer.code == 2 ? 1 : 0;
      const auto expected = rig::rows_of(request.id, rows[at][place]);
      if (answer.code != 0 || answer.body == expected) continue;
      ++wrong;
      rig::record(rig::text("BROKEN: %s is served with %zu bytes; the engines made %zu bytes for it",
                            request.id.c_str(), answer.body.size(), expected.size()));
    }
  }
  rig::record(
      rig::text("result: %d served, %d refused, %d failed, %d without an answer; %d served with a part "
                "of their rows",
                served, refused, failed, open, wrong));
  if (!router.running()) rig::record("the router has ended");
  if (wrong > 0) return 1;
  return served > (refused + failed + open) ? 0 : 2;
}
