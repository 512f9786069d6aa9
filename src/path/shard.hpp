// A shard is what one thread serves: client connections and engine connections. A request lives on the shard
// that read it, and so do the attempts made for it: its answer crosses no thread. Only events and commands go
// to and from the decision strand, by the World.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "path/exchange.hpp"
#include "path/metrics.hpp"
#include "path/sides.hpp"
#include "trace/tracer.hpp"

namespace heronwell::path {

class Graphql;
class CancelRequest;
class CallRemoval;

// Connections to one engine from one shard: idle ones are used again, newest first; no more than a cap.
struct EnginePool {
  EngineId id = 0;
  config::Address address;
  bool fit = true;  // listed as ready
  std::vector<std::shared_ptr<EngineSide>> idle;
  std::map<std::uint64_t, std::shared_ptr<EngineSide>> all;  // by number
};

class Shard {
 public:
  Shard(World& world, const Config& config, Metrics& metrics, const router::Front& front,
        trace::Tracer& tracer, unsigned index, unsigned shards);
  ~Shard();

  void serve(Graphql& graphql) { graphql_ = &graphql; }

  // A client has come; `address`: from where, for the choice of a group.
  void serve(WirePtr wire, std::string address);
  void carry_out(std::vector<Order>& orders);
  void take(const ExchangePtr& exchange, router::Ask ask);  // hands a request to the decision strand
  void left(const ExchangePtr& exchange);
  void finished(const ExchangePtr& exchange, router::Termination end, int status);
  void tell(Happening what) { world_.tell(Told{now(), std::move(what)}); }
  void end_attempt(const AttemptPtr& attempt, sql::Seen seen, std::string_view code = {},
                   bool cancelled = false);
  void end_attempt(const AttemptPtr& attempt, Result result);
  // True: what its client sent lies unread, and is read first; then it is launched.
  bool reads_first(const AttemptPtr& attempt);
  void note(const AttemptPtr& attempt, NoteKind kind, double amount);
  // The attempt's connection is lost, its query may run on: a new one is opened to ask for it.
  void ask_again(const AttemptPtr& attempt);
  // No descriptor is left for the attempt's connection: it waits for one. Never the engine's failure.
  void starve(const AttemptPtr& attempt);
  void relieved();  // a connection to an engine has become free, or is closed
  // Has the engine give the attempt up. It ends, with this result, once the engine has: until then it is out,
  // and the module begins no other for its request.
  void remove(const AttemptPtr& attempt, Result result);
  void removed(std::uint64_t number, const AttemptPtr& attempt, Result result);
  // Whether one more connection may be opened to give an attempt up.
  [[nodiscard]] bool removal_room() const;
  // A further connection for an attempt whose first is late to come up.
  void dial_beside(const AttemptPtr& attempt);
  void note(const AttemptPtr& attempt, const sql::ErrorText& notice);
  void parameter(const AttemptPtr& attempt, std::string_view name, std::string_view value);
  // The moment since when what is read now may have lain here unread: now, or, right after this thread had no
  // turn for a while (a stopped process), the last moment it had one. Deadlines run from there.
  Time unread_since();
  // Null: there are no groups.
  [[nodiscard]] const SelectorsPtr& selectors() const { return selectors_; }
  void stop_serving();  // no new requests; connections close as they fall idle
  // The process ends: nothing more is taken, and each client's connection ends in order once nothing is owed
  // to it.
  void close_down();
  [[nodiscard]] bool closed_down() const { return clients_.empty() && removals_.empty(); }
  void make_client_room();           // a descriptor is wanted for another client
  [[nodiscard]] bool client_room();  // for another one; where there is none, one that is idle is ended
  [[nodiscard]] bool holds_too_much() const { return held_cap_ > 0 && held_ > held_cap_; }
  void hold(std::size_t before, std::size_t now) { held_ = held_ - before + now; }  // bytes, of one client

