// The properties of docs/explore.md, each in words and in code (properties.cpp): what must hold in every
// world, as its sockets show it. It is told what clients and engines see, and asks the router nothing; only
// the books are compared as they are kept.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.hpp"
#include "explore/digest.hpp"

namespace heronwell::explore {

// An engine as the endpoint list names it; they are numbered from 0.
[[nodiscard]] std::string engine_name(std::size_t engine);

struct Asked {  // a request of a client's script
  std::string id{}, cls{};
  std::chrono::milliseconds timeout{1000};
  bool keep_alive = true;
  unsigned rows = 1;                      // of its answer
  unsigned data_group = 0;                // 0: none
  std::string order_key{};                // of a class in order
  std::string graphql{}, key{};           // a document, in place of the statement `id`; its idempotency key
  std::vector<std::string> statements{};  // that the document runs: g1 and g2 are loads, r1 and r2 lookups
};

// A property that does not hold.
struct Broken {
  std::string property, detail;
};

class Properties {
 public:
  // `drain_grace`: rule 3's; `window`: of the keyed class, booking.
  // `copies`: attempts of a safe request that may be out at once.
  Properties(std::size_t engines, Time drain_grace, Time window, unsigned copies);

  void expect(const Asked& asked);  // before anything is told
  [[nodiscard]] const std::optional<Broken>& broken() const { return broken_; }

  // ---- at an engine -------------------------------------------------------------------------------------
  struct Sent {
    std::string id;  // of the statement; unknown ones are probes
    std::uint16_t wire = 0, engine = 0;
    std::string_view running;        // on that connection, by the engine's own word; empty: nothing
    bool answer_on_its_way = false;  // of the statement before, unread by the router
    Time at{};
  };
  void statement_sent(const Sent& sent);  // its first whole message has gone out to the engine
  void never_began(const std::string& statement);
  void begun_for_nobody(const std::string& statement);
  void written_past_end(std::uint16_t engine);
  // The router has read that the engine rejects a statement, and writes the rest of it or another one behind.
  void written_after_rejection(std::uint16_t engine);
  void cancel_met(std::string_view meant, std::string_view met, bool same);
  // ---- what has reached the router ----------------------------------------------------------------------
  void request_arrived(const std::string& request, Time at);
  void attempt_over(const std::string& statement, std::uint16_t wire,
                    bool proven_unrun);  // its answer was read
  void wire_lost(std::uint16_t wire);    // closed by either side
  void drain_told(std::uint16_t engine, Time at);
  void drain_over(std::uint16_t engine);
  void drain_known(std::uint16_t engine, bool draining);  // by a shard
  void router_died(const std::string& request);           // with this request in it
  void end_told_again(unsigned attempt);                  // the strand hears twice that an attempt has ended
  // ---- at a client --------------------------------------------------------------------------------------
  void answer_unreadable(std::size_t client);
  void answer_unasked(std::size_t client);
  void answer_begun(const std::string& request, int status, Time at);
  void answer_whole(const std::string& request, std::string_view body, Time at);
  // ---- the books ----------------------------------------------------------------------------------------
  // When host and shards have heard all of each other. `gone`: requests whose client's end was read.
  void books(std::size_t host, std::size_t shards, const std::vector<std::string>& gone);
  // When the fair way on has ended. `excused`: requests whose client left, or whose connection was closed.
  struct Left {
    std::size_t open = 0, remembered = 0, exchanges = 0, attempts = 0, cancels = 0;
    std::size_t queued = 0, running = 0;  // of the module: requests, threads
  };
  void end(const Left& left, const std::vector<std::string>& excused);

  [[nodiscard]] unsigned rows(const std::string& statement) const;
  [[nodiscard]] unsigned data_group(const std::string& statement) const;  // 0: none
  [[nodiscard]] bool unsafe(const std::string& statement) const;
  [[nodiscard]] bool whole(const std::string& request) const { return requests_.at(request).whole; }
  void digest(std::string& out) const;  // all of it that later judgements depend on
  [[nodiscard]] std::string outcome() const;

 private:
  struct Attempt {
    std::uint16_t wire = 0, engine = 0;
    Time at{};
    bool out = true, proven_unrun = false;
  };
  struct Request {
    Asked asked;
    std::optional<Time> arrived;       // in the router's reach
    std::optional<int> status;         // of its answer, once begun
    bool whole = false, died = false;  // died: with the router that had it
    [[nodiscard]] Time deadline() const { return arrived ? *arrived + asked.timeout : Time::max(); }
  };
  struct Statement {
    std::string cls, order_key;
    unsigned data_group = 0;
    std::vector<std::string> of;  // the requests that ask for it
    unsigned rows = 1, ran = 0;
    std::vector<Attempt> attempts;
  };
  void fails(std::string property, std::string detail);

  Time drain_grace_, window_;
  unsigned copies_, probes_ = 0;
  std::map<std::string, Request> requests_;
  std::map<std::string, Statement> statements_;
  std::vector<std::optional<Time>> drain_told_;  // by engine
  std::vector<bool> drain_known_;
  std::optional<Broken> broken_;  // the first
};

}  // namespace heronwell::explore
