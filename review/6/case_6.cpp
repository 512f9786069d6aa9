// Case 6: a last page whose length does not fit is served in part.
//
// Six sound SQL engines answer two classes of requests with results of one to three pages. Each writes a page in
// two pieces that end with a row each, the second 5 ms after the first. The disruption: in one of twenty answers
// the length in the head is that of the first piece. A usual client counts the rows of what it is served.
#include "../stand_in_2/world.hpp"

using namespace review2;

namespace {

constexpr int kEngines = 6, kRequests = 600, kRowsOnPage = 150;
constexpr double kPerSecond = 20, kBetweenPieces = 0.005;
constexpr int kOneSpoiltIn = 20;

// One to three pages of rows that name their statement.
std::vector<std::string> pages_of(const std::string& statement) {
  const auto number = statement.substr(statement.rfind(' ') + 1);
  const unsigned pages = 1 + static_cast<unsigned>(std::stoul(number) % 3);
  std::vector<std::string> out;
  for (unsigned page = 0; page < pages; ++page) {
    std::string rows;
    for (int row = 0; row < kRowsOnPage; ++row)
      rows += number + "\t" + std::to_string(page) + "\t" + std::to_string(row) + "\n";
    out.push_back(rows);
  }
  return out;
}
long rows_in(const std::string& text) { return std::count(text.begin(), text.end(), '\n'); }

}  // namespace

int main(int count, char** arguments) {
  const Case test(count, arguments);
  Bus bus;
  std::vector<std::unique_ptr<Engine>> engines;
  std::vector<Host> hosts;
  std::map<std::string, std::string> spoilt;  // by id: where
  int answers = 0;
  for (int i = 0; i < kEngines; ++i) {
    const auto name = "s-" + std::to_string(i);
    engines.push_back(std::make_unique<Engine>(name, "127.0.0.1", 0, [](const std::string& statement) {
      return Result{0.1, pages_of(statement)};
    }));
    engines.back()->send_page = [&, name](const WirePtr& wire, const Engine::Query& query, unsigned page,
                                          const std::string& fields, const std::string& rows) {
      const auto cut = rows.find('\n', rows.size() / 2) + 1;
      const bool last = page + 1 == query.result.pages.size();
      const bool spoil = trouble() && last && ++answers % kOneSpoiltIn == 0;
      const auto length = spoil ? cut : rows.size();
      if (spoil) {
        spoilt[query.id] = name;
        note("engine %s: page %u of %s has %zu bytes; its Content-Length says %zu", name.c_str(), page,
             query.id.c_str(), rows.size(), length);
      }
      wire->send("HTTP/1.1 " + fields + "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" +
                 rows.substr(0, cut));
      loop().after(kBetweenPieces, [wire, rest = rows.substr(cut)] { wire->send(rest); });
      return true;
    };
    hosts.push_back({name, "127.0.0.1", engines.back()->port()});
  }
  bus.publish(hosts, true);
  Router router(test.temporary, bus.port(), bus.read(0), small_deployment(3), 64, 512);
  router.wait_until_ready();

  Client client(router.port(), "acme");
  std::vector<RequestPtr> requests;
  int whole = 0, part = 0, refused = 0, failed = 0;
  client.on_answer = [&](const RequestPtr& request) {
    if (request->code == 1) ++refused;
    if (request->code == 2) ++failed;
    if (request->code != 0) return;
    std::string expected;
    for (const auto& page : pages_of(request->statement)) expected += page;
    if (request->body == expected) {
      ++whole;
      return;
    }
    ++part;
    note("client: %s is SERVED with %ld of %ld rows (spoilt at %s)", request->id.c_str(),
         rows_in(request->body), rows_in(expected),
         spoilt.contains(request->id) ? spoilt[request->id].c_str() : "no engine");
  };
  for (int i = 0; i < kRequests; ++i) {
    loop().run(1 / kPerSecond);
    const bool report = i % 5 == 0;
    requests.push_back(client.send(report ? "report" : "lookup", report ? 25000 : 4000,
                                   "select a, b, c from maps_7.routes where floor = " + std::to_string(i)));
  }
  loop().run(5);
  if (router.ended()) could_not_run("the router ended, " + router.how_it_ended());
  note("sent %zu, served whole %d, served in part %d, refused %d, failed %d; spoilt answers %zu",
       requests.size(), whole, part, refused, failed, spoilt.size());
  router.record_log();
  if (whole == 0 || (trouble() && spoilt.empty())) could_not_run("nothing was served or nothing was spoilt");
  return Case::verdict(part > 0, std::to_string(part) + " answers 'served' lack rows of their result, of " +
                                     std::to_string(spoilt.size()) + " spoilt ones");
}