  World& world() { return world_; }
  [[nodiscard]] Time now() const { return world_.now(); }
  [[nodiscard]] const Config& config() const { return config_; }
  [[nodiscard]] const router::Front& front() const { return front_; }
  Metrics& metrics() { return metrics_; }
  trace::Tracer& tracer() { return tracer_; }
  Graphql* graphql() { return graphql_; }  // null: not served
  EnginePool* pool(EngineId id);
  [[nodiscard]] std::size_t pool_cap() const { return pool_cap_; }
  [[nodiscard]] bool stopping() const { return stopping_; }
  [[nodiscard]] bool ready() const;  // an engine is listed as ready, and this router goes on serving
  [[nodiscard]] bool id_open(const std::string& id) const { return ids_.contains(id); }
  // A request of this id was left by its client after an attempt of it had been commanded, which may have
  // run, and its class does not let it run again.
  [[nodiscard]] bool may_have_run(const std::string& id) const { return left_unsafe_.contains(id); }
  // Whether the attempt may still be sent: its request is awaited by anyone, and its times are not over.
  [[nodiscard]] bool may_begin(const Attempt& attempt) const {
    const auto now = this->now();
    return (attempt.ticket == 0 || exchanges_.contains(attempt.ticket)) && now < attempt.until &&
           now <= attempt.by;
  }
  [[nodiscard]] std::size_t open() const { return exchanges_.size(); }
  void forget(std::uint64_t client) { clients_.erase(client); }
  void forget_cancel(std::uint64_t number) { cancels_.erase(number); }
  // A cancel request to the engine at `address`, for the connection that it knows by these.
  void request_cancel(const config::Address& address, std::uint32_t process, std::uint32_t secret);
  std::uint64_t number() { return ++numbers_; }  // of a connection

  // For the explorer: what is remembered here of requests, and of stalls.
  struct Books {
    std::size_t exchanges = 0, attempts = 0, idle = 0, cancels = 0;
    Time turn{}, suspect_from{}, suspect_until{};  // what unread_since() goes by
  };
  [[nodiscard]] Books books() const;

 private:
  void on(const router::StartAttempt& order);
  void on(const router::StopAttempt& order);
  void on(const router::Deliver& order);
  void on(const router::BeginStream& order);
  void on(const router::BreakStream& order);
  void on(const router::Answer& order);
  void on(const router::ProbeEngine& order);
  void update(const Fleet& fleet);
  bool end_idle_client();
  bool drop_ending_client();
  bool choose_group(const ExchangePtr& exchange, router::Ask& ask);
  void launch(const AttemptPtr& attempt);
  void later(const AttemptPtr& attempt, unsigned turns);
  void connect(EnginePool& pool, const AttemptPtr& attempt);
  [[nodiscard]] std::size_t linked() const;  // connections to engines
  bool make_room();                          // for one more; closes an idle one to another engine if need be
  bool give_up_waiting(const AttemptPtr& attempt);
  void finish_attempt(const AttemptPtr& attempt, Result result);
  ExchangePtr exchange(Ticket ticket);
  void forget(const ExchangePtr& exchange);
  bool overdue(const ExchangePtr& exchange);
  void tell_problem(const ExchangePtr& exchange, const router::Problem& problem);
  void tick();
  void sweep();

  World& world_;
  const Config& config_;
  Metrics& metrics_;
  const router::Front& front_;
  trace::Tracer& tracer_;
  unsigned index_;
  std::size_t pool_cap_;
  Graphql* graphql_ = nullptr;
  SelectorsPtr selectors_;
  std::vector<std::string> tenants_;
  TimerPtr sweeper_;
  std::uint64_t tickets_ = 0, numbers_ = 0;
  bool stopping_ = false;
  unsigned ticks_ = 0;
  Time turn_{}, suspect_from_{}, suspect_until_{};
  std::unordered_map<Ticket, ExchangePtr> exchanges_;
  std::map<std::pair<Ticket, AttemptIndex>, AttemptPtr> attempts_;
  std::map<EngineId, EnginePool> pools_;
  std::map<std::uint64_t, std::shared_ptr<ClientSide>> clients_;  // by number
  std::map<std::uint64_t, std::shared_ptr<CancelRequest>> cancels_;
  std::map<std::uint64_t, std::shared_ptr<CallRemoval>> removals_;
  // Of the descriptors: for calls that give attempts up, and for clients' connections that are ending.
  std::size_t removals_cap_ = 1, ending_cap_ = 1;
  std::size_t held_cap_ = 0, held_ = 0;  // bytes that all clients together have here; no cap: 0
  // By the client's id: how many attempts the engines have yet to give up, and an attempt that waits for
  // that, as a client may send an id again while what it left of it is still being given up.
  struct GivingUp {
    unsigned attempts = 0;
    AttemptPtr waiting;
  };
  std::unordered_map<std::string, GivingUp> giving_up_;
  std::unordered_map<std::string, Time> left_unsafe_;  // until when each is remembered
  bool closing_ = false;
  std::vector<AttemptPtr> later_;   // wait until what clients sent is read
  std::deque<AttemptPtr> starved_;  // wait for a connection, in turn
  bool relieving_ = false;
  std::unordered_set<std::string> ids_;  // of the exchanges that have one
};

}  // namespace heronwell::path
