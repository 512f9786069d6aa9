// A small world round the real shards, strand, host and module: clients, engines, wires, timers and the two
// mailboxes, all on virtual time. It moves only by choices: at any moment choices() lists every event that
// may come next, and take() lets one come. The same choices give the same world to the last byte.
//
// What actors do and when it reaches the router are two choices, so an answer may cross a cancel on the way.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "explore/properties.hpp"
#include "http/message.hpp"
#include "path/decision_loop.hpp"
#include "path/graphql.hpp"
#include "path/shard.hpp"

namespace heronwell::explore {

// What a world is, and how many times each unlikely thing may happen in one run of it: the bounds of the
// search.
struct ModelPlan {
  std::string name{}, about{};
  unsigned shards = 1, engines = 1;
  std::vector<std::vector<Asked>> clients{};  // by client: its requests, in order
  unsigned hold = 0;                          // bytes of an answer held before it is streamed; 0: the default
  unsigned splits = 0;                        // messages cut at a byte boundary
  unsigned leaves = 0;                        // clients that hang up or reset
  unsigned failures = 0;     // dials refused, connections reset, statements turned away or in error
  unsigned drains = 0;       // engines told draining
  unsigned idle_closes = 0;  // engines that close a connection no statement runs on
  unsigned late = 0;         // times that pass while events wait
  unsigned stalls = 0;       // the whole router without a turn for a while
  unsigned passes = 6;       // times that pass with nothing else to come
  unsigned restarts = 0;     // the router dies, and another begins in its place
  unsigned hangs = 0;        // statements that engines never answer, unless cancelled
  unsigned returns = 0;      // engines that drain and are listed as ready again
  std::chrono::milliseconds stall{400};
  unsigned room = 0;           // bytes that a client's side takes before it must read; 0: no limit
  unsigned engine_window = 0;  // bytes that an engine's side accepts before it must read; 0: no limit
  std::string more{};          // of the router's configuration, YAML
  bool liar = false;           // engines answer with rows of another request: what the search must find
  bool pipelined = false;      // clients send their next request before an answer
  bool platform = false;       // the operators' platform: frames from clients, calls to engines
  [[nodiscard]] bool graphql() const {
    for (const auto& client : clients)
      for (const auto& asked : client)
        if (!asked.graphql.empty()) return true;
    return false;
  }
};

enum class Kind : std::uint8_t {
  send,          // client a sends its next request; b: whole, or cut after the first byte / before the last
  leave,         // client a closes (b 0) or resets (b 1) its connection
  connected,     // wire a stands
  refused,       // wire a is refused
  deliver,       // wire a: what waits reaches the router; b 1: its first byte only
  over,          // wire a: its end (b 0) or reset (b 1) reaches the router
  answer,        // the engine of wire a answers; b: Answering
  finish,        // the rest of a half answer
  idle_close,    // the engine of wire a closes it between statements
  cancel,        // the engine reads the cancel request on wire a
  told,          // the strand reads what the shards told
  ordered,       // shard a reads its orders
  timer,         // timer a, whose time has come
  deferred,      // the shards' next deferred call
  due,           // the strand's own time has come
  list,          // engine a is told draining (b 0) or ready again (b 1)
  pass,          // time goes on to the next thing that is due
  stall,         // the router has no turn for a while
  reads,         // client a reads what has come, and has room again
  restart,       // the router dies, and another begins in its place
  engine_reads,  // the engine of wire a reads what has come, and accepts more bytes
};
// early: the engine rejects a statement of which it has received a part, and drops the rest of it.
enum class EngineReply : std::uint8_t { whole, half, turned_away, error, reset, never, blocked, early };

struct Choice {
  Kind kind = Kind::pass;
  std::uint16_t a = 0;
  std::uint8_t b = 0;
  bool operator==(const Choice&) const = default;
};

// What one step read or changed, a bit each: two steps whose bits have none in common may come in either
// order. Connections have bits of their own; what has none left over counts as all.
class Footprint {
 public:
  enum Part : unsigned { strand, told, dials, draws, timers, deferred, properties, splits, leaves, failures };
  void add(Part part) { bits_ |= 1ULL << part; }
  void shard(std::size_t shard) { bit(10 + shard, 14); }
  void orders(std::size_t shard) { bit(14 + shard, 18); }
  void wire(std::size_t wire) { bit(18 + wire, 64); }
  void all() { bits_ = ~0ULL; }
  [[nodiscard]] bool apart(const Footprint& other) const { return (bits_ & other.bits_) == 0; }

