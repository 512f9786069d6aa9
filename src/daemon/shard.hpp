// A shard is one thread with its io_context, client connections and engine connections. A request lives on
// the shard that read it, and so do the attempts made for it: its answer crosses no thread. Only events and
// commands go to and from the decision strand, by mailboxes.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "base/json.hpp"
#include "daemon/config.hpp"
#include "daemon/grouping.hpp"
#include "daemon/mailbox.hpp"
#include "daemon/metrics.hpp"
#include "fleet/list.hpp"
#include "router/front.hpp"
#include "router/host.hpp"
#include "router/rows.hpp"
#include "sql/result.hpp"
#include "sql/session.hpp"
#include "sql/table.hpp"
#include "trace/tracer.hpp"

namespace heronwell::daemon {

namespace asio = boost::asio;
using Executor = asio::io_context::executor_type;
using Socket = asio::basic_stream_socket<asio::ip::tcp, Executor>;
using Timer = asio::basic_waitable_timer<std::chrono::steady_clock,
                                         asio::wait_traits<std::chrono::steady_clock>, Executor>;
using router::Ticket;

// A text as JSON, for log lines: quoted, with nothing in it that could end the line or the quotes.
inline std::string quoted(std::string_view text) {
  std::string out;
  put_json_text(out, text);
  return out;
}

inline Time steady_now() { return std::chrono::steady_clock::now().time_since_epoch(); }
// Unix time less the monotonic clock, now.
inline Time unix_offset() {
  return std::chrono::duration_cast<Time>(std::chrono::system_clock::now().time_since_epoch()) - steady_now();
}
inline Timer::time_point at(Time moment) {
  return Timer::time_point(std::chrono::duration_cast<std::chrono::steady_clock::duration>(moment));
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
using Inbox = Mailbox<Told, Executor>;

// ---- commands for a shard --------------------------------------------------------------------------------
using Fleet = std::map<EngineId, fleet::Known>;
using SelectorsPtr = std::shared_ptr<const groups::Selectors>;
using Order = std::variant<router::Command, std::shared_ptr<const Fleet>, SelectorsPtr>;

class ClientConnection;
class EngineConnection;
class Graphql;
class Shard;

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
  bool done = false;     // the final answer is whole
  bool started = false;  // a byte of it may have gone out
  bool streaming = false;
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
};
struct Attempt {
  Ticket ticket = 0;  // 0: a probe
  AttemptIndex number = 0;
  EngineId engine = 0;
  Time started{}, until{}, sent{};  // sent: first byte of the statement; zero: none
  bool dialled = false;             // on a connection opened for it
  ExchangePtr exchange;
  std::shared_ptr<const sql::Statement> statement;
  std::vector<std::pair<std::string, std::string>> settings;
  bool stopped = false, reported = false;
  bool asked_to_stream = false, streaming = false;
  router::JsonRows rows;
  Content content;
  std::optional<Time> work;
  double memory_mb = 0;
  std::vector<double> load;
  std::weak_ptr<EngineConnection> connection;
};
using AttemptPtr = std::shared_ptr<Attempt>;

// Connections to one engine from one shard: idle ones are used again, newest first; no more than a cap.
struct EnginePool {
  EngineId id = 0;
  asio::ip::tcp::endpoint address;
  bool fit = true;  // listed as ready
  std::vector<std::shared_ptr<EngineConnection>> idle;
  std::unordered_set<EngineConnection*> all;
};

class Shard {
 public:
  Shard(const Config& config, Metrics& metrics, const router::Front& front, trace::Tracer& tracer,
        unsigned index, unsigned shards);
  ~Shard();

  asio::io_context& context() { return context_; }
  Mailbox<Order, Executor>& orders() { return orders_; }
  void bind(Inbox& inbox) { inbox_ = &inbox; }
  void serve(Graphql& graphql) { graphql_ = &graphql; }

  // On the shard's own thread:
  void serve(Socket socket);
  void take(const ExchangePtr& exchange, router::Ask ask);  // hands a request to the decision strand
  void left(const ExchangePtr& exchange);
  void finished(const ExchangePtr& exchange, router::Termination end, int status);
  void tell(Happening what) { inbox_->put(Told{steady_now(), std::move(what)}); }
  void end_attempt(const AttemptPtr& attempt, sql::Seen seen, std::string_view code = {},
                   bool cancelled = false);
  void note(const AttemptPtr& attempt, const sql::ErrorText& notice);
  void parameter(const AttemptPtr& attempt, std::string_view name, std::string_view value);
  // The moment since when what is read now may have lain here unread: now, or, right after this thread had no
  // turn for a while (a stopped process), the last moment it had one. Deadlines run from there.
  Time unread_since();
  // Null: there are no groups.
  [[nodiscard]] const SelectorsPtr& selectors() const { return selectors_; }
  void stop_serving();  // no new requests; connections close as they fall idle

  [[nodiscard]] const Config& config() const { return config_; }
  [[nodiscard]] const router::Front& front() const { return front_; }
  Metrics& metrics() { return metrics_; }
  trace::Tracer& tracer() { return tracer_; }
  std::uint64_t drawn();                   // 64 random bits, for the ids of traces
  Graphql* graphql() { return graphql_; }  // null: not served
  EnginePool* pool(EngineId id);
  [[nodiscard]] std::size_t pool_cap() const { return pool_cap_; }
  [[nodiscard]] bool stopping() const { return stopping_; }
  [[nodiscard]] std::size_t open() const { return exchanges_.size(); }
  std::unordered_set<ClientConnection*>& clients() { return clients_; }

  static unsigned shard_of(Ticket ticket) { return static_cast<unsigned>(ticket >> 56); }

 private:
  void carry_out(std::vector<Order>& orders);
  void on(const router::StartAttempt& order);
  void on(const router::StopAttempt& order);
  void on(const router::Deliver& order);
  void on(const router::BeginStream& order);
  void on(const router::BreakStream& order);
  void on(const router::Answer& order);
  void on(const router::ProbeEngine& order);
  void update(const Fleet& fleet);
  bool choose_group(const ExchangePtr& exchange, router::Ask& ask);
  void launch(const AttemptPtr& attempt);
  ExchangePtr exchange(Ticket ticket);
  void forget(const ExchangePtr& exchange);
  void tell_problem(const ExchangePtr& exchange, const router::Problem& problem);
  void tick();
  void sweep();

  const Config& config_;
  Metrics& metrics_;
  const router::Front& front_;
  trace::Tracer& tracer_;
  pcg64 random_;
  unsigned index_;
  std::size_t pool_cap_;
  asio::io_context context_{1};
  Mailbox<Order, Executor> orders_;
  Inbox* inbox_ = nullptr;
  Graphql* graphql_ = nullptr;
  SelectorsPtr selectors_;
  std::vector<std::string> tenants_;
  Timer sweeper_;
  std::uint64_t tickets_ = 0;
  bool stopping_ = false;
  unsigned ticks_ = 0;
  Time turn_{}, suspect_from_{}, suspect_until_{};
  std::unordered_map<Ticket, ExchangePtr> exchanges_;
  std::map<std::pair<Ticket, AttemptIndex>, AttemptPtr> attempts_;
  std::map<EngineId, EnginePool> pools_;
  std::unordered_set<ClientConnection*> clients_;
};

}  // namespace heronwell::daemon
