// What the machines of this room hand each other: requests and attempts while they live, events for the
// decision strand, commands from it.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/json.hpp"
#include "fleet/list.hpp"
#include "path/grouping.hpp"
#include "path/states.hpp"
#include "path/world.hpp"
#include "router/front.hpp"
#include "router/host.hpp"
#include "router/rows.hpp"
#include "sql/result.hpp"
#include "sql/session.hpp"
#include "sql/table.hpp"
#include "trace/trail.hpp"

namespace heronwell::path {

using config::Config;
using router::Ticket;

// A text as JSON, for log lines: quoted, with nothing in it that could end the line or the quotes.
inline std::string quoted(std::string_view text) {
  std::string out;
  put_json_text(out, text);
  return out;
}

// ---- events for the decision strand ----------------------------------------------------------------------
struct Took {
  router::Ask ask;
};
struct Left {
  Ticket ticket = 0;
};
struct Outgrown {
  Ticket ticket = 0;
  AttemptIndex attempt = 0;
};
struct Noted {
  Ticket ticket = 0;
  AttemptIndex attempt = 0;
  NoteKind kind = NoteKind::progress;
  double amount = 0;
};
struct Probed {
  EngineId engine = 0;
  Result result = Result::served;
  Time latency{};
  std::vector<double> load;
};
struct Listed {
  bool failed = false;
  std::vector<fleet::Entry> entries;
};
struct PeerCame {
  std::uint32_t from = 0;
  std::string bytes;
};
using Happening = std::variant<Took, Left, router::AttemptEnd, Outgrown, Noted, Probed, Listed, PeerCame>;
struct Told {
  Time at{};
  Happening what;
};

// ---- commands for a shard --------------------------------------------------------------------------------
using Fleet = std::map<EngineId, fleet::Known>;
using SelectorsPtr = std::shared_ptr<const groups::Selectors>;
using Order = std::variant<router::Command, std::shared_ptr<const Fleet>, SelectorsPtr>;

// A ticket names its shard.
constexpr unsigned shard_of(Ticket ticket) { return static_cast<unsigned>(ticket >> 56); }

class ClientConnection;
class EngineSide;

// What came of one attempt, for whoever asked: JSON or a table, or the engine's own error.
struct Content {
  std::string json;
  std::shared_ptr<sql::Table> table;  // where the exchange wants one
  std::string sqlstate, error;        // not empty: the statement's own fault
  bool too_long = false;              // cut off here, past the exchange's most_bytes
};

struct Exchange;
using ExchangePtr = std::shared_ptr<Exchange>;

// Who asked, where that is not a client's connection: gets exactly one of these calls for each request that
// it handed to take(), unless it gave it up by left() before.
class Asker {
 public:
  virtual ~Asker() = default;
  virtual void served(const ExchangePtr& exchange, Content content) = 0;  // also the statement's own fault
  virtual void unserved(const ExchangePtr& exchange, const router::Problem& problem) = 0;
  virtual void abandoned() = 0;  // its client has left
  // What its client sent lies unread, and may tell that it has left.
  [[nodiscard]] virtual bool unread() { return false; }
};

// A request of a client, from its last byte to the last byte of its answer.
struct Exchange {
  Ticket ticket = 0;                         // 0: answered here, never taken
  std::shared_ptr<ClientConnection> client;  // null: answered to the asker alone
  std::shared_ptr<Asker> asker;              // beside a client: who makes its answer
  std::shared_ptr<const sql::Statement> statement;
  std::size_t most_bytes = 0;  // of the answer's rows, for an asker; 0: rows are wanted as JSON
  std::size_t call = 0, statement_number = 0;  // the asker's own numbers
  ClassIndex cls = 0;
  std::uint32_t tenant = 0;
  Time began{}, deadline{};
  bool keep_alive = true, head_only = false;
  Reply reply = Reply::owed;
  std::string id, key;   // as its client named it, and its repeats, where it did
  std::string buffered;  // while earlier answers of the connection are not whole
  std::map<AttemptIndex, Content> contents;
  unsigned attempts = 0;
  EngineId engine = 0;    // of the last attempt
  trace::TrailPtr trail;  // null: not traced
  trace::SpanId span = 0;
  std::string trace_response, field;          // field: of a statement
  std::shared_ptr<Origin> origin;             // null: no groups
  std::string group;                          // its path
  groups::Limit limit = groups::Limit::none;  // of the group, that ended it
  Time held_since{}, stream_since{};

  [[nodiscard]] bool done() const { return reply == Reply::whole; }
  [[nodiscard]] bool streaming() const { return reply == Reply::streaming; }
};
struct Attempt {
  Ticket ticket = 0;  // 0: a probe
  AttemptIndex number = 0;
  EngineId engine = 0;
  Time started{}, until{}, sent{};  // sent: first byte of the statement; zero: none
  Time by = Time::max();            // it is not sent after this
  bool dialled = false;             // on a connection opened for it
  ExchangePtr exchange;
  std::shared_ptr<const sql::Statement> statement;
  std::vector<std::pair<std::string, std::string>> settings;
  Try state = Try::fresh;
  router::JsonRows rows;
  Content content;
  std::optional<Time> work;
  double memory_mb = 0;
  std::vector<double> load;
  std::weak_ptr<EngineSide> connection;
  TimerPtr limit;  // of a probe

  // Where a query outlives its connection (the platform's calls): how far it has come.
  config::Address address;       // where it was sent
  double memory_limit_mb = 0;    // granted; 0: the engine's own choice
  unsigned pages = 0, page = 0;  // of the result: all, once known; the next one to ask for
  unsigned again = 0;            // questions asked again after a connection was lost
  Time asked{};                  // when the engine was last asked for it
  bool read_first = false;       // it has waited until what its client sent was read
  unsigned dials = 0;            // connections that are being opened to start it
  Time dial_until{};             // until when one of them must have come up

  // Nothing of its answer is of use any more.
  [[nodiscard]] bool over() const { return state == Try::called_off || state == Try::ended; }
};
using AttemptPtr = std::shared_ptr<Attempt>;

}  // namespace heronwell::path