 private:
  void bit(std::size_t n, std::size_t end) { n < end ? void(bits_ |= 1ULL << n) : all(); }
  std::uint64_t bits_ = 0;
};

// What all runs of a plan share: the configuration and counters nobody reads.
struct Setting {
  explicit Setting(const ModelPlan& plan);
  ModelPlan plan;
  config::Config config;
  path::Metrics metrics;
  router::QueryParser front;
  trace::Tracer tracer;
  std::shared_ptr<const graphql::Bound> bound;
};

class Model {
 public:
  explicit Model(Setting& setting);
  ~Model();
  Model(const Model&) = delete;
  Model& operator=(const Model&) = delete;

  void choices(std::vector<Choice>& out) const;
  void take(const Choice& choice);                                         // one of choices()
  [[nodiscard]] const Footprint& footprint() const { return footprint_; }  // of the last step
  // Which connection and timer a number in a choice stands for. Two ways may name the same state differently.
  [[nodiscard]] Hash names() const;
  [[nodiscard]] std::string text(const Choice& choice) const;  // what it would be now, for people

  // The state: equal hashes, equal futures. `exact`: by all choices so far, in order, so that no two are one;
  // for checking the one against the other.
  [[nodiscard]] Hash hash(bool exact = false) const;
  [[nodiscard]] const std::optional<Broken>& broken() const { return properties_.broken(); }
  // One step of the fair way on: whatever waits comes, in one order of kinds, engines answer, then time
  // passes. Empty: all is over.
  [[nodiscard]] std::optional<Choice> fair() const;
  // To be called once fair() has nothing more: what must hold in the end.
  void check_end();
  [[nodiscard]] Time now() const { return now_; }
  // Of each request: what its client saw, what engines ran.
  [[nodiscard]] std::string outcome() const { return properties_.outcome(); }

 private:
  friend class SimTimer;
  class ShardWorld;
  class Strands;
  struct Session {  // of an engine, on one wire
    std::string in;
    bool started = false, ready = false;
    std::string text, running, half;  // running: the id of the statement, empty: none
    bool extended = false;
    std::string ended;                // the statement whose answer is on its way
    bool hung = false;                // it never ends by itself
    bool unrun = false;               // that answer proves that it never began
    std::uint64_t statements = 0;     // so far
    std::uint32_t cancels = 0;        // of a cancel wire: the process it names,
    std::uint64_t cancel_target = 0;  // and its statement then
    bool cancel_read = false;
    std::string removes;          // the platform's: the query that a call gives up
    bool posted = false;          // its call starts the query, and does not ask for it
    bool rejected_early = false;  // the statement that is arriving is rejected already
    bool rejection_read = false;  // and the router has read so
  };
  // A query of the platform's at its engine: no connection owns it.
  struct Query {
    std::uint16_t wire = 0;  // by which it was started
    Time asked{};            // for, last
    bool ended = false;
  };
  struct WireState;
  struct Client {
    std::uint16_t wire = 0;
    bool left = false;
    std::size_t sent = 0, answered = 0;
    std::string rest;  // of a cut request
    std::unique_ptr<http::Parser> reader;
    std::string in, body;
  };
  void act(const Choice& choice);
  // What choices() lists, by the part that the events happen to.
  void add_router_choices(std::vector<Choice>& out) const;
  void add_client_choices(std::vector<Choice>& out, std::size_t number) const;
  void add_connection_choices(std::vector<Choice>& out, const WireState& wire) const;
  void add_engine_choices(std::vector<Choice>& out, const WireState& wire) const;
  void add_answer_choices(std::vector<Choice>& out, const WireState& wire) const;
  void add_environment_choices(std::vector<Choice>& out) const;
  // One step of each kind; what a and b of the choice mean stands at Kind.
  void send_request(const Choice& choice);
  void leave_router(const Choice& choice);
  void finish_connect(const Choice& choice);
  void refuse_connect(const Choice& choice);
  void deliver_bytes(const Choice& choice);
  void deliver_end(const Choice& choice);
  void answer_statement(const Choice& choice);
  void answer_session(WireState& wire, EngineReply how);
  void finish_answer(const Choice& choice);
  void close_idle_connection(const Choice& choice);
  void read_cancel_request(const Choice& choice);
  void receive_events();
  void execute_commands(const Choice& choice);
  void fire_timer(const Choice& choice);
  void run_deferred();
  void run_decision_loop();
  void change_endpoint_state(const Choice& choice);
  void restart_router();
  void read_response_bytes(const Choice& choice);
  void read_statement_bytes(const Choice& choice);
  [[nodiscard]] bool statement_incomplete(const WireState& wire) const;
  void reject_early(WireState& wire);
  void touch(const Choice& choice);  // what it concerns by its kind
  void runs(std::size_t shard);      // code of this shard
  void check_books();
  [[nodiscard]] Properties::Left remembered() const;
  [[nodiscard]] std::vector<std::string> without_client(bool by_itself) const;
  static std::uint32_t process_of(const WireState& wire);  // that its engine tells
  [[nodiscard]] std::shared_ptr<WireState> named(std::uint32_t process) const;
  void engine_reads(WireState& wire);
  void statement(WireState& wire, const std::string& text);
  void client_reads(WireState& wire, std::string_view bytes);
  static std::string request_message(const Asked& asked);
  static std::string request_frame(const Asked& asked, std::uint32_t stream);
  void client_reads_frames(WireState& wire, std::string_view bytes);
  void engine_reads_calls(WireState& wire);
  void answer_call(WireState& wire, EngineReply how);
  void removal_read(WireState& wire);
  void query_over(std::uint16_t engine, const std::string& id, bool proven_unrun);
  void forget_unasked();
  void check_begun_for_somebody(const std::string& id);
  void process_gone(std::uint16_t engine);  // and all that it ran
  void ended(WireState& wire, bool proven_unrun);
  void delivered(WireState& wire);
  void hash_clients(std::string& out) const;
  void hash_connections(std::string& out) const;
  void hash_router(std::string& out) const;
  static std::uint64_t flags_of(const WireState& wire);
  void pass(bool stalled);
  void boot();
  void die();
  [[nodiscard]] bool stands_still(const WireState& wire) const;
  std::shared_ptr<WireState> add_wire(std::uint16_t shard, bool to_engine, std::uint16_t peer);
  [[nodiscard]] path::EndpointsChanged listed() const;
  static std::uint64_t order_key(const path::ShardCommand& order);
  [[nodiscard]] bool pending_events() const;
  [[nodiscard]] Time next_timer() const;
  std::string answer_of(const Session& session) const;

  Setting& setting_;
  Time now_;
  std::uint64_t drawn_ = 0;
  std::vector<std::shared_ptr<WireState>> wires_;
  struct TimerState {
    Time due = Time::max();
    std::function<void()> then;
    bool alive = true, sweeper = false;
    std::uint16_t shard = 0;
  };
  std::vector<std::shared_ptr<TimerState>> timers_;
  std::deque<std::function<void()>> deferred_;
  std::vector<path::TimedEvent> told_;
  std::vector<std::vector<path::ShardCommand>> orders_;
  std::vector<Client> clients_;
  std::unique_ptr<path::Graphql> graphql_;
  std::vector<bool> draining_;                                      // by engine
  std::map<std::pair<std::uint16_t, std::string>, Query> queries_;  // by engine and id
  unsigned splits_, leaves_, failures_, drains_, idle_closes_, late_, stalls_, passes_, restarts_, returns_,
      hangs_;
  Properties properties_;
  Hash history_, strand_history_;
  Footprint footprint_;
  std::map<std::uint64_t, Hash> ordered_;  // by ticket: what its shard was ordered, and when
  mutable std::string scratch_;
  std::unique_ptr<Strands> strands_;
  std::unique_ptr<path::DecisionLoop> strand_;
  std::vector<std::unique_ptr<ShardWorld>> worlds_;
  std::vector<std::unique_ptr<path::Shard>> shards_;
};

}  // namespace heronwell::explore
